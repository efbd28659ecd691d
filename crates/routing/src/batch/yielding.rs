//! Decides when a gateway's batch streams on a replica yield to online work and when they resume.
//!
//! Three limits apply: the grant by control, the free sequences by the replica's
//! estimated load, and pressure, which means that online prompts are being
//! prefilled there. Under pressure only a few batch sequences stay, because each
//! sequence lengthens every step of a long prefill.

use std::collections::HashMap;

use linnethitch_protocol::ids::Timestamp;

use crate::{
    reason::ReasonCode,
    view::{Availability, FleetView, ReplicaIndex},
};

/// Settings of yielding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct YieldSettings {
    /// Sequences of a replica kept free for a burst of online requests.
    pub reserve_sequences: u32,
    /// Queued online prompt tokens from which on a replica is under pressure.
    pub pressure_prefill_tokens: f64,
    /// Maximum batch sequences of all gateways on a replica under pressure.
    pub pressure_sequences: u32,
    /// Whether long steps of the engine count as pressure.
    pub use_step_times: bool,
    /// Time without pressure after which batch work resumes on a replica, in milliseconds.
    pub resume_after_ms: u64,
}

impl Default for YieldSettings {
    fn default() -> Self {
        YieldSettings {
            reserve_sequences: 4,
            pressure_prefill_tokens: 1_024.0,
            pressure_sequences: 16,
            use_step_times: true,
            resume_after_ms: 100,
        }
    }
}

/// Number of batch sequences that a gateway may run on a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchAllowance {
    /// Maximum number of sequences.
    pub sequences: u32,
    /// Reason of the limit.
    pub reason: ReasonCode,
}

/// A grant received by the gateway.
#[derive(Clone, Copy, Debug)]
struct ReceivedGrant {
    sequences: u32,
    until: Timestamp,
    pressure_at: Option<Timestamp>,
    share: Option<Share>,
}

/// The gateway's share of the sequences that all batch work may use on a replica.
#[derive(Clone, Copy, Debug)]
struct Share {
    set_at: Timestamp,
    limit: f64,
    sequences: f64,
}

impl ReceivedGrant {
    /// This gateway's share of the sequences that all batch work may use on the replica.
    ///
    /// If all batch sequences fit, the grant is the limit. Otherwise each gateway
    /// keeps its proportion of all batch sequences on the replica. The computed
    /// share stays in force until a newer load report shows the changes by other
    /// gateways: recomputed from the same report, the share would shrink with each
    /// of this gateway's own preemptions.
    fn own_share(
        &mut self,
        now: Timestamp,
        limit: f64,
        measured_at: Timestamp,
        own_batch: u32,
        total_batch: f64,
    ) -> u32 {
        let own_batch = f64::from(own_batch);
        let current_share = self.share.filter(|share| share.set_at >= measured_at);
        let sequences = match current_share {
            Some(share) if limit >= share.limit => share.sequences,
            Some(share) => {
                let sequences = share.sequences * limit / share.limit;
                self.share = Some(Share {
                    set_at: now,
                    limit,
                    sequences,
                });
                sequences
            }
            None if total_batch <= limit || own_batch == 0.0 => {
                self.share = None;
                (limit - total_batch + own_batch).max(0.0)
            }
            None => {
                let sequences = limit * own_batch / total_batch;
                self.share = Some(Share {
                    set_at: now,
                    limit,
                    sequences,
                });
                sequences
            }
        };
        (sequences.round() as u32).min(self.sequences)
    }
}

/// The grants of one gateway and the sequences that it may use of them.
#[derive(Clone, Debug, Default)]
pub struct BatchCapacity {
    settings: YieldSettings,
    grants: HashMap<ReplicaIndex, ReceivedGrant>,
}

impl BatchCapacity {
    /// A state without grants, with the given settings.
    #[must_use]
    pub fn new(settings: YieldSettings) -> Self {
        BatchCapacity {
            settings,
            grants: HashMap::new(),
        }
    }

    /// Records a grant, which replaces an earlier one for the same replica.
    pub fn on_grant(
        &mut self,
        now: Timestamp,
        replica: ReplicaIndex,
        sequences: u32,
        valid_ms: u64,
    ) {
        let known = self.grants.get(&replica);
        let pressure_at = known.and_then(|grant| grant.pressure_at);
        let share = known.and_then(|grant| grant.share);
        self.grants.insert(
            replica,
            ReceivedGrant {
                sequences,
                until: Timestamp(now.0 + valid_ms),
                pressure_at,
                share,
            },
        );
    }

    /// Removes expired grants.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.grants.retain(|_, grant| grant.until > now);
    }

    /// Replicas with a stored grant, in the order of their indices.
    #[must_use]
    pub fn replicas(&self) -> Vec<ReplicaIndex> {
        let mut replicas: Vec<_> = self.grants.keys().copied().collect();
        replicas.sort_unstable();
        replicas
    }

    /// The number of batch sequences that this gateway may run on the replica now.
    ///
    /// If more are running, the caller cancels the excess immediately; these items
    /// keep their tokens and resume on another replica.
    pub fn allowance(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        replica: ReplicaIndex,
    ) -> BatchAllowance {
        let settings = self.settings;
        let Some(grant) = self
            .grants
            .get_mut(&replica)
            .filter(|grant| grant.until > now)
        else {
            return no_allowance(ReasonCode::GrantExpired);
        };
        match view.availability(now, replica) {
            Availability::Available(_) => {}
            Availability::Probe => return no_allowance(ReasonCode::Ejected),
            Availability::Unavailable(reason) => return no_allowance(reason),
        }
        let state = view.replica(replica);
        let load = state.estimated_load(now);
        if load.queued_online_prefill_tokens >= settings.pressure_prefill_tokens {
            grant.pressure_at = Some(now);
        }
        if settings.use_step_times && load.online >= 1.0 {
            grant.pressure_at = grant.pressure_at.max(state.steps().long_prefill_at());
        }
        let under_pressure = grant
            .pressure_at
            .is_some_and(|at| now.0.saturating_sub(at.0) < settings.resume_after_ms);
        let free = free_sequences(load.max_running, load.online, &settings);
        let limit = if under_pressure {
            free.min(f64::from(settings.pressure_sequences))
        } else {
            free
        };
        let measured_at = state.report().map_or(now, |report| report.measured_at);
        let own = grant.own_share(now, limit, measured_at, state.own_batch(), load.batch);
        if own < grant.sequences {
            BatchAllowance {
                sequences: own,
                reason: ReasonCode::YieldedToOnline,
            }
        } else {
            BatchAllowance {
                sequences: grant.sequences,
                reason: ReasonCode::IdleCapacity,
            }
        }
    }
}

fn no_allowance(reason: ReasonCode) -> BatchAllowance {
    BatchAllowance {
        sequences: 0,
        reason,
    }
}

/// Sequences that online work leaves free; infinite if `max_running` is unknown.
fn free_sequences(max_running: f64, online: f64, settings: &YieldSettings) -> f64 {
    if max_running <= 0.0 {
        return f64::INFINITY;
    }
    (max_running - online - f64::from(settings.reserve_sequences)).max(0.0)
}
