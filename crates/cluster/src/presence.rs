//! The nodes that are present, as reported by the nodes to a control member.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    format::Format,
    ids::{MachineId, MemberId},
};
use linnethitch_registry::{DirectoryNode, NodeList, Place, READY_TTL_MS};

use crate::{
    coordinators::Coordinators,
    gateway_formats::GatewayFormats,
    message::{
        NodeHello, NodeRole, PlacedGateway, PlacedMachine, PresentStore, ReachableGateway,
        StoreGroupView,
    },
    node_builds::{NodeBuild, NodeBuilds},
    relayed_presence::RelayedPresence,
    set_change::SetChange,
};

/// A control member or store counts as present for this long after the last contact, in
/// milliseconds.
const PRESENT_MS: u64 = 2_500;

/// Assumed age of another member's report on a gateway, in milliseconds: members repeat their
/// reports within this time, and the gateway is listed for this much less time after the report.
const RELAYED_AGE_MS: u64 = 500;

struct StoreContact {
    hello: NodeHello,
    at_ms: u64,
}

/// Gateways, stores and control members that had contact with this member.
#[derive(Default)]
pub(crate) struct Presence {
    gateways: NodeList,
    coordinators: Coordinators,
    /// Places of the gateways that coordinate slots.
    places: BTreeMap<MachineId, Place>,
    /// Gateways that this member reaches directly, and the time of the last contact.
    direct: BTreeMap<MachineId, (ReachableGateway, u64)>,
    relayed: RelayedPresence,
    /// Gateways that keep links to some members only, as reported to this or another member.
    partially_linked: BTreeSet<MachineId>,
    /// The formats that gateways support.
    formats: GatewayFormats,
    /// The builds of all nodes that this member reaches.
    builds: NodeBuilds,
    stores: BTreeMap<MachineId, StoreContact>,
    /// Places of control members and the time of the last contact.
    control: BTreeMap<MachineId, (Place, u64)>,
    /// When the newest store appeared.
    newest_store_ms: u64,
    store_group: Option<StoreGroupView>,
    /// Number of reported changes that other nodes should learn.
    change_count: u64,
}

impl Presence {
    /// Records a node's description of itself; true if other nodes should learn of it at once.
    pub(crate) fn record(&mut self, hello: NodeHello, now_ms: u64) -> bool {
        self.builds.record(&hello, now_ms);
        let is_urgent = match hello.role {
            NodeRole::Gateway => {
                let gateway = reachable_gateway(&hello);
                if gateway.linked.is_empty() {
                    self.partially_linked.remove(&gateway.machine);
                } else {
                    self.partially_linked.insert(gateway.machine);
                }
                let is_urgent = self.record_gateway(&gateway, now_ms);
                let contact = (gateway, now_ms);
                let before = self.direct.insert(hello.machine, contact);
                let contact = self.direct.get(&hello.machine).map(|(contact, _)| contact);
                self.change_count +=
                    u64::from(before.as_ref().map(|(contact, _)| contact) != contact);
                is_urgent
            }
            NodeRole::Control => {
                let contact = (hello.place(), now_ms);
                self.control.insert(hello.machine, contact).is_none()
            }
            NodeRole::Store => self.record_store(hello, now_ms),
        };
        self.change_count += u64::from(is_urgent);
        is_urgent
    }

    /// Number of reports and ended connections that changed the state. The present nodes may differ
    /// when this number changes or when a node becomes silent.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Records the end of a node's connection. A node that was silent before may be partitioned and
    /// still running; any other node has stopped.
    pub(crate) fn record_closed(
        &mut self,
        hello: &NodeHello,
        is_linked: bool,
        fell_silent: bool,
        now_ms: u64,
    ) {
        self.change_count += 1;
        self.direct.remove(&hello.machine);
        if !is_linked {
            // The node keeps links to other members, so the end of this link says nothing about the
            // node.
            return;
        }
        if let Some(address) = &hello.caller_address {
            self.gateways.remove(address);
        }
        if hello.coordinates && !fell_silent {
            self.coordinators.stop(hello.machine, now_ms);
            self.places.remove(&hello.machine);
        }
    }

