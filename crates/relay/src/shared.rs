//! What all requests of a gateway share.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use linnethitch_cluster::{Clock, GatewayNode, ReplicaKey, RunningCounts};
use linnethitch_registry::{FleetView, ReplicaState, Route, RouteTable};
use linnethitch_routing::dispatch::{
    Board, Chosen, FailureKind, Need, PromptPart, ReplicaTraits, ReportedLoad, RunningWork,
    WeightedTurns,
};
use parking_lot::Mutex;
use rand_pcg::{Pcg64Mcg, rand_core::SeedableRng};
use slog::Logger;

use crate::{
    batch_runs::BatchRuns, batch_shares::BatchShares, connections::Connections, counters::Counters,
    dialect::Dialect,
};

/// Successes for each one that is logged; failures, refusals, retries and resumes
/// always are.
const SUCCESSES_PER_LINE: u64 = 64;

/// Shared state; one lock at a time, none held over a wait.
pub(crate) struct Shared {
    pub(crate) gateway: GatewayNode,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) connections: Connections,
    pub(crate) batch_runs: BatchRuns,
    pub(crate) counters: Arc<Counters>,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
    successes: AtomicU64,
    board: Mutex<Board>,
    random: Mutex<Pcg64Mcg>,
    turns: Mutex<HashMap<String, WeightedTurns>>,
}

impl Shared {
    pub(crate) fn new(
        gateway: GatewayNode,
        dialect: Arc<dyn Dialect>,
        zone: &str,
        seed: u64,
        logger: Logger,
    ) -> Self {
        Shared {
            clock: gateway.clock(),
            gateway,
            dialect,
            connections: Connections::default(),
            batch_runs: BatchRuns::default(),
            counters: Arc::default(),
            logger,
            successes: AtomicU64::new(0),
            board: Mutex::new(Board::new(zone)),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            turns: Mutex::default(),
        }
    }

    /// Takes the replicas of a newer view of the fleet.
    pub(crate) fn take_fleet(&self, fleet: &FleetView) {
        let table = fleet.table();
        let records = fleet.live_replicas();
        let list = records.map(|record| {
            let service = table.and_then(|table| table.service(&record.told.service));
            let engine = service.and_then(|service| service.engine.as_ref());
            ReplicaTraits {
                id: record.told.id.clone(),
                service: record.told.service.clone(),
                address: record.told.address.clone(),
                zone: record.told.zone.clone(),
                slots: record.told.slots,
                kv_tokens: engine.map_or(0, |engine| engine.kv_tokens),
                ready: record.told.state == ReplicaState::Ready,
            }
        });
        let list: Vec<ReplicaTraits> = list.collect();
        let ready = list.iter().filter(|replica| replica.ready).count();
        self.counters.ready_replicas.set(ready as i64);
        let version = table.map_or(0, |table| table.version);
        self.counters.table_version.set(version as i64);
        self.board.lock().set_replicas(list);
    }

