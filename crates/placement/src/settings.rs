//! Times and bounds of placement.

/// Times and bounds of placement; all times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementLimits {
    /// Time between two questions to a replica.
    pub poll_interval_ms: u64,
    /// A replica without an answer for this long gets no orders.
    pub silent_after_ms: u64,
    /// A replica without an answer for this long is replaced.
    pub dead_after_ms: u64,
    /// An order that the engine has not accepted for this long is given up.
    pub accept_timeout_ms: u64,
    /// An accepted order without effect for this long is given up.
    pub effect_timeout_ms: u64,
    /// Wait before anything that failed is tried again.
    pub retry_ms: u64,
    /// Weight transfers that are asked for and not yet on their machines, at most.
    pub max_transfers: usize,
    /// Of a model's serving replicas, percent that may be away at once.
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
