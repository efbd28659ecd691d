//! A gateway's requests with idempotency keys, which are claimed, run and answered like
//! in the production gateway.

use std::collections::BTreeMap;

use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_gateway::batch::BatchSession;
use linnethitch_protocol::{
    command::{ClaimOutcome, CommandBody, NewClaim, Outcome},
    ids::{GatewayId, IdempotencyKey, TenantId},
    query::StoredAnswer,
};
use rand::Rng;

use super::{GatewayCall, GatewayCalls};
use crate::{
    actors::{Context, calls::CallResult, fleet_text::TENANT},
    network::{Address, OnlineAnswer, OnlineRequest, Packet},
};

/// Duration of a request, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..2_000;
/// Delay before a call that must succeed is retried, in milliseconds.
const RETRY_MS: u64 = 200;

/// The attempt number of a request, drawn at random.
type Attempt = u64;

/// The stage of a request.
#[derive(Clone, Debug)]
enum Stage {
    /// The key is being claimed.
    Claiming,
    /// The request does not run; the claim is retried to find out whether it was granted.
    Resolving,
    /// The request runs at a back end.
    Running { ends_at_ms: u64 },
    /// The result is being reported to the ledger.
    Finishing(Option<StoredAnswer>),
}

struct Request {
    caller: Address,
    request: OnlineRequest,
    session: BatchSession,
    stage: Stage,
    /// Time to retry the call, in milliseconds, if it failed.
    retry_at_ms: Option<u64>,
}

/// The open requests of a gateway process.
pub(super) struct Requests {
    gateway: GatewayId,
    open: BTreeMap<Attempt, Request>,
}

impl Requests {
    /// Creates an empty set of requests.
    pub(super) fn new(gateway: GatewayId) -> Self {
        Requests {
            gateway,
            open: BTreeMap::new(),
        }
    }

    /// Describes an unfinished request, if any.
    pub(super) fn unfinished(&self) -> Option<String> {
        let open = self.open.values().next()?;
        Some(format!("{} at {:?}", open.request.key, open.stage))
    }

    /// Handles a caller's request; refuses it at once if there is no session.
    pub(super) fn receive(
        &mut self,
        caller: Address,
        request: OnlineRequest,
        session: Option<BatchSession>,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) {
        let Some(session) = session else {
            reply(
                caller,
                &request,
                refused(ErrorKind::ControlUnavailable),
                context,
            );
            return;
        };
        let attempt = context.random.random();
        let open = Request {
            caller,
            request,
            session,
            stage: Stage::Claiming,
            retry_at_ms: None,
        };
        self.open.insert(attempt, open);
        self.claim(attempt, calls, context);
    }

    fn claim(&self, attempt: Attempt, calls: &mut GatewayCalls, context: &mut Context) {
        let Some(open) = self.open.get(&attempt) else {
            return;
        };
        let body = CommandBody::ClaimRequest(NewClaim {
            tenant: TenantId::from(TENANT),
            key: open.request.key.clone(),
            content_digest: open.request.content_digest,
            at_most_once: open.request.at_most_once,
            gateway: self.gateway.clone(),
            session: open.session.epoch,
            attempt,
        });
        calls.propose(body, GatewayCall::Claim(attempt), context);
    }

    /// Handles the answer to a claim.
    pub(super) fn on_claimed(
        &mut self,
        attempt: Attempt,
        result: CallResult,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) {
        let Some(open) = self.open.get_mut(&attempt) else {
            return;
        };
        let resolving = matches!(open.stage, Stage::Resolving);
        let claimed = match result {
            CallResult::Outcome(outcome) => match *outcome {
                Outcome::Claim(claimed) => claimed,
                _ => return,
            },
            CallResult::Refused(_) if !resolving => {
                let answer = refused(ErrorKind::ControlUnavailable);
                reply(open.caller, &open.request, answer, context);
                self.open.remove(&attempt);
                return;
            }
            CallResult::Refused(ErrorKind::InvalidState) => {
                self.open.remove(&attempt);
                return;
            }
            _ => {
                if !resolving {
                    // It is uncertain whether the claim was granted, so the request must not run.
                    let answer = refused(ErrorKind::ControlUnavailable);
                    reply(open.caller, &open.request, answer, context);
                    open.stage = Stage::Resolving;
                }
                open.retry_at_ms = Some(context.now_ms + RETRY_MS);
                return;
            }
        };
        match claimed {
            ClaimOutcome::Granted if resolving => self.finish(attempt, None, calls, context),
            ClaimOutcome::Granted => {
                context.checker.on_request_start(&open.request);
                let ends_at_ms = context.now_ms + context.random.random_range(RUN_MS);
                open.stage = Stage::Running { ends_at_ms };
            }
            other => {
                if !resolving {
                    reply(open.caller, &open.request, claim_answer(other), context);
                }
                self.open.remove(&attempt);
            }
        }
    }

