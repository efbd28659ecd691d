//! Limits of the state machine. They are part of the replicated rules: every member must
//! use the same values.

/// Minimum number of changes whose outcome remains stored, whatever their age.
pub const MIN_STORED_CHANGES: usize = 10_000;
/// Maximum number of changes whose outcome is stored, whatever their age.
pub const MAX_STORED_CHANGES: usize = 100_000;
/// Maximum number of stored deltas between revisions.
pub const MAX_STORED_DELTAS: usize = 1_024;
/// Maximum total size of stored deltas, in bytes.
pub const MAX_DELTA_BYTES: usize = 16 * 1024 * 1024;
/// Maximum length of the message about an invalid configuration, in bytes.
pub const MAX_INVALID_MESSAGE_BYTES: usize = 1_024;

/// Maximum size of a file piece in one command, in bytes.
pub const MAX_PIECE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum length of a line of a batch input file, in bytes.
pub const MAX_LINE_BYTES: u32 = 8 * 1024 * 1024;
/// Maximum number of items indexed by one command.
pub const MAX_HEADS_PER_COMMAND: usize = 500_000;
/// Maximum number of different models, and of different endpoints, in one file.
pub const MAX_NAMES_PER_FILE: usize = 256;
/// Maximum number of unfinished files of one tenant.
pub const MAX_UNFINISHED_FILES_PER_TENANT: usize = 64;
/// Time since the last piece after which an unfinished file is dropped, in milliseconds.
pub const UNFINISHED_FILE_MS: u64 = 60 * 60 * 1_000;
/// Maximum length of a name or other short text of a caller, in bytes.
pub const MAX_NAME_BYTES: usize = 512;
/// Maximum length of the metadata of a job, in bytes.
pub const MAX_METADATA_BYTES: usize = 16 * 1024;
/// Maximum completion window, in milliseconds.
pub const MAX_WINDOW_MS: u64 = 30 * 24 * 60 * 60 * 1_000;

/// Number of lines in one stored chunk of a line index.
pub const INDEX_CHUNK_ITEMS: usize = 256;
/// Number of decoded index chunks cached by a member.
pub const CACHED_INDEX_CHUNKS: usize = 64;

/// Maximum number of items leased by one command.
pub const MAX_ITEMS_PER_LEASE: usize = 4_096;
/// Maximum total length of the lines leased by one command, in bytes, unless the first line
/// alone is longer.
pub const MAX_LEASE_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum number of items under lease by one gateway.
pub const MAX_ITEMS_PER_SESSION: u32 = 16_384;
/// Maximum time until a lease or its renewal ends, in milliseconds. Limits the end that a
/// gateway with a wrong clock may request.
pub const MAX_LEASE_MS: u64 = 10 * 60 * 1_000;
/// Number of items leased from a tenant of weight 1 before the next tenant is served.
pub const FAIRNESS_QUANTUM: u64 = 8;

/// Memory for results of all jobs that are not yet written to the payload store, in bytes.
pub const RESULT_BUFFER_BYTES: usize = 64 * 1024 * 1024;
/// Minimum number of buffered bytes at which the results of a job are written.
pub const MIN_RESULT_BLOCK_BYTES: usize = 16 * 1024;
/// Maximum number of buffered bytes at which the results of a job are written.
pub const MAX_RESULT_BLOCK_BYTES: usize = 256 * 1024;
/// Maximum size of the body of a result, in bytes.
pub const MAX_RESULT_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of stored idempotency keys.
pub const MAX_CLAIMS: usize = 2_000_000;
/// Maximum size of the body of a stored answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of running claims of one gateway.
pub const MAX_CLAIMS_PER_SESSION: usize = 65_536;
/// Maximum number of open orders; each replica has at most one.
pub const MAX_OPEN_ORDERS: usize = 65_536;
/// Maximum number of sessions; each gateway has at most one.
pub const MAX_SESSIONS: usize = 16_384;
/// Maximum number of open jobs.
pub const MAX_OPEN_JOBS: usize = 50_000;
/// Maximum number of open jobs of one tenant.
pub const MAX_OPEN_JOBS_PER_TENANT: usize = 2_000;

/// Maximum number of steps of one `Expire` command. A step releases a payload, gives up an
/// item or drops a record.
pub const EXPIRE_STEPS: usize = 8_192;
/// Maximum number of jobs in one page of a list.
pub const MAX_PAGE_JOBS: u32 = 100;
/// Maximum size of one page of a file's content, in bytes.
pub const MAX_CONTENT_BYTES: u32 = 4 * 1024 * 1024;
