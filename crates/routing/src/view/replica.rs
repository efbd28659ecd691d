//! What is known of one replica.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::{
    fleet::{EngineRole, LoadReport, MachineState, ReplicaInfo},
    ids::Timestamp,
};

use super::{Availability, Health, PoolKey, StepWatch};
use crate::{
    costs::{EngineCosts, Work},
    profile::{Class, Phase, Target},
    reason::ReasonCode,
};

/// A leaving sign of the data path is believed for this long without the list's word.
const LEAVING_SIGN_MS: u64 = 60_000;

/// With own work on it and no sign of life for this long, a replica gets no new work.
const SILENCE_MS: u64 = 1_500;

/// Time in which a request surely reached its replica, in milliseconds.
const TRANSIT_MS: u64 = 3;

/// Finished requests remembered to correct late reports.
const FINISHED_KEPT: usize = 256;

/// Weight of a new observation in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.05;

/// Bounds of the pace, so that one odd observation excludes nothing.
const PACE_RANGE: (f64, f64) = (0.2, 20.0);

/// One request sent to the replica.
#[derive(Clone, Copy, Debug)]
struct Entry {
    id: u64,
    work: Work,
    sent_at: Timestamp,
    first_token_at: Option<Timestamp>,
    finished_at: Option<Timestamp>,
}

impl Entry {
    /// When its prompt was in memory, or no longer wanted.
    fn prefilled_at(&self) -> Option<Timestamp> {
        self.first_token_at.or(self.finished_at)
    }

    /// Prompt tokens that were left when a report was measured, if the prefill
    /// went evenly from sending to `prefilled_at`.
    fn prefill_left_at(&self, measured_at: Timestamp, prefilled_at: Timestamp) -> i64 {
        let all = i64::from(self.work.prefill_tokens);
        if self.sent_at.0 + TRANSIT_MS > measured_at.0 {
            return all;
        }
        let left_ms = prefilled_at.0.saturating_sub(measured_at.0) as i64;
        let all_ms = prefilled_at.0.saturating_sub(self.sent_at.0).max(1) as i64;
        all * left_ms / all_ms
    }
}

/// A load report with this gateway's own work since then added.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstimatedLoad {
    /// Prompt tokens to prefill before a new request's own.
    pub queued_prefill_tokens: f64,
    /// Of these, what is thought to belong to online requests.
    pub queued_online_prefill_tokens: f64,
    /// Online requests running or waiting.
    pub online: f64,
    /// Batch requests running or waiting.
    pub batch: f64,
    /// Sequences that run at once; 0 when unknown.
    pub max_running: f64,
}

/// One replica: what the list says, what it reported and what this gateway saw.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    pub(super) info: ReplicaInfo,
    pub(super) pool: Option<PoolKey>,
    pub(super) local: bool,
    pub(super) listed: bool,
    pub(super) leaving_seen_at: Option<Timestamp>,
    pub(super) health: Health,
    id_hash: u64,
    report: Option<LoadReport>,
    entries: Vec<Entry>,
    next_entry: u64,
    own_online: u32,
    own_batch: u32,
    correction: Correction,
    pace: f64,
    steps: StepWatch,
    last_sign_at: Timestamp,
}

/// What own work changed since the report was measured.
#[derive(Clone, Copy, Debug, Default)]
struct Correction {
    online: ClassCorrection,
    batch: ClassCorrection,
}

/// The part of one class in a correction.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCorrection {
    requests: i64,
    prefill_tokens: i64,
}

impl Correction {
    fn of(&mut self, class: Class) -> &mut ClassCorrection {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }
}

impl ReplicaView {
    pub(super) fn new(info: ReplicaInfo, pool: Option<PoolKey>, local: bool) -> Self {
        ReplicaView {
            id_hash: xxhash_rust::xxh3::xxh3_64(info.machine.replica.as_str().as_bytes()),
            info,
            pool,
            local,
            listed: true,
            leaving_seen_at: None,
            health: Health::default(),
            report: None,
            entries: Vec::new(),
            next_entry: 0,
            own_online: 0,
            own_batch: 0,
            correction: Correction::default(),
            pace: 1.0,
            steps: StepWatch::default(),
            last_sign_at: Timestamp(0),
        }
    }

    pub(super) fn replace(&mut self, info: ReplicaInfo, pool: Option<PoolKey>, local: bool) {
        if info.machine.address != self.info.machine.address {
            self.health = Health::default();
            self.leaving_seen_at = None;
            self.report = None;
            self.pace = 1.0;
        }
        self.info = info;
        self.pool = pool;
        self.local = local;
        self.listed = true;
    }

