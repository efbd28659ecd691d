//! A control member: registry, directory, and the calls of operators and replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use error_stack::Report;
use linnethitch_clock::Clock;
use linnethitch_errors::ErrorKind;
use linnethitch_group::{GroupSettings, bootstrap_disk};
use linnethitch_protocol::{
    format::Format,
    ids::{DiskId, MachineId, MemberId},
};
use linnethitch_registry::{
    Configuration, Declared, DirectoryQuery, RegistryAnswer, RegistryCommand, ZoneMap,
};
use linnethitch_storage::folder::FolderRole;
use parking_lot::Mutex;
use slog::{Logger, warn};
use tokio::{
    sync::{mpsc, watch},
    time::interval,
};

use crate::{
    client::GroupClient,
    cold_times::ColdTimes,
    control_metrics::{ControlMetrics, MetricValues},
    driver::{self, GroupHandle},
    heartbeat_registry::heartbeat_source,
    incoming::{Answers, Inbound},
    links::Links,
    message::{
        CallBody, NodeMessage, NodeRole, RegistryCall, RegistryReply, ReplyBody, common_format,
    },
    node::{self, NodeBase, NodeSettings},
    presence::Presence,
    registry_service::{RegistryService, RegistryShared, RegistryView},
    seeds::Seeds,
};

/// Maximum number of voters of control.
const MAX_VOTERS: usize = 7;
/// Interval of link maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// How often the leader is sent the list of replicas that sent heartbeats.
const ALIVE_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit of that call.
const ALIVE_REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// A control member is no longer linked to this long after the last contact, in milliseconds.
const LINK_EXPIRY_MS: u64 = 30_000;

/// Settings of a control member.
#[derive(Clone)]
pub struct ControlSettings {
    /// Identity and addresses of the node.
    pub node: NodeSettings,
    /// Folder of the stored state.
    pub data_dir: String,
    /// Maximum number of voters of the job store.
    pub store_voters: usize,
}

/// The first format that stores every field of a configuration.
const CONFIGURATIONS_FORMAT: Format = Format::Second;

/// Nothing was done, or the outcome is unknown: the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// Progress of emptying a store machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireState {
    /// The machine still stores data that other members may need.
    Running,
    /// The machine stores nothing that other members need.
    Done,
    /// There is no such machine.
    Unknown,
    /// Too few machines would remain.
    TooFew,
}

/// A running control member. Clones share it.
#[derive(Clone)]
pub struct ControlNode {
    own: MachineId,
    pub(crate) shared: Arc<RegistryShared>,
    client: GroupClient<RegistryCall>,
    handle: GroupHandle<RegistryCall, RegistryReply>,
    pub(crate) links: Links,
    pub(crate) clock: Clock,
    /// Keys of the replica incarnations that sent heartbeats since the last report to the leader.
    pub(crate) alive_replicas: Arc<Mutex<BTreeSet<String>>>,
    pub(crate) cold_times: Arc<Mutex<ColdTimes>>,
    store_voters: usize,
    pub(crate) logger: Logger,
    zones: Arc<ZoneMap>,
    metrics: ControlMetrics,
}

