//! Queue of simulation events, ordered by virtual time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    rc::Rc,
};

use linnethitch_emulator::Time;
use linnethitch_protocol::fleet::LoadReport;

use super::{attempt::AttemptId, control::GrantedBatch, incidents::Incident};

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// An online request of the trace reaches its gateway.
    OnlineArrival(usize),
    /// A batch job of the trace is accepted.
    BatchJob(usize),
    /// A request reaches its engine.
    Submit(AttemptId),
    /// A cancellation reaches its engine.
    Cancel(AttemptId),
    /// A gateway detects that the connection of a request is broken.
    ConnectionBroken(AttemptId),
    /// An incident on an engine.
    Incident(Incident),
    /// The next event of an engine is due.
    Wake(usize),
    /// Control reads the loads of all engines.
    Poll,
    /// Load reports from control reach the gateways.
    LoadReports(Rc<Vec<LoadReport>>),
    /// Control allocates capacity grants.
    Allocate,
    /// Grants reach their gateways.
    Grants(Rc<Vec<GrantedBatch>>),
    /// Leased items reach a gateway.
    Lease(usize),
    /// Every gateway schedules its batch items.
    BatchTick,
}

#[derive(Clone, Debug)]
struct Scheduled {
    at: Time,
    insertion: u64,
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
        (self.at, self.insertion).cmp(&(other.at, other.insertion))
    }
}

/// Events in order of time; events of the same time in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Scheduled>>,
    insertions: u64,
}

impl EventQueue {
    pub(super) fn add(&mut self, at: Time, event: Event) {
        self.insertions += 1;
        self.events.push(Reverse(Scheduled {
            at,
            insertion: self.insertions,
            event,
        }));
    }

    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        let Reverse(scheduled) = self.events.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
