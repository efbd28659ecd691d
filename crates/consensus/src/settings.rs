//! Settings of a consensus member.

use linnethitch_protocol::ids::MemberId;

/// Length of a tick in production, in milliseconds.
pub const TICK_MILLISECONDS: u64 = 20;
/// Largest payload of one entry, in bytes; an entry must fit into a frame.
pub const MAX_ENTRY_BYTES: usize = 8 * 1024 * 1024;

const DEFAULT_ELECTION_TICKS: u32 = 25;
const DEFAULT_HEARTBEAT_TICKS: u32 = 3;
const DEFAULT_APPEND_BYTES: usize = 1024 * 1024;
const DEFAULT_INFLIGHT_APPENDS: usize = 64;
const DEFAULT_INFLIGHT_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_UNCOMMITTED_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_SNAPSHOT_CHUNK_BYTES: usize = 1024 * 1024;

/// Settings of a consensus member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This member: its machine and the id of the disk it runs on.
    pub id: MemberId,
    /// Minimum election timeout, in ticks. Each member waits without contact with
    /// the leader for a random time between this and twice this.
    pub election_ticks: u32,
    /// Ticks between heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Maximum payload bytes of one append message; a larger entry is sent in a
    /// message of its own.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged append messages to one member.
    pub max_inflight_appends: usize,
    /// Unacknowledged bytes of entries to one member at which no further append
    /// is sent. All of them may be read and encoded between two heartbeats, which
    /// must take far less time than an election timeout.
    pub max_inflight_bytes: usize,
    /// Maximum uncommitted payload bytes; further proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Size of one snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Disabled safety rules; none in production.
    #[doc(hidden)]
    pub safety: SafetyOverrides,
}

impl Settings {
    /// The default settings for a tick of [`TICK_MILLISECONDS`].
    #[must_use]
    pub fn new(id: MemberId, seed: u64) -> Self {
        Settings {
            id,
            election_ticks: DEFAULT_ELECTION_TICKS,
            heartbeat_ticks: DEFAULT_HEARTBEAT_TICKS,
            max_append_bytes: DEFAULT_APPEND_BYTES,
            max_inflight_appends: DEFAULT_INFLIGHT_APPENDS,
            max_inflight_bytes: DEFAULT_INFLIGHT_BYTES,
            max_uncommitted_bytes: DEFAULT_UNCOMMITTED_BYTES,
            snapshot_chunk_bytes: DEFAULT_SNAPSHOT_CHUNK_BYTES,
            seed,
            safety: SafetyOverrides::default(),
        }
    }
}

/// Disables safety rules, to show that a test or simulation detects the violation.
///
/// All overrides are off by default and set only in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SafetyOverrides {
    /// A member handles messages addressed to another disk of its machine and
    /// replies under that disk's identity, and a member with a blank disk grants votes.
    pub blank_disk_may_vote: bool,
    /// A vote is sent and counted before it is synced.
    pub skip_vote_sync: bool,
    /// The leader commits entries of earlier terms by counting replicas.
    pub commit_old_terms_by_count: bool,
    /// Append responses are sent before the entries are synced.
    pub skip_append_sync: bool,
    /// Reads are confirmed without a heartbeat round.
    pub skip_read_confirmation: bool,
}
