//! The replicas of all services, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use linnethitch_protocol::slots::SlotLoad;
use rand::Rng;

use super::{
    coordinator::CoordinatedReplica,
    distances::Distances,
    kept_parts::PromptPart,
    rendezvous::spread,
    replica::{FailureKind, Replica, ReplicaTraits, ReportedLoad, RunningWork, WorkKind},
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
pub struct Need<'a> {
    /// The service.
    pub service: &'a str,
    /// The parts of its prompt; none for application requests.
    pub prompt: &'a [PromptPart],
    /// Replicas that it must not be sent to (again).
    pub except: &'a [String],
    /// Zones in which it may be served; `None` where any may.
    pub homes: Option<&'a BTreeSet<String>>,
}

impl Need<'_> {
    fn may_be_in(&self, replica: &Replica) -> bool {
        let mut homes = self.homes.into_iter();
        homes.all(|zones| zones.contains(&replica.traits.zone))
    }
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
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
pub struct Board {
    zone: String,
    distances: Distances,
    replicas: BTreeMap<String, Replica>,
    by_service: HashMap<String, Vec<String>>,
    /// Zones whose replicas are given nothing new.
    evacuated: BTreeSet<String>,
}

impl Board {
    /// An empty board of a gateway in this zone.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Board {
            zone: zone.to_owned(),
            ..Board::default()
        }
    }

    /// Replaces the list of replicas; what is known of those that stay is kept.
    pub fn set_replicas(&mut self, list: Vec<ReplicaTraits>) {
        let mut before = std::mem::take(&mut self.replicas);
        self.by_service.clear();
        for traits in list {
            let id = traits.id.clone();
            let ids = self.by_service.entry(traits.service.clone()).or_default();
            ids.push(id.clone());
            let replica = match before.remove(&id) {
                Some(mut known) => {
                    known.traits = traits;
                    known
                }
                None => Replica::new(traits),
            };
            self.replicas.insert(id, replica);
        }
    }

    /// Replaces the zones that are evacuated. What is known of their replicas is kept; only
    /// what coordinators told of those that are open again is not, since they were closed.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
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

    /// Whether all replicas for a need that control says to be ready are in evacuated
    /// zones; false where there are none.
    #[must_use]
    pub fn is_service_evacuated(&self, need: &Need<'_>) -> bool {
        let ready = self.of(need.service).filter(|replica| replica.traits.ready);
        let mut ready = ready.filter(|replica| need.may_be_in(replica));
        let is_evacuated = |replica: &Replica| self.evacuated.contains(&replica.traits.zone);
        ready.next().is_some_and(is_evacuated) && ready.all(is_evacuated)
    }

    /// Replicas that are ready, in evacuated zones and in others.
    #[must_use]
    pub fn ready_replicas(&self) -> ReadyReplicas {
        let ready = self.replicas.values().filter(|r| r.traits.ready);
        let is_evacuated = |replica: &&Replica| self.evacuated.contains(&replica.traits.zone);
        let evacuated = ready.clone().filter(is_evacuated).count();
        ReadyReplicas {
            open: ready.count() - evacuated,
            evacuated,
        }
    }

    /// The replicas of a service.
    #[must_use]
    pub fn ids(&self, service: &str) -> Vec<String> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// The replicas of a service outside these zones.
    #[must_use]
    pub fn ids_outside(&self, service: &str, homes: &BTreeSet<String>) -> Vec<String> {
        let outside = self.of(service).filter(|r| !homes.contains(&r.traits.zone));
        outside.map(|replica| replica.traits.id.clone()).collect()
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
    pub fn choose(&self, need: &Need<'_>, now_ms: u64, rng: &mut impl Rng) -> Option<Chosen> {
        let open: Vec<&Replica> = self.open_replicas(need, now_ms).collect();
        let home = home(&open, need.prompt).map(|home| home.traits.id.as_str());
        let mut best: Option<(f64, &Replica)> = None;
        for replica in open {
            let is_home = home == Some(replica.traits.id.as_str());
            let expected_ms = self.expected_ms(replica, need, is_home, now_ms);
            let score = expected_ms + rng.random::<f64>() * JITTER_MS;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, replica));
            }
        }
        best.map(|(score, replica)| Chosen {
            expected_ms: score,
            ..chosen(replica)
        })
    }

    /// One replica as a choice, if it may be given new work.
    #[must_use]
    pub fn chosen_at(&self, id: &str, now_ms: u64) -> Option<Chosen> {
        let replica = self.replicas.get(id)?;
        self.is_open(replica, now_ms).then(|| chosen(replica))
    }

    /// Own requests and batch items under way at a service.
    #[must_use]
    pub fn own_running(&self, service: &str) -> u32 {
        let replicas = self.of(service);
        replicas.map(|replica| replica.own).sum()
    }

    fn of(&self, service: &str) -> impl Iterator<Item = &Replica> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Engines, as their coordinators need them.
    #[must_use]
    pub fn engines(&self, now_ms: u64) -> Vec<CoordinatedReplica> {
        let engines = self.replicas.values().filter(|r| r.traits.kv_tokens > 0);
        engines
            .map(|replica| CoordinatedReplica {
                id: replica.traits.id.clone(),
                service: replica.traits.service.clone(),
                slots: replica.slots(),
                open: self.is_open(replica, now_ms),
                evacuated: self.evacuated.contains(&replica.traits.zone),
            })
            .collect()
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
    pub fn note_told(&mut self, load: &SlotLoad, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(&load.replica) {
            replica.note_told(load, now_ms);
        }
    }

    /// Notes that a request is sent.
    pub fn begin(
        &mut self,
        chosen: &Chosen,
        prompt: &[PromptPart],
        kind: WorkKind,
        now_ms: u64,
    ) -> Option<RunningWork> {
        let replica = self.replicas.get_mut(&chosen.id)?;
        Some(replica.begin(prompt, kind, chosen.expected_ms, now_ms))
    }

    /// Notes that the first event of a request came.
    pub fn first_event(&mut self, id: &str, work: &mut RunningWork, now_ms: u64) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.first_event(work, now_ms);
        }
    }

    /// Notes that a request has ended, however.
    pub fn end(&mut self, id: &str, work: RunningWork) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.end(work);
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
    pub fn choose_apart(&self, need: &Need<'_>, number: u64, now_ms: u64) -> Option<Chosen> {
        let open = self.open_replicas(need, now_ms);
        let replica = open.max_by_key(|replica| spread(number, &replica.traits.id))?;
        Some(chosen(replica))
    }

    /// Replicas that may be given a request, cold ones too.
    #[must_use]
    pub fn open_ids(&self, need: &Need<'_>, now_ms: u64) -> Vec<String> {
        let open = self.open_replicas(need, now_ms);
        open.map(|replica| replica.traits.id.clone()).collect()
    }

    /// Replicas that may be given a request. Those that fail what they are given are left
    /// out, unless most of the service do: then something else is at fault.
    fn open_replicas<'a>(
        &'a self,
        need: &'a Need<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Replica> {
        let open = move || {
            let replicas = self.of(need.service);
            let replicas = replicas.filter(move |replica| need.may_be_in(replica));
            replicas.filter(move |replica| self.is_open(replica, now_ms))
        };
        let closed = open().filter(|r| r.is_told_closed(now_ms)).count();
        let leaves_out = closed * 2 <= open().count();
        open()
            .filter(|replica| !need.except.contains(&replica.traits.id))
            .filter(move |replica| !(leaves_out && replica.is_told_closed(now_ms)))
    }

    fn expected_ms(&self, replica: &Replica, need: &Need<'_>, is_home: bool, now_ms: u64) -> f64 {
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
        expected_ms * replica.pace() + replica.overdue_ms(now_ms) as f64 + round_trips * beyond_ms
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

fn chosen(replica: &Replica) -> Chosen {
    Chosen {
        id: replica.traits.id.clone(),
        address: replica.traits.address.clone(),
        expected_ms: 0.0,
    }
}

/// The replica where a shared prompt has its home: the same one for every
/// gateway, by rendezvous hashing on its first part.
fn home<'a>(replicas: &[&'a Replica], prompt: &[PromptPart]) -> Option<&'a Replica> {
    let first = prompt.first().filter(|_| prompt.len() > 1)?;
    let replicas = replicas.iter().copied();
    replicas.max_by_key(|replica| spread(first.id, &replica.traits.id))
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
