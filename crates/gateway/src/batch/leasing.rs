//! How many items to lease, of which model.

use std::collections::BTreeMap;

use linnethitch_protocol::{
    attach::{GrantWish, PendingItems},
    command::WantedItems,
    ids::{ModelId, SessionEpoch, Timestamp},
};

use crate::batch::{
    item::ItemTable,
    messages::{BatchAction, ExecutorSettings},
    placing::{Rooms, pool_of},
};

/// A lease that was asked for and not answered.
#[derive(Clone, Debug)]
pub(super) struct LeaseCall {
    pub(super) sequence: u64,
    pub(super) wanted: WantedItems,
    /// Set when the answer was lost: the call is made again then.
    pub(super) resend_at: Option<Timestamp>,
}

/// Leases items as the granted capacity allows. One call is under way at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Leasing {
    pending: Vec<PendingItems>,
    call: Option<LeaseCall>,
    last_sequence: u64,
    /// Model asked for last, so that models take turns.
    last_model: Option<ModelId>,
    wished: Vec<GrantWish>,
    wished_at: Option<Timestamp>,
}

impl Leasing {
    /// Takes in what the ledger has pending.
    pub(super) fn set_pending(&mut self, pending: Vec<PendingItems>) {
        self.pending = pending;
    }

    /// Forgets the call under way; its items return with the session's end.
    pub(super) fn forget_call(&mut self) {
        self.call = None;
    }

    /// The call with this number, if it is the one under way.
    pub(super) fn answered(&mut self, sequence: u64) -> Option<LeaseCall> {
        self.call.take_if(|call| call.sequence == sequence)
    }

    /// Makes a call again later.
    pub(super) fn retry(&mut self, call: LeaseCall, at: Timestamp) {
        self.call = Some(LeaseCall {
            resend_at: Some(at),
            ..call
        });
    }

    /// Counts items that a lease brought; a model that brought none is not asked for again
    /// before the next news of it.
    pub(super) fn on_leased(&mut self, model: &ModelId, count: usize) {
        let known = self.pending.iter_mut().find(|known| known.model == *model);
        if let Some(known) = known {
            known.count = if count == 0 {
                0
            } else {
                known.count.saturating_sub(count as u64)
            };
        }
    }

    /// The lease to ask for now, if there is one.
    pub(super) fn next_lease(
        &mut self,
        now: Timestamp,
        session: SessionEpoch,
        rooms: &Rooms,
        items: &ItemTable,
        held: usize,
        settings: &ExecutorSettings,
    ) -> Option<BatchAction> {
        if let Some(call) = self.call.as_mut() {
            call.resend_at.take_if(|at| *at <= now)?;
            return Some(call.action(session));
        }
        let wanted = self.most_wanted(rooms, items, held, settings)?;
        self.last_sequence += 1;
        self.last_model = Some(wanted.model.clone());
        let call = LeaseCall {
            sequence: self.last_sequence,
            wanted,
            resend_at: None,
        };
        let action = call.action(session);
        self.call = Some(call);
        Some(action)
    }

    /// The next model in turn whose granted capacity is not filled.
    fn most_wanted(
        &self,
        rooms: &Rooms,
        items: &ItemTable,
        held: usize,
        settings: &ExecutorSettings,
    ) -> Option<WantedItems> {
        let left = (settings.max_items as usize).saturating_sub(held);
        let mut pools: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, item) in items.iter() {
            *pools.entry(pool_of(&item.model)).or_default() += 1;
        }
        let wanted = self.pending.iter().filter_map(|pending| {
            let room = rooms.sequences_for(&pending.model);
            let target = room
                + room
                    .saturating_mul(settings.lease_ahead_percent)
                    .div_ceil(100);
            let here = pools.get(pool_of(&pending.model)).copied().unwrap_or(0);
            let count = u64::from(target.saturating_sub(here))
                .min(pending.count)
                .min(left as u64);
            (count > 0).then(|| WantedItems {
                model: pending.model.clone(),
                count: count as u32,
            })
        });
        let mut wanted: Vec<WantedItems> = wanted.collect();
        wanted.sort_by(|one, other| one.model.cmp(&other.model));
        let after_last = wanted
            .iter()
            .position(|wish| Some(&wish.model) > self.last_model.as_ref());
        wanted.into_iter().nth(after_last.unwrap_or(0))
    }

    /// The wishes for capacity to send now, if they are due.
    pub(super) fn next_wish(
        &mut self,
        now: Timestamp,
        items: &ItemTable,
        draining: bool,
        settings: &ExecutorSettings,
    ) -> Option<BatchAction> {
        let wishes = self.wishes(items, draining, settings);
        let due = self
            .wished_at
            .is_none_or(|at| at.0 + settings.grant_request_interval_ms <= now.0);
        let news = wishes.is_empty() != self.wished.is_empty();
        let repeat = due && !wishes.is_empty();
        if !news && !repeat {
            return None;
        }
        self.wished_at = Some(now);
        self.wished.clone_from(&wishes);
        Some(BatchAction::RequestGrants(wishes))
    }

    fn wishes(
        &self,
        items: &ItemTable,
        draining: bool,
        settings: &ExecutorSettings,
    ) -> Vec<GrantWish> {
        let mut pools: BTreeMap<&str, u64> = BTreeMap::new();
        for (_, item) in items.iter() {
            *pools.entry(pool_of(&item.model)).or_default() += 1;
        }
        if !draining {
            for pending in &self.pending {
                *pools.entry(pool_of(&pending.model)).or_default() += pending.count;
            }
        }
        let wishes = pools.into_iter().map(|(pool, count)| GrantWish {
            model: pool.into(),
            sequences: count.min(u64::from(settings.max_items)) as u32,
        });
        wishes.filter(|wish| wish.sequences > 0).collect()
    }
}

impl LeaseCall {
    fn action(&self, session: SessionEpoch) -> BatchAction {
        BatchAction::Lease {
            session,
            sequence: self.sequence,
            wanted: self.wanted.clone(),
        }
    }
}
