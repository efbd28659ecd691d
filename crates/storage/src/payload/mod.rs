//! Storage of large payloads (input files, results) outside the state machine's memory.

mod compact;
mod files;
mod memory;
mod record;

pub use files::{MAX_PAYLOAD_BYTES, PAYLOAD_DIRECTORY, PayloadLimits, PayloadStore};
pub use memory::MemoryPayloads;

use rkyv::{Archive, Deserialize, Serialize};

use crate::file_system::StorageResult;

/// Position of a payload on this member's disk. The position differs between members.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct PayloadRef {
    /// Number of the segment.
    pub segment: u32,
    /// Byte offset of the record in the segment.
    pub offset: u32,
    /// Bytes of the payload.
    pub length: u32,
}

/// A position in the store; all payloads before the position are synced.
///
/// A checkpoint of the state machine stores the mark together with its references.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct PayloadMark {
    /// Number of the checkpoint; grows with each one.
    pub checkpoint: u64,
    /// Number of the newest segment; 0 if the store was empty.
    pub segment: u32,
    /// Bytes of the newest segment.
    pub offset: u32,
}

/// A store of payloads.
///
/// Payloads are durable only once synced. A released payload remains readable
/// until a later checkpoint of the state machine is durable, so that a replay
/// after a crash can still read it.
pub trait Payloads: Send {
    /// Stores a payload.
    ///
    /// # Errors
    /// `StorageFull` (nothing was stored), `BodyTooLarge`, `Io`.
    fn append(&mut self, data: &[u8]) -> StorageResult<PayloadRef>;

    /// Reads a payload and checks it.
    ///
    /// # Errors
    /// `NotFound`, `Corrupted`, `Io`.
    fn read(&self, payload: &PayloadRef) -> StorageResult<Vec<u8>>;

    /// Reads a range of a payload; fewer bytes are returned only at the payload's end.
    ///
    /// Only the blocks of the range are checked, so a small range of a large payload is cheap.
    ///
    /// # Errors
    /// `NotFound`, `Corrupted`, `Io`.
    fn read_range(
        &self,
        payload: &PayloadRef,
        offset: u32,
        length: usize,
    ) -> StorageResult<Vec<u8>>;

    /// Counts a payload as live, because a restored checkpoint refers to it.
    ///
    /// # Errors
    /// `Corrupted` when its segment is missing.
    fn mark_live(&mut self, payload: &PayloadRef) -> StorageResult<()>;

    /// Releases a payload; its space is reclaimed later.
    fn release(&mut self, payload: &PayloadRef);

    /// Makes all appended payloads durable.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    fn sync(&mut self) -> StorageResult<()>;

    /// Bytes of payloads that are not released.
    fn live_bytes(&self) -> u64;

    /// Syncs and returns the position, when the state machine takes a checkpoint.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    fn checkpoint(&mut self) -> StorageResult<PayloadMark>;

    /// Reclaims the space of payloads that were released before the checkpoint with this mark.
    ///
    /// Must be called only once a restart cannot restore an older checkpoint.
    ///
    /// # Errors
    /// `Io`.
    fn reclaim_before(&mut self, mark: PayloadMark) -> StorageResult<()>;

    /// A segment with few live bytes, if there is one, to pass to [`Payloads::compact`].
    fn compaction_candidate(&self) -> Option<u32>;

    /// Rewrites a segment without its dead records; references remain valid.
    ///
    /// `live` must contain all live payloads of that segment.
    ///
    /// # Errors
    /// `Corrupted`, `StorageFull` (the segment is unchanged), `Io`.
    fn compact(&mut self, segment: u32, live: &[PayloadRef]) -> StorageResult<()>;
}
