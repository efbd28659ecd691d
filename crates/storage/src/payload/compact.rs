//! A segment rewritten without its dead records.
//!
//! Layout, little endian: `u32` magic, `u32` count, `u32` CRC-32 of the table,
//! the table (`u32` old offset, `u32` new offset, sorted by the old one), then
//! the records. References keep the old offset.

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

/// One record that stayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Moved {
    old_offset: u32,
    new_offset: u32,
}

/// Where the records of a compacted segment lie now.
pub(super) struct Compacted {
    /// Sorted by the old offset.
    moved: Vec<Moved>,
}

impl Compacted {
    /// Reads the table of a compacted segment.
    pub(super) fn load(file: &dyn File, path: &str) -> StorageResult<Self> {
        let failed =
            || Report::new(ErrorKind::Corrupted).attach(format!("the table of {path} is damaged"));
        let mut header = [0; HEADER_BYTES];
        let read = file.read_at(0, &mut header)?;
        let magic = word(&header, 0);
        let table_bytes = word(&header, 4) as usize * ROW_BYTES;
        let fits = (HEADER_BYTES + table_bytes) as u64 <= file.length()?;
        if read < HEADER_BYTES || magic != MAGIC || !fits {
            return Err(failed());
        }
        let mut table = vec![0; table_bytes];
        let read = file.read_at(HEADER_BYTES as u64, &mut table)?;
        if read < table_bytes || crc32fast::hash(&table) != word(&header, 8) {
            return Err(failed());
        }
        let row = |bytes: &[u8]| Moved {
            old_offset: word(bytes, 0),
            new_offset: word(bytes, 4),
        };
        Ok(Compacted {
            moved: table.chunks_exact(ROW_BYTES).map(row).collect(),
        })
    }

    /// Where the record that was at the old offset lies now.
    pub(super) fn position(&self, old_offset: u32) -> Option<u64> {
        let found = self
            .moved
            .binary_search_by_key(&old_offset, |moved| moved.old_offset)
            .ok()?;
        Some(u64::from(self.moved[found].new_offset))
    }
}

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Writes the compacted form of a segment beside it; durable on return.
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
