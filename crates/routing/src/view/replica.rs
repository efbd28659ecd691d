//! State of one replica as seen by this gateway.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::{
    fleet::{EngineRole, LoadReport, MachineState, ReplicaInfo},
    ids::Timestamp,
};

use super::{Availability, Health, PoolKey, StepTimes};
use crate::{
    costs::{EngineCosts, Work},
    profile::{Class, Phase, Target},
    reason::ReasonCode,
};

/// How long a leaving signal on the data path is valid without confirmation by the platform's
/// list.
const LEAVING_SIGNAL_VALID_MS: u64 = 60_000;

/// A replica with work of this gateway that has sent nothing for longer than this gets no new
/// work.
const MAX_SILENCE_MS: u64 = 1_500;

/// Upper bound of the time that a request takes to reach its replica, in milliseconds.
const TRANSIT_MS: u64 = 3;

/// Maximum number of finished requests retained to correct late load reports.
const MAX_FINISHED_REQUESTS: usize = 256;

/// Weight of a new observation in the moving average of the step time ratio.
const STEP_TIME_RATIO_WEIGHT: f64 = 0.05;

/// Bounds of the step time ratio, so that one outlier does not exclude a replica.
const STEP_TIME_RATIO_RANGE: (f64, f64) = (0.2, 20.0);

/// A request that this gateway sent to the replica.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    id: u64,
    work: Work,
    sent_at: Timestamp,
    first_token_at: Option<Timestamp>,
    finished_at: Option<Timestamp>,
}

impl SentRequest {
    /// When the prefill ended: at the first token or, without one, when the request finished.
    fn prefilled_at(&self) -> Option<Timestamp> {
        self.first_token_at.or(self.finished_at)
    }

    /// Estimated prompt tokens that remained to prefill at `measured_at`, assuming a constant
    /// prefill rate from sending to `prefilled_at`.
    fn remaining_prefill_at(&self, measured_at: Timestamp, prefilled_at: Timestamp) -> i64 {
        let total_tokens = i64::from(self.work.prefill_tokens);
        if self.sent_at.0 + TRANSIT_MS > measured_at.0 {
            return total_tokens;
        }
        let remaining_ms = prefilled_at.0.saturating_sub(measured_at.0) as i64;
        let total_ms = prefilled_at.0.saturating_sub(self.sent_at.0).max(1) as i64;
        total_tokens * remaining_ms / total_ms
    }
}

/// A load report, corrected by what this gateway sent and finished since it was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstimatedLoad {
    /// Prompt tokens queued ahead of a new request.
    pub queued_prefill_tokens: f64,
    /// Estimated part of these that belongs to online requests.
    pub queued_online_prefill_tokens: f64,
    /// Online requests running or waiting.
    pub online: f64,
    /// Batch requests running or waiting.
    pub batch: f64,
    /// Maximum number of concurrently running sequences; 0 if unknown.
    pub max_running: f64,
}

/// State of one replica: its listing, its load reports and this gateway's observations.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    pub(super) info: ReplicaInfo,
    pub(super) pool: Option<PoolKey>,
    pub(super) local: bool,
    pub(super) listed: bool,
    pub(super) leaving_reported_at: Option<Timestamp>,
    pub(super) health: Health,
    id_hash: u64,
    report: Option<LoadReport>,
    requests: Vec<SentRequest>,
    next_request: u64,
    own_online: u32,
    own_batch: u32,
    correction: Correction,
    step_time_ratio: f64,
    steps: StepTimes,
    last_activity_at: Timestamp,
}

/// Changes by this gateway's own requests since the report was measured.
#[derive(Clone, Copy, Debug, Default)]
struct Correction {
    online: ClassCorrection,
    batch: ClassCorrection,
}

/// The correction for one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCorrection {
    requests: i64,
    prefill_tokens: i64,
}

