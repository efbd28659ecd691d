//! Tests of the experiments: the same figures for the same seed, and the orderings that
//! linnethitch is built for.

mod isolation;
mod report;
