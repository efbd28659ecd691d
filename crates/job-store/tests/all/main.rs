//! Tests of the job store.

mod age_clock;
mod dispatcher;
mod formats;
mod layout;
mod plan;
mod progress;
mod queue;
mod snapshots;
mod store;
mod support;
