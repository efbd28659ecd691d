//! Opening what a member stored, or a blank state where nothing usable is.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_consensus::{LogView, Node, RestoredState, Settings};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::Membership,
    frame,
    ids::{DiskId, LogIndex, MachineId},
};
use linnethitch_storage::{
    DataFolder, FileSystem, FolderIdentity, Log, OpenedLog, RevisionFile, SnapshotStore,
    folder::IDENTITY_FILE,
};

use crate::{log_store::LogStore, settings::GroupSettings, state_machine::StateMachine};

/// File that holds the first membership of a new group.
const FIRST_MEMBERSHIP_FILE: &str = "first-membership";
/// Multiplier that spreads machine numbers over disk ids (the golden ratio in 64 bits).
const BOOTSTRAP_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// The id of a machine's disk on the first start of a cluster. Every machine
/// can work it out, so that the first members need not exchange their ids. It
/// is used once only: a disk that is formatted later gets a random id.
#[must_use]
pub fn bootstrap_disk(machine: MachineId) -> DiskId {
    DiskId(u64::from(machine.0).wrapping_mul(BOOTSTRAP_SPREAD))
}

/// Whether this disk may still be one of a new group's first members: it was formatted for
/// that, and has not learned who the others are. With `may_reserve` a blank disk is formatted
/// so. A machine that says that it may be a first member does this before, so that it still
/// is one after an end; a disk that was lost since is not.
///
/// # Errors
/// As of [`crate::GroupMember::open`].
pub fn is_reserved_for_first_member(
    file_system: Arc<dyn FileSystem>,
    identity: &FolderIdentity,
    may_reserve: bool,
) -> Result<bool, Report<ErrorKind>> {
    let is_formatted = file_system
        .list("")?
        .iter()
        .any(|name| name == IDENTITY_FILE);
    if !is_formatted && !may_reserve {
        return Ok(false);
    }
    let disk = bootstrap_disk(identity.machine);
    let folder = DataFolder::open_or_format(file_system, identity, disk)?;
    let knows_first = first_membership_file(&folder).load()?.is_some();
    Ok(folder.is_blank() && folder.disk() == disk && !knows_first)
}

/// What a folder holds.
pub(crate) struct Opened<S> {
    pub(crate) folder: DataFolder,
    pub(crate) store: LogStore,
    pub(crate) node: Node,
    pub(crate) state: S,
    pub(crate) applied: LogIndex,
    pub(crate) membership: Membership,
    /// Why what was stored before had to be set aside, if it had.
    pub(crate) set_aside: Option<String>,
}

/// State as of the newest snapshot.
struct Restored<S> {
    state: S,
    applied: LogIndex,
    membership: Membership,
}

/// What is stored, or what of it is lost.
type Stored<S> = Result<(LogStore, Restored<S>), String>;

/// Opens or formats the data folder of a member.
pub(crate) fn open<S: StateMachine + Default>(
    settings: &GroupSettings,
    file_system: Arc<dyn FileSystem>,
) -> Result<Opened<S>, Report<ErrorKind>> {
    let identity = FolderIdentity {
        cluster: settings.cluster.clone(),
        role: settings.role,
        machine: settings.machine,
    };
    let mut folder = DataFolder::open_or_format(file_system, &identity, settings.new_disk)?;
    prepare_blank(settings, &mut folder)?;
    let mut set_aside = None;
    let (store, restored) = match open_stored::<S>(settings, &mut folder)? {
        Ok(stored) => stored,
        Err(damage) => {
            set_aside = Some(damage);
            folder.reformat(settings.new_disk)?;
            open_stored::<S>(settings, &mut folder)?
                .map_err(|damage| Report::new(ErrorKind::Corrupted).attach(damage))?
        }
    };
    let node = start_node(settings, &folder, &store, restored.membership.clone());
    Ok(Opened {
        folder,
        store,
        node,
        state: restored.state,
        applied: restored.applied,
        membership: restored.membership,
        set_aside,
    })
}

