//! Decisions that follow from the executor's state: which runs stop, which items run, and what is
//! leased, committed and released.

use std::collections::BTreeMap;

use linnethitch_errors::ErrorKind;
use linnethitch_observability::journal::DecisionKind;
use linnethitch_protocol::{
    command::LeasedItemKey,
    ids::{ReplicaId, Timestamp},
};
use linnethitch_routing::ReasonCode;

use super::{BatchExecutor, MarkCall};
use crate::batch::{
    item::{AfterStop, ItemState, Slot, StartMark},
    messages::{BatchAction, PlannedStart, RunId, RunOrder},
};

/// What this executor uses of a replica's capacity.
#[derive(Default)]
struct ReplicaUsage {
    /// Sequences in use.
    used: u32,
    /// Runs that may be preempted.
    preemptible: Vec<(RunId, Slot)>,
}

impl BatchExecutor {
    /// Decides what follows from the present state, the most urgent first.
    pub(super) fn decide(&mut self, now: Timestamp) {
        if self.session.is_some_and(|session| session.until <= now) {
            self.end_session();
        }
        self.preempt_excess_runs();
        self.end_expired(now);
        self.place(now);
        self.release_unplaced(now);
        self.actions.extend(self.releases.due(now));
        self.lease(now);
        let interval = self.settings.commit_interval_ms;
        self.actions.extend(self.outbox.next_commit(now, interval));
        let request =
            self.leasing
                .next_grant_request(now, &self.items, self.draining, &self.settings);
        self.actions.extend(request);
    }

    /// Stops the runs in excess of a replica's capacity, the newest first: they lose least
    /// when their prompt is processed again.
    fn preempt_excess_runs(&mut self) {
        let mut to_stop = Vec::new();
        for (replica, mut usage) in self.usage_by_replica() {
            let capacity = self.capacity.get(&replica);
            let allowed = capacity.map_or(0, |capacity| capacity.sequences);
            let reason = capacity.map_or(ReasonCode::GrantExpired, |capacity| capacity.reason);
            let excess = usage.used.saturating_sub(allowed) as usize;
            usage
                .preemptible
                .sort_unstable_by(|one, other| other.cmp(one));
            let newest = usage.preemptible.into_iter().take(excess);
            to_stop.extend(newest.map(|(_, slot)| (slot, reason)));
        }
        for (slot, reason) in to_stop {
            if let Some(item) = self.items.get_mut(slot).cloned() {
                self.record_decision(&item, DecisionKind::Yield, reason, "");
            }
            self.stop(slot, AfterStop::RunElsewhere);
        }
    }

    /// The capacity of each replica used by items that are not being stopped.
    fn usage_by_replica(&self) -> BTreeMap<ReplicaId, ReplicaUsage> {
        let mut by_replica = BTreeMap::<ReplicaId, ReplicaUsage>::new();
        for (slot, item) in self.items.iter() {
            let (replica, run) = match &item.state {
                ItemState::Marking { replica, .. } => (replica, None),
                ItemState::Running {
                    replica,
                    run,
                    stopping: None,
                } => (replica, Some(*run)),
                _ => continue,
            };
            let usage = by_replica.entry(replica.clone()).or_default();
            usage.used += 1;
            if let Some(run) = run.filter(|_| item.is_preemptible()) {
                usage.preemptible.push((run, slot));
            }
        }
        by_replica
    }

    /// Ends items whose job is past its completion window.
    fn end_expired(&mut self, now: Timestamp) {
        let expired = self
            .items
            .iter()
            .filter(|(_, item)| item.leased.deadline <= now);
        let slots: Vec<Slot> = expired.map(|(slot, _)| slot).collect();
        self.end_all(now, &slots, ErrorKind::DeadlineExceeded);
    }

