//! Snapshots: writing the complete state as a stream of chunks, and restoring it.
//!
//! The stream is a sequence of sections, each with kind, length and checksum: the state as
//! encoded records, then optionally the live payloads in the order in which the records
//! refer to them. A snapshot for this member's own disk has no payloads: they are already
//! in the payload store, so the cost of the snapshot does not grow with them. A snapshot
//! for another member includes them, and the receiver stores them in its own payload store.

mod records;
mod restore;
mod writer;

pub use restore::{OpenPayloads, Restorer};
pub use writer::{SnapshotScope, SnapshotWriter};

/// Version of the stream format that this build writes and reads.
pub(crate) const SNAPSHOT_VERSION: u32 = 1;
/// Magic number of a snapshot.
pub(crate) const SNAPSHOT_MAGIC: u64 = u64::from_le_bytes(*b"lnhledgr");
/// Size of a section header in bytes: kind, length, checksum.
pub(crate) const SECTION_HEADER_BYTES: usize = 9;
/// Maximum length of a section, in bytes.
pub(crate) const MAX_SECTION_BYTES: usize = 256 * 1024 * 1024;
/// Kind of a section with a record of the state.
pub(crate) const RECORD_SECTION: u8 = 1;
/// Kind of a section with a payload.
pub(crate) const PAYLOAD_SECTION: u8 = 2;
