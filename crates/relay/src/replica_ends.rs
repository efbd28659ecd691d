//! Finding out whether a replica ended under the requests that broke off there.
//!
//! A broken connection tells little: it may have been reset on the way, or the
//! answer cut short, while the replica lives on. Its process has ended if its
//! address takes no connections any more, or if control tells within seconds that
//! another incarnation has its place. A replica that was told to be leaving ends
//! by plan, and nobody is to blame.

use std::{collections::HashMap, io::ErrorKind as IoErrorKind, sync::Arc, time::Duration};

use linnethitch_registry::{ReplicaState, RequestFingerprint};
use parking_lot::Mutex;
use slog::info;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::shared::Shared;

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
    pub(crate) fingerprint: RequestFingerprint,
    /// The caller's id of it.
    pub(crate) request: String,
}

/// Runs that broke off lately, by replica, each with a task that finds out why.
#[derive(Default)]
pub(crate) struct BrokenRuns {
    inquiries: Mutex<HashMap<String, mpsc::Sender<BrokenRun>>>,
}

/// What shows that a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Its address refuses connections.
    Refused,
    /// Control told that its place was taken, or that it is gone.
    Replaced,
}

/// Notes that a run broke off at a replica, and finds out whether that has ended.
pub(crate) fn find_out(shared: &Arc<Shared>, replica: &str, address: &str, run: BrokenRun) {
    let mut inquiries = shared.broken_runs.inquiries.lock();
    if let Some(open) = inquiries.get(replica)
        && !open.is_closed()
    {
        // Beyond the bound the replica has more witnesses than it needs.
        let _ = open.try_send(run);
        return;
    }
    let (sender, runs) = mpsc::channel(MOST_RUNS);
    let _ = sender.try_send(run);
    inquiries.insert(replica.to_owned(), sender);
    let inquiry = Inquiry {
        shared: Arc::clone(shared),
        replica: replica.to_owned(),
        address: address.to_owned(),
        incoming: runs,
        runs: Vec::new(),
    };
    tokio::spawn(inquiry.run());
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
        let evidence = loop {
            sleep(GATHER_FOR).await;
            self.gather();
            let until = Instant::now() + SUCCESSOR_LIMIT;
            if refuses_connections(&self.address).await {
                self.gather();
                break Some(Evidence::Refused);
            }
            match self.wait_for_news(until).await {
                News::BrokeAgain => {}
                News::Replaced => break Some(Evidence::Replaced),
                News::None => break None,
            }
        };
        self.shared
            .broken_runs
            .inquiries
            .lock()
            .remove(&self.replica);
        self.conclude(evidence);
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
                view.replica(&self.replica).map(|record| record.told.state)
            };
            match state {
                Some(ReplicaState::Ready) => {}
                Some(ReplicaState::Gone) => return News::Replaced,
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

    fn conclude(self, evidence: Option<Evidence>) {
        let logger = &self.shared.logger;
        let Some(evidence) = evidence else {
            info!(logger, "replica lives on"; "replica" => &self.replica,
                "requests" => self.runs.len());
            return;
        };
        info!(logger, "replica ended"; "replica" => &self.replica,
            "evidence" => ?evidence, "requests" => self.runs.len());
        for run in &self.runs {
            info!(logger, "request: replica ended under it"; "request" => &run.request,
                "replica" => &self.replica, "content" => run.fingerprint.to_string());
        }
    }
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

/// Whether nobody listens at an address any more, and its machine says so.
async fn refuses_connections(address: &str) -> bool {
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == IoErrorKind::ConnectionRefused)
}
