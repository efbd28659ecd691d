//! A control member: registry, directory, and what operators and replicas ask.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use error_stack::Report;
use linnethitch_clock::Clock;
use linnethitch_errors::ErrorKind;
use linnethitch_group::{GroupSettings, bootstrap_disk};
use linnethitch_protocol::ids::{DiskId, LogIndex, MachineId, MemberId};
use linnethitch_registry::{
    Configuration, Declared, DirectoryQuestion, FleetUpdate, Place, RegistryAnswer,
    RegistryCommand, ReplicaChange, ReplicaRecord, ReplicaState, ZoneMap,
};
use linnethitch_storage::folder::FolderRole;
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::{
    sync::{mpsc, watch},
    time::interval,
};

use crate::{
    client::GroupClient,
    driver::{self, GroupHandle},
    incoming::{Answers, Inbound},
    links::Links,
    message::{CallBody, NodeMessage, NodeRole, RegistryCall, RegistryReply, ReplyBody},
    node::{self, NodeBase, NodeSettings},
    presence::Presence,
    pulse::{PresentFleet, PulseSource},
    registry_service::{RegistryService, RegistryShared, RegistryView},
    seeds::Seeds,
};

/// Most voters of control.
const MOST_VOTERS: usize = 7;
/// How often links and links' targets are looked at.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often the leader is told which replicas were heard of.
const ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time to tell it.
const ALIVE_LIMIT: Duration = Duration::from_secs(1);
/// A control member has heard of every gateway by this time after its start.
const HEARD_OF_ALL_MS: u64 = 1_200;
/// A control machine that is not heard of for so long is no longer linked to.
const FORGOTTEN_MS: u64 = 30_000;

/// Settings of a control member.
#[derive(Clone)]
pub struct ControlSettings {
    /// Who it is.
    pub node: NodeSettings,
    /// Where it keeps its state.
    pub data_dir: String,
    /// Most voters of the job store.
    pub store_voters: usize,
}

/// Nothing was done, or it is not known whether it was: the caller asks again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// How far the emptying of a store machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireState {
    /// It still holds what others may need.
    Running,
    /// It holds nothing that others need.
    Done,
    /// No such machine.
    Unknown,
    /// Too few would be left.
    TooFew,
}

/// A running control member. Clones share it.
#[derive(Clone)]
pub struct ControlNode {
    shared: Arc<RegistryShared>,
    client: GroupClient<RegistryCall>,
    handle: GroupHandle<RegistryCall, RegistryReply>,
    links: Links,
    clock: Clock,
    /// Keys of starts that were heard of since the leader was last told.
    heard: Arc<Mutex<BTreeSet<String>>>,
    store_voters: usize,
    logger: Logger,
    zones: Arc<ZoneMap>,
}

impl ControlNode {
    /// Opens the data folder, listens and joins or forms control. The second
    /// value ends when the member fails.
    ///
    /// # Errors
    /// `DataFolderRefused`, `StorageFull`, `Io`.
    pub async fn start(
        settings: ControlSettings,
    ) -> Result<(Self, impl Future<Output = Result<(), Report<ErrorKind>>>), Report<ErrorKind>>
    {
        let node = settings.node.clone();
        let own = node.machine();
        let (base, inbox) = NodeBase::start(&node, NodeRole::Control);
        let shared = Arc::new(RegistryShared {
            view: Mutex::new(Arc::new(RegistryView::default())),
            changes: watch::channel(0).0,
            presence: Mutex::new(Presence::default()),
            noted_ms: AtomicU64::new(0),
        });
        let logger = node.logger.clone();
        let service = RegistryService::new(Arc::clone(&shared), settings.store_voters, logger);
        let (driver, handle) = driver::open(
            group_settings(&node),
            &settings.data_dir,
            service,
            base.links.clone(),
            base.clock,
            node.logger.clone(),
        )?;
        let member = driver.id();
        base.links.note(|hello| hello.member = Some(member));
        let control = ControlNode {
            client: GroupClient::new(base.links.clone(), Some((own, handle.clone()))),
            shared: Arc::clone(&shared),
            handle,
            links: base.links.clone(),
            clock: base.clock,
            heard: Arc::default(),
            store_voters: settings.store_voters,
            logger: node.logger.clone(),
            zones: Arc::new(node.zones.clone()),
        };
        let pulses = control.pulse_source(own, node.place());
        node::listen(&node, inbox, Arc::clone(&base.traffic), Some(pulses)).await?;
        tokio::spawn(control.clone().take_messages(base.inbox));
        tokio::spawn(control.clone().keep_links(node.seeds.clone(), own));
        tokio::spawn(control.clone().tell_alive());
        Ok((control, driver.run()))
    }

