//! Applies control's heartbeats to a gateway's view of the fleet and maintains the gateway's links.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use linnethitch_clock::Instant;
use linnethitch_protocol::{format::Format, ids::MachineId};
use linnethitch_registry::{FleetUpdate, FleetView};
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::interval,
};

use super::{GatewayNode, RecentGateway};
use crate::{
    incoming::Inbound,
    linked_members::{KnownMembers, LinkedMembers},
    message::{ControlHeartbeat, NodeMessage, PlacedGateway},
    node::address_of,
    seeds::Seeds,
};

/// Interval of link maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two requests for a full update to the same member: a full update has a few
/// hundred kilobytes and takes about this long over a slow link.
const FULL_UPDATE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// A gateway that control listed receives reports of requests that end replicas for this long
/// after, in milliseconds: a gateway that control cannot reach or that is stopping may still serve
/// requests.
const GATEWAY_RETENTION_MS: u64 = 60_000;

/// Applies control's updates.
pub(super) struct FleetUpdater {
    pub(super) gateway: GatewayNode,
    pub(super) seeds: Seeds,
    pub(super) fleet: FleetView,
    pub(super) publisher: watch::Sender<Arc<FleetView>>,
    /// Whether no control member has been reachable for [`super::CONTROL_LOST_MS`].
    pub(super) control_lost: bool,
    /// Whether control members are reachable, but none has sent the complete state in force for
    /// [`super::CONTROL_LOST_MS`].
    pub(super) is_behind: bool,
    pub(super) linked: LinkedMembers,
    /// When a full update was last requested from each member.
    pub(super) full_update_requested: BTreeMap<MachineId, Instant>,
    pub(super) logger: Logger,
}

