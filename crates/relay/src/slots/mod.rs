//! Leases of engines' slots: asked of each replica's coordinator, kept while a
//! request runs, and given out here for the replicas that this gateway coordinates.

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

/// Verdicts on one ask.
const VERDICTS: usize = 2;

/// Slots of all engines, as this gateway asks for them and gives them out.
pub(crate) struct Slots {
    gateway: GatewayNode,
    own: MachineId,
    clock: Clock,
    logger: Logger,
    state: Mutex<State>,
}

struct State {
    coordinator: SlotCoordinator,
    /// The coordinator of each engine, as found among `gateways`.
    coordinators: CoordinatorTable,
    gateways: Arc<Vec<PlacedGateway>>,
    /// Gateways or engines are others than when held leases were looked at last.
    may_have_moved: bool,
    /// Asks whose verdict is outstanding.
    asks: HashMap<u64, mpsc::Sender<Verdict>>,
    /// Leases of this gateway.
    held: BTreeMap<u64, Held>,
    runs: HashMap<RunNumber, ItemHandle>,
    silent: SilentCoordinators,
    last_number: u64,
}

struct Held {
    replica: String,
    coordinator: MachineId,
    /// Asked for by [`AskMode::Alone`].
    alone: bool,
}

/// A request's place among others that wait for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// When it is late.
    pub(crate) due: Instant,
    /// Its rank; 0 is the highest.
    pub(crate) rank: u8,
    /// The round trip to the replica; its coordinator is near it.
    pub(crate) round_trip: Duration,
}

/// How an ask for a slot came out.
pub(crate) enum Asked {
    /// The request may be sent.
    Leased(SlotLease),
    /// Online requests have every slot.
    Full,
}

/// How a run came out, for whoever coordinates its replica. Clones share it.
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

/// A lease of a slot, given back when this is dropped.
pub(crate) struct SlotLease {
    pub(crate) report: RunReport,
    slots: Arc<Slots>,
    /// `None` where nobody coordinates the replica.
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
                may_have_moved: false,
                asks: HashMap::new(),
                held: BTreeMap::new(),
                runs: HashMap::new(),
                silent: SilentCoordinators::default(),
                last_number: first_number,
            }),
        }
    }

    /// Asks for a slot of a replica, waiting no longer than until the given time.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        replica: &str,
        place: Place,
        mode: AskMode,
        wait_until: Instant,
    ) -> Asked {
        let (sender, mut verdicts) = mpsc::channel(VERDICTS);
        let Some((mut lease, is_silent)) = self.send_ask(replica, place, mode, sender) else {
            return Asked::Leased(self.no_lease());
        };
        if is_silent || mode == AskMode::Take {
            return Asked::Leased(lease);
        }
        let Ok(first) = timeout(answer_timeout(place.round_trip), verdicts.recv()).await else {
            self.note_silence(&lease);
            return Asked::Leased(lease);
        };
        match first {
            Some(Verdict::Full) => {
                lease.forget();
                return Asked::Full;
            }
            Some(Verdict::Queued) => {}
            Some(Verdict::Granted | Verdict::NotHere) | None => return Asked::Leased(lease),
        }
        match timeout_at(wait_until, verdicts.recv()).await {
            Ok(Some(Verdict::Full)) => {
                // The replica fails what it is given: its queue was sent away.
                lease.forget();
                return Asked::Full;
            }
            Ok(_) => {}
            Err(_) if mode == AskMode::Alone => return Asked::Full,
            Err(_) => self.take(&lease),
        }
        Asked::Leased(lease)
    }

    fn no_lease(self: &Arc<Self>) -> SlotLease {
        SlotLease {
            report: RunReport::default(),
            slots: Arc::clone(self),
            number: None,
        }
    }

    /// The lease, and whether its coordinator is known to be silent.
    fn send_ask(
        self: &Arc<Self>,
        replica: &str,
        place: Place,
        mode: AskMode,
        verdicts: mpsc::Sender<Verdict>,
    ) -> Option<(SlotLease, bool)> {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let coordinator = state.coordinators.coordinator_of(replica)?;
        let number = state.next_number();
        state.asks.insert(number, verdicts);
        let held = Held {
            replica: replica.to_owned(),
            coordinator,
            alone: mode == AskMode::Alone,
        };
        state.held.insert(number, held);
        self.ask_coordinator(&mut state, number, place, mode);
        let is_silent = state.silent.is_silent(coordinator, now_ms);
        let lease = SlotLease {
            report: RunReport::default(),
            slots: Arc::clone(self),
            number: Some(number),
        };
        Some((lease, is_silent))
    }

    fn ask_coordinator(&self, state: &mut State, number: u64, place: Place, mode: AskMode) {
        let Some(held) = state.held.get(&number) else {
            return;
        };
        let replica = held.replica.clone();
        let due_in = place.due.saturating_duration_since(Instant::now());
        let due_in_ms = due_in.as_millis() as u64;
        if held.coordinator == self.own {
            let now_ms = self.clock.now_ms();
            let ask = Ask {
                key: self.own_key(number),
                replica,
                due: Due {
                    at_ms: now_ms + due_in_ms,
                },
                rank: place.rank,
                mode,
            };
            let actions = state.coordinator.ask(ask, now_ms);
            self.carry_out(state, actions);
            return;
        }
        let ask = GatewayDatagram::Ask {
            number,
            replica,
            due_in_ms: due_in_ms.min(u64::from(u32::MAX)) as u32,
            rank: place.rank,
            mode,
        };
        self.send(held.coordinator, &ask);
    }

    /// The request is sent although no slot is free; its coordinator counts it.
    fn take(&self, lease: &SlotLease) {
        if let Some(number) = lease.number {
            let mut state = self.state.lock();
            let place = Place {
                due: Instant::now(),
                rank: u8::MAX,
                round_trip: Duration::ZERO,
            };
            self.ask_coordinator(&mut state, number, place, AskMode::Take);
        }
    }

    fn note_silence(&self, lease: &SlotLease) {
        let mut state = self.state.lock();
        let held = lease.number.and_then(|number| state.held.get(&number));
        if let Some(coordinator) = held.map(|held| held.coordinator) {
            state.silent.note_silence(coordinator, self.clock.now_ms());
        }
    }

    fn give_back(&self, number: u64, outcome: RunOutcome) {
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
            self.carry_out(&mut state, actions);
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
            // An asker that no longer waits ends its lease itself.
            let _ = ask.try_send(verdict);
        }
    }
}

impl SlotLease {
    /// There is nothing to give back.
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
            self.slots.give_back(number, self.report.outcome());
        }
    }
}
