//! Applies the decisions of `linnethitch-routing` to real time and real requests.

mod batch;
mod limits;
mod observations;
mod placement;
mod queue;
mod routing_request;

use std::{collections::HashMap, sync::Arc};

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    fleet::{LoadReport, ReplicaInfo},
    ids::{ReplicaId, ZoneId},
    load_digest::{LoadDigest, ShortReplicaId},
};
use linnethitch_routing::{
    Choice, ReasonCode, ReplicaIndex, RetryBudget, Router, RoutingRefusal,
    batch::yielding::BatchCapacity,
    limits::Limits,
    profile::Target,
    retry::{FailedAttempt, RetryDecision, after_failure},
};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

pub(crate) use limits::TenantPermit;
pub(crate) use observations::Report;
pub(crate) use placement::Placement;
pub(crate) use queue::{RequestRefusal, routing_refused};
pub(crate) use routing_request::{RequestTarget, RoutingRequest};

use crate::{
    clock::Clock,
    decisions::{observations::Observations, queue::PoolQueue},
    engine::fault::AttemptFault,
};

/// All routing decisions of one gateway. Their state is behind one lock, which is held only for
/// microseconds.
pub(crate) struct Decisions {
    pub(crate) clock: Clock,
    core: Mutex<Core>,
    /// Notified when online work or a grant changed the capacity that batch work may use.
    pub(crate) batch_capacity_changed: Arc<Notify>,
}

/// The state on which decisions are made.
struct Core {
    router: Router,
    random: Pcg64Mcg,
    limits: Limits,
    budget: RetryBudget,
    queues: HashMap<RequestTarget, PoolQueue>,
    policy: linnethitch_config::fleet::RoutingPolicy,
    capacity: BatchCapacity,
    /// Loads and faults seen on the data path and not yet reported to control.
    observations: Observations,
}

impl Decisions {
    /// Creates the decisions of a gateway in a zone, without a configuration.
    pub(crate) fn new(zone: ZoneId, clock: Clock, seed: u64) -> Self {
        let policy = linnethitch_config::fleet::RoutingPolicy::default();
        let core = Core {
            router: Router::new(zone, policy.clone()),
            random: Pcg64Mcg::seed_from_u64(seed),
            limits: Limits::default(),
            budget: RetryBudget::new(clock.now(), &policy),
            queues: HashMap::new(),
            policy,
            capacity: BatchCapacity::default(),
            observations: Observations::default(),
        };
        Decisions {
            clock,
            core: Mutex::new(core),
            batch_capacity_changed: Arc::default(),
        }
    }

    /// Applies the limits and routing policy of a configuration.
    pub(crate) fn set_fleet(&self, fleet: &Fleet) {
        let mut core = self.core.lock();
        core.policy = fleet.routing.clone();
        core.router.view_mut().set_policy(fleet.routing.clone());
        let evacuated = fleet.evacuated_zones().map(ZoneId::from);
        core.router.view_mut().set_evacuated_zones(evacuated);
        core.budget.set_policy(&fleet.routing);
        core.limits
            .set_tenants(fleet.tenants.iter().map(AsRef::as_ref));
        for queue in core.queues.values_mut() {
            queue.admission.set_policy(&fleet.routing);
        }
    }

    /// Replaces the list of replicas.
    pub(crate) fn set_replicas(self: &Arc<Self>, replicas: Vec<ReplicaInfo>) {
        self.core.lock().router.view_mut().set_replicas(replicas);
        self.serve_queues();
    }

    /// Adds or changes replicas and removes others.
    pub(crate) fn update_replicas(
        self: &Arc<Self>,
        changed: Vec<ReplicaInfo>,
        removed: &[ReplicaId],
    ) {
        self.core
            .lock()
            .router
            .view_mut()
            .update_replicas(changed, removed);
        self.serve_queues();
    }

    /// Records the load that a replica sent with an answer.
    pub(crate) fn on_observed_load(&self, replica: &ReplicaId, load: LoadReport) {
        self.core.lock().observations.on_load(replica, load);
        self.on_load(replica, load);
    }

    /// Takes the loads and suspects that are due to be reported to control.
    pub(crate) fn take_report(&self) -> Report {
        let now = self.clock.now();
        self.core.lock().observations.take(now)
    }

