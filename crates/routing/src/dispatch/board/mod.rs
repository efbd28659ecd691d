//! The replicas of all services, and the choice among them.

mod candidates;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use linnethitch_protocol::slots::SlotLoad;
use rand::Rng;

use self::candidates::Candidates;
use super::{
    coordinator::CoordinatedReplica,
    distances::Distances,
    kept_parts::PromptPart,
    rendezvous::spread,
    replica::{BASE_MS, FailureKind, Replica, ReplicaTraits, ReportedLoad, RunningWork, WorkKind},
    service_replicas::{Key, ServiceReplicas},
};

/// Prompt tokens that an engine reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 85.0;
/// Expected wait for each request that waits there, in milliseconds.
const COST_PER_WAITING_MS: f64 = 100.0;
/// Cost of each own request under way there, in milliseconds. Each gateway
/// knows its own at once, and gateways that spread theirs evenly spread all
/// evenly; reports are older than most requests last.
const COST_PER_OWN_MS: f64 = 10.0;
/// Cost of each request that others have there, in milliseconds.
const COST_PER_OTHER_MS: f64 = 1.0;
/// Cost of a replica whose slots are all taken over an idle one, in milliseconds,
/// where its coordinator told what others have there. It spreads requests evenly, but
/// less dearly than reading a long shared prompt anew.
const FULL_COST_MS: f64 = 40.0;
/// Round trips of a request to an engine: one to its coordinator, which is near it, and one
/// to itself.
const ENGINE_ROUND_TRIPS: f64 = 2.0;
/// Round trips of a request to another replica.
const ROUND_TRIPS: f64 = 1.0;
/// Part of a shared prompt that is expected to be kept at its home replica,
/// though this gateway has not sent it there.
const HOME_KEPT_SHARE: f64 = 0.7;
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
    /// Zones in which it may be served; `None` where any may.
    pub homes: Option<&'a BTreeSet<String>>,
}

impl RequestNeeds<'_> {
    fn may_be_in(&self, zone: &str) -> bool {
        let mut homes = self.homes.into_iter();
        homes.all(|zones| zones.contains(zone))
    }
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenReplica {
    /// The key of the replica's start.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
}

/// How many replicas control says to be ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyReplicas {
    /// Those that may be given new work.
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
    /// Zones whose replicas are given nothing new.
    evacuated: BTreeSet<String>,
}

