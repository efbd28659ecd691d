//! What control tells the nodes that are connected to it: each role learns what
//! it needs, and only what changed since it was told last.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId},
};
use linnethitch_registry::{FleetUpdate, Place, notification_rank};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    message::{ControlHeartbeat, NodeHello, NodeRole},
    present_fleet::{PresentFleet, SharedPresence},
};

/// A node is told of a change of the registry by the nearest control member at once. Each
/// further one tells it so much later than the one before, should it not have said meanwhile
/// that it knows: its word comes back over a link between regions that carries traffic.
const BACKUP_DELAY: Duration = Duration::from_millis(300);
/// Members after this one tell together with it, so that a node whose nearest members are all
/// gone is told 1.2 s late at most.
const MAX_RANK: u32 = 4;

/// Where pulses come from. Clones share it.
#[derive(Clone)]
pub(crate) struct HeartbeatSource {
    /// Changes whenever a pulse is worth sending at once.
    pub(crate) changes: watch::Receiver<u64>,
    own: MachineId,
    registry: Arc<dyn HeartbeatRegistry>,
    present: Arc<Mutex<SharedPresence>>,
}

/// What a control member knows that pulses tell.
pub(crate) trait HeartbeatRegistry: Send + Sync {
    /// Counts what nodes said that others should learn.
    fn presence_change_count(&self) -> u64;

    /// Who is present now.
    fn present(&self) -> PresentFleet;

    /// Whether anything that a role needs of the registry changed after an entry, as far as
    /// this member knows what is in force.
    fn has_update(&self, role: NodeRole, since: LogIndex) -> bool;

    /// What changed after an entry of what a role needs of the registry, as a format can tell
    /// it; `None` where this member does not know what is in force.
    fn update(&self, role: NodeRole, format: Format, since: LogIndex) -> Option<FleetUpdate>;

    /// The newest change, where this member knows what is in force.
    fn current(&self) -> Option<LogIndex>;
}

impl HeartbeatSource {
    /// The source of a control member.
    pub(crate) fn new(
        own: MachineId,
        changes: watch::Receiver<u64>,
        registry: impl HeartbeatRegistry + 'static,
    ) -> Self {
        HeartbeatSource {
            own,
            changes,
            registry: Arc::new(registry),
            present: Arc::default(),
        }
    }

    /// Who is present now. The same value is returned as long as nothing changed.
    fn present(&self) -> Arc<PresentFleet> {
        let mut present = self.present.lock();
        let change_count = self.registry.presence_change_count();
        present.now(change_count, || self.registry.present())
    }
}

/// What one connection was told.
pub(crate) struct HeartbeatSession {
    /// The format of the connection.
    format: Format,
    machine: MachineId,
    place: Place,
    role: NodeRole,
    /// Members to which the node keeps links; empty where it does to all.
    linked: Vec<MachineId>,
    /// The newest change of the registry that the node was told or knows.
    up_to_index: LogIndex,
    /// Since when a change is withheld that another control member tells.
    withheld_since: Option<Instant>,
    /// How long it is withheld.
    withheld: Duration,
    /// Who was present when it was told last.
    last_sent: Option<Arc<PresentFleet>>,
}

impl HeartbeatSession {
    /// Nothing was told yet to a node.
    pub(crate) fn new(hello: &NodeHello, format: Format) -> Self {
        HeartbeatSession {
            format,
            machine: hello.machine,
            place: hello.place(),
            role: hello.role,
            linked: hello.linked.clone(),
            up_to_index: hello.up_to_index,
            withheld_since: None,
            withheld: Duration::ZERO,
            last_sent: None,
        }
    }

    /// Notes what the node says of itself by now.
    pub(crate) fn record_hello(&mut self, hello: &NodeHello) {
        self.linked.clone_from(&hello.linked);
    }

    /// Notes that the node knows the registry up to an entry, whoever told it.
    pub(crate) fn record_known(&mut self, up_to_index: LogIndex) {
        if up_to_index > self.up_to_index {
            self.up_to_index = up_to_index;
            // Somebody tells it: what is still missing is on its way.
            self.withheld_since = None;
        }
    }

    /// Notes that the node lacks what it was told before: everything is told once more.
    pub(crate) fn reset(&mut self) {
        self.up_to_index = LogIndex(0);
    }

    /// The newest change of the registry that the node was told or knows.
    pub(crate) fn up_to_index(&self) -> LogIndex {
        self.up_to_index
    }

    /// How long a change is still withheld; `None` where none is.
    pub(crate) fn withheld_for(&self) -> Option<Duration> {
        let since = self.withheld_since?;
        Some(self.withheld.saturating_sub(since.elapsed()))
    }

    /// What changed in the registry, if this member is to tell it now.
    fn update(
        &mut self,
        source: &HeartbeatSource,
        senders: &BTreeMap<MachineId, Place>,
    ) -> Option<FleetUpdate> {
        if !source.registry.has_update(self.role, self.up_to_index) {
            self.withheld_since = None;
            return None;
        }
        let is_linked =
            |machine: &MachineId| self.linked.is_empty() || self.linked.contains(machine);
        let senders = senders.iter().filter(|(machine, _)| is_linked(machine));
        let senders = senders.map(|(machine, place)| (*machine, place));
        let rank = notification_rank(self.machine, &self.place, source.own, senders);
        self.withheld = BACKUP_DELAY * MAX_RANK.min(rank as u32);
        let since = *self.withheld_since.get_or_insert_with(Instant::now);
        if since.elapsed() < self.withheld {
            return None;
        }
        self.withheld_since = None;
        let update = source
            .registry
            .update(self.role, self.format, self.up_to_index)?;
        self.up_to_index = update.up_to_index;
        Some(update)
    }

    /// The next pulse. It counts as told: the connection ends if it is not sent.
    pub(crate) fn next(&mut self, source: &HeartbeatSource) -> ControlHeartbeat {
        let fleet = source.present();
        let mut heartbeat = ControlHeartbeat {
            update: self.update(source, &fleet.senders),
            current: source.registry.current(),
            ..ControlHeartbeat::default()
        };
        if self
            .last_sent
            .as_ref()
            .is_some_and(|last_sent| Arc::ptr_eq(last_sent, &fleet))
        {
            return heartbeat;
        }
        let change = source
            .present
            .lock()
            .change(self.last_sent.as_ref(), &fleet);
        heartbeat.control.clone_from(&change.control);
        heartbeat.store_members.clone_from(&change.store_members);
        match self.role {
            NodeRole::Store => heartbeat.stores.clone_from(&change.stores),
            NodeRole::Gateway => {
                heartbeat.gateways.clone_from(&change.gateways);
                heartbeat.coordinators.clone_from(&change.coordinators);
                let silent = &change.silent_coordinators;
                heartbeat.silent_coordinators.clone_from(silent);
            }
            NodeRole::Control => {
                heartbeat.reachable.clone_from(&change.reachable);
                heartbeat.stopped.clone_from(&change.stopped);
            }
        }
        self.last_sent = Some(fleet);
        heartbeat
    }
}
