//! Tests of the group crate, in virtual time on virtual disks.

mod current;
mod faults;
mod founding;
mod repair;
mod support;
mod two_builds;
