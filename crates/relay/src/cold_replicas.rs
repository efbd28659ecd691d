//! Sends to replicas that may be cold: checks [`ColdReplicas`] before each send and reports its
//! outcome.

use std::{sync::Arc, time::Duration};

use linnethitch_cluster::{Clock, GatewayNode};
use linnethitch_registry::{FleetView, ReplicaRecord};
use linnethitch_routing::cold::{
    ColdReplica, ColdReplicas, ColdSettings, ColdState, ColdView, Refusal, SendNumber, SendOutcome,
};
use linnethitch_routing::dispatch::CoordinatedReplica;
use parking_lot::Mutex;
use slog::{Logger, info};

use crate::{counters::Counters, exchange::Outgoing};

/// The list of gateways is ignored if it is older than this, in milliseconds: a control member
/// without contact to the leader may know only some of the gateways.
const MAX_KNOWLEDGE_AGE_MS: u64 = 2_000;

/// Which replicas a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ColdUse {
    /// Warm replicas only.
    Never,
    /// Replicas that are not warm and that this gateway may send to now.
    Only,
}

/// Sends of this gateway to replicas that may be cold.
pub(crate) struct ColdSends {
    gateway: GatewayNode,
    clock: Clock,
    counters: Arc<Counters>,
    logger: Logger,
    replicas: Mutex<ColdReplicas>,
}

impl ColdSends {
    pub(crate) fn new(
        gateway: GatewayNode,
        settings: ColdSettings,
        counters: Arc<Counters>,
        logger: Logger,
    ) -> Self {
        let clock = gateway.clock();
        let replicas = ColdReplicas::new(settings, gateway.machine());
        ColdSends {
            replicas: Mutex::new(replicas),
            gateway,
            clock,
            counters,
            logger,
        }
    }

    /// Updates a replica from the fleet view. Only replicas of services that declare limits for
    /// cold replicas are recorded.
    pub(crate) fn put(&self, fleet: &FleetView, record: &ReplicaRecord) {
        let now_ms = self.clock.now_ms();
        let mut replicas = self.replicas.lock();
        match cold_replica(fleet, record) {
            Some(replica) => replicas.put(replica, now_ms),
            None => replicas.remove(&record.reported.incarnation_key(), now_ms),
        }
    }

    /// Removes a replica by its incarnation key.
    pub(crate) fn remove(&self, key: &str) {
        self.replicas.lock().remove(key, self.clock.now_ms());
    }

    /// Updates the gateways that control lists, and logs replicas that became cold or warm.
    pub(crate) fn run_maintenance(&self) {
        let now_ms = self.clock.now_ms();
        // Called before the lock is taken, since the gateway has its own locks.
        let is_current = self.gateway.knowledge_age_ms() <= MAX_KNOWLEDGE_AGE_MS;
        let gateways = is_current.then(|| self.gateway.coordinators());
        let mut replicas = self.replicas.lock();
        if let Some(gateways) = gateways {
            replicas.note_gateways(&gateways, now_ms);
        }
        let changes = replicas.take_changes(now_ms);
        self.counters
            .cold_replicas
            .set(replicas.cold_count() as i64);
        drop(replicas);
        for change in changes {
            info!(self.logger, "replica: cold state changed"; "replica" => change.replica,
                "cold_ms" => change.cold_ms);
        }
    }

    /// Replicas of a service that must not be chosen now.
    pub(crate) fn excluded(&self, service: &str, cold_use: ColdUse) -> Vec<String> {
        let view = self.view();
        let replicas = self.replicas.lock();
        match cold_use {
            ColdUse::Never => replicas.not_warm(service, view),
            ColdUse::Only => replicas.blocked(service, view),
        }
    }

    /// Replicas of a service that are not warm and that this gateway may send to now.
    pub(crate) fn sendable(&self, service: &str) -> Vec<String> {
        let view = self.view();
        let replicas = self.replicas.lock();
        let mut open = replicas.not_warm(service, view);
        open.retain(|id| replicas.may_send(id, view).is_ok());
        open
    }

