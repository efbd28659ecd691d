//! The nodes that are present, as reported by control members to a node that is not one of them.
//! While control is unreachable, its last reports stay in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::{DirectoryNode, Place};

use crate::message::{ControlHeartbeat, PlacedGateway, PlacedMachine, PresentStore};

/// The report of a control member is valid until its last contact is this much older than the
/// latest contact with any control member, in milliseconds.
const REPORT_VALID_MS: u64 = 3_000;
/// A machine that no heartbeat has listed for this long is no longer linked to, in milliseconds.
const LINK_EXPIRY_MS: u64 = 10_000;

/// The report of one control member.
#[derive(Clone, Debug, Default)]
struct MemberReport {
    /// Time of the last contact.
    at_ms: u64,
    control: BTreeSet<PlacedMachine>,
    stores: BTreeSet<PresentStore>,
    store_members: BTreeSet<PlacedMachine>,
    gateways: BTreeSet<DirectoryNode>,
    coordinators: BTreeSet<PlacedGateway>,
    silent_coordinators: BTreeSet<MachineId>,
}

/// The reports of all control members.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedFleet {
    by_control: BTreeMap<MachineId, MemberReport>,
    /// Control members, and when each was last listed.
    control: BTreeMap<MachineId, u64>,
    /// Members of the job store, and when each was last listed.
    store_members: BTreeMap<MachineId, u64>,
    merged: Merged,
}

/// The merged reports on gateways from all control members with a valid report. They are merged
/// again only when a report changes, and shared, because they are read many times a second.
#[derive(Clone, Debug, Default)]
struct Merged {
    /// Members whose reports are merged; empty if the reports have to be merged again.
    senders: Vec<MachineId>,
    gateways: Arc<Vec<DirectoryNode>>,
    coordinators: Arc<Vec<PlacedGateway>>,
    silent_coordinators: Arc<Vec<MachineId>>,
}

impl ReportedFleet {
    /// Applies a heartbeat of a control member. True if the heartbeat listed a machine that was not
    /// known before.
    pub(crate) fn apply(
        &mut self,
        from: MachineId,
        heartbeat: &mut ControlHeartbeat,
        now_ms: u64,
    ) -> bool {
        let report = self.by_control.entry(from).or_default();
        report.at_ms = now_ms;
        let has_gateways = heartbeat.gateways.is_some()
            || heartbeat.coordinators.is_some()
            || heartbeat.silent_coordinators.is_some();
        if has_gateways {
            self.merged.senders.clear();
        }
        if let Some(change) = heartbeat.control.take() {
            change.apply_to(&mut report.control);
        }
        if let Some(change) = heartbeat.stores.take() {
            change.apply_to(&mut report.stores);
        }
        if let Some(change) = heartbeat.store_members.take() {
            change.apply_to(&mut report.store_members);
        }
        if let Some(change) = heartbeat.gateways.take() {
            change.apply_to(&mut report.gateways);
        }
        if let Some(change) = heartbeat.coordinators.take() {
            change.apply_to(&mut report.coordinators);
        }
        if let Some(change) = heartbeat.silent_coordinators.take() {
            change.apply_to(&mut report.silent_coordinators);
        }
        let machines = |placed: &BTreeSet<PlacedMachine>| {
            let machines = placed.iter().map(|placed| placed.machine);
            machines.collect::<BTreeSet<MachineId>>()
        };
        let new_control = record_listed(&mut self.control, &machines(&report.control), now_ms);
        let members = machines(&report.store_members);
        let new_store = record_listed(&mut self.store_members, &members, now_ms);
        self.by_control
            .retain(|_, report| now_ms.saturating_sub(report.at_ms) < LINK_EXPIRY_MS);
        new_control || new_store
    }

    /// Control members to link to; includes the seeds if no control member was reachable recently.
    pub(crate) fn control(&self, seeds: &[MachineId], now_ms: u64) -> BTreeSet<MachineId> {
        let mut machines: BTreeSet<MachineId> = self.control.keys().copied().collect();
        if self.silent_ms(now_ms) >= REPORT_VALID_MS || machines.is_empty() {
            machines.extend(seeds);
        }
        machines
    }

    /// Places of the control members, as far as any of them knows.
    pub(crate) fn control_places(&self) -> BTreeMap<MachineId, Place> {
        places(
            self.recent_reports()
                .flat_map(|(_, report)| &report.control),
        )
    }

    /// Time of the last contact with each control member.
    pub(crate) fn control_last_contact_ms(&self) -> BTreeMap<MachineId, u64> {
        let reported = self.by_control.iter();
        reported
            .map(|(machine, report)| (*machine, report.at_ms))
            .collect()
    }

    /// Members of the job store to link to.
    pub(crate) fn store_members(&self) -> BTreeSet<MachineId> {
        self.store_members.keys().copied().collect()
    }

