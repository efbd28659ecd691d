//! Reads a segment when the log is opened and distinguishes a torn tail from damage.

use super::record::{
    self, BATCH_HEADER_BYTES, BATCH_MAGIC, Malformed, Record, SECTOR_BYTES, count_zero_sectors,
    parse_batch_header, parse_record,
};
use crate::file_system::{File, StorageResult};

/// Bytes of one read in the search for later batches.
const SEARCH_BYTES: usize = 64 * 1024;

/// How the valid part of a segment ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentEnd {
    /// The valid part ends at the end of the file.
    Clean,
    /// The last write was never synced and is incomplete.
    Torn,
    /// Completely written bytes fail their check.
    Corrupted(&'static str),
}

/// Result of a scan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentScan {
    /// Bytes up to the end of the last valid batch.
    pub(crate) valid_bytes: u64,
    /// File offset of the last valid batch.
    pub(crate) last_batch: u64,
    /// How the valid part ends.
    pub(crate) end: SegmentEnd,
}

/// Reads all batches and passes each record with its file offset to `visit`.
///
/// `visit` returns a reason when the record contradicts the preceding records.
///
/// # Errors
/// `Io`.
pub(crate) fn scan_segment(
    file: &dyn File,
    sequence: u64,
    mut visit: impl FnMut(Record, u64) -> Result<(), &'static str>,
) -> StorageResult<SegmentScan> {
    let length = file.length()?;
    let mut offset = 0;
    let mut last_batch = 0;
    while offset < length {
        let body = match read_batch(file, sequence, offset, length)? {
            Ok(body) => body,
            Err(_) => {
                let end = classify(file, sequence, offset, length)?;
                return Ok(SegmentScan {
                    valid_bytes: offset,
                    last_batch,
                    end,
                });
            }
        };
        let body_start = offset + BATCH_HEADER_BYTES as u64;
        if let Err(reason) = visit_records(&body, body_start, &mut visit) {
            return Ok(SegmentScan {
                valid_bytes: offset,
                last_batch,
                end: SegmentEnd::Corrupted(reason),
            });
        }
        last_batch = offset;
        offset = body_start + body.len() as u64;
    }
    Ok(SegmentScan {
        valid_bytes: offset,
        last_batch,
        end: SegmentEnd::Clean,
    })
}

/// Reads the batch at the offset and checks every record in it.
fn read_batch(
    file: &dyn File,
    sequence: u64,
    offset: u64,
    length: u64,
) -> StorageResult<Result<Vec<u8>, Malformed>> {
    let mut header = [0; BATCH_HEADER_BYTES];
    let read = file.read_at(offset, &mut header)?;
    let header = match parse_batch_header(&header[..read], offset, sequence) {
        Ok(header) => header,
        Err(malformed) => return Ok(Err(malformed)),
    };
    let body_start = offset + BATCH_HEADER_BYTES as u64;
    if body_start + header.body_bytes as u64 > length {
        return Ok(Err(Malformed::Short));
    }
    let mut body = vec![0; header.body_bytes];
    if file.read_at(body_start, &mut body)? < body.len() {
        return Ok(Err(Malformed::Short));
    }
    let mut at = 0;
    while at < body.len() {
        match parse_record(&body[at..]) {
            Ok((_, bytes)) => at += bytes,
            Err(_) => return Ok(Err(Malformed::Checksum)),
        }
    }
    Ok(Ok(body))
}

fn visit_records(
    body: &[u8],
    body_start: u64,
    visit: &mut impl FnMut(Record, u64) -> Result<(), &'static str>,
) -> Result<(), &'static str> {
    let mut at = 0;
    while at < body.len() {
        let (record, bytes) = parse_record(&body[at..]).map_err(|_| "a record is malformed")?;
        visit(record, body_start + at as u64)?;
        at += bytes;
    }
    Ok(())
}

/// Decides whether the malformed batch at the offset was torn or damaged.
///
/// A torn write leaves a short file, or sectors that were never written and
/// read as zeros. A complete batch with wrong bytes is damage, and so are wrong
/// bytes before a later batch, since a batch is written only once all
/// preceding batches are synced.
fn classify(file: &dyn File, sequence: u64, offset: u64, length: u64) -> StorageResult<SegmentEnd> {
    if batch_follows(file, sequence, offset + 1, length)? {
        return Ok(SegmentEnd::Corrupted("a valid batch follows a damaged one"));
    }
    Ok(match is_torn(file, sequence, offset, length)? {
        true => SegmentEnd::Torn,
        false => SegmentEnd::Corrupted("the last batch is complete but fails its checksum"),
    })
}

/// Whether the last batch was only partly written.
fn is_torn(file: &dyn File, sequence: u64, offset: u64, length: u64) -> StorageResult<bool> {
    let mut header = [0; BATCH_HEADER_BYTES];
    if file.read_at(offset, &mut header)? < BATCH_HEADER_BYTES {
        return Ok(true);
    }
    let Ok(header) = parse_batch_header(&header, offset, sequence) else {
        return header_sector_unwritten(file, offset);
    };
    let batch_bytes = BATCH_HEADER_BYTES + header.body_bytes;
    if offset + batch_bytes as u64 > length {
        return Ok(true);
    }
    let mut batch = vec![0; batch_bytes];
    file.read_at(offset, &mut batch)?;
    Ok(count_zero_sectors(&batch, offset) > header.zero_sectors)
}

/// Whether a sector of the header was never written.
///
/// The header and the record after it have non-zero bytes in each of their
/// sectors, so an all-zero sector was never written.
fn header_sector_unwritten(file: &dyn File, offset: u64) -> StorageResult<bool> {
    let sector = SECTOR_BYTES as u64;
    let header_end = offset + BATCH_HEADER_BYTES as u64;
    let sectors_end = header_end.div_ceil(sector) * sector;
    let mut bytes = vec![0; (sectors_end - offset) as usize];
    let read = file.read_at(offset, &mut bytes)?;
    Ok(count_zero_sectors(&bytes[..read], offset) > 0)
}

/// Whether there is a valid batch header at or after the offset.
fn batch_follows(
    file: &dyn File,
    sequence: u64,
    mut offset: u64,
    length: u64,
) -> StorageResult<bool> {
    let magic = BATCH_MAGIC.to_le_bytes();
    let mut window = vec![0; SEARCH_BYTES];
    while offset + BATCH_HEADER_BYTES as u64 <= length {
        let read = file.read_at(offset, &mut window)?;
        if read < BATCH_HEADER_BYTES {
            break;
        }
        let candidates = read - BATCH_HEADER_BYTES + 1;
        for at in 0..candidates {
            let bytes = &window[at..at + BATCH_HEADER_BYTES];
            let found = bytes[..4] == magic
                && record::parse_batch_header(bytes, offset + at as u64, sequence).is_ok();
            if found {
                return Ok(true);
            }
        }
        offset += candidates as u64;
    }
    Ok(false)
}
