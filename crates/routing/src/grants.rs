//! Control's allocation of batch capacity to gateways.
//!
//! Gateways say how much they wish; control hands out what replicas have
//! left, for a short time. The book remembers every grant until it ends, so
//! that what is granted on a replica never exceeds its headroom, however old
//! the gateways' own views are.

use std::collections::{BTreeMap, HashMap};

use linnethitch_protocol::{
    attach::Grant,
    fleet::LoadReport,
    ids::{GatewayId, ModelId, ReplicaId, Timestamp, ZoneId},
};

/// Rules of granting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantSettings {
    /// Sequences of a replica kept free for a burst of online requests.
    pub reserve_sequences: u32,
    /// Share of KV memory that batch leaves free, in percent.
    pub reserve_kv_percent: u32,
    /// Age of a load report beyond which nothing new is granted, in milliseconds.
    pub max_report_age_ms: u64,
    /// How long a grant is valid, in milliseconds.
    pub valid_ms: u32,
    /// Sequences of one grant at least, so that few gateways share a replica.
    pub min_grant_sequences: u32,
}

impl Default for GrantSettings {
    fn default() -> Self {
        GrantSettings {
            reserve_sequences: 4,
            reserve_kv_percent: 10,
            max_report_age_ms: 6_000,
            valid_ms: 2_000,
            min_grant_sequences: 8,
        }
    }
}

/// A gateway's wish for one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityRequest {
    /// Who.
    pub gateway: GatewayId,
    /// In which zone.
    pub zone: ZoneId,
    /// For which model.
    pub model: ModelId,
    /// Sequences at once, in all.
    pub sequences: u32,
}

/// A replica that batch may run on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchReplica {
    /// Which.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: ZoneId,
    /// What it serves.
    pub model: ModelId,
    /// Its newest known load.
    pub load: LoadReport,
    /// Whether it takes new work (not leaving, not ejected, not loading).
    pub accepts_work: bool,
}

/// A grant for one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// For whom.
    pub gateway: GatewayId,
    /// What.
    pub grant: Grant,
}

/// A grant that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    gateway: GatewayId,
    sequences: u32,
    until: Timestamp,
    /// Larger grants before this one; the holder may not have heard of the change.
    larger_before: Vec<Larger>,
    /// Whether it is part of the present allocation.
    told: bool,
}

/// A grant that was replaced by a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Larger {
    sequences: u32,
    until: Timestamp,
}

impl Held {
    /// Sequences that the holder may believe it has.
    fn counted(&self, now: Timestamp) -> u32 {
        let current = if self.until > now { self.sequences } else { 0 };
        let before = self
            .larger_before
            .iter()
            .filter(|larger| larger.until > now)
            .map(|larger| larger.sequences)
            .max();
        current.max(before.unwrap_or(0))
    }

    fn renew(&mut self, now: Timestamp, sequences: u32, until: Timestamp) {
        self.larger_before.push(Larger {
            sequences: self.sequences,
            until: self.until,
        });
        self.larger_before
            .retain(|larger| larger.until > now && larger.sequences > sequences);
        self.sequences = sequences;
        self.until = until;
        self.told = true;
    }
}

/// Remembers the grants that have not ended.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    settings: GrantSettings,
    held: HashMap<ReplicaId, Vec<Held>>,
}

/// Wishes not yet met.
struct Open<'a> {
    positions: HashMap<(&'a GatewayId, &'a ModelId), usize>,
    left: Vec<u32>,
}

impl<'a> Open<'a> {
    fn new(wishes: &'a [CapacityRequest]) -> Self {
        let keys = wishes.iter().map(|wish| (&wish.gateway, &wish.model));
        Open {
            positions: keys.enumerate().map(|(at, key)| (key, at)).collect(),
            left: wishes.iter().map(|wish| wish.sequences).collect(),
        }
    }

    fn left_of(&mut self, gateway: &GatewayId, model: &ModelId) -> Option<&mut u32> {
        let position = *self.positions.get(&(gateway, model))?;
        self.left.get_mut(position)
    }
}

/// A wish and what is left of it.
type LeftWish<'a> = (&'a CapacityRequest, u32);

impl GrantTable {
    /// An empty book with the given rules.
    #[must_use]
    pub fn new(settings: GrantSettings) -> Self {
        GrantTable {
            settings,
            held: HashMap::new(),
        }
    }

    /// Puts other rules in force; grants given so far stay as they are.
    pub fn set_settings(&mut self, settings: GrantSettings) {
        self.settings = settings;
    }

    /// Sequences that gateways may believe to have on a replica.
    #[must_use]
    pub fn granted(&self, now: Timestamp, replica: &ReplicaId) -> u32 {
        self.held
            .get(replica)
            .map_or(0, |held| outstanding(now, held))
    }

    /// Grants capacity for the wishes; call it about twice in each grant's life.
    ///
    /// A gateway's grant on a replica replaces its earlier one there. Grants
    /// are renewed where they are, so that running items stay; new ones go to
    /// wishers of the replica's own zone first. Costs time in proportion to
    /// replicas, wishes and grants.
    pub fn allocate(
        &mut self,
        now: Timestamp,
        wishes: &[CapacityRequest],
        replicas: &[BatchReplica],
    ) -> Vec<Allocation> {
        self.forget_ended(now);
        let mut open = Open::new(wishes);
        let mut rooms: Vec<u32> = replicas
            .iter()
            .map(|replica| self.renew(now, replica, &mut open))
            .collect();
        self.grant_new(now, wishes, replicas, &mut rooms, &open);
        self.told(replicas)
    }