impl Correction {
    fn class_mut(&mut self, class: Class) -> &mut ClassCorrection {
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
            leaving_reported_at: None,
            health: Health::default(),
            report: None,
            requests: Vec::new(),
            next_request: 0,
            own_online: 0,
            own_batch: 0,
            correction: Correction::default(),
            step_time_ratio: 1.0,
            steps: StepTimes::default(),
            last_activity_at: Timestamp(0),
        }
    }

    pub(super) fn replace(&mut self, info: ReplicaInfo, pool: Option<PoolKey>, local: bool) {
        if info.machine.address != self.info.machine.address {
            self.health = Health::default();
            self.leaving_reported_at = None;
            self.report = None;
            self.step_time_ratio = 1.0;
        }
        self.info = info;
        self.pool = pool;
        self.local = local;
        self.listed = true;
    }

    /// The machine and the state of its engine.
    #[must_use]
    pub fn info(&self) -> &ReplicaInfo {
        &self.info
    }

    /// Hash of the replica id, the same on every gateway.
    #[must_use]
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Whether the replica is in the current list.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Whether the replica is in the gateway's own zone.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// The newest load report.
    #[must_use]
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Number of this gateway's online requests in flight at the replica.
    #[must_use]
    pub fn own_online(&self) -> u32 {
        self.own_online
    }

    /// Number of this gateway's batch requests in flight at the replica.
    #[must_use]
    pub fn own_batch(&self) -> u32 {
        self.own_batch
    }

    /// Measured step time divided by the expected step time (moving average).
    #[must_use]
    pub fn step_time_ratio(&self) -> f64 {
        self.step_time_ratio
    }

    /// Step times observed in the replica's streams.
    #[must_use]
    pub fn steps(&self) -> &StepTimes {
        &self.steps
    }

    /// Whether the replica serves the requested model version, adapter and phase.
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

    /// Whether the replica may get new work now.
    #[must_use]
    pub fn availability(&self, now: Timestamp, policy: &RoutingPolicy) -> Availability {
        if !self.listed {
            return Availability::Unavailable(ReasonCode::NoReplicaTakesWork);
        }
        if self.info.machine.state == MachineState::Leaving {
            return Availability::Unavailable(ReasonCode::LeavingByList);
        }
        let leaving_reported = self
            .leaving_reported_at
            .is_some_and(|at| now.0.saturating_sub(at.0) < LEAVING_SIGNAL_VALID_MS);
        if leaving_reported || self.info.engine.leaving {
            return Availability::Unavailable(ReasonCode::LeavingByDataPath);
        }
        if self.health.is_ejected(now) {
            return Availability::Unavailable(self.health.cause());
        }
        let own_requests = self.own_online + self.own_batch;
        if self.health.awaits_probe(now) {
            return if own_requests == 0 {
                Availability::Probe
            } else {
                Availability::Unavailable(self.health.cause())
            };
        }
        if own_requests > 0 && now.0.saturating_sub(self.last_activity_at.0) > MAX_SILENCE_MS {
            return Availability::Unavailable(ReasonCode::Silent);
        }
        Availability::Available(self.health.slow_start_share(now, policy))
    }

    pub(super) fn apply_report(&mut self, report: LoadReport) {
        let is_newer = self
            .report
            .is_none_or(|known| report.measured_at > known.measured_at);
        if !is_newer {
            return;
        }
        self.report = Some(report);
        self.remove_finished_before(report.measured_at);
        self.recompute_correction(report.measured_at);
    }

    fn remove_finished_before(&mut self, measured_at: Timestamp) {
        self.requests
            .retain(|request| request.finished_at.is_none_or(|at| at > measured_at));
    }

    fn recompute_correction(&mut self, measured_at: Timestamp) {
        let mut correction = Correction::default();
        for request in &self.requests {
            let class = correction.class_mut(request.work.class);
            let is_unreported = request.sent_at.0 + TRANSIT_MS > measured_at.0;
            if is_unreported {
                class.prefill_tokens += i64::from(request.work.prefill_tokens);
                class.requests += 1;
            }
            if let Some(at) = request.prefilled_at().filter(|at| *at > measured_at) {
                class.prefill_tokens -= request.remaining_prefill_at(measured_at, at);
            }
            if request.finished_at.is_some_and(|at| at > measured_at) {
                class.requests -= 1;
            }
        }
        self.correction = correction;
    }

    pub(super) fn add_request(&mut self, now: Timestamp, work: Work) -> u64 {
        if self.own_online + self.own_batch == 0 {
            self.last_activity_at = now;
        }
        let id = self.next_request;
        self.next_request += 1;
        self.requests.push(SentRequest {
            id,
            work,
            sent_at: now,
            first_token_at: None,
            finished_at: None,
        });
        self.count_own(work.class, true);
        let class = self.correction.class_mut(work.class);
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

    pub(super) fn first_token(&mut self, now: Timestamp, request: u64) {
        self.last_activity_at = now;
        let Some(request) = self.requests.iter_mut().find(|known| known.id == request) else {
            return;
        };
        if request.first_token_at.is_none() {
            request.first_token_at = Some(now);
            let request = *request;
            self.subtract_prefilled(&request, now);
        }
    }

    pub(super) fn tokens(&mut self, now: Timestamp, elapsed_ms: u64, count: u32) {
        self.last_activity_at = now;
        let load = self.estimated_load(now);
        let expected_ms = EngineCosts::default().decode_step_ms(load.online + load.batch);
        let gap_ms = elapsed_ms as f64 / f64::from(count.max(1));
        self.steps.on_gap(now, gap_ms, &EngineCosts::default());
        let observed = gap_ms / expected_ms;
        let bounded = observed.clamp(STEP_TIME_RATIO_RANGE.0, STEP_TIME_RATIO_RANGE.1);
        self.step_time_ratio += STEP_TIME_RATIO_WEIGHT * (bounded - self.step_time_ratio);
    }

    pub(super) fn end_request(&mut self, now: Timestamp, request: u64) {
        self.last_activity_at = now;
        let Some(position) = self.requests.iter().position(|known| known.id == request) else {
            return;
        };
        let known = &mut self.requests[position];
        known.finished_at = Some(now);
        let known = *known;
        if known.first_token_at.is_none() {
            self.subtract_prefilled(&known, now);
        }
        self.correction.class_mut(known.work.class).requests -= 1;
        self.count_own(known.work.class, false);
        self.trim_finished();
    }

    /// Subtracts the remaining tokens of a prompt that is now prefilled from the correction.
    fn subtract_prefilled(&mut self, request: &SentRequest, at: Timestamp) {
        let measured_at = self
            .report
            .map_or(Timestamp(0), |report| report.measured_at);
        let remaining = request.remaining_prefill_at(measured_at, at);
        self.correction.class_mut(request.work.class).prefill_tokens -= remaining;
    }

    fn trim_finished(&mut self) {
        let running = (self.own_online + self.own_batch) as usize;
        if self.requests.len() > running + MAX_FINISHED_REQUESTS
            && let Some(oldest) = self
                .requests
                .iter()
                .position(|request| request.finished_at.is_some())
        {
            self.requests.remove(oldest);
        }
    }

    /// The estimated current load: the newest report, less the prefill done since it was measured,
    /// plus this gateway's own requests since then.
    #[must_use]
    pub fn estimated_load(&self, now: Timestamp) -> EstimatedLoad {
        let report = self.report.unwrap_or_default();
        let correction = &self.correction;
        let age_ms = now.0.saturating_sub(report.measured_at.0) as f64;
        let reported = LoadByClass::new(&report).after_prefilling(age_ms, &EngineCosts::default());
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

/// A load report split by class.
struct LoadByClass {
    online: f64,
    batch: f64,
    online_prefill: f64,
    batch_prefill: f64,
}

impl LoadByClass {
    fn new(report: &LoadReport) -> LoadByClass {
        let waiting_online = report.waiting.saturating_sub(report.waiting_batch);
        let batch_prefill = report.queued_batch_prefill_tokens;
        let online_prefill = report.queued_prefill_tokens.saturating_sub(batch_prefill);
        LoadByClass {
            online: f64::from(report.running_online) + f64::from(waiting_online),
            batch: f64::from(report.running_batch) + f64::from(report.waiting_batch),
            online_prefill: f64::from(online_prefill),
            batch_prefill: f64::from(batch_prefill),
        }
    }

    /// The remaining load after prefilling for `elapsed_ms`; online prompts are prefilled first.
    fn after_prefilling(mut self, elapsed_ms: f64, costs: &EngineCosts) -> LoadByClass {
        let sequences = self.online + self.batch;
        let tokens = elapsed_ms * costs.prefill_tokens_per_ms(sequences);
        self.online_prefill = (self.online_prefill - tokens).max(0.0);
        self
    }
}
