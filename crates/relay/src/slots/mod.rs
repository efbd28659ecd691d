//! Leases of engine slots: requested from each replica's coordinator, held while a request runs,
//! and granted here for the replicas that this gateway coordinates.

mod coordination;
mod items;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use linnethitch_clock::{Instant, timeout, timeout_at};
use linnethitch_cluster::{Clock, GatewayNode, PlacedGateway};
use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, GatewayDatagram, RunOutcome, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatorTable, Due, LeaseKey, RunNumber, SilentCoordinators, SlotCoordinator,
    answer_timeout,
};
use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::mpsc;

use self::items::ItemHandle;
pub(crate) use self::{coordination::receive_messages, items::ItemSlot};

/// Maximum number of verdicts on one ask.
const VERDICT_CAPACITY: usize = 2;

/// Slots of all engines, as requested and granted by this gateway.
pub(crate) struct Slots {
    gateway: GatewayNode,
    own: MachineId,
    clock: Clock,
    logger: Logger,
    state: Mutex<State>,
}

struct State {
    coordinator: SlotCoordinator,
    /// The coordinator of each engine, determined from `gateways`.
    coordinators: CoordinatorTable,
    gateways: Arc<Vec<PlacedGateway>>,
    /// Whether gateways or engines have changed since the coordinators of held leases were last
    /// checked.
    coordinators_may_have_changed: bool,
    /// Asks without a final verdict.
    asks: HashMap<u64, mpsc::Sender<Verdict>>,
    /// Leases held by this gateway.
    held: BTreeMap<u64, OwnLease>,
    runs: HashMap<RunNumber, ItemHandle>,
    silent: SilentCoordinators,
    last_number: u64,
}

struct OwnLease {
    replica: String,
    coordinator: MachineId,
    /// Whether the lease was requested with [`AskMode::Exclusive`].
    exclusive: bool,
}

/// Priority of a request among those that wait for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotPriority {
    /// The time at which the request misses its target.
    pub(crate) due: Instant,
    /// Priority rank; 0 is the highest.
    pub(crate) rank: u8,
    /// The round trip to the replica; its coordinator is near it.
    pub(crate) round_trip: Duration,
}

/// Outcome of an ask for a slot.
pub(crate) enum AskOutcome {
    /// The request may be sent.
    Leased(SlotLease),
    /// Online requests hold every slot.
    Full,
}

/// Outcome of a run, for the coordinator of the replica. Clones share the value.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunReport(Arc<Mutex<RunOutcome>>);

impl RunReport {
    pub(crate) fn note(&self, outcome: RunOutcome) {
        *self.0.lock() = outcome;
    }

    pub(crate) fn outcome(&self) -> RunOutcome {
        *self.0.lock()
    }
}

/// A lease of a slot, released on drop.
pub(crate) struct SlotLease {
    pub(crate) report: RunReport,
    slots: Arc<Slots>,
    /// `None` if no gateway coordinates the replica.
    number: Option<u64>,
}

impl Slots {
    pub(crate) fn new(gateway: GatewayNode, first_number: u64, logger: Logger) -> Self {
        let own = gateway.machine();
        Slots {
            logger,
            own,
            clock: gateway.clock(),
            gateway,
            state: Mutex::new(State {
                coordinator: SlotCoordinator::default(),
                coordinators: CoordinatorTable::new(own),
                gateways: Arc::default(),
                coordinators_may_have_changed: false,
                asks: HashMap::new(),
                held: BTreeMap::new(),
                runs: HashMap::new(),
                silent: SilentCoordinators::default(),
                last_number: first_number,
            }),
        }
    }

