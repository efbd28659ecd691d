//! The batch work of a gateway: the production executor, run against virtual engines
//! that record every start.

use std::collections::BTreeMap;

use linnethitch_errors::ErrorKind;
use linnethitch_gateway::batch::{
    BatchAction, BatchEvent, BatchExecutor, BatchSession, CallAnswer, ExecutorSettings, FailedRun,
    GeneratedTokens, PlannedStart, ReplicaCapacity, RunEnd, RunId, RunOrder, StartAnswer,
};
use linnethitch_protocol::{
    command::{CommandBody, ItemStart, Outcome, SentRequest},
    ids::{GatewayId, ModelId, ReplicaId, Timestamp},
};
use linnethitch_routing::ReasonCode;
use rand::Rng;

use super::{GatewayCall, GatewayCalls};
use crate::{
    actors::{Context, calls::CallResult, fleet_text::MODEL},
    engines::{Engines, InFlight, Known},
};

/// Number of engines.
const ENGINES: u32 = 2;
/// Maximum number of sequences of each gateway on each engine.
const SEQUENCES: u32 = 4;
/// Time that a request takes to its engine, in milliseconds.
const SEND_MS: std::ops::Range<u64> = 0..400;
/// Duration of a run of an item, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..3_000;
/// Share of runs that fail after the engine may have started them.
const FAILED_SHARE: f64 = 0.04;
/// Share of runs that fail before they reach an engine.
const UNSENT_SHARE: f64 = 0.03;
/// Share of runs that the engine rejects.
const REJECTED_SHARE: f64 = 0.01;

/// A run of an item at an engine.
struct Run {
    order: RunOrder,
    ends_at_ms: u64,
    end: RunEnd,
    unsent: bool,
}

impl Run {
    /// How the run ends, given what its engine knows of it.
    fn end(self, engines: &Engines) -> RunEnd {
        if self.unsent {
            return self.end;
        }
        match engines.known(&self.order.request_id()) {
            Some(Known::Started) => self.end,
            Some(Known::Withdrawn) => failed(FailedRun::NotStarted),
            None => failed(FailedRun::Interrupted),
        }
    }
}

/// The batch work of a gateway process.
pub(super) struct Execution {
    gateway: GatewayId,
    executor: BatchExecutor,
    runs: BTreeMap<RunId, Run>,
    session: Option<BatchSession>,
}

impl Execution {
    /// Creates the executor of a process that has just started.
    pub(super) fn new(gateway: GatewayId) -> Self {
        let settings = ExecutorSettings {
            max_items: 16,
            ..ExecutorSettings::default()
        };
        let mut executor = BatchExecutor::new(settings);
        let capacities = (0..ENGINES).map(|number| ReplicaCapacity {
            replica: ReplicaId(format!("engine-{number}")),
            model: ModelId::from(MODEL),
            adapters: Vec::new(),
            sequences: SEQUENCES,
            reason: ReasonCode::IdleCapacity,
        });
        // The executor has no items yet, so it returns no actions.
        let _ = executor.handle(Timestamp(0), BatchEvent::Capacity(capacities.collect()));
        Execution {
            gateway,
            executor,
            runs: BTreeMap::new(),
            session: None,
        }
    }

    /// Describes unfinished work, if any.
    pub(super) fn unfinished(&self) -> Option<String> {
        let (leased, uncommitted) = (
            self.executor.leased_items(),
            self.executor.uncommitted_results(),
        );
        let runs = self.runs.len();
        (!self.executor.is_idle())
            .then(|| format!("{leased} items, {runs} runs, {uncommitted} results not committed"))
    }

