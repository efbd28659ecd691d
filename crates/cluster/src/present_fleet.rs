//! Who is present, as a control member sees it, and what changed between two moments.
//!
//! Both are worked out once for all connections: what a connection costs is what it is told,
//! and it holds no list of its own.

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

/// Connections share one view of who is present that is no older than this where a node said
/// something new since.
const SHARED_MAX_AGE: Duration = Duration::from_millis(20);
/// Where none did, a node may have fallen silent since: so long after it counts as silent the
/// others learn of it at most.
const SHARED_MAX_AGE_UNCHANGED: Duration = Duration::from_millis(100);
/// Earlier moments whose difference to now is kept: connections are told every 100 ms while
/// much happens, which is five moments.
const MAX_CACHED_CHANGES: usize = 16;

/// Who is present.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PresentFleet {
    /// Machines of control, and where they are.
    pub(crate) control: BTreeSet<PlacedMachine>,
    /// Where those of them are that were heard of lately, this one too.
    pub(crate) senders: BTreeMap<MachineId, Place>,
    /// Machines with disks for the job store.
    pub(crate) stores: BTreeSet<PresentStore>,
    /// Voters and learners of the job store.
    pub(crate) store_members: BTreeSet<PlacedMachine>,
    /// Gateways that are ready; `None` while control has not yet heard of all.
    pub(crate) gateways: Option<BTreeSet<DirectoryNode>>,
    /// Gateways that coordinate slots.
    pub(crate) coordinators: BTreeSet<PlacedGateway>,
    /// Gateways that did and fell silent.
    pub(crate) silent_coordinators: BTreeSet<MachineId>,
    /// Gateways that this member hears itself and that keep links to some members only.
    pub(crate) reachable: BTreeSet<ReachableGateway>,
    /// Those of them that stopped, as it heard itself.
    pub(crate) stopped: BTreeSet<MachineId>,
}

/// What changed between two moments.
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
    /// From what was told last; `None` where nothing was.
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

/// Who was present at the last look, and what changed since earlier ones.
#[derive(Default)]
pub(crate) struct SharedPresence {
    taken: Option<PresenceSnapshot>,
    changes: Vec<(Option<Arc<PresentFleet>>, Arc<PresenceChange>)>,
}

struct PresenceSnapshot {
    at: Instant,
    /// The number of news by then.
    change_count: u64,
    fleet: Arc<PresentFleet>,
}

impl SharedPresence {
    /// Who is present now, after so many news. The same value is returned as long as nothing
    /// changed.
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

    /// What is to be told of who is present now to one who was told `last_sent` last.
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
            // Another look came between.
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
