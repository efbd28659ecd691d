//! Which pending item is leased next.
//!
//! Per model: tenants take turns by virtual time (start-time fair queueing,
//! weighted by their share), and each tenant's jobs go by their deadline. A
//! tenant that comes back after a pause starts at the model's virtual time, so
//! it can neither save up turns nor starve others.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::{ModelId, TenantId, Timestamp};
use rkyv::{Archive, Deserialize, Serialize};

use crate::job::JobNumber;

/// Virtual time of one item of a tenant of weight 1.
const ITEM_COST: u64 = 1 << 20;

/// Jobs of one tenant with pending items of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TenantQueue {
    virtual_time: u64,
    jobs: BTreeSet<(Timestamp, JobNumber)>,
}

/// The queue of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ModelQueue {
    virtual_time: u64,
    tenants: BTreeMap<TenantId, TenantQueue>,
    turns: BTreeSet<(u64, TenantId)>,
    pending: u64,
}

/// A tenant's virtual time, for snapshots.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct TenantTime {
    /// Whose.
    pub(crate) tenant: TenantId,
    /// Its time.
    pub(crate) virtual_time: u64,
}

/// The virtual times of one model, for snapshots.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ModelTimes {
    /// Which model.
    pub(crate) model: ModelId,
    /// The model's own time.
    pub(crate) virtual_time: u64,
    /// Tenants with pending items.
    pub(crate) tenants: Vec<TenantTime>,
}

/// The queues of all models.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Scheduler {
    models: BTreeMap<ModelId, ModelQueue>,
}

/// A job that has its turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Turn {
    /// The tenant.
    pub(crate) tenant: TenantId,
    /// Its job of the nearest deadline.
    pub(crate) job: JobNumber,
}

impl Scheduler {
    /// Queues a job that has pending items of a model.
    pub(crate) fn add_job(
        &mut self,
        model: &ModelId,
        tenant: &TenantId,
        deadline: Timestamp,
        job: JobNumber,
    ) {
        if !self.models.contains_key(model) {
            self.models.insert(model.clone(), ModelQueue::default());
        }
        let Some(queue) = self.models.get_mut(model) else {
            return;
        };
        if !queue.tenants.contains_key(tenant) {
            let virtual_time = queue.virtual_time;
            queue.turns.insert((virtual_time, tenant.clone()));
            queue.tenants.insert(
                tenant.clone(),
                TenantQueue {
                    virtual_time,
                    jobs: BTreeSet::new(),
                },
            );
        }
        if let Some(entry) = queue.tenants.get_mut(tenant) {
            entry.jobs.insert((deadline, job));
        }
    }

    /// Takes a job without pending items of the model out.
    pub(crate) fn remove_job(
        &mut self,
        model: &ModelId,
        tenant: &TenantId,
        deadline: Timestamp,
        job: JobNumber,
    ) {
        let Some(queue) = self.models.get_mut(model) else {
            return;
        };
        let Some(entry) = queue.tenants.get_mut(tenant) else {
            return;
        };
        entry.jobs.remove(&(deadline, job));
        if entry.jobs.is_empty() {
            queue.turns.remove(&(entry.virtual_time, tenant.clone()));
            queue.tenants.remove(tenant);
        }
    }

    /// The job whose items of a model go next.
    pub(crate) fn next(&self, model: &ModelId) -> Option<Turn> {
        let queue = self.models.get(model)?;
        let (_, tenant) = queue.turns.first()?;
        let (_, job) = *queue.tenants.get(tenant)?.jobs.first()?;
        Some(Turn {
            tenant: tenant.clone(),
            job,
        })
    }

    /// Charges a tenant for items that were leased.
    pub(crate) fn charge(&mut self, model: &ModelId, tenant: &TenantId, items: u64, weight: u32) {
        let Some(queue) = self.models.get_mut(model) else {
            return;
        };
        let Some(entry) = queue.tenants.get_mut(tenant) else {
            return;
        };
        queue.turns.remove(&(entry.virtual_time, tenant.clone()));
        queue.virtual_time = queue.virtual_time.max(entry.virtual_time);
        let cost = (ITEM_COST / u64::from(weight.max(1))).max(1);
        entry.virtual_time = entry
            .virtual_time
            .saturating_add(items.saturating_mul(cost));
        queue.turns.insert((entry.virtual_time, tenant.clone()));
    }

    /// Counts items that became pending.
    pub(crate) fn add_pending(&mut self, model: &ModelId, items: u64) {
        if let Some(queue) = self.models.get_mut(model) {
            queue.pending += items;
        }
    }

    /// Counts items that are pending no more.
    pub(crate) fn remove_pending(&mut self, model: &ModelId, items: u64) {
        if let Some(queue) = self.models.get_mut(model) {
            queue.pending = queue.pending.saturating_sub(items);
        }
    }

    /// Pending items by model, models without any left out.
    pub(crate) fn pending(&self) -> impl Iterator<Item = (&ModelId, u64)> {
        let counts = self
            .models
            .iter()
            .map(|(model, queue)| (model, queue.pending));
        counts.filter(|(_, count)| *count > 0)
    }

    /// What must be kept beside the jobs to restore the queues.
    pub(crate) fn times(&self) -> Vec<ModelTimes> {
        let models = self.models.iter().map(|(model, queue)| ModelTimes {
            model: model.clone(),
            virtual_time: queue.virtual_time,
            tenants: queue
                .tenants
                .iter()
                .map(|(tenant, entry)| TenantTime {
                    tenant: tenant.clone(),
                    virtual_time: entry.virtual_time,
                })
                .collect(),
        });
        models.collect()
    }

    /// Queues without jobs, with the given times; jobs are added next.
    pub(crate) fn with_times(times: Vec<ModelTimes>) -> Self {
        let models = times.into_iter().map(|entry| {
            let tenants = entry.tenants.into_iter().map(|time| {
                let queue = TenantQueue {
                    virtual_time: time.virtual_time,
                    jobs: BTreeSet::new(),
                };
                (time.tenant, queue)
            });
            let mut queue = ModelQueue {
                virtual_time: entry.virtual_time,
                tenants: tenants.collect(),
                ..ModelQueue::default()
            };
            let turns = queue.tenants.iter();
            queue.turns = turns
                .map(|(tenant, entry)| (entry.virtual_time, tenant.clone()))
                .collect();
            (entry.model, queue)
        });
        Scheduler {
            models: models.collect(),
        }
    }
}
