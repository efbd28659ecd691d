//! The replicas of all services, and the selection among them.

mod candidates;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use linnethitch_protocol::slots::SlotLoad;
use rand::Rng;

use self::candidates::Candidates;
use super::{
    cached_parts::PromptPart,
    coordinator::CoordinatedReplica,
    distances::Distances,
    rendezvous::rendezvous_hash,
    replica::{BASE_MS, FailureKind, Replica, ReplicaTraits, ReportedLoad, RunningWork, WorkKind},
    service_replicas::{Key, ServiceReplicas},
    software::SoftwareNeed,
};

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 85.0;
/// Expected wait for each request that waits there, in milliseconds.
const COST_PER_WAITING_MS: f64 = 100.0;
/// Cost of each own request under way there, in milliseconds. Each gateway knows its own requests
/// immediately, and if each spreads its own evenly, all are spread evenly; reports are older than
/// most requests last.
const COST_PER_OWN_MS: f64 = 10.0;
/// Cost of each request of other gateways there, in milliseconds.
const COST_PER_OTHER_MS: f64 = 1.0;
/// Cost of a replica with no free slot compared to an idle one, in milliseconds, if its coordinator
/// reported the requests of others. It spreads requests evenly, but costs less than a new prefill
/// of a long shared prompt.
const FULL_COST_MS: f64 = 40.0;
/// Round trips of a request to an engine: one to its coordinator, which is near it, and one to the
/// engine.
const ENGINE_ROUND_TRIPS: f64 = 2.0;
/// Round trips of a request to another replica.
const ROUND_TRIPS: f64 = 1.0;
/// Fraction of a shared prompt that is expected in the cache of its affinity replica although this
/// gateway has not sent it there.
const AFFINITY_CACHED_FRACTION: f64 = 0.7;
/// Scores closer than this count as equal, in milliseconds.
const JITTER_MS: f64 = 1.0;
/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct RequestNeeds<'a> {
    /// The service.
    pub service: &'a str,
    /// The parts of its prompt; none for application requests.
    pub prompt: &'a [PromptPart],
    /// Replicas that it must not be sent to (again).
    pub except: &'a [String],
    /// Zones in which it may be served; `None` for all zones.
    pub homes: Option<&'a BTreeSet<String>>,
    /// The software that it may be served by.
    pub software: &'a SoftwareNeed,
}

impl RequestNeeds<'_> {
    fn allows_zone(&self, zone: &str) -> bool {
        let mut homes = self.homes.into_iter();
        homes.all(|zones| zones.contains(zone))
    }
}

/// The replica chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenReplica {
    /// The key of the replica's incarnation.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// The version of its software; `None` if it is unknown.
    pub software: Option<String>,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
}

/// Number of replicas that control lists as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyReplicas {
    /// Those that may get new work.
    pub open: usize,
    /// Those in evacuated zones.
    pub evacuated: usize,
}

/// Every replica that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    zone: String,
    distances: Distances,
    replicas: HashMap<Key, Replica>,
    services: HashMap<String, ServiceReplicas>,
    /// Zones whose replicas get no new work.
    evacuated: BTreeSet<String>,
}

