//! What a gateway knows of one replica.

use std::collections::BTreeMap;

use linnethitch_protocol::slots::SlotLoad;

use super::kept_parts::{KeptParts, PromptPart};

/// First pause after a failure, in milliseconds; it doubles with each further one.
const FIRST_EJECTION_MS: u64 = 500;
/// Longest pause, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 8_000;
/// Failures in a row while working before a replica is paused.
const WORK_FAILURES: u32 = 2;
/// Pause of a replica that refused a request since it is full, in milliseconds.
const FULL_PAUSE_MS: u64 = 80;
/// What a coordinator told counts for this long, in milliseconds.
const TOLD_VALID_MS: u64 = 1_200;
/// A request without its first event after this time holds up those behind it, in milliseconds.
const OVERDUE_AFTER_MS: u64 = 150;
/// Weight of the newest measurement in a replica's pace.
const PACE_WEIGHT: f64 = 0.2;
/// Bounds of the pace.
const SLOWEST_PACE: f64 = 10.0;
const FASTEST_PACE: f64 = 0.7;
/// Time to the first event of an idle replica that is not waiting or reading, in milliseconds.
pub(super) const BASE_MS: f64 = 25.0;
/// A report counts half as much after this time, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 400.0;
/// What is told of a replica's present slowness counts half as much after this time, in
/// milliseconds: others share its machine, and come and go several times a second.
const SLOWNESS_HALF_LIFE_MS: f64 = 200.0;
/// Share of the KV cache that kept parts are assumed to have.
const KEPT_SHARE: f64 = 0.6;

/// What a replica registered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaTraits {
    /// The key of its start: what is known of one start counts for no other.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens, as IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens that its KV cache holds; 0 for application replicas.
    pub kv_tokens: u64,
    /// Whether it may be given new work.
    pub ready: bool,
}

/// Load as an answer carried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there at that moment, in hundredths of what is usual.
    pub slowness: u32,
}

/// The slowness of a replica that works as usual, or does not tell.
pub const USUAL_SLOWNESS: u32 = 100;

/// How a request failed at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the answer was not whole.
    Broken,
    /// It refused the request, since it is full.
    Full,
    /// Another incarnation has its address.
    Replaced,
}

/// What kind of work is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// An online request.
    Online,
    /// A batch item, which an online request can stop.
    Item,
}

/// A request under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningWork {
    number: u64,
    kind: WorkKind,
    /// Prompt tokens that the replica has to read.
    unread_tokens: u32,
    begun_ms: u64,
    /// Expected time to the first event, in milliseconds.
    expected_ms: f64,
    /// Whether its first event is outstanding.
    awaited: bool,
}

impl RunningWork {
    /// Whether its first event is outstanding.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        self.awaited
    }
}

/// A replica and what this gateway knows of it.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) traits: ReplicaTraits,
    /// Own online requests under way.
    pub(crate) own: u32,
    /// Own batch items under way.
    pub(crate) own_items: u32,
    /// Own prompt tokens whose first event is outstanding.
    pub(crate) unread_tokens: u64,
    /// Own requests whose first event is outstanding, and when they were sent.
    awaited: BTreeMap<u64, u64>,
    begun: u64,
    /// Measured over expected time to the first event.
    pace: f64,
    load: Option<Load>,
    told: Option<ToldLoad>,
    pub(crate) kept: KeptParts,
    failures: u32,
    paused_until_ms: u64,
    /// Another incarnation has its address.
    replaced: bool,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    told: ReportedLoad,
    at_ms: u64,
    /// Own requests under way when it came.
    own_then: u32,
}

/// What its coordinator told.
#[derive(Clone, Copy, Debug)]
struct ToldLoad {
    /// Online requests of other gateways that have a slot.
    others: u32,
    /// Online requests that wait for a slot.
    waiting: u32,
    /// Whether it fails what it is given.
    closed: bool,
    at_ms: u64,
}

impl Load {
    /// How much of it still counts: half after each half-life.
    fn freshness(&self, now_ms: u64, half_life_ms: f64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        (-age_ms / half_life_ms).exp2()
    }
}

impl Replica {
    pub(crate) fn new(traits: ReplicaTraits) -> Self {
        Replica {
            traits,
            own: 0,
            own_items: 0,
            unread_tokens: 0,
            awaited: BTreeMap::new(),
            begun: 0,
            pace: 1.0,
            load: None,
            told: None,
            kept: KeptParts::default(),
            failures: 0,
            paused_until_ms: 0,
            replaced: false,
        }
    }

    /// Whether it may be given a request now.
    pub(crate) fn is_open(&self, now_ms: u64) -> bool {
        self.traits.ready && !self.replaced && self.paused_until_ms <= now_ms
    }

    /// Whether its coordinator told lately that it fails what it is given.
    pub(crate) fn is_told_closed(&self, now_ms: u64) -> bool {
        self.told(now_ms).is_some_and(|told| told.closed)
    }

    fn told(&self, now_ms: u64) -> Option<ToldLoad> {
        self.told.filter(|told| now_ms < told.at_ms + TOLD_VALID_MS)
    }

    /// Online requests of other gateways there, if its coordinator told lately.
    pub(crate) fn told_others(&self, now_ms: u64) -> Option<u32> {
        self.told(now_ms).map(|told| told.others)
    }

