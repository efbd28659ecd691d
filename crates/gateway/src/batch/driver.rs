//! Carries out the executor's actions in a running gateway.

use std::{collections::HashMap, sync::Arc, time::Duration};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::GatewayMessage,
    command::{CommandBody, Outcome, RequestedItems},
    ids::{GatewayId, SessionEpoch, Timestamp},
};
use slog::{Logger, debug, o};
use tokio::{sync::mpsc, task::JoinSet};
use tokio_util::sync::CancellationToken;

use crate::{
    batch::{
        BatchAction, BatchDecision, BatchEvent, BatchExecutor, BatchSession, CallAnswer,
        ExecutorSettings, ReplicaCapacity, RunId, run::run_item, starts,
    },
    control::session::Session,
    state::Gateway,
};

/// Longest time between two steps of the executor.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the queue of events for the executor.
pub(crate) const MAX_WAITING_EVENTS: usize = 1_024;

/// The executor of one gateway, and the tasks of its runs and calls.
struct Driver {
    gateway: Arc<Gateway>,
    executor: BatchExecutor,
    events: mpsc::Receiver<BatchEvent>,
    runs: HashMap<RunId, CancellationToken>,
    tasks: JoinSet<BatchEvent>,
    gateway_id: GatewayId,
    logger: Logger,
}

/// Executes batch items until the process stops and the executor is drained.
pub(crate) async fn run(gateway: Arc<Gateway>, events: mpsc::Receiver<BatchEvent>) {
    let mut driver = Driver {
        executor: BatchExecutor::new(settings(&gateway)),
        events,
        runs: HashMap::new(),
        tasks: JoinSet::new(),
        gateway_id: GatewayId(gateway.settings.gateway_id.clone()),
        logger: gateway.logger.new(o!("part" => "batch")),
        gateway,
    };
    driver.run_until_stop().await;
    driver.drain().await;
}

fn settings(gateway: &Gateway) -> ExecutorSettings {
    let policy = gateway.configuration.load();
    ExecutorSettings {
        max_items: gateway.settings.limits.max_batch_items,
        max_attempts: policy
            .as_ref()
            .map_or(ExecutorSettings::default().max_attempts, |active| {
                active.fleet.batch.max_attempts
            }),
        ..ExecutorSettings::default()
    }
}

impl Driver {
    async fn run_until_stop(&mut self) {
        let stopping = self.gateway.stopping.clone();
        loop {
            tokio::select! {
                () = stopping.cancelled() => return,
                () = self.step() => {}
            }
        }
    }

    /// Leases nothing more, releases items that do not run, and lets running items finish.
    async fn drain(&mut self) {
        self.handle(BatchEvent::Drain);
        while !self.executor.is_idle() {
            self.step().await;
        }
    }

    /// Waits for the next event and handles it. Cancel-safe while it waits.
    async fn step(&mut self) {
        let changed = Arc::clone(&self.gateway.decisions.batch_capacity_changed);
        let mut session = self.gateway.session.subscribe();
        let event = tokio::select! {
            biased;
            () = changed.notified() => BatchEvent::Tick,
            Some(Ok(event)) = self.tasks.join_next() => event,
            Some(event) = self.events.recv() => event,
            Ok(()) = session.changed() => BatchEvent::Tick,
            () = tokio::time::sleep(TICK_INTERVAL) => BatchEvent::Tick,
        };
        self.refresh();
        self.handle(event);
    }

    /// Passes the current session, settings and capacity to the executor.
    fn refresh(&mut self) {
        let session = self.gateway.session.current(self.now());
        let session = session.map(|Session { epoch, until }| BatchSession { epoch, until });
        self.executor.set_settings(settings(&self.gateway));
        self.handle(BatchEvent::Session(session));
        let capacities = self.gateway.decisions.batch_capacities();
        self.update_metrics(&capacities);
        self.handle(BatchEvent::Capacity(capacities));
    }

    fn update_metrics(&self, capacities: &[ReplicaCapacity]) {
        let metrics = &self.gateway.observer.metrics;
        let sequences: i64 = capacities
            .iter()
            .map(|capacity| i64::from(capacity.sequences))
            .sum();
        metrics.batch_room.set(sequences);
        metrics
            .batch_items_held
            .set(self.executor.leased_items().try_into().unwrap_or(i64::MAX));
        metrics.batch_results_waiting.set(
            self.executor
                .uncommitted_results()
                .try_into()
                .unwrap_or(i64::MAX),
        );
    }

    fn now(&self) -> Timestamp {
        self.gateway.clock().now()
    }

