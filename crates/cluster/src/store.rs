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
    message::{CallBody, NodeMessage, NodeRole, ReplyBody, common_format},
    node::{self, NodeBase, NodeSettings},
    reported_fleet::ReportedFleet,
    store_service::{LocalGroupView, StoreService},
};

/// The cluster name in the identity of the data folder.
const CLUSTER: &str = "linnethitch";
/// A snapshot is taken when the log has grown by this many bytes. Texts added since the last
/// snapshot are in memory, so this also bounds the memory for them.
const SNAPSHOT_LOG_BYTES: u64 = 6 * 1024 * 1024;
/// Bytes of a log segment, the unit in which disk space is released.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// Texts make a snapshot as large as all retained data, so only the newest is retained.
const RETAINED_SNAPSHOTS: usize = 1;
/// Interval of the maintenance of links and members.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of a store member.
#[derive(Clone)]
pub struct StoreSettings {
    /// Identity and addresses of the node.
    pub node: NodeSettings,
    /// Folder of the stored state.
    pub data_dir: String,
    /// Maximum number of voters of the group.
    pub voters: usize,
    /// How long jobs are retained after they were accepted.
    pub retention: Duration,
    /// Maximum memory of the items of all jobs, in bytes; the leader accepts no more.
    pub max_item_bytes: u64,
}

/// A running store member.
pub struct StoreNode {
    settings: StoreSettings,
    base: NodeBase,
    fleet: FleetView,
    reported: ReportedFleet,
    /// The group as this member sees it.
    group_view: watch::Sender<LocalGroupView>,
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
            reported: ReportedFleet::default(),
            group_view: watch::channel(LocalGroupView::default()).0,
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

    /// Opens the data on the disk; on a first start waits for the first membership.
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
            self.base.links.update_hello(|hello| {
                hello.member = Some(first_member);
                hello.forming = true;
            });
        }
        let mut ticks = interval(MAINTENANCE_INTERVAL);
        while self.fleet.store().first.is_empty() {
            tokio::select! {
                _ = ticks.tick() => self.update_links(),
                Some(inbound) = self.base.inbox.recv() => self.handle(inbound).await,
            }
        }
        self.base.links.update_hello(|hello| hello.forming = false);
        let first = self.fleet.store().first.clone();
        let forms = is_reserved && first.contains(&first_member);
        self.open(forms.then_some(first))
    }

    /// Whether this disk may belong to one of the group's first members. The disk is reserved
    /// before control is contacted, so that a process that ends meanwhile becomes the same member
    /// again. Otherwise the loss of one more disk could leave the group without a quorum
    /// permanently.
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
        group.retained_snapshots = RETAINED_SNAPSHOTS;
        group.seed ^= u64::from(own.0);
        let retention_ms = self.settings.retention.as_millis() as u64;
        let service = StoreService::new(
            retention_ms,
            self.settings.max_item_bytes,
            self.group_view.clone(),
        );
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
        self.base
            .links
            .update_hello(|hello| hello.member = Some(member));
        self.handle = Some(handle);
        Ok(driver)
    }

    async fn serve(&mut self) {
        let mut ticks = interval(MAINTENANCE_INTERVAL);
        let mut group_view = self.group_view.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.update_links();
                    self.report_members().await;
                }
                // The sender belongs to this node and is never dropped.
                Ok(()) = group_view.changed() => self.update_links(),
                inbound = self.base.inbox.recv() => match inbound {
                    Some(inbound) => self.handle(inbound).await,
                    None => return,
                },
            }
        }
    }

    async fn handle(&mut self, inbound: Inbound) {
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
            NodeMessage::ControlHeartbeat(mut heartbeat) => {
                let now_ms = self.base.clock.now_ms();
                let has_new_machines = self.reported.apply(from, &mut heartbeat, now_ms);
                if has_new_machines {
                    self.update_links();
                }
                if let Some(update) = heartbeat.update {
                    self.fleet.apply(update);
                    let up_to_index = self.fleet.up_to_index();
                    self.base
                        .links
                        .update_hello(|hello| hello.up_to_index = up_to_index);
                    if self.fleet.needs_full_update() {
                        self.base.links.send(from, &NodeMessage::FullUpdateRequest);
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

    fn update_links(&self) {
        let now_ms = self.base.clock.now_ms();
        let seeds = self.settings.node.seeds.machines();
        let mut targets = self.reported.control(&seeds, now_ms);
        targets.extend(self.reported.store_members());
        let first = self.fleet.store().first.iter();
        targets.extend(first.map(|member| member.machine));
        let group_view = self.group_view.borrow().clone();
        targets.extend(&group_view.members);
        self.base.links.set_targets(&targets);
        self.base
            .links
            .update_hello(|hello| hello.store_group = group_view.leader_report);
    }

    async fn report_members(&self) {
        let Some(handle) = &self.handle else {
            return;
        };
        let own = self.settings.node.machine();
        for store in self.reported.stores() {
            if let Some(member) = store.member
                && store.machine != own
            {
                let supported = common_format(store.newest_format);
                handle.present(member, supported).await;
            }
        }
        let retiring: BTreeSet<_> = self.fleet.store().retiring.iter().copied().collect();
        handle.retiring(retiring).await;
    }
}
