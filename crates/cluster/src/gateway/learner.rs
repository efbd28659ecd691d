//! What a gateway takes of control's pulses, and the links that it keeps.

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

use super::{GatewayNode, NamedGateway};
use crate::{
    incoming::Inbound,
    linked_members::{KnownMembers, LinkedMembers},
    message::{NodeMessage, PlacedGateway, Pulse},
    node::address_of,
    seeds::Seeds,
};

/// How often links are looked at.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// A member that was asked for everything is asked again after this: everything is a few
/// hundred kilobytes, and takes that long over a narrow link.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// A gateway that control named is told what ends replicas for so long, in milliseconds: one
/// that control does not hear, or that stops, may serve on.
const NAMED_FOR_MS: u64 = 60_000;

/// Takes what control tells.
pub(super) struct Learner {
    pub(super) gateway: GatewayNode,
    pub(super) seeds: Seeds,
    pub(super) fleet: FleetView,
    pub(super) teller: watch::Sender<Arc<FleetView>>,
    /// No control member was heard of for [`super::CONTROL_LOST_MS`].
    pub(super) control_lost: bool,
    /// Members are heard of, but for [`super::CONTROL_LOST_MS`] none that told all that is in
    /// force.
    pub(super) is_behind: bool,
    pub(super) linked: LinkedMembers,
    /// When each member was asked for everything last.
    pub(super) asked_for_all: BTreeMap<MachineId, Instant>,
    pub(super) logger: Logger,
}