    /// Places of the members of the job store, as far as any control member knows.
    pub(crate) fn store_places(&self) -> BTreeMap<MachineId, Place> {
        places(
            self.recent_reports()
                .flat_map(|(_, report)| &report.store_members),
        )
    }

    /// Machines with disks for the job store that any control member can reach.
    pub(crate) fn stores(&self) -> BTreeSet<PresentStore> {
        let reported = self.recent_reports();
        reported
            .flat_map(|(_, report)| &report.stores)
            .cloned()
            .collect()
    }

    /// Ready gateways that any control member can reach. A member that is partitioned from some
    /// gateways does not know all of them.
    pub(crate) fn gateways(&mut self) -> Arc<Vec<DirectoryNode>> {
        Arc::clone(&self.merged().gateways)
    }

    /// Gateways that coordinate slots, in a fixed order. The same value is returned until something
    /// changes.
    pub(crate) fn coordinators(&mut self) -> Arc<Vec<PlacedGateway>> {
        Arc::clone(&self.merged().coordinators)
    }

    /// Gateways that no control member can reach although some could recently: they may be
    /// partitioned and still running.
    pub(crate) fn silent_coordinators(&mut self) -> Arc<Vec<MachineId>> {
        Arc::clone(&self.merged().silent_coordinators)
    }

    fn merged(&mut self) -> &Merged {
        let senders: Vec<MachineId> = self.recent_reports().map(|(sender, _)| sender).collect();
        if self.merged.senders != senders {
            self.merge(senders);
        }
        &self.merged
    }

    fn merge(&mut self, senders: Vec<MachineId>) {
        let reported = || self.recent_reports().map(|(_, report)| report);
        let gateways: BTreeSet<&DirectoryNode> =
            reported().flat_map(|report| &report.gateways).collect();
        let reported_coordinators = reported().flat_map(|report| &report.coordinators);
        let coordinators = best_reported(reported_coordinators);
        let reachable: BTreeSet<MachineId> =
            coordinators.iter().map(|known| known.machine).collect();
        let silent: BTreeSet<MachineId> = reported()
            .flat_map(|report| &report.silent_coordinators)
            .copied()
            .filter(|machine| !reachable.contains(machine))
            .collect();
        let coordinators = if self
            .merged
            .coordinators
            .iter()
            .eq(coordinators.iter().copied())
        {
            Arc::clone(&self.merged.coordinators)
        } else {
            Arc::new(coordinators.into_iter().cloned().collect())
        };
        self.merged = Merged {
            senders,
            gateways: Arc::new(gateways.into_iter().cloned().collect()),
            coordinators,
            silent_coordinators: Arc::new(silent.into_iter().collect()),
        };
    }

    /// Time since the last contact with any control member, in milliseconds.
    pub(crate) fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.newest_ms())
    }

    fn newest_ms(&self) -> u64 {
        let reported = self.by_control.values();
        reported.map(|report| report.at_ms).max().unwrap_or(0)
    }

    /// The valid reports and their senders, relative to the newest heartbeat.
    fn recent_reports(&self) -> impl Iterator<Item = (MachineId, &MemberReport)> {
        let valid_from = self.newest_ms().saturating_sub(REPORT_VALID_MS);
        let reported = self.by_control.iter();
        reported
            .filter(move |(_, report)| report.at_ms >= valid_from)
            .map(|(sender, report)| (*sender, report))
    }
}

/// Records the machines that were just listed and removes those not listed for [`LINK_EXPIRY_MS`].
/// True if one of them is new.
fn record_listed(
    listed: &mut BTreeMap<MachineId, u64>,
    now_listed: &BTreeSet<MachineId>,
    now_ms: u64,
) -> bool {
    let mut has_new = false;
    for machine in now_listed {
        has_new |= listed.insert(*machine, now_ms).is_none();
    }
    listed.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < LINK_EXPIRY_MS);
    has_new
}

/// Each gateway once, by machine, preferring reports that contain its place. Members that use an
/// older format don't know the place.
fn best_reported<'a>(reported: impl Iterator<Item = &'a PlacedGateway>) -> Vec<&'a PlacedGateway> {
    let mut best: BTreeMap<MachineId, &PlacedGateway> = BTreeMap::new();
    for gateway in reported {
        let best_known = best.entry(gateway.machine).or_insert(gateway);
        let rank = |gateway: &PlacedGateway| {
            let is_placed = !gateway.place.zone.is_empty();
            (is_placed, gateway.newest_format)
        };
        if rank(gateway) > rank(best_known) {
            *best_known = gateway;
        }
    }
    best.into_values().collect()
}

/// The places of machines, where known.
fn places<'a>(machines: impl Iterator<Item = &'a PlacedMachine>) -> BTreeMap<MachineId, Place> {
    let placed = machines.filter(|placed| !placed.place.zone.is_empty());
    placed
        .map(|placed| (placed.machine, placed.place.clone()))
        .collect()
}