    /// Handles a changed session and ended runs, and ticks the executor.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        session: Option<BatchSession>,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) {
        if session != self.session {
            self.session = session;
            self.handle(now, BatchEvent::Session(session), calls, context);
        }
        let ended: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at_ms <= context.now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            if let Some(run) = self.runs.remove(&id) {
                let event = BatchEvent::RunEnded {
                    run: id,
                    end: run.end(context.engines),
                };
                self.handle(now, event, calls, context);
            }
        }
        self.handle(now, BatchEvent::Tick, calls, context);
    }

    /// Passes an event to the executor and executes the resulting actions.
    pub(super) fn handle(
        &mut self,
        now: Timestamp,
        event: BatchEvent,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.executor.handle(now, event) {
                events.extend(self.execute(action, calls, context));
            }
        }
    }

    fn execute(
        &mut self,
        action: BatchAction,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) -> Option<BatchEvent> {
        let gateway = self.gateway.clone();
        match action {
            BatchAction::Lease {
                session,
                sequence,
                requested,
            } => {
                let body = CommandBody::LeaseItems {
                    gateway,
                    session,
                    sequence,
                    requested: vec![requested],
                    until: self.session.map_or(Timestamp(0), |session| session.until),
                };
                calls.propose(body, GatewayCall::Lease(sequence), context);
            }
            BatchAction::MarkStarted {
                session,
                number,
                starts,
            } => {
                let incarnation = context.engines.incarnation();
                let starts = starts
                    .iter()
                    .map(|planned| item_start(planned, &incarnation));
                let body = CommandBody::StartItemsAt {
                    gateway,
                    session,
                    starts: starts.collect(),
                };
                calls.propose(body, GatewayCall::MarkStarted(number), context);
            }
            BatchAction::Commit {
                session,
                number,
                results,
            } => {
                let body = CommandBody::CompleteItems {
                    gateway,
                    session,
                    results,
                };
                calls.propose(body, GatewayCall::Commit(number), context);
            }
            BatchAction::Release {
                session,
                number,
                keys,
            } => {
                let body = CommandBody::ReleaseItems {
                    gateway,
                    session,
                    items: keys,
                };
                calls.propose(body, GatewayCall::Release(number), context);
            }
            BatchAction::Run(order) => self.run(order, context),
            BatchAction::Stop { run } => {
                return self.runs.remove(&run).map(|_| BatchEvent::RunEnded {
                    run,
                    end: RunEnd::Stopped {
                        generated: GeneratedTokens::default(),
                    },
                });
            }
            BatchAction::RequestGrants(_) | BatchAction::RecordDecision(_) => {}
        }
        None
    }

    /// Starts a run of an item and draws its result; the engine records the start.
    fn run(&mut self, order: RunOrder, context: &mut Context) {
        let key = &order.item.key;
        let unsent = context.random.random_bool(UNSENT_SHARE);
        let end = if unsent {
            failed(FailedRun::NotStarted)
        } else if context.random.random_bool(FAILED_SHARE) {
            failed(FailedRun::Answered)
        } else if context.random.random_bool(REJECTED_SHARE) {
            RunEnd::Rejected {
                kind: ErrorKind::ContextTooLong,
                message: "too long".to_owned(),
            }
        } else {
            let body = format!("{{\"item\":{},\"by\":\"{}\"}}", key.item, self.gateway);
            RunEnd::Answered {
                status: 200,
                body: body.into_bytes(),
            }
        };
        let arrives_at_ms = context.now_ms + context.random.random_range(SEND_MS);
        if !unsent {
            context.engines.send(InFlight {
                arrives_at_ms,
                request: order.request_id(),
                job: key.job.clone(),
                item: key.item,
                at_most_once: order.item.at_most_once,
            });
        }
        let ends_at_ms = arrives_at_ms + context.random.random_range(RUN_MS);
        let run = Run {
            ends_at_ms,
            end,
            unsent,
            order,
        };
        self.runs.insert(run.order.run, run);
    }

    /// Handles the answer to a call of the executor.
    pub(super) fn on_result(
        &mut self,
        now: Timestamp,
        call: GatewayCall,
        result: CallResult,
        calls: &mut GatewayCalls,
        context: &mut Context,
    ) {
        let event = match call {
            GatewayCall::Lease(sequence) => BatchEvent::Leased {
                sequence,
                answer: answer(result, |outcome| match outcome {
                    Outcome::Leased(items) => Some(items),
                    _ => None,
                }),
            },
            GatewayCall::MarkStarted(number) => BatchEvent::Started {
                number,
                answer: answer(result, |outcome| match outcome {
                    Outcome::Started(granted) => Some(start_answers(granted)),
                    _ => None,
                }),
            },
            GatewayCall::Commit(number) => BatchEvent::Committed {
                number,
                answer: answer(result, |outcome| match outcome {
                    Outcome::Completed { .. } => Some(()),
                    _ => None,
                }),
            },
            GatewayCall::Release(number) => BatchEvent::Released {
                number,
                answer: answer(result, |outcome| match outcome {
                    Outcome::Done => Some(()),
                    _ => None,
                }),
            },
            _ => return,
        };
        self.handle(now, event, calls, context);
    }
}

fn item_start(planned: &PlannedStart, incarnation: &str) -> ItemStart {
    ItemStart {
        key: planned.key.clone(),
        attempt: planned.run.0,
        request: Some(SentRequest {
            replica: planned.replica.clone(),
            address: String::new(),
            incarnation: incarnation.to_owned(),
            request: planned.request_id(),
        }),
    }
}

/// The answers to a call that records starts, as the driver in the production gateway makes them.
fn start_answers(granted: Vec<bool>) -> Vec<StartAnswer> {
    let answers = granted.into_iter().map(|granted| {
        if granted {
            StartAnswer::Recorded {
                address: String::new(),
            }
        } else {
            StartAnswer::Refused
        }
    });
    answers.collect()
}

fn failed(progress: FailedRun) -> RunEnd {
    RunEnd::Failed {
        progress,
        generated: GeneratedTokens::default(),
        message: "the engine failed".to_owned(),
    }
}

/// Converts the result of a call like the driver in the production gateway.
fn answer<T>(result: CallResult, extract: impl FnOnce(Outcome) -> Option<T>) -> CallAnswer<T> {
    match result {
        CallResult::Outcome(outcome) => {
            extract(*outcome).map_or(CallAnswer::Unknown, CallAnswer::Done)
        }
        CallResult::Refused(ErrorKind::InvalidState) => CallAnswer::Fenced,
        _ => CallAnswer::Unknown,
    }
}
