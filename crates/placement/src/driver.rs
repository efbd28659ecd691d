//! Runs the reconciler in a control process: real time, real sockets.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use linnethitch_clock::Instant;
use linnethitch_protocol::{
    attach::{ControlAnswer, ReplicaLoad},
    command::{CommandBody, Outcome},
    fleet::Machine,
    ids::{FencingToken, ReplicaId, Term, Timestamp},
};
use tokio::{
    sync::Semaphore,
    task::{JoinError, JoinSet},
    time::{Interval, MissedTickBehavior, interval},
};

use crate::{
    client::BackEndClient,
    host::PlacementHost,
    reconciler::{Action, Observation, OrderAnswer, Poll, Reconciler, ReservationAnswer},
    settings::PlacementLimits,
};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(250);
/// Time between two reads of the platform's list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Requests to replicas and the platform at once, at most.
const MAX_REQUESTS: usize = 256;

/// A clock that never jumps: the time of day at the start plus what has passed.
#[derive(Clone, Copy)]
struct SteadyClock {
    started: Instant,
    started_wall_ms: u64,
}

impl SteadyClock {
    fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        SteadyClock {
            started: Instant::now(),
            started_wall_ms: since_epoch.unwrap_or_default().as_millis() as u64,
        }
    }

    fn now(self) -> Timestamp {
        Timestamp(self.started_wall_ms + self.started.elapsed().as_millis() as u64)
    }
}

/// What came of something that was asked for.
enum Event {
    Listed(Option<Vec<Machine>>),
    Polled {
        poll: Poll,
        answer: Option<Observation>,
    },
    Reserved {
        replica: ReplicaId,
        answer: ReservationAnswer,
    },
    Issued {
        replica: ReplicaId,
        token: Option<FencingToken>,
    },
    Sent {
        replica: ReplicaId,
        token: FencingToken,
        answer: OrderAnswer,
    },
    Settled {
        replica: ReplicaId,
        token: FencingToken,
        ok: bool,
    },
}

/// Waits for something under way to end, or for the next step (`None`).
async fn next_event(
    steps: &mut Interval,
    leadership: Option<&mut Leadership>,
) -> Option<Result<Event, JoinError>> {
    let tasks = leadership.map(|leading| &mut leading.tasks);
    let Some(tasks) = tasks.filter(|tasks| !tasks.is_empty()) else {
        steps.tick().await;
        return None;
    };
    tokio::select! {
        ended = tasks.join_next() => ended,
        _ = steps.tick() => None,
    }
}

/// Places models while its control member leads.
pub struct PlacementDriver<H> {
    host: Arc<H>,
    client: BackEndClient,
    limits: PlacementLimits,
    clock: SteadyClock,
    requests: Arc<Semaphore>,
}

/// One term of leadership.
struct Leadership {
    reconciler: Reconciler,
    /// Everything under way; dropping it ends it.
    tasks: JoinSet<Event>,
    listing: bool,
    list_at: Timestamp,
}

impl<H: PlacementHost> PlacementDriver<H> {
    /// A driver that reads the list and reserves weights at the platform's address.
    #[must_use]
    pub fn new(host: Arc<H>, platform: SocketAddr, limits: PlacementLimits) -> Self {
        PlacementDriver {
            host,
            client: BackEndClient::new(platform),
            limits,
            clock: SteadyClock::start(),
            requests: Arc::new(Semaphore::new(MAX_REQUESTS)),
        }
    }

    /// Runs until it is dropped.
    pub async fn run(self) {
        let mut steps = interval(STEP);
        steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leadership: Option<Leadership> = None;
        loop {
            let event = next_event(&mut steps, leadership.as_mut()).await;
            let term = self.host.leading_term();
            // The tasks of an earlier term end with it, and what they ended with is not heard.
            leadership = leadership.filter(|leading| Some(leading.reconciler.term()) == term);
            match (&mut leadership, event, term) {
                (Some(leading), Some(Ok(event)), _) => self.take(leading, event),
                (Some(leading), None, _) => self.step(leading).await,
                // What it was for would never be answered: begin with what the ledger holds.
                (Some(_), Some(Err(_panicked)), _) => leadership = None,
                (None, _, Some(term)) => leadership = Some(self.begin(term)),
                (None, _, None) => {}
            }
        }
    }

