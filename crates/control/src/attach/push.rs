//! What a gateway is told without asking: configuration, stopped jobs,
//! replicas, loads and how fresh this member's knowledge is.

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
    driver::{ChangeMark, Driver, Held},
    load_teller::{LoadNews, LoadTeller},
    soft_state::{FleetVersion, SharedSoftState, SoftMark, VersionedFleet},
};

/// Time between two freshness stamps.
const STAMP_INTERVAL: Duration = Duration::from_millis(400);

/// Tells one gateway what is new.
pub(super) struct Push {
    driver: Driver,
    soft_state: SharedSoftState,
    clock: Clock,
    sender: GatewaySender,
    marks: watch::Receiver<ChangeMark>,
    soft_changes: watch::Receiver<SoftMark>,
    gateway: GatewayId,
    held: Held,
    stopped_told: LogIndex,
    fleet_told: Option<FleetVersion>,
    loads: LoadTeller,
}

/// A gateway and what it holds when it attaches.
pub(super) struct Told {
    pub(super) gateway: GatewayId,
    pub(super) zone: ZoneId,
    pub(super) held: Held,
}

impl Push {
    pub(super) fn new(server: &AttachServer, sender: &GatewaySender, told: Told) -> Self {
        Push {
            driver: server.driver.clone(),
            soft_state: server.soft_state.clone(),
            clock: server.clock,
            sender: sender.clone(),
            marks: server.driver.marks(),
            soft_changes: server.bell.hear(),
            gateway: told.gateway,
            held: told.held,
            stopped_told: LogIndex(0),
            fleet_told: None,
            loads: LoadTeller::new(told.zone),
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
        self.tell_soft_state()?;
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
                Ok(()) = self.soft_changes.changed() => self.tell_soft_state()?,
                _ = stamps.tick() => {
                    self.stamp()?;
                    // Loads that were over the budget earlier.
                    self.tell_soft_state()?;
                }
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

    /// Sends what has changed of replicas, loads and grants.
    fn tell_soft_state(&mut self) -> Result<(), SendRefused> {
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
        self.tell_loads(loads)?;
        if !grants.is_empty() {
            self.send_soft(&ControlMessage::Grants(grants))?;
        }
        Ok(())
    }

    fn tell_loads(&mut self, news: LoadNews) -> Result<(), SendRefused> {
        let mut messages = Vec::new();
        if !news.whole.is_empty() {
            messages.push(ControlMessage::Loads(news.whole));
        }
        if !news.digest.loads.is_empty() {
            messages.push(ControlMessage::LoadDigest(news.digest));
        }
        for message in messages {
            match self.sender.send_soft(&message) {
                Err(SendRefused::Full) => self.loads.forget_all(),
                outcome => outcome?,
            }
        }
        Ok(())
    }

    /// Replicas that have changed, once any list of them is known.
    fn replica_changes(&mut self, fleet: &VersionedFleet) -> Option<ControlMessage> {
        if !fleet.is_known() {
            return None;
        }
        let delta = match self.fleet_told {
            Some(told) => fleet.since(told),
            None => fleet.whole(),
        };
        self.fleet_told = Some(delta.version);
        let news = delta.full || !delta.changed.is_empty() || !delta.removed.is_empty();
        news.then_some(ControlMessage::Replicas {
            full: delta.full,
            changed: delta.changed,
            removed: delta.removed,
        })
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
