//! Who is present, as a node without a part in control learned it from control's
//! members. While control is away, what it told last holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::{DirectoryNode, Place};

use crate::message::{ControlHeartbeat, PlacedGateway, PlacedMachine, PresentStore};

/// What a control member told counts for this long after it was last heard of,
/// compared with the one that was heard of last, in milliseconds.
const REPORT_VALID_MS: u64 = 3_000;
/// A machine that no pulse has named for so long is no longer linked to, in milliseconds.
const LINK_EXPIRY_MS: u64 = 10_000;

/// What one control member told.
#[derive(Clone, Debug, Default)]
struct MemberReport {
    /// When it was last heard of.
    at_ms: u64,
    control: BTreeSet<PlacedMachine>,
    stores: BTreeSet<PresentStore>,
    store_members: BTreeSet<PlacedMachine>,
    gateways: BTreeSet<DirectoryNode>,
    coordinators: BTreeSet<PlacedGateway>,
    silent_coordinators: BTreeSet<MachineId>,
}

/// What all control members told.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedFleet {
    by_control: BTreeMap<MachineId, MemberReport>,
    /// Machines of control, and when one was last named.
    control: BTreeMap<MachineId, u64>,
    /// Members of the job store, and when one was last named.
    store_members: BTreeMap<MachineId, u64>,
    merged: Merged,
}

/// What all that were heard of lately told of gateways. It is merged where one of them told
/// something else, and shared: it is asked for many times a second.
#[derive(Clone, Debug, Default)]
struct Merged {
    /// Those who told it; empty where it is to be merged anew.
    senders: Vec<MachineId>,
    gateways: Arc<Vec<DirectoryNode>>,
    coordinators: Arc<Vec<PlacedGateway>>,
    silent_coordinators: Arc<Vec<MachineId>>,
}

impl ReportedFleet {
    /// Takes a pulse of a control member; true when it named a machine that was
    /// not known before.
    pub(crate) fn apply(
        &mut self,
        from: MachineId,
        heartbeat: &mut ControlHeartbeat,
        now_ms: u64,
    ) -> bool {
        let reported = self.by_control.entry(from).or_default();
        reported.at_ms = now_ms;
        let has_gateways = heartbeat.gateways.is_some()
            || heartbeat.coordinators.is_some()
            || heartbeat.silent_coordinators.is_some();
        if has_gateways {
            self.merged.senders.clear();
        }
        if let Some(change) = heartbeat.control.take() {
            change.apply_to(&mut reported.control);
        }
        if let Some(change) = heartbeat.stores.take() {
            change.apply_to(&mut reported.stores);
        }
        if let Some(change) = heartbeat.store_members.take() {
            change.apply_to(&mut reported.store_members);
        }
        if let Some(change) = heartbeat.gateways.take() {
            change.apply_to(&mut reported.gateways);
        }
        if let Some(change) = heartbeat.coordinators.take() {
            change.apply_to(&mut reported.coordinators);
        }
        if let Some(change) = heartbeat.silent_coordinators.take() {
            change.apply_to(&mut reported.silent_coordinators);
        }
        let machines = |placed: &BTreeSet<PlacedMachine>| {
            let machines = placed.iter().map(|placed| placed.machine);
            machines.collect::<BTreeSet<MachineId>>()
        };
        let new_control = record_named(&mut self.control, &machines(&reported.control), now_ms);
        let members = machines(&reported.store_members);
        let new_store = record_named(&mut self.store_members, &members, now_ms);
        self.by_control
            .retain(|_, reported| now_ms.saturating_sub(reported.at_ms) < LINK_EXPIRY_MS);
        new_control || new_store
    }

    /// Machines of control to link to; the seeds too where none was heard of lately.
    pub(crate) fn control(&self, seeds: &[MachineId], now_ms: u64) -> BTreeSet<MachineId> {
        let mut machines: BTreeSet<MachineId> = self.control.keys().copied().collect();
        if self.silent_ms(now_ms) >= REPORT_VALID_MS || machines.is_empty() {
            machines.extend(seeds);
        }
        machines
    }