    /// Puts a checked configuration in force if its version is above the one held. The
    /// document is what the operator sent.
    ///
    /// # Errors
    /// [`Unavailable`] when it is not known to be held by a quorum in time.
    pub async fn put_configuration(
        &self,
        configuration: Configuration,
        document: Vec<u8>,
        limit: Duration,
    ) -> Result<u64, Unavailable> {
        let command = RegistryCommand::PutConfiguration {
            table: configuration.table,
            declared: Box::new(Declared {
                tenants: configuration.tenants,
                document,
            }),
        };
        match self.propose(command, limit).await? {
            RegistryAnswer::RoutesHeld(version) => Ok(version),
            _ => Err(Unavailable),
        }
    }

    /// The newest document; `None` before the first. A linearizable read.
    ///
    /// # Errors
    /// [`Unavailable`] when the newest cannot be known in time.
    pub async fn document(&self, limit: Duration) -> Result<Option<Vec<u8>>, Unavailable> {
        match self.client.call(RegistryCall::Document, limit).await {
            RegistryReply::Document(document) => Ok(document),
            _ => Err(Unavailable),
        }
    }

    /// Takes a heartbeat. What it changes is committed before this returns.
    ///
    /// # Errors
    /// [`Unavailable`] when a change cannot be committed in time.
    pub async fn heartbeat(
        &self,
        change: ReplicaChange,
        limit: Duration,
    ) -> Result<(), Unavailable> {
        let key = change.start_key();
        let view = self.view();
        let held = view.registry.replica(&change.id);
        self.log_other_start(held, &change, &key);
        self.heard.lock().insert(key);
        if !held.is_none_or(|held| is_news(&held.told, &change)) {
            return Ok(());
        }
        let command = RegistryCommand::Replica(Box::new(change));
        self.propose(command, limit).await.map(|_| ())
    }

    /// Notes that a replica ends: the start of it that is known here.
    ///
    /// # Errors
    /// [`Unavailable`] when this cannot be committed in time, or when another start is in
    /// force than is known here.
    pub async fn remove_replica(&self, id: &str, limit: Duration) -> Result<(), Unavailable> {
        let view = self.view();
        let held = view.registry.replica(id).map(|held| &held.told);
        let is_over = |held: &ReplicaChange| held.state == ReplicaState::Gone && held.born == 0;
        if held.is_some_and(is_over) {
            return Ok(());
        }
        // Where starts are told, a later one may have registered at another member.
        let key = held.map_or_else(|| id.to_owned(), ReplicaChange::start_key);
        let command = RegistryCommand::RemoveReplica(key);
        match self.propose(command, limit).await? {
            RegistryAnswer::OtherStart => {
                info!(self.logger, "end of a replica concerns another start"; "replica" => id);
                Err(Unavailable)
            }
            _ => Ok(()),
        }
    }

    /// Addresses of ready gateways near a caller.
    #[must_use]
    pub fn gateways_near(&self, question: &DirectoryQuestion<'_>) -> Vec<String> {
        let view = self.view();
        let table = view.registry.table();
        let homes = table.and_then(|table| table.host_homes(question.host, &self.zones));
        let presence = self.shared.presence.lock();
        let gateways = presence.gateways();
        gateways.near(question, homes.as_ref(), self.clock.now_ms())
    }

    /// Asks that a store machine be emptied.
    ///
    /// # Errors
    /// [`Unavailable`] when this cannot be committed in time.
    pub async fn retire_store(
        &self,
        name: &str,
        limit: Duration,
    ) -> Result<RetireState, Unavailable> {
        let (machine, staying) = {
            let presence = self.shared.presence.lock();
            let stores = presence.stores(self.clock.now_ms());
            let Some(store) = stores.iter().find(|store| store.name == name) else {
                return Ok(RetireState::Unknown);
            };
            let machine = store.machine;
            let view = self.view();
            let retiring = &view.registry.store().retiring;
            let stays = |other: &MachineId| *other != machine && !retiring.contains(other);
            let machines = stores.iter().map(|store| store.machine);
            (machine, machines.filter(stays).count())
        };
        if staying < self.store_voters {
            return Ok(RetireState::TooFew);
        }
        self.propose(RegistryCommand::RetireStore(machine), limit)
            .await?;
        Ok(RetireState::Running)
    }

