//! Which disks are present, for starting a new cluster and for repairs.
//!
//! A new cluster starts as one voter on the lowest-numbered machine, and only
//! while the disks of all machines are present and blank. Every other disk,
//! then and later, joins as a learner and is promoted once it has synced
//! everything. Until enough voters take part, no change is accepted, so that
//! an acknowledged change is always on a quorum of the full membership.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::{MachineId, MemberId};

/// A machine counts as present for this long after its last word, in milliseconds.
const PRESENCE_MS: u64 = 3_000;
/// How often a member tells the others who it is, in milliseconds.
pub(crate) const HELLO_INTERVAL_MS: u64 = 500;

/// What a machine last said of itself.
#[derive(Clone, Debug)]
struct HeardHello {
    member: MemberId,
    formatted: bool,
    attach_address: String,
    at_ms: u64,
}

/// The members that this one has heard of.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    heard: BTreeMap<MachineId, HeardHello>,
}

impl Presence {
    /// Notes what another machine says of itself.
    pub(crate) fn note(
        &mut self,
        member: MemberId,
        formatted: bool,
        attach_address: String,
        now_ms: u64,
    ) {
        let hello = HeardHello {
            member,
            formatted,
            attach_address,
            at_ms: now_ms,
        };
        self.heard.insert(member.machine, hello);
    }

    /// Where gateways attach to the machines heard of.
    pub(crate) fn attach_addresses(&self) -> impl Iterator<Item = &str> {
        self.heard
            .values()
            .map(|hello| hello.attach_address.as_str())
            .filter(|address| !address.is_empty())
    }

    /// Whether all of these machines are present with blank disks.
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

    /// The disks present on these machines.
    pub(crate) fn members(&self, machines: &[MachineId], now_ms: u64) -> Vec<MemberId> {
        let present = |machine: &MachineId| self.present(*machine, now_ms);
        let hellos = machines.iter().filter_map(present);
        hellos.map(|hello| hello.member).collect()
    }

    fn present(&self, machine: MachineId, now_ms: u64) -> Option<&HeardHello> {
        self.heard
            .get(&machine)
            .filter(|hello| now_ms.saturating_sub(hello.at_ms) <= PRESENCE_MS)
    }
}
