//! The replicas of all services, and the choice among them.

use std::collections::{BTreeMap, HashMap};

use linnethitch_protocol::hash::fnv1a;
use rand::Rng;

use super::{
    kept_parts::PromptPart,
    replica::{FailureKind, Replica, ReplicaTraits, ReportedLoad, RunningWork},
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
/// where control tells what others have there. It spreads requests evenly, but
/// less dearly than reading a long shared prompt anew.
const FULL_COST_MS: f64 = 40.0;
/// Gateways tell each other their loads where there are more of them than this
/// for each slot of a replica.
const GATEWAYS_PER_SLOT: u32 = 2;
/// Replicas that are compared where control tells what others have.
const DRAWN_REPLICAS: usize = 3;
/// A replica that keeps so much of a prompt is always compared, in tokens.
const WORTHWHILE_TOKENS: u32 = 1_000;
/// Cost of leaving the zone, in milliseconds.
const OTHER_ZONE_MS: f64 = 1.0;
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
    /// Share of the slots that may be taken for it to start; 1 for online
    /// requests, less for batch items. Nothing is chosen beyond it.
    pub busy_share: Option<f64>,
    /// Own batch items by replica that can be stopped at once for this request.
    pub yielding: Option<&'a HashMap<String, u32>>,
}

impl Need<'_> {
    fn yielding_at(&self, replica: &Replica) -> u32 {
        let held = self
            .yielding
            .and_then(|items| items.get(&replica.traits.id));
        held.copied().unwrap_or(0).min(replica.own)
    }
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// The incarnation.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether every slot there is taken, as far as can be told.
    pub is_full: bool,
}

/// Every replica that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Board {
    zone: String,
    replicas: BTreeMap<String, Replica>,
    by_service: HashMap<String, Vec<String>>,
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

    /// Whether a replica may be given new work, as far as control told.
    #[must_use]
    pub fn is_known_ready(&self, id: &str) -> bool {
        self.replicas
            .get(id)
            .is_some_and(|replica| replica.traits.ready)
    }

    /// Chooses the replica with the shortest expected time to the first event.
    pub fn choose(&self, need: &Need<'_>, now_ms: u64, rng: &mut impl Rng) -> Option<Chosen> {
        let ids = self.by_service.get(need.service)?;
        let open: Vec<&Replica> = ids
            .iter()
            .filter(|id| !need.except.contains(id))
            .filter_map(|id| self.replicas.get(id))
            .filter(|replica| replica.is_open(now_ms) && has_room(replica, need, now_ms))
            .collect();
        let home = home(&open, need.prompt).map(|home| home.traits.id.as_str());
        let drawn = draw(&open, now_ms, rng);
        let mut best: Option<(f64, &Replica)> = None;
        for (number, replica) in open.into_iter().enumerate() {
            let is_home = home == Some(replica.traits.id.as_str());
            let keeps_prompt = replica.kept.reusable(need.prompt) >= WORTHWHILE_TOKENS;
            let is_drawn = drawn.as_ref().is_none_or(|drawn| drawn.contains(&number));
            let yields = need.yielding_at(replica) > 0;
            if !is_drawn && !is_home && !keeps_prompt && !yields {
                continue;
            }
            let expected_ms = self.expected_ms(replica, need, is_home, now_ms);
            let score = expected_ms + rng.random::<f64>() * JITTER_MS;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, replica));
            }
        }
        best.map(|(score, replica)| Chosen {
            id: replica.traits.id.clone(),
            address: replica.traits.address.clone(),
            expected_ms: score,
            is_full: replica.is_full(now_ms),
        })
    }

    /// Own requests and batch items under way at a service.
    #[must_use]
    pub fn own_running(&self, service: &str) -> u32 {
        let replicas = self.of(service);
        replicas.map(|replica| replica.own).sum()
    }

    /// Slots of a service's ready replicas.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        let ready = self.of(service).filter(|replica| replica.traits.ready);
        ready.map(Replica::slots).sum()
    }

    fn of(&self, service: &str) -> impl Iterator<Item = &Replica> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Slots of a service that are free at open replicas, as far as can be told.
    #[must_use]
    pub fn free_slots(&self, service: &str, busy_share: f64, now_ms: u64) -> u32 {
        self.of(service)
            .filter(|replica| replica.is_open(now_ms))
            .map(|replica| {
                let usable = (f64::from(replica.slots()) * busy_share) as u32;
                usable.saturating_sub(replica.busy(now_ms))
            })
            .sum()
    }

    /// Whether gateways have to tell each other what they have under way.
    ///
    /// While a gateway has a good part of each replica's slots for itself, gateways
    /// that spread their own requests evenly spread all evenly. Where there are many
    /// more gateways than a replica has slots, each knows next to nothing alone.
    #[must_use]
    pub fn needs_others(&self, gateways: u32) -> bool {
        let mut ready = self.replicas.values().filter(|r| r.traits.ready);
        ready.any(|replica| gateways > replica.slots() * GATEWAYS_PER_SLOT)
    }

    /// Whether control told lately what other gateways have under way at a service.
    #[must_use]
    pub fn knows_others(&self, service: &str, now_ms: u64) -> bool {
        all_shared(self.of(service), now_ms)
    }

    /// Own requests under way, by replica.
    pub fn own_counts(&self) -> impl Iterator<Item = (&str, u32)> {
        let replicas = self.replicas.iter();
        replicas.map(|(id, replica)| (id.as_str(), replica.own))
    }

    /// Notes what other gateways have under way at every replica.
    pub fn note_others(&mut self, others: impl Fn(&str) -> u32, now_ms: u64) {
        for (id, replica) in &mut self.replicas {
            replica.note_shared(others(id), now_ms);
        }
    }

    /// Requests and items that a gateway may have under way at a service so that
    /// all together take no more than this share of its slots. Where control tells
    /// what others have, it is an even part of what is left (or of what is too
    /// much), else an even part of the whole.
    #[must_use]
    pub fn fair_part(&self, service: &str, share: f64, gateways: u32, now_ms: u64) -> u32 {
        let gateways = f64::from(gateways.max(1));
        let usable = f64::from(self.slots(service)) * share;
        if !self.knows_others(service, now_ms) {
            return (usable / gateways).ceil() as u32;
        }
        let busy: u32 = self.of(service).map(|replica| replica.busy(now_ms)).sum();
        let left = ((usable - f64::from(busy)) / gateways).ceil();
        (f64::from(self.own_running(service)) + left).max(0.0) as u32
    }

    /// Notes that a request is sent.
    pub fn begin(
        &mut self,
        chosen: &Chosen,
        prompt: &[PromptPart],
        now_ms: u64,
    ) -> Option<RunningWork> {
        let replica = self.replicas.get_mut(&chosen.id)?;
        Some(replica.begin(prompt, chosen.expected_ms, now_ms))
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

    fn expected_ms(&self, replica: &Replica, need: &Need<'_>, is_home: bool, now_ms: u64) -> f64 {
        let yielding = need.yielding_at(replica);
        let waiting = replica.waiting(now_ms) - f64::from(yielding);
        let waiting_ms = waiting.max(0.0) * COST_PER_WAITING_MS;
        let running_ms = running_cost_ms(replica, now_ms);
        let zone_ms = if replica.traits.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_MS
        };
        let unread = unread_tokens(replica, need.prompt, is_home);
        let reading_ms = (unread + replica.unread_tokens as f64) / READ_TOKENS_PER_MS;
        let expected_ms = waiting_ms + running_ms + reading_ms;
        expected_ms * replica.pace() + replica.overdue_ms(now_ms) as f64 + zone_ms
    }
}

