//! What happens when.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    rc::Rc,
};

use linnethitch_emulator::Time;
use linnethitch_protocol::fleet::LoadReport;

use super::{attempt::AttemptId, control::GrantedBatch, incidents::Incident};

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// An online request of the trace reaches its gateway.
    Online(usize),
    /// A batch heap of the trace is accepted.
    Heap(usize),
    /// A request reaches its engine.
    Submit(AttemptId),
    /// A cancellation reaches its engine.
    Cancel(AttemptId),
    /// A gateway sees the connection of a request break.
    Broken(AttemptId),
    /// Something happens to an engine.
    Incident(Incident),
    /// An engine has something to do.
    Wake(usize),
    /// Control reads the loads of all engines.
    Poll,
    /// Loads read by control reach the gateways.
    Digest(Rc<Vec<LoadReport>>),
    /// Control allocates grants.
    Allocate,
    /// Grants reach their gateways.
    Grants(Rc<Vec<GrantedBatch>>),
    /// Leased items reach a gateway.
    Lease(usize),
    /// Every gateway looks after its batch work.
    Pump,
}

#[derive(Clone, Debug)]
struct Scheduled {
    at: Time,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events by time; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    events: BinaryHeap<Reverse<Scheduled>>,
    added: u64,
}

impl Agenda {
    pub(super) fn add(&mut self, at: Time, event: Event) {
        self.added += 1;
        self.events.push(Reverse(Scheduled {
            at,
            order: self.added,
            event,
        }));
    }

    pub(super) fn next(&mut self) -> Option<(Time, Event)> {
        let Reverse(scheduled) = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
