//! Tests of the replicated log over an in-memory network and in-memory disks.

mod cluster;
mod disk;
mod elections;
mod hostile_input;
mod known_commit;
mod messages;
mod random_faults;
mod repair;
mod replication;
mod safety_rules;
