//! When a gateway's batch streams on a replica step aside, and when they return.
//!
//! Three things bound them: the grant that control gave, the room that the
//! replica has by its corrected load, and pressure: online prompts being
//! prefilled there. Under pressure batch keeps only a few sequences, because
//! each sequence lengthens every step of a long prefill.

use std::collections::HashMap;

use linnethitch_protocol::ids::Timestamp;

use crate::{
    reason::ReasonCode,
    view::{Availability, FleetView, ReplicaIndex},
};

/// Rules of yielding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct YieldSettings {
    /// Sequences of a replica kept free for a burst of online requests.
    pub reserve_sequences: u32,
    /// Prompt tokens waiting on a replica from which on it counts as pressed.
    pub pressure_prefill_tokens: f64,
    /// Batch sequences of all gateways that stay on a pressed replica.
    pub pressure_sequences: u32,
    /// Whether long steps of the engine count as pressure.
    pub use_step_times: bool,
    /// Batch returns to a replica that was not pressed for this long, in milliseconds.
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

/// How many batch sequences a gateway may have on a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchAllowance {
    /// Sequences.
    pub sequences: u32,
    /// What bounds them.
    pub reason: ReasonCode,
}

/// A grant as the gateway holds it.
#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    sequences: u32,
    until: Timestamp,
    pressed_at: Option<Timestamp>,
    share: Option<Share>,
}

/// A gateway's part of what all batch may have on a replica.
#[derive(Clone, Copy, Debug)]
struct Share {
    set_at: Timestamp,
    most: f64,
    sequences: f64,
}

impl HeldGrant {
    /// This gateway's part of what batch may have on the replica.
    ///
    /// While all batch together fits, the grant decides. When it does not, each
    /// gateway keeps the share that it has of all batch there. The share stays
    /// until a report tells what the others made of it: worked out anew from the
    /// old report it would shrink with each step aside.
    fn own_part(
        &mut self,
        now: Timestamp,
        most: f64,
        measured_at: Timestamp,
        own_batch: u32,
        all_batch: f64,
    ) -> u32 {
        let own_batch = f64::from(own_batch);
        let kept = self.share.filter(|share| share.set_at >= measured_at);
        let sequences = match kept {
            Some(share) if most >= share.most => share.sequences,
            Some(share) => {
                let sequences = share.sequences * most / share.most;
                self.share = Some(Share {
                    set_at: now,
                    most,
                    sequences,
                });
                sequences
            }
            None if all_batch <= most || own_batch == 0.0 => {
                self.share = None;
                (most - all_batch + own_batch).max(0.0)
            }
            None => {
                let sequences = most * own_batch / all_batch;
                self.share = Some(Share {
                    set_at: now,
                    most,
                    sequences,
                });
                sequences
            }
        };
        (sequences.round() as u32).min(self.sequences)
    }
}

/// The grants of one gateway and what is left of them.
#[derive(Clone, Debug, Default)]
pub struct BatchCapacity {
    settings: YieldSettings,
    grants: HashMap<ReplicaIndex, HeldGrant>,
}

impl BatchCapacity {
    /// No grants yet, with the given rules.
    #[must_use]
    pub fn new(settings: YieldSettings) -> Self {
        BatchCapacity {
            settings,
            grants: HashMap::new(),
        }
    }

    /// Takes in a grant; it replaces an earlier one for the same replica.
    pub fn on_grant(
        &mut self,
        now: Timestamp,
        replica: ReplicaIndex,
        sequences: u32,
        valid_ms: u64,
    ) {
        let known = self.grants.get(&replica);
        let pressed_at = known.and_then(|held| held.pressed_at);
        let share = known.and_then(|held| held.share);
        self.grants.insert(
            replica,
            HeldGrant {
                sequences,
                until: Timestamp(now.0 + valid_ms),
                pressed_at,
                share,
            },
        );
    }

    /// Drops grants that have ended long ago.
    pub fn forget_expired(&mut self, now: Timestamp) {
        self.grants.retain(|_, held| held.until > now);
    }

    /// Replicas with a grant that is not forgotten, in the order of their numbers.
    #[must_use]
    pub fn replicas(&self) -> Vec<ReplicaIndex> {
        let mut replicas: Vec<_> = self.grants.keys().copied().collect();
        replicas.sort_unstable();
        replicas
    }

    /// How many batch sequences this gateway may have on the replica now.
    ///
    /// With more than that running there, the rest is cancelled at once; its
    /// tokens are kept and it goes on elsewhere.
    pub fn allowance(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        replica: ReplicaIndex,
    ) -> BatchAllowance {
        let settings = self.settings;
        let Some(held) = self
            .grants
            .get_mut(&replica)
            .filter(|held| held.until > now)
        else {
            return none(ReasonCode::GrantExpired);
        };
        match view.availability(now, replica) {
            Availability::Available(_) => {}
            Availability::Probe => return none(ReasonCode::Ejected),
            Availability::Unavailable(reason) => return none(reason),
        }
        let state = view.replica(replica);
        let load = state.estimated_load(now);
        if load.queued_online_prefill_tokens >= settings.pressure_prefill_tokens {
            held.pressed_at = Some(now);
        }
        if settings.use_step_times && load.online >= 1.0 {
            held.pressed_at = held.pressed_at.max(state.steps().long_prefill_at());
        }
        let pressed = held
            .pressed_at
            .is_some_and(|at| now.0.saturating_sub(at.0) < settings.resume_after_ms);
        let free = free_sequences(load.max_running, load.online, &settings);
        let most = if pressed {
            free.min(f64::from(settings.pressure_sequences))
        } else {
            free
        };
        let measured_at = state.report().map_or(now, |report| report.measured_at);
        let own = held.own_part(now, most, measured_at, state.own_batch(), load.batch);
        if own < held.sequences {
            BatchAllowance {
                sequences: own,
                reason: ReasonCode::YieldedToOnline,
            }
        } else {
            BatchAllowance {
                sequences: held.sequences,
                reason: ReasonCode::IdleCapacity,
            }
        }
    }
}

fn none(reason: ReasonCode) -> BatchAllowance {
    BatchAllowance {
        sequences: 0,
        reason,
    }
}

/// Sequences that online work leaves free; all of them when the size is unknown.
fn free_sequences(max_running: f64, online: f64, settings: &YieldSettings) -> f64 {
    if max_running <= 0.0 {
        return f64::INFINITY;
    }
    (max_running - online - f64::from(settings.reserve_sequences)).max(0.0)
}
