//! The gateway's session in the ledger. Leases and claims are valid while the session is renewed.

use std::{sync::Arc, time::Duration};

use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    command::{CommandBody, Outcome},
    ids::{GatewayId, SessionEpoch, Timestamp},
};
use slog::{info, warn};
use tokio::sync::watch;

use crate::{control::client::unexpected, observe::ReasonLabel, state::Gateway};

/// Lease time while no configuration is in force.
const DEFAULT_LEASE: Duration = Duration::from_secs(10);
/// Renewals in one lease time.
const RENEWALS_PER_LEASE: u32 = 3;
/// Wait before a further attempt to open a session.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A session and the time until which it is valid without a further renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Session {
    /// The session's number in the ledger.
    pub(crate) epoch: SessionEpoch,
    /// End of the session on the gateway's clock; items leased under it must not run after that.
    pub(crate) until: Timestamp,
}

/// The session as the other parts of the gateway see it.
#[derive(Debug)]
pub(crate) struct SessionState {
    current: watch::Sender<Option<Session>>,
}

impl Default for SessionState {
    fn default() -> Self {
        SessionState {
            current: watch::Sender::new(None),
        }
    }
}

impl SessionState {
    /// The session, if it is valid at this time.
    pub(crate) fn current(&self, now: Timestamp) -> Option<Session> {
        self.current.borrow().filter(|session| now < session.until)
    }

    /// Waits until a session is open, at most for the given time.
    pub(crate) async fn wait(&self, time: Duration) -> Result<Session, Failure> {
        let mut session = self.current.subscribe();
        let opened = tokio::time::timeout(time, session.wait_for(Option::is_some)).await;
        match opened {
            Ok(Ok(found)) => (*found).ok_or_else(no_session),
            _ => Err(no_session()),
        }
    }

    /// Subscribes to changes of the session.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Session>> {
        self.current.subscribe()
    }

    fn set(&self, session: Option<Session>) {
        self.current.send_replace(session);
    }
}

fn no_session() -> Failure {
    Failure::new(
        ErrorKind::ControlUnavailable,
        "control could not be reached",
    )
    .with_retry_after(Duration::from_secs(1))
}

/// Opens a session and renews it until the process stops.
pub(crate) async fn maintain(gateway: Arc<Gateway>) {
    let id = GatewayId(gateway.settings.gateway_id.clone());
    gateway.clock_offset.wait_until_known().await;
    loop {
        let nonce: u64 = rand::random();
        if let Some(epoch) = open(&gateway, &id, nonce).await {
            info!(gateway.logger, "session opened"; "session" => epoch.0);
            let end = renew_until_lost(&gateway, &id, epoch).await;
            gateway.session.set(None);
            let reason = end.cause.as_str();
            let lost = &gateway.observer.metrics.sessions_lost;
            lost.get_or_create(&ReasonLabel { reason }).inc();
            warn!(gateway.logger, "session lost"; "session" => epoch.0,
                "cause" => reason, "asked_before_ms" => end.asked_before_ms);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn open(gateway: &Gateway, id: &GatewayId, nonce: u64) -> Option<SessionEpoch> {
    let command = CommandBody::OpenSession {
        gateway: id.clone(),
        nonce,
    };
    match gateway.control.propose(command).await {
        Ok(Outcome::Session(epoch)) => Some(epoch),
        _ => None,
    }
}

/// Why a session ended at the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndCause {
    /// The ledger refused a renewal because the session has ended.
    Refused,
    /// No renewal was answered before the session ended.
    NotAnswered,
    /// A renewal was answered, but after the session ended.
    AnsweredLate,
}

impl EndCause {
    fn as_str(self) -> &'static str {
        match self {
            EndCause::Refused => "refused",
            EndCause::NotAnswered => "not_answered",
            EndCause::AnsweredLate => "answered_late",
        }
    }
}

/// How a session ended at the gateway.
struct SessionEnd {
    cause: EndCause,
    /// Time from the last renewal request to the end of the session, in milliseconds.
    asked_before_ms: u64,
}

/// Renews the session until the ledger refuses or the lease time is over.
async fn renew_until_lost(gateway: &Gateway, id: &GatewayId, epoch: SessionEpoch) -> SessionEnd {
    let clock = gateway.clock();
    let mut until = clock.now();
    let mut renewed = false;
    loop {
        let lease = lease_time(gateway);
        let asked_at = clock.now();
        let requested_until = Timestamp(asked_at.0 + lease.as_millis() as u64);
        let command = CommandBody::RenewSession {
            gateway: id.clone(),
            session: epoch,
            until: gateway.clock_offset.to_control(requested_until),
        };
        let ended = |cause| SessionEnd {
            cause,
            asked_before_ms: clock.now().0.saturating_sub(asked_at.0),
        };
        let timeout = clock.until(until).max(lease / RENEWALS_PER_LEASE);
        let answer = gateway.control.propose_within(command, timeout).await;
        if answer.is_ok() {
            let milliseconds = clock.now().0.saturating_sub(asked_at.0);
            let renewals = &gateway.observer.metrics.session_renewal_seconds;
            renewals.observe(milliseconds as f64 / 1_000.0);
        }
        match answer {
            // The session ended here before the answer came, and its runs were stopped. Only its
            // end in the ledger makes the items available again.
            Ok(Outcome::Done) if renewed && clock.now() >= until => {
                return ended(EndCause::AnsweredLate);
            }
            Ok(Outcome::Done) => {
                renewed = true;
                until = requested_until;
                gateway.session.set(Some(Session { epoch, until }));
            }
            Ok(_) => {
                warn_unexpected(gateway);
                return ended(EndCause::Refused);
            }
            Err(failure)
                if failure.kind == ErrorKind::ControlUnavailable
                    || failure.kind == ErrorKind::ControlOutcomeUnknown => {}
            Err(_) => return ended(EndCause::Refused),
        }
        if clock.now() >= until {
            return ended(EndCause::NotAnswered);
        }
        tokio::time::sleep(lease / RENEWALS_PER_LEASE).await;
    }
}

fn warn_unexpected(gateway: &Gateway) {
    warn!(gateway.logger, "session not renewed"; "error" => %unexpected());
}

fn lease_time(gateway: &Gateway) -> Duration {
    gateway
        .configuration
        .load()
        .as_ref()
        .map_or(DEFAULT_LEASE, |active| {
            Duration::from_millis(active.fleet.batch.lease_ms)
        })
}
