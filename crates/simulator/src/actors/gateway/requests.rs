//! A gateway's requests with idempotency keys: claimed, run, answered, as the
//! gateway does it.

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

/// How long a request runs, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..2_000;
/// Wait before a call that must succeed is made again, in milliseconds.
const RETRY_MS: u64 = 200;

/// The gateway's number of a request; drawn at random, as its attempt.
type Attempt = u64;

/// Where a request stands.
#[derive(Clone, Debug)]
enum Stage {
    /// The key is being claimed.
    Claiming,
    /// It is not run, but the claim may have been taken: that is to be found out.
    Resolving,
    /// It runs at a back end.
    Running { ends_at_ms: u64 },
    /// The ledger is told how it ended.
    Finishing(Option<StoredAnswer>),
}

struct Request {
    caller: Address,
    request: OnlineRequest,
    session: BatchSession,
    stage: Stage,
    /// A call that was not answered is made again then.
    again_at_ms: Option<u64>,
}

/// The requests of one process.
pub(super) struct Requests {
    gateway: GatewayId,
    open: BTreeMap<Attempt, Request>,
}

impl Requests {
    /// None.
    pub(super) fn new(gateway: GatewayId) -> Self {
        Requests {
            gateway,
            open: BTreeMap::new(),
        }
    }

    /// What is not at an end yet, if anything.
    pub(super) fn under_way(&self) -> Option<String> {
        let open = self.open.values().next()?;
        Some(format!("{} at {:?}", open.request.key, open.stage))
    }

    /// Takes a caller's request; without a session it is refused at once.
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
            again_at_ms: None,
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

    /// The answer to a claim.
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
                    // It is not certain that the key is held, so nothing runs.
                    let answer = refused(ErrorKind::ControlUnavailable);
                    reply(open.caller, &open.request, answer, context);
                    open.stage = Stage::Resolving;
                }
                open.again_at_ms = Some(context.now_ms + RETRY_MS);
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
                    reply(open.caller, &open.request, told(other), context);
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

    /// The answer to the end of a claim.
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
                let kept = matches!(result, CallResult::Outcome(_));
                if let Stage::Finishing(Some(answer)) = &open.stage {
                    let answer = OnlineAnswer::Answered {
                        body: answer.body.clone(),
                        kept,
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
            _ => open.again_at_ms = Some(context.now_ms + RETRY_MS),
        }
    }

    /// Lets time pass: runs end, calls are made again.
    pub(super) fn tick(&mut self, calls: &mut GatewayCalls, context: &mut Context) {
        let attempts: Vec<Attempt> = self.open.keys().copied().collect();
        for attempt in attempts {
            let Some(open) = self.open.get_mut(&attempt) else {
                continue;
            };
            let again = open.again_at_ms.take_if(|at_ms| *at_ms <= context.now_ms);
            match open.stage.clone() {
                Stage::Running { ends_at_ms } if ends_at_ms <= context.now_ms => {
                    let answer = StoredAnswer {
                        status: 200,
                        content_type: "application/json".to_owned(),
                        body: format!("{{\"attempt\":{attempt}}}").into_bytes(),
                    };
                    self.finish(attempt, Some(answer), calls, context);
                }
                Stage::Resolving if again.is_some() => self.claim(attempt, calls, context),
                Stage::Finishing(answer) if again.is_some() => {
                    self.finish(attempt, answer, calls, context);
                }
                _ => {}
            }
        }
    }
}

/// What a caller is told of a claim that was not granted.
fn told(claimed: ClaimOutcome) -> OnlineAnswer {
    match claimed {
        ClaimOutcome::Answered(answer) => OnlineAnswer::Answered {
            body: answer.body,
            kept: true,
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

/// A key of a caller, unique in the run.
pub(crate) fn key(caller: &str, number: u64) -> IdempotencyKey {
    IdempotencyKey(format!("{caller}-{number}"))
}
