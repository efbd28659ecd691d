//! What control tells the nodes that are connected to it: each role learns what
//! it needs, and only what changed since it was told last.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use linnethitch_clock::Instant;
use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_registry::{DirectoryNode, FleetUpdate, Place, tell_rank};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    message::{NodeHello, NodeRole, PlacedGateway, PlacedStore, PresentStore, Pulse},
    told_set::ToldSet,
};

/// Connections share one view of who is present that is no older than this.
const SHARED_FOR: Duration = Duration::from_millis(20);

/// A node is told of a change of the registry by the nearest control member at once. Each
/// further one tells it so much later than the one before, should it not have said meanwhile
/// that it knows: its word comes back over a link between regions that carries traffic.
const WITHHELD_FOR: Duration = Duration::from_millis(300);
/// Members after this one tell together with it, so that a node whose nearest members are all
/// gone is told 1.2 s late at most.
const LAST_RANK: u32 = 4;

/// Who is present, as a control member sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PresentFleet {
    /// Machines of control.
    pub(crate) control: BTreeSet<MachineId>,
    /// Where those of them are that were heard of lately, this one too.
    pub(crate) tellers: BTreeMap<MachineId, Place>,
    /// Machines with disks for the job store.
    pub(crate) stores: BTreeSet<PresentStore>,
    /// Voters and learners of the job store.
    pub(crate) store_members: BTreeSet<PlacedStore>,
    /// Gateways that are ready; `None` while control has not yet heard of all.
    pub(crate) gateways: Option<BTreeSet<DirectoryNode>>,
    /// Gateways that coordinate slots.
    pub(crate) coordinators: BTreeSet<PlacedGateway>,
    /// Gateways that did and fell silent.
    pub(crate) silent_coordinators: BTreeSet<MachineId>,
}

/// Who was present at one moment.
struct TakenFleet {
    at: Instant,
    fleet: Arc<PresentFleet>,
}

/// Where pulses come from. Clones share it.
#[derive(Clone)]
pub(crate) struct PulseSource {
    /// Changes whenever a pulse is worth sending at once.
    pub(crate) changes: watch::Receiver<u64>,
    own: MachineId,
    present: Arc<dyn Fn() -> PresentFleet + Send + Sync>,
    has_news: Arc<dyn Fn(LogIndex) -> bool + Send + Sync>,
    update: Arc<dyn Fn(LogIndex) -> Option<FleetUpdate> + Send + Sync>,
    current: Arc<dyn Fn() -> Option<LogIndex> + Send + Sync>,
    shared: Arc<Mutex<Option<TakenFleet>>>,
}

impl PulseSource {
    /// A source of a control member that asks who is present, whether the registry
    /// changed after an entry, what changed, and how far it knows what is in force.
    pub(crate) fn new(
        own: MachineId,
        changes: watch::Receiver<u64>,
        present: impl Fn() -> PresentFleet + Send + Sync + 'static,
        has_news: impl Fn(LogIndex) -> bool + Send + Sync + 'static,
        update: impl Fn(LogIndex) -> Option<FleetUpdate> + Send + Sync + 'static,
        current: impl Fn() -> Option<LogIndex> + Send + Sync + 'static,
    ) -> Self {
        PulseSource {
            own,
            changes,
            present: Arc::new(present),
            has_news: Arc::new(has_news),
            update: Arc::new(update),
            current: Arc::new(current),
            shared: Arc::default(),
        }
    }

    /// Who is present now. The same value is returned as long as nothing changed.
    fn present(&self) -> Arc<PresentFleet> {
        let mut shared = self.shared.lock();
        let now = Instant::now();
        if let Some(taken) = shared.as_ref()
            && now.saturating_duration_since(taken.at) < SHARED_FOR
        {
            return Arc::clone(&taken.fleet);
        }
        let fleet = (self.present)();
        let held = shared.take().map(|taken| taken.fleet);
        let fleet = match held {
            Some(held) if *held == fleet => held,
            _ => Arc::new(fleet),
        };
        *shared = Some(TakenFleet {
            at: now,
            fleet: Arc::clone(&fleet),
        });
        fleet
    }
}

