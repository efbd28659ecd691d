//! Tests of this crate.

mod loads;