/// What the requests under way at a replica cost a further one, in milliseconds.
fn running_cost_ms(replica: &Replica, now_ms: u64) -> f64 {
    match replica.shared_others(now_ms) {
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

fn all_shared<'a>(mut replicas: impl Iterator<Item = &'a Replica>, now_ms: u64) -> bool {
    replicas.all(|replica| replica.shared_others(now_ms).is_some())
}

/// Numbers of the replicas that are compared, drawn by lot; `None` for all.
///
/// Counts of other gateways are a little old, and all gateways see the same ones.
/// If each took the best of all, the emptiest replicas would be overrun between
/// two exchanges; the best of a few drawn by lot differs for each request.
fn draw(open: &[&Replica], now_ms: u64, rng: &mut impl Rng) -> Option<Vec<usize>> {
    if open.len() <= DRAWN_REPLICAS || !all_shared(open.iter().copied(), now_ms) {
        return None;
    }
    let mut drawn = Vec::with_capacity(DRAWN_REPLICAS);
    while drawn.len() < DRAWN_REPLICAS {
        let number = rng.random_range(0..open.len());
        if !drawn.contains(&number) {
            drawn.push(number);
        }
    }
    Some(drawn)
}

/// The replica where a shared prompt has its home: the same one for every
/// gateway, by rendezvous hashing on its first part.
fn home<'a>(replicas: &[&'a Replica], prompt: &[PromptPart]) -> Option<&'a Replica> {
    let first = prompt.first().filter(|_| prompt.len() > 1)?;
    let replicas = replicas.iter().copied();
    replicas.max_by_key(|replica| spread(first.id, &replica.traits.id))
}

fn has_room(replica: &Replica, need: &Need<'_>, now_ms: u64) -> bool {
    need.busy_share.is_none_or(|share| {
        let usable = f64::from(replica.slots()) * share;
        f64::from(replica.busy(now_ms) + 1) <= usable
    })
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

/// A hash of a part and a replica, spread over all numbers (FNV-1a, then a mix).
fn spread(part: u64, id: &str) -> u64 {
    let bytes = part.to_le_bytes().into_iter().chain(id.bytes());
    let hash = fnv1a(bytes);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