    /// Whether any replica of a service may be cold.
    pub(crate) fn may_be_cold(&self, service: &str) -> bool {
        self.replicas.lock().has_replicas_of(service)
    }

    /// Cold state shared by all of these replicas.
    pub(crate) fn state_of_all(&self, replicas: &[String]) -> ColdState {
        let view = self.view();
        self.replicas.lock().state_of_all(replicas, view)
    }

    /// Closes cold replicas to items. Other replicas are open to items only if online requests
    /// may be sent to them.
    pub(crate) fn close_cold_to_items(&self, engines: &mut [CoordinatedReplica]) {
        let view = self.view();
        let replicas = self.replicas.lock();
        for engine in engines {
            let is_cold = replicas.state(&engine.id, view) == ColdState::Cold;
            engine.open &= !is_cold && replicas.may_send(&engine.id, view).is_ok();
        }
    }

    /// Time until this gateway may send to one of these replicas that is not warm; `None` if all
    /// are warm or the time is not known.
    pub(crate) fn send_delay(&self, candidates: &[String]) -> Option<Duration> {
        let view = self.view();
        let next_ms = self.replicas.lock().next_in_ms(candidates, view)?;
        Some(Duration::from_millis(next_ms))
    }

    /// The replica broke a connection or accepts none: it may be restarting.
    pub(crate) fn note_possible_end(&self, replica: &str) {
        let now_ms = self.clock.now_ms();
        self.replicas.lock().note_possible_restart(replica, now_ms);
    }

    /// Counts a request that is about to be sent; `None` if it must not be sent.
    pub(crate) fn begin(
        self: &Arc<Self>,
        replica: &str,
        outgoing: &Outgoing,
    ) -> Option<CountedSend> {
        let view = self.view();
        let mut replicas = self.replicas.lock();
        let state = replicas.state(replica, view);
        let begun = replicas.begin(replica, view);
        drop(replicas);
        match begun {
            Ok(number) => {
                if state != ColdState::Warm {
                    self.counters.cold_sends.inc();
                }
                Some(CountedSend {
                    sends: Arc::clone(self),
                    replica: replica.to_owned(),
                    number,
                    end: SendOutcome::Unknown,
                })
            }
            Err(refusal) => {
                self.log_refusal(replica, outgoing, state, refusal);
                None
            }
        }
    }

    fn log_refusal(&self, replica: &str, outgoing: &Outgoing, state: ColdState, refusal: Refusal) {
        self.counters.cold_turned_away.inc();
        info!(self.logger, "request: not sent, the replica is not warm";
            "request" => outgoing.id(), "replica" => replica, "state" => state.as_str(),
            "cause" => refusal.as_str(),
            "control_silent_ms" => self.gateway.control_silent_ms());
    }

    fn view(&self) -> ColdView {
        ColdView {
            now_ms: self.clock.now_ms(),
            control_silent_ms: self.gateway.control_silent_ms(),
        }
    }
}

/// A counted send to a replica. If dropped without an outcome, the request may still arrive.
pub(crate) struct CountedSend {
    sends: Arc<ColdSends>,
    replica: String,
    number: SendNumber,
    end: SendOutcome,
}

impl CountedSend {
    /// Records the outcome of the send.
    pub(crate) fn ended(mut self, end: SendOutcome) {
        self.end = end;
    }
}

impl Drop for CountedSend {
    fn drop(&mut self) {
        let now_ms = self.sends.clock.now_ms();
        let mut replicas = self.sends.replicas.lock();
        replicas.end(&self.replica, self.number, self.end, now_ms);
    }
}

/// The cold-replica entry of a replica whose service declares limits for cold replicas.
fn cold_replica(fleet: &FleetView, record: &ReplicaRecord) -> Option<ColdReplica> {
    let table = fleet.table()?;
    let service = table.service(&record.reported.service)?;
    let cold = service.cold?;
    Some(ColdReplica {
        id: record.reported.incarnation_key(),
        service: record.reported.service.clone(),
        start_ms: cold.start_ms,
        rate_milli: cold.rate_milli,
        cold_ms: record.reported.cold_ms,
        changed_at: record.changed_at,
    })
}