    fn begin(&self, term: Term) -> Leadership {
        Leadership {
            reconciler: Reconciler::new(self.limits, term, self.host.known_replicas()),
            tasks: JoinSet::new(),
            listing: false,
            list_at: Timestamp(0),
        }
    }

    async fn step(&self, leading: &mut Leadership) {
        let now = self.clock.now();
        self.read_list_if_due(leading, now);
        for replica in self.host.take_suspects() {
            leading.reconciler.suspect(&replica);
        }
        for poll in leading.reconciler.due_polls(now) {
            self.poll(leading, poll);
        }
        let view = self.host.view().await;
        if let Some(fleet) = view.fleet {
            let actions = leading.reconciler.step(now, &fleet, &view.open_orders);
            for action in actions {
                let carried_out = carry_out(self.client.clone(), Arc::clone(&self.host), action);
                leading.tasks.spawn(carried_out);
            }
        }
        self.publish(leading, now);
    }

    fn publish(&self, leading: &mut Leadership, now: Timestamp) {
        if let Some(replicas) = leading.reconciler.take_changed_replicas(now) {
            self.host.publish_replicas(replicas);
        }
        for record in leading.reconciler.take_records() {
            self.host.record(record);
        }
    }

    fn read_list_if_due(&self, leading: &mut Leadership, now: Timestamp) {
        if leading.listing || now < leading.list_at {
            return;
        }
        leading.listing = true;
        leading.list_at = Timestamp(now.0 + LIST_INTERVAL_MS);
        let client = self.client.clone();
        leading
            .tasks
            .spawn(async move { Event::Listed(client.machines().await) });
    }

    fn poll(&self, leading: &mut Leadership, poll: Poll) {
        let client = self.client.clone();
        let requests = Arc::clone(&self.requests);
        leading.tasks.spawn(async move {
            // The semaphore is never closed.
            let _permit = requests.acquire().await;
            let answer = client.observe(&poll).await;
            Event::Polled { poll, answer }
        });
    }

    fn take(&self, leading: &mut Leadership, event: Event) {
        let now = self.clock.now();
        let reconciler = &mut leading.reconciler;
        match event {
            Event::Listed(machines) => {
                leading.listing = false;
                if let Some(machines) = machines {
                    reconciler.listed(now, machines);
                }
            }
            Event::Polled { poll, answer } => {
                if let Some(load) = answer.as_ref().and_then(|answer| answer.load) {
                    let replica = poll.replica.clone();
                    self.host.publish_load(ReplicaLoad { replica, load });
                }
                reconciler.polled(now, &poll, answer);
            }
            Event::Reserved { replica, answer } => reconciler.reserved(now, &replica, answer),
            Event::Issued { replica, token } => reconciler.issued(now, &replica, token),
            Event::Sent {
                replica,
                token,
                answer,
            } => reconciler.sent(now, &replica, token, answer),
            Event::Settled { replica, token, ok } => {
                reconciler.settled(now, &replica, token, ok);
            }
        }
    }
}

/// Does what the reconciler wants; what came of it.
async fn carry_out<H: PlacementHost>(client: BackEndClient, host: Arc<H>, action: Action) -> Event {
    match action {
        Action::Reserve {
            replica,
            model,
            version,
        } => {
            let answer = client.reserve(&replica, &model, &version).await;
            Event::Reserved { replica, answer }
        }
        Action::Issue {
            replica,
            order,
            term,
        } => {
            let command = CommandBody::IssueOrder {
                replica: replica.clone(),
                order,
                term,
            };
            let token = token_of(host.propose(command).await);
            Event::Issued { replica, token }
        }
        Action::Send { order, address } => {
            let answer = client.order(&address, &order).await;
            Event::Sent {
                replica: order.replica,
                token: order.token,
                answer,
            }
        }
        Action::Settle { replica, token } => {
            let command = CommandBody::SettleOrder {
                replica: replica.clone(),
                token,
            };
            let answer = host.propose(command).await;
            let ok = answer == ControlAnswer::Outcome(Outcome::Done);
            Event::Settled { replica, token, ok }
        }
    }
}

/// The token under which an order was committed; `None` when it was not, or
/// that is not known.
fn token_of(answer: ControlAnswer) -> Option<FencingToken> {
    match answer {
        ControlAnswer::Outcome(Outcome::Order(token)) => Some(token),
        _ => None,
    }
}
