//! Tests of the group crate, with virtual time, disks and network.

mod bootstrap;
mod current;
mod faults;
mod repair;
mod support;
mod two_builds;
