//! Control's allocation of batch capacity to gateways.
//!
//! Gateways request sequences; control grants the free sequences of replicas for a
//! short time. The table keeps every grant until it expires, so that the grants on
//! a replica never exceed its headroom, even if a gateway still uses an outdated
//! grant.

use std::collections::{BTreeMap, HashMap};

use linnethitch_protocol::{
    attach::Grant,
    fleet::LoadReport,
    ids::{GatewayId, ModelId, ReplicaId, Timestamp, ZoneId},
};

/// Settings of the allocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantSettings {
    /// Sequences of a replica kept free for a burst of online requests.
    pub reserve_sequences: u32,
    /// Share of KV memory that batch leaves free, in percent.
    pub reserve_kv_percent: u32,
    /// Maximum age of a load report, in milliseconds; with an older report nothing is granted.
    pub max_report_age_ms: u64,
    /// How long a grant is valid, in milliseconds.
    pub valid_ms: u32,
    /// Minimum sequences of a grant where the request and the free capacity allow it, so that few
    /// gateways share a replica.
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

/// A gateway's request for batch capacity of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityRequest {
    /// The requesting gateway.
    pub gateway: GatewayId,
    /// The gateway's zone.
    pub zone: ZoneId,
    /// The requested model.
    pub model: ModelId,
    /// Total number of concurrent sequences requested.
    pub sequences: u32,
}

/// A replica that may run batch work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchReplica {
    /// The replica's id.
    pub replica: ReplicaId,
    /// The replica's zone.
    pub zone: ZoneId,
    /// The model that the replica serves.
    pub model: ModelId,
    /// The newest load report.
    pub load: LoadReport,
    /// Whether the replica accepts new work (not leaving, not ejected, not loading).
    pub accepts_work: bool,
}

/// A grant for one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// The gateway that receives the grant.
    pub gateway: GatewayId,
    /// The grant.
    pub grant: Grant,
}

/// A grant that has not expired.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ActiveGrant {
    gateway: GatewayId,
    sequences: u32,
    until: Timestamp,
    /// Earlier, larger grants that have not expired; the gateway may still use one of them if it
    /// has not received the newer grant.
    superseded: Vec<SupersededGrant>,
    /// Whether the grant is part of the current allocation.
    is_current: bool,
}

/// A grant that was superseded by a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SupersededGrant {
    sequences: u32,
    until: Timestamp,
}

impl ActiveGrant {
    /// Maximum number of sequences that the gateway may use.
    fn usable_sequences(&self, now: Timestamp) -> u32 {
        let current = if self.until > now { self.sequences } else { 0 };
        let before = self
            .superseded
            .iter()
            .filter(|old| old.until > now)
            .map(|old| old.sequences)
            .max();
        current.max(before.unwrap_or(0))
    }

    fn renew(&mut self, now: Timestamp, sequences: u32, until: Timestamp) {
        self.superseded.push(SupersededGrant {
            sequences: self.sequences,
            until: self.until,
        });
        self.superseded
            .retain(|old| old.until > now && old.sequences > sequences);
        self.sequences = sequences;
        self.until = until;
        self.is_current = true;
    }
}

/// The grants that have not expired, by replica.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    settings: GrantSettings,
    grants: HashMap<ReplicaId, Vec<ActiveGrant>>,
}

/// Capacity requests with the sequences not granted yet.
struct UnmetRequests<'a> {
    positions: HashMap<(&'a GatewayId, &'a ModelId), usize>,
    sequences: Vec<u32>,
}

impl<'a> UnmetRequests<'a> {
    fn new(requests: &'a [CapacityRequest]) -> Self {
        let keys = requests
            .iter()
            .map(|request| (&request.gateway, &request.model));
        UnmetRequests {
            positions: keys.enumerate().map(|(at, key)| (key, at)).collect(),
            sequences: requests.iter().map(|request| request.sequences).collect(),
        }
    }

    fn unmet_mut(&mut self, gateway: &GatewayId, model: &ModelId) -> Option<&mut u32> {
        let position = *self.positions.get(&(gateway, model))?;
        self.sequences.get_mut(position)
    }
}

/// A request and its sequences not granted yet.
type UnmetRequest<'a> = (&'a CapacityRequest, u32);

impl GrantTable {
    /// An empty table with the given settings.
    #[must_use]
    pub fn new(settings: GrantSettings) -> Self {
        GrantTable {
            settings,
            grants: HashMap::new(),
        }
    }

    /// Applies new settings; existing grants are unchanged.
    pub fn set_settings(&mut self, settings: GrantSettings) {
        self.settings = settings;
    }

    /// Sequences that gateways may use on a replica.
    #[must_use]
    pub fn granted(&self, now: Timestamp, replica: &ReplicaId) -> u32 {
        self.grants
            .get(replica)
            .map_or(0, |grants| total_usable(now, grants))
    }

