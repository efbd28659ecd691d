//! Settings of a member.

use linnethitch_protocol::ids::MemberId;

/// How long a tick lasts in a running system, in milliseconds.
pub const TICK_MILLISECONDS: u64 = 20;
/// Largest payload of one entry, in bytes; it must fit into a frame.
pub const MAX_ENTRY_BYTES: usize = 8 * 1024 * 1024;

const DEFAULT_ELECTION_TICKS: u32 = 25;
const DEFAULT_HEARTBEAT_TICKS: u32 = 3;
const DEFAULT_APPEND_BYTES: usize = 1024 * 1024;
const DEFAULT_INFLIGHT_APPENDS: usize = 64;
const DEFAULT_INFLIGHT_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_UNCOMMITTED_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_SNAPSHOT_CHUNK_BYTES: usize = 1024 * 1024;

/// Settings of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This member: its machine and the id of the disk it runs on.
    pub id: MemberId,
    /// Silence of the leader, in ticks, after which an election may start.
    /// Each member waits for a random time from this to twice this.
    pub election_ticks: u32,
    /// Ticks between heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Payload bytes of one append message; one larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Append messages under way to one member before the leader waits.
    pub max_inflight_appends: usize,
    /// Bytes of entries under way to one member after which no further append
    /// is sent. All of it may be read and encoded between two heartbeats, so it
    /// must take far less time than an election timeout.
    pub max_inflight_bytes: usize,
    /// Payload bytes proposed and not yet committed before proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Bytes of one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the election jitter.
    pub seed: u64,
    /// Safety rules that are switched off; none in a running system.
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

/// Switches off safety rules, to show that a test or simulation notices.
///
/// All are off by default, and no program sets them outside of tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SafetyOverrides {
    /// A member answers messages addressed to another disk of its machine
    /// under that disk's identity, and a blank disk gives votes.
    pub blank_disk_may_vote: bool,
    /// A vote is answered and counted before it is synced.
    pub skip_vote_sync: bool,
    /// The leader commits entries of earlier terms by counting replicas.
    pub commit_old_terms_by_count: bool,
    /// Append responses are sent before the entries are synced.
    pub skip_append_sync: bool,
    /// Reads are confirmed without a heartbeat round.
    pub skip_read_confirmation: bool,
}