    fn handle(&mut self, event: BatchEvent) {
        if let BatchEvent::RunEnded { run, .. } = &event {
            self.runs.remove(run);
        }
        let now = self.now();
        for action in self.executor.handle(now, event) {
            self.execute(now, action);
        }
    }

    fn execute(&mut self, now: Timestamp, action: BatchAction) {
        match action {
            BatchAction::RequestGrants(requests) => {
                let message = GatewayMessage::RequestGrants(requests);
                self.gateway.control.notify(&message);
            }
            BatchAction::Run(order) => {
                let stop = CancellationToken::new();
                self.runs.insert(order.run, stop.clone());
                self.tasks
                    .spawn(run_item(Arc::clone(&self.gateway), order, stop));
            }
            BatchAction::Stop { run } => {
                if let Some(stop) = self.runs.get(&run) {
                    stop.cancel();
                }
            }
            BatchAction::RecordDecision(decision) => self.record(now, decision),
            call => self.call(call),
        }
    }

    /// Makes a call to control; the answer comes back as an event.
    fn call(&mut self, action: BatchAction) {
        let gateway = self.gateway_id.clone();
        match action {
            BatchAction::Lease {
                session,
                sequence,
                requested,
            } => self.lease(session, sequence, requested),
            BatchAction::MarkStarted {
                session,
                number,
                starts: planned,
            } => {
                let gateway = Arc::clone(&self.gateway);
                let logger = self.logger.clone();
                self.tasks.spawn(async move {
                    let answer = starts::record(&gateway, session, &planned, &logger).await;
                    BatchEvent::Started { number, answer }
                });
            }
            BatchAction::Commit {
                session,
                number,
                results,
            } => self.propose(
                CommandBody::CompleteItems {
                    gateway,
                    session,
                    results,
                },
                |outcome| matches!(outcome, Outcome::Completed { .. }).then_some(()),
                move |answer| BatchEvent::Committed { number, answer },
            ),
            BatchAction::Release {
                session,
                number,
                keys: items,
            } => self.propose(
                CommandBody::ReleaseItems {
                    gateway,
                    session,
                    items,
                },
                |outcome| (outcome == Outcome::Done).then_some(()),
                move |answer| BatchEvent::Released { number, answer },
            ),
            BatchAction::RequestGrants(_)
            | BatchAction::Run(_)
            | BatchAction::Stop { .. }
            | BatchAction::RecordDecision(_) => {}
        }
    }

    /// Leases items. The session's end is converted to control's clock, and the deadlines of the
    /// items to the gateway's.
    fn lease(&mut self, session: SessionEpoch, sequence: u64, requested: RequestedItems) {
        let current = self.gateway.session.current(self.now());
        let until = current.map_or(Timestamp(0), |session| session.until);
        let command = CommandBody::LeaseItems {
            gateway: self.gateway_id.clone(),
            session,
            sequence,
            requested: vec![requested],
            until: self.gateway.clock_offset.to_control(until),
        };
        let shared = Arc::clone(&self.gateway);
        let leased = move |outcome| match outcome {
            Outcome::Leased(mut items) => {
                for item in &mut items {
                    item.deadline = shared.clock_offset.to_own(item.deadline);
                }
                Some(items)
            }
            _ => None,
        };
        self.propose(command, leased, move |answer| BatchEvent::Leased {
            sequence,
            answer,
        });
    }

    /// Commits a command. `read` extracts the answer from its outcome, and `event` makes the event
    /// for the executor.
    fn propose<T: Send + 'static>(
        &mut self,
        command: CommandBody,
        read: impl FnOnce(Outcome) -> Option<T> + Send + 'static,
        event: impl FnOnce(CallAnswer<T>) -> BatchEvent + Send + 'static,
    ) {
        let control = self.gateway.control.clone();
        self.tasks.spawn(async move {
            let answer = match control.propose(command).await {
                Ok(outcome) => read(outcome).map_or(CallAnswer::Unknown, CallAnswer::Done),
                Err(failure) if failure.kind == ErrorKind::InvalidState => CallAnswer::Fenced,
                Err(_) => CallAnswer::Unknown,
            };
            event(answer)
        });
    }

    fn record(&self, now: Timestamp, decision: BatchDecision) {
        debug!(self.logger, "item";
            "job" => %decision.job,
            "item" => decision.item.0,
            "replica" => decision.replica.as_ref().map(ToString::to_string),
            "reason" => decision.reason.as_str(),
            "outcome" => &decision.outcome);
        self.gateway.observer.batch(now, decision);
    }
}
