//! A claim of an idempotency key, from its acquisition to the answer stored under the key.

use std::{sync::Arc, time::Duration};

use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    command::{ClaimOutcome, CommandBody, NewClaim, Outcome},
    ids::{GatewayId, RequestId, TenantId},
    query::StoredAnswer,
};
use slog::warn;
use tokio::sync::oneshot;

use crate::{
    claims::RunRules, control::client::unexpected, observe::RequestSubject, state::Gateway,
};

/// Longest wait for the gateway's session, so that a request is refused quickly while control is
/// unavailable.
const SESSION_WAIT: Duration = Duration::from_millis(200);
/// Longest time that an answer waits until the ledger has stored it. After that the caller gets
/// its answer, and the command to the ledger is still repeated.
const SETTLE_WAIT: Duration = Duration::from_secs(2);
/// Wait before a command to the ledger is repeated.
const SETTLE_RETRY: Duration = Duration::from_millis(100);
/// When a caller may resend a request that is still running.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// The result of claiming a request's key.
pub(crate) enum Claimed {
    /// The request has no key.
    NotNeeded,
    /// This gateway runs the request, and no other does.
    Granted(Claim),
    /// The request ran before; this is the stored answer.
    Answered(StoredAnswer),
}

/// The exclusive right to run the request of a key.
pub(crate) struct Claim {
    gateway: Arc<Gateway>,
    new: NewClaim,
}

/// Claims the key of a request in the ledger. The request must not run before this returns.
///
/// # Errors
/// `ControlUnavailable` with `executed: no` when it is not certain that the claim was granted;
/// `IdempotencyInProgress`, `IdempotencyConflict` and `OutcomeUnknown` as the ledger answers.
pub(crate) async fn claim(
    gateway: &Arc<Gateway>,
    request: &RequestId,
    tenant: &str,
    rules: &RunRules,
    content_digest: u64,
) -> Result<Claimed, Failure> {
    let Some(key) = rules.key.clone() else {
        return Ok(Claimed::NotNeeded);
    };
    let session = gateway.session.wait(SESSION_WAIT).await?;
    let new = NewClaim {
        tenant: TenantId(tenant.to_owned()),
        key,
        content_digest,
        at_most_once: rules.at_most_once,
        gateway: GatewayId(gateway.settings.gateway_id.clone()),
        session: session.epoch,
        attempt: rand::random(),
    };
    let claim = Claim {
        gateway: Arc::clone(gateway),
        new,
    };
    let subject = RequestSubject {
        request: request.clone(),
        tenant: tenant.into(),
    };
    let (caller, claimed) = oneshot::channel();
    gateway.spawn_tracked(claim.acquire(caller));
    let claimed = claimed.await.unwrap_or_else(|_| Err(unexpected()));
    let outcome = match &claimed {
        Ok(Claimed::NotNeeded | Claimed::Granted(_)) => "granted",
        Ok(Claimed::Answered(_)) => "answered",
        Err(failure) => failure.kind.answer().code,
    };
    gateway
        .observer
        .claimed(gateway.clock().now(), &subject, outcome);
    claimed
}

impl Claim {
    /// Acquires the claim, and releases it if the caller has disconnected meanwhile.
    async fn acquire(self, caller: oneshot::Sender<Result<Claimed, Failure>>) {
        let acquired = match self.gateway.control.propose(self.command()).await {
            Ok(Outcome::Claim(outcome)) => self.into_claimed(outcome),
            Ok(_) => Err(unexpected()),
            Err(failure) => Err(self.not_granted(&failure)),
        };
        if let Err(Ok(Claimed::Granted(claim))) = caller.send(acquired) {
            claim.release().await;
        }
    }

    /// Whether the request must never run twice.
    pub(crate) fn at_most_once(&self) -> bool {
        self.new.at_most_once
    }

    fn command(&self) -> CommandBody {
        CommandBody::ClaimRequest(self.new.clone())
    }

