//! A claim of an idempotency key, from taking it to the answer that is kept under it.

use std::{sync::Arc, time::Duration};

use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    command::{ClaimOutcome, CommandBody, NewClaim, Outcome},
    ids::{GatewayId, RequestId, TenantId},
    query::KeptAnswer,
};
use slog::warn;
use tokio::sync::oneshot;

use crate::{
    claims::RunRules, control::client::unexpected, observe::RequestSubject, state::Gateway,
};

/// Longest wait for the gateway's session, so that a request is refused at once while
/// control is away.
const SESSION_WAIT: Duration = Duration::from_millis(200);
/// Longest time that an answer waits until the ledger keeps it. The ledger is told on
/// after that, but the caller gets its answer.
const SETTLE_WAIT: Duration = Duration::from_secs(2);
/// Wait before the ledger is told again.
const SETTLE_RETRY: Duration = Duration::from_millis(100);
/// When a resend of a request that still runs is worth trying.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// What came of a request's key.
pub(crate) enum Claimed {
    /// The request has none.
    NotNeeded,
    /// This gateway runs the request, and nobody else does.
    Granted(Claim),
    /// It ran before; this is its answer.
    Answered(KeptAnswer),
}

/// The right to run the request of a key.
pub(crate) struct Claim {
    gateway: Arc<Gateway>,
    new: NewClaim,
}

/// Claims the key of a request in the ledger. Nothing is run before this returns.
///
/// # Errors
/// `ControlUnavailable` with `executed: no` when the claim is not certain;
/// `IdempotencyInProgress`, `IdempotencyConflict` and `OutcomeUnknown` as the ledger says.
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
    gateway.spawn_tracked(claim.take(caller));
    let claimed = claimed.await.unwrap_or_else(|_| Err(unexpected()));
    let told = match &claimed {
        Ok(Claimed::NotNeeded | Claimed::Granted(_)) => "granted",
        Ok(Claimed::Answered(_)) => "answered",
        Err(failure) => failure.kind.answer().code,
    };
    gateway
        .observer
        .claimed(gateway.clock().now(), &subject, told);
    claimed
}

impl Claim {
    /// Takes the claim; gives it back if the caller went away meanwhile.
    async fn take(self, caller: oneshot::Sender<Result<Claimed, Failure>>) {
        let taken = match self.gateway.control.propose(self.command()).await {
            Ok(Outcome::Claim(outcome)) => self.judge(outcome),
            Ok(_) => Err(unexpected()),
            Err(failure) => Err(self.not_taken(&failure)),
        };
        if let Err(Ok(Claimed::Granted(claim))) = caller.send(taken) {
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

    fn judge(self, outcome: ClaimOutcome) -> Result<Claimed, Failure> {
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

    /// The refusal of a request whose claim is not certain. It was not run; a claim that was
    /// taken all the same is given back.
    fn not_taken(self, failure: &Failure) -> Failure {
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

    /// Finds out whether the claim was taken, and frees the key if so.
    async fn resolve(self) {
        let taken = self.insist(self.command()).await;
        if taken == Some(Outcome::Claim(ClaimOutcome::Granted)) {
            self.insist(self.finish(None)).await;
        }
    }

    fn finish(&self, answer: Option<KeptAnswer>) -> CommandBody {
        CommandBody::FinishClaim {
            tenant: self.new.tenant.clone(),
            key: self.new.key.clone(),
            gateway: self.new.gateway.clone(),
            session: self.new.session,
            attempt: self.new.attempt,
            answer,
        }
    }

    /// Keeps the answer that every resend gets from now on.
    pub(crate) async fn store_answer(self, answer: KeptAnswer) {
        self.settle(Some(answer)).await;
    }

    /// Frees the key: nothing ran, or what ran may be repeated.
    pub(crate) async fn release(self) {
        self.settle(None).await;
    }

    async fn settle(self, answer: Option<KeptAnswer>) {
        let gateway = Arc::clone(&self.gateway);
        let settled = gateway.spawn_tracked(async move {
            let command = self.finish(answer);
            self.insist(command).await;
        });
        // What is not settled in this time is settled behind the answer's back.
        let _ = tokio::time::timeout(SETTLE_WAIT, settled).await;
    }

    /// Proposes until the ledger answers or the session, and with it the claim, has ended.
    async fn insist(&self, command: CommandBody) -> Option<Outcome> {
        loop {
            let failure = match self.gateway.control.propose(command.clone()).await {
                Ok(outcome) => return Some(outcome),
                Err(failure) => failure,
            };
            let session = self.gateway.session.current(self.gateway.clock().now());
            let lasts = session.is_some_and(|session| session.epoch == self.new.session);
            let passing = matches!(
                failure.kind,
                ErrorKind::ControlUnavailable | ErrorKind::ControlOutcomeUnknown
            );
            if !lasts || !passing {
                warn!(self.gateway.logger, "claim left to the ledger";
                    "tenant" => %self.new.tenant, "error" => %failure);
                return None;
            }
            tokio::time::sleep(SETTLE_RETRY).await;
        }
    }
}
