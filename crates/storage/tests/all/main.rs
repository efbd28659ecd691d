//! Tests of the storage crate.

mod real_disk;
