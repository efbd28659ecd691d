//! A fake control member: the real ledger behind the real transport, with faults that a test can
//! switch on.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use linnethitch_ledger::Ledger;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, ControlMessage, GatewayMessage, Grant, ReplicaLoad},
    command::{Command, CommandBody, Outcome, Refusal},
    fleet::{LoadReport, ReplicaInfo},
    ids::{ChangeId, DiskId, JobId, LogIndex, MachineId, MemberId, ReplicaId, Revision, Timestamp},
    query::{Query, QueryAnswer},
};
use linnethitch_storage::MemoryPayloads;
use linnethitch_transport::{
    ClusterIdentity, ClusterKey, Connection, ConnectionOptions, Listener, MessageSender, Traffic,
};
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use tokio::task::JoinHandle;

/// The cluster key of the tests.
pub(crate) const CLUSTER_KEY: &str = "a key of the cluster of the tests";
/// Connections that the member serves at once.
const MAX_CONNECTIONS: usize = 16;
/// Time between two freshness stamps.
const STAMP_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by all connections.
pub(crate) struct Shared {
    ledger: Mutex<(Ledger, u64)>,
    replicas: Mutex<Vec<ReplicaInfo>>,
    /// Sequences granted on every replica at every freshness stamp.
    granted: AtomicUsize,
    /// Whether freshness stamps are current, as those of a member in contact with a quorum.
    fresh: AtomicBool,
    /// Number of further answers to commands to lose.
    answers_to_lose: AtomicUsize,
    /// Whether calls are answered.
    answering: AtomicBool,
    confirmed: Mutex<Vec<Revision>>,
    attached: AtomicUsize,
    /// Control's clock minus this machine's, in milliseconds.
    clock_skew_ms: i64,
    /// Loads and suspects reported by gateways.
    reported: Mutex<(Vec<ReplicaLoad>, Vec<ReplicaId>)>,
    senders: Mutex<Vec<MessageSender<ControlMessage>>>,
}

/// A running control member.
pub(crate) struct FakeControl {
    pub(crate) address: std::net::SocketAddr,
    pub(crate) shared: Arc<Shared>,
    server: JoinHandle<()>,
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// A load of `engine-0`, measured now; the engine runs at most 16 sequences.
pub(crate) fn load(running_online: u32) -> Vec<ReplicaLoad> {
    let load = LoadReport {
        measured_at: now(),
        running_online,
        max_running: 16,
        ..LoadReport::default()
    };
    vec![ReplicaLoad {
        replica: "engine-0".into(),
        load,
    }]
}

fn now() -> Timestamp {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970");
    Timestamp(elapsed.as_millis() as u64)
}

impl Shared {
    /// Creates the state with a configuration in force.
    pub(crate) fn new(content: &str, replicas: Vec<ReplicaInfo>) -> Arc<Self> {
        Self::with_clock(content, replicas, 0)
    }

    /// The same with a clock that is off by the given milliseconds.
    pub(crate) fn with_clock(
        content: &str,
        replicas: Vec<ReplicaInfo>,
        clock_skew_ms: i64,
    ) -> Arc<Self> {
        let shared = Shared {
            ledger: Mutex::new((Ledger::new(Box::new(MemoryPayloads::new())), 0)),
            replicas: Mutex::new(replicas),
            granted: AtomicUsize::new(0),
            fresh: AtomicBool::new(true),
            answers_to_lose: AtomicUsize::new(0),
            answering: AtomicBool::new(true),
            confirmed: Mutex::default(),
            attached: AtomicUsize::new(0),
            clock_skew_ms,
            reported: Mutex::default(),
            senders: Mutex::default(),
        };
        shared.apply(CommandBody::ApplyConfiguration {
            change: ChangeId::from("first"),
            expected: Revision(0),
            content: content.to_owned(),
        });
        Arc::new(shared)
    }

    /// Applies a command.
    pub(crate) fn apply(&self, body: CommandBody) -> Outcome {
        let mut ledger = self.ledger.lock();
        ledger.1 += 1;
        let index = LogIndex(ledger.1);
        let command = Command {
            now: self.clock(),
            body,
        };
        let answer = ledger
            .0
            .apply(index, &command)
            .expect("the payloads are in memory");
        ledger
            .0
            .outcome(answer)
            .expect("the payloads are in memory")
    }