    /// How far the emptying of a store machine is.
    #[must_use]
    pub fn retire_state(&self, name: &str) -> RetireState {
        let presence = self.shared.presence.lock();
        let stores = presence.stores(self.clock.now_ms());
        let Some(store) = stores.iter().find(|store| store.name == name) else {
            return RetireState::Unknown;
        };
        let view = self.view();
        if !view.registry.store().retiring.contains(&store.machine) {
            return RetireState::Unknown;
        }
        let is_empty = presence.store_group().is_some_and(|group| {
            !group.machines.contains(&store.machine)
                && group.healthy_voters as usize >= self.store_voters
        });
        if is_empty {
            RetireState::Done
        } else {
            RetireState::Running
        }
    }

    /// Lets leadership pass on before a planned stop.
    pub async fn stop(&self) {
        self.handle.stop().await;
    }

    fn log_other_start(&self, held: Option<&ReplicaRecord>, change: &ReplicaChange, key: &str) {
        let Some(held) = held.map(|held| &held.told) else {
            return;
        };
        let (logger, held_key) = (&self.logger, held.start_key());
        match change.born.cmp(&held.born) {
            Ordering::Greater => {
                info!(logger, "replica starts again"; "replica" => key, "held" => held_key);
            }
            Ordering::Less => {
                info!(logger, "heartbeat of an earlier start"; "replica" => key, "held" => held_key);
            }
            Ordering::Equal => {}
        }
    }

    /// All zones of the deployment.
    #[must_use]
    pub fn zones(&self) -> &ZoneMap {
        &self.zones
    }

    pub(crate) fn view(&self) -> Arc<RegistryView> {
        Arc::clone(&self.shared.view.lock())
    }

    pub(crate) async fn propose(
        &self,
        command: RegistryCommand,
        limit: Duration,
    ) -> Result<RegistryAnswer, Unavailable> {
        match self
            .client
            .call(RegistryCall::Propose(command), limit)
            .await
        {
            RegistryReply::Answer(answer) => Ok(answer),
            _ => Err(Unavailable),
        }
    }

    fn pulse_source(&self, own: MachineId, place: Place) -> PulseSource {
        let clock = self.clock;
        let for_present = Arc::clone(&self.shared);
        let for_update = Arc::clone(&self.shared);
        let for_news = Arc::clone(&self.shared);
        let for_current = Arc::clone(&self.shared);
        PulseSource::new(
            own,
            self.shared.changes.subscribe(),
            move || present_fleet(&for_present, own, &place, clock.now_ms()),
            move |since| has_news(&for_news, since, clock.now_ms()),
            move |since| update_since(&for_update, since, clock.now_ms()),
            move || current(&for_current, clock.now_ms()),
        )
    }

    async fn take_messages(self, mut inbox: mpsc::Receiver<Inbound>) {
        while let Some(inbound) = inbox.recv().await {
            match inbound {
                Inbound::Closed { hello, fell_silent } => {
                    let now_ms = self.clock.now_ms();
                    let mut presence = self.shared.presence.lock();
                    presence.lose(&hello, fell_silent, now_ms);
                }
                Inbound::Message {
                    from,
                    message,
                    answers,
                } => self.take_message(from, message, answers).await,
            }
        }
    }

    async fn take_message(&self, from: MachineId, message: NodeMessage, answers: Option<Answers>) {
        match message {
            NodeMessage::Consensus(message) if message.from.machine == from => {
                self.handle.message(message).await;
            }
            NodeMessage::Hello(hello) => {
                if let (NodeRole::Control, Some(member)) = (hello.role, hello.member) {
                    self.handle.present(member).await;
                }
                let now_ms = self.clock.now_ms();
                if self.shared.presence.lock().note(hello, now_ms) {
                    self.shared.changes.send_modify(|count| *count += 1);
                }
            }
            NodeMessage::Call {
                call,
                body: CallBody::Registry(body),
            } => {
                let Some(answers) = answers else {
                    return;
                };
                let reply = move |body| answers.answer(call, ReplyBody::Registry(body));
                self.handle.call(body, Box::new(reply)).await;
            }
            _ => {}
        }
    }

