//! A gateway as the other nodes see it: it learns the fleet from control and
//! calls the job store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use linnethitch_clock::{Clock, Instant, timeout};
use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_protocol::{ids::MachineId, slots::GatewayDatagram};
use linnethitch_registry::{
    DirectoryQuestion, EndedRun, FleetUpdate, FleetView, Place, RegistryCommand,
    RequestFingerprint, ZoneMap, near,
};
use linnethitch_transport::Datagrams;
use parking_lot::Mutex;
use slog::{Logger, error, info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::interval,
};

use crate::{
    client::GroupClient,
    datagram_bytes::DatagramBytes,
    incoming::Inbound,
    linked_members::{KnownMembers, LinkedMembers},
    links::Links,
    message::{NodeMessage, NodeRole, PlacedGateway, Pulse, RegistryCall, RegistryReply},
    node::{NodeBase, NodeSettings, address_of},
    seeds::Seeds,
    standstill::Standstill,
    told_fleet::ToldFleet,
};

/// How often links are looked at.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// A member that was asked for everything is asked again after this: everything is a few
/// hundred kilobytes, and takes that long over a narrow link.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Control counts as lost when none of its members was heard of for so long, in
/// milliseconds: three of its pulses were missed.
const CONTROL_LOST_MS: u64 = 1_800;
/// A gateway that control named is told what ends replicas for so long, in milliseconds: one
/// that control does not hear, or that stops, may serve on.
const NAMED_FOR_MS: u64 = 60_000;

/// A running gateway. Clones share it.
#[derive(Clone)]
pub struct GatewayNode {
    fleet: watch::Receiver<Arc<FleetView>>,
    links: Links,
    pub(crate) store: GroupClient<StoreCall>,
    control: GroupClient<RegistryCall>,
    own: MachineId,
    pub(crate) place: Place,
    port: u16,
    datagrams: Option<Datagrams<GatewayDatagram>>,
    datagram_bytes: DatagramBytes,
    pub(crate) told: Arc<Mutex<ToldFleet>>,
    /// Gateways that coordinate slots, in a fixed order.
    coordinators: Arc<Mutex<Arc<Vec<MachineId>>>>,
    /// The same ones, and where each is.
    placed: Arc<Mutex<Arc<Vec<PlacedGateway>>>>,
    /// Gateways that control named lately, also as silent, and when it did so last.
    named: Arc<Mutex<BTreeMap<MachineId, u64>>>,
    zones: Arc<ZoneMap>,
    clock: Clock,
    /// When this gateway last knew all that a control member knew to be in force.
    current_at_ms: Arc<AtomicU64>,
    standstill: Arc<Standstill>,
    logger: Logger,
}

impl GatewayNode {
    /// Starts to learn the fleet.
    #[must_use]
    pub fn start(settings: &NodeSettings, callers: String) -> Self {
        let (base, _) = NodeBase::start(settings, NodeRole::Gateway);
        base.links.say(|hello| hello.callers = Some(callers));
        let (teller, fleet) = watch::channel(Arc::new(FleetView::default()));
        let gateway = GatewayNode {
            fleet,
            links: base.links.clone(),
            store: GroupClient::new(base.links.clone(), None),
            control: GroupClient::new(base.links.clone(), None),
            own: settings.machine(),
            place: settings.place(),
            port: settings.port,
            datagrams: bind_datagrams(settings),
            datagram_bytes: DatagramBytes::default(),
            told: Arc::default(),
            coordinators: Arc::default(),
            placed: Arc::default(),
            named: Arc::default(),
            zones: Arc::new(settings.zones.clone()),
            clock: base.clock,
            current_at_ms: Arc::default(),
            standstill: Arc::default(),
            logger: settings.logger.clone(),
        };
        let learner = Learner {
            gateway: gateway.clone(),
            seeds: settings.seeds.clone(),
            fleet: FleetView::default(),
            teller,
            control_lost: false,
            linked: LinkedMembers::default(),
            asked_for_all: BTreeMap::new(),
            logger: settings.logger.clone(),
        };
        tokio::spawn(learner.run(base.inbox));
        gateway
    }

    /// The fleet as it is known now.
    #[must_use]
    pub fn fleet(&self) -> Arc<FleetView> {
        Arc::clone(&self.fleet.borrow())
    }

    /// Follows the fleet.
    #[must_use]
    pub fn follow(&self) -> watch::Receiver<Arc<FleetView>> {
        self.fleet.clone()
    }

    /// This machine.
    #[must_use]
    pub fn machine(&self) -> MachineId {
        self.own
    }

