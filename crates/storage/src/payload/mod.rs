//! Big payloads (input files, results) outside the state machine's memory.

mod compact;
mod files;
mod memory;
mod record;

pub use files::{MAX_PAYLOAD_BYTES, PAYLOAD_DIRECTORY, PayloadLimits, PayloadStore};
pub use memory::MemoryPayloads;

use rkyv::{Archive, Deserialize, Serialize};

use crate::file_system::StorageResult;

/// Where a payload lies on this member's disk. Other members store it elsewhere.
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

/// A position in the store; what was appended before it is synced.
///
/// A checkpoint of the state machine keeps the mark beside its references.
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
    /// Number of the checkpoint; grows.
    pub checkpoint: u64,
    /// Number of the newest segment; 0 when there was none.
    pub segment: u32,
    /// Bytes of it.
    pub offset: u32,
}

/// A store of payloads.
///
/// Payloads last only once synced. A released payload stays readable until a
/// newer checkpoint of the state machine is durable, so that a replay after a
/// crash finds everything that it reads.
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

    /// Reads a part of a payload; less is returned only at the payload's end.
    ///
    /// Parts are checked block by block, so a small part of a large payload is cheap.
    ///
    /// # Errors
    /// `NotFound`, `Corrupted`, `Io`.
    fn read_range(
        &self,
        payload: &PayloadRef,
        offset: u32,
        length: usize,
    ) -> StorageResult<Vec<u8>>;

    /// Counts a payload as live that a restored checkpoint refers to.
    ///
    /// # Errors
    /// `Corrupted` when its segment is missing.
    fn mark_live(&mut self, payload: &PayloadRef) -> StorageResult<()>;

    /// Gives a payload up; its space is reclaimed later.
    fn release(&mut self, payload: &PayloadRef);

    /// Makes everything appended so far last.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    fn sync(&mut self) -> StorageResult<()>;

    /// Bytes of payloads that were not released.
    fn live_bytes(&self) -> u64;

    /// Syncs and tells the position, when the state machine makes a checkpoint.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    fn checkpoint(&mut self) -> StorageResult<PayloadMark>;

    /// Told once the oldest checkpoint that a restart may go back to has this mark.
    ///
    /// Space of what was released before that checkpoint is given back.
    ///
    /// # Errors
    /// `Io`.
    fn reclaim_before(&mut self, mark: PayloadMark) -> StorageResult<()>;

    /// A segment that is mostly dead, if there is one, to hand to [`Payloads::compact`].
    fn compaction_candidate(&self) -> Option<u32>;

    /// Rewrites a segment without its dead records; references stay valid.
    ///
    /// `live` are all live payloads of that segment.
    ///
    /// # Errors
    /// `Corrupted`, `StorageFull` (the segment stays as it was), `Io`.
    fn compact(&mut self, segment: u32, live: &[PayloadRef]) -> StorageResult<()>;
}
