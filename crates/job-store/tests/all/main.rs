//! Tests of the job store.

mod dispatcher;
mod layout;
mod snapshots;
mod store;
mod support;
