//! The event queue of the virtual clock.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use linnethitch_protocol::ids::MachineId;

use crate::{actors::ActorId, faults::FaultKind, network::Envelope, options::ScriptedFault};

/// An event of the simulation.
pub(crate) enum Event {
    /// The timer of a control machine is due.
    Tick(MachineId),
    /// A control machine processes received messages.
    Work(MachineId),
    /// A control machine that is down restarts.
    Restart(MachineId),
    /// A message arrives.
    Deliver(Box<Envelope>),
    /// The timer of an actor is due.
    Wake(ActorId),
    /// A random fault of a kind is injected.
    Fault(FaultKind),
    /// A scripted fault is injected.
    Scripted(ScriptedFault),
    /// The fault with this number ends.
    Heal(u64),
    /// The fault phase ends; all faults are healed.
    BeginRecovery,
    /// Checks during recovery whether the system has converged.
    CheckRecovery,
}

struct Scheduled {
    at_ms: u64,
    number: u64,
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
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// Events in order of time; events of the same time in order of scheduling.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    next_number: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(crate) fn push(&mut self, at_ms: u64, event: Event) {
        let scheduled = Scheduled {
            at_ms,
            number: self.next_number,
            event,
        };
        self.next_number += 1;
        self.heap.push(Reverse(scheduled));
    }

    /// Removes the next event and returns it with its time, in milliseconds.
    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at_ms, scheduled.event))
    }
}
