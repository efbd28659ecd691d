//! Which control member a gateway attaches to, and when it moves on. No input or output.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// A member whose last proof of following a quorum is older than this is left.
pub const STALE_AFTER: Duration = Duration::from_millis(1_400);

/// The control members in the order in which a gateway tries them.
///
/// The order is drawn by a hash of gateway and member (rendezvous hashing), so
/// that gateways spread evenly and those of a lost member spread over the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberOrder {
    gateway: String,
    /// Those of the settings; they stay whatever a member tells.
    configured: Vec<String>,
    addresses: Vec<String>,
    next: usize,
}

impl MemberOrder {
    /// The order for a gateway.
    #[must_use]
    pub fn new(gateway: &str, configured: &[String]) -> Self {
        MemberOrder {
            gateway: gateway.to_owned(),
            configured: configured.to_vec(),
            addresses: ordered(gateway, configured.to_vec()),
            next: 0,
        }
    }

    /// Takes over the members that one of them knows, beside those of the settings: a member
    /// that has just started knows itself alone. The next one tried is a new order's first.
    pub fn update_members(&mut self, told: &[String]) {
        let all = self.configured.iter().chain(told).cloned();
        let addresses = ordered(&self.gateway, all.collect());
        if addresses != self.addresses {
            self.addresses = addresses;
            self.next = 0;
        }
    }

    /// The member to try now; the next call gives the one after it.
    pub fn next_address(&mut self) -> Option<String> {
        let count = self.addresses.len();
        let address = self.addresses.get(self.next.checked_rem(count)?)?.clone();
        self.next = (self.next + 1) % count;
        Some(address)
    }
}

fn ordered(gateway: &str, mut addresses: Vec<String>) -> Vec<String> {
    addresses.sort_by_cached_key(|address| xxh3_64(format!("{gateway}\n{address}").as_bytes()));
    addresses.dedup();
    addresses
}

/// Judges by its freshness stamps whether a member still follows the fleet.
///
/// Times are offsets of one monotonic clock of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessWatch {
    /// When the member's knowledge was last known to be current.
    current_at: Duration,
}

impl FreshnessWatch {
    /// A watch of a connection that has just been made.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        FreshnessWatch { current_at: now }
    }

    /// A stamp came that was `age` old by the sender's own clock.
    pub fn on_stamp(&mut self, now: Duration, age: Duration) {
        self.current_at = self.current_at.max(now.saturating_sub(age));
    }

    /// Whether the member lags or is silent, so that another should be tried.
    #[must_use]
    pub fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.current_at) > STALE_AFTER
    }
}
