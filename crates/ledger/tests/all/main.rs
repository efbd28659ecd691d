//! Tests of the state machine: rules, failures alone, twice and in pairs.

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
