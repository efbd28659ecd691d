//! Tests of the storage crate.

mod folder_faults;
mod log_faults;
mod log_model;
mod payloads;
mod real_disk;
mod snapshot_faults;
mod support;