impl Learner {
    pub(super) async fn run(mut self, mut inbox: mpsc::Receiver<Inbound>) {
        let mut ticks = interval(UPKEEP_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.gateway.note_running();
                    self.keep_links();
                    self.note_coordinators();
                    self.look_for_control();
                    self.look_for_news();
                }
                inbound = inbox.recv() => match inbound {
                    Some(Inbound::Message {
                        from,
                        message: NodeMessage::Pulse(pulse),
                        link_opened,
                        ..
                    }) => self.take(from, *pulse, link_opened),
                    Some(_) => {}
                    None => return,
                },
            }
        }
    }

    fn take(&mut self, from: MachineId, mut pulse: Pulse, link_opened: Option<Instant>) {
        let now_ms = self.gateway.clock.now_ms();
        self.note_control_heard(from, now_ms);
        let has_coordinators = pulse.coordinators.is_some();
        let names_others = self.gateway.told.lock().take(from, &mut pulse, now_ms);
        if names_others {
            self.keep_links();
        }
        if has_coordinators {
            self.note_coordinators();
        }
        if let Some(update) = pulse.update {
            self.take_update(from, update);
        }
        if pulse
            .current
            .is_some_and(|current| current <= self.fleet.up_to_index())
        {
            self.gateway.current_at_ms.store(now_ms, Ordering::Relaxed);
            self.note_news(link_opened);
        }
    }

    /// A member told all that is in force. A process that has just woken up learns by this
    /// that it stood still, before it takes what had waited for news.
    fn note_news(&self, link_opened: Option<Instant>) {
        self.gateway.note_running();
        if let Some(opened) = link_opened {
            self.gateway.standstill.note_news(opened);
        }
    }

    fn take_update(&mut self, from: MachineId, update: FleetUpdate) {
        if self.fleet.apply(update) {
            let upto = self.fleet.up_to_index();
            self.gateway.links.say(|hello| hello.upto = upto);
            let version = self.fleet.table().map(|table| table.version);
            let evacuated: Vec<&str> = self.fleet.evacuations().zones().collect();
            info!(self.logger, "fleet changed"; "upto" => upto.0, "version" => version,
                "evacuated" => evacuated.join(" "),
                "from" => address_of(from).to_string(),
                "replicas" => self.fleet.live_count());
            self.teller.send_replace(Arc::new(self.fleet.clone()));
        }
        if self.fleet.needs_full_update() {
            self.ask_for_all(from);
        }
    }

    /// What this control member told builds on something that is not known here, such as
    /// when another group took the place of the one that told before.
    fn ask_for_all(&mut self, from: MachineId) {
        let now = Instant::now();
        let asked = self.asked_for_all.get(&from);
        if asked.is_some_and(|asked| now < *asked + ASK_AGAIN_AFTER) {
            return;
        }
        self.asked_for_all.insert(from, now);
        let upto = self.fleet.up_to_index();
        warn!(self.logger, "fleet not known"; "upto" => upto.0,
            "from" => address_of(from).to_string());
        self.gateway.links.say(|hello| hello.upto = upto);
        self.gateway.links.send(from, &NodeMessage::TellAll);
    }

    /// Says once that members are heard of, but none that knows what is in force: it may be
    /// newer than what this gateway acts on.
    fn look_for_news(&mut self) {
        let age_ms = self.gateway.knowledge_age_ms();
        let is_behind = age_ms >= super::CONTROL_LOST_MS && !self.gateway.is_control_lost();
        if std::mem::replace(&mut self.is_behind, is_behind) == is_behind {
            return;
        }
        let version = self.fleet.table().map(|table| table.version);
        if is_behind {
            warn!(self.logger, "no member knows what is in force"; "age_ms" => age_ms,
                "upto" => self.fleet.up_to_index().0, "version" => version);
        } else {
            info!(self.logger, "what is in force is known again"; "age_ms" => age_ms,
                "upto" => self.fleet.up_to_index().0, "version" => version);
        }
    }

    /// Says once that control is away: what is in force here may be old from now on.
    fn look_for_control(&mut self) {
        let silent_ms = self.gateway.control_silent_ms();
        if self.control_lost || !self.gateway.is_control_lost() {
            return;
        }
        self.control_lost = true;
        let version = self.fleet.table().map(|table| table.version);
        warn!(self.logger, "control lost"; "silent_ms" => silent_ms,
            "upto" => self.fleet.up_to_index().0, "version" => version);
    }

    fn note_control_heard(&mut self, from: MachineId, now_ms: u64) {
        if !std::mem::take(&mut self.control_lost) {
            return;
        }
        let silent_ms = self.gateway.told.lock().silent_ms(now_ms);
        info!(self.logger, "control heard of again"; "silent_ms" => silent_ms,
            "from" => address_of(from).to_string());
    }

    fn note_named(&self, told: &[PlacedGateway]) {
        let silent = self.gateway.told.lock().silent_coordinators();
        let now_ms = self.gateway.clock.now_ms();
        let mut named = self.gateway.named.lock();
        named.retain(|_, gateway| now_ms < gateway.at_ms + NAMED_FOR_MS);
        for gateway in silent.iter() {
            named.entry(*gateway).or_default().at_ms = now_ms;
        }
        for gateway in told {
            let format = Some(gateway.common_format());
            let at_ms = now_ms;
            named.insert(gateway.machine, NamedGateway { at_ms, format });
        }
    }

    fn note_coordinators(&self) {
        let told = self.gateway.told.lock().coordinators();
        self.note_named(&told);
        let mut placed = self.gateway.placed.lock();
        if Arc::ptr_eq(&placed, &told) {
            return;
        }
        let machines: BTreeSet<MachineId> = told.iter().map(|gateway| gateway.machine).collect();
        let newest = self.gateway.links.newest_format();
        let witnesses = told
            .iter()
            .filter(|gateway| gateway.common_format().min(newest) >= Format::Second);
        let witnesses = witnesses.map(|gateway| gateway.machine).collect();
        *self.gateway.witnesses.lock() = Arc::new(witnesses);
        *self.gateway.coordinators.lock() = Arc::new(machines.into_iter().collect());
        *placed = told;
    }

    fn keep_links(&mut self) {
        let now_ms = self.gateway.clock.now_ms();
        let told = self.gateway.told.lock();
        let store_members = told.store_members();
        let machines = told.control(&self.seeds.machines(), now_ms);
        let places = told.control_places();
        let heard_ms = told.control_heard();
        drop(told);
        let links = &self.gateway.links;
        let speaks_first = |machine| links.format_with(machine) == Some(Format::First);
        let known = KnownMembers {
            machines: &machines,
            places: &places,
            heard_ms: &heard_ms,
            relay_nothing: machines.iter().any(|machine| speaks_first(*machine)),
        };
        let choice = self
            .linked
            .choose(self.gateway.own, &self.gateway.place, &known, now_ms);
        let mut wanted = choice.links;
        self.gateway.control.set_machines(wanted.clone());
        self.gateway
            .links
            .say(|hello| hello.linked.clone_from(&choice.linked));
        wanted.extend(&store_members);
        self.gateway.store.set_machines(store_members);
        self.gateway.links.keep(&wanted);
    }
}
