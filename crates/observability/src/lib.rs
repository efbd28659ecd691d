//! What a process shows of itself: JSON logs, the decision journal, metrics.

pub mod journal;
pub mod log;
pub mod metrics;
pub mod time;
