//! The exchange of soft state between members, a few times a second.

use std::time::Duration;

use linnethitch_protocol::{attach::PeerMessage, ids::MachineId};
use tokio::{sync::watch, time::MissedTickBehavior};

use super::{FleetVersion, SharedSoftState};
use crate::{clock::Clock, driver::Driver, peers::PeerLinks};

/// Time between two exchanges.
const ROUND: Duration = Duration::from_millis(250);

/// What an exchange works with.
pub(crate) struct Rounds {
    pub(crate) soft_state: SharedSoftState,
    pub(crate) driver: Driver,
    pub(crate) links: PeerLinks,
    pub(crate) others: Vec<MachineId>,
    pub(crate) clock: Clock,
    /// Tells the sessions of gateways that the fleet has changed.
    pub(crate) fleet_changed: watch::Sender<FleetVersion>,
}

impl Rounds {
    /// Exchanges soft state for ever.
    pub(crate) async fn run(self) {
        let mut rounds = tokio::time::interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            self.round();
        }
    }

    fn round(&self) {
        let view = self.driver.view();
        let now_ms = self.clock.member_time().monotonic_ms;
        if view.leads {
            let mut soft_state = self.soft_state.lock();
            soft_state.lead(view.term, now_ms);
            let own = soft_state.digest(now_ms);
            soft_state.take_digest(own, now_ms);
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
        self.tell_sessions();
    }

    fn tell_sessions(&self) {
        let version = self.soft_state.lock().fleet.version();
        self.fleet_changed.send_if_modified(|told| {
            let changed = *told != version;
            *told = version;
            changed
        });
    }
}