impl ReplicaTable {
    /// An empty board of a gateway in this zone.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        ReplicaTable {
            zone: zone.to_owned(),
            ..ReplicaTable::default()
        }
    }

    /// Replaces the list of replicas; what is known of those that stay is kept.
    pub fn set_replicas(&mut self, list: Vec<ReplicaTraits>) {
        let listed: HashSet<&str> = list.iter().map(|traits| traits.id.as_str()).collect();
        let held = self.replicas.keys();
        let left: Vec<Key> = held
            .filter(|id| !listed.contains(&***id))
            .cloned()
            .collect();
        left.iter().for_each(|id| self.remove(id));
        list.into_iter().for_each(|traits| self.put(traits));
    }

    /// Notes a replica, or what it registered with by now; what is known of it is kept.
    pub fn put(&mut self, traits: ReplicaTraits) {
        let key = Key::from(traits.id.as_str());
        let own = match self.replicas.get_mut(&key) {
            Some(known) if known.traits == traits => return,
            Some(known) => {
                if let Some(service) = self.services.get_mut(&known.traits.service) {
                    service.remove(&key, &known.traits);
                    service.own -= known.own;
                }
                // Its coordinator closed it for the zone that it has left.
                if self.evacuated.contains(&known.traits.zone) && known.traits.zone != traits.zone {
                    known.forget_told();
                }
                known.traits = traits.clone();
                known.own
            }
            None => {
                let replica = Replica::new(traits.clone());
                self.replicas.insert(Arc::clone(&key), replica);
                0
            }
        };
        let service = self.services.entry(traits.service.clone()).or_default();
        service.add(&key, &traits);
        service.own += own;
    }

    /// Forgets a replica.
    pub fn remove(&mut self, id: &str) {
        let Some((key, replica)) = self.replicas.remove_entry(id) else {
            return;
        };
        let Some(service) = self.services.get_mut(&replica.traits.service) else {
            return;
        };
        service.remove(&key, &replica.traits);
        service.forget_sent(&key);
        service.own -= replica.own;
        if service.all().is_empty() {
            self.services.remove(&replica.traits.service);
        }
    }

    /// Replaces the zones that are evacuated. What is known of their replicas is kept; only
    /// what coordinators told of those that are open again is not, since they were closed.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        if self.evacuated == zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, zones);
        for replica in self.replicas.values_mut() {
            let zone = &replica.traits.zone;
            if before.contains(zone) && !self.evacuated.contains(zone) {
                replica.forget_told();
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

    /// Whether all replicas for a need that control says to be ready are in evacuated
    /// zones; false where there are none.
    #[must_use]
    pub fn is_service_evacuated(&self, need: &RequestNeeds<'_>) -> bool {
        let mut zones = self.ready_zones(need).peekable();
        zones.peek().is_some() && zones.all(|zone| self.evacuated.contains(zone))
    }

    /// Whether any replica for a need is one that control says to be ready, and not in an
    /// evacuated zone.
    #[must_use]
    pub fn has_ready_replica(&self, need: &RequestNeeds<'_>) -> bool {
        let mut zones = self.ready_zones(need);
        zones.any(|zone| !self.evacuated.contains(zone))
    }

    /// Zones with ready replicas for a need.
    fn ready_zones<'a>(&'a self, need: &'a RequestNeeds<'_>) -> impl Iterator<Item = &'a str> {
        let service = self.services.get(need.service).into_iter();
        let zones = service.flat_map(|service| service.ready().map(|(zone, _)| zone));
        zones.filter(|zone| need.may_be_in(zone))
    }

    /// Replicas that are ready, in evacuated zones and in others.
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

    /// Those of some replicas that are outside these zones.
    #[must_use]
    pub fn outside_homes(&self, ids: &[String], homes: &BTreeSet<String>) -> Vec<String> {
        let is_outside = |id: &&String| {
            let replica = self.replicas.get(id.as_str());
            replica.is_some_and(|replica| !homes.contains(&replica.traits.zone))
        };
        ids.iter().filter(is_outside).cloned().collect()
    }

    /// Whether a replica may be given new work, as far as control told.
    #[must_use]
    pub fn is_known_ready(&self, id: &str) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|replica| {
            replica.traits.ready && !self.evacuated.contains(&replica.traits.zone)
        })
    }

    fn is_open(&self, replica: &Replica, now_ms: u64) -> bool {
        replica.is_open(now_ms) && !self.evacuated.contains(&replica.traits.zone)
    }

    /// Chooses the replica with the shortest expected time to the first event.
    pub fn choose(
        &self,
        need: &RequestNeeds<'_>,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<ChosenReplica> {
        let candidates = self.candidates(need, now_ms, rng);
        self.best(candidates, need, now_ms, rng)
    }

    /// The same among some replicas of the service.
    pub fn choose_among(
        &self,
        ids: &[String],
        need: &RequestNeeds<'_>,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<ChosenReplica> {
        let open = self.open_among(ids.iter().map(String::as_str), need, now_ms);
        self.best(Candidates::of(open, need.prompt), need, now_ms, rng)
    }

    fn best(
        &self,
        candidates: Candidates<'_>,
        need: &RequestNeeds<'_>,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<ChosenReplica> {
        let home = candidates.home.map(|home| home.traits.id.as_str());
        let mut best: Option<(f64, &Replica)> = None;
        for replica in candidates.open {
            let is_home = home == Some(replica.traits.id.as_str());
            let expected_ms = self.expected_ms(replica, need, is_home, now_ms);
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

    /// One replica as a choice, if it may be given new work.
    #[must_use]
    pub fn chosen_at(&self, id: &str, now_ms: u64) -> Option<ChosenReplica> {
        let replica = self.replicas.get(id)?;
        self.is_open(replica, now_ms).then(|| chosen(replica))
    }

    /// Own requests and batch items under way at a service.
    #[must_use]
    pub fn own_running(&self, service: &str) -> u32 {
        let service = self.services.get(service);
        service.map_or(0, |service| service.own)
    }

    /// An engine, as its coordinator needs it.
    #[must_use]
    pub fn engine(&self, id: &str, now_ms: u64) -> Option<CoordinatedReplica> {
        let replica = self.replicas.get(id)?;
        (replica.traits.kv_tokens > 0).then(|| CoordinatedReplica {
            id: replica.traits.id.clone(),
            service: replica.traits.service.clone(),
            slots: replica.slots(),
            open: self.is_open(replica, now_ms),
            evacuated: self.evacuated.contains(&replica.traits.zone),
        })
    }

    /// Notes how long it took to open a connection to a replica, in milliseconds.
    pub fn note_connected(&mut self, id: &str, round_trip_ms: f64) {
        if let Some(replica) = self.replicas.get(id) {
            self.distances.note(&replica.traits.zone, round_trip_ms);
        }
    }

    /// The round trip to a replica, as connections to its zone took, in milliseconds.
    #[must_use]
    pub fn round_trip_ms(&self, id: &str) -> f64 {
        let replica = self.replicas.get(id);
        replica.map_or(0.0, |replica| {
            self.distances.round_trip_ms(&replica.traits.zone)
        })
    }

    /// Notes what a replica's coordinator told of it.
    pub fn note_coordinator_load(&mut self, load: &SlotLoad, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(load.replica.as_str()) {
            replica.note_coordinator_load(load, now_ms);
        }
    }

    /// Notes that a request is sent.
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
        let own_before = replica.own;
        let work = replica.begin(prompt, kind, chosen.expected_ms, now_ms);
        if let Some(service) = self.services.get_mut(&replica.traits.service) {
            service.own += replica.own - own_before;
            service.note_sent(&key);
        }
        Some(work)
    }

    /// Notes that the first event of a request came.
    pub fn first_event(&mut self, id: &str, work: &mut RunningWork, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.first_event(work, now_ms);
        }
    }

    /// Notes that a request has ended, however.
    pub fn end(&mut self, id: &str, work: RunningWork) {
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        let own_before = replica.own;
        replica.end(work);
        if let Some(service) = self.services.get_mut(&replica.traits.service) {
            service.own -= own_before - replica.own;
        }
    }

    /// Notes the load that an answer carried.
    pub fn note_load(&mut self, id: &str, load: ReportedLoad, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_load(load, now_ms);
        }
    }

    /// Notes a whole answer.
    pub fn note_success(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_success();
        }
    }

    /// Notes a failure.
    pub fn note_failure(&mut self, id: &str, kind: FailureKind, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.note_failure(kind, now_ms);
        }
    }

    /// Chooses for a request under which replicas ended: copies of one request go to the
    /// same replica, one after the other, and different ones are spread over all, so
    /// that what ends this replica too does so in few companies.
    pub fn choose_by_hash(
        &self,
        need: &RequestNeeds<'_>,
        number: u64,
        now_ms: u64,
    ) -> Option<ChosenReplica> {
        let open = self.belonging(number, need, now_ms).into_iter();
        let replica = open.max_by_key(|replica| spread(number, &replica.traits.id))?;
        Some(chosen(replica))
    }

    /// Replicas that may be given a request, cold ones too.
    #[must_use]
    pub fn available_ids(&self, need: &RequestNeeds<'_>, now_ms: u64) -> Vec<String> {
        let service = self.services.get(need.service);
        let all = service.map_or(&[][..], ServiceReplicas::all);
        let open = self.open_among(all.iter().map(Arc::as_ref), need, now_ms);
        open.into_iter().map(|r| r.traits.id.clone()).collect()
    }

    fn expected_ms(
        &self,
        replica: &Replica,
        need: &RequestNeeds<'_>,
        is_home: bool,
        now_ms: u64,
    ) -> f64 {
        let waiting_ms = replica.waiting(now_ms) * COST_PER_WAITING_MS;
        let running_ms = running_cost_ms(replica, now_ms);
        let round_trips = if replica.traits.kv_tokens > 0 {
            ENGINE_ROUND_TRIPS
        } else {
            ROUND_TRIPS
        };
        let beyond_ms = self.distances.beyond_ms(&self.zone, &replica.traits.zone);
        let unread = unread_tokens(replica, need.prompt, is_home);
        let reading_ms = (unread + replica.unread_tokens as f64) / READ_TOKENS_PER_MS;
        let expected_ms = waiting_ms + running_ms + reading_ms;
        let slowed_by_ms = (expected_ms + BASE_MS) * (replica.slowness(now_ms) - 1.0);
        (expected_ms + slowed_by_ms) * replica.pace()
            + replica.overdue_ms(now_ms) as f64
            + round_trips * beyond_ms
    }
}

