//! Processes around control: operators, callers, gateways.

pub(crate) mod batch_caller;
mod callers_job;
pub(crate) mod calls;
pub(crate) mod fleet_text;
pub(crate) mod gateway;
pub(crate) mod online_caller;
pub(crate) mod operator;

use linnethitch_ledger::Ledger;
use linnethitch_protocol::ids::MachineId;
use rand_pcg::Pcg64Mcg;

use crate::{
    checker::Checker,
    network::{Address, Packet},
};

/// Number of an actor in its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ActorId(pub(crate) u32);

/// What an actor can see and do in one step.
pub(crate) struct Context<'a> {
    pub(crate) now_ms: u64,
    pub(crate) random: &'a mut Pcg64Mcg,
    /// Whether work that was begun is to be ended and none begun.
    pub(crate) resting: bool,
    pub(crate) checker: &'a mut Checker,
    pub(crate) machines: &'a [MachineId],
    /// Messages to send.
    pub(crate) sent: Vec<(Address, Packet)>,
    /// When to be woken.
    pub(crate) wakes: Vec<u64>,
}

impl Context<'_> {
    /// Sends a message.
    pub(crate) fn send(&mut self, to: Address, packet: Packet) {
        self.sent.push((to, packet));
    }

    /// Asks to be woken after a while.
    pub(crate) fn wake_in(&mut self, milliseconds: u64) {
        self.wakes.push(self.now_ms + milliseconds);
    }
}

/// A process around control.
pub(crate) trait Actor {
    /// A timer that was asked for is due; the first comes at the start.
    fn wake(&mut self, context: &mut Context);

    /// A message has arrived.
    fn receive(&mut self, from: Address, packet: Packet, context: &mut Context);

    /// Why the actor still has something under way, if it has.
    fn unsettled(&self, checker: &Checker) -> Option<String>;

    /// The process dies; it comes back by itself.
    fn die(&mut self, _context: &mut Context) {}

    /// Checks what the actor was told against a converged state.
    fn check_at_rest(&mut self, _ledger: &Ledger, _checker: &mut Checker) {}
}
