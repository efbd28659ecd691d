//! Finding out whether a replica ended under the requests that broke off there.
//!
//! A broken connection tells little: it may have been reset on the way, or the
//! answer cut short, while the replica lives on. Its process has ended if its
//! address takes no connections any more, or if control tells within seconds that
//! another incarnation has its place. A replica that was told to be leaving ends
//! by plan, and nobody is to blame.

use std::{
    collections::HashMap, future::Future, io::ErrorKind as IoErrorKind, sync::Arc, time::Duration,
};

use linnethitch_clock::{Instant, sleep, timeout, timeout_at};
use linnethitch_registry::{EndedRun, ReplicaState, RequestFingerprint};
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
};

use crate::{shared::Shared, suspicions::TELL_LIMIT};

/// Runs that break off within this of each other are looked into together: a
/// process that ends breaks all its connections within two milliseconds.
const GATHER_FOR: Duration = Duration::from_millis(3);
/// Longest wait for an answer of the replica's machine. A dead port answers
/// within a round trip; a dark machine never does.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// A replica that ended and could not be asked is followed by another incarnation
/// within this time, else it is taken for alive.
const SUCCESSOR_LIMIT: Duration = Duration::from_secs(6);
/// Runs of one replica that are remembered; an engine has some tens of slots.
const MOST_RUNS: usize = 256;

/// A request whose run broke off.
#[derive(Clone, Debug)]
pub(crate) struct BrokenRun {
    pub(crate) run: EndedRun,
    /// The caller's id of it.
    pub(crate) request: String,
}

/// Runs that broke off lately, by replica, each with a task that finds out why.
#[derive(Default)]
pub(crate) struct BrokenRuns {
    state: Mutex<State>,
    /// Changes whenever a replica was asked.
    asked: watch::Sender<()>,
}

#[derive(Default)]
struct State {
    /// Inquiries under way, by replica.
    inquiries: HashMap<String, mpsc::Sender<BrokenRun>>,
    /// Requests that broke off at replicas that were not asked yet.
    unasked: Vec<Unasked>,
}

struct Unasked {
    fingerprint: RequestFingerprint,
    replica: String,
}

impl BrokenRuns {
    /// Whether every replica where something broke off was asked.
    pub(crate) fn is_settled(&self) -> bool {
        self.state.lock().unasked.is_empty()
    }

    /// Waits until the replicas where copies of a request broke off were asked, some
    /// milliseconds: the next copy is not to be sent in ignorance of the one before.
    pub(crate) async fn settled(&self, fingerprint: &RequestFingerprint) {
        let mut asked = self.asked.subscribe();
        let until = Instant::now() + GATHER_FOR + CONNECT_LIMIT;
        while self.is_unasked(fingerprint) {
            if timeout_at(until, asked.changed()).await.is_err() {
                return;
            }
        }
    }

    fn is_unasked(&self, fingerprint: &RequestFingerprint) -> bool {
        let state = self.state.lock();
        let mut unasked = state.unasked.iter();
        unasked.any(|unasked| unasked.fingerprint == *fingerprint)
    }

    /// Notes a run; the receiver of further ones, where a new inquiry is to begin.
    fn note(&self, replica: &str, run: BrokenRun) -> Option<mpsc::Receiver<BrokenRun>> {
        let mut state = self.state.lock();
        state.unasked.push(Unasked {
            fingerprint: run.run.fingerprint,
            replica: replica.to_owned(),
        });
        if let Some(open) = state.inquiries.get(replica) {
            // Beyond the bound the replica has more witnesses than it needs.
            let _ = open.try_send(run);
            return None;
        }
        let (sender, runs) = mpsc::channel(MOST_RUNS);
        let _ = sender.try_send(run);
        state.inquiries.insert(replica.to_owned(), sender);
        Some(runs)
    }

    fn note_asked(&self, replica: &str) {
        let mut state = self.state.lock();
        state.unasked.retain(|unasked| unasked.replica != replica);
        self.asked.send_replace(());
    }

    fn end_inquiry(&self, replica: &str) {
        self.state.lock().inquiries.remove(replica);
        self.note_asked(replica);
    }
}

