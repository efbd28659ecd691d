//! Order in which pending items are leased.
//!
//! Per model, tenants are served by virtual time (start-time fair queueing with weights), and
//! the jobs of a tenant by deadline. A tenant that returns after an idle time starts at the
//! model's virtual time, so that it can neither accumulate credit nor starve others.

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
    /// Tenants in the order of their virtual times.
    by_virtual_time: BTreeSet<(u64, TenantId)>,
    pending: u64,
}

/// A tenant's virtual time, for snapshots.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct TenantTime {
    /// The tenant.
    pub(crate) tenant: TenantId,
    /// The tenant's virtual time.
    pub(crate) virtual_time: u64,
}

/// The virtual times of one model, for snapshots.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ModelTimes {
    /// The model.
    pub(crate) model: ModelId,
    /// The model's virtual time.
    pub(crate) virtual_time: u64,
    /// Tenants with pending items.
    pub(crate) tenants: Vec<TenantTime>,
}

/// The queues of all models.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Scheduler {
    models: BTreeMap<ModelId, ModelQueue>,
}

/// The job whose items are leased next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NextJob {
    /// The tenant.
    pub(crate) tenant: TenantId,
    /// The tenant's job with the earliest deadline.
    pub(crate) job: JobNumber,
}

impl Scheduler {
    /// Queues a job with pending items of a model.
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
            queue.by_virtual_time.insert((virtual_time, tenant.clone()));
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

    /// Removes a job without pending items of the model.
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
            queue
                .by_virtual_time
                .remove(&(entry.virtual_time, tenant.clone()));
            queue.tenants.remove(tenant);
        }
    }

    /// The job whose items of a model are leased next.
    pub(crate) fn next(&self, model: &ModelId) -> Option<NextJob> {
        let queue = self.models.get(model)?;
        let (_, tenant) = queue.by_virtual_time.first()?;
        let (_, job) = *queue.tenants.get(tenant)?.jobs.first()?;
        Some(NextJob {
            tenant: tenant.clone(),
            job,
        })
    }

    /// Advances a tenant's virtual time by the cost of leased items.
    pub(crate) fn charge(&mut self, model: &ModelId, tenant: &TenantId, items: u64, weight: u32) {
        let Some(queue) = self.models.get_mut(model) else {
            return;
        };
        let Some(entry) = queue.tenants.get_mut(tenant) else {
            return;
        };
        queue
            .by_virtual_time
            .remove(&(entry.virtual_time, tenant.clone()));
        queue.virtual_time = queue.virtual_time.max(entry.virtual_time);
        let cost = (ITEM_COST / u64::from(weight.max(1))).max(1);
        entry.virtual_time = entry
            .virtual_time
            .saturating_add(items.saturating_mul(cost));
        queue
            .by_virtual_time
            .insert((entry.virtual_time, tenant.clone()));
    }

    /// Adds to the number of pending items.
    pub(crate) fn add_pending(&mut self, model: &ModelId, items: u64) {
        if let Some(queue) = self.models.get_mut(model) {
            queue.pending += items;
        }
    }

    /// Subtracts from the number of pending items.
    pub(crate) fn remove_pending(&mut self, model: &ModelId, items: u64) {
        if let Some(queue) = self.models.get_mut(model) {
            queue.pending = queue.pending.saturating_sub(items);
        }
    }

    /// Number of pending items by model, for models with pending items.
    pub(crate) fn pending(&self) -> impl Iterator<Item = (&ModelId, u64)> {
        let counts = self
            .models
            .iter()
            .map(|(model, queue)| (model, queue.pending));
        counts.filter(|(_, count)| *count > 0)
    }

    /// The virtual times: together with the jobs, they restore the queues.
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

    /// Queues with the given virtual times and without jobs, which are added afterwards.
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
            let tenants = queue.tenants.iter();
            queue.by_virtual_time = tenants
                .map(|(tenant, entry)| (entry.virtual_time, tenant.clone()))
                .collect();
            (entry.model, queue)
        });
        Scheduler {
            models: models.collect(),
        }
    }
}
