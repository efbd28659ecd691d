//! Tests of the built `linnethitch-lab` as processes.

mod capacity;
mod dev;
mod load;
mod one_host;
mod support;
