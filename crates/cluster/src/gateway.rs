//! A gateway as the other nodes see it: it learns the fleet from control and
//! calls the job store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_protocol::{ids::MachineId, slots::SlotMessage};
use linnethitch_registry::{DirectoryNode, FleetView, near};
use linnethitch_transport::Datagrams;
use parking_lot::Mutex;
use slog::{Logger, error, info};
use tokio::{
    sync::{mpsc, watch},
    time::interval,
};

use crate::{
    client::GroupClient,
    clock::Clock,
    incoming::Inbound,
    links::Links,
    message::{NodeMessage, NodeRole, Pulse},
    node::{NodeBase, NodeSettings, address_of},
};

/// How often links are looked at.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// A machine that no pulse has named for so long is no longer linked to.
const FORGOTTEN_MS: u64 = 10_000;
/// What a control machine told counts for this long.
const TOLD_VALID_MS: u64 = 3_000;

/// A running gateway. Clones share it.
#[derive(Clone)]
pub struct GatewayNode {
    fleet: watch::Receiver<Arc<FleetView>>,
    links: Links,
    store: GroupClient<StoreCall>,
    own: MachineId,
    port: u16,
    datagrams: Option<Datagrams<SlotMessage>>,
    control: Arc<Mutex<BTreeMap<MachineId, u64>>>,
    /// What each control machine told last of the gateways.
    gateways: Arc<Mutex<BTreeMap<MachineId, ToldGateways>>>,
    coordinators: Arc<Mutex<ToldCoordinators>>,
    clock: Clock,
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
            own: settings.machine(),
            port: settings.port,
            datagrams: bind_datagrams(settings),
            control: Arc::default(),
            gateways: Arc::default(),
            coordinators: Arc::default(),
            clock: base.clock,
        };
        let learner = Learner {
            gateway: gateway.clone(),
            seeds: settings.seed_machines(),
            stores: BTreeMap::new(),
            fleet: FleetView::default(),
            teller,
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
        Arc::clone(&self.coordinators.lock().merged)
    }

    /// Tells control that this gateway stops: others coordinate its slots.
    pub fn stop_coordinating(&self) {
        self.links.say(|hello| hello.coordinates = false);
    }

    /// Datagrams to and from other gateways; `None` where their port is taken.
    #[must_use]
    pub fn datagrams(&self) -> Option<Datagrams<SlotMessage>> {
        self.datagrams.clone()
    }

    /// Where a machine takes datagrams.
    #[must_use]
    pub fn datagram_address(&self, machine: MachineId) -> SocketAddrV4 {
        SocketAddrV4::new(address_of(machine), self.port)
    }

    /// Addresses of ready gateways near a caller. While control is away, those
    /// that it told last.
    #[must_use]
    pub fn gateways_near(&self, region: &str, zone: &str, most: usize) -> Vec<String> {
        let known: Vec<DirectoryNode> = self.known_gateways().into_iter().collect();
        near(&known, region, zone, most)
    }

    /// What any control machine told lately; one that is cut off from some
    /// gateways does not know all.
    fn known_gateways(&self) -> BTreeSet<DirectoryNode> {
        let now_ms = self.clock.now_ms();
        let told = self.gateways.lock();
        let newest_ms = told.values().map(|told| told.at_ms).max().unwrap_or(0);
        let valid_from = now_ms.saturating_sub(TOLD_VALID_MS).min(newest_ms);
        let recent = told.values().filter(|told| told.at_ms >= valid_from);
        recent.flat_map(|told| told.nodes.iter().cloned()).collect()
    }

    /// Tells control whether callers may come here.
    pub fn set_ready(&self, ready: bool) {
        self.links.say(|hello| hello.ready = ready);
    }

    /// Calls the job store's leader, until it answers or time is up.
    pub async fn call_store(&self, call: StoreCall, limit: Duration) -> StoreReply {
        self.store.call(call, limit).await
    }

    /// The clock of this process.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }
}

/// Without datagrams a gateway serves all the same, blind to the others' work.
fn bind_datagrams(settings: &NodeSettings) -> Option<Datagrams<SlotMessage>> {
    let address = SocketAddrV4::new(settings.address, settings.port);
    match Datagrams::bind(address, settings.identity.clone()) {
        Ok(datagrams) => Some(datagrams),
        Err(report) => {
            error!(settings.logger, "no datagrams"; "cause" => format!("{report:?}"));
            None
        }
    }
}

