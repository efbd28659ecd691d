//! The periodic exchange of soft state between members.

use std::time::Duration;

use linnethitch_protocol::{attach::PeerMessage, ids::MachineId};
use tokio::{sync::watch, time::MissedTickBehavior};

use super::{SharedSoftState, SoftStateVersion};
use crate::{clock::Clock, driver::Driver, peers::PeerLinks};

/// Time between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Notifies the sessions of gateways of changed soft state. Clones share the subscribers.
#[derive(Clone)]
pub(crate) struct SoftStateNotifier {
    versions: watch::Sender<SoftStateVersion>,
}

impl SoftStateNotifier {
    pub(crate) fn new() -> Self {
        SoftStateNotifier {
            versions: watch::Sender::new(SoftStateVersion::default()),
        }
    }

    /// Wakes the sessions if the version has changed.
    pub(crate) fn notify(&self, version: SoftStateVersion) {
        self.versions.send_if_modified(|current| {
            let changed = *current != version;
            *current = version;
            changed
        });
    }

    /// Subscribes to changes from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<SoftStateVersion> {
        self.versions.subscribe()
    }
}

/// Sends this member's soft state to the other members.
pub(crate) struct SoftStateExchange {
    pub(crate) soft_state: SharedSoftState,
    pub(crate) driver: Driver,
    pub(crate) links: PeerLinks,
    pub(crate) others: Vec<MachineId>,
    pub(crate) clock: Clock,
    pub(crate) notifier: SoftStateNotifier,
}

impl SoftStateExchange {
    /// Exchanges soft state until the task is cancelled.
    pub(crate) async fn run(self) {
        let mut ticks = tokio::time::interval(EXCHANGE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.exchange();
        }
    }

    fn exchange(&self) {
        let view = self.driver.view();
        let now = self.clock.member_time();
        let now_ms = now.monotonic_ms;
        if view.leads {
            let mut soft_state = self.soft_state.lock();
            soft_state.lead(view.term, now_ms);
            let own = soft_state.digest(now_ms);
            soft_state.take_digest(own, now_ms);
            if let Some(rules) = &view.fleet {
                soft_state.allocate_grants(rules, now);
            }
            for machine in &self.others {
                let broadcast = soft_state.broadcast(*machine, view.applied);
                self.links
                    .send_soft(*machine, &PeerMessage::Broadcast(broadcast));
            }
        } else if let Some(leader) = view.leader {
            let digest = self.soft_state.lock().digest(now_ms);
            self.links
                .send_soft(leader.machine, &PeerMessage::Digest(digest));
        }
        self.notifier.notify(self.soft_state.lock().version());
    }
}
