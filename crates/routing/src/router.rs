//! Chooses the replica for a request.

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

/// Replicas compared in a zone (power of two choices).
const COMPARED: usize = 2;

/// Random draws before the candidates are searched one by one.
const DRAWS: usize = 6;

/// Time that one request of an application service is expected to take, in milliseconds.
const SERVICE_REQUEST_MS: f64 = 5.0;

/// A request that finds every replica full is worth sending again after this time.
const SATURATED_RETRY_MS: u64 = 1_000;

/// Chooses replicas by expected wait over a view of the fleet.
#[derive(Clone, Debug)]
pub struct Router {
    view: FleetView,
    costs: EngineCosts,
}

/// A replica with its score.
#[derive(Clone, Copy, Debug)]
struct Scored {
    replica: ReplicaIndex,
    wait_ms: f64,
    cached_tokens: u32,
    reason: ReasonCode,
}

/// Alternatives collected while choosing.
#[derive(Default)]
struct Considered {
    list: [Option<Scored>; MAX_ALTERNATIVES + 1],
    count: usize,
}

impl Considered {
    fn add(&mut self, scored: Scored) {
        let known = self.list[..self.count]
            .iter()
            .flatten()
            .any(|other| other.replica == scored.replica);
        if !known && self.count < self.list.len() {
            self.list[self.count] = Some(scored);
            self.count += 1;
        }
    }

    fn others(&self, chosen: ReplicaIndex) -> [Option<Alternative>; MAX_ALTERNATIVES] {
        let mut others = self
            .list
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
    /// A router of a gateway in the given zone.
    #[must_use]
    pub fn new(own_zone: ZoneId, policy: RoutingPolicy) -> Self {
        Router {
            view: FleetView::new(own_zone, policy),
            costs: EngineCosts::default(),
        }
    }

    /// What is known of the fleet.
    #[must_use]
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// To record what happens.
    pub fn view_mut(&mut self) -> &mut FleetView {
        &mut self.view
    }

    /// Chooses the replica that the request should go to. Allocates nothing.
    ///
    /// # Errors
    /// [`RoutingRefusal`] with the reason when no replica can take the request.
    pub fn choose(
        &self,
        now: Timestamp,
        profile: &RequestProfile<'_>,
        rng: &mut impl Rng,
    ) -> Result<Choice, RoutingRefusal> {
        let pool = self
            .view
            .pool(&profile.target)
            .ok_or_else(|| refused(ReasonCode::UnknownTarget))?;
        let mut considered = Considered::default();
        let local = self.best_of(now, pool.local(), profile, rng, &mut considered);
        let limit_ms = local.map_or(f64::INFINITY, |best| best.wait_ms);
        let may_spill = limit_ms > self.view.policy().spill_ms;
        let remote = if may_spill {
            self.best_of(now, pool.remote(), profile, rng, &mut considered)
        } else {
            None
        };
        let chosen = self
            .prefer(local, remote)
            .or_else(|| self.last_resort(now, pool, profile, rng))
            .ok_or_else(|| self.why_none(now, pool, profile))?;
        self.check_deadline(now, profile, &chosen)?;
        Ok(Choice {
            replica: chosen.replica,
            expected_wait_ms: chosen.wait_ms,
            cached_tokens: chosen.cached_tokens,
            reason: chosen.reason,
            alternatives: considered.others(chosen.replica),
        })
    }

    fn prefer(&self, local: Option<Scored>, remote: Option<Scored>) -> Option<Scored> {
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

    /// The better of two random candidates and the one preferred for the prefix.
    fn best_of(
        &self,
        now: Timestamp,
        members: &[ReplicaIndex],
        profile: &RequestProfile<'_>,
        rng: &mut impl Rng,
        considered: &mut Considered,
    ) -> Option<Scored> {
        let mut best: Option<Scored> = None;
        let mut compared = 0;
        let mut first = None;
        for _ in 0..DRAWS {
            if compared == COMPARED || members.is_empty() {
                break;
            }
            let candidate = members[rng.random_range(0..members.len())];
            if first == Some(candidate) {
                continue;
            }
            if let Some(scored) = self.score(now, candidate, profile, false) {
                first = first.or(Some(candidate));
                compared += 1;
                considered.add(scored);
                best = Some(better(best, scored));
            }
        }
        if best.is_none() {
            best = self.search(now, members, profile, rng);
        }
        if let Some(preferred) = self.preferred_for_prefix(now, members, profile) {
            considered.add(preferred);
            best = Some(better(best, preferred));
        }
        best
    }

    /// Looks at every candidate from a random start and takes the first that will do.
    fn search(
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

    /// The replica that rendezvous hashing names for the prompt's prefix.
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
        // Seldom: the first one is out, so the next that takes work is searched.
        let preferred = members
            .iter()
            .copied()
            .filter(|member| self.accepts_work(now, *member, profile))
            .max_by_key(weight)?;
        self.score(now, preferred, profile, true)
    }

    fn accepts_work(
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

    /// The replica's score, or nothing when it may not get the request.
    fn score(
        &self,
        now: Timestamp,
        replica: ReplicaIndex,
        profile: &RequestProfile<'_>,
        preferred: bool,
    ) -> Option<Scored> {
        if !self.accepts_work(now, replica, profile) {
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
                self.engine_wait_ms(&load, profile, f64::from(prefill)) * state.pace()
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

    /// Expected time to the first token, in milliseconds, at the expected pace.
    fn engine_wait_ms(
        &self,
        load: &EstimatedLoad,
        profile: &RequestProfile<'_>,
        prefill_tokens: f64,
    ) -> f64 {
        let sequences = load.online + load.batch;
        let step_ms = self.costs.decode_step_ms(sequences);
        // Engines prefill online prompts first.
        let (queued_tokens, ahead) = match profile.class {
            Class::Online => (load.queued_online_prefill_tokens, load.online),
            Class::Batch => (load.queued_prefill_tokens, sequences),
        };
        let prefill_ms = self
            .costs
            .prefill_ms(queued_tokens + prefill_tokens, sequences);
        let over = (ahead + 1.0 - load.max_running).max(0.0);
        let slot_ms = if load.max_running > 0.0 {
            let request_ms = f64::from(profile.expected_output_tokens) * step_ms;
            over * request_ms / load.max_running
        } else {
            0.0
        };
        step_ms + prefill_ms + slot_ms
    }

    /// When every replica was ejected: one of them all the same, unless it is leaving.
    fn last_resort(
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

    fn why_none(
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
            return refused(ReasonCode::NotLoaded);
        }
        let is_evacuated = |member| {
            self.view.availability(now, member)
                == Availability::Unavailable(ReasonCode::ZoneEvacuated)
        };
        refused(if loaded.all(is_evacuated) {
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
        let left_ms = profile.deadline.0.saturating_sub(now.0);
        if chosen.wait_ms <= left_ms as f64 {
            return Ok(());
        }
        let retry_after_ms = (chosen.wait_ms as u64)
            .saturating_sub(left_ms)
            .max(SATURATED_RETRY_MS);
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

fn refused(reason: ReasonCode) -> RoutingRefusal {
    RoutingRefusal {
        reason,
        retry_after_ms: Some(SATURATED_RETRY_MS),
    }
}

/// Expected wait at an application replica, in milliseconds.
fn service_wait_ms(load: &EstimatedLoad) -> f64 {
    let concurrency = load.max_running.max(1.0);
    (1.0 + load.online + load.batch) / concurrency * SERVICE_REQUEST_MS
}

/// Weight of a replica for a key; the highest is preferred (rendezvous hashing).
fn rendezvous_weight(key: u64, id_hash: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&id_hash.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
