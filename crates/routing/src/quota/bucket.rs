//! A token bucket.

/// Tokens that are added at a constant rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    level: f64,
    refilled_ms: u64,
}

/// Rate and capacity of a bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct BucketLimit {
    /// Tokens per second.
    pub(super) rate: f64,
    /// Maximum number of tokens.
    pub(super) capacity: f64,
}

impl Bucket {
    pub(super) fn new(level: f64, now_ms: u64) -> Self {
        Bucket {
            level,
            refilled_ms: now_ms,
        }
    }

    /// Adds the tokens accrued up to `now_ms`; tokens over the capacity are lost.
    pub(super) fn refill(&mut self, limit: BucketLimit, now_ms: u64) {
        let seconds = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.level = (self.level + limit.rate * seconds).min(limit.capacity);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }

    /// Complete tokens that are available.
    pub(super) fn tokens(&self) -> u32 {
        self.level.max(0.0) as u32
    }

    /// Takes tokens even if fewer are available: the level may become negative.
    pub(super) fn take(&mut self, tokens: u32) {
        self.level -= f64::from(tokens);
    }

    /// Puts back tokens that were taken and not used.
    pub(super) fn put_back(&mut self, tokens: u32, limit: BucketLimit) {
        self.level = (self.level + f64::from(tokens)).min(limit.capacity);
    }

    /// Time until a complete token is available, in milliseconds.
    pub(super) fn next_token_in_ms(&self, limit: BucketLimit) -> u64 {
        let missing = (1.0 - self.level).max(0.0);
        (missing / limit.rate.max(f64::MIN_POSITIVE) * 1_000.0).ceil() as u64
    }
}
