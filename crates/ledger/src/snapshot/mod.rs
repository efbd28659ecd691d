//! Snapshots: the whole state as a stream of chunks, and back.
//!
//! The stream is a sequence of sections, each with kind, length and checksum:
//! the state as encoded records, and then, if asked for, the live payloads in
//! the order in which the records name them. A snapshot for this member's own
//! disk leaves the payloads out: they lie in the payload store already, so its
//! cost does not grow with them. A snapshot for another member brings them
//! along, and the receiver stores them anew.

mod records;
mod restore;
mod writer;

pub use restore::{OpenPayloads, Restorer};
pub use writer::{SnapshotScope, SnapshotWriter};

/// Version of the stream that this build writes and reads.
pub(crate) const SNAPSHOT_VERSION: u32 = 1;
/// First bytes of a snapshot.
pub(crate) const SNAPSHOT_MAGIC: u64 = u64::from_le_bytes(*b"lnhledgr");
/// Bytes before a section: kind, length, checksum.
pub(crate) const SECTION_HEADER_BYTES: usize = 9;
/// Longest section that is accepted, in bytes.
pub(crate) const MAX_SECTION_BYTES: usize = 256 * 1024 * 1024;
/// A section that holds a record of the state.
pub(crate) const RECORD_SECTION: u8 = 1;
/// A section that holds a payload.
pub(crate) const PAYLOAD_SECTION: u8 = 2;