    /// The table in force here.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.gateway.fleet().table().cloned()
    }

    /// The service of a route whose turn it is.
    pub(crate) fn pick_service(&self, route: &Route) -> Option<String> {
        if let [only] = route.backends.as_slice() {
            return Some(only.service.clone());
        }
        let weights: Vec<u32> = route.backends.iter().map(|b| b.weight).collect();
        let mut turns = self.turns.lock();
        let turn = turns.entry(route.name.clone()).or_default();
        let index = turn.next(&weights)?;
        Some(route.backends[index].service.clone())
    }

    pub(crate) fn choose(&self, need: &Need<'_>) -> Option<Chosen> {
        let now_ms = self.clock.now_ms();
        let mut random = self.random.lock();
        self.board.lock().choose(need, now_ms, &mut *random)
    }

    pub(crate) fn free_slots(&self, service: &str, busy_share: f64) -> u32 {
        let now_ms = self.clock.now_ms();
        self.board.lock().free_slots(service, busy_share, now_ms)
    }

    /// Requests and items that this gateway may have under way at a service so
    /// that all gateways together leave some slots free: its part of a share.
    pub(crate) fn fair_part(&self, service: &str, share: f64) -> u32 {
        let now_ms = self.clock.now_ms();
        let gateways = self.gateway.gateways();
        self.board
            .lock()
            .fair_part(service, share, gateways, now_ms)
    }

    /// Whether gateways have to tell each other what they have under way.
    pub(crate) fn needs_others(&self) -> bool {
        let gateways = self.gateway.gateways();
        self.board.lock().needs_others(gateways)
    }

    /// Requests and items under way, by replica.
    pub(crate) fn running_counts(&self) -> RunningCounts {
        let board = self.board.lock();
        let mut counts = RunningCounts::default();
        for (id, own) in board.own_counts() {
            counts.push(ReplicaKey::of(id), own);
        }
        counts
    }

    /// Takes what all other gateways have under way.
    pub(crate) fn note_others(&self, others: &RunningCounts) {
        let others: HashMap<ReplicaKey, u32> = others.iter().collect();
        let now_ms = self.clock.now_ms();
        let of = |id: &str| others.get(&ReplicaKey::of(id)).copied().unwrap_or(0);
        self.board.lock().note_others(of, now_ms);
    }

    /// Own requests and items under way at a service.
    pub(crate) fn own_running(&self, service: &str) -> u32 {
        self.board.lock().own_running(service)
    }

    /// Shares of a service's slots that batch items may take now.
    pub(crate) fn batch_shares(&self, service: &str) -> BatchShares {
        if self.knows_others(service) {
            BatchShares::INFORMED
        } else {
            BatchShares::BLIND
        }
    }

    /// Own batch items by replica that can be stopped for an online request. Where
    /// the work of others is not known, nothing shows that a slot is wanted.
    pub(crate) fn yielding(&self, service: &str) -> HashMap<String, u32> {
        if self.batch_runs.is_empty() || !self.knows_others(service) {
            return HashMap::new();
        }
        self.batch_runs.patient_by_replica()
    }

    fn knows_others(&self, service: &str) -> bool {
        let now_ms = self.clock.now_ms();
        self.board.lock().knows_others(service, now_ms)
    }

    /// Lets batch items give way when more is under way than this gateway's
    /// part, or when the replica chosen for an online request is full.
    pub(crate) fn make_room(&self, service: &str, chosen: &Chosen) {
        if chosen.is_full {
            self.batch_runs.give_way_at(&chosen.id);
        }
        if self.batch_runs.is_empty() {
            return;
        }
        if self.own_running(service) > self.fair_part(service, self.batch_shares(service).room) {
            self.batch_runs.give_way(service);
        }
    }

    /// Whether a success is to be logged: one in [`SUCCESSES_PER_LINE`].
    pub(crate) fn is_sampled(&self) -> bool {
        let number = self.successes.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(SUCCESSES_PER_LINE)
    }

    /// Whether control has not said meanwhile that a replica leaves.
    pub(crate) fn is_known_ready(&self, replica: &str) -> bool {
        self.board.lock().is_known_ready(replica)
    }

    pub(crate) fn note_load(&self, replica: &str, load: ReportedLoad) {
        let now_ms = self.clock.now_ms();
        self.board.lock().note_load(replica, load, now_ms);
    }

    pub(crate) fn note_success(&self, replica: &str) {
        self.board.lock().note_success(replica);
    }

    pub(crate) fn note_failure(&self, replica: &str, kind: FailureKind) {
        let now_ms = self.clock.now_ms();
        self.board.lock().note_failure(replica, kind, now_ms);
    }
}

/// A request under way at a replica; it counts there until this is dropped.
pub(crate) struct RunningGuard {
    shared: Arc<Shared>,
    replica: String,
    work: RunningWork,
}

impl RunningGuard {
    pub(crate) fn begin(
        shared: &Arc<Shared>,
        chosen: &Chosen,
        prompt: &[PromptPart],
    ) -> Option<Self> {
        let now_ms = shared.clock.now_ms();
        let work = shared.board.lock().begin(chosen, prompt, now_ms)?;
        Some(RunningGuard {
            shared: Arc::clone(shared),
            replica: chosen.id.clone(),
            work,
        })
    }

    /// The first event came: the prompt was read.
    pub(crate) fn first_event(&mut self) {
        if self.work.is_awaited() {
            let now_ms = self.shared.clock.now_ms();
            let mut board = self.shared.board.lock();
            board.first_event(&self.replica, &mut self.work, now_ms);
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.shared.board.lock().end(&self.replica, self.work);
    }
}
