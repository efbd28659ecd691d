//! Heartbeats that control sends to connected nodes. Each role receives what it needs, and only
//! what changed since the last heartbeat.

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

/// The nearest control member sends a registry change to a node at once. Each further member waits
/// this much longer than the one before, unless the node acknowledges the change meanwhile: the
/// acknowledgement travels over a link between regions that carries other traffic.
const BACKUP_DELAY: Duration = Duration::from_millis(300);
/// Members with a higher rank send together with the member of this rank, so that a node whose
/// nearest members have all failed receives a change at most 1.2 s late.
const MAX_RANK: u32 = 4;

/// Creates the heartbeats of a control member. Clones share it.
#[derive(Clone)]
pub(crate) struct HeartbeatSource {
    /// Changes whenever a heartbeat should be sent at once.
    pub(crate) changes: watch::Receiver<u64>,
    own: MachineId,
    registry: Arc<dyn HeartbeatRegistry>,
    present: Arc<Mutex<SharedPresence>>,
}

/// The state of a control member that heartbeats carry.
pub(crate) trait HeartbeatRegistry: Send + Sync {
    /// Number of changes reported by nodes that other nodes should learn.
    fn presence_change_count(&self) -> u64;

    /// The nodes that are present now.
    fn present(&self) -> PresentFleet;

    /// Whether anything that a role needs changed in the registry after an entry; false if this
    /// member does not know the state in force.
    fn has_update(&self, role: NodeRole, since: LogIndex) -> bool;

    /// The registry changes after an entry that a role needs, as far as a format can express them;
    /// `None` if this member does not know the state in force.
    fn update(&self, role: NodeRole, format: Format, since: LogIndex) -> Option<FleetUpdate>;

    /// The newest change; `None` if this member does not know the state in force.
    fn current(&self) -> Option<LogIndex>;
}

impl HeartbeatSource {
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

    /// The nodes that are present now. The same value is returned until something changes.
    fn present(&self) -> Arc<PresentFleet> {
        let mut present = self.present.lock();
        let change_count = self.registry.presence_change_count();
        present.now(change_count, || self.registry.present())
    }
}

/// What was sent on one connection.
pub(crate) struct HeartbeatSession {
    /// The format of the connection.
    format: Format,
    machine: MachineId,
    place: Place,
    role: NodeRole,
    /// Control members that the node keeps links to; empty if it keeps links to all.
    linked: Vec<MachineId>,
    /// The newest registry change that was sent to the node or that the node knows.
    up_to_index: LogIndex,
    /// Since when a change is withheld because another control member should send it.
    withheld_since: Option<Instant>,
    /// How long the change is withheld.
    withheld: Duration,
    /// The nodes that were present at the last heartbeat.
    last_sent: Option<Arc<PresentFleet>>,
}

impl HeartbeatSession {
    /// A session in which nothing was sent yet.
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

    /// Records the node's latest description of itself.
    pub(crate) fn record_hello(&mut self, hello: &NodeHello) {
        self.linked.clone_from(&hello.linked);
    }

    /// Records that the node knows the registry up to an entry, whichever member sent it.
    pub(crate) fn record_known(&mut self, up_to_index: LogIndex) {
        if up_to_index > self.up_to_index {
            self.up_to_index = up_to_index;
            // Another member sends the updates, so the missing ones are on their way.
            self.withheld_since = None;
        }
    }

    /// Makes the next heartbeat send everything, because the node lacks the state that earlier
    /// updates build on.
    pub(crate) fn reset(&mut self) {
        self.up_to_index = LogIndex(0);
    }

    /// The newest registry change that was sent to the node or that the node knows.
    pub(crate) fn up_to_index(&self) -> LogIndex {
        self.up_to_index
    }

    /// The remaining time for which a change is withheld; `None` if no change is.
    pub(crate) fn withheld_for(&self) -> Option<Duration> {
        let since = self.withheld_since?;
        Some(self.withheld.saturating_sub(since.elapsed()))
    }

    /// The registry change that this member has to send now, if any.
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

    /// The next heartbeat. Its content counts as sent: the connection is closed if sending fails.
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
