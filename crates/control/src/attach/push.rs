//! What a member sends to a gateway without a request: configuration, stopped jobs, replicas,
//! loads, grants and the freshness of the member's own state.

use std::{sync::Arc, time::Duration};

use linnethitch_protocol::{
    attach::ControlMessage,
    ids::{GatewayId, LogIndex, ZoneId},
};
use linnethitch_transport::SendRefused;
use tokio::{sync::watch, time::MissedTickBehavior};

use super::{AttachServer, session::GatewaySender};
use crate::{
    clock::Clock,
    driver::{ChangeVersion, Driver, GatewayConfiguration},
    load_selector::{LoadSelector, LoadUpdate},
    soft_state::{FleetVersion, SharedSoftState, SoftStateVersion, VersionedFleet},
};

/// Time between two freshness messages.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(400);

/// Sends updates to one gateway.
pub(super) struct Push {
    driver: Driver,
    soft_state: SharedSoftState,
    clock: Clock,
    sender: GatewaySender,
    changes: watch::Receiver<ChangeVersion>,
    soft_changes: watch::Receiver<SoftStateVersion>,
    gateway: GatewayId,
    configuration: GatewayConfiguration,
    stopped_sent: LogIndex,
    fleet_sent: Option<FleetVersion>,
    loads: LoadSelector,
}

/// What a gateway reports when it attaches.
pub(super) struct AttachingGateway {
    pub(super) gateway: GatewayId,
    pub(super) zone: ZoneId,
    pub(super) configuration: GatewayConfiguration,
}

impl Push {
    pub(super) fn new(
        server: &AttachServer,
        sender: &GatewaySender,
        attaching: AttachingGateway,
    ) -> Self {
        Push {
            driver: server.driver.clone(),
            soft_state: server.soft_state.clone(),
            clock: server.clock,
            sender: sender.clone(),
            changes: server.driver.subscribe_changes(),
            soft_changes: server.notifier.subscribe(),
            gateway: attaching.gateway,
            configuration: attaching.configuration,
            stopped_sent: LogIndex(0),
            fleet_sent: None,
            loads: LoadSelector::new(attaching.zone),
        }
    }

    /// Sends updates until the member stops or the connection accepts no more messages; returns
    /// the cause.
    pub(super) async fn run(&mut self) -> String {
        match self.send_updates().await {
            Ok(()) => "this member is stopping".to_owned(),
            Err(refused) => format!("cannot send to the gateway: {refused:?}"),
        }
    }

    async fn send_updates(&mut self) -> Result<(), SendRefused> {
        let view = self.driver.view();
        self.send(&ControlMessage::Attached {
            member: view.id,
            members: view.attach_addresses.to_vec(),
        })?;
        if !self.send_changes().await? {
            return Ok(());
        }
        self.send_soft_state()?;
        let mut ticks = tokio::time::interval(FRESHNESS_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = self.changes.changed() => {
                    let open = changed.is_ok() && self.send_changes().await?;
                    if !open {
                        return Ok(());
                    }
                }
                Ok(()) = self.soft_changes.changed() => self.send_soft_state()?,
                _ = ticks.tick() => {
                    self.send_freshness()?;
                    // Sends loads that were over the limit of earlier rounds.
                    self.send_soft_state()?;
                }
            }
        }
    }

    /// Sends new revisions and stopped jobs; `false` if the member has stopped.
    async fn send_changes(&mut self) -> Result<bool, SendRefused> {
        self.changes.borrow_and_update();
        let Some(changes) = self
            .driver
            .changes_since(self.configuration, self.stopped_sent)
            .await
        else {
            return Ok(false);
        };
        for update in changes.updates {
            self.send(&ControlMessage::Configuration(update))?;
        }
        if !changes.stopped.is_empty() {
            self.send(&ControlMessage::CancelJobs(changes.stopped))?;
        }
        self.configuration = GatewayConfiguration {
            revision: changes.revision,
            digest: None,
        };
        self.stopped_sent = changes.stopped_up_to;
        Ok(true)
    }

    /// Sends changed replicas and loads, and new grants.
    fn send_soft_state(&mut self) -> Result<(), SendRefused> {
        self.soft_changes.borrow_and_update();
        let now_ms = self.clock.member_time().monotonic_ms;
        let shared = Arc::clone(&self.soft_state);
        let mut soft_state = shared.lock();
        let replicas = self.replica_changes(&soft_state.fleet);
        let loads = self.loads.next(now_ms, soft_state.fleet.known_loads());
        let grants = soft_state.attached.take_grants(&self.gateway);
        drop(soft_state);
        if let Some(replicas) = replicas {
            self.send(&replicas)?;
        }
        self.send_loads(loads)?;
        if !grants.is_empty() {
            self.send_soft(&ControlMessage::Grants(grants))?;
        }
        Ok(())
    }

    fn send_loads(&mut self, update: LoadUpdate) -> Result<(), SendRefused> {
        let mut messages = Vec::new();
        if !update.full.is_empty() {
            messages.push(ControlMessage::Loads(update.full));
        }
        if !update.digest.loads.is_empty() {
            messages.push(ControlMessage::LoadDigest(update.digest));
        }
        for message in messages {
            match self.sender.send_soft(&message) {
                Err(SendRefused::Full) => self.loads.forget_all(),
                outcome => outcome?,
            }
        }
        Ok(())
    }

    /// The changes of replicas since the last message; `None` if nothing has changed or no list
    /// of replicas is known yet.
    fn replica_changes(&mut self, fleet: &VersionedFleet) -> Option<ControlMessage> {
        if !fleet.is_known() {
            return None;
        }
        let delta = match self.fleet_sent {
            Some(sent) => fleet.since(sent),
            None => fleet.full(),
        };
        self.fleet_sent = Some(delta.version);
        let has_changes = delta.full || !delta.changed.is_empty() || !delta.removed.is_empty();
        has_changes.then_some(ControlMessage::Replicas {
            full: delta.full,
            changed: delta.changed,
            removed: delta.removed,
        })
    }

    fn send_freshness(&self) -> Result<(), SendRefused> {
        let view = self.driver.view();
        self.send_soft(&ControlMessage::Freshness {
            confirmed_at: view.confirmed_at,
            now: self.clock.wall(),
            revision: view.revision,
            pending: view.pending.clone(),
        })
    }

    /// Queues a message that must not be lost; if the queue is full, the gateway reads too slowly
    /// and is disconnected.
    fn send(&self, message: &ControlMessage) -> Result<(), SendRefused> {
        self.sender.try_send(message)
    }

    /// Queues a message that a later one replaces; it is dropped if the queue is full.
    fn send_soft(&self, message: &ControlMessage) -> Result<(), SendRefused> {
        match self.sender.send_soft(message) {
            Err(SendRefused::Full) => Ok(()),
            outcome => outcome,
        }
    }
}
