//! Tests of the job store.

mod dispatcher;
mod layout;
mod progress;
mod queue;
mod snapshots;
mod store;
mod support;
