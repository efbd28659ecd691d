//! Timeouts and limits of placement.

/// Timeouts and limits of placement; all times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementLimits {
    /// Time between two polls of a replica.
    pub poll_interval_ms: u64,
    /// A replica without an answer for this time gets no orders.
    pub silent_after_ms: u64,
    /// A replica without an answer for this time is replaced.
    pub dead_after_ms: u64,
    /// An order that the engine does not accept within this time is abandoned.
    pub accept_timeout_ms: u64,
    /// An accepted order without effect within this time is abandoned.
    pub effect_timeout_ms: u64,
    /// Delay before a failed step is retried.
    pub retry_ms: u64,
    /// Maximum number of weight transfers that are reserved and not completed.
    pub max_transfers: usize,
    /// Maximum percentage of a model's serving replicas that may be unavailable at a time.
    pub max_changing_percent: usize,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        PlacementLimits {
            poll_interval_ms: 1_000,
            silent_after_ms: 3_000,
            dead_after_ms: 10_000,
            accept_timeout_ms: 60_000,
            effect_timeout_ms: 600_000,
            retry_ms: 1_000,
            max_transfers: 16,
            max_changing_percent: 25,
        }
    }
}