    /// Applies another member's report on gateways without a link to this member; true if other
    /// nodes should learn of it at once. For all other gateways only direct contact counts: a
    /// report would briefly restore a gateway that has just ended.
    pub(crate) fn record_relayed(
        &mut self,
        own: MachineId,
        member: MachineId,
        reachable: Option<SetChange<ReachableGateway>>,
        stopped: Option<SetChange<MachineId>>,
        now_ms: u64,
    ) -> bool {
        let is_change = self.relayed.apply(member, reachable, stopped, now_ms);
        self.change_count += u64::from(is_change);
        let reachable: Vec<ReachableGateway> = self
            .relayed
            .reachable_from(member)
            .filter(|gateway| !gateway.linked.is_empty() && !gateway.linked.contains(&own))
            .filter(|gateway| !self.is_directly_reachable(gateway.machine, now_ms))
            .cloned()
            .collect();
        let mut is_urgent = false;
        for gateway in reachable {
            self.partially_linked.insert(gateway.machine);
            is_urgent |= self.record_gateway(&gateway, now_ms.saturating_sub(RELAYED_AGE_MS));
        }
        for machine in self.relayed.stopped_reported_by(member, now_ms) {
            let is_relayed = self.partially_linked.contains(&machine)
                && !self.is_directly_reachable(machine, now_ms);
            if is_relayed && self.coordinators.had_contact(machine) {
                is_urgent |= self.coordinators.stop(machine, now_ms);
                self.places.remove(&machine);
            }
        }
        self.change_count += u64::from(is_urgent);
        is_urgent
    }

    fn is_directly_reachable(&self, machine: MachineId, now_ms: u64) -> bool {
        let contact = self.direct.get(&machine);
        contact.is_some_and(|(_, at_ms)| now_ms.saturating_sub(*at_ms) <= READY_TTL_MS)
    }

    /// Gateways that stopped recently and kept links to some members only.
    pub(crate) fn stopped_partially_linked(&self, now_ms: u64) -> BTreeSet<MachineId> {
        let stopped = self.coordinators.stopped(now_ms);
        stopped
            .intersection(&self.partially_linked)
            .copied()
            .collect()
    }

