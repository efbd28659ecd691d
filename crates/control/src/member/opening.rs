//! Opens a member's log and snapshots, or a blank state if they are damaged, and starts
//! consensus from them.

use error_stack::Report;
use linnethitch_consensus::{LogView, Node, RestoredState, Settings};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::{DiskId, LogIndex};
use linnethitch_storage::{
    folder::DataFolder,
    log::{Log, LogLimits, OpenedLog},
    snapshot::SnapshotStore,
};

use super::{
    log_store::LogStore,
    maintenance::load_first_membership,
    settings::MemberSettings,
    snapshots::{RestoredLedger, restore_ledger},
};

/// The state opened from a data folder.
pub(super) struct OpenedState {
    pub(super) store: LogStore,
    pub(super) restored: RestoredLedger,
    /// The damage because of which the earlier state was set aside, if any.
    pub(super) set_aside: Option<String>,
}

/// Opens log, snapshots and payloads. A state of which a part is lost is set aside: the folder
/// is then blank, with the disk id `new_disk`.
///
/// # Errors
/// `StorageFull`, `Io`; `Corrupted` if a blank state cannot be read either.
pub(super) fn open_state(
    folder: &mut DataFolder,
    new_disk: DiskId,
) -> Result<OpenedState, Report<ErrorKind>> {
    let damage = match open_stored(folder)? {
        Ok(opened) => return Ok(opened),
        Err(damage) => damage,
    };
    folder.reformat(new_disk)?;
    let log = open_blank_log(folder)?;
    let snapshots = SnapshotStore::open(folder.file_system())?;
    let store = LogStore::new(log, snapshots);
    Ok(OpenedState {
        restored: restore(folder, &store)?,
        store,
        set_aside: Some(damage),
    })
}

/// Opens the stored state; the inner error describes the damage if a part of it is lost.
fn open_stored(folder: &mut DataFolder) -> Result<Result<OpenedState, String>, Report<ErrorKind>> {
    let log = match folder.open_log(LogLimits::default())? {
        OpenedLog::Damaged(damage) => return Ok(Err(damage.to_string())),
        OpenedLog::Intact(log) => log,
    };
    let snapshots = SnapshotStore::open(folder.file_system())?;
    if let Some(gap) = find_gap(&log, &snapshots) {
        return Ok(Err(gap));
    }
    let store = LogStore::new(log, snapshots);
    match restore(folder, &store) {
        Ok(restored) => Ok(Ok(OpenedState {
            store,
            restored,
            set_aside: None,
        })),
        Err(report) if *report.current_context() == ErrorKind::Corrupted => {
            Ok(Err(format!("the state cannot be restored: {report:?}")))
        }
        Err(report) => Err(report),
    }
}

fn restore(folder: &DataFolder, store: &LogStore) -> Result<RestoredLedger, Report<ErrorKind>> {
    let membership = load_first_membership(folder)?;
    restore_ledger(store, folder.file_system(), membership)
}

/// Describes the gap between the newest complete snapshot and the first entry of the log, if there
/// is one. With a gap the state cannot be restored.
fn find_gap(log: &Log, snapshots: &SnapshotStore) -> Option<String> {
    let covered = snapshots
        .latest()
        .map_or(LogIndex(0), |info| info.meta.index);
    let first = log.first_index();
    (first.0 > covered.0 + 1).then(|| {
        format!("the log begins at {first}, but the newest complete snapshot ends at {covered}")
    })
}

fn open_blank_log(folder: &mut DataFolder) -> Result<Log, Report<ErrorKind>> {
    match folder.open_log(LogLimits::default())? {
        OpenedLog::Intact(log) => Ok(log),
        OpenedLog::Damaged(damage) => {
            Err(Report::new(ErrorKind::Corrupted).attach(damage.to_string()))
        }
    }
}

/// Starts consensus from the stored state.
///
/// # Errors
/// `Io` or `Corrupted` if the first membership cannot be read.
pub(super) fn start_node(
    settings: &MemberSettings,
    folder: &DataFolder,
    store: &LogStore,
) -> Result<Node, Report<ErrorKind>> {
    let mut consensus = Settings::new(folder.member(), settings.seed);
    consensus.safety = settings.safety;
    let restored = RestoredState {
        hard_state: store.log.hard_state().clone(),
        membership: load_first_membership(folder)?,
        damaged_up_to: None,
        partial_snapshot: None,
    };
    Ok(Node::new(consensus, restored, store as &dyn LogView))
}