    pub(crate) fn note_coordinator_load(&mut self, load: &SlotLoad, now_ms: u64) {
        self.told = Some(ToldLoad {
            others: u32::from(load.online).saturating_sub(self.own),
            waiting: u32::from(load.waiting),
            closed: load.closed,
            at_ms: now_ms,
        });
    }

    pub(crate) fn forget_told(&mut self) {
        self.told = None;
    }

    /// Requests that wait there beyond the slots: as its coordinator told, else by
    /// the last report, which counts less the older it is.
    pub(crate) fn waiting(&self, now_ms: u64) -> f64 {
        if let Some(told) = self.told(now_ms) {
            // A further request waits as soon as every slot is taken.
            let beyond = (self.own + told.others + 1).saturating_sub(self.slots());
            return f64::from(beyond + told.waiting);
        }
        self.load.map_or(0.0, |load| {
            f64::from(load.told.waiting) * load.freshness(now_ms, LOAD_HALF_LIFE_MS)
        })
    }

    /// Requests that others have there, by the last report, which counts less
    /// the older it is.
    pub(crate) fn others(&self, now_ms: u64) -> f64 {
        self.load.map_or(0.0, |load| {
            let others = load.told.running.saturating_sub(load.own_then);
            f64::from(others) * load.freshness(now_ms, LOAD_HALF_LIFE_MS)
        })
    }

    pub(crate) fn slots(&self) -> u32 {
        let told = self.load.map(|load| load.told.slots);
        told.filter(|slots| *slots > 0)
            .unwrap_or(self.traits.slots)
            .max(1)
    }

    /// Measured over expected time to the first event.
    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }

    /// How much longer work takes there now than usual, as a factor: as it told last, which
    /// counts less the older it is.
    pub(crate) fn slowness(&self, now_ms: u64) -> f64 {
        self.load.map_or(1.0, |load| {
            let told = f64::from(load.told.slowness) / f64::from(USUAL_SLOWNESS);
            1.0 + (told - 1.0) * load.freshness(now_ms, SLOWNESS_HALF_LIFE_MS)
        })
    }

    /// How long the oldest request without its first event is overdue, in milliseconds.
    pub(crate) fn overdue_ms(&self, now_ms: u64) -> u64 {
        let oldest = self.awaited.values().next();
        oldest.map_or(0, |sent_ms| {
            now_ms.saturating_sub(sent_ms + OVERDUE_AFTER_MS)
        })
    }

    pub(crate) fn begin(
        &mut self,
        prompt: &[PromptPart],
        kind: WorkKind,
        expected_ms: f64,
        now_ms: u64,
    ) -> RunningWork {
        let total: u32 = prompt.iter().map(|part| part.tokens).sum();
        let unread_tokens = total - self.kept.reusable(prompt);
        let most_tokens = (self.traits.kv_tokens as f64 * KEPT_SHARE) as u64;
        self.kept.note(prompt, most_tokens, now_ms);
        *self.running(kind) += 1;
        self.unread_tokens += u64::from(unread_tokens);
        self.begun += 1;
        self.awaited.insert(self.begun, now_ms);
        RunningWork {
            number: self.begun,
            kind,
            unread_tokens,
            begun_ms: now_ms,
            expected_ms,
            awaited: true,
        }
    }

    /// The first event came.
    pub(crate) fn first_event(&mut self, work: &mut RunningWork, now_ms: u64) {
        if work.awaited {
            let took_ms = now_ms.saturating_sub(work.begun_ms) as f64;
            let measured = (took_ms + BASE_MS) / (work.expected_ms + 2.0 * BASE_MS);
            let pace = self.pace + PACE_WEIGHT * (measured - self.pace);
            self.pace = pace.clamp(FASTEST_PACE, SLOWEST_PACE);
        }
        self.finish_reading(work);
    }

    fn finish_reading(&mut self, work: &mut RunningWork) {
        let unread = u64::from(work.unread_tokens);
        self.unread_tokens = self.unread_tokens.saturating_sub(unread);
        self.awaited.remove(&work.number);
        work.unread_tokens = 0;
        work.awaited = false;
    }

    pub(crate) fn end(&mut self, mut work: RunningWork) {
        self.finish_reading(&mut work);
        let running = self.running(work.kind);
        *running = running.saturating_sub(1);
    }

    fn running(&mut self, kind: WorkKind) -> &mut u32 {
        match kind {
            WorkKind::Online => &mut self.own,
            WorkKind::Item => &mut self.own_items,
        }
    }

    pub(crate) fn note_load(&mut self, told: ReportedLoad, now_ms: u64) {
        self.load = Some(Load {
            told,
            at_ms: now_ms,
            own_then: self.own + self.own_items,
        });
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.paused_until_ms = 0;
    }

    pub(crate) fn note_failure(&mut self, kind: FailureKind, now_ms: u64) {
        match kind {
            FailureKind::Replaced => self.replaced = true,
            FailureKind::Full => {
                self.paused_until_ms = self.paused_until_ms.max(now_ms + FULL_PAUSE_MS);
            }
            FailureKind::Unreachable => self.pause(WORK_FAILURES, now_ms),
            FailureKind::Broken => self.pause(1, now_ms),
        }
    }

    fn pause(&mut self, failures: u32, now_ms: u64) {
        self.failures += failures;
        if self.failures >= WORK_FAILURES {
            let doublings = (self.failures - WORK_FAILURES).min(4);
            let pause_ms = (FIRST_EJECTION_MS << doublings).min(LONGEST_EJECTION_MS);
            self.paused_until_ms = now_ms + pause_ms;
        }
    }
}