    /// Gateways that this member reaches directly and that keep links to some members only.
    pub(crate) fn directly_reachable(&self, now_ms: u64) -> BTreeSet<ReachableGateway> {
        let contact = self.direct.values();
        contact
            .filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) <= READY_TTL_MS)
            .map(|(gateway, _)| gateway)
            .filter(|gateway| !gateway.linked.is_empty())
            .cloned()
            .collect()
    }

    /// Gateways that coordinate slots.
    pub(crate) fn coordinators(&self) -> &Coordinators {
        &self.coordinators
    }

    /// Reachable gateways that coordinate slots, and their places.
    pub(crate) fn placed_coordinators(&self, now_ms: u64) -> BTreeSet<PlacedGateway> {
        let present = self.coordinators.present(now_ms).into_iter();
        let placed = present.map(|machine| PlacedGateway {
            place: self.places.get(&machine).cloned().unwrap_or_default(),
            newest_format: self.formats.newest_of(machine),
            machine,
        });
        placed.collect()
    }

    /// Number of nodes that this member reaches, by build.
    pub(crate) fn builds(&self, now_ms: u64) -> BTreeMap<NodeBuild, usize> {
        self.builds.counts(now_ms)
    }

    /// Whether every gateway that had recent contact, and may still be running, can read a format.
    pub(crate) fn gateways_read(&self, format: Format, now_ms: u64) -> bool {
        self.formats.all_read(format, now_ms)
    }

    pub(crate) fn gateways(&self) -> &NodeList {
        &self.gateways
    }

    /// Stores that are present.
    pub(crate) fn stores(&self, now_ms: u64) -> Vec<PresentStore> {
        let present = self.present_stores(now_ms);
        present
            .map(|hello| PresentStore {
                name: hello.name.clone(),
                machine: hello.machine,
                member: hello.member,
                newest_format: hello.newest_format,
            })
            .collect()
    }

    /// Control members that are present, and their places.
    pub(crate) fn control(&self, now_ms: u64) -> impl Iterator<Item = (MachineId, &Place)> {
        let contact = self.control.iter();
        contact
            .filter(move |(_, (_, at_ms))| is_present(*at_ms, now_ms))
            .map(|(machine, (place, _))| (*machine, place))
    }

    /// Members of the job store and, where known, their places.
    pub(crate) fn store_members(&self) -> BTreeSet<PlacedMachine> {
        let group = self.store_group.iter();
        let machines = group.flat_map(|group| &group.machines);
        let placed = machines.map(|machine| PlacedMachine {
            machine: *machine,
            place: self
                .stores
                .get(machine)
                .map(|contact| contact.hello.place())
                .unwrap_or_default(),
        });
        placed.collect()
    }

    /// The job store as last reported by its leader.
    pub(crate) fn store_group(&self) -> Option<&StoreGroupView> {
        self.store_group.as_ref()
    }

    /// Disks that wait for a first membership, once no new one has appeared for a while.
    pub(crate) fn forming_stores(
        &self,
        now_ms: u64,
        quiet_ms: u64,
    ) -> Option<Vec<(MemberId, Place)>> {
        let forming = self.present_stores(now_ms).filter(|hello| hello.forming);
        let members = forming.filter_map(|hello| Some((hello.member?, hello.place())));
        let members: Vec<(MemberId, Place)> = members.collect();
        let is_empty = now_ms >= self.newest_store_ms + quiet_ms;
        (is_empty && !members.is_empty()).then_some(members)
    }

    /// Records a gateway; true if other nodes should learn of it at once.
    fn record_gateway(&mut self, gateway: &ReachableGateway, now_ms: u64) -> bool {
        let (machine, format) = (gateway.machine, gateway.newest_format);
        let format_changed = self.formats.record(machine, format, now_ms);
        self.change_count += u64::from(format_changed);
        if let Some(address) = &gateway.caller_address {
            let node = DirectoryNode {
                address: address.clone(),
                zone: gateway.place.zone.clone(),
                region: gateway.place.region.clone(),
            };
            let is_change = self.gateways.record(node, gateway.ready, now_ms);
            self.change_count += u64::from(is_change);
        }
        self.record_coordinator(gateway, now_ms)
    }

    fn record_coordinator(&mut self, gateway: &ReachableGateway, now_ms: u64) -> bool {
        if !gateway.coordinates {
            self.places.remove(&gateway.machine);
            return self.coordinators.stop(gateway.machine, now_ms);
        }
        self.places.insert(gateway.machine, gateway.place.clone());
        let is_new = self.coordinators.record(gateway.machine, now_ms);
        if is_new {
            let coordinators = &self.coordinators;
            self.places
                .retain(|machine, _| coordinators.had_contact(*machine));
        }
        is_new
    }

    fn record_store(&mut self, hello: NodeHello, now_ms: u64) -> bool {
        let has_new_members = self.record_store_group(hello.store_group.as_ref());
        let machine = hello.machine;
        let member = hello.member;
        let contact = StoreContact {
            hello,
            at_ms: now_ms,
        };
        let before = self.stores.insert(machine, contact);
        if before.is_none() {
            self.newest_store_ms = now_ms;
        }
        has_new_members || before.is_none_or(|before| before.hello.member != member)
    }

    /// Records the group of the job store; true if its members changed.
    fn record_store_group(&mut self, group: Option<&StoreGroupView>) -> bool {
        let known = self.store_group.as_ref();
        let newer = group.filter(|group| known.is_none_or(|known| known.term <= group.term));
        let Some(newer) = newer else {
            return false;
        };
        let is_change = known.is_none_or(|known| known.machines != newer.machines);
        self.store_group = Some(newer.clone());
        is_change
    }

    fn present_stores(&self, now_ms: u64) -> impl Iterator<Item = &NodeHello> {
        let stores = self.stores.values();
        stores
            .filter(move |contact| is_present(contact.at_ms, now_ms))
            .map(|contact| &contact.hello)
    }
}

fn reachable_gateway(hello: &NodeHello) -> ReachableGateway {
    ReachableGateway {
        machine: hello.machine,
        place: hello.place(),
        caller_address: hello.caller_address.clone(),
        ready: hello.ready,
        coordinates: hello.coordinates,
        linked: hello.linked.clone(),
        newest_format: hello.newest_format,
    }
}

fn is_present(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) <= PRESENT_MS
}
