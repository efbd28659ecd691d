//! Tests of the built `linnethitch-lab` as processes.

mod dev;
mod load;
mod support;
