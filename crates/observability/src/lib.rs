//! Observability of a process: JSON logs, the decision journal, metrics.

pub mod journal;
pub mod log;
pub mod metrics;
pub mod time;
