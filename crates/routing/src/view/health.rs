//! Ejection of failing replicas, their probes, and slow start.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::ids::Timestamp;

use crate::reason::ReasonCode;

/// The ejection time, `eject_ms`, doubles up to this many times.
const MAX_EJECTION_DOUBLINGS: u32 = 6;

/// A replica that has been back for this many multiples of `eject_ms` starts again with the
/// shortest ejection time.
const RESET_AFTER_EJECT_TIMES: u64 = 10;

/// Initial share of work during slow start.
const SLOW_START_MIN_SHARE: f64 = 0.1;

/// How an attempt failed, as it affects the replica's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The connection was refused or timed out.
    Unreachable,
    /// The connection closed before the response was complete.
    Disconnected,
    /// No response arrived in time.
    TimedOut,
    /// The response violated the protocol or was a server error.
    BadAnswer,
    /// The replica rejected the request because it is full; does not count as unhealthy.
    Full,
    /// The replica rejected the request because it does not serve the target.
    NotServed,
}

/// Whether a replica may get new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// Available, with this weight (below 1 during slow start).
    Available(f64),
    /// The ejection time has passed; one request may probe the replica.
    Probe,
    /// Not available, for this reason.
    Unavailable(ReasonCode),
}

/// Failure and ejection state of one replica.
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

    /// Whether the ejection time has passed without a success since.
    #[must_use]
    pub fn awaits_probe(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Reason of the most recent ejection.
    #[must_use]
    pub fn cause(&self) -> ReasonCode {
        self.cause.unwrap_or(ReasonCode::Ejected)
    }

    /// The share of work that slow start allows, from 0.1 to 1.
    #[must_use]
    pub fn slow_start_share(&self, now: Timestamp, policy: &RoutingPolicy) -> f64 {
        match self.returned_at {
            Some(at) if policy.slow_start_ms > 0 => {
                let ramp = now.0.saturating_sub(at.0) as f64 / policy.slow_start_ms as f64;
                ramp.clamp(SLOW_START_MIN_SHARE, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Records a success: a successful probe ends the ejection and begins slow start.
    pub fn on_success(&mut self, now: Timestamp, policy: &RoutingPolicy) {
        self.consecutive_failures = 0;
        if self.awaits_probe(now) {
            self.ejected_until = None;
            self.returned_at = Some(now);
        }
        let reset_after_ms = policy.eject_ms * RESET_AFTER_EJECT_TIMES;
        let healthy_ms = self.returned_at.map(|at| now.0.saturating_sub(at.0));
        if healthy_ms.is_some_and(|ms| ms > reset_after_ms && ms > policy.slow_start_ms) {
            self.ejections = 0;
            self.returned_at = None;
        }
    }

    /// Records a failure. Returns the reason if this ejected the replica.
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
        let ejects_immediately = matches!(kind, FailureKind::Unreachable | FailureKind::NotServed);
        let failed_probe = self.awaits_probe(now);
        let reached_threshold = self.consecutive_failures >= policy.eject_after_failures;
        if self.is_ejected(now)
            || !(ejects_immediately || failed_probe || reached_threshold)
            || !may_eject
        {
            return None;
        }
        let duration_ms = policy.eject_ms << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = Some(Timestamp(now.0 + duration_ms));
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
