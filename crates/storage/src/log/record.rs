//! On-disk format of the log: batches of records.
//!
//! One sync makes one batch durable. Layout, little endian:
//!
//! ```text
//! batch:  u32 magic, u32 body length, u64 file offset of the batch,
//!         u64 segment sequence, u32 zero sectors, u32 CRC-32 of these 28 bytes, body
//! body:   records, end to end
//! record: u32 payload length, u32 CRC-32 of kind and payload, u8 kind, payload
//! ```
//!
//! A batch header contains its own position, so a valid header later in the
//! file proves that all bytes before it had been synced. The header also counts
//! the all-zero sectors of the batch, so that sectors which were never written
//! can be distinguished from sectors whose data is zero.

use linnethitch_protocol::{
    consensus::{EntryPayload, HardState},
    frame,
    ids::{LogIndex, Term},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::file_system::StorageResult;

/// First bytes of a batch.
pub const BATCH_MAGIC: u32 = 0x4c48_4231;
/// Bytes of a batch header.
pub const BATCH_HEADER_BYTES: usize = 32;
/// Bytes of a batch header that its checksum covers.
const CHECKED_HEADER_BYTES: usize = 28;
/// Unit that a disk writes completely or not at all, in bytes.
pub const SECTOR_BYTES: usize = 512;
/// Bytes of a record header.
pub const RECORD_HEADER_BYTES: usize = 9;
/// Bytes of an entry record's payload before the encoded entry.
const ENTRY_PREFIX_BYTES: usize = 16;
/// Maximum record payload, in bytes.
pub const MAX_RECORD_BYTES: usize = 17 * 1024 * 1024;
/// Maximum batch body, in bytes.
pub const MAX_BATCH_BYTES: usize = 2 * MAX_RECORD_BYTES;
/// Version of the log's format.
pub const LOG_FORMAT_VERSION: u32 = 1;

/// The first record of every segment.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SegmentStart {
    /// Version of the format.
    pub format_version: u32,
    /// Sequence number of the segment; grows by one.
    pub sequence: u64,
    /// The last index before the segment's first entry.
    pub previous_index: LogIndex,
    /// The term of that index.
    pub previous_term: Term,
    /// Whether the log restarts here and all older segments are discarded.
    pub reset: bool,
    /// The hard state when the segment was started.
    pub hard_state: HardState,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The first record of a segment.
    Start(SegmentStart),
    /// A log entry; its payload is not decoded.
    Entry {
        /// Its index.
        index: LogIndex,
        /// Its term.
        term: Term,
    },
    /// A new hard state.
    HardState(HardState),
    /// Discards the entries after an index.
    Truncate {
        /// The index of the last entry that remains.
        index: LogIndex,
        /// Its term.
        term: Term,
    },
}

const KIND_START: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_HARD_STATE: u8 = 3;
const KIND_TRUNCATE: u8 = 4;

/// Why bytes are not a valid record or batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes end too early.
    Short,
    /// A checksum differs.
    Checksum,
    /// A length, kind or payload that this format does not allow.
    Format,
}

/// A checked batch header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Bytes of the body.
    pub body_bytes: usize,
    /// All-zero sectors of the batch.
    pub zero_sectors: u32,
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    u64::from(read_u32(bytes, at)) | u64::from(read_u32(bytes, at + 4)) << 32
}

