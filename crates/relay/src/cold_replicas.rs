//! Sends to replicas that may be cold: asks [`ColdReplicas`] before each, and tells what
//! became of it.

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

/// Older knowledge of which gateways there are is not taken, in milliseconds: a member of
/// control without the leader may hear of a part of them only.
const CURRENT_MS: u64 = 2_000;

/// Which replicas may be given a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ColdUse {
    /// Warm ones.
    Never,
    /// Those that are not warm and to which this gateway may send now.
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

    /// Notes a replica as the fleet has it now. Only those of services that declare what cold
    /// ones bear are kept.
    pub(crate) fn put(&self, fleet: &FleetView, record: &ReplicaRecord) {
        let now_ms = self.clock.now_ms();
        let mut replicas = self.replicas.lock();
        match cold_replica(fleet, record) {
            Some(replica) => replicas.put(replica, now_ms),
            None => replicas.remove(&record.reported.incarnation_key(), now_ms),
        }
    }

    /// Takes a replica off the list, by the key of its start.
    pub(crate) fn remove(&self, key: &str) {
        self.replicas.lock().remove(key, self.clock.now_ms());
    }

    /// Takes the gateways that control names now, and tells which replicas became cold or
    /// warm.
    pub(crate) fn upkeep(&self) {
        let now_ms = self.clock.now_ms();
        // The gateway has locks of its own.
        let is_current = self.gateway.knowledge_age_ms() <= CURRENT_MS;
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
            info!(self.logger, "replica: cold or warm"; "replica" => change.replica,
                "cold_ms" => change.cold_ms);
        }
    }

    /// Replicas of a service that are not to be chosen now.
    pub(crate) fn barred(&self, service: &str, cold_use: ColdUse) -> Vec<String> {
        let view = self.view();
        let replicas = self.replicas.lock();
        match cold_use {
            ColdUse::Never => replicas.not_warm(service, view),
            ColdUse::Only => replicas.blocked(service, view),
        }
    }

    /// Replicas of a service that are not warm and to which this gateway may send now.
    pub(crate) fn open(&self, service: &str) -> Vec<String> {
        let view = self.view();
        let replicas = self.replicas.lock();
        let mut open = replicas.not_warm(service, view);
        open.retain(|id| replicas.may_send(id, view).is_ok());
        open
    }

    /// Whether any replica of a service may be cold.
    pub(crate) fn concerns(&self, service: &str) -> bool {
        self.replicas.lock().has_replicas_of(service)
    }

    /// What keeps a request from all of these replicas.
    pub(crate) fn state_of_all(&self, replicas: &[String]) -> ColdState {
        let view = self.view();
        self.replicas.lock().state_of_all(replicas, view)
    }

    /// Items do not begin at replicas that are cold, and at others only where online
    /// requests may.
    pub(crate) fn bar_items(&self, engines: &mut [CoordinatedReplica]) {
        let view = self.view();
        let replicas = self.replicas.lock();
        for engine in engines {
            let is_cold = replicas.state(&engine.id, view) == ColdState::Cold;
            engine.open &= !is_cold && replicas.may_send(&engine.id, view).is_ok();
        }
    }

    /// How long until this gateway may send to one of these replicas that is not warm;
    /// `None` where all are warm, or it is not known.
    pub(crate) fn next_in(&self, candidates: &[String]) -> Option<Duration> {
        let view = self.view();
        let next_ms = self.replicas.lock().next_in_ms(candidates, view)?;
        Some(Duration::from_millis(next_ms))
    }

    /// A replica broke off or accepts no connection: it may be starting again.
    pub(crate) fn may_have_ended(&self, replica: &str) {
        let now_ms = self.clock.now_ms();
        self.replicas.lock().note_possible_restart(replica, now_ms);
    }

    /// A request is about to be sent; `None` where it must not be.
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
                self.turned_away(replica, outgoing, state, refusal);
                None
            }
        }
    }

    fn turned_away(&self, replica: &str, outgoing: &Outgoing, state: ColdState, refusal: Refusal) {
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

/// A send that counts for a replica. Where this is dropped without a word it may still
/// arrive.
pub(crate) struct CountedSend {
    sends: Arc<ColdSends>,
    replica: String,
    number: SendNumber,
    end: SendOutcome,
}

impl CountedSend {
    /// It is known what became of it.
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

/// A replica whose service declares what cold ones bear.
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
