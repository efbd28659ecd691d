//! Compacted segments: rewritten without their dead records.
//!
//! Layout, little endian: `u32` magic, `u32` count, `u32` CRC-32 of the table,
//! the table (`u32` old offset, `u32` new offset, sorted by old offset), then
//! the records. A [`PayloadRef`](super::PayloadRef) still has the old offset.

use error_stack::Report;
use linnethitch_errors::ErrorKind;

use super::{files::PAYLOAD_DIRECTORY, record::push_payload};
use crate::file_system::{File, FileSystem, OpenMode, StorageResult};

/// Suffix of compacted segments.
pub(super) const SUFFIX: &str = ".compact";
const MAGIC: u32 = 0x4c48_4331;
const HEADER_BYTES: usize = 12;
const ROW_BYTES: usize = 8;

/// Path of a compacted segment.
pub(super) fn compacted_path(number: u32) -> String {
    format!("{PAYLOAD_DIRECTORY}/{number:010}{SUFFIX}")
}

/// Offsets of one live record, before and after compaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MovedRecord {
    old_offset: u32,
    new_offset: u32,
}

/// Offset table of a compacted segment.
pub(super) struct OffsetTable {
    /// Sorted by old offset.
    moved: Vec<MovedRecord>,
}

impl OffsetTable {
    /// Reads the table of a compacted segment.
    pub(super) fn load(file: &dyn File, path: &str) -> StorageResult<Self> {
        let corrupted = || {
            Report::new(ErrorKind::Corrupted)
                .attach(format!("the offset table of {path} is damaged"))
        };
        let mut header = [0; HEADER_BYTES];
        let read = file.read_at(0, &mut header)?;
        let magic = read_u32(&header, 0);
        let table_bytes = read_u32(&header, 4) as usize * ROW_BYTES;
        let fits = (HEADER_BYTES + table_bytes) as u64 <= file.length()?;
        if read < HEADER_BYTES || magic != MAGIC || !fits {
            return Err(corrupted());
        }
        let mut table = vec![0; table_bytes];
        let read = file.read_at(HEADER_BYTES as u64, &mut table)?;
        if read < table_bytes || crc32fast::hash(&table) != read_u32(&header, 8) {
            return Err(corrupted());
        }
        let row = |bytes: &[u8]| MovedRecord {
            old_offset: read_u32(bytes, 0),
            new_offset: read_u32(bytes, 4),
        };
        Ok(OffsetTable {
            moved: table.chunks_exact(ROW_BYTES).map(row).collect(),
        })
    }

    /// The current offset of the record that was at the old offset.
    pub(super) fn current_offset(&self, old_offset: u32) -> Option<u64> {
        let found = self
            .moved
            .binary_search_by_key(&old_offset, |moved| moved.old_offset)
            .ok()?;
        Some(u64::from(self.moved[found].new_offset))
    }
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Writes the compacted segment to a new file; durable on return.
pub(super) fn write_compacted(
    file_system: &dyn FileSystem,
    number: u32,
    records: &[(u32, Vec<u8>)],
) -> StorageResult<Box<dyn File>> {
    let path = compacted_path(number);
    let temporary = format!("{path}.tmp");
    let bytes = encode(records);
    let mut file = file_system.open(&temporary, OpenMode::CreateOrTruncate)?;
    if let Err(error) = file.write_at(0, &bytes) {
        file_system.remove(&temporary)?;
        return Err(error);
    }
    file.sync()?;
    file_system.rename(&temporary, &path)?;
    file_system.sync_directory(PAYLOAD_DIRECTORY)?;
    Ok(file)
}

fn encode(records: &[(u32, Vec<u8>)]) -> Vec<u8> {
    let mut table = Vec::with_capacity(records.len() * ROW_BYTES);
    let mut body = Vec::new();
    let body_start = HEADER_BYTES + records.len() * ROW_BYTES;
    for (old_offset, payload) in records {
        table.extend_from_slice(&old_offset.to_le_bytes());
        table.extend_from_slice(&((body_start + body.len()) as u32).to_le_bytes());
        push_payload(&mut body, payload);
    }
    let mut bytes = Vec::with_capacity(body_start + body.len());
    bytes.extend_from_slice(&MAGIC.to_le_bytes());
    bytes.extend_from_slice(&(records.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&table).to_le_bytes());
    bytes.extend_from_slice(&table);
    bytes.extend_from_slice(&body);
    bytes
}
