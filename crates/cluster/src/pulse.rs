//! What control tells the nodes that are connected to it: each role learns what
//! it needs, and only what changed since it was told last.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_registry::{DirectoryNode, FleetUpdate};
use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

use crate::{
    message::{NodeRole, PresentStore, Pulse},
    told_set::ToldSet,
};

/// Connections share one view of who is present that is no older than this.
const SHARED_FOR: Duration = Duration::from_millis(20);

/// Who is present, as a control member sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PresentFleet {
    /// Machines of control.
    pub(crate) control: BTreeSet<MachineId>,
    /// Machines with disks for the job store.
    pub(crate) stores: BTreeSet<PresentStore>,
    /// Voters and learners of the job store.
    pub(crate) store_members: BTreeSet<MachineId>,
    /// Gateways that are ready; `None` while control has not yet heard of all.
    pub(crate) gateways: Option<BTreeSet<DirectoryNode>>,
    /// Gateways that coordinate slots.
    pub(crate) coordinators: BTreeSet<MachineId>,
}

/// Where pulses come from. Clones share it.
#[derive(Clone)]
pub(crate) struct PulseSource {
    /// Changes whenever a pulse is worth sending at once.
    pub(crate) changes: watch::Receiver<u64>,
    present: Arc<dyn Fn() -> PresentFleet + Send + Sync>,
    update: Arc<dyn Fn(LogIndex) -> Option<FleetUpdate> + Send + Sync>,
    shared: Arc<Mutex<Option<(Instant, Arc<PresentFleet>)>>>,
}

impl PulseSource {
    /// A source that asks who is present, and what changed after an entry.
    pub(crate) fn new(
        changes: watch::Receiver<u64>,
        present: impl Fn() -> PresentFleet + Send + Sync + 'static,
        update: impl Fn(LogIndex) -> Option<FleetUpdate> + Send + Sync + 'static,
    ) -> Self {
        PulseSource {
            changes,
            present: Arc::new(present),
            update: Arc::new(update),
            shared: Arc::default(),
        }
    }

    /// Who is present now. The same value is returned as long as nothing changed.
    fn present(&self) -> Arc<PresentFleet> {
        let mut shared = self.shared.lock();
        let now = Instant::now();
        if let Some((taken, fleet)) = shared.as_ref()
            && now.duration_since(*taken) < SHARED_FOR
        {
            return Arc::clone(fleet);
        }
        let fleet = (self.present)();
        let held = shared.take().map(|(_, held)| held);
        let fleet = match held {
            Some(held) if *held == fleet => held,
            _ => Arc::new(fleet),
        };
        *shared = Some((now, Arc::clone(&fleet)));
        fleet
    }
}

/// What one connection was told.
pub(crate) struct ToldPulses {
    role: NodeRole,
    upto: LogIndex,
    last: Option<Arc<PresentFleet>>,
    control: ToldSet<MachineId>,
    stores: ToldSet<PresentStore>,
    store_members: ToldSet<MachineId>,
    gateways: ToldSet<DirectoryNode>,
    coordinators: ToldSet<MachineId>,
}

impl ToldPulses {
    /// Nothing was told yet to a node that knows the registry up to an entry.
    pub(crate) fn new(role: NodeRole, upto: LogIndex) -> Self {
        ToldPulses {
            role,
            upto,
            last: None,
            control: ToldSet::default(),
            stores: ToldSet::default(),
            store_members: ToldSet::default(),
            gateways: ToldSet::default(),
            coordinators: ToldSet::default(),
        }
    }

    /// The next pulse. It counts as told: the connection ends if it is not sent.
    pub(crate) fn next(&mut self, source: &PulseSource) -> Pulse {
        let mut pulse = Pulse {
            update: (source.update)(self.upto),
            ..Pulse::default()
        };
        if let Some(update) = &pulse.update {
            self.upto = update.upto;
        }
        let fleet = source.present();
        if self
            .last
            .as_ref()
            .is_some_and(|last| Arc::ptr_eq(last, &fleet))
        {
            return pulse;
        }
        pulse.control = self.control.change_to(&fleet.control);
        pulse.store_members = self.store_members.change_to(&fleet.store_members);
        match self.role {
            NodeRole::Store => pulse.stores = self.stores.change_to(&fleet.stores),
            NodeRole::Gateway => {
                let gateways = fleet.gateways.as_ref();
                pulse.gateways = gateways.and_then(|list| self.gateways.change_to(list));
                pulse.coordinators = self.coordinators.change_to(&fleet.coordinators);
            }
            NodeRole::Control => {}
        }
        self.last = Some(fleet);
        pulse
    }
}
