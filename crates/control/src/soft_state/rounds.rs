//! The exchange of soft state between members, a few times a second.

use std::time::Duration;

use linnethitch_protocol::{attach::PeerMessage, ids::MachineId};
use tokio::{sync::watch, time::MissedTickBehavior};

use super::{SharedSoftState, SoftMark};
use crate::{clock::Clock, driver::Driver, peers::PeerLinks};

/// Time between two exchanges.
const ROUND: Duration = Duration::from_millis(250);

/// Tells the sessions of gateways that there is something to tell. Clones share it.
#[derive(Clone)]
pub(crate) struct SoftBell {
    marks: watch::Sender<SoftMark>,
}

impl SoftBell {
    pub(crate) fn new() -> Self {
        SoftBell {
            marks: watch::Sender::new(SoftMark::default()),
        }
    }

    /// Wakes the sessions if the mark has changed.
    pub(crate) fn ring(&self, mark: SoftMark) {
        self.marks.send_if_modified(|told| {
            let changed = *told != mark;
            *told = mark;
            changed
        });
    }

    /// Hears of changes from now on.
    pub(crate) fn hear(&self) -> watch::Receiver<SoftMark> {
        self.marks.subscribe()
    }
}

/// What an exchange works with.
pub(crate) struct Rounds {
    pub(crate) soft_state: SharedSoftState,
    pub(crate) driver: Driver,
    pub(crate) links: PeerLinks,
    pub(crate) others: Vec<MachineId>,
    pub(crate) clock: Clock,
    pub(crate) bell: SoftBell,
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
        self.bell.ring(self.soft_state.lock().mark());
    }
}
