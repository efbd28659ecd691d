//! On-disk format of one stored payload, with a checksum for each block.
//!
//! Layout, little endian: `u32` payload length, `u32` CRC-32 of the length and
//! of the block checksums, one `u32` CRC-32 for each block, then the payload.

use std::ops::Range;

/// Bytes of a payload that one checksum covers.
pub(super) const BLOCK_BYTES: usize = 16 * 1024;
/// Bytes of a record before the block checksums.
pub(super) const FIXED_HEADER_BYTES: usize = 8;

/// Bytes of a record before the payload.
#[must_use]
pub(super) const fn header_bytes(payload_bytes: usize) -> usize {
    FIXED_HEADER_BYTES + payload_bytes.div_ceil(BLOCK_BYTES) * 4
}

/// Appends the record of a payload.
pub(super) fn push_payload(buffer: &mut Vec<u8>, payload: &[u8]) {
    let length = (payload.len() as u32).to_le_bytes();
    let checksums: Vec<u8> = payload
        .chunks(BLOCK_BYTES)
        .flat_map(|block| crc32fast::hash(block).to_le_bytes())
        .collect();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&header_checksum(&length, &checksums).to_le_bytes());
    buffer.extend_from_slice(&checksums);
    buffer.extend_from_slice(payload);
}

fn header_checksum(length: &[u8], checksums: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(checksums);
    hasher.finalize()
}

/// Whether this is a valid header of a payload of this length.
#[must_use]
pub(super) fn header_matches(header: &[u8], payload_bytes: u32) -> bool {
    let Some((fixed, checksums)) = header.split_at_checked(FIXED_HEADER_BYTES) else {
        return false;
    };
    let checksum = header_checksum(&fixed[..4], checksums).to_le_bytes();
    fixed[..4] == payload_bytes.to_le_bytes() && fixed[4..] == checksum
}

/// The range of complete blocks that covers a range of the payload.
#[must_use]
pub(super) fn covering_blocks(range: &Range<usize>, payload_bytes: usize) -> Range<usize> {
    let start = range.start / BLOCK_BYTES * BLOCK_BYTES;
    let end = range.end.div_ceil(BLOCK_BYTES) * BLOCK_BYTES;
    start..end.min(payload_bytes)
}

/// Whether complete blocks pass their checksums; the first one begins at `start`.
#[must_use]
pub(super) fn blocks_match(header: &[u8], start: usize, blocks: &[u8]) -> bool {
    blocks
        .chunks(BLOCK_BYTES)
        .enumerate()
        .all(|(number, block)| {
            let at = FIXED_HEADER_BYTES + (start / BLOCK_BYTES + number) * 4;
            header.get(at..at + 4) == Some(crc32fast::hash(block).to_le_bytes().as_slice())
        })
}
