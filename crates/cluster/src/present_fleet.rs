//! The nodes that are present, as seen by a control member, and what changed between two points in
//! time.
//!
//! Both are computed once for all connections: the cost of a connection depends on what is sent on
//! it, and it stores no list of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use linnethitch_clock::Instant;
use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::{DirectoryNode, Place};

use crate::{
    message::{PlacedGateway, PlacedMachine, PresentStore, ReachableGateway},
    set_change::{SetChange, set_change},
};

/// Maximum age of the presence snapshot shared by connections when a node has reported something
/// new since.
const SHARED_MAX_AGE: Duration = Duration::from_millis(20);
/// Maximum age of the snapshot when no node has reported anything new. A node may have become
/// silent since, which others learn at most this much later.
const SHARED_MAX_AGE_UNCHANGED: Duration = Duration::from_millis(100);
/// Maximum number of earlier snapshots whose difference to the current one is cached. Under
/// frequent changes connections send every 100 ms, which is five snapshots.
const MAX_CACHED_CHANGES: usize = 16;

/// The nodes that are present.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PresentFleet {
    /// Control members and their places.
    pub(crate) control: BTreeSet<PlacedMachine>,
    /// Places of the control members that are reachable, including this one.
    pub(crate) senders: BTreeMap<MachineId, Place>,
    /// Machines with disks for the job store.
    pub(crate) stores: BTreeSet<PresentStore>,
    /// Voters and learners of the job store.
    pub(crate) store_members: BTreeSet<PlacedMachine>,
    /// Ready gateways; `None` until control has had contact with all.
    pub(crate) gateways: Option<BTreeSet<DirectoryNode>>,
    /// Gateways that coordinate slots.
    pub(crate) coordinators: BTreeSet<PlacedGateway>,
    /// Former coordinators that are silent.
    pub(crate) silent_coordinators: BTreeSet<MachineId>,
    /// Gateways that this member reaches directly and that keep links to some members only.
    pub(crate) reachable: BTreeSet<ReachableGateway>,
    /// Those of them that stopped, as reported to this member directly.
    pub(crate) stopped: BTreeSet<MachineId>,
}

/// The changes between two points in time.
#[derive(Debug)]
pub(crate) struct PresenceChange {
    pub(crate) control: Option<SetChange<PlacedMachine>>,
    pub(crate) stores: Option<SetChange<PresentStore>>,
    pub(crate) store_members: Option<SetChange<PlacedMachine>>,
    pub(crate) gateways: Option<SetChange<DirectoryNode>>,
    pub(crate) coordinators: Option<SetChange<PlacedGateway>>,
    pub(crate) silent_coordinators: Option<SetChange<MachineId>>,
    pub(crate) reachable: Option<SetChange<ReachableGateway>>,
    pub(crate) stopped: Option<SetChange<MachineId>>,
}

impl PresenceChange {
    /// Changes since the last sent state; `None` if nothing was sent yet.
    fn between(last_sent: Option<&PresentFleet>, now: &PresentFleet) -> Self {
        let last_sent_gateways = last_sent.and_then(|last_sent| last_sent.gateways.as_ref());
        PresenceChange {
            control: set_change(last_sent.map(|last_sent| &last_sent.control), &now.control),
            stores: set_change(last_sent.map(|last_sent| &last_sent.stores), &now.stores),
            store_members: set_change(
                last_sent.map(|last_sent| &last_sent.store_members),
                &now.store_members,
            ),
            gateways: now
                .gateways
                .as_ref()
                .and_then(|now| set_change(last_sent_gateways, now)),
            coordinators: set_change(
                last_sent.map(|last_sent| &last_sent.coordinators),
                &now.coordinators,
            ),
            silent_coordinators: set_change(
                last_sent.map(|last_sent| &last_sent.silent_coordinators),
                &now.silent_coordinators,
            ),
            reachable: set_change(
                last_sent.map(|last_sent| &last_sent.reachable),
                &now.reachable,
            ),
            stopped: set_change(last_sent.map(|last_sent| &last_sent.stopped), &now.stopped),
        }
    }
}

/// The last presence snapshot, and the changes from earlier ones.
#[derive(Default)]
pub(crate) struct SharedPresence {
    taken: Option<PresenceSnapshot>,
    changes: Vec<(Option<Arc<PresentFleet>>, Arc<PresenceChange>)>,
}

struct PresenceSnapshot {
    at: Instant,
    /// The change count at the time of the snapshot.
    change_count: u64,
    fleet: Arc<PresentFleet>,
}

impl SharedPresence {
    /// The nodes that are present, given the current change count. The same value is returned until
    /// something changes.
    pub(crate) fn now(
        &mut self,
        change_count: u64,
        observe: impl FnOnce() -> PresentFleet,
    ) -> Arc<PresentFleet> {
        let now = Instant::now();
        if let Some(taken) = &self.taken {
            let age = now.saturating_duration_since(taken.at);
            let holds_for = if taken.change_count == change_count {
                SHARED_MAX_AGE_UNCHANGED
            } else {
                SHARED_MAX_AGE
            };
            if age < holds_for {
                return Arc::clone(&taken.fleet);
            }
        }
        let fleet = observe();
        let previous = self.taken.take().map(|taken| taken.fleet);
        let fleet = match previous {
            Some(previous) if *previous == fleet => previous,
            _ => {
                self.changes.clear();
                Arc::new(fleet)
            }
        };
        self.taken = Some(PresenceSnapshot {
            at: now,
            change_count,
            fleet: Arc::clone(&fleet),
        });
        fleet
    }

    /// The changes to send to a node that was last sent `last_sent`.
    pub(crate) fn change(
        &mut self,
        last_sent: Option<&Arc<PresentFleet>>,
        now: &Arc<PresentFleet>,
    ) -> Arc<PresenceChange> {
        let is_same = |from: &Option<Arc<PresentFleet>>| match (from, last_sent) {
            (None, None) => true,
            (Some(from), Some(last_sent)) => Arc::ptr_eq(from, last_sent),
            _ => false,
        };
        let is_newest = |taken: &PresenceSnapshot| Arc::ptr_eq(&taken.fleet, now);
        if !self.taken.as_ref().is_some_and(is_newest) {
            // Another snapshot was taken meanwhile.
            return Arc::new(PresenceChange::between(last_sent.map(AsRef::as_ref), now));
        }
        if let Some((_, change)) = self.changes.iter().find(|(from, _)| is_same(from)) {
            return Arc::clone(change);
        }
        let change = Arc::new(PresenceChange::between(last_sent.map(AsRef::as_ref), now));
        if self.changes.len() == MAX_CACHED_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push((last_sent.cloned(), Arc::clone(&change)));
        change
    }
}
