//! What other members of control hear of gateways.
//!
//! A gateway keeps links to a few members only. The others name it all the same, by the word
//! of those that hear it.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::READY_TTL_MS;

use crate::{message::ReachableGateway, set_change::SetChange};

/// What one member tells.
#[derive(Default)]
struct MemberReport {
    /// When it was last heard of, in milliseconds.
    at_ms: u64,
    reachable: BTreeMap<MachineId, ReachableGateway>,
    stopped: BTreeSet<MachineId>,
}

/// What each other member tells.
#[derive(Default)]
pub(crate) struct RelayedPresence {
    by_member: BTreeMap<MachineId, MemberReport>,
}

impl RelayedPresence {
    /// Takes a pulse of a member; true where it tells something else than before.
    pub(crate) fn apply(
        &mut self,
        member: MachineId,
        reachable: Option<SetChange<ReachableGateway>>,
        stopped: Option<SetChange<MachineId>>,
        now_ms: u64,
    ) -> bool {
        let reports = self.by_member.entry(member).or_default();
        reports.at_ms = now_ms;
        let is_change = reachable.is_some() || stopped.is_some();
        if let Some(change) = reachable {
            change.apply_to_map(&mut reports.reachable, |gateway| gateway.machine);
        }
        if let Some(change) = stopped {
            change.apply_to(&mut reports.stopped);
        }
        is_change
    }

    /// Gateways that a member hears.
    pub(crate) fn reachable_from(
        &self,
        member: MachineId,
    ) -> impl Iterator<Item = &ReachableGateway> {
        let reports = self.by_member.get(&member).into_iter();
        reports.flat_map(|reports| reports.reachable.values())
    }

    /// Gateways that stopped, by the word of a member, and that no member hears.
    pub(crate) fn stopped_reported_by(&self, member: MachineId, now_ms: u64) -> Vec<MachineId> {
        let reports = self.by_member.get(&member).into_iter();
        let stopped = reports.flat_map(|reports| &reports.stopped).copied();
        stopped
            .filter(|machine| !self.is_reachable(*machine, now_ms))
            .collect()
    }

    fn is_reachable(&self, machine: MachineId, now_ms: u64) -> bool {
        let mut reports = self.by_member.values();
        reports.any(|reports| {
            now_ms.saturating_sub(reports.at_ms) <= READY_TTL_MS
                && reports.reachable.contains_key(&machine)
        })
    }
}