    /// Gateways that coordinate slots, in a fixed order, as control told lately.
    #[must_use]
    pub fn coordinators(&self) -> Arc<Vec<MachineId>> {
        Arc::clone(&self.coordinators.lock())
    }

    /// The same gateways, and where each is.
    #[must_use]
    pub fn placed_coordinators(&self) -> Arc<Vec<PlacedGateway>> {
        Arc::clone(&self.placed.lock())
    }

    /// The zones of the deployment.
    #[must_use]
    pub fn zones(&self) -> &ZoneMap {
        &self.zones
    }

    /// Number of members of control to which this gateway keeps links.
    #[must_use]
    pub fn control_links(&self) -> usize {
        self.links.count(&self.control.machines())
    }

    /// Gateways that control no longer hears though it did lately: they may be cut off and go
    /// on.
    #[must_use]
    pub fn silent_coordinators(&self) -> Vec<MachineId> {
        self.told.lock().silent_coordinators().to_vec()
    }

    /// Tells control that this gateway stops: others coordinate its slots.
    pub fn stop_coordinating(&self) {
        self.links.say(|hello| hello.coordinates = false);
    }

    /// Datagrams to and from other gateways; `None` where their port is taken.
    #[must_use]
    pub fn datagrams(&self) -> Option<Datagrams<GatewayDatagram>> {
        self.datagrams.clone()
    }

    /// Sends a datagram to another gateway; it may not arrive.
    pub fn send_datagram(&self, to: MachineId, message: &GatewayDatagram) {
        let Some(datagrams) = &self.datagrams else {
            return;
        };
        let address = SocketAddrV4::new(address_of(to), self.port);
        let bytes = datagrams.send(address, message);
        // By machine, as control's set of them is.
        let placed = self.placed_coordinators();
        let found = placed.binary_search_by_key(&to, |gateway| gateway.machine);
        // One that is not known any more has no zone.
        let zone = found.map_or("", |at| placed[at].place.zone.as_str());
        self.datagram_bytes.count(zone, bytes);
    }

    /// Bytes of the datagrams that were sent.
    #[must_use]
    pub fn datagram_bytes(&self) -> &DatagramBytes {
        &self.datagram_bytes
    }

    /// Addresses of ready gateways near a caller. While control is away, those
    /// that it told last.
    #[must_use]
    pub fn gateways_near(&self, question: &DirectoryQuestion<'_>) -> Vec<String> {
        let fleet = self.fleet();
        let table = fleet.table();
        let homes = table.and_then(|table| table.host_homes(question.host, &self.zones));
        let known = self.told.lock().gateways();
        near(&known, question, homes.as_ref())
    }

    /// How long no control member has been heard of, in milliseconds: what is in
    /// force here is at least so old.
    #[must_use]
    pub fn control_silent_ms(&self) -> u64 {
        self.told.lock().silent_ms(self.clock.now_ms())
    }

    /// Whether no control member was heard of for so long that three pulses were missed.
    #[must_use]
    pub fn is_control_lost(&self) -> bool {
        self.control_silent_ms() >= CONTROL_LOST_MS
    }

    /// How old what is known here may be, in milliseconds: the time since a control
    /// member that knew what is in force told no more than is known here. Such a member
    /// has heard the leader within a second.
    #[must_use]
    pub fn knowledge_age_ms(&self) -> u64 {
        let current_at_ms = self.current_at_ms.load(Ordering::Relaxed);
        self.clock.now_ms().saturating_sub(current_at_ms)
    }

    /// Waits, after this process stood still, until control has said what is in force now,
    /// or counts as lost. At any other time it returns at once.
    pub async fn news_after_standstill(&self) {
        let mut news = self.standstill.follow();
        loop {
            // One that stood still again while it waited wants news of after that.
            self.note_running();
            let Some(left) = self.standstill.news_wait() else {
                return;
            };
            // Where time is over it looks again, and goes on by what it knows.
            let _ = timeout(left, news.changed()).await;
        }
    }

    fn note_running(&self) {
        if let Some(still) = self.standstill.note_running() {
            warn!(self.logger, "stood still"; "still_ms" => still.as_millis() as u64,
                "upto" => self.fleet().upto().0);
        }
    }

    /// Tells control whether callers may come here.
    pub fn set_ready(&self, ready: bool) {
        self.links.say(|hello| hello.ready = ready);
    }

    /// Calls the job store's leader, until it answers or time is up.
    pub async fn call_store(&self, call: StoreCall, limit: Duration) -> StoreReply {
        self.store.call(call, limit).await
    }

    /// Every other gateway that control named within the last minute, in a fixed order.
    #[must_use]
    pub fn other_gateways(&self) -> Vec<MachineId> {
        let named = self.named.lock();
        let others = named.keys().filter(|gateway| **gateway != self.own);
        others.copied().collect()
    }

