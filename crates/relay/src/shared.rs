//! What all requests of a gateway share.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, HeaderValue};
use linnethitch_clock::Instant;
use linnethitch_cluster::{Clock, GatewayNode};
use linnethitch_job_store::RunId;
use linnethitch_protocol::slots::SlotLoad;
use linnethitch_registry::{FleetView, ReplicaState, RouteTable};
use linnethitch_routing::{
    cold::ColdState,
    dispatch::{
        ChosenReplica, CoordinatedReplica, FailureKind, ItemPace, ReplicaTable, ReportedLoad,
        RequestNeeds, WeightedRoundRobin,
    },
};
use parking_lot::Mutex;
use rand::Rng as _;
use rand_pcg::{Pcg64Mcg, rand_core::SeedableRng};
use slog::{Logger, info};

use crate::{
    callers::{Caller, KeyPolicy, KeyRefusal, KnownKeys},
    cold_replicas::{ColdSends, ColdUse},
    connections::Connections,
    counted_stream::ReplicaBytes,
    counters::{Counters, RequestEnd},
    dialect::Dialect,
    exchange::Outgoing,
    fleet_changes::{FleetChanges, replica_traits},
    held_bytes::HeldBytes,
    homes::HomeZones,
    planned_stop::PlannedStop,
    quotas::Quotas,
    relay::RelaySettings,
    replica_ends::BrokenRuns,
    slots::Slots,
    suspicions::{SuspicionNews, TELL_LIMIT},
};

/// Successes for each one that is logged; failures, refusals, retries and resumes
/// always are.
const SUCCESSES_PER_LINE: u64 = 64;

/// Shared state; one lock at a time, none held over a wait.
pub(crate) struct Shared {
    pub(crate) gateway: GatewayNode,
    /// The zone of this gateway.
    pub(crate) zone: String,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) connections: Connections,
    pub(crate) slots: Arc<Slots>,
    pub(crate) quotas: Quotas,
    pub(crate) cold: Arc<ColdSends>,
    keys: KeyPolicy,
    pub(crate) broken_runs: BrokenRuns,
    pub(crate) news: SuspicionNews,
    /// When another gateway was heard of last.
    pub(crate) gateways_heard_ms: AtomicU64,
    /// Bytes of requests and answers that are held.
    pub(crate) held: HeldBytes,
    pub(crate) stop: Arc<PlannedStop>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
    successes: AtomicU64,
    pub(crate) board: Mutex<ReplicaTable>,
    pub(crate) random: Mutex<Pcg64Mcg>,
    turns: Mutex<HashMap<String, WeightedRoundRobin>>,
    /// How long items take, by service.
    item_paces: Mutex<HashMap<String, ItemPace>>,
}

impl Shared {
    pub(crate) fn new(
        gateway: GatewayNode,
        dialect: Arc<dyn Dialect>,
        settings: &RelaySettings,
        stop: Arc<PlannedStop>,
        logger: Logger,
    ) -> Self {
        let seed = settings.seed;
        let counters = Arc::new(Counters::of(gateway.datagram_bytes()));
        let quotas = Quotas::new(gateway.clone(), settings.quota, Arc::clone(&counters));
        let cold = ColdSends::new(
            gateway.clone(),
            settings.cold,
            Arc::clone(&counters),
            logger.clone(),
        );
        Shared {
            clock: gateway.clock(),
            cold: Arc::new(cold),
            slots: Arc::new(Slots::new(gateway.clone(), seed, logger.clone())),
            quotas,
            keys: settings.keys,
            zone: settings.zone.clone(),
            gateway,
            dialect,
            connections: Connections::default(),
            broken_runs: BrokenRuns::default(),
            news: SuspicionNews::default(),
            gateways_heard_ms: AtomicU64::new(0),
            held: HeldBytes::new(settings.most_held_bytes),
            stop,
            counters,
            logger,
            successes: AtomicU64::new(0),
            board: Mutex::new(ReplicaTable::new(&settings.zone)),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            turns: Mutex::default(),
            item_paces: Mutex::default(),
        }
    }

