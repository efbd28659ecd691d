//! Determines whether a replica ended under the requests that were interrupted there.
//!
//! A broken connection is weak evidence: it may have been reset on the way, or the response cut,
//! while the replica is still running. A replica process has ended if its address refuses
//! connections, or if control reports within seconds that another incarnation has replaced it. A
//! replica that was known to be draining ends as planned and raises no suspicion.

use std::{collections::HashMap, future::Future, sync::Arc, time::Duration};

use linnethitch_clock::{Instant, sleep, timeout_at};
use linnethitch_registry::{EndedRun, ReplicaState, RequestFingerprint};
use linnethitch_response::{PROBE_TIMEOUT, PROCESS_END_DURATION, refuses_connections};
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::sync::{mpsc, watch};

use crate::{shared::Shared, suspicions::CONTROL_REPORT_TIMEOUT};

/// A replica that ended and could not be probed is replaced by another incarnation within this
/// time; otherwise it counts as running.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of recorded runs per replica; an engine has some tens of slots.
const MAX_RUNS: usize = 256;

/// A request whose run was interrupted.
#[derive(Clone, Debug)]
pub(crate) struct InterruptedRun {
    pub(crate) run: EndedRun,
    /// The shared parts of its prompt.
    pub(crate) parts: Vec<EndedPart>,
    /// The run under the keys of refusals that it was tried in spite of.
    pub(crate) refusals: Vec<EndedRun>,
    /// The request id.
    pub(crate) request: String,
    pub(crate) service: String,
    pub(crate) is_item: bool,
}

impl InterruptedRun {
    /// The parts with the ends known of each, as in `f1:0,2c:2`, for logs.
    fn parts_text(&self) -> String {
        let parts = self.parts.iter();
        let texts = parts.map(|p| format!("{:x}:{}", p.part, p.run.known.lengths_ms.len()));
        texts.collect::<Vec<String>>().join(",")
    }
}

/// A part of the prompt of an interrupted run.
#[derive(Clone, Debug)]
pub(crate) struct EndedPart {
    pub(crate) part: u64,
    /// The run, under the key of the part.
    pub(crate) run: EndedRun,
}

/// Recently interrupted runs by replica, each with a task that investigates the cause.
#[derive(Default)]
pub(crate) struct InterruptedRuns {
    state: Mutex<State>,
    /// Notified whenever a replica has been probed.
    probed: watch::Sender<()>,
}

#[derive(Default)]
struct State {
    /// Ongoing investigations by replica.
    investigations: HashMap<String, mpsc::Sender<InterruptedRun>>,
    /// Interrupted requests at replicas that have not been probed yet.
    unprobed: Vec<UnprobedRun>,
}

struct UnprobedRun {
    fingerprint: RequestFingerprint,
    replica: String,
}

impl InterruptedRuns {
    /// Whether every replica with interrupted runs has been probed.
    pub(crate) fn all_probed(&self) -> bool {
        self.state.lock().unprobed.is_empty()
    }

    /// Waits until the replicas where copies of a request were interrupted have been probed,
    /// which takes some milliseconds: the next copy must not be sent without the result for the
    /// previous one.
    pub(crate) async fn wait_until_probed(&self, fingerprint: &RequestFingerprint) {
        let mut probed = self.probed.subscribe();
        let deadline = Instant::now() + PROBE_TIMEOUT;
        while self.is_unprobed(fingerprint) {
            if timeout_at(deadline, probed.changed()).await.is_err() {
                return;
            }
        }
    }

    fn is_unprobed(&self, fingerprint: &RequestFingerprint) -> bool {
        let state = self.state.lock();
        let mut unprobed = state.unprobed.iter();
        unprobed.any(|unprobed| unprobed.fingerprint == *fingerprint)
    }

    /// Records a run. Returns a receiver for further runs if a new investigation is to begin.
    fn note(&self, replica: &str, run: InterruptedRun) -> Option<mpsc::Receiver<InterruptedRun>> {
        let mut state = self.state.lock();
        state.unprobed.push(UnprobedRun {
            fingerprint: run.run.fingerprint,
            replica: replica.to_owned(),
        });
        if let Some(open) = state.investigations.get(replica) {
            // Runs over the limit are not needed as evidence.
            let _ = open.try_send(run);
            return None;
        }
        let (sender, runs) = mpsc::channel(MAX_RUNS);
        let _ = sender.try_send(run);
        state.investigations.insert(replica.to_owned(), sender);
        Some(runs)
    }

    fn mark_probed(&self, replica: &str) {
        let mut state = self.state.lock();
        state
            .unprobed
            .retain(|unprobed| unprobed.replica != replica);
        self.probed.send_replace(());
    }

    fn end_investigation(&self, replica: &str) {
        self.state.lock().investigations.remove(replica);
        self.mark_probed(replica);
    }
}

/// Records that a run was interrupted at a replica, and investigates whether the replica has
/// ended.
pub(crate) fn investigate(shared: &Arc<Shared>, replica: &str, address: &str, run: InterruptedRun) {
    let Some(incoming) = shared.interrupted_runs.note(replica, run) else {
        return;
    };
    let investigation = Investigation {
        shared: Arc::clone(shared),
        replica: replica.to_owned(),
        address: address.to_owned(),
        incoming,
        runs: Vec::new(),
    };
    tokio::spawn(investigation.run());
}

/// Evidence that a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The address refuses connections.
    Refused,
    /// Control reported that the replica was replaced or has ended.
    Replaced,
}