    fn finish(
        &mut self,
        attempt: Attempt,
        answer: Option<StoredAnswer>,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) {
        let Some(open) = self.open.get_mut(&attempt) else {
            return;
        };
        open.stage = Stage::Finishing(answer.clone());
        let body = CommandBody::FinishClaim {
            tenant: TenantId::from(TENANT),
            key: open.request.key.clone(),
            gateway: self.gateway.clone(),
            session: open.session.epoch,
            attempt,
            answer,
        };
        calls.propose(body, GatewayCall::FinishClaim(attempt), context);
    }

    /// Handles the answer to the end of a claim.
    pub(super) fn on_finished(
        &mut self,
        attempt: Attempt,
        result: &CallResult,
        context: &mut Context,
    ) {
        let Some(open) = self.open.get_mut(&attempt) else {
            return;
        };
        match result {
            CallResult::Outcome(_) | CallResult::Refused(ErrorKind::InvalidState) => {
                let stored = matches!(result, CallResult::Outcome(_));
                if let Stage::Finishing(Some(answer)) = &open.stage {
                    let answer = OnlineAnswer::Answered {
                        body: answer.body.clone(),
                        stored,
                    };
                    reply(open.caller, &open.request, answer, context);
                }
                self.open.remove(&attempt);
            }
            CallResult::Refused(ErrorKind::OutcomeUnknown) => {
                let answer = refused(ErrorKind::OutcomeUnknown);
                reply(open.caller, &open.request, answer, context);
                self.open.remove(&attempt);
            }
            _ => open.retry_at_ms = Some(context.now_ms + RETRY_MS),
        }
    }

    /// Finishes requests whose run has ended and retries due calls.
    pub(super) fn tick(&mut self, calls: &mut GatewayCalls, context: &mut Context) {
        let attempts: Vec<Attempt> = self.open.keys().copied().collect();
        for attempt in attempts {
            let Some(open) = self.open.get_mut(&attempt) else {
                continue;
            };
            let retry = open.retry_at_ms.take_if(|at_ms| *at_ms <= context.now_ms);
            match open.stage.clone() {
                Stage::Running { ends_at_ms } if ends_at_ms <= context.now_ms => {
                    let answer = StoredAnswer {
                        status: 200,
                        content_type: "application/json".to_owned(),
                        body: format!("{{\"attempt\":{attempt}}}").into_bytes(),
                    };
                    self.finish(attempt, Some(answer), calls, context);
                }
                Stage::Resolving if retry.is_some() => self.claim(attempt, calls, context),
                Stage::Finishing(answer) if retry.is_some() => {
                    self.finish(attempt, answer, calls, context);
                }
                _ => {}
            }
        }
    }
}

/// The answer to a caller whose claim was not granted.
fn claim_answer(claimed: ClaimOutcome) -> OnlineAnswer {
    match claimed {
        ClaimOutcome::Answered(answer) => OnlineAnswer::Answered {
            body: answer.body,
            stored: true,
        },
        ClaimOutcome::InProgress => refused(ErrorKind::IdempotencyInProgress),
        ClaimOutcome::OutcomeUnknown => refused(ErrorKind::OutcomeUnknown),
        ClaimOutcome::ContentDiffers | ClaimOutcome::Granted => {
            refused(ErrorKind::IdempotencyConflict)
        }
    }
}

fn refused(kind: ErrorKind) -> OnlineAnswer {
    OnlineAnswer::Refused {
        kind,
        executed: kind.answer().executed,
    }
}

fn reply(caller: Address, request: &OnlineRequest, answer: OnlineAnswer, context: &mut Context) {
    if let OnlineAnswer::Refused {
        executed: Executed::No,
        ..
    } = answer
    {
        context.checker.on_request_refused(request);
    }
    let number = request.number;
    context.send(caller, Packet::Reply { number, answer });
}

/// Creates an idempotency key of a caller, unique in the run.
pub(crate) fn idempotency_key(caller: &str, number: u64) -> IdempotencyKey {
    IdempotencyKey(format!("{caller}-{number}"))
}
