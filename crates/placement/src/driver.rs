//! Runs the reconciler in a control process, with real time and sockets.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use linnethitch_clock::Instant;
use linnethitch_protocol::{
    attach::{ControlAnswer, ReplicaLoad},
    command::{CommandBody, ItemStart, Outcome},
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
    lost_starts::{LostStarts, StartVerdict, WithdrawalAnswer},
    reconciler::{Action, Observation, OrderAnswer, Poll, Reconciler, ReservationAnswer},
    settings::PlacementLimits,
};

/// Time between two steps of the reconciler.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reads of the platform's machine list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Maximum number of concurrent polls of replicas.
const MAX_CONCURRENT_POLLS: usize = 256;
/// Maximum number of concurrent withdrawals of requests.
const MAX_CONCURRENT_WITHDRAWALS: usize = 64;

/// A monotonic clock: the time of day at its start plus the time elapsed since.
#[derive(Clone, Copy)]
struct MonotonicClock {
    started: Instant,
    started_wall_ms: u64,
}

impl MonotonicClock {
    fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        MonotonicClock {
            started: Instant::now(),
            started_wall_ms: since_epoch.unwrap_or_default().as_millis() as u64,
        }
    }

    fn now(self) -> Timestamp {
        Timestamp(self.started_wall_ms + self.started.elapsed().as_millis() as u64)
    }
}

/// The result of a task.
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
    Withdrawn {
        start: ItemStart,
        answer: Option<WithdrawalAnswer>,
    },
    StartSettled {
        start: ItemStart,
        verdict: StartVerdict,
        ok: bool,
    },
}

/// Waits for the end of a task, or for the next step (`None`).
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

/// Runs placement while its control member leads.
pub struct PlacementDriver<H> {
    host: Arc<H>,
    client: BackEndClient,
    limits: PlacementLimits,
    clock: MonotonicClock,
    poll_permits: Arc<Semaphore>,
    withdrawal_permits: Arc<Semaphore>,
}

/// One term of leadership.
struct Leadership {
    reconciler: Reconciler,
    lost_starts: LostStarts,
    /// Running tasks; dropping the set cancels them.
    tasks: JoinSet<Event>,
    listing: bool,
    next_list_at: Timestamp,
}

impl<H: PlacementHost> PlacementDriver<H> {
    /// A driver that reads the machine list and reserves weights at the platform's
    /// address.
    #[must_use]
    pub fn new(host: Arc<H>, platform: SocketAddr, limits: PlacementLimits) -> Self {
        PlacementDriver {
            host,
            client: BackEndClient::new(platform),
            limits,
            clock: MonotonicClock::start(),
            poll_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_POLLS)),
            withdrawal_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_WITHDRAWALS)),
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(self) {
        let mut steps = interval(STEP_INTERVAL);
        steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leadership: Option<Leadership> = None;
        loop {
            let event = next_event(&mut steps, leadership.as_mut()).await;
            let term = self.host.leading_term();
            // Tasks of an earlier term are cancelled with it, and their results are dropped.
            leadership = leadership.filter(|leading| Some(leading.reconciler.term()) == term);
            match (&mut leadership, event, term) {
                (Some(leading), Some(Ok(event)), _) => self.handle(leading, event),
                (Some(leading), None, _) => self.step(leading).await,
                // The step of the panicked task would never finish, so begin again from the
                // state of the ledger.
                (Some(_), Some(Err(_panicked)), _) => leadership = None,
                (None, _, Some(term)) => leadership = Some(self.begin(term)),
                (None, _, None) => {}
            }
        }
    }

    fn begin(&self, term: Term) -> Leadership {
        Leadership {
            reconciler: Reconciler::new(self.limits, term, self.host.known_replicas()),
            lost_starts: LostStarts::default(),
            tasks: JoinSet::new(),
            listing: false,
            next_list_at: Timestamp(0),
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
        for start in leading.lost_starts.due(now, view.lost_starts) {
            self.withdraw(leading, start);
        }
        if let Some(fleet) = view.fleet {
            let actions = leading.reconciler.step(now, &fleet, &view.open_orders);
            for action in actions {
                let execution = execute(self.client.clone(), Arc::clone(&self.host), action);
                leading.tasks.spawn(execution);
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
        if leading.listing || now < leading.next_list_at {
            return;
        }
        leading.listing = true;
        leading.next_list_at = Timestamp(now.0 + LIST_INTERVAL_MS);
        let client = self.client.clone();
        leading
            .tasks
            .spawn(async move { Event::Listed(client.machines().await) });
    }

    fn poll(&self, leading: &mut Leadership, poll: Poll) {
        let client = self.client.clone();
        let poll_permits = Arc::clone(&self.poll_permits);
        leading.tasks.spawn(async move {
            // The semaphore is never closed.
            let _permit = poll_permits.acquire().await;
            let answer = client.observe(&poll).await;
            Event::Polled { poll, answer }
        });
    }

    /// Asks the engine of a lost start whether the item ran.
    fn withdraw(&self, leading: &mut Leadership, start: ItemStart) {
        let client = self.client.clone();
        let permits = Arc::clone(&self.withdrawal_permits);
        leading.tasks.spawn(async move {
            // The semaphore is never closed.
            let _permit = permits.acquire().await;
            let answer = match &start.request {
                Some(request) => client.withdraw(request).await,
                None => Some(WithdrawalAnswer::default()),
            };
            Event::Withdrawn { start, answer }
        });
    }

    fn settle_start(&self, leading: &mut Leadership, start: ItemStart, verdict: StartVerdict) {
        let host = Arc::clone(&self.host);
        leading.tasks.spawn(async move {
            let command = CommandBody::SettleStart {
                key: start.key.clone(),
                attempt: start.attempt,
                may_have_run: verdict.may_have_run(),
            };
            let answer = host.propose(command).await;
            let ok = answer == ControlAnswer::Outcome(Outcome::Done);
            Event::StartSettled { start, verdict, ok }
        });
    }

    fn handle(&self, leading: &mut Leadership, event: Event) {
        let now = self.clock.now();
        let reconciler = &mut leading.reconciler;
        let lost_starts = &mut leading.lost_starts;
        match event {
            Event::Withdrawn { start, answer } => {
                if let Some(verdict) = lost_starts.answered(now, &start, answer) {
                    self.settle_start(leading, start, verdict);
                }
            }
            Event::StartSettled { start, verdict, ok } if ok => {
                let age_ms = lost_starts.age_ms(now, &start);
                self.host.start_settled(&start, verdict, age_ms);
            }
            Event::StartSettled { start, .. } => lost_starts.not_settled(now, &start),
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

/// Executes an action of the reconciler and returns the result.
async fn execute<H: PlacementHost>(client: BackEndClient, host: Arc<H>, action: Action) -> Event {
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

/// The token under which an order was committed; `None` if it was not
/// committed, or if that is unknown.
fn token_of(answer: ControlAnswer) -> Option<FencingToken> {
    match answer {
        ControlAnswer::Outcome(Outcome::Order(token)) => Some(token),
        _ => None,
    }
}
