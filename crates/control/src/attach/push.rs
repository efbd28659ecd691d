//! What a gateway is told without asking: configuration, stopped jobs,
//! replicas, loads and how fresh this member's knowledge is.

use std::time::Duration;

use linnethitch_protocol::{attach::ControlMessage, ids::LogIndex};
use linnethitch_transport::SendRefused;
use tokio::{sync::watch, time::MissedTickBehavior};

use super::{AttachServer, session::GatewaySender};
use crate::{
    driver::{ChangeMark, Driver, Held},
    soft_state::{FleetVersion, SharedSoftState},
};

/// Time between two freshness stamps.
const STAMP_INTERVAL: Duration = Duration::from_millis(400);

/// Tells one gateway what is new.
pub(super) struct Push {
    driver: Driver,
    soft_state: SharedSoftState,
    clock: crate::clock::Clock,
    sender: GatewaySender,
    marks: watch::Receiver<ChangeMark>,
    fleet_changed: watch::Receiver<FleetVersion>,
    held: Held,
    stopped_told: LogIndex,
    fleet_told: Option<FleetVersion>,
}

impl Push {
    pub(super) fn new(server: &AttachServer, sender: &GatewaySender, held: Held) -> Self {
        Push {
            driver: server.driver.clone(),
            soft_state: server.soft_state.clone(),
            clock: server.clock,
            sender: sender.clone(),
            marks: server.driver.marks(),
            fleet_changed: server.fleet_changed.clone(),
            held,
            stopped_told: LogIndex(0),
            fleet_told: None,
        }
    }

    /// Tells what is new until the connection takes no more; gives the reason.
    pub(super) async fn run(&mut self) -> String {
        match self.tell_for_ever().await {
            Ok(()) => "this member is stopping".to_owned(),
            Err(refused) => format!("the gateway takes no messages: {refused:?}"),
        }
    }

    async fn tell_for_ever(&mut self) -> Result<(), SendRefused> {
        let view = self.driver.view();
        self.send(&ControlMessage::Attached {
            member: view.id,
            members: view.attach_addresses.to_vec(),
        })?;
        if !self.tell_changes().await? {
            return Ok(());
        }
        self.tell_fleet()?;
        let mut stamps = tokio::time::interval(STAMP_INTERVAL);
        stamps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = self.marks.changed() => {
                    let open = changed.is_ok() && self.tell_changes().await?;
                    if !open {
                        return Ok(());
                    }
                }
                Ok(()) = self.fleet_changed.changed() => self.tell_fleet()?,
                _ = stamps.tick() => self.stamp()?,
            }
        }
    }

    /// Sends new revisions and stopped jobs; `false` when the member has stopped.
    async fn tell_changes(&mut self) -> Result<bool, SendRefused> {
        self.marks.borrow_and_update();
        let Some(changes) = self
            .driver
            .changes_since(self.held, self.stopped_told)
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
        self.held = Held {
            revision: changes.revision,
            digest: None,
        };
        self.stopped_told = changes.told;
        Ok(true)
    }

    /// Sends replicas and loads that have changed.
    fn tell_fleet(&mut self) -> Result<(), SendRefused> {
        self.fleet_changed.borrow_and_update();
        let delta = {
            let fleet = &self.soft_state.lock().fleet;
            match self.fleet_told {
                Some(told) => fleet.since(told),
                None => fleet.whole(),
            }
        };
        self.fleet_told = Some(delta.version);
        if !delta.keeps_replicas() {
            self.send(&ControlMessage::Replicas {
                full: delta.full,
                changed: delta.changed,
                removed: delta.removed,
            })?;
        }
        if !delta.loads.is_empty() {
            self.send_soft(&ControlMessage::Loads(delta.loads))?;
        }
        Ok(())
    }

    fn stamp(&self) -> Result<(), SendRefused> {
        let view = self.driver.view();
        self.send_soft(&ControlMessage::Freshness {
            confirmed_at: view.confirmed_at,
            now: self.clock.wall(),
            revision: view.revision,
            pending: view.pending.clone(),
        })
    }

    /// Queues what must not be lost: a gateway that reads too slowly is let go.
    fn send(&self, message: &ControlMessage) -> Result<(), SendRefused> {
        self.sender.try_send(message)
    }

    /// Queues what the next one replaces.
    fn send_soft(&self, message: &ControlMessage) -> Result<(), SendRefused> {
        match self.sender.send_soft(message) {
            Err(SendRefused::Full) => Ok(()),
            outcome => outcome,
        }
    }
}