/// Ready gateways as one control machine told them.
struct ToldGateways {
    nodes: Vec<DirectoryNode>,
    /// When it was last heard of.
    at_ms: u64,
}

/// Gateways that coordinate slots, as control told.
#[derive(Default)]
struct ToldCoordinators {
    by_control: BTreeMap<MachineId, ToldMachines>,
    /// Those that any control machine told lately.
    merged: Arc<Vec<MachineId>>,
}

#[derive(Default)]
struct ToldMachines {
    machines: Vec<MachineId>,
    /// When the control machine was last heard of.
    at_ms: u64,
}

impl ToldCoordinators {
    fn merge(&mut self, now_ms: u64) {
        let valid_from = now_ms.saturating_sub(TOLD_VALID_MS);
        let told = self.by_control.values();
        let recent = told.filter(|told| told.at_ms >= valid_from);
        let merged: BTreeSet<MachineId> = recent.flat_map(|told| &told.machines).copied().collect();
        if !self.merged.iter().eq(merged.iter()) {
            self.merged = Arc::new(merged.into_iter().collect());
        }
    }
}

/// Takes what control tells.
struct Learner {
    gateway: GatewayNode,
    seeds: Vec<MachineId>,
    stores: BTreeMap<MachineId, u64>,
    fleet: FleetView,
    teller: watch::Sender<Arc<FleetView>>,
    logger: Logger,
}

impl Learner {
    async fn run(mut self, mut inbox: mpsc::Receiver<Inbound>) {
        let mut ticks = interval(UPKEEP_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.keep_links(),
                inbound = inbox.recv() => match inbound {
                    Some(Inbound::Message { from, message: NodeMessage::Pulse(pulse), .. }) => {
                        self.take(from, pulse);
                    }
                    Some(_) => {}
                    None => return,
                },
            }
        }
    }

    fn take(&mut self, from: MachineId, pulse: Pulse) {
        let now_ms = self.gateway.clock.now_ms();
        self.take_gateways(from, pulse.gateways, now_ms);
        self.take_coordinators(from, pulse.coordinators, now_ms);
        let mut is_news = false;
        {
            let mut control = self.gateway.control.lock();
            for machine in pulse.control {
                is_news |= control.insert(machine, now_ms).is_none();
            }
        }
        for store in pulse.stores {
            is_news |= self.stores.insert(store.machine, now_ms).is_none();
        }
        if is_news {
            self.keep_links();
        }
        let Some(update) = pulse.update else {
            return;
        };
        if self.fleet.take(update) {
            let upto = self.fleet.upto();
            self.gateway.links.note(|hello| hello.upto = upto);
            let version = self.fleet.table().map(|table| table.version);
            info!(self.logger, "fleet changed"; "upto" => upto.0, "version" => version,
                "replicas" => self.fleet.live_replicas().count());
            self.teller.send_replace(Arc::new(self.fleet.clone()));
        }
    }

    fn take_gateways(&self, from: MachineId, nodes: Option<Vec<DirectoryNode>>, now_ms: u64) {
        let mut told = self.gateway.gateways.lock();
        match (told.get_mut(&from), nodes) {
            (Some(held), nodes) => {
                held.at_ms = now_ms;
                held.nodes = nodes.unwrap_or_else(|| std::mem::take(&mut held.nodes));
            }
            (None, Some(nodes)) => {
                let at_ms = now_ms;
                told.insert(from, ToldGateways { nodes, at_ms });
            }
            (None, None) => {}
        }
    }

    fn take_coordinators(&self, from: MachineId, list: Option<Vec<MachineId>>, now_ms: u64) {
        let mut told = self.gateway.coordinators.lock();
        let held = told.by_control.entry(from).or_default();
        held.at_ms = now_ms;
        held.machines = list.unwrap_or_else(|| std::mem::take(&mut held.machines));
        told.merge(now_ms);
    }

    fn keep_links(&mut self) {
        let now_ms = self.gateway.clock.now_ms();
        let is_kept = |at_ms: &u64| now_ms.saturating_sub(*at_ms) < FORGOTTEN_MS;
        self.stores.retain(|_, at_ms| is_kept(at_ms));
        let mut wanted: BTreeSet<MachineId> = self.stores.keys().copied().collect();
        self.gateway.store.set_machines(wanted.clone());
        {
            let mut control = self.gateway.control.lock();
            control.retain(|_, at_ms| is_kept(at_ms));
            wanted.extend(control.keys());
            if control.is_empty() {
                wanted.extend(&self.seeds);
            }
        }
        self.gateway.links.keep(&wanted);
    }
}