    /// Sends a datagram to other gateways; it may not arrive.
    pub fn tell_gateways(&self, gateways: &[MachineId], message: &GatewayDatagram) {
        for gateway in gateways {
            self.send_datagram(*gateway, message);
        }
    }

    /// Tells control that the start of a replica, by its key, ended under runs of this
    /// gateway; false when that was not held within the limit.
    pub async fn tell_replica_ended(
        &self,
        replica: &str,
        runs: Vec<EndedRun>,
        limit: Duration,
    ) -> bool {
        let command = RegistryCommand::ReplicaEnded {
            replica: replica.to_owned(),
            runs,
        };
        self.tell_control(command, limit).await
    }

    /// Tells control that a copy of a suspected request came to a whole answer; false
    /// when that was not held within the limit.
    pub async fn tell_cleared(&self, cleared: RequestFingerprint, limit: Duration) -> bool {
        let command = RegistryCommand::ClearSuspicions(vec![cleared]);
        self.tell_control(command, limit).await
    }

    /// Tells control that another incarnation answers in the place of this start; false when
    /// that was not held within the limit.
    pub async fn tell_not_there(&self, replica: &str, limit: Duration) -> bool {
        let command = RegistryCommand::NotThere(replica.to_owned());
        self.tell_control(command, limit).await
    }

    async fn tell_control(&self, command: RegistryCommand, limit: Duration) -> bool {
        let reply = self.control.call(RegistryCall::Propose(command), limit);
        matches!(reply.await, RegistryReply::Answer(_))
    }

    /// The clock of this process.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }
}

/// Without datagrams a gateway serves all the same, blind to the others' work.
fn bind_datagrams(settings: &NodeSettings) -> Option<Datagrams<GatewayDatagram>> {
    let address = SocketAddrV4::new(settings.address, settings.port);
    match Datagrams::bind(address, settings.identity.clone()) {
        Ok(datagrams) => Some(datagrams),
        Err(report) => {
            error!(settings.logger, "no datagrams"; "cause" => format!("{report:?}"));
            None
        }
    }
}

/// Takes what control tells.
struct Learner {
    gateway: GatewayNode,
    seeds: Seeds,
    fleet: FleetView,
    teller: watch::Sender<Arc<FleetView>>,
    /// No control member was heard of for [`CONTROL_LOST_MS`].
    control_lost: bool,
    linked: LinkedMembers,
    /// When each member was asked for everything last.
    asked_for_all: BTreeMap<MachineId, Instant>,
    logger: Logger,
}

impl Learner {
    async fn run(mut self, mut inbox: mpsc::Receiver<Inbound>) {
        let mut ticks = interval(UPKEEP_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.gateway.note_running();
                    self.keep_links();
                    self.note_coordinators();
                    self.look_for_control();
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
            .is_some_and(|current| current <= self.fleet.upto())
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
        if self.fleet.take(update) {
            let upto = self.fleet.upto();
            self.gateway.links.say(|hello| hello.upto = upto);
            let version = self.fleet.table().map(|table| table.version);
            let evacuated: Vec<&str> = self.fleet.evacuations().zones().collect();
            info!(self.logger, "fleet changed"; "upto" => upto.0, "version" => version,
                "evacuated" => evacuated.join(" "),
                "from" => address_of(from).to_string(),
                "replicas" => self.fleet.live_count());
            self.teller.send_replace(Arc::new(self.fleet.clone()));
        }
        if self.fleet.needs_whole() {
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
        let upto = self.fleet.upto();
        warn!(self.logger, "fleet not known"; "upto" => upto.0,
            "from" => address_of(from).to_string());
        self.gateway.links.say(|hello| hello.upto = upto);
        self.gateway.links.send(from, &NodeMessage::TellAll);
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
            "upto" => self.fleet.upto().0, "version" => version);
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
        let heard = told.iter().map(|gateway| gateway.machine);
        let mut named = self.gateway.named.lock();
        named.retain(|_, at_ms| now_ms < *at_ms + NAMED_FOR_MS);
        let all = heard.chain(silent.iter().copied());
        named.extend(all.map(|gateway| (gateway, now_ms)));
    }

    fn note_coordinators(&self) {
        let told = self.gateway.told.lock().coordinators();
        self.note_named(&told);
        let mut placed = self.gateway.placed.lock();
        if Arc::ptr_eq(&placed, &told) {
            return;
        }
        let machines: BTreeSet<MachineId> = told.iter().map(|gateway| gateway.machine).collect();
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
        let known = KnownMembers {
            machines: &machines,
            places: &places,
            heard_ms: &heard_ms,
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
