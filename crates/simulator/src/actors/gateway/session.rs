//! A gateway's session in the ledger, opened and renewed like in the production gateway.

use linnethitch_errors::ErrorKind;
use linnethitch_gateway::batch::BatchSession;
use linnethitch_protocol::{
    command::{CommandBody, Outcome},
    ids::{GatewayId, Timestamp},
};
use rand::Rng;

use super::{GatewayCall, GatewayCalls};
use crate::actors::{Context, calls::CallResult};

/// Lease duration in the fleet file, in milliseconds.
const LEASE_MS: u64 = 10_000;
/// Number of renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 3;

/// The session of a gateway.
pub(super) struct SessionKeeper {
    gateway: GatewayId,
    nonce: u64,
    current: Option<BatchSession>,
    /// Whether a call is pending.
    busy: bool,
    next_call_ms: u64,
}

impl SessionKeeper {
    /// Creates a keeper without a session.
    pub(super) fn new(gateway: GatewayId) -> Self {
        SessionKeeper {
            gateway,
            nonce: 0,
            current: None,
            busy: false,
            next_call_ms: 0,
        }
    }

    /// The session, unless its lease has expired.
    pub(super) fn current(&self, now: Timestamp) -> Option<BatchSession> {
        self.current.filter(|session| now < session.until)
    }

    /// Opens or renews the session if a call is due.
    pub(super) fn check(
        &mut self,
        now: Timestamp,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) {
        if self.busy || context.now_ms < self.next_call_ms {
            return;
        }
        self.busy = true;
        self.next_call_ms = context.now_ms + LEASE_MS / RENEWALS_PER_LEASE;
        let Some(session) = self.current(now) else {
            self.current = None;
            self.nonce = context.random.random();
            let body = CommandBody::OpenSession {
                gateway: self.gateway.clone(),
                nonce: self.nonce,
            };
            calls.propose(body, GatewayCall::OpenSession, context);
            return;
        };
        let until = Timestamp(now.0 + LEASE_MS);
        let body = CommandBody::RenewSession {
            gateway: self.gateway.clone(),
            session: session.epoch,
            until,
        };
        let call = GatewayCall::RenewSession(BatchSession { until, ..session });
        calls.propose(body, call, context);
    }

    /// Handles the answer to opening a session.
    pub(super) fn on_opened(&mut self, now: Timestamp, result: &CallResult) {
        self.busy = false;
        self.next_call_ms = 0;
        if let CallResult::Outcome(outcome) = result
            && let Outcome::Session(epoch) = **outcome
        {
            self.current = Some(BatchSession {
                epoch,
                until: Timestamp(now.0 + LEASE_MS / RENEWALS_PER_LEASE),
            });
        }
    }

    /// Handles the answer to a renewal.
    pub(super) fn on_renewed(
        &mut self,
        now: Timestamp,
        renewed: BatchSession,
        result: &CallResult,
    ) {
        self.busy = false;
        match result {
            // The lease expired before the answer arrived, and the work under it was stopped.
            CallResult::Outcome(_) if self.current(now).is_none() => self.current = None,
            CallResult::Outcome(_) => self.current = Some(renewed),
            CallResult::Refused(ErrorKind::InvalidState) => self.current = None,
            _ => self.next_call_ms = 0,
        }
    }
}
