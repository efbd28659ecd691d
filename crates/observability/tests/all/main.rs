//! Tests of logs, journal and metrics.

mod journal;
mod log;
mod metrics;