impl ReplicaTable {
    /// An empty table of a gateway in this zone.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        ReplicaTable {
            zone: zone.to_owned(),
            ..ReplicaTable::default()
        }
    }

    /// Replaces the list of replicas; what is known of the remaining ones is retained.
    pub fn set_replicas(&mut self, list: Vec<ReplicaTraits>) {
        let listed: HashSet<&str> = list.iter().map(|traits| traits.id.as_str()).collect();
        let known_ids = self.replicas.keys();
        let removed: Vec<Key> = known_ids
            .filter(|id| !listed.contains(&***id))
            .cloned()
            .collect();
        removed.iter().for_each(|id| self.remove(id));
        list.into_iter().for_each(|traits| self.put(traits));
    }

    /// Adds a replica or updates its registration; what is known of it is retained.
    pub fn put(&mut self, traits: ReplicaTraits) {
        let key = Key::from(traits.id.as_str());
        let own_online = match self.replicas.get_mut(&key) {
            Some(known) if known.traits == traits => return,
            Some(known) => {
                if let Some(service) = self.services.get_mut(&known.traits.service) {
                    service.remove(&key, &known.traits);
                    service.own_online -= known.own_online;
                }
                // Its coordinator reported it as closed because of the zone that it has left.
                if self.evacuated.contains(&known.traits.zone) && known.traits.zone != traits.zone {
                    known.clear_coordinator_load();
                }
                known.traits = traits.clone();
                known.own_online
            }
            None => {
                let replica = Replica::new(traits.clone());
                self.replicas.insert(Arc::clone(&key), replica);
                0
            }
        };
        let service = self.services.entry(traits.service.clone()).or_default();
        service.add(&key, &traits);
        service.own_online += own_online;
    }

    /// Removes a replica.
    pub fn remove(&mut self, id: &str) {
        let Some((key, replica)) = self.replicas.remove_entry(id) else {
            return;
        };
        let Some(service) = self.services.get_mut(&replica.traits.service) else {
            return;
        };
        service.remove(&key, &replica.traits);
        service.remove_recent(&key);
        service.own_online -= replica.own_online;
        if service.all().is_empty() {
            self.services.remove(&replica.traits.service);
        }
    }

    /// Replaces the evacuated zones. What is known of their replicas is retained, except
    /// coordinator reports for zones that are no longer evacuated, since these replicas were
    /// reported as closed.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        if self.evacuated == zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, zones);
        for replica in self.replicas.values_mut() {
            let zone = &replica.traits.zone;
            if before.contains(zone) && !self.evacuated.contains(zone) {
                replica.clear_coordinator_load();
            }
        }
    }

    /// Whether a replica's zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, id: &str) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|replica| self.evacuated.contains(&replica.traits.zone))
    }

    /// Whether any zone is evacuated.
    #[must_use]
    pub fn has_evacuated(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Whether all replicas for a request that control lists as ready are in evacuated zones; false
    /// if there are none.
    #[must_use]
    pub fn is_service_evacuated(&self, needs: &RequestNeeds<'_>) -> bool {
        let mut zones = self.ready_zones(needs).peekable();
        zones.peek().is_some() && zones.all(|zone| self.evacuated.contains(zone))
    }

    /// Whether any replica for a request is listed as ready by control and outside the evacuated
    /// zones.
    #[must_use]
    pub fn has_ready_replica(&self, needs: &RequestNeeds<'_>) -> bool {
        let mut zones = self.ready_zones(needs);
        zones.any(|zone| !self.evacuated.contains(zone))
    }

    /// Zones with ready replicas for a request.
    fn ready_zones<'a>(&'a self, needs: &'a RequestNeeds<'_>) -> impl Iterator<Item = &'a str> {
        let service = self.services.get(needs.service).into_iter();
        let zones = service.flat_map(|service| service.ready().map(|(zone, _)| zone));
        zones.filter(|zone| needs.allows_zone(zone))
    }

    /// Number of ready replicas in evacuated zones and in others.
    #[must_use]
    pub fn ready_replicas(&self) -> ReadyReplicas {
        let mut found = ReadyReplicas {
            open: 0,
            evacuated: 0,
        };
        let services = self.services.values();
        for (zone, ready) in services.flat_map(ServiceReplicas::ready) {
            if self.evacuated.contains(zone) {
                found.evacuated += ready;
            } else {
                found.open += ready;
            }
        }
        found
    }

    /// Whether control lists any replica of a service as ready that has this software.
    #[must_use]
    pub fn has_software(&self, service: &str, software: &SoftwareNeed) -> bool {
        let service = self.services.get(service);
        let all = service.map_or(&[][..], ServiceReplicas::all);
        let mut replicas = all.iter().filter_map(|id| self.replicas.get(id));
        replicas.any(|replica| replica.traits.ready && software.allows(&replica.traits))
    }

    /// Whether any replica except these is ready according to control and may serve the request,
    /// available now or not.
    #[must_use]
    pub fn may_become_available(&self, needs: &RequestNeeds<'_>) -> bool {
        let service = self.services.get(needs.service);
        let all = service.map_or(&[][..], ServiceReplicas::all);
        let mut replicas = all.iter().filter_map(|id| self.replicas.get(id));
        replicas.any(|replica| {
            let traits = &replica.traits;
            traits.ready
                && needs.allows_zone(&traits.zone)
                && needs.software.allows(traits)
                && !needs.except.contains(&traits.id)
                && !self.evacuated.contains(&traits.zone)
        })
    }

    /// Whether a replica is known to have other software than this version. A version that was
    /// unknown before is no other one.
    #[must_use]
    pub fn has_other_software(&self, id: &str, version: Option<&str>) -> bool {
        let replica = self.replicas.get(id);
        let current = replica.map(|replica| replica.traits.software.as_deref());
        version.is_some() && current.is_some_and(|current| current != version)
    }

    /// Whether a replica has this software.
    #[must_use]
    pub fn may_serve(&self, id: &str, software: &SoftwareNeed) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|replica| software.allows(&replica.traits))
    }

    /// Those of `ids` that are ready replicas of a service with this software, and the other ones.
    #[must_use]
    pub fn split_by_software(
        &self,
        ids: &[String],
        service: &str,
        software: &SoftwareNeed,
    ) -> (Vec<String>, Vec<String>) {
        ids.iter().cloned().partition(|id| {
            let replica = self.replicas.get(id.as_str());
            replica.is_some_and(|replica| {
                let traits = &replica.traits;
                traits.ready && traits.service == service && software.allows(traits)
            })
        })
    }

    /// Those of `ids` that are outside these zones.
    #[must_use]
    pub fn outside_homes(&self, ids: &[String], homes: &BTreeSet<String>) -> Vec<String> {
        let is_outside = |id: &&String| {
            let replica = self.replicas.get(id.as_str());
            replica.is_some_and(|replica| !homes.contains(&replica.traits.zone))
        };
        ids.iter().filter(is_outside).cloned().collect()
    }

    /// Whether a replica may get new work according to control.
    #[must_use]
    pub fn is_known_ready(&self, id: &str) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|replica| {
            replica.traits.ready && !self.evacuated.contains(&replica.traits.zone)
        })
    }

    fn is_available(&self, replica: &Replica, now_ms: u64) -> bool {
        replica.is_available(now_ms) && !self.evacuated.contains(&replica.traits.zone)
    }

    /// Chooses the replica with the shortest expected time to the first event.
    pub fn choose(
        &self,
        needs: &RequestNeeds<'_>,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<ChosenReplica> {
        let candidates = self.candidates(needs, now_ms, rng);
        self.best(candidates, needs, now_ms, rng)
    }

    /// The same among the given replicas of the service.
    pub fn choose_among(
        &self,
        ids: &[String],
        needs: &RequestNeeds<'_>,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<ChosenReplica> {
        let available = self.available_among(ids.iter().map(String::as_str), needs, now_ms);
        self.best(Candidates::of(available, needs.prompt), needs, now_ms, rng)
    }

    fn best(
        &self,
        candidates: Candidates<'_>,
        needs: &RequestNeeds<'_>,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<ChosenReplica> {
        let affinity = candidates
            .affinity
            .map(|affinity| affinity.traits.id.as_str());
        let mut best: Option<(f64, &Replica)> = None;
        for replica in candidates.available {
            let has_affinity = affinity == Some(replica.traits.id.as_str());
            let expected_ms = self.expected_ms(replica, needs, has_affinity, now_ms);
            let score = expected_ms + rng.random::<f64>() * JITTER_MS;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, replica));
            }
        }
        best.map(|(score, replica)| ChosenReplica {
            expected_ms: score,
            ..chosen(replica)
        })
    }

    /// The given replica as the choice, if it may get new work.
    #[must_use]
    pub fn chosen_at(&self, id: &str, now_ms: u64) -> Option<ChosenReplica> {
        let replica = self.replicas.get(id)?;
        self.is_available(replica, now_ms).then(|| chosen(replica))
    }

    /// Own online requests under way at a service.
    #[must_use]
    pub fn own_running(&self, service: &str) -> u32 {
        let service = self.services.get(service);
        service.map_or(0, |service| service.own_online)
    }

    /// An engine in the form that its coordinator needs.
    #[must_use]
    pub fn engine(&self, id: &str, now_ms: u64) -> Option<CoordinatedReplica> {
        let replica = self.replicas.get(id)?;
        (replica.traits.kv_tokens > 0).then(|| CoordinatedReplica {
            id: replica.traits.id.clone(),
            service: replica.traits.service.clone(),
            slots: replica.slots(),
            open: self.is_available(replica, now_ms),
            evacuated: self.evacuated.contains(&replica.traits.zone),
        })
    }

    /// Records how long it took to open a connection to a replica, in milliseconds.
    pub fn note_connected(&mut self, id: &str, round_trip_ms: f64) {
        if let Some(replica) = self.replicas.get(id) {
            self.distances.record(&replica.traits.zone, round_trip_ms);
        }
    }

    /// The round trip to a replica, as measured for its zone, in milliseconds.
    #[must_use]
    pub fn round_trip_ms(&self, id: &str) -> f64 {
        let replica = self.replicas.get(id);
        replica.map_or(0.0, |replica| {
            self.distances.round_trip_ms(&replica.traits.zone)
        })
    }

    /// Records a load report of a replica's coordinator.
    pub fn note_coordinator_load(&mut self, load: &SlotLoad, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(load.replica.as_str()) {
            replica.note_coordinator_load(load, now_ms);
        }
    }

    /// Records that a request is sent.
    pub fn begin(
        &mut self,
        chosen: &ChosenReplica,
        prompt: &[PromptPart],
        kind: WorkKind,
        now_ms: u64,
    ) -> Option<RunningWork> {
        let (key, _) = self.replicas.get_key_value(chosen.id.as_str())?;
        let key = Arc::clone(key);
        let replica = self.replicas.get_mut(&key)?;
        let own_before = replica.own_online;
        let work = replica.begin(prompt, kind, chosen.expected_ms, now_ms);
        if let Some(service) = self.services.get_mut(&replica.traits.service) {
            service.own_online += replica.own_online - own_before;
            service.note_sent(&key);
        }
        Some(work)
    }

    /// Records the first event of a request.
    pub fn first_event(&mut self, id: &str, work: &mut RunningWork, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.first_event(work, now_ms);
        }
    }

    /// Records the end of a request, whatever its outcome.
    pub fn end(&mut self, id: &str, work: RunningWork) {
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        let own_before = replica.own_online;
        replica.end(work);
        if let Some(service) = self.services.get_mut(&replica.traits.service) {
            service.own_online -= own_before - replica.own_online;
        }
    }

    /// Records the load that a response reported.
    pub fn note_load(&mut self, id: &str, load: ReportedLoad, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_load(load, now_ms);
        }
    }

    /// Records a complete response.
    pub fn note_success(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_success();
        }
    }

    /// Records a failure.
    pub fn note_failure(&mut self, id: &str, kind: FailureKind, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_failure(kind, now_ms);
        }
    }

    /// Chooses a replica for a request that is suspected of ending replicas: copies of one request
    /// go to the same replica, one after the other, and different requests are spread over all
    /// replicas, so that few other requests share a replica that is ended by it.
    pub fn choose_by_hash(
        &self,
        needs: &RequestNeeds<'_>,
        number: u64,
        now_ms: u64,
    ) -> Option<ChosenReplica> {
        let available = self.hash_candidates(number, needs, now_ms).into_iter();
        let replica =
            available.max_by_key(|replica| rendezvous_hash(number, &replica.traits.id))?;
        Some(chosen(replica))
    }

    /// Replicas that may get a request, including cold ones.
    #[must_use]
    pub fn available_ids(&self, needs: &RequestNeeds<'_>, now_ms: u64) -> Vec<String> {
        let service = self.services.get(needs.service);
        let all = service.map_or(&[][..], ServiceReplicas::all);
        let available = self.available_among(all.iter().map(Arc::as_ref), needs, now_ms);
        available.into_iter().map(|r| r.traits.id.clone()).collect()
    }

    fn expected_ms(
        &self,
        replica: &Replica,
        needs: &RequestNeeds<'_>,
        has_affinity: bool,
        now_ms: u64,
    ) -> f64 {
        let waiting_ms = replica.waiting(now_ms) * COST_PER_WAITING_MS;
        let running_ms = running_cost_ms(replica, now_ms);
        let round_trips = if replica.traits.kv_tokens > 0 {
            ENGINE_ROUND_TRIPS
        } else {
            ROUND_TRIPS
        };
        let extra_ms = self.distances.extra_ms(&self.zone, &replica.traits.zone);
        let uncached = tokens_to_prefill(replica, needs.prompt, has_affinity);
        let prefill_ms = (uncached + replica.pending_prefill_tokens as f64) / PREFILL_TOKENS_PER_MS;
        let expected_ms = waiting_ms + running_ms + prefill_ms;
        let slowed_by_ms = (expected_ms + BASE_MS) * (replica.slowness(now_ms) - 1.0);
        (expected_ms + slowed_by_ms) * replica.latency_ratio()
            + replica.overdue_ms(now_ms) as f64
            + round_trips * extra_ms
    }
}

