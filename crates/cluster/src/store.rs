//! A member of the job store.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_group::{GroupSettings, bootstrap_disk, is_reserved_for_first_member};
use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_protocol::ids::MemberId;
use linnethitch_registry::FleetView;
use linnethitch_storage::{
    FolderIdentity, RealFileSystem,
    folder::{FolderRole, IDENTITY_FILE},
};
use slog::info;
use tokio::{sync::watch, time::interval};

use crate::{
    control::random_disk,
    driver::{self, GroupDriver, GroupHandle},
    incoming::Inbound,
    message::{CallBody, NodeMessage, NodeRole, ReplyBody, spoken_format},
    node::{self, NodeBase, NodeSettings},
    store_service::{GroupSeen, StoreService},
    told_fleet::ToldFleet,
};

/// The cluster that the data folder names.
const CLUSTER: &str = "linnethitch";
/// A snapshot is taken when the log has grown by this many bytes. Texts that came
/// since are in memory, so this bounds what a member holds of them.
const SNAPSHOT_LOG_BYTES: u64 = 6 * 1024 * 1024;
/// Bytes of a segment of the log, the unit in which space is given back.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// Texts make a snapshot as large as everything that is kept, so only the newest stays.
const KEPT_SNAPSHOTS: usize = 1;
/// How often links and members are looked at.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of a store member.
#[derive(Clone)]
pub struct StoreSettings {
    /// Who it is.
    pub node: NodeSettings,
    /// Where it keeps its state.
    pub data_dir: String,
    /// Most voters of the group.
    pub voters: usize,
    /// Time for which jobs are kept after they were accepted.
    pub retention: Duration,
}

/// A running store member.
pub struct StoreNode {
    settings: StoreSettings,
    base: NodeBase,
    fleet: FleetView,
    told: ToldFleet,
    /// The group as this member sees it.
    seen: watch::Sender<GroupSeen>,
    handle: Option<GroupHandle<StoreCall, StoreReply>>,
}

impl StoreNode {
    /// Listens and runs until the member's disk fails.
    ///
    /// # Errors
    /// `DataFolderRefused`, `StorageFull`, `Io`.
    pub async fn run(
        settings: StoreSettings,
        stopping: impl Future<Output = ()>,
    ) -> Result<(), Report<ErrorKind>> {
        let (base, inbox) = NodeBase::start(&settings.node, NodeRole::Store);
        node::listen(&settings.node, inbox, Arc::clone(&base.traffic), None).await?;
        let mut store = StoreNode {
            settings,
            base,
            fleet: FleetView::default(),
            told: ToldFleet::default(),
            seen: watch::channel(GroupSeen::default()).0,
            handle: None,
        };
        let driver = store.wait_for_group().await?;
        let handle = store.handle.clone();
        tokio::pin!(stopping);
        tokio::select! {
            ended = driver.run() => ended,
            () = store.serve() => Ok(()),
            () = async {
                stopping.await;
                if let Some(handle) = handle {
                    handle.stop().await;
                }
            } => Ok(()),
        }
    }

    /// Opens what the disk holds; on a first start waits for the first membership.
    async fn wait_for_group(&mut self) -> Result<GroupDriver<StoreService>, Report<ErrorKind>> {
        let own = self.settings.node.machine();
        let first_member = MemberId {
            machine: own,
            disk: bootstrap_disk(own),
        };
        let is_reserved = self.is_reserved()?;
        if !is_reserved && self.is_formatted() {
            return self.open(None);
        }
        if is_reserved {
            self.base.links.say(|hello| {
                hello.member = Some(first_member);
                hello.forming = true;
            });
        }
        let mut ticks = interval(UPKEEP_INTERVAL);
        while self.fleet.store().first.is_empty() {
            tokio::select! {
                _ = ticks.tick() => self.keep_links(),
                Some(inbound) = self.base.inbox.recv() => self.take(inbound).await,
            }
        }
        self.base.links.say(|hello| hello.forming = false);
        let first = self.fleet.store().first.clone();
        let forms = is_reserved && first.contains(&first_member);
        self.open(forms.then_some(first))
    }

    /// Whether this disk may be one of the group's first members. It was set aside for that
    /// before control heard of it, so that a process that ends meanwhile takes its place
    /// again; else one more lost disk could leave the group without a quorum for ever.
    fn is_reserved(&self) -> Result<bool, Report<ErrorKind>> {
        let file_system = Arc::new(RealFileSystem::new(&self.settings.data_dir)?);
        let identity = FolderIdentity {
            cluster: CLUSTER.to_owned(),
            role: FolderRole::Store,
            machine: self.settings.node.machine(),
        };
        is_reserved_for_first_member(file_system, &identity, self.settings.node.bootstrap)
    }