    /// The machine and what its engine has loaded.
    #[must_use]
    pub fn info(&self) -> &ReplicaInfo {
        &self.info
    }

    /// Hash of its id, the same on every gateway.
    #[must_use]
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Whether the list still names it.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Whether it is in the gateway's own zone.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// The newest load report.
    #[must_use]
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// This gateway's own online requests on it.
    #[must_use]
    pub fn own_online(&self) -> u32 {
        self.own_online
    }

    /// This gateway's own batch requests on it.
    #[must_use]
    pub fn own_batch(&self) -> u32 {
        self.own_batch
    }

    /// Measured time per step relative to the expected one.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// What its streams tell of its steps.
    #[must_use]
    pub fn steps(&self) -> &StepWatch {
        &self.steps
    }

    /// Whether the request's model version, adapter and phase are served here.
    #[must_use]
    pub fn serves(&self, target: &Target<'_>, phase: Phase) -> bool {
        let Target::Model {
            adapter, version, ..
        } = target
        else {
            return true;
        };
        let engine = &self.info.engine;
        let role_fits = match phase {
            Phase::PrefillAndDecode => engine.role == EngineRole::Mixed,
            Phase::Prefill => engine.role == EngineRole::Prefill,
            Phase::Decode => engine.role == EngineRole::Decode,
        };
        role_fits
            && version.is_none_or(|version| engine.version == version)
            && adapter.is_none_or(|adapter| engine.adapters.iter().any(|name| name == adapter))
    }

    /// Whether it may get new work now.
    #[must_use]
    pub fn availability(&self, now: Timestamp, policy: &RoutingPolicy) -> Availability {
        if !self.listed {
            return Availability::Unavailable(ReasonCode::NoReplicaTakesWork);
        }
        if self.info.machine.state == MachineState::Leaving {
            return Availability::Unavailable(ReasonCode::LeavingByList);
        }
        let leaving_seen = self
            .leaving_seen_at
            .is_some_and(|at| now.0.saturating_sub(at.0) < LEAVING_SIGN_MS);
        if leaving_seen || self.info.engine.leaving {
            return Availability::Unavailable(ReasonCode::LeavingByDataPath);
        }
        if self.health.is_ejected(now) {
            return Availability::Unavailable(self.health.cause());
        }
        let own = self.own_online + self.own_batch;
        if self.health.awaits_probe(now) {
            return if own == 0 {
                Availability::Probe
            } else {
                Availability::Unavailable(self.health.cause())
            };
        }
        if own > 0 && now.0.saturating_sub(self.last_sign_at.0) > SILENCE_MS {
            return Availability::Unavailable(ReasonCode::Silent);
        }
        Availability::Available(self.health.slow_start_share(now, policy))
    }

    pub(super) fn take_report(&mut self, report: LoadReport) {
        let newer = self
            .report
            .is_none_or(|known| report.measured_at > known.measured_at);
        if !newer {
            return;
        }
        self.report = Some(report);
        self.forget_finished_before(report.measured_at);
        self.recompute_correction(report.measured_at);
    }

    fn forget_finished_before(&mut self, measured_at: Timestamp) {
        self.entries
            .retain(|entry| entry.finished_at.is_none_or(|at| at > measured_at));
    }

    fn recompute_correction(&mut self, measured_at: Timestamp) {
        let mut correction = Correction::default();
        for entry in &self.entries {
            let class = correction.of(entry.work.class);
            let unseen = entry.sent_at.0 + TRANSIT_MS > measured_at.0;
            if unseen {
                class.prefill_tokens += i64::from(entry.work.prefill_tokens);
                class.requests += 1;
            }
            if let Some(at) = entry.prefilled_at().filter(|at| *at > measured_at) {
                class.prefill_tokens -= entry.prefill_left_at(measured_at, at);
            }
            if entry.finished_at.is_some_and(|at| at > measured_at) {
                class.requests -= 1;
            }
        }
        self.correction = correction;
    }

    pub(super) fn add_work(&mut self, now: Timestamp, work: Work) -> u64 {
        if self.own_online + self.own_batch == 0 {
            self.last_sign_at = now;
        }
        let id = self.next_entry;
        self.next_entry += 1;
        self.entries.push(Entry {
            id,
            work,
            sent_at: now,
            first_token_at: None,
            finished_at: None,
        });
        self.count_own(work.class, true);
        let class = self.correction.of(work.class);
        class.requests += 1;
        class.prefill_tokens += i64::from(work.prefill_tokens);
        id
    }

