//! Runs the engine core in real time and sends tokens to the streams of the requests.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use linnethitch_protocol::{
    command::EngineOrder,
    fleet::{EngineState, LoadReport},
    ids::FencingToken,
};
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{sleep, sleep_until},
};

use super::{
    EngineSettings,
    output::{OutputItem, OutputKind, OutputReceiver},
    withdrawn::WithdrawnIds,
};
use crate::{
    answer::PromptKey,
    clock::CompressedClock,
    engine::{
        CacheEvent, EngineCore, EngineEvent, EngineRequest, Fault, KvHandle, Refusal, SequenceId,
    },
    executions::Executions,
};

/// Interval at which a request to a hung engine checks for recovery.
const HANG_POLL: Duration = Duration::from_millis(20);

/// The key under which the starts of a prompt are counted.
pub(super) fn prompt_execution_key(prompt: PromptKey) -> String {
    format!("prompt:{:016x}", prompt.0)
}

/// The core of an engine and its open requests.
pub(super) struct EngineService {
    name: String,
    /// The version of the engine's software.
    pub(super) software: String,
    clock: CompressedClock,
    inner: Mutex<Inner>,
    wake: Notify,
    dead: watch::Sender<bool>,
}

/// The state behind the lock.
struct Inner {
    core: EngineCore,
    outputs: HashMap<SequenceId, Output>,
    by_request: HashMap<String, SequenceId>,
    exported: VecDeque<(String, SequenceId)>,
    executions: Executions,
    withdrawn: WithdrawnIds,
    /// Identifies this run of the process; what it knows of requests is lost with it.
    incarnation: u64,
    last_id: u64,
    /// Number of request ids generated so far.
    generated_request_ids: u64,
    events: Vec<EngineEvent>,
}

/// The answer to the withdrawal of a request.
pub(super) struct Withdrawal {
    /// Whether an unfinished request was cancelled.
    pub(super) cancelled: bool,
    /// Whether the request was ever started; `None` if that is no longer known.
    pub(super) started: Option<bool>,
    /// The incarnation of the engine.
    pub(super) incarnation: String,
}

/// Channel to the stream of a request.
struct Output {
    sender: mpsc::UnboundedSender<OutputItem>,
    request: String,
}

impl EngineService {
    pub(super) fn new(settings: &EngineSettings) -> EngineService {
        EngineService {
            name: settings.name.clone(),
            software: settings.software.clone(),
            clock: CompressedClock::start(settings.time_compression),
            inner: Mutex::new(Inner {
                core: new_core(settings),
                outputs: HashMap::new(),
                by_request: HashMap::new(),
                exported: VecDeque::new(),
                executions: Executions::default(),
                withdrawn: WithdrawnIds::new(settings.max_withdrawn_ids),
                incarnation: rand::random(),
                last_id: 0,
                generated_request_ids: 0,
                events: Vec::new(),
            }),
            wake: Notify::new(),
            dead: watch::Sender::new(false),
        }
    }

    /// Resets the engine to its settings, except for the counts of executions.
    pub(super) fn reset(&self, settings: &EngineSettings) {
        let mut inner = self.inner.lock();
        inner.core = new_core(settings);
        inner.outputs.clear();
        inner.by_request.clear();
        inner.exported.clear();
        inner.begin_incarnation();
        drop(inner);
        self.dead.send_replace(false);
        self.wake.notify_one();
    }

