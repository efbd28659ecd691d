//! Tests of the simulator crate.

mod scripts;
mod seeds;