impl FleetUpdater {
    pub(super) async fn run(mut self, mut inbox: mpsc::Receiver<Inbound>) {
        let mut ticks = interval(MAINTENANCE_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.gateway.record_running();
                    self.update_links();
                    self.update_coordinators();
                    self.log_control_loss();
                    self.log_staleness();
                }
                inbound = inbox.recv() => match inbound {
                    Some(Inbound::Message {
                        from,
                        message: NodeMessage::ControlHeartbeat(heartbeat),
                        link_opened,
                        ..
                    }) => self.handle(from, *heartbeat, link_opened),
                    Some(_) => {}
                    None => return,
                },
            }
        }
    }

    fn handle(
        &mut self,
        from: MachineId,
        mut heartbeat: ControlHeartbeat,
        link_opened: Option<Instant>,
    ) {
        let now_ms = self.gateway.clock.now_ms();
        self.log_control_contact(from, now_ms);
        let has_coordinators = heartbeat.coordinators.is_some();
        let has_new_machines = self
            .gateway
            .reported
            .lock()
            .apply(from, &mut heartbeat, now_ms);
        if has_new_machines {
            self.update_links();
        }
        if has_coordinators {
            self.update_coordinators();
        }
        if let Some(update) = heartbeat.update {
            self.apply_update(from, update);
        }
        if heartbeat
            .current
            .is_some_and(|current| current <= self.fleet.up_to_index())
        {
            self.gateway.current_at_ms.store(now_ms, Ordering::Relaxed);
            self.record_update(link_opened);
        }
    }

    /// Records that a member has sent the complete state in force. A process that has just resumed
    /// detects its pause here, before it processes the messages that waited for this update.
    fn record_update(&self, link_opened: Option<Instant>) {
        self.gateway.record_running();
        if let Some(opened) = link_opened {
            self.gateway.process_pause.record_update(opened);
        }
    }

    fn apply_update(&mut self, from: MachineId, update: FleetUpdate) {
        if self.fleet.apply(update) {
            let up_to_index = self.fleet.up_to_index();
            self.gateway
                .links
                .update_hello(|hello| hello.up_to_index = up_to_index);
            let version = self.fleet.table().map(|table| table.version);
            let evacuated: Vec<&str> = self.fleet.evacuations().zones().collect();
            info!(self.logger, "fleet changed"; "upto" => up_to_index.0, "version" => version,
                "evacuated" => evacuated.join(" "),
                "from" => address_of(from).to_string(),
                "replicas" => self.fleet.live_count());
            self.publisher.send_replace(Arc::new(self.fleet.clone()));
        }
        if self.fleet.needs_full_update() {
            self.request_full_update(from);
        }
    }

    /// Requests everything from a member whose update builds on a state that this gateway does not
    /// have, for example because another group replaced the previous control group.
    fn request_full_update(&mut self, from: MachineId) {
        let now = Instant::now();
        let last_requested = self.full_update_requested.get(&from);
        if last_requested
            .is_some_and(|last_requested| now < *last_requested + FULL_UPDATE_RETRY_INTERVAL)
        {
            return;
        }
        self.full_update_requested.insert(from, now);
        let up_to_index = self.fleet.up_to_index();
        warn!(self.logger, "full fleet update requested"; "upto" => up_to_index.0,
            "from" => address_of(from).to_string());
        self.gateway
            .links
            .update_hello(|hello| hello.up_to_index = up_to_index);
        self.gateway
            .links
            .send(from, &NodeMessage::FullUpdateRequest);
    }

    /// Logs once when control members are reachable but none knows the state in force, which may be
    /// newer than the state this gateway uses.
    fn log_staleness(&mut self) {
        let age_ms = self.gateway.knowledge_age_ms();
        let is_behind = age_ms >= super::CONTROL_LOST_MS && !self.gateway.is_control_lost();
        if std::mem::replace(&mut self.is_behind, is_behind) == is_behind {
            return;
        }
        let version = self.fleet.table().map(|table| table.version);
        if is_behind {
            warn!(self.logger, "no reachable control member knows the state in force";
                "age_ms" => age_ms, "upto" => self.fleet.up_to_index().0, "version" => version);
        } else {
            info!(self.logger, "state in force is known again"; "age_ms" => age_ms,
                "upto" => self.fleet.up_to_index().0, "version" => version);
        }
    }

    /// Logs once when control is unreachable: the state in force here may be outdated from now on.
    fn log_control_loss(&mut self) {
        let silent_ms = self.gateway.control_silent_ms();
        if self.control_lost || !self.gateway.is_control_lost() {
            return;
        }
        self.control_lost = true;
        let version = self.fleet.table().map(|table| table.version);
        warn!(self.logger, "control lost"; "silent_ms" => silent_ms,
            "upto" => self.fleet.up_to_index().0, "version" => version);
    }

    fn log_control_contact(&mut self, from: MachineId, now_ms: u64) {
        if !std::mem::take(&mut self.control_lost) {
            return;
        }
        let silent_ms = self.gateway.reported.lock().silent_ms(now_ms);
        info!(self.logger, "control reachable again"; "silent_ms" => silent_ms,
            "from" => address_of(from).to_string());
    }

    fn record_gateways(&self, reported: &[PlacedGateway]) {
        let silent = self.gateway.reported.lock().silent_coordinators();
        let now_ms = self.gateway.clock.now_ms();
        let mut recent_gateways = self.gateway.recent_gateways.lock();
        recent_gateways.retain(|_, gateway| now_ms < gateway.at_ms + GATEWAY_RETENTION_MS);
        for gateway in silent.iter() {
            recent_gateways.entry(*gateway).or_default().at_ms = now_ms;
        }
        for gateway in reported {
            let format = Some(gateway.common_format());
            let at_ms = now_ms;
            recent_gateways.insert(gateway.machine, RecentGateway { at_ms, format });
        }
    }

    fn update_coordinators(&self) {
        let reported = self.gateway.reported.lock().coordinators();
        self.record_gateways(&reported);
        let mut placed = self.gateway.placed.lock();
        if Arc::ptr_eq(&placed, &reported) {
            return;
        }
        let machines: BTreeSet<MachineId> =
            reported.iter().map(|gateway| gateway.machine).collect();
        let newest = self.gateway.links.newest_format();
        let witnesses = reported
            .iter()
            .filter(|gateway| gateway.common_format().min(newest) >= Format::Second);
        let witnesses = witnesses.map(|gateway| gateway.machine).collect();
        *self.gateway.witnesses.lock() = Arc::new(witnesses);
        *self.gateway.coordinators.lock() = Arc::new(machines.into_iter().collect());
        *placed = reported;
    }

    fn update_links(&mut self) {
        let now_ms = self.gateway.clock.now_ms();
        let reported = self.gateway.reported.lock();
        let store_members = reported.store_members();
        let machines = reported.control(&self.seeds.machines(), now_ms);
        let places = reported.control_places();
        let last_contact_ms = reported.control_last_contact_ms();
        drop(reported);
        let links = &self.gateway.links;
        let uses_first_format = |machine| links.format_with(machine) == Some(Format::First);
        let known = KnownMembers {
            machines: &machines,
            places: &places,
            last_contact_ms: &last_contact_ms,
            without_relay: machines.iter().any(|machine| uses_first_format(*machine)),
        };
        let choice = self
            .linked
            .choose(self.gateway.own, &self.gateway.place, &known, now_ms);
        let mut targets = choice.links;
        self.gateway.control.set_machines(targets.clone());
        self.gateway
            .links
            .update_hello(|hello| hello.linked.clone_from(&choice.linked));
        targets.extend(&store_members);
        self.gateway.store.set_machines(store_members);
        self.gateway.links.set_targets(&targets);
    }
}