/// Stores the first membership on a disk that starts a cluster. A blank disk
/// that does not start one gets an id that was never used.
fn prepare_blank(
    settings: &GroupSettings,
    folder: &mut DataFolder,
) -> Result<(), Report<ErrorKind>> {
    if !folder.is_blank() {
        return Ok(());
    }
    match &settings.first_members {
        Some(members) => {
            let mut voters = members.clone();
            voters.sort_unstable();
            let membership = Membership {
                voters,
                learners: Vec::new(),
            };
            first_membership_file(folder).store(&frame::encode(&membership)?)
        }
        None if folder.disk() != settings.new_disk
            && first_membership_file(folder).load()?.is_none() =>
        {
            folder.reformat(settings.new_disk)
        }
        None => Ok(()),
    }
}

fn open_stored<S: StateMachine + Default>(
    settings: &GroupSettings,
    folder: &mut DataFolder,
) -> Result<Stored<S>, Report<ErrorKind>> {
    let log = match folder.open_log(settings.log_limits)? {
        OpenedLog::Damaged(damage) => return Ok(Err(damage.to_string())),
        OpenedLog::Intact(log) => log,
    };
    let snapshots = SnapshotStore::open_keeping(folder.file_system(), settings.retained_snapshots)?;
    if let Some(gap) = find_gap(&log, &snapshots) {
        return Ok(Err(gap));
    }
    let first = load_first_membership(folder)?;
    let store = LogStore::new(log, snapshots);
    match restore(&store, first) {
        Ok(restored) => Ok(Ok((store, restored))),
        Err(report) if *report.current_context() == ErrorKind::Corrupted => {
            Ok(Err(format!("the state cannot be restored: {report:?}")))
        }
        Err(report) => Err(report),
    }
}

fn restore<S: StateMachine + Default>(
    store: &LogStore,
    first: Membership,
) -> Result<Restored<S>, Report<ErrorKind>> {
    let Some(info) = store.snapshots.latest() else {
        return Ok(Restored {
            state: S::default(),
            applied: LogIndex(0),
            membership: first,
        });
    };
    let content = store.snapshots.reader(info.meta.index)?;
    Ok(Restored {
        state: S::from_snapshot(content)?,
        applied: info.meta.index,
        membership: info.meta.membership.clone(),
    })
}

/// Without a whole snapshot that reaches up to the log's start, the state
/// cannot be built again.
fn find_gap(log: &Log, snapshots: &SnapshotStore) -> Option<String> {
    let latest = snapshots.latest();
    let covered = latest.map_or(LogIndex(0), |info| info.meta.index);
    let first = log.first_index();
    (first.0 > covered.0 + 1)
        .then(|| format!("the log begins at {first}, but no whole snapshot goes beyond {covered}"))
}

fn first_membership_file(folder: &DataFolder) -> RevisionFile {
    let path = format!("{FIRST_MEMBERSHIP_FILE}-{:016x}", folder.disk().0);
    RevisionFile::new(folder.file_system(), path)
}

fn load_first_membership(folder: &DataFolder) -> Result<Membership, Report<ErrorKind>> {
    match first_membership_file(folder).load()? {
        Some(bytes) => frame::decode(&bytes),
        None => Ok(Membership::default()),
    }
}

fn start_node(
    settings: &GroupSettings,
    folder: &DataFolder,
    store: &LogStore,
    membership: Membership,
) -> Node {
    let mut consensus = Settings::new(folder.member(), settings.seed);
    consensus.election_ticks = settings.election_ticks;
    consensus.heartbeat_ticks = settings.heartbeat_ticks;
    let restored = RestoredState {
        hard_state: store.log.hard_state().clone(),
        membership,
        damaged_up_to: None,
        partial_snapshot: None,
    };
    Node::new(consensus, restored, store as &dyn LogView)
}