    /// The end of the gateway's session, if it has one.
    pub(crate) fn session_end(&self) -> Option<Timestamp> {
        let ledger = self.ledger.lock();
        let mut sessions = ledger.0.sessions();
        sessions.next().map(|(_, _, until)| until)
    }

    /// Control's time.
    pub(crate) fn clock(&self) -> Timestamp {
        Timestamp(now().0.saturating_add_signed(self.clock_skew_ms))
    }

    /// Reads from the ledger.
    pub(crate) fn query(&self, query: &Query) -> Result<QueryAnswer, Refusal> {
        self.ledger.lock().0.query(query)
    }

    /// Applies a further configuration and sends it to every gateway.
    pub(crate) fn configure(&self, content: &str) {
        let from = self.configure_unsent(content);
        self.send_configuration(from);
    }

    /// Applies a further configuration without sending it; returns the revision before it.
    pub(crate) fn configure_unsent(&self, content: &str) -> Revision {
        let from = self.ledger.lock().0.revision();
        self.apply(CommandBody::ApplyConfiguration {
            change: ChangeId(format!("change-{from}")),
            expected: from,
            content: content.to_owned(),
        });
        from
    }

    /// Sends the changes after a revision to every gateway.
    pub(crate) fn send_configuration(&self, from: Revision) {
        let updates = self.ledger.lock().0.configuration_updates_since(from);
        for update in updates.into_iter().flatten() {
            self.send_all(&ControlMessage::Configuration(update));
        }
    }

    /// Sends a message to every gateway.
    pub(crate) fn send_all(&self, message: &ControlMessage) {
        self.senders
            .lock()
            .retain(|sender| sender.try_send(message).is_ok());
    }

    /// Sets the number of sequences granted on every replica at every stamp.
    pub(crate) fn grant(&self, sequences: usize) {
        self.granted.store(sequences, Ordering::SeqCst);
    }

    /// Sends the loads of replicas.
    pub(crate) fn send_loads(&self, loads: Vec<ReplicaLoad>) {
        self.send_all(&ControlMessage::Loads(loads));
    }

    /// Loses the answers to the next `count` commands; the commands are applied.
    pub(crate) fn lose_answers(&self, count: usize) {
        self.answers_to_lose.store(count, Ordering::SeqCst);
    }

    /// Stops or resumes answering calls.
    pub(crate) fn set_answering(&self, answering: bool) {
        self.answering.store(answering, Ordering::SeqCst);
    }

    /// Makes the stamps current, or stale like those of a member isolated from the quorum.
    pub(crate) fn set_fresh(&self, fresh: bool) {
        self.fresh.store(fresh, Ordering::SeqCst);
    }

    /// Revisions confirmed by gateways, in order.
    pub(crate) fn confirmed(&self) -> Vec<Revision> {
        self.confirmed.lock().clone()
    }

    /// Loads and suspects that gateways have reported so far.
    pub(crate) fn reported(&self) -> (Vec<ReplicaLoad>, Vec<ReplicaId>) {
        self.reported.lock().clone()
    }

    /// Number of times that a gateway has attached.
    pub(crate) fn attached(&self) -> usize {
        self.attached.load(Ordering::SeqCst)
    }
}

impl FakeControl {
    /// Starts a member over shared state.
    pub(crate) async fn start(shared: Arc<Shared>) -> Self {
        let logger = Logger::root(Discard, o!());
        let identity = ClusterIdentity {
            name: "test".to_owned(),
            key: ClusterKey::new(CLUSTER_KEY).expect("a key"),
        };
        let listener = Listener::bind(
            "127.0.0.1:0",
            identity,
            ConnectionOptions::default(),
            Arc::new(Traffic::default()),
            MAX_CONNECTIONS,
            logger,
        )
        .await
        .expect("a port");
        let address = listener.local_address().expect("an address");
        let server = tokio::spawn(accept(listener, Arc::clone(&shared)));
        FakeControl {
            address,
            shared,
            server,
        }
    }
}

async fn accept(listener: Listener, shared: Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let incoming = listener.accept().await;
        let shared = Arc::clone(&shared);
        connections.spawn(async move {
            if let Ok(connection) = incoming.establish::<GatewayMessage, ControlMessage>().await {
                serve(connection, shared).await;
            }
        });
    }
}

