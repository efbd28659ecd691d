//! Chooses the replica for each request.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::ids::{Timestamp, ZoneId};
use rand::Rng;

use crate::{
    costs::EngineCosts,
    profile::{
        Alternative, Choice, Class, MAX_ALTERNATIVES, PREFIX_BLOCK_TOKENS, RequestProfile,
        RoutingRefusal, Target,
    },
    reason::ReasonCode,
    view::{Availability, EstimatedLoad, FleetView, Pool, ReplicaIndex},
};

/// Number of random candidates compared per zone (power of two choices).
const COMPARED_CANDIDATES: usize = 2;

/// Maximum number of random draws before falling back to a linear search.
const MAX_RANDOM_DRAWS: usize = 6;

/// Expected service time of one application request, in milliseconds.
const SERVICE_REQUEST_MS: f64 = 5.0;

/// Minimum `retry_after_ms` of a refusal.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Chooses replicas by expected wait, based on a view of the fleet.
#[derive(Clone, Debug)]
pub struct Router {
    view: FleetView,
    costs: EngineCosts,
}

/// A candidate replica with its expected wait.
#[derive(Clone, Copy, Debug)]
struct Scored {
    replica: ReplicaIndex,
    wait_ms: f64,
    cached_tokens: u32,
    reason: ReasonCode,
}

/// Candidates scored for one decision, up to a fixed number.
#[derive(Default)]
struct Candidates {
    scored: [Option<Scored>; MAX_ALTERNATIVES + 1],
    count: usize,
}

impl Candidates {
    fn add(&mut self, scored: Scored) {
        let is_known = self.scored[..self.count]
            .iter()
            .flatten()
            .any(|other| other.replica == scored.replica);
        if !is_known && self.count < self.scored.len() {
            self.scored[self.count] = Some(scored);
            self.count += 1;
        }
    }

    fn others(&self, chosen: ReplicaIndex) -> [Option<Alternative>; MAX_ALTERNATIVES] {
        let mut others = self
            .scored
            .iter()
            .flatten()
            .filter(|scored| scored.replica != chosen)
            .map(|scored| Alternative {
                replica: scored.replica,
                expected_wait_ms: scored.wait_ms,
            });
        std::array::from_fn(|_| others.next())
    }
}

impl Router {
    /// A router for a gateway in the given zone.
    #[must_use]
    pub fn new(own_zone: ZoneId, policy: RoutingPolicy) -> Self {
        Router {
            view: FleetView::new(own_zone, policy),
            costs: EngineCosts::default(),
        }
    }

    /// The gateway's view of the fleet.
    #[must_use]
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Mutable access to the view, to record events.
    pub fn view_mut(&mut self) -> &mut FleetView {
        &mut self.view
    }

    /// Chooses the replica for a request. Does not allocate.
    ///
    /// # Errors
    /// [`RoutingRefusal`] with the reason if no replica can serve the request.
    pub fn choose(
        &self,
        now: Timestamp,
        profile: &RequestProfile<'_>,
        rng: &mut impl Rng,
    ) -> Result<Choice, RoutingRefusal> {
        let pool = self
            .view
            .pool(&profile.target)
            .ok_or_else(|| refusal(ReasonCode::UnknownTarget))?;
        let mut candidates = Candidates::default();
        let local = self.best_candidate(now, pool.local(), profile, rng, &mut candidates);
        let local_wait_ms = local.map_or(f64::INFINITY, |best| best.wait_ms);
        let may_spill = local_wait_ms > self.view.policy().spill_ms;
        let remote = if may_spill {
            self.best_candidate(now, pool.remote(), profile, rng, &mut candidates)
        } else {
            None
        };
        let chosen = self
            .prefer_local(local, remote)
            .or_else(|| self.ejected_fallback(now, pool, profile, rng))
            .ok_or_else(|| self.no_replica_refusal(now, pool, profile))?;
        self.check_deadline(now, profile, &chosen)?;
        Ok(Choice {
            replica: chosen.replica,
            expected_wait_ms: chosen.wait_ms,
            cached_tokens: chosen.cached_tokens,
            reason: chosen.reason,
            alternatives: candidates.others(chosen.replica),
        })
    }

    fn prefer_local(&self, local: Option<Scored>, remote: Option<Scored>) -> Option<Scored> {
        match (local, remote) {
            (Some(local), Some(remote)) => {
                let spill = remote.wait_ms + self.view.policy().spill_ms < local.wait_ms;
                Some(if spill {
                    Scored {
                        reason: ReasonCode::ZoneSpill,
                        ..remote
                    }
                } else {
                    local
                })
            }
            (None, Some(remote)) => Some(Scored {
                reason: ReasonCode::ZoneWithoutReplica,
                ..remote
            }),
            (local, None) => local,
        }
    }

