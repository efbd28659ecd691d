//! What a gateway knows of one replica.

use std::collections::BTreeMap;

use linnethitch_protocol::slots::SlotLoad;

use super::cached_parts::{CachedParts, PromptPart};

/// First ejection time after failures, in milliseconds; it doubles with each further one.
const FIRST_EJECTION_MS: u64 = 500;
/// Maximum ejection time, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// Consecutive failures at which a replica is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Time for which a replica that refused a request because it was full gets no new ones, in
/// milliseconds.
const FULL_BACKOFF_MS: u64 = 80;
/// A load report of a coordinator is valid for this long, in milliseconds.
const REPORT_VALID_MS: u64 = 1_200;
/// A request without its first event after this time delays the requests behind it, in
/// milliseconds.
const OVERDUE_AFTER_MS: u64 = 150;
/// Weight of the newest measurement in a replica's latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.2;
/// Bounds of the latency ratio.
const MAX_LATENCY_RATIO: f64 = 10.0;
const MIN_LATENCY_RATIO: f64 = 0.7;
/// Time to the first event of an idle replica apart from waiting and prefill, in milliseconds.
pub(super) const BASE_MS: f64 = 25.0;
/// The weight of a load report halves in this time, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 400.0;
/// The weight of a replica's reported slowness halves in this time, in milliseconds: other
/// processes share its machine and start and stop several times per second.
const SLOWNESS_HALF_LIFE_MS: f64 = 200.0;
/// Fraction of the KV cache that cached parts are assumed to occupy.
const CACHED_FRACTION: f64 = 0.6;

/// What a replica registered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaTraits {
    /// The key of its incarnation; knowledge of one incarnation does not apply to another.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens, as IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Capacity of its KV cache in tokens; 0 for application replicas.
    pub kv_tokens: u64,
    /// Whether it may get new work.
    pub ready: bool,
    /// The version of its software; `None` if it is unknown.
    pub software: Option<String>,
}

/// Load as reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// How long work takes there at that moment, in hundredths of the usual time.
    pub slowness: u32,
}

/// The slowness of a replica that works at its usual speed or does not report it.
pub const USUAL_SLOWNESS: u32 = 100;

/// How a request failed at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the response was incomplete.
    Broken,
    /// The replica refused the request because it was full.
    Full,
    /// Another incarnation has its address.
    Replaced,
}

/// What kind of work is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// An online request.
    Online,
    /// A batch item, which an online request can preempt.
    Item,
}

/// A request under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningWork {
    number: u64,
    kind: WorkKind,
    /// Prompt tokens that need prefill at the replica.
    pending_prefill_tokens: u32,
    started_ms: u64,
    /// Expected time to the first event, in milliseconds.
    expected_ms: f64,
    /// Whether its first event is outstanding.
    awaits_first_event: bool,
}

impl RunningWork {
    /// Whether its first event is outstanding.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        self.awaits_first_event
    }
}

/// A replica and what this gateway knows of it.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) traits: ReplicaTraits,
    /// Own online requests under way.
    pub(crate) own_online: u32,
    /// Own batch items under way.
    pub(crate) own_items: u32,
    /// Prompt tokens with outstanding prefill of own requests whose first event is outstanding.
    pub(crate) pending_prefill_tokens: u64,
    /// Own requests whose first event is outstanding, and when they were sent.
    awaits_first_event: BTreeMap<u64, u64>,
    started_count: u64,
    /// Ratio of measured to expected time to the first event.
    latency_ratio: f64,
    load: Option<ReceivedLoad>,
    coordinator_load: Option<CoordinatorLoad>,
    pub(crate) cached_parts: CachedParts,
    failures: u32,
    unavailable_until_ms: u64,
    /// Another incarnation has its address.
    replaced: bool,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    report: ReportedLoad,
    received_ms: u64,
    /// Own requests under way when the report was received.
    own_at_report: u32,
}

/// A load report of the replica's coordinator.
#[derive(Clone, Copy, Debug)]
struct CoordinatorLoad {
    /// Online requests of other gateways that have a slot.
    others: u32,
    /// Online requests that wait for a slot.
    waiting: u32,
    /// Whether the coordinator reports the replica as closed to new requests.
    closed: bool,
    received_ms: u64,
}

impl ReceivedLoad {
    /// Weight of the report at its present age; it halves with each half-life.
    fn weight(&self, now_ms: u64, half_life_ms: f64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.received_ms) as f64;
        (-age_ms / half_life_ms).exp2()
    }
}

impl Replica {
    pub(crate) fn new(traits: ReplicaTraits) -> Self {
        Replica {
            traits,
            own_online: 0,
            own_items: 0,
            pending_prefill_tokens: 0,
            awaits_first_event: BTreeMap::new(),
            started_count: 0,
            latency_ratio: 1.0,
            load: None,
            coordinator_load: None,
            cached_parts: CachedParts::default(),
            failures: 0,
            unavailable_until_ms: 0,
            replaced: false,
        }
    }

    /// Whether it may get a request now.
    pub(crate) fn is_available(&self, now_ms: u64) -> bool {
        self.traits.ready && !self.replaced && self.unavailable_until_ms <= now_ms
    }

    /// Whether a valid report of its coordinator says that it is closed to new requests.
    pub(crate) fn is_reported_closed(&self, now_ms: u64) -> bool {
        self.coordinator_load(now_ms)
            .is_some_and(|load| load.closed)
    }

    fn coordinator_load(&self, now_ms: u64) -> Option<CoordinatorLoad> {
        self.coordinator_load
            .filter(|load| now_ms < load.received_ms + REPORT_VALID_MS)
    }