    /// Advances the core whenever its next event is due.
    pub(super) async fn drive(self: Arc<Self>) {
        loop {
            let next = {
                let mut inner = self.inner.lock();
                inner.advance(&self.clock);
                inner.core.next_event_at()
            };
            match next {
                None => self.wake.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(at).into()) => {}
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }

    /// Submits a request; dropping the receiver cancels it.
    pub(super) fn submit(
        self: &Arc<Self>,
        request_id: &str,
        mut request: EngineRequest,
    ) -> Result<OutputReceiver, Refusal> {
        let mut inner = self.inner.lock();
        inner.advance(&self.clock);
        if inner.by_request.contains_key(request_id) {
            return Err(Refusal::DuplicateId);
        }
        if inner.withdrawn.contains(request_id) {
            return Err(Refusal::Withdrawn);
        }
        inner.last_id += 1;
        let id = SequenceId(inner.last_id);
        request.id = id;
        let prompt = request.prompt;
        let prefill_only = request.prefill_only;
        inner.core.submit(self.clock.now(), request)?;
        inner.executions.record(request_id);
        inner.executions.record(&prompt_execution_key(prompt));
        if prefill_only {
            inner.record_export(request_id, id);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let request = request_id.to_owned();
        inner.by_request.insert(request.clone(), id);
        inner.outputs.insert(id, Output { sender, request });
        drop(inner);
        self.wake.notify_one();
        Ok(OutputReceiver::new(Arc::clone(self), id, receiver))
    }

    /// Cancels a request and returns whether it was present.
    pub(super) fn cancel(&self, id: SequenceId) -> bool {
        let mut inner = self.inner.lock();
        inner.remove_output(id);
        inner.core.cancel(id)
    }

    /// Cancels the request with the given request id. A request that was never started is
    /// refused from now on.
    pub(super) fn withdraw_request(&self, request: &str) -> Withdrawal {
        let mut inner = self.inner.lock();
        let id = inner.by_request.get(request).copied();
        let mut started = inner.was_started(request);
        if started != Some(true) && !inner.withdrawn.insert(request) {
            // A later request is not refused, so nothing may be concluded from the answer.
            started = None;
        }
        let incarnation = inner.incarnation_text();
        drop(inner);
        Withdrawal {
            cancelled: id.is_some_and(|id| self.cancel(id)),
            started,
            incarnation,
        }
    }

    /// The incarnation of the engine, as sent to callers.
    pub(super) fn incarnation(&self) -> String {
        self.inner.lock().incarnation_text()
    }

    /// Waits while the engine is hung.
    pub(super) async fn wait_while_hung(&self) {
        while self.inner.lock().core.faults().hung {
            sleep(HANG_POLL).await;
        }
    }

    pub(super) fn inject(&self, fault: Fault) {
        let mut inner = self.inner.lock();
        inner.advance(&self.clock);
        inner.core.inject(self.clock.now(), fault);
        let dead = inner.core.faults().dead;
        if dead {
            inner.outputs.clear();
            inner.by_request.clear();
            inner.begin_incarnation();
        }
        drop(inner);
        self.dead.send_replace(dead);
        self.wake.notify_one();
    }

    pub(super) async fn died(&self) {
        // `self` owns the sender, so waiting can not fail.
        let _ = self.dead.subscribe().wait_for(|dead| *dead).await;
    }

    pub(super) async fn recovered(&self) {
        let _ = self.dead.subscribe().wait_for(|dead| !*dead).await;
    }

    pub(super) fn order(&self, token: FencingToken, order: EngineOrder) -> bool {
        let accepted = self.inner.lock().core.order(self.clock.now(), token, order);
        self.wake.notify_one();
        accepted
    }

    pub(super) fn export(&self, request: &str) -> Option<KvHandle> {
        let inner = self.inner.lock();
        let (_, id) = inner
            .exported
            .iter()
            .rev()
            .find(|(name, _)| name == request)?;
        inner.core.export(*id)
    }

    pub(super) fn set_leaving(&self, leaving: bool) {
        self.inner.lock().core.set_leaving(leaving);
    }

    /// Generates an id for a request without one.
    pub(super) fn generate_request_id(&self) -> String {
        let mut inner = self.inner.lock();
        inner.generated_request_ids += 1;
        format!("{}-{}", self.name, inner.generated_request_ids)
    }

    pub(super) fn state(&self) -> EngineState {
        self.inner.lock().core.state().clone()
    }

    pub(super) fn true_load(&self) -> LoadReport {
        self.inner.lock().core.true_load()
    }

    /// The newest readable load report, with its time since the Unix epoch.
    pub(super) fn load_report(&self) -> LoadReport {
        let mut report = self.inner.lock().core.load_report(self.clock.now());
        report.measured_at = self.clock.timestamp(report.measured_at);
        report
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        self.inner.lock().core.cache_events(self.clock.now(), after)
    }

    pub(super) fn executions_of(&self, key: &str) -> u64 {
        self.inner.lock().executions.count(key)
    }

    pub(super) fn executions(&self) -> u64 {
        // Each start is counted under its request and under its prompt.
        self.inner.lock().executions.total() / 2
    }
}

fn new_core(settings: &EngineSettings) -> EngineCore {
    EngineCore::new(settings.model.clone(), settings.seed).with_state(settings.state.clone())
}

impl Inner {
    /// Forgets what a restarted process would not know.
    fn begin_incarnation(&mut self) {
        self.incarnation = rand::random();
        self.withdrawn.clear();
    }

    fn incarnation_text(&self) -> String {
        format!("{:016x}", self.incarnation)
    }

    /// Whether a request was ever started; `None` if that is no longer known.
    fn was_started(&self, request: &str) -> Option<bool> {
        let started = self.executions.count(request) > 0;
        (started || !self.executions.is_incomplete()).then_some(started)
    }

    fn advance(&mut self, clock: &CompressedClock) {
        let mut events = std::mem::take(&mut self.events);
        self.core.advance(clock.now(), &mut events);
        for position in 0..events.len() {
            let next = events.get(position + 1);
            self.dispatch(events[position], next, clock);
        }
        events.clear();
        self.events = events;
    }

    fn dispatch(
        &mut self,
        event: EngineEvent,
        next: Option<&EngineEvent>,
        clock: &CompressedClock,
    ) {
        match event {
            EngineEvent::Token { at, id, index } => {
                // The last token and the finish reason are sent in one chunk.
                let finish = match next {
                    Some(EngineEvent::Finished {
                        id: ended, reason, ..
                    }) if *ended == id => Some(*reason),
                    _ => None,
                };
                self.send(
                    id,
                    self.release(clock.instant(at)),
                    OutputKind::Token { index, finish },
                );
            }
            EngineEvent::Finished {
                at,
                id,
                reason,
                cached_tokens,
            } => {
                let kind = OutputKind::End {
                    reason,
                    cached_tokens,
                };
                self.send(id, self.release(clock.instant(at)), kind);
                self.remove_output(id);
            }
            EngineEvent::Broken { at, id } => {
                let cleanly = self.core.faults().drop_cleanly;
                self.send(id, clock.instant(at), OutputKind::Broken { cleanly });
                self.remove_output(id);
            }
            EngineEvent::Preempted { .. } => {}
        }
    }

    /// Earliest time to send an item under [`Fault::Late`].
    fn release(&self, at: Instant) -> Option<Instant> {
        let late = self.core.faults().late_millis;
        (late > 0).then(|| at + Duration::from_millis(late))
    }

    fn send(&self, id: SequenceId, release_at: impl Into<Option<Instant>>, kind: OutputKind) {
        if let Some(output) = self.outputs.get(&id) {
            let faults = self.core.faults();
            // A dropped receiver has cancelled the request or is about to.
            let _ = output.sender.send(OutputItem {
                release_at: release_at.into(),
                out_of_order: faults.out_of_order,
                stray: faults.stray,
                kind,
            });
        }
    }

    fn remove_output(&mut self, id: SequenceId) {
        if let Some(output) = self.outputs.remove(&id) {
            self.by_request.remove(&output.request);
        }
    }

    fn record_export(&mut self, request: &str, id: SequenceId) {
        if self.exported.len() >= self.core.model().max_exports {
            self.exported.pop_front();
        }
        self.exported.push_back((request.to_owned(), id));
    }
}
