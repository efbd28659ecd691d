//! Which nodes are present, as control hears it from them.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::{MachineId, MemberId};
use linnethitch_registry::{DirectoryNode, NodeList, Place};

use crate::{
    coordinators::Coordinators,
    message::{NodeHello, NodeRole, PlacedGateway, PlacedStore, PresentStore, StoreGroupView},
};

/// A control member or store counts as present for this long, in milliseconds.
const PRESENT_MS: u64 = 2_500;

struct Heard {
    hello: NodeHello,
    at_ms: u64,
}

/// Gateways, stores and control members that were heard of.
#[derive(Default)]
pub(crate) struct Presence {
    gateways: NodeList,
    coordinators: Coordinators,
    /// Where gateways are that coordinate slots.
    places: BTreeMap<MachineId, Place>,
    stores: BTreeMap<MachineId, Heard>,
    /// Control members: where they are and when they said so.
    control: BTreeMap<MachineId, (Place, u64)>,
    /// When the newest store appeared.
    newest_store_ms: u64,
    store_group: Option<StoreGroupView>,
    /// Counts what was said that is to be told.
    news: u64,
}

impl Presence {
    /// Notes what a node says of itself; true when others should learn of it at once.
    pub(crate) fn note(&mut self, hello: NodeHello, now_ms: u64) -> bool {
        let is_urgent = match hello.role {
            NodeRole::Gateway => {
                let is_news = self.note_gateway(&hello, now_ms);
                let is_urgent = self.note_coordinator(&hello, now_ms);
                self.news += u64::from(is_news);
                is_urgent
            }
            NodeRole::Control => {
                let heard = (hello.place(), now_ms);
                self.control.insert(hello.machine, heard).is_none()
            }
            NodeRole::Store => self.note_store(hello, now_ms),
        };
        self.news += u64::from(is_urgent);
        is_urgent
    }

    /// Counts what nodes said, and connections that ended: who is present may differ where
    /// this does, or where a node fell silent.
    pub(crate) fn news(&self) -> u64 {
        self.news
    }

    /// Notes that a node's connection ended. One that had fallen silent may be cut off and
    /// go on; any other has stopped.
    pub(crate) fn lose(&mut self, hello: &NodeHello, fell_silent: bool, now_ms: u64) {
        self.news += 1;
        if let Some(address) = &hello.callers {
            self.gateways.lose(address);
        }
        if hello.coordinates && !fell_silent {
            self.coordinators.stop(hello.machine, now_ms);
            self.places.remove(&hello.machine);
        }
    }

    /// Gateways that coordinate slots.
    pub(crate) fn coordinators(&self) -> &Coordinators {
        &self.coordinators
    }

    /// Gateways that coordinate slots and are heard of, and where they are.
    pub(crate) fn placed_coordinators(&self, now_ms: u64) -> BTreeSet<PlacedGateway> {
        let present = self.coordinators.present(now_ms).into_iter();
        let placed = present.map(|machine| PlacedGateway {
            place: self.places.get(&machine).cloned().unwrap_or_default(),
            machine,
        });
        placed.collect()
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
            })
            .collect()
    }

    /// Control machines that are present, and where they are.
    pub(crate) fn control(&self, now_ms: u64) -> impl Iterator<Item = (MachineId, &Place)> {
        let heard = self.control.iter();
        heard
            .filter(move |(_, (_, at_ms))| is_present(*at_ms, now_ms))
            .map(|(machine, (place, _))| (*machine, place))
    }

    /// Members of the job store, and where those are that were heard of.
    pub(crate) fn store_members(&self) -> BTreeSet<PlacedStore> {
        let group = self.store_group.iter();
        let machines = group.flat_map(|group| &group.machines);
        let placed = machines.map(|machine| PlacedStore {
            machine: *machine,
            place: self
                .stores
                .get(machine)
                .map(|heard| heard.hello.place())
                .unwrap_or_default(),
        });
        placed.collect()
    }

    /// The job store as its leader told last.
    pub(crate) fn store_group(&self) -> Option<&StoreGroupView> {
        self.store_group.as_ref()
    }

    /// Disks that wait for a first membership, once none has appeared for a while.
    pub(crate) fn forming_stores(
        &self,
        now_ms: u64,
        quiet_ms: u64,
    ) -> Option<Vec<(MemberId, Place)>> {
        let forming = self.present_stores(now_ms).filter(|hello| hello.forming);
        let members = forming.filter_map(|hello| Some((hello.member?, hello.place())));
        let members: Vec<(MemberId, Place)> = members.collect();
        let is_quiet = now_ms >= self.newest_store_ms + quiet_ms;
        (is_quiet && !members.is_empty()).then_some(members)
    }

    /// True when that is another one than before.
    fn note_gateway(&mut self, hello: &NodeHello, now_ms: u64) -> bool {
        let Some(address) = &hello.callers else {
            return false;
        };
        let node = DirectoryNode {
            address: address.clone(),
            zone: hello.zone.clone(),
            region: hello.region.clone(),
        };
        self.gateways.note(node, hello.ready, now_ms)
    }

    fn note_coordinator(&mut self, hello: &NodeHello, now_ms: u64) -> bool {
        if !hello.coordinates {
            self.places.remove(&hello.machine);
            return self.coordinators.stop(hello.machine, now_ms);
        }
        self.places.insert(hello.machine, hello.place());
        let is_new = self.coordinators.note(hello.machine, now_ms);
        if is_new {
            let coordinators = &self.coordinators;
            self.places
                .retain(|machine, _| coordinators.was_heard(*machine));
        }
        is_new
    }

    fn note_store(&mut self, hello: NodeHello, now_ms: u64) -> bool {
        let has_new_members = self.note_store_group(hello.store_group.as_ref());
        let machine = hello.machine;
        let member = hello.member;
        let heard = Heard {
            hello,
            at_ms: now_ms,
        };
        let before = self.stores.insert(machine, heard);
        if before.is_none() {
            self.newest_store_ms = now_ms;
        }
        has_new_members || before.is_none_or(|before| before.hello.member != member)
    }

    /// True when the job store has other members than were known.
    fn note_store_group(&mut self, group: Option<&StoreGroupView>) -> bool {
        let held = self.store_group.as_ref();
        let newer = group.filter(|group| held.is_none_or(|held| held.term <= group.term));
        let Some(newer) = newer else {
            return false;
        };
        let is_news = held.is_none_or(|held| held.machines != newer.machines);
        self.store_group = Some(newer.clone());
        is_news
    }

    fn present_stores(&self, now_ms: u64) -> impl Iterator<Item = &NodeHello> {
        let stores = self.stores.values();
        stores
            .filter(move |heard| is_present(heard.at_ms, now_ms))
            .map(|heard| &heard.hello)
    }
}

fn is_present(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) <= PRESENT_MS
}