    /// Asks for a slot of a replica and waits at most until the given time.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        replica: &str,
        priority: SlotPriority,
        mode: AskMode,
        wait_until: Instant,
    ) -> AskOutcome {
        let (sender, mut verdicts) = mpsc::channel(VERDICT_CAPACITY);
        let Some((mut lease, is_silent)) = self.send_ask(replica, priority, mode, sender) else {
            return AskOutcome::Leased(self.untracked_lease());
        };
        if is_silent || mode == AskMode::Force {
            return AskOutcome::Leased(lease);
        }
        let Ok(first) = timeout(answer_timeout(priority.round_trip), verdicts.recv()).await else {
            self.note_silence(&lease);
            return AskOutcome::Leased(lease);
        };
        match first {
            Some(Verdict::Full) => {
                lease.forget();
                return AskOutcome::Full;
            }
            Some(Verdict::Queued) => {}
            Some(Verdict::Granted | Verdict::NotCoordinator) | None => {
                return AskOutcome::Leased(lease);
            }
        }
        match timeout_at(wait_until, verdicts.recv()).await {
            Ok(Some(Verdict::Full)) => {
                // The replica fails its requests, so its queue was rejected.
                lease.forget();
                return AskOutcome::Full;
            }
            Ok(_) => {}
            Err(_) if mode == AskMode::Exclusive => return AskOutcome::Full,
            Err(_) => self.take(&lease),
        }
        AskOutcome::Leased(lease)
    }

    fn untracked_lease(self: &Arc<Self>) -> SlotLease {
        SlotLease {
            report: RunReport::default(),
            slots: Arc::clone(self),
            number: None,
        }
    }

    /// Sends the ask. Returns the lease, and whether its coordinator is known to be unresponsive.
    fn send_ask(
        self: &Arc<Self>,
        replica: &str,
        priority: SlotPriority,
        mode: AskMode,
        verdicts: mpsc::Sender<Verdict>,
    ) -> Option<(SlotLease, bool)> {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let coordinator = state.coordinators.coordinator_of(replica)?;
        let number = state.next_number();
        state.asks.insert(number, verdicts);
        let held = OwnLease {
            replica: replica.to_owned(),
            coordinator,
            exclusive: mode == AskMode::Exclusive,
        };
        state.held.insert(number, held);
        self.ask_coordinator(&mut state, number, priority, mode);
        let is_silent = state.silent.is_silent(coordinator, now_ms);
        let lease = SlotLease {
            report: RunReport::default(),
            slots: Arc::clone(self),
            number: Some(number),
        };
        Some((lease, is_silent))
    }

    fn ask_coordinator(
        &self,
        state: &mut State,
        number: u64,
        priority: SlotPriority,
        mode: AskMode,
    ) {
        let Some(held) = state.held.get(&number) else {
            return;
        };
        let replica = held.replica.clone();
        let due_in = priority.due.saturating_duration_since(Instant::now());
        let due_in_ms = due_in.as_millis() as u64;
        if held.coordinator == self.own {
            let now_ms = self.clock.now_ms();
            let ask = Ask {
                key: self.own_key(number),
                replica,
                due: Due {
                    at_ms: now_ms + due_in_ms,
                },
                rank: priority.rank,
                mode,
            };
            let actions = state.coordinator.ask(ask, now_ms);
            self.apply_actions(state, actions);
            return;
        }
        let ask = GatewayDatagram::Ask {
            number,
            replica,
            due_in_ms: due_in_ms.min(u64::from(u32::MAX)) as u32,
            rank: priority.rank,
            mode,
        };
        self.send(held.coordinator, &ask);
    }

    /// Takes a slot although none is free; the coordinator counts the request.
    fn take(&self, lease: &SlotLease) {
        if let Some(number) = lease.number {
            let mut state = self.state.lock();
            let priority = SlotPriority {
                due: Instant::now(),
                rank: u8::MAX,
                round_trip: Duration::ZERO,
            };
            self.ask_coordinator(&mut state, number, priority, AskMode::Force);
        }
    }

    fn note_silence(&self, lease: &SlotLease) {
        let mut state = self.state.lock();
        let held = lease.number.and_then(|number| state.held.get(&number));
        if let Some(coordinator) = held.map(|held| held.coordinator) {
            state.silent.note_silence(coordinator, self.clock.now_ms());
        }
    }

    fn release(&self, number: u64, outcome: RunOutcome) {
        let mut state = self.state.lock();
        state.asks.remove(&number);
        let Some(held) = state.held.remove(&number) else {
            return;
        };
        if held.coordinator == self.own {
            let now_ms = self.clock.now_ms();
            let key = self.own_key(number);
            let mut actions = state.coordinator.record_run(key, outcome, now_ms);
            actions.extend(state.coordinator.end(key, now_ms));
            self.apply_actions(&mut state, actions);
        } else {
            let end = GatewayDatagram::End { number, outcome };
            self.send(held.coordinator, &end);
        }
    }

    fn own_key(&self, number: u64) -> LeaseKey {
        LeaseKey {
            holder: self.own,
            number,
        }
    }

    fn send(&self, to: MachineId, message: &GatewayDatagram) {
        self.gateway.send_datagram(to, message);
    }
}

impl State {
    fn next_number(&mut self) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn deliver(&self, number: u64, verdict: Verdict) {
        if let Some(ask) = self.asks.get(&number) {
            // A requester that no longer waits releases its lease itself.
            let _ = ask.try_send(verdict);
        }
    }
}

impl SlotLease {
    /// Drops the lease without releasing it: no slot was granted.
    fn forget(&mut self) {
        if let Some(number) = self.number.take() {
            let mut state = self.slots.state.lock();
            state.asks.remove(&number);
            state.held.remove(&number);
        }
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.slots.release(number, self.report.outcome());
        }
    }
}