    /// Runs waiting items on replicas with free capacity: items with generated tokens first, then
    /// by deadline.
    fn place(&mut self, now: Timestamp) {
        let mut free = self.capacity.free(&self.items);
        if free.is_empty() {
            return;
        }
        let mut placed = Vec::new();
        let mut to_mark = Vec::new();
        for slot in self.ready(now) {
            let Some(item) = self.items.get(slot) else {
                continue;
            };
            let needs_mark = matches!(item.mark, StartMark::Missing | StartMark::Outdated);
            if needs_mark && self.mark_call.is_some() {
                continue;
            }
            let Some(replica) = free.take(item) else {
                continue;
            };
            if needs_mark {
                to_mark.push((slot, replica));
            } else {
                placed.push((slot, replica));
            }
        }
        for (slot, replica) in placed {
            let run = self.next_run_id();
            self.run(slot, run, replica, None);
        }
        self.mark(to_mark);
    }

    /// Items that may run now, the most urgent first.
    fn ready(&self, now: Timestamp) -> Vec<Slot> {
        let ready = self.items.iter().filter(|(_, item)| item.is_ready(now));
        let mut ready: Vec<_> = ready
            .map(|(slot, item)| (item.generated.tokens == 0, item.leased.deadline, slot))
            .collect();
        ready.sort_unstable();
        ready.into_iter().map(|(_, _, slot)| slot).collect()
    }

    fn next_run_id(&mut self) -> RunId {
        self.next_run += 1;
        RunId(self.next_run)
    }

    pub(super) fn run(
        &mut self,
        slot: Slot,
        run: RunId,
        replica: ReplicaId,
        address: Option<String>,
    ) {
        let Some(item) = self.items.run(slot, run, replica.clone()).cloned() else {
            return;
        };
        self.record_decision(&item, DecisionKind::Choice, ReasonCode::IdleCapacity, "");
        self.actions.push(BatchAction::Run(RunOrder {
            run,
            item: item.leased,
            leased_at: item.leased_at,
            replica,
            address,
            generated: item.generated,
        }));
    }

    /// Asks the ledger to record the start of at-most-once items, and reserves their capacity
    /// until it answers.
    fn mark(&mut self, items: Vec<(Slot, ReplicaId)>) {
        let Some(session) = self.epoch().filter(|_| !items.is_empty()) else {
            return;
        };
        let mut slots = Vec::with_capacity(items.len());
        let mut starts = Vec::with_capacity(items.len());
        for (slot, replica) in items {
            let run = self.next_run_id();
            if let Some(item) = self.items.get_mut(slot) {
                starts.push(PlannedStart {
                    key: item.leased.key.clone(),
                    replica: replica.clone(),
                    run,
                });
                item.state = ItemState::Marking { replica, run };
                slots.push(slot);
            }
        }
        self.next_mark += 1;
        let number = self.next_mark;
        self.mark_call = Some(MarkCall { number, slots });
        self.actions.push(BatchAction::MarkStarted {
            session,
            number,
            starts,
        });
    }

    /// Releases items that have waited too long for free capacity; when draining, all items that
    /// do not run.
    fn release_unplaced(&mut self, now: Timestamp) {
        let wait_ms = if self.draining {
            0
        } else {
            self.settings.release_after_ms
        };
        let unplaced = self.items.iter().filter(|(_, item)| {
            item.may_be_released()
                && item
                    .waiting_since()
                    .is_some_and(|since| since.0 + wait_ms <= now.0)
        });
        let slots: Vec<Slot> = unplaced.map(|(slot, _)| slot).collect();
        self.release(&slots);
    }

    /// Releases items that have not run.
    pub(super) fn release(&mut self, slots: &[Slot]) {
        let Some(session) = self.epoch() else {
            return;
        };
        let mut keys: Vec<LeasedItemKey> = Vec::new();
        for slot in slots {
            if let Some(item) = self.items.remove(*slot) {
                let reason = ReasonCode::GrantExpired;
                self.record_decision(&item, DecisionKind::Lease, reason, "given back");
                keys.push(item.leased.key.clone());
            }
        }
        if !keys.is_empty() {
            let release = self.releases.start(session, keys);
            self.actions.push(release);
        }
    }

    fn lease(&mut self, now: Timestamp) {
        let Some(session) = self.epoch().filter(|_| !self.draining) else {
            return;
        };
        let leased = self.items.len() + self.outbox.len();
        let lease = self.leasing.next_lease(
            now,
            session,
            &self.capacity,
            &self.items,
            leased,
            &self.settings,
        );
        self.actions.extend(lease);
    }
}
