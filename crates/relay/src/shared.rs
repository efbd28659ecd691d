//! State shared by all requests of a gateway.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, HeaderValue};
use linnethitch_cluster::{Clock, GatewayNode};
use linnethitch_protocol::{ids::LogIndex, slots::SlotLoad};
use linnethitch_registry::{EndEvidence, FleetView, ReplicaState, RouteTable};
use linnethitch_routing::{
    PartShares,
    cold::ColdState,
    dispatch::{
        ChosenReplica, CoordinatedReplica, FailureKind, ItemPace, ReplicaTable, ReportedLoad,
        RequestNeeds, SoftwareNeed, WeightedRoundRobin,
    },
};
use parking_lot::Mutex;
use rand::Rng as _;
use rand_pcg::{Pcg64Mcg, rand_core::SeedableRng};
use slog::{Logger, info};

use crate::{
    buffered_bytes::BufferedBytes,
    callers::{Caller, KeyPolicy, KeyRefusal, KnownKeys},
    cold_replicas::{ColdSends, ColdUse},
    connections::Connections,
    counted_stream::ReplicaBytes,
    counters::{Counters, RequestEnd},
    deferred_items::DeferredItems,
    delays::Delays,
    dialect::Dialect,
    exchange::Outgoing,
    fleet_changes::{FleetChanges, replica_traits},
    homes::HomeZones,
    last_ends::LastEnds,
    planned_stop::{AnsweredRequest, PlannedStop},
    quotas::Quotas,
    relay::RelaySettings,
    replica_ends::InterruptedRuns,
    slots::Slots,
    stream_records::StreamRecords,
    suspicions::{CONTROL_REPORT_TIMEOUT, SuspicionUpdates},
};

/// One of this number of successful requests is logged; failures, refusals, retries and resumes
/// are always logged.
const SUCCESSES_PER_LINE: u64 = 64;

