//! Bounds of the state machine. They are part of the replicated rules: every
//! member must run with the same values.

/// Changes of which the answer is kept at least, however old they are.
pub const KEPT_CHANGES: usize = 10_000;
/// Changes of which the answer is kept at most, however young they are.
pub const MAX_CHANGES: usize = 100_000;
/// Revisions of which the difference to the next one is kept.
pub const KEPT_DELTAS: usize = 1_024;
/// Bytes of kept differences between revisions.
pub const MAX_DELTA_BYTES: usize = 16 * 1024 * 1024;
/// Longest text that tells why a configuration is invalid, in bytes.
pub const MAX_INVALID_MESSAGE_BYTES: usize = 1_024;

/// Largest piece of a file in one command, in bytes.
pub const MAX_PIECE_BYTES: usize = 8 * 1024 * 1024;
/// Longest line of a batch input file, in bytes.
pub const MAX_LINE_BYTES: u32 = 8 * 1024 * 1024;
/// Items told by one command at most.
pub const MAX_HEADS_PER_COMMAND: usize = 500_000;
/// Different models, and different endpoints, in one file.
pub const MAX_NAMES_PER_FILE: usize = 256;
/// Files that are not yet finished, of one tenant.
pub const MAX_UNFINISHED_FILES_PER_TENANT: usize = 64;
/// An unfinished file is dropped when nothing was added to it for so long, in milliseconds.
pub const UNFINISHED_FILE_MS: u64 = 60 * 60 * 1_000;
/// Longest name or other short text of a caller, in bytes.
pub const MAX_NAME_BYTES: usize = 512;
/// Longest metadata text of a job, in bytes.
pub const MAX_METADATA_BYTES: usize = 16 * 1024;
/// Longest completion window, in milliseconds.
pub const MAX_WINDOW_MS: u64 = 30 * 24 * 60 * 60 * 1_000;

/// Lines of an input file in one stored chunk of its line index.
pub const INDEX_CHUNK_ITEMS: usize = 256;
/// Decoded index chunks kept by a member.
pub const CACHED_INDEX_CHUNKS: usize = 64;

/// Items handed out by one lease command at most.
pub const MAX_ITEMS_PER_LEASE: usize = 4_096;
/// Bytes of lines handed out by one lease command, unless the first line alone is longer.
pub const MAX_LEASE_BYTES: u64 = 4 * 1024 * 1024;
/// Items under lease by one gateway at most.
pub const MAX_ITEMS_PER_SESSION: u32 = 16_384;
/// A lease ends at the latest this long after it was given or renewed, in milliseconds,
/// whatever end the gateway's clock led it to ask for.
pub const MAX_LEASE_MS: u64 = 10 * 60 * 1_000;
/// Items taken from one tenant before the next one has its turn.
pub const FAIRNESS_QUANTUM: u64 = 8;

/// Memory for results not yet written to the payload store, over all jobs, in bytes.
pub const RESULT_BUFFER_BYTES: usize = 64 * 1024 * 1024;
/// Results of a job are written when so many bytes wait, at the least.
pub const MIN_RESULT_BLOCK_BYTES: usize = 16 * 1024;
/// Results of a job are written when so many bytes wait, at the latest.
pub const MAX_RESULT_BLOCK_BYTES: usize = 256 * 1024;
/// Largest body of one result, in bytes.
pub const MAX_RESULT_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Idempotency keys kept at most.
pub const MAX_CLAIMS: usize = 2_000_000;
/// Largest body of a kept answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Claims held by one gateway at most.
pub const MAX_CLAIMS_PER_SESSION: usize = 65_536;
/// Open orders at most, one a replica.
pub const MAX_OPEN_ORDERS: usize = 65_536;
/// Sessions at most, one a gateway.
pub const MAX_SESSIONS: usize = 16_384;
/// Jobs not yet at an end.
pub const MAX_OPEN_JOBS: usize = 50_000;
/// Jobs not yet at an end, of one tenant.
pub const MAX_OPEN_JOBS_PER_TENANT: usize = 2_000;

/// Steps of one `Expire` command: a payload released, an item given up, a record dropped.
pub const EXPIRE_STEPS: usize = 8_192;
/// Jobs in one page of a list.
pub const MAX_PAGE_JOBS: u32 = 100;
/// Bytes of one page of a file's content.
pub const MAX_CONTENT_BYTES: u32 = 4 * 1024 * 1024;
