//! What a process shows of itself: JSON logs, the decision journal, metrics.

pub mod log;
pub mod time;
