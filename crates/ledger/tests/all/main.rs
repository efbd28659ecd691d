//! Tests of the state machine: its rules, single failures, repeated failures and pairs of
//! failures.

mod claims;
mod configuration;
mod faults;
mod files;
mod items;
mod jobs;
mod model;
mod sequences;
mod snapshots;
mod support;