/// Notes that a run broke off at a replica, and finds out whether that has ended.
pub(crate) fn find_out(shared: &Arc<Shared>, replica: &str, address: &str, run: BrokenRun) {
    let Some(incoming) = shared.broken_runs.note(replica, run) else {
        return;
    };
    let inquiry = Inquiry {
        shared: Arc::clone(shared),
        replica: replica.to_owned(),
        address: address.to_owned(),
        incoming,
        runs: Vec::new(),
    };
    tokio::spawn(inquiry.run());
}

/// What shows that a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Its address refuses connections.
    Refused,
    /// Control told that its place was taken, or that it is gone.
    Replaced,
}

/// What happened while an inquiry waited.
enum News {
    /// Another run broke off there.
    BrokeAgain,
    /// The replica is gone and had not been leaving.
    Replaced,
    /// It is leaving, or nothing happened.
    None,
}

/// Looks into the end of one replica.
struct Inquiry {
    shared: Arc<Shared>,
    replica: String,
    address: String,
    incoming: mpsc::Receiver<BrokenRun>,
    runs: Vec<BrokenRun>,
}

impl Inquiry {
    async fn run(mut self) {
        let evidence = self.look_for_evidence().await;
        self.gather();
        self.log(evidence);
        let telling = evidence.map(|_| self.blame());
        self.shared.broken_runs.end_inquiry(&self.replica);
        if let Some(telling) = telling
            && !telling.await
        {
            warn!(self.shared.logger, "end of a replica not told"; "replica" => &self.replica);
        }
    }

    async fn look_for_evidence(&mut self) -> Option<Evidence> {
        loop {
            sleep(GATHER_FOR).await;
            self.gather();
            let until = Instant::now() + SUCCESSOR_LIMIT;
            if refuses_connections(&self.address).await {
                return Some(Evidence::Refused);
            }
            self.shared.broken_runs.note_asked(&self.replica);
            match self.wait_for_news(until).await {
                News::BrokeAgain => {}
                News::Replaced => return Some(Evidence::Replaced),
                News::None => return None,
            }
        }
    }

    /// Takes the runs that broke off meanwhile.
    fn gather(&mut self) {
        while let Ok(run) = self.incoming.try_recv() {
            self.runs.push(run);
        }
    }

    async fn wait_for_news(&mut self, until: Instant) -> News {
        let mut views = self.shared.gateway.follow();
        loop {
            let state = {
                let view = views.borrow_and_update();
                view.state_of_incarnation(&self.replica)
            };
            match state {
                Some(ReplicaState::Ready) => {}
                Some(ReplicaState::Ended | ReplicaState::Displaced) => return News::Replaced,
                Some(ReplicaState::Draining) | None => return News::None,
            }
            tokio::select! {
                run = self.incoming.recv() => match run {
                    Some(run) => {
                        self.runs.push(run);
                        return News::BrokeAgain;
                    }
                    None => return News::None,
                },
                changed = timeout_at(until, views.changed()) => match changed {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => return News::None,
                },
            }
        }
    }

    /// Suspects everything that broke off here, at once at this gateway and, if datagrams
    /// arrive, at all others: the bound holds for the fleet while control has no leader.
    /// The returned future tells control and is true once that holds it.
    fn blame(&self) -> impl Future<Output = bool> + use<> {
        let runs: Vec<EndedRun> = self.runs.iter().map(|b| b.run.clone()).collect();
        self.shared.note_ends(&self.replica, runs.iter());
        let gateway = self.shared.gateway.clone();
        let replica = self.replica.clone();
        async move {
            gateway
                .report_replica_ended(&replica, runs, TELL_LIMIT)
                .await
        }
    }

    fn log(&self, evidence: Option<Evidence>) {
        let logger = &self.shared.logger;
        let Some(evidence) = evidence else {
            info!(logger, "replica lives on"; "replica" => &self.replica,
                "requests" => self.runs.len());
            return;
        };
        info!(logger, "replica ended"; "replica" => &self.replica,
            "evidence" => ?evidence, "requests" => self.runs.len());
        for broken in &self.runs {
            info!(logger, "request: replica ended under it"; "request" => &broken.request,
                "replica" => &self.replica, "content" => broken.run.fingerprint.to_string(),
                "known_ends" => broken.run.known.lengths_ms.len(),
                "known_clearings" => broken.run.known.clearings,
                "ran_ms" => broken.run.ran_ms);
        }
    }
}

/// Whether nobody listens at an address any more, and its machine says so.
async fn refuses_connections(address: &str) -> bool {
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == IoErrorKind::ConnectionRefused)
}
