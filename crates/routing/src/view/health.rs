//! Ejection of failing replicas, their return, and slow start.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::ids::Timestamp;

use crate::reason::ReasonCode;

/// Longest ejection: `eject_ms` doubles up to this many times.
const MAX_DOUBLINGS: u32 = 6;

/// A replica that stayed well for this many ejection times starts over with the shortest.
const FORGIVE_AFTER_EJECTIONS: u64 = 10;

/// Smallest share of work during slow start.
const SLOW_START_FLOOR: f64 = 0.1;

/// How an attempt failed, as far as the replica's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The connection was refused or could not be made in time.
    Unreachable,
    /// The connection ended before the answer did.
    Disconnected,
    /// No answer came in time.
    TimedOut,
    /// The answer was not the protocol's, or a server error.
    BadAnswer,
    /// The replica refused before starting because it is full; it is well.
    Full,
    /// The replica refused before starting because it does not serve the target (any more).
    NotServed,
}

/// Whether a replica may get new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// It may, weighed with this share (below 1 during slow start).
    Available(f64),
    /// It was ejected and one request may try whether it is back.
    Probe,
    /// It may not, for this reason.
    Unavailable(ReasonCode),
}

/// Failures and ejections of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejected_until: Option<Timestamp>,
    ejections: u32,
    returned_at: Option<Timestamp>,
    cause: Option<ReasonCode>,
}

impl Health {
    /// Whether the replica is ejected now.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether an ejection ended and nothing has succeeded since.
    #[must_use]
    pub fn awaits_probe(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Why the replica was ejected last.
    #[must_use]
    pub fn cause(&self) -> ReasonCode {
        self.cause.unwrap_or(ReasonCode::Ejected)
    }

    /// The share of work that slow start allows, from a tenth up to 1.
    #[must_use]
    pub fn slow_start_share(&self, now: Timestamp, policy: &RoutingPolicy) -> f64 {
        match self.returned_at {
            Some(at) if policy.slow_start_ms > 0 => {
                let grown = now.0.saturating_sub(at.0) as f64 / policy.slow_start_ms as f64;
                grown.clamp(SLOW_START_FLOOR, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Takes in a success: ends a probe and starts slow start.
    pub fn on_success(&mut self, now: Timestamp, policy: &RoutingPolicy) {
        self.consecutive_failures = 0;
        if self.awaits_probe(now) {
            self.ejected_until = None;
            self.returned_at = Some(now);
        }
        let forgive_after_ms = policy.eject_ms * FORGIVE_AFTER_EJECTIONS;
        let well_ms = self.returned_at.map(|at| now.0.saturating_sub(at.0));
        if well_ms.is_some_and(|ms| ms > forgive_after_ms && ms > policy.slow_start_ms) {
            self.ejections = 0;
            self.returned_at = None;
        }
    }

    /// Takes in a failure; tells the reason when it ejected the replica.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        kind: FailureKind,
        may_eject: bool,
        policy: &RoutingPolicy,
    ) -> Option<ReasonCode> {
        if kind == FailureKind::Full {
            return None;
        }
        self.consecutive_failures += 1;
        let at_once = matches!(kind, FailureKind::Unreachable | FailureKind::NotServed);
        let failed_probe = self.awaits_probe(now);
        let enough = self.consecutive_failures >= policy.eject_after_failures;
        if self.is_ejected(now) || !(at_once || failed_probe || enough) || !may_eject {
            return None;
        }
        let length_ms = policy.eject_ms << self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(Timestamp(now.0 + length_ms));
        self.ejections += 1;
        let cause = match kind {
            FailureKind::Unreachable => ReasonCode::Unreachable,
            FailureKind::NotServed => ReasonCode::NotLoaded,
            _ => ReasonCode::Ejected,
        };
        self.cause = Some(cause);
        Some(cause)
    }
}
