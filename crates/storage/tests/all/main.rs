//! Tests of the storage crate.

mod payloads;
mod real_disk;