/// Encodes a complete batch, header and body, for this position.
#[must_use]
pub fn encode_batch(body: &[u8], offset: u64, sequence: u64) -> Vec<u8> {
    let mut batch = vec![0; BATCH_HEADER_BYTES];
    batch.reserve_exact(body.len());
    batch[0..4].copy_from_slice(&BATCH_MAGIC.to_le_bytes());
    batch[4..8].copy_from_slice(&(body.len() as u32).to_le_bytes());
    batch[8..16].copy_from_slice(&offset.to_le_bytes());
    batch[16..24].copy_from_slice(&sequence.to_le_bytes());
    batch.extend_from_slice(body);
    let zero_sectors = count_zero_sectors(&batch, offset);
    batch[24..28].copy_from_slice(&zero_sectors.to_le_bytes());
    let checksum = crc32fast::hash(&batch[..CHECKED_HEADER_BYTES]);
    batch[CHECKED_HEADER_BYTES..BATCH_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    batch
}

/// Counts the all-zero sectors, or parts of sectors, of these bytes.
///
/// `offset` is the position of the bytes in their file.
#[must_use]
pub fn count_zero_sectors(bytes: &[u8], offset: u64) -> u32 {
    let offset_in_sector = (offset % SECTOR_BYTES as u64) as usize;
    let first = (SECTOR_BYTES - offset_in_sector).min(bytes.len());
    let (head, remaining) = bytes.split_at(first);
    let is_zero = |sector: &[u8]| !sector.is_empty() && sector.iter().all(|byte| *byte == 0);
    let remaining_zeros = remaining
        .chunks(SECTOR_BYTES)
        .filter(|sector| is_zero(sector));
    u32::from(is_zero(head)) + remaining_zeros.count() as u32
}

/// Checks the header of the batch that should be at this position.
///
/// # Errors
/// [`Malformed`] when the bytes are not the header of such a batch.
pub fn parse_batch_header(
    bytes: &[u8],
    offset: u64,
    sequence: u64,
) -> Result<BatchHeader, Malformed> {
    if bytes.len() < BATCH_HEADER_BYTES {
        return Err(Malformed::Short);
    }
    if read_u32(bytes, 0) != BATCH_MAGIC {
        return Err(Malformed::Format);
    }
    if crc32fast::hash(&bytes[..CHECKED_HEADER_BYTES]) != read_u32(bytes, CHECKED_HEADER_BYTES) {
        return Err(Malformed::Checksum);
    }
    let body_bytes = read_u32(bytes, 4) as usize;
    let position_matches = read_u64(bytes, 8) == offset && read_u64(bytes, 16) == sequence;
    if !position_matches || body_bytes > MAX_BATCH_BYTES {
        return Err(Malformed::Format);
    }
    Ok(BatchHeader {
        body_bytes,
        zero_sectors: read_u32(bytes, 24),
    })
}

/// Appends a record to a batch body.
fn push_record(body: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    for part in parts {
        hasher.update(part);
    }
    body.extend_from_slice(&(length as u32).to_le_bytes());
    body.extend_from_slice(&hasher.finalize().to_le_bytes());
    body.push(kind);
    for part in parts {
        body.extend_from_slice(part);
    }
}

/// Appends the first record of a segment.
///
/// # Errors
/// `Internal` when it cannot be encoded.
pub fn push_start(body: &mut Vec<u8>, start: &SegmentStart) -> StorageResult<()> {
    push_record(body, KIND_START, &[&frame::encode(start)?]);
    Ok(())
}

/// Appends an entry.
///
/// # Errors
/// `Internal` when it cannot be encoded.
pub fn push_entry(
    body: &mut Vec<u8>,
    index: LogIndex,
    term: Term,
    payload: &EntryPayload,
) -> StorageResult<()> {
    let encoded = frame::encode(payload)?;
    let (index, term) = (index.0.to_le_bytes(), term.0.to_le_bytes());
    push_record(body, KIND_ENTRY, &[&index, &term, &encoded]);
    Ok(())
}

/// Appends a hard state.
///
/// # Errors
/// `Internal` when it cannot be encoded.
pub fn push_hard_state(body: &mut Vec<u8>, state: &HardState) -> StorageResult<()> {
    push_record(body, KIND_HARD_STATE, &[&frame::encode(state)?]);
    Ok(())
}

/// Appends a truncation.
pub fn push_truncate(body: &mut Vec<u8>, index: LogIndex, term: Term) {
    let (index, term) = (index.0.to_le_bytes(), term.0.to_le_bytes());
    push_record(body, KIND_TRUNCATE, &[&index, &term]);
}

/// A checked record whose payload is not decoded.
struct RawRecord<'a> {
    kind: u8,
    payload: &'a [u8],
}

/// Checks the record at the start of the bytes.
fn parse_raw_record(bytes: &[u8]) -> Result<RawRecord<'_>, Malformed> {
    if bytes.len() < RECORD_HEADER_BYTES {
        return Err(Malformed::Short);
    }
    let length = read_u32(bytes, 0) as usize;
    if length > MAX_RECORD_BYTES {
        return Err(Malformed::Format);
    }
    let end = RECORD_HEADER_BYTES + length;
    if bytes.len() < end {
        return Err(Malformed::Short);
    }
    if crc32fast::hash(&bytes[8..end]) != read_u32(bytes, 4) {
        return Err(Malformed::Checksum);
    }
    Ok(RawRecord {
        kind: bytes[8],
        payload: &bytes[RECORD_HEADER_BYTES..end],
    })
}

/// Parses the record at the start of the bytes and returns the record and its length in bytes.
///
/// # Errors
/// [`Malformed`] when there is no valid record.
pub fn parse_record(bytes: &[u8]) -> Result<(Record, usize), Malformed> {
    let raw = parse_raw_record(bytes)?;
    let payload = raw.payload;
    let record = match raw.kind {
        KIND_START => Record::Start(frame::decode(payload).map_err(|_| Malformed::Format)?),
        KIND_ENTRY if payload.len() >= ENTRY_PREFIX_BYTES => Record::Entry {
            index: LogIndex(read_u64(payload, 0)),
            term: Term(read_u64(payload, 8)),
        },
        KIND_HARD_STATE => {
            Record::HardState(frame::decode(payload).map_err(|_| Malformed::Format)?)
        }
        KIND_TRUNCATE if payload.len() == 16 => Record::Truncate {
            index: LogIndex(read_u64(payload, 0)),
            term: Term(read_u64(payload, 8)),
        },
        _ => return Err(Malformed::Format),
    };
    Ok((record, RECORD_HEADER_BYTES + payload.len()))
}

/// Parses the entry record at the start of the bytes, payload included.
///
/// # Errors
/// [`Malformed`] when there is no valid entry record.
pub fn parse_entry(bytes: &[u8]) -> Result<linnethitch_protocol::consensus::Entry, Malformed> {
    let raw = parse_raw_record(bytes)?;
    if raw.kind != KIND_ENTRY || raw.payload.len() < ENTRY_PREFIX_BYTES {
        return Err(Malformed::Format);
    }
    let encoded = &raw.payload[ENTRY_PREFIX_BYTES..];
    Ok(linnethitch_protocol::consensus::Entry {
        index: LogIndex(read_u64(raw.payload, 0)),
        term: Term(read_u64(raw.payload, 8)),
        payload: frame::decode(encoded).map_err(|_| Malformed::Format)?,
    })
}