    /// Records the load of a replica as reported by control.
    pub(crate) fn on_load(&self, replica: &ReplicaId, load: LoadReport) {
        let mut core = self.core.lock();
        if let Some(index) = core.router.view().index_of(replica) {
            core.router.view_mut().on_load_report(index, load);
        }
        drop(core);
        self.batch_capacity_changed.notify_one();
    }

    /// Records changed loads; those of replicas without an earlier complete load are ignored.
    pub(crate) fn on_load_digest(&self, digest: &LoadDigest) {
        let mut core = self.core.lock();
        let view = core.router.view_mut();
        let known: HashMap<ShortReplicaId, ReplicaIndex> = view
            .replicas()
            .filter(|(_, replica)| replica.is_listed())
            .map(|(index, replica)| (ShortReplicaId::from(&replica.info().machine.replica), index))
            .collect();
        for compact in &digest.loads {
            let Some(index) = known.get(&compact.replica) else {
                continue;
            };
            if let Some(earlier) = view.replica(*index).report() {
                let report = digest.report(compact, earlier);
                view.on_load_report(*index, report);
            }
        }
        drop(core);
        self.batch_capacity_changed.notify_one();
    }

    /// Records that a replica announced that it is leaving.
    pub(crate) fn on_leaving(&self, replica: &ReplicaId) {
        let now = self.clock.now();
        let mut core = self.core.lock();
        if let Some(index) = core.router.view().index_of(replica) {
            core.router.view_mut().on_leaving(now, index);
        }
        core.observations.on_suspect(replica);
        drop(core);
        self.batch_capacity_changed.notify_one();
    }

    /// Records how an attempt failed. Returns the reason when this ejected the replica.
    pub(crate) fn on_attempt_failed(
        &self,
        placement: Placement,
        fault: &AttemptFault,
    ) -> Option<ReasonCode> {
        if fault.reports_leaving() {
            self.on_leaving(&placement.replica);
        }
        let replica = placement.replica.clone();
        match fault.as_failure_kind() {
            Some(kind) => {
                let ejected = placement.failed(kind);
                if ejected.is_some() {
                    self.core.lock().observations.on_suspect(&replica);
                    self.batch_capacity_changed.notify_one();
                }
                ejected
            }
            None => {
                placement.finished();
                None
            }
        }
    }

    /// Decides whether a failed attempt is retried, resumed or answered with an error.
    pub(crate) fn after_failure(
        &self,
        attempt: &FailedAttempt,
        attempts_made: u32,
        deadline: linnethitch_protocol::ids::Timestamp,
    ) -> RetryDecision {
        let now = self.clock.now();
        let mut core = self.core.lock();
        let Core { budget, policy, .. } = &mut *core;
        after_failure(now, attempt, attempts_made, deadline, policy, budget)
    }

    /// Chooses a replica for a further attempt, without waiting in the queue.
    pub(crate) fn choose_again(
        self: &Arc<Self>,
        request: &RoutingRequest,
        tried: &[ReplicaId],
    ) -> Result<Placement, RoutingRefusal> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        let exclude: Vec<_> = tried
            .iter()
            .filter_map(|id| core.router.view().index_of(id))
            .collect();
        let profile = request.profile(&exclude);
        let choice = core.choose(now, &profile)?;
        Ok(self.place(&mut core, now, request, &choice))
    }

    /// Number of online requests that wait for a back end.
    pub(crate) fn queue_length(&self) -> usize {
        let core = self.core.lock();
        core.queues.values().map(PoolQueue::len).sum()
    }
}

impl Core {
    fn choose(
        &mut self,
        now: linnethitch_protocol::ids::Timestamp,
        profile: &linnethitch_routing::RequestProfile<'_>,
    ) -> Result<Choice, RoutingRefusal> {
        self.router.choose(now, profile, &mut self.random)
    }

    /// Whether the chosen replica has a free slot for one more online request.
    fn has_free_slot(&self, now: linnethitch_protocol::ids::Timestamp, choice: &Choice) -> bool {
        let load = self
            .router
            .view()
            .replica(choice.replica)
            .estimated_load(now);
        load.max_running <= 0.0 || load.online + 1.0 <= load.max_running
    }
}

impl RequestTarget {
    fn as_target(&self) -> Target<'_> {
        match self {
            RequestTarget::Model { name, adapter } => Target::Model {
                name,
                adapter: adapter.as_deref(),
                version: None,
            },
            RequestTarget::Service(name) => Target::Service(name),
        }
    }
}