    /// Notes that a request of a route got a replica's whole answer.
    pub(crate) fn note_served(&self, route: &str, arrived: Instant) {
        self.counters.request_ended(route, RequestEnd::Served);
        let now_ms = self.clock.now_ms();
        self.stop.note_answer(route, arrived.elapsed(), now_ms);
    }

    /// Takes what differs in a newer view of the fleet.
    pub(crate) fn take_fleet(&self, held: &FleetView, fleet: &FleetView) {
        let changes = FleetChanges::between(held, fleet);
        for key in &changes.left {
            self.board.lock().remove(key);
            self.slots.remove_engine(key);
            self.cold.remove(key);
            self.connections.forget(key);
        }
        for record in &changes.came {
            let traits = replica_traits(fleet, record);
            if traits.kv_tokens > 0 {
                self.slots.put_engine(&traits.id, &traits.zone);
            } else {
                self.slots.remove_engine(&traits.id);
            }
            self.board.lock().put(traits);
            self.cold.put(fleet, record);
        }
        let zones: BTreeSet<String> = fleet.evacuations().zones().map(str::to_owned).collect();
        self.counters.evacuated_zones.set(zones.len() as i64);
        let suspected = fleet.suspicions().len();
        self.counters.suspected_requests.set(suspected as i64);
        let version = fleet.table().map_or(0, |table| table.version);
        self.counters.table_version.set(version as i64);
        let ready = {
            let mut board = self.board.lock();
            board.set_evacuated(zones);
            board.ready_replicas()
        };
        self.counters.ready_replicas.set(ready.open as i64);
        let evacuated = ready.evacuated as i64;
        self.counters.evacuated_replicas.set(evacuated);
        self.cold.upkeep();
    }

    /// Brings the engines that are coordinated here up to date.
    pub(crate) fn keep_coordinated(&self) {
        let engines = self.engines(&self.slots.coordinated());
        self.leave_evacuated();
        self.slots.set_coordinated(engines);
    }

    /// What waits for slots of evacuated engines waits no longer.
    fn leave_evacuated(&self) {
        if !self.board.lock().has_evacuated() {
            return;
        }
        let held = self.slots.held_engines();
        let board = self.board.lock();
        let evacuated = held.into_iter().filter(|engine| board.is_evacuated(engine));
        let evacuated: HashSet<String> = evacuated.collect();
        drop(board);
        self.slots.leave(&evacuated);
    }

    /// Counts bytes to and from a replica, by its zone.
    pub(crate) fn replica_bytes(&self, replica: &str) -> ReplicaBytes {
        let fleet = self.gateway.fleet();
        let zone = fleet.zone_of_incarnation(replica).unwrap_or_default();
        self.counters.replica_bytes(zone)
    }

