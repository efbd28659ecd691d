//! Decides how many items to lease, and of which model.

use std::collections::BTreeMap;

use linnethitch_protocol::{
    attach::{GrantRequest, PendingItems},
    command::RequestedItems,
    ids::{ModelId, SessionEpoch, Timestamp},
};

use crate::batch::{
    item::ItemTable,
    messages::{BatchAction, ExecutorSettings},
    placing::{CapacityTable, pool_of},
};

/// A lease call without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct LeaseCall {
    pub(super) sequence: u64,
    pub(super) requested: RequestedItems,
    /// When to repeat the call; set when its answer was lost.
    pub(super) resend_at: Option<Timestamp>,
}

/// Leases items as the granted capacity allows. One call is in flight at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Leasing {
    pending: Vec<PendingItems>,
    call: Option<LeaseCall>,
    last_sequence: u64,
    /// The model of the last call, so that models take turns.
    last_model: Option<ModelId>,
    last_requests: Vec<GrantRequest>,
    last_requested_at: Option<Timestamp>,
}

impl Leasing {
    /// Records the items pending in the ledger.
    pub(super) fn set_pending(&mut self, pending: Vec<PendingItems>) {
        self.pending = pending;
    }

    /// Drops the call in flight; its items return to the ledger with the end of the session.
    pub(super) fn clear_call(&mut self) {
        self.call = None;
    }

    /// Takes the call with this number, if it is the one in flight.
    pub(super) fn take_call(&mut self, sequence: u64) -> Option<LeaseCall> {
        self.call.take_if(|call| call.sequence == sequence)
    }

    /// Repeats a call at the given time.
    pub(super) fn retry(&mut self, call: LeaseCall, at: Timestamp) {
        self.call = Some(LeaseCall {
            resend_at: Some(at),
            ..call
        });
    }

    /// Counts leased items as no longer pending. After an empty lease, the model is not requested
    /// again before the next update of its pending items.
    pub(super) fn on_leased(&mut self, model: &ModelId, count: usize) {
        let pending = self
            .pending
            .iter_mut()
            .find(|pending| pending.model == *model);
        if let Some(pending) = pending {
            pending.count = if count == 0 {
                0
            } else {
                pending.count.saturating_sub(count as u64)
            };
        }
    }

    /// The lease call to make now, if one is due.
    pub(super) fn next_lease(
        &mut self,
        now: Timestamp,
        session: SessionEpoch,
        capacity: &CapacityTable,
        items: &ItemTable,
        leased: usize,
        settings: &ExecutorSettings,
    ) -> Option<BatchAction> {
        if let Some(call) = self.call.as_mut() {
            call.resend_at.take_if(|at| *at <= now)?;
            return Some(call.action(session));
        }
        let requested = self.next_wanted_items(capacity, items, leased, settings)?;
        self.last_sequence += 1;
        self.last_model = Some(requested.model.clone());
        let call = LeaseCall {
            sequence: self.last_sequence,
            requested,
            resend_at: None,
        };
        let action = call.action(session);
        self.call = Some(call);
        Some(action)
    }

    /// The items to lease of the next model in turn whose granted capacity is not filled.
    fn next_wanted_items(
        &self,
        capacity: &CapacityTable,
        items: &ItemTable,
        leased: usize,
        settings: &ExecutorSettings,
    ) -> Option<RequestedItems> {
        let remaining = (settings.max_items as usize).saturating_sub(leased);
        let mut pools: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, item) in items.iter() {
            *pools.entry(pool_of(&item.model)).or_default() += 1;
        }
        let requested = self.pending.iter().filter_map(|pending| {
            let granted = capacity.sequences_for(&pending.model);
            let target = granted
                + granted
                    .saturating_mul(settings.lease_ahead_percent)
                    .div_ceil(100);
            let of_pool = pools.get(pool_of(&pending.model)).copied().unwrap_or(0);
            let count = u64::from(target.saturating_sub(of_pool))
                .min(pending.count)
                .min(remaining as u64);
            (count > 0).then(|| RequestedItems {
                model: pending.model.clone(),
                count: count as u32,
            })
        });
        let mut requested: Vec<RequestedItems> = requested.collect();
        requested.sort_by(|one, other| one.model.cmp(&other.model));
        let after_last = requested
            .iter()
            .position(|items| Some(&items.model) > self.last_model.as_ref());
        requested.into_iter().nth(after_last.unwrap_or(0))
    }

    /// The requests for capacity to send now, if they are due.
    pub(super) fn next_grant_request(
        &mut self,
        now: Timestamp,
        items: &ItemTable,
        draining: bool,
        settings: &ExecutorSettings,
    ) -> Option<BatchAction> {
        let grant_requests = self.grant_requests(items, draining, settings);
        let due = self
            .last_requested_at
            .is_none_or(|at| at.0 + settings.grant_request_interval_ms <= now.0);
        let changed = grant_requests.is_empty() != self.last_requests.is_empty();
        let repeat = due && !grant_requests.is_empty();
        if !changed && !repeat {
            return None;
        }
        self.last_requested_at = Some(now);
        self.last_requests.clone_from(&grant_requests);
        Some(BatchAction::RequestGrants(grant_requests))
    }

    fn grant_requests(
        &self,
        items: &ItemTable,
        draining: bool,
        settings: &ExecutorSettings,
    ) -> Vec<GrantRequest> {
        let mut pools: BTreeMap<&str, u64> = BTreeMap::new();
        for (_, item) in items.iter() {
            *pools.entry(pool_of(&item.model)).or_default() += 1;
        }
        if !draining {
            for pending in &self.pending {
                *pools.entry(pool_of(&pending.model)).or_default() += pending.count;
            }
        }
        let grant_requests = pools.into_iter().map(|(pool, count)| GrantRequest {
            model: pool.into(),
            sequences: count.min(u64::from(settings.max_items)) as u32,
        });
        grant_requests
            .filter(|request| request.sequences > 0)
            .collect()
    }
}

impl LeaseCall {
    fn action(&self, session: SessionEpoch) -> BatchAction {
        BatchAction::Lease {
            session,
            sequence: self.sequence,
            requested: self.requested.clone(),
        }
    }
}
