//! Simulated processes that use control: operators, callers and gateways.

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
    engines::Engines,
    network::{Address, Packet},
};

/// Number of an actor in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ActorId(pub(crate) u32);

/// The environment of an actor during one step.
pub(crate) struct Context<'a> {
    pub(crate) now_ms: u64,
    pub(crate) random: &'a mut Pcg64Mcg,
    /// Whether the system recovers: actors complete open work and start no new work.
    pub(crate) recovering: bool,
    pub(crate) checker: &'a mut Checker,
    pub(crate) engines: &'a mut Engines,
    pub(crate) machines: &'a [MachineId],
    /// Messages to send.
    pub(crate) sent: Vec<(Address, Packet)>,
    /// Requested timers, in milliseconds of simulated time.
    pub(crate) wakes: Vec<u64>,
}

impl Context<'_> {
    /// Sends a message after the step.
    pub(crate) fn send(&mut self, to: Address, packet: Packet) {
        self.sent.push((to, packet));
    }

    /// Sets a timer.
    pub(crate) fn wake_in(&mut self, milliseconds: u64) {
        self.wakes.push(self.now_ms + milliseconds);
    }
}

/// A simulated process that uses control.
pub(crate) trait Actor {
    /// Handles a due timer. Every actor is also woken at the start of each phase.
    fn wake(&mut self, context: &mut Context);

    /// Handles a received message.
    fn receive(&mut self, from: Address, packet: Packet, context: &mut Context);

    /// Describes work of the actor that is not complete yet, if any.
    fn open_work(&self, checker: &Checker) -> Option<String>;

    /// Kills or pauses the process; it restarts or continues later.
    fn kill(&mut self, _context: &mut Context) {}

    /// Checks the state of the actor against a converged state of control.
    fn check_after_recovery(&mut self, _ledger: &Ledger, _checker: &mut Checker) {}
}