    fn into_claimed(self, outcome: ClaimOutcome) -> Result<Claimed, Failure> {
        let (kind, message) = match outcome {
            ClaimOutcome::Granted => return Ok(Claimed::Granted(self)),
            ClaimOutcome::Answered(answer) => return Ok(Claimed::Answered(answer)),
            ClaimOutcome::InProgress => (
                ErrorKind::IdempotencyInProgress,
                "a request with this key is still running",
            ),
            ClaimOutcome::OutcomeUnknown => (
                ErrorKind::OutcomeUnknown,
                "the request of this key was started and its outcome was lost; it is not run again",
            ),
            ClaimOutcome::ContentDiffers => (
                ErrorKind::IdempotencyConflict,
                "this key was used before with other content",
            ),
        };
        let failure = Failure::new(kind, message);
        Err(if kind.answer().retryable {
            failure.with_retry_after(IN_PROGRESS_RETRY)
        } else {
            failure
        })
    }

    /// The refusal of a request whose claim is not certain. The request is not run; a claim that
    /// was granted after all is released.
    fn not_granted(self, failure: &Failure) -> Failure {
        let kind = match failure.kind {
            ErrorKind::ControlOutcomeUnknown => {
                let gateway = Arc::clone(&self.gateway);
                gateway.spawn_tracked(self.resolve());
                ErrorKind::ControlUnavailable
            }
            ErrorKind::InvalidState => ErrorKind::ControlUnavailable,
            other => other,
        };
        let refusal = Failure::new(
            kind,
            "the idempotency key could not be claimed, so the request was not run",
        )
        .with_executed(linnethitch_errors::Executed::No);
        if kind.answer().retryable {
            refusal.with_retry_after(IN_PROGRESS_RETRY)
        } else {
            refusal
        }
    }

    /// Determines whether the claim was granted, and releases it if so.
    async fn resolve(self) {
        let acquired = self.propose_until_answered(self.command()).await;
        if acquired == Some(Outcome::Claim(ClaimOutcome::Granted)) {
            self.propose_until_answered(self.finish(None)).await;
        }
    }

    fn finish(&self, answer: Option<StoredAnswer>) -> CommandBody {
        CommandBody::FinishClaim {
            tenant: self.new.tenant.clone(),
            key: self.new.key.clone(),
            gateway: self.new.gateway.clone(),
            session: self.new.session,
            attempt: self.new.attempt,
            answer,
        }
    }

    /// Stores the answer, which every later resend gets.
    pub(crate) async fn store_answer(self, answer: StoredAnswer) {
        self.settle(Some(answer)).await;
    }

    /// Releases the key: the request did not run, or may be repeated.
    pub(crate) async fn release(self) {
        self.settle(None).await;
    }

    async fn settle(self, answer: Option<StoredAnswer>) {
        let gateway = Arc::clone(&self.gateway);
        let settled = gateway.spawn_tracked(async move {
            let command = self.finish(answer);
            self.propose_until_answered(command).await;
        });
        // After this time the claim is settled in the background, while the caller is answered.
        let _ = tokio::time::timeout(SETTLE_WAIT, settled).await;
    }

    /// Proposes a command until the ledger answers, or until the session, and with it the claim,
    /// has ended.
    async fn propose_until_answered(&self, command: CommandBody) -> Option<Outcome> {
        loop {
            let failure = match self.gateway.control.propose(command.clone()).await {
                Ok(outcome) => return Some(outcome),
                Err(failure) => failure,
            };
            let session = self.gateway.session.current(self.gateway.clock().now());
            let session_is_open = session.is_some_and(|session| session.epoch == self.new.session);
            let transient = matches!(
                failure.kind,
                ErrorKind::ControlUnavailable | ErrorKind::ControlOutcomeUnknown
            );
            if !session_is_open || !transient {
                warn!(self.gateway.logger, "claim not settled; it ends with the session";
                    "tenant" => %self.new.tenant, "error" => %failure);
                return None;
            }
            tokio::time::sleep(SETTLE_RETRY).await;
        }
    }
}
