//! Tests of the replicated log over an in-memory network and in-memory disks.

mod cluster;
mod disk;
mod elections;
mod repair;
mod replication;