impl ControlNode {
    /// Opens the data folder, listens, and joins or forms control. The second value ends when the
    /// member fails.
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
            current_checked_ms: AtomicU64::new(0),
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
        base.links
            .update_hello_later(|hello| hello.member = Some(member));
        let control = ControlNode {
            own,
            client: GroupClient::new(base.links.clone(), Some((own, handle.clone()))),
            shared: Arc::clone(&shared),
            handle,
            links: base.links.clone(),
            clock: base.clock,
            alive_replicas: Arc::default(),
            cold_times: Arc::default(),
            store_voters: settings.store_voters,
            logger: node.logger.clone(),
            zones: Arc::new(node.zones.clone()),
            metrics: ControlMetrics::new(node.bytes.clone()),
        };
        let heartbeats = heartbeat_source(&control.shared, own, node.place(), base.clock);
        node::listen(&node, inbox, Arc::clone(&base.traffic), Some(heartbeats)).await?;
        tokio::spawn(control.clone().take_messages(base.inbox));
        tokio::spawn(control.clone().update_links(node.seeds.clone(), own));
        tokio::spawn(control.clone().report_alive_replicas());
        Ok((control, driver.run()))
    }

    /// Puts a validated configuration in force if its version is higher than the stored one. The
    /// document is the text that the operator sent.
    ///
    /// # Errors
    /// [`Unavailable`] if it is not known to be stored by a quorum in time.
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
        let format = self.stored_format();
        if self.has_member_below(CONFIGURATIONS_FORMAT)
            && let Err(report) = command.to_stored_in(format)
        {
            warn!(self.logger, "configuration cannot be stored in the current format";
                "stored_format" => format.number(), "cause" => format!("{report:?}"));
            return Err(Unavailable);
        }
        match self.propose(command, limit).await? {
            RegistryAnswer::ConfigurationVersion(version) => Ok(version),
            _ => Err(Unavailable),
        }
    }

    /// The newest document; `None` before the first. A linearizable read.
    ///
    /// # Errors
    /// [`Unavailable`] if the newest document cannot be determined in time.
    pub async fn document(&self, limit: Duration) -> Result<Option<Vec<u8>>, Unavailable> {
        match self.client.call(RegistryCall::Document, limit).await {
            RegistryReply::Document(document) => Ok(document),
            _ => Err(Unavailable),
        }
    }

    /// Number of gateways on control's record of those that share the counts of tenants' limits.
    #[must_use]
    pub fn known_gateways(&self) -> usize {
        self.view().registry.gateways().machines().count()
    }

    /// Number of gateways that this member cannot reach although they may still be running: their
    /// shares of limits are reserved.
    #[must_use]
    pub fn silent_gateways(&self) -> usize {
        let view = self.view();
        let presence = self.shared.presence.lock();
        let coordinators = presence.coordinators();
        let known = view.registry.gateways();
        coordinators.silent(known, self.clock.now_ms()).len()
    }

    /// Metrics since the start, as Prometheus text.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let builds = {
            let presence = self.shared.presence.lock();
            presence.builds(self.clock.now_ms())
        };
        self.metrics.to_text(&MetricValues {
            known_gateways: self.known_gateways(),
            silent_gateways: self.silent_gateways(),
            stored_format: self.stored_format(),
            builds: &builds,
        })
    }

    /// Addresses of ready gateways near a caller.
    #[must_use]
    pub fn gateways_near(&self, query: &DirectoryQuery<'_>) -> Vec<String> {
        let view = self.view();
        let table = view.registry.table();
        let homes = table.and_then(|table| table.host_homes(query.host, &self.zones));
        let presence = self.shared.presence.lock();
        let gateways = presence.gateways();
        gateways.near(query, homes.as_ref(), self.clock.now_ms())
    }

    /// Requests that a store machine be emptied.
    ///
    /// # Errors
    /// [`Unavailable`] if this cannot be committed in time.
    pub async fn retire_store(
        &self,
        name: &str,
        limit: Duration,
    ) -> Result<RetireState, Unavailable> {
        let (machine, remaining) = {
            let presence = self.shared.presence.lock();
            let stores = presence.stores(self.clock.now_ms());
            let Some(store) = stores.iter().find(|store| store.name == name) else {
                return Ok(RetireState::Unknown);
            };
            let machine = store.machine;
            let view = self.view();
            let retiring = &view.registry.store().retiring;
            let remains = |other: &MachineId| *other != machine && !retiring.contains(other);
            let machines = stores.iter().map(|store| store.machine);
            (machine, machines.filter(remains).count())
        };
        if remaining < self.store_voters {
            return Ok(RetireState::TooFew);
        }
        self.propose(RegistryCommand::RetireStore(machine), limit)
            .await?;
        Ok(RetireState::Running)
    }

    /// Progress of emptying a store machine.
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

    /// Transfers leadership to another member before a planned stop.
    pub async fn stop(&self) {
        self.handle.stop().await;
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

    async fn take_messages(self, mut inbox: mpsc::Receiver<Inbound>) {
        while let Some(inbound) = inbox.recv().await {
            match inbound {
                Inbound::Closed { hello, fell_silent } => {
                    let now_ms = self.clock.now_ms();
                    let mut presence = self.shared.presence.lock();
                    let is_linked = hello.is_linked_to(self.own);
                    presence.record_closed(&hello, is_linked, fell_silent, now_ms);
                }
                Inbound::Message {
                    from,
                    message,
                    answers,
                    ..
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
                    let supported = common_format(hello.newest_format);
                    self.handle.present(member, supported).await;
                }
                let now_ms = self.clock.now_ms();
                if self.shared.presence.lock().record(hello, now_ms) {
                    self.shared.changes.send_modify(|count| *count += 1);
                }
            }
            NodeMessage::ControlHeartbeat(heartbeat) => {
                let now_ms = self.clock.now_ms();
                let mut presence = self.shared.presence.lock();
                let is_urgent = presence.record_relayed(
                    self.own,
                    from,
                    heartbeat.reachable,
                    heartbeat.stopped,
                    now_ms,
                );
                drop(presence);
                if is_urgent {
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

    async fn update_links(self, seeds: Seeds, own: MachineId) {
        let mut known: BTreeMap<MachineId, u64> = BTreeMap::new();
        let mut ticks = interval(MAINTENANCE_INTERVAL);
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
            known.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < LINK_EXPIRY_MS);
            let mut targets: BTreeSet<MachineId> = known.keys().copied().collect();
            targets.extend(seeds.machines());
            self.links.set_targets(&targets);
            let group = if members.is_empty() {
                targets
            } else {
                members.into_iter().chain([own]).collect()
            };
            self.client.set_machines(group);
        }
    }

    async fn report_alive_replicas(self) {
        let mut ticks = interval(ALIVE_REPORT_INTERVAL);
        loop {
            ticks.tick().await;
            let alive_replicas: Vec<String> = std::mem::take(&mut *self.alive_replicas.lock())
                .into_iter()
                .collect();
            if !alive_replicas.is_empty() {
                let call = RegistryCall::ReplicasAlive(alive_replicas);
                self.client.call(call, ALIVE_REPORT_TIMEOUT).await;
            }
        }
    }
}

/// On the first start of the cluster its seeds are the first members.
fn group_settings(node: &NodeSettings) -> GroupSettings {
    let own = node.machine();
    let seeds = node.seeds.machines();
    let is_first_member = node.bootstrap && seeds.contains(&own);
    let new_disk = if is_first_member {
        bootstrap_disk(own)
    } else {
        random_disk()
    };
    let mut group = GroupSettings::new("linnethitch", FolderRole::Control, own, new_disk);
    group.max_voters = MAX_VOTERS;
    group.seed ^= u64::from(own.0);
    group.first_members = is_first_member.then(|| {
        let members = seeds.iter().map(|machine| MemberId {
            machine: *machine,
            disk: bootstrap_disk(*machine),
        });
        members.collect()
    });
    group
}

/// A random id for a disk that was never used before.
pub(crate) fn random_disk() -> DiskId {
    DiskId(getrandom::u64().unwrap_or_default() | 1)
}
