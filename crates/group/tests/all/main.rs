//! Tests of the group crate, in virtual time on virtual disks.

mod current;
mod faults;
mod repair;
mod support;
