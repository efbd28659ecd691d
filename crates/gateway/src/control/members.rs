//! Which control member a gateway attaches to, and when it moves to another. Sans I/O.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Age of a member's last confirmed contact with a quorum after which the gateway leaves it.
pub const STALE_AFTER: Duration = Duration::from_millis(1_400);

/// The control members in the order in which a gateway tries them.
///
/// The order is given by a hash of gateway and member (rendezvous hashing), so that gateways
/// spread evenly over the members, and those of a lost member over the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberOrder {
    gateway: String,
    /// Addresses from the settings; kept regardless of the members that control reports.
    configured: Vec<String>,
    addresses: Vec<String>,
    next: usize,
}

impl MemberOrder {
    /// Creates the order for a gateway from the configured addresses.
    #[must_use]
    pub fn new(gateway: &str, configured: &[String]) -> Self {
        MemberOrder {
            gateway: gateway.to_owned(),
            configured: configured.to_vec(),
            addresses: ordered(gateway, configured.to_vec()),
            next: 0,
        }
    }

    /// Replaces the members reported by control. The configured ones stay, because a member that
    /// has just started knows only itself. When the order changes, the next member tried is its
    /// first.
    pub fn update_members(&mut self, reported: &[String]) {
        let all = self.configured.iter().chain(reported).cloned();
        let addresses = ordered(&self.gateway, all.collect());
        if addresses != self.addresses {
            self.addresses = addresses;
            self.next = 0;
        }
    }

    /// Returns the member to try now; the next call returns the one after it.
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

/// Determines from its freshness stamps whether a member is still in contact with a quorum.
///
/// Times are offsets of one monotonic clock of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessWatch {
    /// When the member's state was last confirmed to be current.
    current_at: Duration,
}

impl FreshnessWatch {
    /// Creates the watch of a connection that was just opened.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        FreshnessWatch { current_at: now }
    }

    /// Records a stamp that was `age` old by the sender's clock.
    pub fn on_stamp(&mut self, now: Duration, age: Duration) {
        self.current_at = self.current_at.max(now.saturating_sub(age));
    }

    /// Whether the member is stale or silent, so that another should be tried.
    #[must_use]
    pub fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.current_at) > STALE_AFTER
    }
}
