//! Gateways that other control members can reach.
//!
//! A gateway keeps links to a few control members only. The other members list it too, based on
//! reports from the members that can reach it.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::READY_TTL_MS;

use crate::{message::ReachableGateway, set_change::SetChange};

/// The report of one member.
#[derive(Default)]
struct MemberReport {
    /// Time of the last contact, in milliseconds.
    at_ms: u64,
    reachable: BTreeMap<MachineId, ReachableGateway>,
    stopped: BTreeSet<MachineId>,
}

/// The reports of all other members.
#[derive(Default)]
pub(crate) struct RelayedPresence {
    by_member: BTreeMap<MachineId, MemberReport>,
}

impl RelayedPresence {
    /// Applies the report in a member's heartbeat; true if it changes anything.
    pub(crate) fn apply(
        &mut self,
        member: MachineId,
        reachable: Option<SetChange<ReachableGateway>>,
        stopped: Option<SetChange<MachineId>>,
        now_ms: u64,
    ) -> bool {
        let report = self.by_member.entry(member).or_default();
        report.at_ms = now_ms;
        let is_change = reachable.is_some() || stopped.is_some();
        if let Some(change) = reachable {
            change.apply_to_map(&mut report.reachable, |gateway| gateway.machine);
        }
        if let Some(change) = stopped {
            change.apply_to(&mut report.stopped);
        }
        is_change
    }

    /// Gateways that a member can reach.
    pub(crate) fn reachable_from(
        &self,
        member: MachineId,
    ) -> impl Iterator<Item = &ReachableGateway> {
        let report = self.by_member.get(&member).into_iter();
        report.flat_map(|report| report.reachable.values())
    }

    /// Gateways that stopped according to a member and that no member can reach.
    pub(crate) fn stopped_reported_by(&self, member: MachineId, now_ms: u64) -> Vec<MachineId> {
        let report = self.by_member.get(&member).into_iter();
        let stopped = report.flat_map(|report| &report.stopped).copied();
        stopped
            .filter(|machine| !self.is_reachable(*machine, now_ms))
            .collect()
    }

    fn is_reachable(&self, machine: MachineId, now_ms: u64) -> bool {
        let mut report = self.by_member.values();
        report.any(|report| {
            now_ms.saturating_sub(report.at_ms) <= READY_TTL_MS
                && report.reachable.contains_key(&machine)
        })
    }
}