    /// Online requests of other gateways there, if its coordinator recently reported them.
    pub(crate) fn reported_others(&self, now_ms: u64) -> Option<u32> {
        self.coordinator_load(now_ms).map(|load| load.others)
    }

    pub(crate) fn note_coordinator_load(&mut self, load: &SlotLoad, now_ms: u64) {
        self.coordinator_load = Some(CoordinatorLoad {
            others: u32::from(load.online).saturating_sub(self.own_online),
            waiting: u32::from(load.waiting),
            closed: load.closed,
            received_ms: now_ms,
        });
    }

    pub(crate) fn clear_coordinator_load(&mut self) {
        self.coordinator_load = None;
    }

    /// Requests that wait there for a slot: as its coordinator reported, otherwise by the last load
    /// report, weighted by its age.
    pub(crate) fn waiting(&self, now_ms: u64) -> f64 {
        if let Some(coordinator_load) = self.coordinator_load(now_ms) {
            // A further request waits as soon as every slot is taken.
            let over_capacity =
                (self.own_online + coordinator_load.others + 1).saturating_sub(self.slots());
            return f64::from(over_capacity + coordinator_load.waiting);
        }
        self.load.map_or(0.0, |load| {
            f64::from(load.report.waiting) * load.weight(now_ms, LOAD_HALF_LIFE_MS)
        })
    }

    /// Requests of others there by the last load report, weighted by its age.
    pub(crate) fn others(&self, now_ms: u64) -> f64 {
        self.load.map_or(0.0, |load| {
            let others = load.report.running.saturating_sub(load.own_at_report);
            f64::from(others) * load.weight(now_ms, LOAD_HALF_LIFE_MS)
        })
    }

    pub(crate) fn slots(&self) -> u32 {
        let reported_slots = self.load.map(|load| load.report.slots);
        reported_slots
            .filter(|slots| *slots > 0)
            .unwrap_or(self.traits.slots)
            .max(1)
    }

    /// Ratio of measured to expected time to the first event.
    pub(crate) fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Factor by which work takes longer there now than usual: as last reported, weighted by the
    /// age of the report.
    pub(crate) fn slowness(&self, now_ms: u64) -> f64 {
        self.load.map_or(1.0, |load| {
            let reported = f64::from(load.report.slowness) / f64::from(USUAL_SLOWNESS);
            1.0 + (reported - 1.0) * load.weight(now_ms, SLOWNESS_HALF_LIFE_MS)
        })
    }

    /// How long the oldest request without its first event is overdue, in milliseconds.
    pub(crate) fn overdue_ms(&self, now_ms: u64) -> u64 {
        let oldest = self.awaits_first_event.values().next();
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
        let pending_prefill_tokens = total - self.cached_parts.reusable_tokens(prompt);
        let max_tokens = (self.traits.kv_tokens as f64 * CACHED_FRACTION) as u64;
        self.cached_parts.record(prompt, max_tokens, now_ms);
        *self.running(kind) += 1;
        self.pending_prefill_tokens += u64::from(pending_prefill_tokens);
        self.started_count += 1;
        self.awaits_first_event.insert(self.started_count, now_ms);
        RunningWork {
            number: self.started_count,
            kind,
            pending_prefill_tokens,
            started_ms: now_ms,
            expected_ms,
            awaits_first_event: true,
        }
    }

    /// Records the first event of a request.
    pub(crate) fn first_event(&mut self, work: &mut RunningWork, now_ms: u64) {
        if work.awaits_first_event {
            let took_ms = now_ms.saturating_sub(work.started_ms) as f64;
            let measured = (took_ms + BASE_MS) / (work.expected_ms + 2.0 * BASE_MS);
            let latency_ratio =
                self.latency_ratio + LATENCY_RATIO_WEIGHT * (measured - self.latency_ratio);
            self.latency_ratio = latency_ratio.clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
        }
        self.finish_prefill(work);
    }

    fn finish_prefill(&mut self, work: &mut RunningWork) {
        let prefilled = u64::from(work.pending_prefill_tokens);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prefilled);
        self.awaits_first_event.remove(&work.number);
        work.pending_prefill_tokens = 0;
        work.awaits_first_event = false;
    }

    pub(crate) fn end(&mut self, mut work: RunningWork) {
        self.finish_prefill(&mut work);
        let running = self.running(work.kind);
        *running = running.saturating_sub(1);
    }

    fn running(&mut self, kind: WorkKind) -> &mut u32 {
        match kind {
            WorkKind::Online => &mut self.own_online,
            WorkKind::Item => &mut self.own_items,
        }
    }

    pub(crate) fn note_load(&mut self, report: ReportedLoad, now_ms: u64) {
        self.load = Some(ReceivedLoad {
            report,
            received_ms: now_ms,
            own_at_report: self.own_online + self.own_items,
        });
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.unavailable_until_ms = 0;
    }

    pub(crate) fn note_failure(&mut self, kind: FailureKind, now_ms: u64) {
        match kind {
            FailureKind::Replaced => self.replaced = true,
            FailureKind::Full => {
                self.unavailable_until_ms = self.unavailable_until_ms.max(now_ms + FULL_BACKOFF_MS);
            }
            FailureKind::Unreachable => self.eject(EJECTION_THRESHOLD, now_ms),
            FailureKind::Broken => self.eject(1, now_ms),
        }
    }

    fn eject(&mut self, failures: u32, now_ms: u64) {
        self.failures += failures;
        if self.failures >= EJECTION_THRESHOLD {
            let doublings = (self.failures - EJECTION_THRESHOLD).min(4);
            let ejection_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
            self.unavailable_until_ms = now_ms + ejection_ms;
        }
    }
}