    /// The best of two random candidates and the replica preferred for the prompt's prefix.
    fn best_candidate(
        &self,
        now: Timestamp,
        members: &[ReplicaIndex],
        profile: &RequestProfile<'_>,
        rng: &mut impl Rng,
        candidates: &mut Candidates,
    ) -> Option<Scored> {
        let mut best: Option<Scored> = None;
        let mut compared = 0;
        let mut first = None;
        for _ in 0..MAX_RANDOM_DRAWS {
            if compared == COMPARED_CANDIDATES || members.is_empty() {
                break;
            }
            let candidate = members[rng.random_range(0..members.len())];
            if first == Some(candidate) {
                continue;
            }
            if let Some(scored) = self.score(now, candidate, profile, false) {
                first = first.or(Some(candidate));
                compared += 1;
                candidates.add(scored);
                best = Some(better(best, scored));
            }
        }
        if best.is_none() {
            best = self.first_available(now, members, profile, rng);
        }
        if let Some(preferred) = self.preferred_for_prefix(now, members, profile) {
            candidates.add(preferred);
            best = Some(better(best, preferred));
        }
        best
    }

    /// Searches all candidates from a random start; returns the first available one.
    fn first_available(
        &self,
        now: Timestamp,
        members: &[ReplicaIndex],
        profile: &RequestProfile<'_>,
        rng: &mut impl Rng,
    ) -> Option<Scored> {
        if members.is_empty() {
            return None;
        }
        let start = rng.random_range(0..members.len());
        members[start..]
            .iter()
            .chain(&members[..start])
            .find_map(|candidate| self.score(now, *candidate, profile, false))
    }

    /// The replica that rendezvous hashing selects for the prompt's prefix.
    fn preferred_for_prefix(
        &self,
        now: Timestamp,
        members: &[ReplicaIndex],
        profile: &RequestProfile<'_>,
    ) -> Option<Scored> {
        let key = *profile.prefix_hashes.first()?;
        let weight =
            |member: &ReplicaIndex| rendezvous_weight(key, self.view.replica(*member).id_hash());
        let first = members.iter().copied().max_by_key(weight)?;
        if let Some(scored) = self.score(now, first, profile, true) {
            return Some(scored);
        }
        // Rare case: the selected replica is unavailable, so the best available one is searched.
        let preferred = members
            .iter()
            .copied()
            .filter(|member| self.is_eligible(now, *member, profile))
            .max_by_key(weight)?;
        self.score(now, preferred, profile, true)
    }

    fn is_eligible(
        &self,
        now: Timestamp,
        replica: ReplicaIndex,
        profile: &RequestProfile<'_>,
    ) -> bool {
        !profile.exclude.contains(&replica)
            && self
                .view
                .replica(replica)
                .serves(&profile.target, profile.phase)
            && !matches!(
                self.view.availability(now, replica),
                Availability::Unavailable(_)
            )
    }

    /// Scores a replica; `None` if the replica may not get the request.
    fn score(
        &self,
        now: Timestamp,
        replica: ReplicaIndex,
        profile: &RequestProfile<'_>,
        preferred: bool,
    ) -> Option<Scored> {
        if !self.is_eligible(now, replica, profile) {
            return None;
        }
        let share = match self.view.availability(now, replica) {
            Availability::Available(share) => share,
            Availability::Probe => 1.0,
            Availability::Unavailable(_) => return None,
        };
        let mut scored = self.score_unchecked(now, replica, profile, preferred);
        scored.wait_ms /= share;
        Some(scored)
    }

    fn score_unchecked(
        &self,
        now: Timestamp,
        replica: ReplicaIndex,
        profile: &RequestProfile<'_>,
        preferred: bool,
    ) -> Scored {
        let state = self.view.replica(replica);
        let load = state.estimated_load(now);
        let cached_tokens = self.cached_tokens(replica, profile);
        let wait_ms = match profile.target {
            Target::Service(_) => service_wait_ms(&load),
            Target::Model { .. } => {
                let prefill = profile.prompt_tokens.saturating_sub(cached_tokens);
                self.engine_wait_ms(&load, profile, f64::from(prefill)) * state.step_time_ratio()
            }
        };
        let reason = if preferred && cached_tokens > 0 {
            ReasonCode::PrefixAffinity
        } else {
            ReasonCode::ShortestWait
        };
        Scored {
            replica,
            wait_ms,
            cached_tokens,
            reason,
        }
    }

