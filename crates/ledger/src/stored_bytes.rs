//! Long byte streams: the pieces are in the payload store, their end offsets in memory.

use linnethitch_storage::{PayloadRef, Payloads, StorageResult};
use rkyv::{Archive, Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A piece of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct Piece {
    /// Byte offset in the stream after this piece.
    pub(crate) end: u64,
    /// Hash of the piece, to compare members without reading the piece.
    pub(crate) checksum: u64,
    /// Position in this member's payload store.
    pub(crate) payload: PayloadRef,
}

/// An append-only stream of bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct StoredBytes {
    /// Pieces in order.
    pub(crate) pieces: Vec<Piece>,
}

impl StoredBytes {
    /// Total length in bytes.
    pub(crate) fn len(&self) -> u64 {
        self.pieces.last().map_or(0, |piece| piece.end)
    }

    /// Appends a piece.
    pub(crate) fn append(&mut self, payloads: &mut dyn Payloads, data: &[u8]) -> StorageResult<()> {
        if data.is_empty() {
            return Ok(());
        }
        let payload = payloads.append(data)?;
        self.pieces.push(Piece {
            end: self.len() + data.len() as u64,
            checksum: xxh3_64(data),
            payload,
        });
        Ok(())
    }

    /// Reads up to `limit` bytes from `offset`; fewer only at the end of the stream.
    pub(crate) fn read(
        &self,
        payloads: &dyn Payloads,
        offset: u64,
        limit: usize,
    ) -> StorageResult<Vec<u8>> {
        let mut data = Vec::new();
        let mut position = offset;
        let first = self.pieces.partition_point(|piece| piece.end <= offset);
        for piece in &self.pieces[first..] {
            if data.len() >= limit {
                break;
            }
            let start = piece.end - u64::from(piece.payload.length);
            let part = payloads.read_range(
                &piece.payload,
                (position - start) as u32,
                limit - data.len(),
            )?;
            position += part.len() as u64;
            data.extend_from_slice(&part);
        }
        Ok(data)
    }

    /// Releases up to `steps` pieces from the end; returns their number.
    pub(crate) fn release(&mut self, payloads: &mut dyn Payloads, steps: usize) -> usize {
        let remaining = self.pieces.len().saturating_sub(steps);
        let released = self.pieces.split_off(remaining);
        for piece in &released {
            payloads.release(&piece.payload);
        }
        if self.pieces.is_empty() {
            self.pieces = Vec::new();
        }
        released.len()
    }
}