/// Cost of a further request from those under way at a replica, in milliseconds.
fn running_cost_ms(replica: &Replica, now_ms: u64) -> f64 {
    match replica.reported_others(now_ms) {
        Some(others) => {
            let used_fraction = f64::from(replica.own_online + others) / f64::from(replica.slots());
            used_fraction.min(1.0) * FULL_COST_MS
        }
        None => {
            let own_ms = f64::from(replica.own_online) * COST_PER_OWN_MS;
            own_ms + replica.others(now_ms) * COST_PER_OTHER_MS
        }
    }
}

fn chosen(replica: &Replica) -> ChosenReplica {
    ChosenReplica {
        id: replica.traits.id.clone(),
        address: replica.traits.address.clone(),
        software: replica.traits.software.clone(),
        expected_ms: 0.0,
    }
}

/// Tokens of a prompt that would need prefill at a replica.
fn tokens_to_prefill(replica: &Replica, prompt: &[PromptPart], has_affinity: bool) -> f64 {
    let total: u32 = prompt.iter().map(|part| part.tokens).sum();
    let cached = f64::from(replica.cached_parts.reusable_tokens(prompt));
    let shared: u32 = prompt
        .iter()
        .take(prompt.len().saturating_sub(1))
        .map(|part| part.tokens)
        .sum();
    let expected = if has_affinity {
        f64::from(shared) * AFFINITY_CACHED_FRACTION
    } else {
        0.0
    };
    f64::from(total) - cached.max(expected)
}
