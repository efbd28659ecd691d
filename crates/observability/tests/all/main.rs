//! Tests of logs, journal and metrics.

mod log;