    fn count_own(&mut self, class: Class, added: bool) {
        let count = match class {
            Class::Online => &mut self.own_online,
            Class::Batch => &mut self.own_batch,
        };
        *count = if added {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
    }

    pub(super) fn first_token(&mut self, now: Timestamp, entry: u64) {
        self.last_sign_at = now;
        let Some(entry) = self.entries.iter_mut().find(|known| known.id == entry) else {
            return;
        };
        if entry.first_token_at.is_none() {
            entry.first_token_at = Some(now);
            let entry = *entry;
            self.correct_prefilled(&entry, now);
        }
    }

    pub(super) fn tokens(&mut self, now: Timestamp, elapsed_ms: u64, count: u32) {
        self.last_sign_at = now;
        let load = self.estimated_load(now);
        let expected_ms = EngineCosts::default().decode_step_ms(load.online + load.batch);
        let gap_ms = elapsed_ms as f64 / f64::from(count.max(1));
        self.steps.on_gap(now, gap_ms, &EngineCosts::default());
        let observed = gap_ms / expected_ms;
        let bounded = observed.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace += PACE_WEIGHT * (bounded - self.pace);
    }

    pub(super) fn end_work(&mut self, now: Timestamp, entry: u64) {
        self.last_sign_at = now;
        let Some(position) = self.entries.iter().position(|known| known.id == entry) else {
            return;
        };
        let known = &mut self.entries[position];
        known.finished_at = Some(now);
        let known = *known;
        if known.first_token_at.is_none() {
            self.correct_prefilled(&known, now);
        }
        self.correction.of(known.work.class).requests -= 1;
        self.count_own(known.work.class, false);
        self.bound_entries();
    }

    /// Takes the rest of a prompt that is in memory now out of the corrected load.
    fn correct_prefilled(&mut self, entry: &Entry, at: Timestamp) {
        let measured_at = self
            .report
            .map_or(Timestamp(0), |report| report.measured_at);
        let left = entry.prefill_left_at(measured_at, at);
        self.correction.of(entry.work.class).prefill_tokens -= left;
    }

    fn bound_entries(&mut self) {
        let running = (self.own_online + self.own_batch) as usize;
        if self.entries.len() > running + FINISHED_KEPT
            && let Some(oldest) = self
                .entries
                .iter()
                .position(|entry| entry.finished_at.is_some())
        {
            self.entries.remove(oldest);
        }
    }

    /// The load as it should be now: the newest report, drained by the time
    /// since then, with own work sent since then.
    #[must_use]
    pub fn estimated_load(&self, now: Timestamp) -> EstimatedLoad {
        let report = self.report.unwrap_or_default();
        let correction = &self.correction;
        let age_ms = now.0.saturating_sub(report.measured_at.0) as f64;
        let reported = Reported::new(&report).drained(age_ms, &EngineCosts::default());
        let online = reported.online + correction.online.requests as f64;
        let batch = reported.batch + correction.batch.requests as f64;
        let online_prefill =
            (reported.online_prefill + correction.online.prefill_tokens as f64).max(0.0);
        let batch_prefill =
            (reported.batch_prefill + correction.batch.prefill_tokens as f64).max(0.0);
        EstimatedLoad {
            queued_prefill_tokens: online_prefill + batch_prefill,
            queued_online_prefill_tokens: online_prefill,
            online: online.max(f64::from(self.own_online)),
            batch: batch.max(f64::from(self.own_batch)),
            max_running: f64::from(report.max_running),
        }
    }
}

/// The parts of a load report by class.
struct Reported {
    online: f64,
    batch: f64,
    online_prefill: f64,
    batch_prefill: f64,
}

impl Reported {
    fn new(report: &LoadReport) -> Reported {
        let waiting_online = report.waiting.saturating_sub(report.waiting_batch);
        let batch_prefill = report.queued_batch_prefill_tokens;
        let online_prefill = report.queued_prefill_tokens.saturating_sub(batch_prefill);
        Reported {
            online: f64::from(report.running_online) + f64::from(waiting_online),
            batch: f64::from(report.running_batch) + f64::from(report.waiting_batch),
            online_prefill: f64::from(online_prefill),
            batch_prefill: f64::from(batch_prefill),
        }
    }

    /// What is left of the prompts after a time of prefilling, the online ones first.
    fn drained(mut self, elapsed_ms: f64, costs: &EngineCosts) -> Reported {
        let sequences = self.online + self.batch;
        let tokens = elapsed_ms * costs.prefill_tokens_per_ms(sequences);
        self.online_prefill = (self.online_prefill - tokens).max(0.0);
        self
    }
}
