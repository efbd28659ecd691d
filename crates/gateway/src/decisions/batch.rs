//! Capacity for batch work: the grants of control, less what online work uses of them.

use std::sync::Arc;

use linnethitch_protocol::{attach::Grant, fleet::BackEndKind, ids::ReplicaId};
use linnethitch_routing::{Choice, ReasonCode, profile::MAX_ALTERNATIVES, view::Availability};

use crate::{
    batch::ReplicaCapacity,
    decisions::{Decisions, Placement, RoutingRequest},
};

impl Decisions {
    /// Records grants of control.
    pub(crate) fn on_grants(&self, grants: &[Grant]) {
        let now = self.clock.now();
        let mut core = self.core.lock();
        for grant in grants {
            if let Some(index) = core.router.view().index_of(&grant.replica) {
                let valid_ms = u64::from(grant.valid_ms);
                core.capacity
                    .on_grant(now, index, grant.sequences, valid_ms);
            }
        }
        drop(core);
        self.batch_capacity_changed.notify_one();
    }

    /// The capacity that batch work has now on every granted replica.
    pub(crate) fn batch_capacities(&self) -> Vec<ReplicaCapacity> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        let core = &mut *core;
        core.capacity.remove_expired(now);
        let view = core.router.view();
        let replicas = core.capacity.replicas();
        let capacities = replicas.into_iter().filter_map(|index| {
            let info = view.replica(index).info();
            let model = match &info.machine.kind {
                BackEndKind::Engine => info.engine.model.clone()?,
                BackEndKind::Application(_) => return None,
            };
            let allowance = core.capacity.allowance(now, view, index);
            Some(ReplicaCapacity {
                replica: info.machine.replica.clone(),
                model,
                adapters: info.engine.adapters.clone(),
                sequences: allowance.sequences,
                reason: allowance.reason,
            })
        });
        capacities.collect()
    }

    /// `IP:port` of a replica, if it is known.
    pub(crate) fn address_of(&self, replica: &ReplicaId) -> Option<String> {
        let core = self.core.lock();
        let view = core.router.view();
        let index = view.index_of(replica)?;
        Some(view.replica(index).info().machine.address.clone())
    }

    /// Places a batch item on a named replica; `None` when the replica accepts no work now.
    pub(crate) fn place_on_replica(
        self: &Arc<Self>,
        request: &RoutingRequest,
        replica: &ReplicaId,
    ) -> Option<Placement> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        let index = core.router.view().index_of(replica)?;
        if !matches!(
            core.router.view().availability(now, index),
            Availability::Available(_)
        ) {
            return None;
        }
        let choice = Choice {
            replica: index,
            expected_wait_ms: 0.0,
            cached_tokens: 0,
            reason: ReasonCode::IdleCapacity,
            alternatives: [None; MAX_ALTERNATIVES],
        };
        Some(self.place(&mut core, now, request, &choice))
    }
}