    async fn keep_links(self, seeds: Seeds, own: MachineId) {
        let mut known: BTreeMap<MachineId, u64> = BTreeMap::new();
        let mut ticks = interval(UPKEEP_INTERVAL);
        loop {
            ticks.tick().await;
            let now_ms = self.clock.now_ms();
            let members = self.view().members.clone();
            for machine in members.iter().copied() {
                known.insert(machine, now_ms);
            }
            for (machine, _) in self.shared.presence.lock().control(now_ms) {
                known.insert(machine, now_ms);
            }
            known.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < FORGOTTEN_MS);
            let mut wanted: BTreeSet<MachineId> = known.keys().copied().collect();
            wanted.extend(seeds.machines());
            self.links.keep(&wanted);
            let group = if members.is_empty() {
                wanted
            } else {
                members.into_iter().chain([own]).collect()
            };
            self.client.set_machines(group);
        }
    }

    async fn tell_alive(self) {
        let mut ticks = interval(ALIVE_INTERVAL);
        loop {
            ticks.tick().await;
            let heard: Vec<String> = std::mem::take(&mut *self.heard.lock())
                .into_iter()
                .collect();
            if !heard.is_empty() {
                let call = RegistryCall::Alive(heard);
                self.client.call(call, ALIVE_LIMIT).await;
            }
        }
    }
}

/// Whether a heartbeat changes what is held of its replica. Others are not committed.
fn is_news(held: &ReplicaChange, change: &ReplicaChange) -> bool {
    match change.born.cmp(&held.born) {
        Ordering::Less => return false,
        Ordering::Greater => return true,
        Ordering::Equal => {}
    }
    match held.state {
        ReplicaState::Gone => false,
        ReplicaState::Displaced => change.state == ReplicaState::Draining,
        ReplicaState::Ready | ReplicaState::Draining => {
            held.sequence < change.sequence && change.differs_from(held)
        }
    }
}

fn update_since(shared: &RegistryShared, since: LogIndex, now_ms: u64) -> Option<FleetUpdate> {
    let view = Arc::clone(&shared.view.lock());
    has_news(shared, since, now_ms).then(|| view.registry.update_since(since))
}

/// The newest change, where the member knows what is in force.
fn current(shared: &RegistryShared, now_ms: u64) -> Option<LogIndex> {
    let changed_at = shared.view.lock().registry.changed_at();
    shared.is_current(now_ms).then_some(changed_at)
}

fn has_news(shared: &RegistryShared, since: LogIndex, now_ms: u64) -> bool {
    current(shared, now_ms).is_some_and(|changed_at| changed_at > since)
}

fn present_fleet(
    shared: &RegistryShared,
    own: MachineId,
    own_place: &Place,
    now_ms: u64,
) -> PresentFleet {
    let view = Arc::clone(&shared.view.lock());
    let presence = shared.presence.lock();
    let mut control: BTreeSet<MachineId> = view.members.iter().copied().collect();
    let heard = presence.control(now_ms);
    let mut tellers: BTreeMap<_, _> = heard.map(|(at, place)| (at, place.clone())).collect();
    control.extend(tellers.keys());
    control.insert(own);
    tellers.insert(own, own_place.clone());
    let heard_of_all = now_ms >= HEARD_OF_ALL_MS;
    let store_group = presence.store_group();
    PresentFleet {
        control,
        tellers,
        stores: presence.stores(now_ms).into_iter().collect(),
        store_members: store_group
            .map(|group| group.machines.iter().copied().collect())
            .unwrap_or_default(),
        gateways: heard_of_all.then(|| presence.gateways().ready(now_ms).into_iter().collect()),
        coordinators: presence.placed_coordinators(now_ms),
        silent_coordinators: presence
            .coordinators()
            .silent(view.registry.gateways(), now_ms),
    }
}

/// On the first start of the cluster the seeds are its first members.
fn group_settings(node: &NodeSettings) -> GroupSettings {
    let own = node.machine();
    let seeds = node.seeds.machines();
    let forms = node.bootstrap && seeds.contains(&own);
    let new_disk = if forms {
        bootstrap_disk(own)
    } else {
        random_disk()
    };
    let mut group = GroupSettings::new("linnethitch", FolderRole::Control, own, new_disk);
    group.most_voters = MOST_VOTERS;
    group.seed ^= u64::from(own.0);
    group.first_members = forms.then(|| {
        let members = seeds.iter().map(|machine| MemberId {
            machine: *machine,
            disk: bootstrap_disk(*machine),
        });
        members.collect()
    });
    group
}

/// An id for a disk that was never used before.
pub(crate) fn random_disk() -> DiskId {
    DiskId(getrandom::u64().unwrap_or_default() | 1)
}
