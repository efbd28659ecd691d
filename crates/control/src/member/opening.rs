//! Opening what a member stored: its log and snapshots, or a blank state in
//! place of a damaged one; and starting consensus from it.

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
    settings::MemberSettings,
    snapshots::{RestoredLedger, restore_ledger},
    upkeep::load_first_membership,
};

/// What a folder holds.
pub(super) struct OpenedState {
    pub(super) store: LogStore,
    pub(super) restored: RestoredLedger,
    /// Why what was stored before had to be set aside, if it had.
    pub(super) set_aside: Option<String>,
}

/// Opens log, snapshots and payloads. A state that has lost something is set
/// aside: the folder then is a blank one under `new_disk`.
///
/// # Errors
/// `StorageFull`, `Io`; `Corrupted` when even a new log cannot be read.
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

/// Opens what is stored, or tells what of it is lost.
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

/// The log begins after the state of a snapshot; without a whole snapshot that
/// reaches up to it, the state cannot be built again.
fn find_gap(log: &Log, snapshots: &SnapshotStore) -> Option<String> {
    let covered = snapshots
        .latest()
        .map_or(LogIndex(0), |info| info.meta.index);
    let first = log.first_index();
    (first.0 > covered.0 + 1)
        .then(|| format!("the log begins at {first}, but no whole snapshot goes beyond {covered}"))
}

fn open_blank_log(folder: &mut DataFolder) -> Result<Log, Report<ErrorKind>> {
    match folder.open_log(LogLimits::default())? {
        OpenedLog::Intact(log) => Ok(log),
        OpenedLog::Damaged(damage) => {
            Err(Report::new(ErrorKind::Corrupted).attach(damage.to_string()))
        }
    }
}

/// Starts consensus from what is stored.
///
/// # Errors
/// `Io` or `Corrupted` when the first membership cannot be read.
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