/// What one connection was told.
pub(crate) struct ToldPulses {
    machine: MachineId,
    place: Place,
    role: NodeRole,
    /// The newest change of the registry that the node was told or knows.
    upto: LogIndex,
    /// Since when a change is withheld that another control member tells.
    withheld_since: Option<Instant>,
    /// How long it is withheld.
    withheld: Duration,
    last: Option<Arc<PresentFleet>>,
    control: ToldSet<MachineId>,
    stores: ToldSet<PresentStore>,
    store_members: ToldSet<PlacedStore>,
    gateways: ToldSet<DirectoryNode>,
    coordinators: ToldSet<PlacedGateway>,
    silent_coordinators: ToldSet<MachineId>,
}

impl ToldPulses {
    /// Nothing was told yet to a node.
    pub(crate) fn new(hello: &NodeHello) -> Self {
        ToldPulses {
            machine: hello.machine,
            place: hello.place(),
            role: hello.role,
            upto: hello.upto,
            withheld_since: None,
            withheld: Duration::ZERO,
            last: None,
            control: ToldSet::default(),
            stores: ToldSet::default(),
            store_members: ToldSet::default(),
            gateways: ToldSet::default(),
            coordinators: ToldSet::default(),
            silent_coordinators: ToldSet::default(),
        }
    }

    /// Notes that the node knows the registry up to an entry, whoever told it.
    pub(crate) fn note_known(&mut self, upto: LogIndex) {
        if upto > self.upto {
            self.upto = upto;
            // Somebody tells it: what is still missing is on its way.
            self.withheld_since = None;
        }
    }

    /// Notes that the node lacks what it was told before: everything is told once more.
    pub(crate) fn forget(&mut self) {
        self.upto = LogIndex(0);
    }

    /// The newest change of the registry that the node was told or knows.
    pub(crate) fn upto(&self) -> LogIndex {
        self.upto
    }

    /// How long a change is still withheld; `None` where none is.
    pub(crate) fn withheld_for(&self) -> Option<Duration> {
        let since = self.withheld_since?;
        Some(self.withheld.saturating_sub(since.elapsed()))
    }

    /// What changed in the registry, if this member is to tell it now.
    fn update(
        &mut self,
        source: &PulseSource,
        tellers: &BTreeMap<MachineId, Place>,
    ) -> Option<FleetUpdate> {
        if !(source.has_news)(self.upto) {
            self.withheld_since = None;
            return None;
        }
        let tellers = tellers.iter().map(|(machine, place)| (*machine, place));
        let rank = tell_rank(self.machine, &self.place, source.own, tellers);
        self.withheld = WITHHELD_FOR * LAST_RANK.min(rank as u32);
        let since = *self.withheld_since.get_or_insert_with(Instant::now);
        if since.elapsed() < self.withheld {
            return None;
        }
        self.withheld_since = None;
        let update = (source.update)(self.upto)?;
        self.upto = update.upto;
        Some(update)
    }

    /// The next pulse. It counts as told: the connection ends if it is not sent.
    pub(crate) fn next(&mut self, source: &PulseSource) -> Pulse {
        let fleet = source.present();
        let mut pulse = Pulse {
            update: self.update(source, &fleet.tellers),
            current: (source.current)(),
            ..Pulse::default()
        };
        if self
            .last
            .as_ref()
            .is_some_and(|last| Arc::ptr_eq(last, &fleet))
        {
            return pulse;
        }
        pulse.control = self.control.change_to(&fleet.control);
        pulse.store_members = self.store_members.change_to(&fleet.store_members);
        match self.role {
            NodeRole::Store => pulse.stores = self.stores.change_to(&fleet.stores),
            NodeRole::Gateway => {
                let gateways = fleet.gateways.as_ref();
                pulse.gateways = gateways.and_then(|list| self.gateways.change_to(list));
                pulse.coordinators = self.coordinators.change_to(&fleet.coordinators);
                let silent = &fleet.silent_coordinators;
                pulse.silent_coordinators = self.silent_coordinators.change_to(silent);
            }
            NodeRole::Control => {}
        }
        self.last = Some(fleet);
        pulse
    }
}