    fn is_formatted(&self) -> bool {
        std::path::Path::new(&self.settings.data_dir)
            .join(IDENTITY_FILE)
            .exists()
    }

    fn open(
        &mut self,
        first: Option<Vec<MemberId>>,
    ) -> Result<GroupDriver<StoreService>, Report<ErrorKind>> {
        let own = self.settings.node.machine();
        let new_disk = match first {
            Some(_) => bootstrap_disk(own),
            None => random_disk(),
        };
        let mut group = GroupSettings::new(CLUSTER, FolderRole::Store, own, new_disk);
        group.first_members = first;
        group.max_voters = self.settings.voters;
        group.snapshot_log_bytes = SNAPSHOT_LOG_BYTES;
        group.log_limits.segment_bytes = SEGMENT_BYTES;
        group.retained_snapshots = KEPT_SNAPSHOTS;
        group.seed ^= u64::from(own.0);
        let kept_ms = self.settings.retention.as_millis() as u64;
        let service = StoreService::new(kept_ms, self.seen.clone());
        let (driver, handle) = driver::open(
            group,
            &self.settings.data_dir,
            service,
            self.base.links.clone(),
            self.base.clock,
            self.settings.node.logger.clone(),
        )?;
        let member = driver.id();
        info!(self.settings.node.logger, "store opened"; "disk" => member.disk.0);
        self.base.links.say(|hello| hello.member = Some(member));
        self.handle = Some(handle);
        Ok(driver)
    }

    async fn serve(&mut self) {
        let mut ticks = interval(UPKEEP_INTERVAL);
        let mut seen = self.seen.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.keep_links();
                    self.tell_members().await;
                }
                // The sender is this node's own and stays.
                Ok(()) = seen.changed() => self.keep_links(),
                inbound = self.base.inbox.recv() => match inbound {
                    Some(inbound) => self.take(inbound).await,
                    None => return,
                },
            }
        }
    }

    async fn take(&mut self, inbound: Inbound) {
        let Inbound::Message {
            from,
            message,
            answers,
            ..
        } = inbound
        else {
            return;
        };
        match message {
            NodeMessage::Consensus(message) if message.from.machine == from => {
                if let Some(handle) = &self.handle {
                    handle.message(message).await;
                }
            }
            NodeMessage::Pulse(mut pulse) => {
                let now_ms = self.base.clock.now_ms();
                let names_others = self.told.take(from, &mut pulse, now_ms);
                if names_others {
                    self.keep_links();
                }
                if let Some(update) = pulse.update {
                    self.fleet.apply(update);
                    let upto = self.fleet.up_to_index();
                    self.base.links.say(|hello| hello.upto = upto);
                    if self.fleet.needs_full_update() {
                        self.base.links.send(from, &NodeMessage::TellAll);
                    }
                }
            }
            NodeMessage::Call {
                call,
                body: CallBody::Store(body),
            } => {
                let Some(answers) = answers else {
                    return;
                };
                let reply = move |body| answers.answer(call, ReplyBody::Store(body));
                match &self.handle {
                    Some(handle) => handle.call(body, Box::new(reply)).await,
                    None => reply(StoreReply::NotLeader(None)),
                }
            }
            _ => {}
        }
    }

    fn keep_links(&self) {
        let now_ms = self.base.clock.now_ms();
        let seeds = self.settings.node.seeds.machines();
        let mut wanted = self.told.control(&seeds, now_ms);
        wanted.extend(self.told.store_members());
        let first = self.fleet.store().first.iter();
        wanted.extend(first.map(|member| member.machine));
        let seen = self.seen.borrow().clone();
        wanted.extend(&seen.members);
        self.base.links.keep(&wanted);
        self.base.links.say(|hello| hello.store_group = seen.led);
    }

    async fn tell_members(&self) {
        let Some(handle) = &self.handle else {
            return;
        };
        let own = self.settings.node.machine();
        for store in self.told.stores() {
            if let Some(member) = store.member
                && store.machine != own
            {
                let speaks = spoken_format(store.newest_format);
                handle.present(member, speaks).await;
            }
        }
        let retiring: BTreeSet<_> = self.fleet.store().retiring.iter().copied().collect();
        handle.retiring(retiring).await;
    }
}