/// What happened while an investigation waited.
enum Event {
    /// Another run was interrupted at the replica.
    AnotherInterruption,
    /// The replica has ended and was not draining.
    Replaced,
    /// The replica is draining, or nothing happened in time.
    None,
}

/// Investigates the end of one replica.
struct Investigation {
    shared: Arc<Shared>,
    replica: String,
    address: String,
    incoming: mpsc::Receiver<InterruptedRun>,
    runs: Vec<InterruptedRun>,
}

impl Investigation {
    async fn run(mut self) {
        let evidence = self.look_for_evidence().await;
        self.collect_runs();
        self.log(evidence);
        let reporting = evidence.map(|_| self.suspect_runs());
        self.shared
            .interrupted_runs
            .end_investigation(&self.replica);
        if let Some(reporting) = reporting
            && !reporting.await
        {
            warn!(self.shared.logger, "replica end not reported to control";
                "replica" => &self.replica);
        }
    }

    async fn look_for_evidence(&mut self) -> Option<Evidence> {
        loop {
            // Runs that the same end interrupts are investigated together.
            sleep(PROCESS_END_DURATION).await;
            self.collect_runs();
            let deadline = Instant::now() + SUCCESSOR_TIMEOUT;
            if refuses_connections(&self.address).await {
                return Some(Evidence::Refused);
            }
            self.shared.interrupted_runs.mark_probed(&self.replica);
            match self.wait_for_event(deadline).await {
                Event::AnotherInterruption => {}
                Event::Replaced => return Some(Evidence::Replaced),
                Event::None => return None,
            }
        }
    }

    /// Collects the runs that were interrupted meanwhile.
    fn collect_runs(&mut self) {
        while let Ok(run) = self.incoming.try_recv() {
            self.runs.push(run);
        }
    }

    async fn wait_for_event(&mut self, deadline: Instant) -> Event {
        let mut views = self.shared.gateway.follow();
        loop {
            let state = {
                let view = views.borrow_and_update();
                view.state_of_incarnation(&self.replica)
            };
            match state {
                Some(ReplicaState::Ready) => {}
                Some(ReplicaState::Ended | ReplicaState::Displaced) => return Event::Replaced,
                Some(ReplicaState::Draining) | None => return Event::None,
            }
            tokio::select! {
                run = self.incoming.recv() => match run {
                    Some(run) => {
                        self.runs.push(run);
                        return Event::AnotherInterruption;
                    }
                    None => return Event::None,
                },
                changed = timeout_at(deadline, views.changed()) => match changed {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => return Event::None,
                },
            }
        }
    }

    /// Suspects all runs that were interrupted at the replica: at once at this gateway and, if
    /// datagrams arrive, at all others, so that the limit holds for the fleet while control has
    /// no leader. The returned future reports to control and yields true once control has
    /// recorded the report.
    fn suspect_runs(&self) -> impl Future<Output = bool> + use<> {
        let mut runs: Vec<EndedRun> = self.runs.iter().map(|b| b.run.clone()).collect();
        runs.extend(self.ended_parts());
        let refusals = self.runs.iter().flat_map(|run| &run.refusals);
        runs.extend(refusals.cloned());
        if let Some(first) = self.runs.first() {
            let online = self.runs.iter().filter(|run| !run.is_item).count() as u32;
            let suspects = runs.iter().map(|run| run.fingerprint);
            let now_ms = self.shared.clock.now_ms();
            let mut evidence = self.shared.end_evidence.lock();
            evidence.note_end(&first.service, &self.replica, suspects, online, now_ms);
        }
        self.shared.note_ends(&self.replica, runs.iter());
        let gateway = self.shared.gateway.clone();
        let replica = self.replica.clone();
        async move {
            gateway
                .report_replica_ended(&replica, runs, CONTROL_REPORT_TIMEOUT)
                .await
        }
    }

    /// The parts of all runs, each once. Of several runs with a part counts the one that began with
    /// the most recent record of it, and of these the longest.
    fn ended_parts(&self) -> Vec<EndedRun> {
        let mut parts: HashMap<RequestFingerprint, &EndedRun> = HashMap::new();
        for ended in self.runs.iter().flat_map(|interrupted| &interrupted.parts) {
            let run = &ended.run;
            let held = parts.entry(run.fingerprint).or_insert(run);
            let knew_more = run.known.supersedes(&held.known);
            if knew_more || (run.known == held.known && run.ran_ms > held.ran_ms) {
                *held = run;
            }
        }
        parts.into_values().take(MAX_RUNS).cloned().collect()
    }

    fn log(&self, evidence: Option<Evidence>) {
        let logger = &self.shared.logger;
        let Some(evidence) = evidence else {
            info!(logger, "replica still running"; "replica" => &self.replica,
                "requests" => self.runs.len());
            return;
        };
        info!(logger, "replica ended"; "replica" => &self.replica,
            "evidence" => ?evidence, "requests" => self.runs.len());
        for interrupted in &self.runs {
            info!(logger, "request: replica ended while running it";
                "request" => &interrupted.request, "replica" => &self.replica, "content" => interrupted.run.fingerprint.to_string(),
                "known_ends" => interrupted.run.known.lengths_ms.len(),
                "known_clearings" => interrupted.run.known.clearings,
                "parts" => interrupted.parts_text(),
                "ran_ms" => interrupted.run.ran_ms);
        }
    }
}