    fn forget_ended(&mut self, now: Timestamp) {
        self.held.retain(|_, held| {
            held.retain(|grant| grant.counted(now) > 0);
            for grant in held.iter_mut() {
                grant.told = false;
            }
            !held.is_empty()
        });
    }

    /// Sequences that batch may have on a replica in all.
    #[must_use]
    pub fn headroom(&self, now: Timestamp, replica: &BatchReplica) -> u32 {
        let load = &replica.load;
        let age_ms = now.0.saturating_sub(load.measured_at.0);
        if !replica.accepts_work || age_ms > self.settings.max_report_age_ms {
            return 0;
        }
        if 100 - kv_percent(load) < self.settings.reserve_kv_percent {
            return load.running_batch;
        }
        load.max_running
            .saturating_sub(load.running_online)
            .saturating_sub(self.settings.reserve_sequences)
    }

    /// Renews the grants on a replica as far as its room goes; tells the room left.
    fn renew(&mut self, now: Timestamp, replica: &BatchReplica, open: &mut Open<'_>) -> u32 {
        let mut room = self.headroom(now, replica);
        let until = self.valid_until(now);
        let Some(held) = self.held.get_mut(&replica.replica) else {
            return room;
        };
        for grant in held {
            let wished = open.left_of(&grant.gateway, &replica.model);
            let left = wished.as_ref().map_or(0, |left| **left);
            let renewed = left.min(grant.sequences).min(room);
            if let Some(wished) = wished {
                *wished -= renewed;
            }
            if renewed > 0 {
                grant.renew(now, renewed, until);
            }
            room = room.saturating_sub(grant.counted(now));
        }
        room
    }

    fn valid_until(&self, now: Timestamp) -> Timestamp {
        Timestamp(now.0 + u64::from(self.settings.valid_ms))
    }

    /// Hands out what is left, to wishers of the replica's own zone first.
    fn grant_new<'a>(
        &mut self,
        now: Timestamp,
        wishes: &'a [CapacityRequest],
        replicas: &'a [BatchReplica],
        rooms: &mut [u32],
        open: &Open<'_>,
    ) {
        let mut by_zone: BTreeMap<(&ModelId, &ZoneId), Vec<LeftWish<'a>>> = BTreeMap::new();
        for (wish, left) in wishes.iter().zip(open.left.iter().copied()) {
            if left > 0 {
                let zone = by_zone.entry((&wish.model, &wish.zone)).or_default();
                zone.push((wish, left));
            }
        }
        for (replica, room) in replicas.iter().zip(rooms.iter_mut()) {
            if let Some(zone) = by_zone.get_mut(&(&replica.model, &replica.zone)) {
                self.hand_out(now, replica, room, zone);
            }
        }
        let mut by_model: BTreeMap<&ModelId, Vec<LeftWish<'a>>> = BTreeMap::new();
        for ((model, _), left) in by_zone {
            by_model.entry(model).or_default().extend(left);
        }
        for (replica, room) in replicas.iter().zip(rooms.iter_mut()) {
            if let Some(model) = by_model.get_mut(&replica.model) {
                self.hand_out(now, replica, room, model);
            }
        }
    }

    /// Shares a replica's room between wishers, each at least a chunk.
    fn hand_out(
        &mut self,
        now: Timestamp,
        replica: &BatchReplica,
        room: &mut u32,
        wishes: &mut Vec<LeftWish<'_>>,
    ) {
        let until = self.valid_until(now);
        let share = room
            .div_ceil(wishes.len().max(1) as u32)
            .max(self.settings.min_grant_sequences);
        while *room > 0
            && let Some((wish, left)) = wishes.pop()
        {
            let sequences = left.min(*room).min(share);
            *room -= sequences;
            if left > sequences {
                wishes.insert(0, (wish, left - sequences));
            }
            let held = self.held.entry(replica.replica.clone()).or_default();
            match held.iter_mut().find(|grant| grant.gateway == wish.gateway) {
                Some(grant) if grant.told => grant.renew(now, grant.sequences + sequences, until),
                Some(grant) => grant.renew(now, sequences, until),
                None => held.push(Held {
                    gateway: wish.gateway.clone(),
                    sequences,
                    until,
                    larger_before: Vec::new(),
                    told: true,
                }),
            }
        }
    }

    /// The present allocation, in the order of the replicas.
    fn told(&self, replicas: &[BatchReplica]) -> Vec<Allocation> {
        let mut allocations = Vec::new();
        for replica in replicas {
            let held = self.held.get(&replica.replica).into_iter().flatten();
            allocations.extend(held.filter(|grant| grant.told).map(|grant| Allocation {
                gateway: grant.gateway.clone(),
                grant: Grant {
                    replica: replica.replica.clone(),
                    sequences: grant.sequences,
                    valid_ms: self.settings.valid_ms,
                },
            }));
        }
        allocations
    }
}

fn outstanding(now: Timestamp, held: &[Held]) -> u32 {
    held.iter().map(|grant| grant.counted(now)).sum()
}

fn kv_percent(load: &LoadReport) -> u32 {
    if load.kv_capacity_tokens == 0 {
        return 0;
    }
    let percent = u64::from(load.kv_used_tokens) * 100 / u64::from(load.kv_capacity_tokens);
    percent.min(100) as u32
}
