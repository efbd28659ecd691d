//! Who is present, as a node without a part in control learned it from control's
//! members. While control is away, what it told last holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::{DirectoryNode, Place};

use crate::message::{PlacedGateway, PlacedMachine, PresentStore, Pulse};

/// What a control member told counts for this long after it was last heard of,
/// compared with the one that was heard of last, in milliseconds.
const TOLD_VALID_MS: u64 = 3_000;
/// A machine that no pulse has named for so long is no longer linked to, in milliseconds.
const FORGOTTEN_MS: u64 = 10_000;

/// What one control member told.
#[derive(Clone, Debug, Default)]
struct Told {
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
pub(crate) struct ToldFleet {
    by_control: BTreeMap<MachineId, Told>,
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
    tellers: Vec<MachineId>,
    gateways: Arc<Vec<DirectoryNode>>,
    coordinators: Arc<Vec<PlacedGateway>>,
    silent_coordinators: Arc<Vec<MachineId>>,
}

impl ToldFleet {
    /// Takes a pulse of a control member; true when it named a machine that was
    /// not known before.
    pub(crate) fn take(&mut self, from: MachineId, pulse: &mut Pulse, now_ms: u64) -> bool {
        let told = self.by_control.entry(from).or_default();
        told.at_ms = now_ms;
        let tells_gateways = pulse.gateways.is_some()
            || pulse.coordinators.is_some()
            || pulse.silent_coordinators.is_some();
        if tells_gateways {
            self.merged.tellers.clear();
        }
        if let Some(change) = pulse.control.take() {
            change.apply_to(&mut told.control);
        }
        if let Some(change) = pulse.stores.take() {
            change.apply_to(&mut told.stores);
        }
        if let Some(change) = pulse.store_members.take() {
            change.apply_to(&mut told.store_members);
        }
        if let Some(change) = pulse.gateways.take() {
            change.apply_to(&mut told.gateways);
        }
        if let Some(change) = pulse.coordinators.take() {
            change.apply_to(&mut told.coordinators);
        }
        if let Some(change) = pulse.silent_coordinators.take() {
            change.apply_to(&mut told.silent_coordinators);
        }
        let machines = |placed: &BTreeSet<PlacedMachine>| {
            let machines = placed.iter().map(|placed| placed.machine);
            machines.collect::<BTreeSet<MachineId>>()
        };
        let new_control = note_named(&mut self.control, &machines(&told.control), now_ms);
        let members = machines(&told.store_members);
        let new_store = note_named(&mut self.store_members, &members, now_ms);
        self.by_control
            .retain(|_, told| now_ms.saturating_sub(told.at_ms) < FORGOTTEN_MS);
        new_control || new_store
    }

    /// Machines of control to link to; the seeds too where none was heard of lately.
    pub(crate) fn control(&self, seeds: &[MachineId], now_ms: u64) -> BTreeSet<MachineId> {
        let mut machines: BTreeSet<MachineId> = self.control.keys().copied().collect();
        if self.silent_ms(now_ms) >= TOLD_VALID_MS || machines.is_empty() {
            machines.extend(seeds);
        }
        machines
    }

    /// Where machines of control are, as far as any of them knows.
    pub(crate) fn control_places(&self) -> BTreeMap<MachineId, Place> {
        places(self.recent().flat_map(|(_, told)| &told.control))
    }

    /// When each machine of control was heard of last.
    pub(crate) fn control_heard(&self) -> BTreeMap<MachineId, u64> {
        let told = self.by_control.iter();
        told.map(|(machine, told)| (*machine, told.at_ms)).collect()
    }

    /// Members of the job store to link to.
    pub(crate) fn store_members(&self) -> BTreeSet<MachineId> {
        self.store_members.keys().copied().collect()
    }

    /// Where members of the job store are, as far as any control member knows.
    pub(crate) fn store_places(&self) -> BTreeMap<MachineId, Place> {
        places(self.recent().flat_map(|(_, told)| &told.store_members))
    }

    /// Machines with disks for the job store that any control member sees.
    pub(crate) fn stores(&self) -> BTreeSet<PresentStore> {
        let told = self.recent();
        told.flat_map(|(_, told)| &told.stores).cloned().collect()
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
        let tellers: Vec<MachineId> = self.recent().map(|(teller, _)| teller).collect();
        if self.merged.tellers != tellers {
            self.merge(tellers);
        }
        &self.merged
    }

    fn merge(&mut self, tellers: Vec<MachineId>) {
        let told = || self.recent().map(|(_, told)| told);
        let gateways: BTreeSet<&DirectoryNode> = told().flat_map(|told| &told.gateways).collect();
        let told_coordinators = told().flat_map(|told| &told.coordinators);
        let coordinators = told_best(told_coordinators);
        let heard: BTreeSet<MachineId> = coordinators.iter().map(|known| known.machine).collect();
        let silent: BTreeSet<MachineId> = told()
            .flat_map(|told| &told.silent_coordinators)
            .copied()
            .filter(|machine| !heard.contains(machine))
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
            tellers,
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
        let told = self.by_control.values();
        told.map(|told| told.at_ms).max().unwrap_or(0)
    }

    /// What was told lately and by whom, as of the newest pulse.
    fn recent(&self) -> impl Iterator<Item = (MachineId, &Told)> {
        let valid_from = self.newest_ms().saturating_sub(TOLD_VALID_MS);
        let told = self.by_control.iter();
        told.filter(move |(_, told)| told.at_ms >= valid_from)
            .map(|(teller, told)| (*teller, told))
    }
}

/// Notes what was named just now, and forgets what was not named for long; true
/// when there is a new name.
fn note_named(
    named: &mut BTreeMap<MachineId, u64>,
    now_named: &BTreeSet<MachineId>,
    now_ms: u64,
) -> bool {
    let mut is_news = false;
    for machine in now_named {
        is_news |= named.insert(*machine, now_ms).is_none();
    }
    named.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < FORGOTTEN_MS);
    is_news
}

/// Each gateway once, by machine: as a member told it that knows where it is, which one that
/// speaks an older format does not.
fn told_best<'a>(told: impl Iterator<Item = &'a PlacedGateway>) -> Vec<&'a PlacedGateway> {
    let mut best: BTreeMap<MachineId, &PlacedGateway> = BTreeMap::new();
    for gateway in told {
        let held = best.entry(gateway.machine).or_insert(gateway);
        let rank = |gateway: &PlacedGateway| {
            let is_placed = !gateway.place.zone.is_empty();
            (is_placed, gateway.newest_format)
        };
        if rank(gateway) > rank(held) {
            *held = gateway;
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