/// Shared state. At most one lock is taken at a time, and no lock is held across an await.
pub(crate) struct Shared {
    pub(crate) gateway: GatewayNode,
    /// The zone of this gateway.
    pub(crate) zone: String,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) connections: Connections,
    pub(crate) slots: Arc<Slots>,
    pub(crate) quotas: Quotas,
    pub(crate) cold: Arc<ColdSends>,
    pub(crate) stream_records: StreamRecords,
    keys: KeyPolicy,
    pub(crate) interrupted_runs: InterruptedRuns,
    pub(crate) suspicion_updates: SuspicionUpdates,
    pub(crate) last_ends: LastEnds,
    pub(crate) end_evidence: Mutex<EndEvidence>,
    pub(crate) deferred_items: DeferredItems,
    pub(crate) delays: Delays,
    /// Complete answers by service.
    served: Mutex<HashMap<String, u64>>,
    /// How common the parts of prompts are at this gateway.
    pub(crate) part_shares: Mutex<PartShares>,
    /// Time of the last contact with another gateway.
    pub(crate) gateway_contact_ms: AtomicU64,
    /// Bytes of requests and responses that are buffered.
    pub(crate) buffered: BufferedBytes,
    pub(crate) stop: Arc<PlannedStop>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
    successes: AtomicU64,
    pub(crate) replica_table: Mutex<ReplicaTable>,
    pub(crate) random: Mutex<Pcg64Mcg>,
    turns: Mutex<HashMap<String, WeightedRoundRobin>>,
    /// Duration of batch items, by service.
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
            stream_records: StreamRecords::new(gateway.clone(), &settings.zone),
            slots: Arc::new(Slots::new(gateway.clone(), seed, logger.clone())),
            quotas,
            keys: settings.keys,
            zone: settings.zone.clone(),
            gateway,
            dialect,
            connections: Connections::default(),
            interrupted_runs: InterruptedRuns::default(),
            suspicion_updates: SuspicionUpdates::default(),
            last_ends: LastEnds::default(),
            end_evidence: Mutex::default(),
            deferred_items: DeferredItems::default(),
            delays: Delays::default(),
            served: Mutex::default(),
            part_shares: Mutex::default(),
            gateway_contact_ms: AtomicU64::new(0),
            buffered: BufferedBytes::new(settings.max_buffered_bytes),
            stop,
            counters,
            logger,
            successes: AtomicU64::new(0),
            replica_table: Mutex::new(ReplicaTable::new(&settings.zone)),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            turns: Mutex::default(),
            item_paces: Mutex::default(),
        }
    }

    /// Records that a request received its complete response.
    pub(crate) fn note_served(&self, answered: &AnsweredRequest<'_>) {
        self.counters
            .request_ended(answered.route, RequestEnd::Served);
        self.stop.note_answer(answered);
    }

    /// Counts a complete answer of a service.
    pub(crate) fn count_served(&self, service: &str) {
        let now_ms = self.clock.now_ms();
        self.end_evidence.lock().note_completed(service, now_ms);
        let mut served = self.served.lock();
        match served.get_mut(service) {
            Some(count) => *count += 1,
            None => {
                served.insert(service.to_owned(), 1);
            }
        }
    }

    /// Number of complete answers of a service at this gateway.
    pub(crate) fn served_by(&self, service: &str) -> u64 {
        self.served.lock().get(service).copied().unwrap_or(0)
    }

    /// Applies the differences between two views of the fleet.
    pub(crate) fn apply_fleet(&self, previous: &FleetView, fleet: &FleetView) {
        if previous.up_to_index() == LogIndex::default() {
            self.note_recorded_ends(fleet);
        }
        let changes = FleetChanges::between(previous, fleet);
        self.stream_records
            .note_software(fleet.differences(previous));
        for key in &changes.removed {
            self.replica_table.lock().remove(key);
            self.slots.remove_engine(key);
            self.cold.remove(key);
            self.connections.forget(key);
        }
        for record in &changes.updated {
            let traits = replica_traits(fleet, record);
            if traits.kv_tokens > 0 {
                self.slots.add_engine(&traits.id, &traits.zone);
            } else {
                self.slots.remove_engine(&traits.id);
            }
            self.replica_table.lock().put(traits);
            self.cold.put(fleet, record);
        }
        let zones: BTreeSet<String> = fleet.evacuations().zones().map(str::to_owned).collect();
        self.counters.evacuated_zones.set(zones.len() as i64);
        let open = fleet.suspicions().open();
        let suspected = open.filter(|record| !record.fingerprint.is_item()).count();
        self.counters.suspected_requests.set(suspected as i64);
        let version = fleet.table().map_or(0, |table| table.version);
        self.counters.table_version.set(version as i64);
        self.apply_routes(previous, fleet);
        let ready = {
            let mut replica_table = self.replica_table.lock();
            replica_table.set_evacuated(zones);
            replica_table.ready_replicas()
        };
        self.counters.ready_replicas.set(ready.open as i64);
        let evacuated = ready.evacuated as i64;
        self.counters.evacuated_replicas.set(evacuated);
        self.cold.run_maintenance();
    }

    fn apply_routes(&self, previous: &FleetView, fleet: &FleetView) {
        let version = |fleet: &FleetView| fleet.table().map(|table| table.version);
        let Some(table) = fleet.table() else {
            return;
        };
        if version(previous) != version(fleet) {
            self.stream_records.note_routes(table);
            let served: HashSet<&str> = table.routes.iter().map(|r| r.name.as_str()).collect();
            let mut part_shares = self.part_shares.lock();
            part_shares.retain_routes(|route| served.contains(route));
        }
    }

    /// Updates the engines that are coordinated here.
    pub(crate) fn update_coordinated(&self) {
        let engines = self.engines(&self.slots.coordinated());
        self.cancel_evacuated_waits();
        self.slots.set_coordinated(engines);
    }

    /// Stops requests from waiting for slots of evacuated engines.
    fn cancel_evacuated_waits(&self) {
        if !self.replica_table.lock().has_evacuated() {
            return;
        }
        let held = self.slots.leased_engines();
        let replica_table = self.replica_table.lock();
        let evacuated = held
            .into_iter()
            .filter(|engine| replica_table.is_evacuated(engine));
        let evacuated: HashSet<String> = evacuated.collect();
        drop(replica_table);
        self.slots.cancel_waits(&evacuated);
    }

    /// Counts bytes to and from a replica, by its zone.
    pub(crate) fn replica_bytes(&self, replica: &str) -> ReplicaBytes {
        let fleet = self.gateway.fleet();
        let zone = fleet.zone_of_incarnation(replica).unwrap_or_default();
        self.counters.replica_bytes(zone)
    }

    /// The route table in force here.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.gateway.fleet().table().cloned()
    }

    /// Identifies the caller of a request. Refusals are logged without the key.
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

    /// Whether a request's key still allows it to be sent.
    pub(crate) fn verify_key(&self, outgoing: &Outgoing) -> Result<(), KeyRefusal> {
        let Some(admitted) = &outgoing.admitted else {
            return Ok(());
        };
        let fleet = self.gateway.fleet();
        let age_ms = self.gateway.knowledge_age_ms();
        let known = KnownKeys::of(&fleet, age_ms, self.keys);
        let verified = known.verify_caller(&admitted.caller);
        if let Err(refusal) = verified {
            self.log_key_refused(Some(&outgoing.request_id), refusal, &fleet, age_ms);
        }
        verified
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

    /// Counts a request that is about to be sent against its tenant's limit.
    pub(crate) fn count_send(&self, outgoing: &Outgoing) {
        if let Some(admitted) = &outgoing.admitted {
            self.quotas
                .count_send(&admitted.caller.tenant, &admitted.permit);
        }
    }

    /// Takes a counted send back: no replica ran the request.
    pub(crate) fn not_sent(&self, outgoing: &Outgoing) {
        if let Some(admitted) = &outgoing.admitted {
            self.quotas.not_sent(&admitted.permit);
        }
    }

    /// The index of the next back end of a route by weighted round robin.
    pub(crate) fn next_turn(&self, route: &str, weights: &[u32]) -> Option<usize> {
        let mut turns = self.turns.lock();
        turns.entry(route.to_owned()).or_default().next(weights)
    }

    /// A random number.
    pub(crate) fn random_number(&self) -> u32 {
        self.random.lock().random()
    }

    pub(crate) fn choose(
        &self,
        need: &RequestNeeds<'_>,
        cold_use: ColdUse,
    ) -> Option<ChosenReplica> {
        let now_ms = self.clock.now_ms();
        match cold_use {
            ColdUse::Never => {
                let mut except = self.cold.excluded(need.service, ColdUse::Never);
                except.extend_from_slice(need.except);
                let need = &RequestNeeds {
                    except: &except,
                    ..*need
                };
                let mut random = self.random.lock();
                self.replica_table.lock().choose(need, now_ms, &mut *random)
            }
            ColdUse::Only => {
                let open = self.cold.sendable(need.service);
                let mut random = self.random.lock();
                let replica_table = self.replica_table.lock();
                replica_table.choose_among(&open, need, now_ms, &mut *random)
            }
        }
    }

    /// Time until this gateway may send to a cold replica that is otherwise available and not
    /// excluded; `None` if there is none or the time is not known.
    pub(crate) fn cold_send_delay(&self, need: &RequestNeeds<'_>) -> Option<Duration> {
        if !self.cold.may_be_cold(need.service) {
            return None;
        }
        let now_ms = self.clock.now_ms();
        let candidates = self.replica_table.lock().available_ids(need, now_ms);
        self.cold.send_delay(&candidates)
    }

    /// Cold state shared by all replicas that are otherwise available and not excluded.
    pub(crate) fn state_of_available(&self, need: &RequestNeeds<'_>) -> ColdState {
        if !self.cold.may_be_cold(need.service) {
            return ColdState::Warm;
        }
        let now_ms = self.clock.now_ms();
        let candidates = self.replica_table.lock().available_ids(need, now_ms);
        self.cold.state_of_all(&candidates)
    }

    /// Whether a replica that is not available now may serve the request later.
    pub(crate) fn may_become_available(&self, need: &RequestNeeds<'_>) -> bool {
        self.replica_table.lock().may_become_available(need)
    }

    /// Chooses the replica of a suspected request by the hash of a number of what is suspected, so
    /// that different suspected requests go to different replicas.
    pub(crate) fn choose_isolated(
        &self,
        need: &RequestNeeds<'_>,
        number: u64,
    ) -> Option<ChosenReplica> {
        let mut except = self.cold.excluded(need.service, ColdUse::Only);
        except.extend_from_slice(need.except);
        let need = &RequestNeeds {
            except: &except,
            ..*need
        };
        let now_ms = self.clock.now_ms();
        self.replica_table
            .lock()
            .choose_by_hash(need, number, now_ms)
    }

    /// A given replica as a choice, if it may be sent new work.
    pub(crate) fn chosen_at(&self, replica: &str) -> Option<ChosenReplica> {
        let now_ms = self.clock.now_ms();
        self.replica_table.lock().chosen_at(replica, now_ms)
    }

    /// Whether control lists any replica of a service as ready that has this software.
    pub(crate) fn has_software(&self, service: &str, software: &SoftwareNeed) -> bool {
        self.replica_table.lock().has_software(service, software)
    }

    /// Whether a replica is known to have other software than this version.
    pub(crate) fn has_other_software(&self, replica: &str, version: Option<&str>) -> bool {
        let replica_table = self.replica_table.lock();
        replica_table.has_other_software(replica, version)
    }

    /// Whether a replica has this software.
    pub(crate) fn may_serve(&self, replica: &str, software: &SoftwareNeed) -> bool {
        self.replica_table.lock().may_serve(replica, software)
    }

    /// Replicas coordinated here that serve a service with this software, and the other ones.
    pub(crate) fn coordinated_by_software(
        &self,
        service: &str,
        software: &SoftwareNeed,
    ) -> (Vec<String>, Vec<String>) {
        let coordinated = self.slots.coordinated();
        let replica_table = self.replica_table.lock();
        replica_table.split_by_software(&coordinated, service, software)
    }

    pub(crate) fn coordinated_outside(&self, homes: &HomeZones) -> Vec<String> {
        let Some(homes) = homes else {
            return Vec::new();
        };
        let coordinated = self.slots.coordinated();
        self.replica_table.lock().outside_homes(&coordinated, homes)
    }

    /// Engines in the form that their coordinator needs.
    fn engines(&self, ids: &[String]) -> Vec<CoordinatedReplica> {
        let now_ms = self.clock.now_ms();
        let replica_table = self.replica_table.lock();
        let engines = ids.iter().filter_map(|id| replica_table.engine(id, now_ms));
        let mut engines: Vec<CoordinatedReplica> = engines.collect();
        drop(replica_table);
        self.cold.close_cold_to_items(&mut engines);
        engines
    }

    /// Records loads of replicas as reported by their coordinators.
    pub(crate) fn note_reported_loads(&self, loads: &[SlotLoad]) {
        let now_ms = self.clock.now_ms();
        let mut replica_table = self.replica_table.lock();
        for load in loads {
            replica_table.note_coordinator_load(load, now_ms);
        }
    }

    /// Expected duration of a service's items.
    pub(crate) fn item_pace(&self, service: &str) -> ItemPace {
        let paces = self.item_paces.lock();
        paces.get(service).copied().unwrap_or_default()
    }

    /// Updates the expected duration of a service's items.
    pub(crate) fn learn_item_pace(&self, service: &str, learn: impl FnOnce(&mut ItemPace)) {
        learn(
            self.item_paces
                .lock()
                .entry(service.to_owned())
                .or_default(),
        );
    }

    /// Another incarnation answered at a replica's address. Reports that to control, unless
    /// control knows it already.
    pub(crate) fn report_replaced(&self, replica: &str) {
        let fleet = self.gateway.fleet();
        let state = fleet.state_of_incarnation(replica);
        if !state.is_some_and(ReplicaState::is_live) {
            return;
        }
        info!(self.logger, "replica replaced by another incarnation"; "replica" => replica);
        let gateway = self.gateway.clone();
        let replica = replica.to_owned();
        // If the report does not reach control, the next request to the replica repeats it.
        tokio::spawn(async move {
            gateway
                .report_not_at_address(&replica, CONTROL_REPORT_TIMEOUT)
                .await
        });
    }

    /// Number of requests and items that this gateway is running at a service.
    pub(crate) fn own_running(&self, service: &str) -> u32 {
        self.replica_table.lock().own_running(service)
    }

    /// Whether a success is to be logged: one in [`SUCCESSES_PER_LINE`].
    pub(crate) fn is_sampled(&self) -> bool {
        let number = self.successes.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(SUCCESSES_PER_LINE)
    }

    /// Records the time taken to open a connection to a replica.
    pub(crate) fn note_connected(&self, replica: &str, opened_in: Duration) {
        let round_trip_ms = opened_in.as_secs_f64() * 1_000.0;
        self.replica_table
            .lock()
            .note_connected(replica, round_trip_ms);
    }

    /// The round trip to a replica, as connections to its zone took.
    pub(crate) fn round_trip(&self, replica: &str) -> Duration {
        let round_trip_ms = self.replica_table.lock().round_trip_ms(replica);
        Duration::from_secs_f64(round_trip_ms / 1_000.0)
    }

    /// Whether a replica's zone is evacuated, so that no new work is sent to it.
    pub(crate) fn is_evacuated(&self, replica: &str) -> bool {
        self.replica_table.lock().is_evacuated(replica)
    }

    pub(crate) fn is_service_evacuated(&self, service: &str, homes: &HomeZones) -> bool {
        let need = RequestNeeds {
            service,
            prompt: &[],
            except: &[],
            homes: homes.as_ref(),
            software: &SoftwareNeed::Any,
        };
        self.replica_table.lock().is_service_evacuated(&need)
    }

    /// Whether a service has a replica in these homes that is ready according to control.
    pub(crate) fn has_ready_replica(&self, service: &str, homes: &HomeZones) -> bool {
        let need = RequestNeeds {
            service,
            prompt: &[],
            except: &[],
            homes: homes.as_ref(),
            software: &SoftwareNeed::Any,
        };
        self.replica_table.lock().has_ready_replica(&need)
    }

    /// Whether a replica is ready according to control and its zone is not evacuated.
    pub(crate) fn is_known_ready(&self, replica: &str) -> bool {
        self.replica_table.lock().is_known_ready(replica)
    }

    pub(crate) fn note_load(&self, replica: &str, load: ReportedLoad) {
        let now_ms = self.clock.now_ms();
        self.replica_table.lock().note_load(replica, load, now_ms);
    }

    pub(crate) fn note_success(&self, replica: &str) {
        self.replica_table.lock().note_success(replica);
    }

    pub(crate) fn note_failure(&self, replica: &str, kind: FailureKind) {
        if kind == FailureKind::Unreachable {
            self.cold.note_possible_end(replica);
        }
        let now_ms = self.clock.now_ms();
        self.replica_table
            .lock()
            .note_failure(replica, kind, now_ms);
    }
}
