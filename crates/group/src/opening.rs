//! Opens the stored state of a member, or a blank state if nothing usable is stored.

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
/// Multiplier that spreads machine numbers over disk ids: 2^64 divided by the golden ratio.
const BOOTSTRAP_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// The id of a machine's disk on the first start of a cluster. Every machine can
/// compute it, so that the first members need not exchange their ids. The id is used
/// only once: a disk that is formatted later gets a random id.
#[must_use]
pub fn bootstrap_disk(machine: MachineId) -> DiskId {
    DiskId(u64::from(machine.0).wrapping_mul(BOOTSTRAP_SPREAD))
}

/// Whether this disk may still become one of a new group's first members: it was formatted
/// as one and does not store the first membership yet. With `may_reserve` a blank disk is
/// formatted as a first member. A machine must do so before it announces that it may be a
/// first member: then a restart of the process keeps the reservation, and the loss of the
/// disk ends it.
///
/// # Errors
/// As for [`crate::GroupMember::open`].
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

/// State restored from a data folder.
pub(crate) struct Opened<S> {
    pub(crate) folder: DataFolder,
    pub(crate) store: LogStore,
    pub(crate) node: Node,
    pub(crate) state: S,
    pub(crate) applied: LogIndex,
    pub(crate) membership: Membership,
    /// The damage because of which the stored data was set aside, if any.
    pub(crate) set_aside_damage: Option<String>,
}

/// State of the newest snapshot.
struct Restored<S> {
    state: S,
    applied: LogIndex,
    membership: Membership,
}

/// The stored state, or a description of its damage.
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
    let mut set_aside_damage = None;
    let (store, restored) = match open_stored::<S>(settings, &mut folder)? {
        Ok(stored) => stored,
        Err(damage) => {
            set_aside_damage = Some(damage);
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
        set_aside_damage,
    })
}

/// Stores the first membership on the disk of a first member. A blank disk that joins an
/// existing cluster gets an id that was never used before.
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
    let snapshots =
        SnapshotStore::open_retaining(folder.file_system(), settings.retained_snapshots)?;
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

/// Describes the gap between the newest complete snapshot and the first log entry, if any:
/// with a gap the state cannot be restored.
fn find_gap(log: &Log, snapshots: &SnapshotStore) -> Option<String> {
    let latest = snapshots.latest();
    let covered = latest.map_or(LogIndex(0), |info| info.meta.index);
    let first = log.first_index();
    (first.0 > covered.0 + 1).then(|| {
        format!("the log begins at {first}, but the newest complete snapshot ends at {covered}")
    })
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
