//! Settings of a group member.

use linnethitch_protocol::ids::{DiskId, MachineId, MemberId};
use linnethitch_storage::{LogLimits, folder::FolderRole, snapshot::DEFAULT_RETAINED_SNAPSHOTS};

/// Settings of a group member; times are in ticks of `tick_ms`.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// The cluster that the data folder must belong to.
    pub cluster: String,
    /// The purpose that the data folder must have.
    pub role: FolderRole,
    /// This machine.
    pub machine: MachineId,
    /// The id for the disk if it must be formatted: [`crate::bootstrap_disk`] on the
    /// first start of a cluster, otherwise an id that was never used before.
    pub new_disk: DiskId,
    /// The first members of a new cluster; set only on its first start.
    pub first_members: Option<Vec<MemberId>>,
    /// Maximum number of voters; further machines are spares.
    pub max_voters: usize,
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// Minimum election timeout, in ticks.
    pub election_ticks: u32,
    /// Ticks between heartbeats of the leader.
    pub heartbeat_ticks: u32,
    /// Time without contact after which a voter may be replaced, in ticks.
    pub lost_ticks: u32,
    /// Log size at which a snapshot is taken, in bytes.
    pub snapshot_log_bytes: u64,
    /// Number of complete snapshots to retain, at least one. Log entries after the
    /// snapshot before the newest one are always retained.
    pub retained_snapshots: usize,
    /// Limits of the log.
    pub log_limits: LogLimits,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

const DEFAULT_TICK_MS: u64 = 40;
const DEFAULT_ELECTION_TICKS: u32 = 12;
const DEFAULT_HEARTBEAT_TICKS: u32 = 2;
const DEFAULT_LOST_TICKS: u32 = 25;
const DEFAULT_SNAPSHOT_LOG_BYTES: u64 = 16 * 1024 * 1024;
const DEFAULT_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
const DEFAULT_CACHE_BYTES: usize = 2 * 1024 * 1024;

impl GroupSettings {
    /// The default settings of a member that joins an existing group.
    #[must_use]
    pub fn new(cluster: &str, role: FolderRole, machine: MachineId, new_disk: DiskId) -> Self {
        GroupSettings {
            cluster: cluster.to_owned(),
            role,
            machine,
            new_disk,
            first_members: None,
            max_voters: 5,
            tick_ms: DEFAULT_TICK_MS,
            election_ticks: DEFAULT_ELECTION_TICKS,
            heartbeat_ticks: DEFAULT_HEARTBEAT_TICKS,
            lost_ticks: DEFAULT_LOST_TICKS,
            snapshot_log_bytes: DEFAULT_SNAPSHOT_LOG_BYTES,
            retained_snapshots: DEFAULT_RETAINED_SNAPSHOTS,
            log_limits: LogLimits {
                segment_bytes: DEFAULT_SEGMENT_BYTES,
                cache_bytes: DEFAULT_CACHE_BYTES,
            },
            seed: new_disk.0,
        }
    }
}