    /// The table in force here.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.gateway.fleet().table().cloned()
    }

    /// Whose a request is. What is refused is logged, without its key.
    pub(crate) fn caller(
        &self,
        fleet: &FleetView,
        headers: &HeaderMap,
        needs_key: bool,
    ) -> Result<Option<Caller>, KeyRefusal> {
        let age_ms = self.gateway.knowledge_age_ms();
        let known = KnownKeys::of(fleet, age_ms, self.keys);
        let caller = known.caller(headers, needs_key);
        if let Err(refusal) = &caller {
            let id = headers.get(&self.dialect.names().request_id);
            self.log_key_refused(id, *refusal, fleet, age_ms);
        }
        caller
    }

    /// Whether a request may still be sent by its key.
    pub(crate) fn still_admits(&self, outgoing: &Outgoing) -> Result<(), KeyRefusal> {
        let Some(admitted) = &outgoing.admitted else {
            return Ok(());
        };
        let fleet = self.gateway.fleet();
        let age_ms = self.gateway.knowledge_age_ms();
        let known = KnownKeys::of(&fleet, age_ms, self.keys);
        let still = known.still_admit(&admitted.caller);
        if let Err(refusal) = still {
            self.log_key_refused(Some(&outgoing.request_id), refusal, &fleet, age_ms);
        }
        still
    }

    fn log_key_refused(
        &self,
        request: Option<&HeaderValue>,
        refusal: KeyRefusal,
        fleet: &FleetView,
        age_ms: u64,
    ) {
        let id = request.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let version = fleet.table().map(|table| table.version);
        info!(self.logger, "request: key refused"; "request" => id, "cause" => refusal.as_str(),
            "version" => version, "tenants" => fleet.tenants().len(),
            "knowledge_age_ms" => age_ms);
    }

    /// A request is about to be sent: it counts for its tenant's limit.
    pub(crate) fn count_send(&self, outgoing: &Outgoing) {
        if let Some(admitted) = &outgoing.admitted {
            self.quotas
                .count_send(&admitted.caller.tenant, &admitted.leave);
        }
    }

    /// No replica ran what was about to be sent.
    pub(crate) fn not_sent(&self, outgoing: &Outgoing) {
        if let Some(admitted) = &outgoing.admitted {
            self.quotas.not_sent(&admitted.leave);
        }
    }

    /// The index of the back end of a route whose turn it is.
    pub(crate) fn next_turn(&self, route: &str, weights: &[u32]) -> Option<usize> {
        let mut turns = self.turns.lock();
        turns.entry(route.to_owned()).or_default().next(weights)
    }

    /// Any number.
    pub(crate) fn draw(&self) -> u32 {
        self.random.lock().random()
    }

    /// A mark for a run of an item that begins.
    pub(crate) fn draw_run(&self) -> RunId {
        RunId::from_random(self.random.lock().random())
    }

    pub(crate) fn choose(
        &self,
        need: &RequestNeeds<'_>,
        cold_use: ColdUse,
    ) -> Option<ChosenReplica> {
        let now_ms = self.clock.now_ms();
        match cold_use {
            ColdUse::Never => {
                let mut except = self.cold.barred(need.service, ColdUse::Never);
                except.extend_from_slice(need.except);
                let need = &RequestNeeds {
                    except: &except,
                    ..*need
                };
                let mut random = self.random.lock();
                self.board.lock().choose(need, now_ms, &mut *random)
            }
            ColdUse::Only => {
                let open = self.cold.open(need.service);
                let mut random = self.random.lock();
                let board = self.board.lock();
                board.choose_among(&open, need, now_ms, &mut *random)
            }
        }
    }

    /// How long until this gateway may send to a cold replica that is open otherwise and
    /// not excluded; `None` where there is none, or it is not known.
    pub(crate) fn next_cold_in(&self, need: &RequestNeeds<'_>) -> Option<Duration> {
        if !self.cold.concerns(need.service) {
            return None;
        }
        let now_ms = self.clock.now_ms();
        let candidates = self.board.lock().available_ids(need, now_ms);
        self.cold.next_in(&candidates)
    }

    /// What keeps a request from all replicas that are open otherwise and not excluded.
    pub(crate) fn state_of_open(&self, need: &RequestNeeds<'_>) -> ColdState {
        if !self.cold.concerns(need.service) {
            return ColdState::Warm;
        }
        let now_ms = self.clock.now_ms();
        let candidates = self.board.lock().available_ids(need, now_ms);
        self.cold.state_of_all(&candidates)
    }

    /// Where a request goes under which replicas ended: each to a replica of its own.
    pub(crate) fn choose_apart(
        &self,
        need: &RequestNeeds<'_>,
        outgoing: &Outgoing,
    ) -> Option<ChosenReplica> {
        let mut except = self.cold.barred(need.service, ColdUse::Only);
        except.extend_from_slice(need.except);
        let need = &RequestNeeds {
            except: &except,
            ..*need
        };
        let now_ms = self.clock.now_ms();
        let number = outgoing.fingerprint().number();
        self.board.lock().choose_by_hash(need, number, now_ms)
    }

    /// One replica as a choice, if it may be given new work.
    pub(crate) fn chosen_at(&self, replica: &str) -> Option<ChosenReplica> {
        let now_ms = self.clock.now_ms();
        self.board.lock().chosen_at(replica, now_ms)
    }

    /// Engines that are coordinated here and outside these homes.
    pub(crate) fn coordinated_outside(&self, homes: &HomeZones) -> Vec<String> {
        let Some(homes) = homes else {
            return Vec::new();
        };
        let coordinated = self.slots.coordinated();
        self.board.lock().outside_homes(&coordinated, homes)
    }

    /// Engines, as their coordinators need them.
    fn engines(&self, ids: &[String]) -> Vec<CoordinatedReplica> {
        let now_ms = self.clock.now_ms();
        let board = self.board.lock();
        let engines = ids.iter().filter_map(|id| board.engine(id, now_ms));
        let mut engines: Vec<CoordinatedReplica> = engines.collect();
        drop(board);
        self.cold.bar_items(&mut engines);
        engines
    }

    /// Takes what coordinators told of replicas.
    pub(crate) fn note_told(&self, loads: &[SlotLoad]) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.lock();
        for load in loads {
            board.note_coordinator_load(load, now_ms);
        }
    }

    /// How long a service's items take.
    pub(crate) fn item_pace(&self, service: &str) -> ItemPace {
        let paces = self.item_paces.lock();
        paces.get(service).copied().unwrap_or_default()
    }

    /// Learns how long a service's items take.
    pub(crate) fn learn_item_pace(&self, service: &str, learn: impl FnOnce(&mut ItemPace)) {
        learn(
            self.item_paces
                .lock()
                .entry(service.to_owned())
                .or_default(),
        );
    }

    /// Another incarnation answered at a replica's address; control learns it, unless it
    /// knows already.
    pub(crate) fn tell_not_there(&self, replica: &str) {
        let fleet = self.gateway.fleet();
        let state = fleet.state_of_incarnation(replica);
        if !state.is_some_and(ReplicaState::is_live) {
            return;
        }
        info!(self.logger, "replica is not there"; "replica" => replica);
        let gateway = self.gateway.clone();
        let replica = replica.to_owned();
        // Where control does not hear of it, the next request that goes there tells it.
        tokio::spawn(async move { gateway.report_not_at_address(&replica, TELL_LIMIT).await });
    }

    /// Own requests and items under way at a service.
    pub(crate) fn own_running(&self, service: &str) -> u32 {
        self.board.lock().own_running(service)
    }

    /// Whether a success is to be logged: one in [`SUCCESSES_PER_LINE`].
    pub(crate) fn is_sampled(&self) -> bool {
        let number = self.successes.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(SUCCESSES_PER_LINE)
    }

    /// Notes how long it took to open a connection to a replica.
    pub(crate) fn note_connected(&self, replica: &str, opened_in: Duration) {
        let round_trip_ms = opened_in.as_secs_f64() * 1_000.0;
        self.board.lock().note_connected(replica, round_trip_ms);
    }

    /// The round trip to a replica, as connections to its zone took.
    pub(crate) fn round_trip(&self, replica: &str) -> Duration {
        let round_trip_ms = self.board.lock().round_trip_ms(replica);
        Duration::from_secs_f64(round_trip_ms / 1_000.0)
    }

    /// Whether a replica's zone is evacuated: nothing more is sent there.
    pub(crate) fn is_evacuated(&self, replica: &str) -> bool {
        self.board.lock().is_evacuated(replica)
    }

    /// Whether all replicas of a service that could serve in these homes are in evacuated zones.
    pub(crate) fn is_service_evacuated(&self, service: &str, homes: &HomeZones) -> bool {
        let need = RequestNeeds {
            service,
            prompt: &[],
            except: &[],
            homes: homes.as_ref(),
        };
        self.board.lock().is_service_evacuated(&need)
    }

    /// Whether a service has a replica in these homes that control says to be ready.
    pub(crate) fn has_ready_replica(&self, service: &str, homes: &HomeZones) -> bool {
        let need = RequestNeeds {
            service,
            prompt: &[],
            except: &[],
            homes: homes.as_ref(),
        };
        self.board.lock().has_ready_replica(&need)
    }

    /// Whether control has not said meanwhile that a replica leaves or that its zone is
    /// evacuated.
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
        if kind == FailureKind::Unreachable {
            self.cold.may_have_ended(replica);
        }
        let now_ms = self.clock.now_ms();
        self.board.lock().note_failure(replica, kind, now_ms);
    }
}