    /// Allocates capacity to the requests; call it about twice per validity period of a grant.
    ///
    /// A gateway's grant on a replica replaces its earlier one there. Existing
    /// grants are renewed on the same replica, so that running items stay; new
    /// ones go first to gateways in the replica's zone. Takes time proportional
    /// to the number of replicas, requests and grants.
    pub fn allocate(
        &mut self,
        now: Timestamp,
        requests: &[CapacityRequest],
        replicas: &[BatchReplica],
    ) -> Vec<Allocation> {
        self.remove_expired(now);
        let mut unmet = UnmetRequests::new(requests);
        let mut free_by_replica: Vec<u32> = replicas
            .iter()
            .map(|replica| self.renew(now, replica, &mut unmet))
            .collect();
        self.grant_new(now, requests, replicas, &mut free_by_replica, &unmet);
        self.current_allocations(replicas)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.usable_sequences(now) > 0);
            for grant in grants.iter_mut() {
                grant.is_current = false;
            }
            !grants.is_empty()
        });
    }

    /// Total sequences that batch work may use on a replica.
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

    /// Renews the grants on a replica up to its headroom; returns the remaining sequences.
    fn renew(
        &mut self,
        now: Timestamp,
        replica: &BatchReplica,
        unmet: &mut UnmetRequests<'_>,
    ) -> u32 {
        let mut free = self.headroom(now, replica);
        let until = self.valid_until(now);
        let Some(grants) = self.grants.get_mut(&replica.replica) else {
            return free;
        };
        for grant in grants {
            let remaining = unmet.unmet_mut(&grant.gateway, &replica.model);
            let requested = remaining.as_ref().map_or(0, |remaining| **remaining);
            let renewed = requested.min(grant.sequences).min(free);
            if let Some(remaining) = remaining {
                *remaining -= renewed;
            }
            if renewed > 0 {
                grant.renew(now, renewed, until);
            }
            free = free.saturating_sub(grant.usable_sequences(now));
        }
        free
    }

    fn valid_until(&self, now: Timestamp) -> Timestamp {
        Timestamp(now.0 + u64::from(self.settings.valid_ms))
    }

    /// Grants the remaining sequences, first to gateways in the replica's zone.
    fn grant_new<'a>(
        &mut self,
        now: Timestamp,
        requests: &'a [CapacityRequest],
        replicas: &'a [BatchReplica],
        free_by_replica: &mut [u32],
        unmet: &UnmetRequests<'_>,
    ) {
        let mut by_zone: BTreeMap<(&ModelId, &ZoneId), Vec<UnmetRequest<'a>>> = BTreeMap::new();
        for (request, unmet) in requests.iter().zip(unmet.sequences.iter().copied()) {
            if unmet > 0 {
                let zone = by_zone.entry((&request.model, &request.zone)).or_default();
                zone.push((request, unmet));
            }
        }
        for (replica, free) in replicas.iter().zip(free_by_replica.iter_mut()) {
            if let Some(zone) = by_zone.get_mut(&(&replica.model, &replica.zone)) {
                self.distribute(now, replica, free, zone);
            }
        }
        let mut by_model: BTreeMap<&ModelId, Vec<UnmetRequest<'a>>> = BTreeMap::new();
        for ((model, _), unmet) in by_zone {
            by_model.entry(model).or_default().extend(unmet);
        }
        for (replica, free) in replicas.iter().zip(free_by_replica.iter_mut()) {
            if let Some(model) = by_model.get_mut(&replica.model) {
                self.distribute(now, replica, free, model);
            }
        }
    }

    /// Divides a replica's free sequences among the requests, at least `min_grant_sequences` each
    /// while enough are free.
    fn distribute(
        &mut self,
        now: Timestamp,
        replica: &BatchReplica,
        free: &mut u32,
        requests: &mut Vec<UnmetRequest<'_>>,
    ) {
        let until = self.valid_until(now);
        let share = free
            .div_ceil(requests.len().max(1) as u32)
            .max(self.settings.min_grant_sequences);
        while *free > 0
            && let Some((request, unmet)) = requests.pop()
        {
            let sequences = unmet.min(*free).min(share);
            *free -= sequences;
            if unmet > sequences {
                requests.insert(0, (request, unmet - sequences));
            }
            let grants = self.grants.entry(replica.replica.clone()).or_default();
            match grants
                .iter_mut()
                .find(|grant| grant.gateway == request.gateway)
            {
                Some(grant) if grant.is_current => {
                    grant.renew(now, grant.sequences + sequences, until)
                }
                Some(grant) => grant.renew(now, sequences, until),
                None => grants.push(ActiveGrant {
                    gateway: request.gateway.clone(),
                    sequences,
                    until,
                    superseded: Vec::new(),
                    is_current: true,
                }),
            }
        }
    }

    /// The current allocation, in the order of the replicas.
    fn current_allocations(&self, replicas: &[BatchReplica]) -> Vec<Allocation> {
        let mut allocations = Vec::new();
        for replica in replicas {
            let grants = self.grants.get(&replica.replica).into_iter().flatten();
            allocations.extend(
                grants
                    .filter(|grant| grant.is_current)
                    .map(|grant| Allocation {
                        gateway: grant.gateway.clone(),
                        grant: Grant {
                            replica: replica.replica.clone(),
                            sequences: grant.sequences,
                            valid_ms: self.settings.valid_ms,
                        },
                    }),
            );
        }
        allocations
    }
}

fn total_usable(now: Timestamp, grants: &[ActiveGrant]) -> u32 {
    grants.iter().map(|grant| grant.usable_sequences(now)).sum()
}

fn kv_percent(load: &LoadReport) -> u32 {
    if load.kv_capacity_tokens == 0 {
        return 0;
    }
    let percent = u64::from(load.kv_used_tokens) * 100 / u64::from(load.kv_capacity_tokens);
    percent.min(100) as u32
}
