//! Presence of disks, for starting a new cluster and repairing the membership.
//!
//! A new cluster starts as one voter on the machine with the lowest number, and only while
//! the disks of all machines are present and blank. Every other disk, also a later one, joins
//! as a learner and is promoted once it has synced the log. No change is accepted until there
//! are enough voters, so that an acknowledged change is always stored by a quorum of the full
//! membership.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::{MachineId, MemberId};

/// A machine counts as present for this long after its last hello, in milliseconds.
const PRESENCE_MS: u64 = 3_000;
/// Time between two hellos to the other members, in milliseconds.
pub(crate) const HELLO_INTERVAL_MS: u64 = 500;

/// The last hello of a machine.
#[derive(Clone, Debug)]
struct ReceivedHello {
    member: MemberId,
    formatted: bool,
    attach_address: String,
    received_ms: u64,
}

/// The members that have sent a hello.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    hellos: BTreeMap<MachineId, ReceivedHello>,
}

impl Presence {
    /// Records the hello of another machine.
    pub(crate) fn record_hello(
        &mut self,
        member: MemberId,
        formatted: bool,
        attach_address: String,
        now_ms: u64,
    ) {
        let hello = ReceivedHello {
            member,
            formatted,
            attach_address,
            received_ms: now_ms,
        };
        self.hellos.insert(member.machine, hello);
    }

    /// Addresses for gateways of the machines that have sent a hello.
    pub(crate) fn attach_addresses(&self) -> impl Iterator<Item = &str> {
        self.hellos
            .values()
            .map(|hello| hello.attach_address.as_str())
            .filter(|address| !address.is_empty())
    }

    /// Whether all given machines are present with blank disks.
    pub(crate) fn all_blank<'a>(
        &self,
        mut machines: impl Iterator<Item = &'a MachineId>,
        now_ms: u64,
    ) -> bool {
        machines.all(|machine| {
            self.present(*machine, now_ms)
                .is_some_and(|hello| !hello.formatted)
        })
    }

    /// The disks that are present on the given machines.
    pub(crate) fn members(&self, machines: &[MachineId], now_ms: u64) -> Vec<MemberId> {
        let present = |machine: &MachineId| self.present(*machine, now_ms);
        let hellos = machines.iter().filter_map(present);
        hellos.map(|hello| hello.member).collect()
    }

    fn present(&self, machine: MachineId, now_ms: u64) -> Option<&ReceivedHello> {
        self.hellos
            .get(&machine)
            .filter(|hello| now_ms.saturating_sub(hello.received_ms) <= PRESENCE_MS)
    }
}
