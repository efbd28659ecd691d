//! What follows from the executor's state: which runs stop, which items run, what is leased,
//! committed and given back.

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
    messages::{BatchAction, RunId, RunOrder},
};

/// What this executor holds of a replica's room.
#[derive(Default)]
struct HeldRoom {
    /// Sequences.
    taken: u32,
    /// Runs that may leave.
    yielding: Vec<(RunId, Slot)>,
}

impl BatchExecutor {
    /// What follows from the present state, in the order of urgency.
    pub(super) fn decide(&mut self, now: Timestamp) {
        if self.session.is_some_and(|session| session.until <= now) {
            self.lose_session();
        }
        self.yield_room();
        self.end_overdue(now);
        self.place(now);
        self.give_back(now);
        self.actions.extend(self.releases.due(now));
        self.lease(now);
        let interval = self.settings.commit_interval_ms;
        self.actions.extend(self.outbox.next_commit(now, interval));
        let wish = self
            .leasing
            .next_wish(now, &self.items, self.draining, &self.settings);
        self.actions.extend(wish);
    }

    /// Stops what runs on a replica beyond its room, the newest runs first: they lose least
    /// when their prompt is read again.
    fn yield_room(&mut self) {
        let mut to_stop = Vec::new();
        for (replica, mut held) in self.held_by_replica() {
            let room = self.rooms.of(&replica);
            let allowed = room.map_or(0, |room| room.sequences);
            let reason = room.map_or(ReasonCode::GrantExpired, |room| room.reason);
            let excess = held.taken.saturating_sub(allowed) as usize;
            held.yielding.sort_unstable_by(|one, other| other.cmp(one));
            let newest = held.yielding.into_iter().take(excess);
            to_stop.extend(newest.map(|(_, slot)| (slot, reason)));
        }
        for (slot, reason) in to_stop {
            if let Some(item) = self.items.get_mut(slot).cloned() {
                self.note(&item, DecisionKind::Yield, reason, "");
            }
            self.stop(slot, AfterStop::RunElsewhere);
        }
    }

    /// What the items that are not being stopped take of each replica.
    fn held_by_replica(&self) -> BTreeMap<ReplicaId, HeldRoom> {
        let mut by_replica = BTreeMap::<ReplicaId, HeldRoom>::new();
        for (slot, item) in self.items.iter() {
            let (replica, run) = match &item.state {
                ItemState::Marking { replica } => (replica, None),
                ItemState::Running {
                    replica,
                    run,
                    stopping: None,
                } => (replica, Some(*run)),
                _ => continue,
            };
            let held = by_replica.entry(replica.clone()).or_default();
            held.taken += 1;
            if let Some(run) = run.filter(|_| item.may_yield()) {
                held.yielding.push((run, slot));
            }
        }
        by_replica
    }

    /// Ends items whose job's completion window is over.
    fn end_overdue(&mut self, now: Timestamp) {
        let overdue = self
            .items
            .iter()
            .filter(|(_, item)| item.leased.deadline <= now);
        let slots: Vec<Slot> = overdue.map(|(slot, _)| slot).collect();
        self.end_all(now, &slots, ErrorKind::DeadlineExceeded);
    }

    /// Runs waiting items where there is room: those with generated tokens first, then by deadline.
    fn place(&mut self, now: Timestamp) {
        let mut free = self.rooms.free(&self.items);
        if free.is_empty() {
            return;
        }
        let mut placed = Vec::new();
        let mut to_mark = Vec::new();
        for slot in self.ready(now) {
            let Some(item) = self.items.get(slot) else {
                continue;
            };
            let needs_mark = matches!(item.mark, StartMark::Missing | StartMark::Uncertain);
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
            self.run(slot, replica);
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

    pub(super) fn run(&mut self, slot: Slot, replica: ReplicaId) {
        self.next_run += 1;
        let run = RunId(self.next_run);
        let Some(item) = self.items.run(slot, run, replica.clone()).cloned() else {
            return;
        };
        self.note(&item, DecisionKind::Choice, ReasonCode::IdleCapacity, "");
        self.actions.push(BatchAction::Run(RunOrder {
            run,
            item: item.leased,
            replica,
            generated: item.generated,
        }));
    }

    /// Has the ledger record that at-most-once items start, and keeps their room meanwhile.
    fn mark(&mut self, items: Vec<(Slot, ReplicaId)>) {
        let Some(session) = self.epoch().filter(|_| !items.is_empty()) else {
            return;
        };
        let mut slots = Vec::with_capacity(items.len());
        let mut keys = Vec::with_capacity(items.len());
        for (slot, replica) in items {
            if let Some(item) = self.items.get_mut(slot) {
                item.state = ItemState::Marking { replica };
                keys.push(item.leased.key.clone());
                slots.push(slot);
            }
        }
        self.next_mark += 1;
        let number = self.next_mark;
        self.mark_call = Some(MarkCall { number, slots });
        self.actions.push(BatchAction::MarkStarted {
            session,
            number,
            keys,
        });
    }

    /// Gives back items that found no room for long, and all that do not run when draining.
    fn give_back(&mut self, now: Timestamp) {
        let patience = if self.draining {
            0
        } else {
            self.settings.release_after_ms
        };
        let unplaced = self.items.iter().filter(|(_, item)| {
            item.may_be_released()
                && item
                    .waiting_since()
                    .is_some_and(|since| since.0 + patience <= now.0)
        });
        let slots: Vec<Slot> = unplaced.map(|(slot, _)| slot).collect();
        self.release(&slots);
    }

    /// Gives items back unrun.
    pub(super) fn release(&mut self, slots: &[Slot]) {
        let Some(session) = self.epoch() else {
            return;
        };
        let mut keys: Vec<LeasedItemKey> = Vec::new();
        for slot in slots {
            if let Some(item) = self.items.remove(*slot) {
                let reason = ReasonCode::GrantExpired;
                self.note(&item, DecisionKind::Lease, reason, "given back");
                keys.push(item.leased.key.clone());
            }
        }
        if !keys.is_empty() {
            let release = self.releases.give_back(session, keys);
            self.actions.push(release);
        }
    }

    fn lease(&mut self, now: Timestamp) {
        let Some(session) = self.epoch().filter(|_| !self.draining) else {
            return;
        };
        let held = self.items.len() + self.outbox.len();
        let lease =
            self.leasing
                .next_lease(now, session, &self.rooms, &self.items, held, &self.settings);
        self.actions.extend(lease);
    }
}