    /// Where machines of control are, as far as any of them knows.
    pub(crate) fn control_places(&self) -> BTreeMap<MachineId, Place> {
        places(
            self.recent_reports()
                .flat_map(|(_, reported)| &reported.control),
        )
    }

    /// When each machine of control was heard of last.
    pub(crate) fn control_last_contact_ms(&self) -> BTreeMap<MachineId, u64> {
        let reported = self.by_control.iter();
        reported
            .map(|(machine, reported)| (*machine, reported.at_ms))
            .collect()
    }

    /// Members of the job store to link to.
    pub(crate) fn store_members(&self) -> BTreeSet<MachineId> {
        self.store_members.keys().copied().collect()
    }

    /// Where members of the job store are, as far as any control member knows.
    pub(crate) fn store_places(&self) -> BTreeMap<MachineId, Place> {
        places(
            self.recent_reports()
                .flat_map(|(_, reported)| &reported.store_members),
        )
    }

    /// Machines with disks for the job store that any control member sees.
    pub(crate) fn stores(&self) -> BTreeSet<PresentStore> {
        let reported = self.recent_reports();
        reported
            .flat_map(|(_, reported)| &reported.stores)
            .cloned()
            .collect()
    }

    /// Ready gateways that any control member sees; one that is cut off from some
    /// gateways does not know all.
    pub(crate) fn gateways(&mut self) -> Arc<Vec<DirectoryNode>> {
        Arc::clone(&self.merged().gateways)
    }

    /// Gateways that coordinate slots, in a fixed order. The same value is returned as long
    /// as they are the same.
    pub(crate) fn coordinators(&mut self) -> Arc<Vec<PlacedGateway>> {
        Arc::clone(&self.merged().coordinators)
    }

    /// Gateways that no control member hears though some did lately: they may be cut off
    /// and go on.
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
        let reported = || self.recent_reports().map(|(_, reported)| reported);
        let gateways: BTreeSet<&DirectoryNode> =
            reported().flat_map(|reported| &reported.gateways).collect();
        let told_coordinators = reported().flat_map(|reported| &reported.coordinators);
        let coordinators = best_reported(told_coordinators);
        let reachable: BTreeSet<MachineId> =
            coordinators.iter().map(|known| known.machine).collect();
        let silent: BTreeSet<MachineId> = reported()
            .flat_map(|reported| &reported.silent_coordinators)
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

    /// How long no control member has been heard of, in milliseconds.
    pub(crate) fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.newest_ms())
    }

    fn newest_ms(&self) -> u64 {
        let reported = self.by_control.values();
        reported.map(|reported| reported.at_ms).max().unwrap_or(0)
    }

    /// What was told lately and by whom, as of the newest pulse.
    fn recent_reports(&self) -> impl Iterator<Item = (MachineId, &MemberReport)> {
        let valid_from = self.newest_ms().saturating_sub(REPORT_VALID_MS);
        let reported = self.by_control.iter();
        reported
            .filter(move |(_, reported)| reported.at_ms >= valid_from)
            .map(|(sender, reported)| (*sender, reported))
    }
}

/// Notes what was named just now, and forgets what was not named for long; true
/// when there is a new name.
fn record_named(
    recent_gateways: &mut BTreeMap<MachineId, u64>,
    now_named: &BTreeSet<MachineId>,
    now_ms: u64,
) -> bool {
    let mut has_new = false;
    for machine in now_named {
        has_new |= recent_gateways.insert(*machine, now_ms).is_none();
    }
    recent_gateways.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < LINK_EXPIRY_MS);
    has_new
}

/// Each gateway once, by machine: as a member told it that knows where it is, which one that
/// speaks an older format does not.
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

/// Where machines are, as far as it is known.
fn places<'a>(machines: impl Iterator<Item = &'a PlacedMachine>) -> BTreeMap<MachineId, Place> {
    let placed = machines.filter(|placed| !placed.place.zone.is_empty());
    placed
        .map(|placed| (placed.machine, placed.place.clone()))
        .collect()
}
