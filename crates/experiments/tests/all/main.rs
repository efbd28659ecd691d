//! Tests of the experiments: the same seed gives the same figures, and strategies rank as
//! expected.

mod isolation;
mod report;