async fn serve(connection: Connection<GatewayMessage, ControlMessage>, shared: Arc<Shared>) {
    let (sender, mut receiver) = connection.split();
    let mut stamps = tokio::time::interval(STAMP_INTERVAL);
    loop {
        tokio::select! {
            received = receiver.receive() => match received {
                Ok(Some(message)) => handle(&shared, &sender, message),
                _ => return,
            },
            _ = stamps.tick() => send_stamp(&shared, &sender),
        }
    }
}

fn handle(shared: &Shared, sender: &MessageSender<ControlMessage>, message: GatewayMessage) {
    match message {
        GatewayMessage::Attach { revision, .. } => attach(shared, sender, revision),
        GatewayMessage::Loads(loads) => shared.reported.lock().0.extend(loads),
        GatewayMessage::Suspect(suspects) => shared.reported.lock().1.extend(suspects),
        GatewayMessage::Confirm(revision) => shared.confirmed.lock().push(revision),
        GatewayMessage::Call { call, body } => {
            if !shared.answering.load(Ordering::SeqCst) {
                return;
            }
            let body = answer(shared, body);
            let lost = matches!(body, ControlAnswer::Outcome(_))
                && shared
                    .answers_to_lose
                    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
                        remaining.checked_sub(1)
                    })
                    .is_ok();
            if lost {
                sender.close();
            } else {
                let _ = sender.try_send(&ControlMessage::Answer { call, body });
            }
        }
        _ => {}
    }
}

fn attach(shared: &Shared, sender: &MessageSender<ControlMessage>, stored_revision: Revision) {
    shared.attached.fetch_add(1, Ordering::SeqCst);
    shared.senders.lock().push(sender.clone());
    let member = MemberId {
        machine: MachineId(1),
        disk: DiskId(1),
    };
    let attached = ControlMessage::Attached {
        member,
        members: Vec::new(),
    };
    let _ = sender.try_send(&attached);
    let updates = {
        let ledger = shared.ledger.lock();
        let full = ledger.0.configuration_full();
        ledger
            .0
            .configuration_updates_since(stored_revision)
            .unwrap_or_else(|| vec![full])
    };
    for update in updates {
        let _ = sender.try_send(&ControlMessage::Configuration(update));
    }
    let replicas = ControlMessage::Replicas {
        full: true,
        changed: shared.replicas.lock().clone(),
        removed: Vec::new(),
    };
    let _ = sender.try_send(&replicas);
}

fn answer(shared: &Shared, call: ControlCall) -> ControlAnswer {
    match call {
        ControlCall::Propose(body) => {
            let cancelled = match &body {
                CommandBody::CancelJob { job, .. } => Some(job.clone()),
                _ => None,
            };
            let outcome = shared.apply(body);
            if let Some(job) = cancelled {
                send_cancelled(shared, job);
            }
            ControlAnswer::Outcome(outcome)
        }
        ControlCall::Query(query) => match shared.query(&query) {
            Ok(answer) => ControlAnswer::Answer(answer),
            Err(refusal) => ControlAnswer::Refused(refusal),
        },
    }
}

fn send_cancelled(shared: &Shared, job: JobId) {
    shared.send_all(&ControlMessage::CancelJobs(vec![job]));
}

fn send_stamp(shared: &Shared, sender: &MessageSender<ControlMessage>) {
    shared.apply(CommandBody::Expire);
    let (revision, pending, replicas) = {
        let ledger = shared.ledger.lock();
        (
            ledger.0.revision(),
            ledger.0.pending_items(),
            shared.replicas.lock().clone(),
        )
    };
    let age = if shared.fresh.load(Ordering::SeqCst) {
        0
    } else {
        60_000
    };
    let _ = sender.try_send(&ControlMessage::Freshness {
        confirmed_at: Timestamp(shared.clock().0 - age),
        now: shared.clock(),
        revision,
        pending,
    });
    let sequences = shared.granted.load(Ordering::SeqCst) as u32;
    if sequences > 0 {
        let grants = replicas
            .iter()
            .map(|info| Grant {
                replica: info.machine.replica.clone(),
                sequences,
                valid_ms: 1_000,
            })
            .collect();
        let _ = sender.try_send(&ControlMessage::Grants(grants));
    }
}