    fn cached_tokens(&self, replica: ReplicaIndex, profile: &RequestProfile<'_>) -> u32 {
        let blocks = self
            .view
            .prefixes()
            .cached_blocks(replica, profile.prefix_hashes);
        (blocks as u32 * PREFIX_BLOCK_TOKENS).min(profile.prompt_tokens)
    }

    /// Expected time to the first token, in milliseconds, at the expected step time.
    fn engine_wait_ms(
        &self,
        load: &EstimatedLoad,
        profile: &RequestProfile<'_>,
        prefill_tokens: f64,
    ) -> f64 {
        let sequences = load.online + load.batch;
        let step_ms = self.costs.decode_step_ms(sequences);
        // Engines prefill online prompts before batch prompts.
        let (queued_tokens, ahead) = match profile.class {
            Class::Online => (load.queued_online_prefill_tokens, load.online),
            Class::Batch => (load.queued_prefill_tokens, sequences),
        };
        let prefill_ms = self
            .costs
            .prefill_ms(queued_tokens + prefill_tokens, sequences);
        let excess = (ahead + 1.0 - load.max_running).max(0.0);
        let slot_ms = if load.max_running > 0.0 {
            let request_ms = f64::from(profile.expected_output_tokens) * step_ms;
            excess * request_ms / load.max_running
        } else {
            0.0
        };
        step_ms + prefill_ms + slot_ms
    }

    /// Fallback if no replica is available: an ejected or silent replica, but never a leaving one.
    fn ejected_fallback(
        &self,
        now: Timestamp,
        pool: &Pool,
        profile: &RequestProfile<'_>,
        rng: &mut impl Rng,
    ) -> Option<Scored> {
        let members = pool.all();
        let start = rng.random_range(0..members.len());
        members[start..]
            .iter()
            .chain(&members[..start])
            .copied()
            .filter(|member| !profile.exclude.contains(member))
            .filter(|member| {
                self.view
                    .replica(*member)
                    .serves(&profile.target, profile.phase)
            })
            .find(|member| {
                matches!(
                    self.view.availability(now, *member),
                    Availability::Unavailable(
                        ReasonCode::Ejected | ReasonCode::Unreachable | ReasonCode::Silent
                    )
                )
            })
            .map(|member| Scored {
                reason: ReasonCode::AllEjected,
                ..self.score_unchecked(now, member, profile, false)
            })
    }

    fn no_replica_refusal(
        &self,
        now: Timestamp,
        pool: &Pool,
        profile: &RequestProfile<'_>,
    ) -> RoutingRefusal {
        let serves = |member: &ReplicaIndex| {
            let replica = self.view.replica(*member);
            replica.serves(&profile.target, profile.phase)
        };
        let mut loaded = pool.all().iter().copied().filter(serves).peekable();
        if loaded.peek().is_none() {
            return refusal(ReasonCode::NotLoaded);
        }
        let is_evacuated = |member| {
            self.view.availability(now, member)
                == Availability::Unavailable(ReasonCode::ZoneEvacuated)
        };
        refusal(if loaded.all(is_evacuated) {
            ReasonCode::ZoneEvacuated
        } else {
            ReasonCode::NoReplicaTakesWork
        })
    }

    fn check_deadline(
        &self,
        now: Timestamp,
        profile: &RequestProfile<'_>,
        chosen: &Scored,
    ) -> Result<(), RoutingRefusal> {
        let remaining_ms = profile.deadline.0.saturating_sub(now.0);
        if chosen.wait_ms <= remaining_ms as f64 {
            return Ok(());
        }
        let retry_after_ms = (chosen.wait_ms as u64)
            .saturating_sub(remaining_ms)
            .max(MIN_RETRY_AFTER_MS);
        Err(RoutingRefusal {
            reason: ReasonCode::DeadlineTooClose,
            retry_after_ms: Some(retry_after_ms),
        })
    }
}

fn better(best: Option<Scored>, candidate: Scored) -> Scored {
    match best {
        Some(best) if best.wait_ms <= candidate.wait_ms => best,
        _ => candidate,
    }
}

fn refusal(reason: ReasonCode) -> RoutingRefusal {
    RoutingRefusal {
        reason,
        retry_after_ms: Some(MIN_RETRY_AFTER_MS),
    }
}

/// Expected wait at an application replica, in milliseconds.
fn service_wait_ms(load: &EstimatedLoad) -> f64 {
    let concurrency = load.max_running.max(1.0);
    (1.0 + load.online + load.batch) / concurrency * SERVICE_REQUEST_MS
}

/// Rendezvous hashing weight of a replica for a key; the highest weight wins.
fn rendezvous_weight(key: u64, id_hash: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&id_hash.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