/// What the requests under way at a replica cost a further one, in milliseconds.
fn running_cost_ms(replica: &Replica, now_ms: u64) -> f64 {
    match replica.told_others(now_ms) {
        Some(others) => {
            let taken = f64::from(replica.own + others) / f64::from(replica.slots());
            taken.min(1.0) * FULL_COST_MS
        }
        None => {
            let own_ms = f64::from(replica.own) * COST_PER_OWN_MS;
            own_ms + replica.others(now_ms) * COST_PER_OTHER_MS
        }
    }
}

fn chosen(replica: &Replica) -> ChosenReplica {
    ChosenReplica {
        id: replica.traits.id.clone(),
        address: replica.traits.address.clone(),
        expected_ms: 0.0,
    }
}

/// Tokens of a prompt that a replica would have to read.
fn unread_tokens(replica: &Replica, prompt: &[PromptPart], is_home: bool) -> f64 {
    let total: u32 = prompt.iter().map(|part| part.tokens).sum();
    let kept = f64::from(replica.kept.reusable(prompt));
    let shared: u32 = prompt
        .iter()
        .take(prompt.len().saturating_sub(1))
        .map(|part| part.tokens)
        .sum();
    let expected = if is_home {
        f64::from(shared) * HOME_KEPT_SHARE
    } else {
        0.0
    };
    f64::from(total) - kept.max(expected)
}
