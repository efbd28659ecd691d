//! Payloads in append-only segment files.
//!
//! The log retains every payload until a checkpoint covers it, so appends are
//! not synced individually. A checkpoint of the state machine stores a
//! [`PayloadMark`]; after a crash [`PayloadStore::open`] discards everything
//! after the mark and the replay of the log appends it again. A released
//! payload stays on disk until a checkpoint taken after the release is durable,
//! so that the replay can still read it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;

use super::{
    PayloadMark, PayloadRef, Payloads,
    compact::{OffsetTable, compacted_path, write_compacted},
    record::{self, header_bytes, push_payload},
};
use crate::file_system::{File, FileSystem, OpenMode, StorageResult};

/// Directory of the payloads in the data folder.
pub const PAYLOAD_DIRECTORY: &str = "payloads";
const SUFFIX: &str = ".data";
/// Maximum payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
/// Appended bytes that are buffered in memory before they are written.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Maximum appended bytes that are buffered in memory while the disk is full.
const MAX_BUFFERED_WHILE_FULL_BYTES: usize = 64 * 1024 * 1024;

/// Limits of a payload store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadLimits {
    /// Size in bytes from which a segment is full and the next one is started.
    pub segment_bytes: u32,
    /// A segment with a lower percentage of live bytes is a candidate for compaction.
    pub compact_below_percent: u32,
}

impl Default for PayloadLimits {
    fn default() -> Self {
        PayloadLimits {
            segment_bytes: 64 * 1024 * 1024,
            compact_below_percent: 25,
        }
    }
}

/// One segment file.
struct Segment {
    file: Box<dyn File>,
    /// The current offsets of the records, if the segment was compacted.
    offset_table: Option<OffsetTable>,
    /// Bytes of records, including buffered ones.
    length: u64,
    /// Bytes of records that a replay or a reader may need.
    retained_bytes: u64,
}

/// A released payload whose space is not reclaimed yet, since no durable checkpoint covers
/// the release.
type Release = PayloadRef;

/// Payloads in segment files under one data folder.
pub struct PayloadStore {
    file_system: Arc<dyn FileSystem>,
    limits: PayloadLimits,
    segments: BTreeMap<u32, Segment>,
    /// Records at the end of the newest segment that are not written yet.
    buffer: Vec<u8>,
    live_bytes: u64,
    /// Releases since the last checkpoint that was reported as durable, oldest first.
    releases: VecDeque<Release>,
    /// Number of releases that were reclaimed since the store was opened.
    reclaimed_releases: u64,
    /// Checkpoints that were not reported as durable, with the number of releases before each.
    checkpoints: VecDeque<(PayloadMark, u64)>,
    /// Number of the newest checkpoint.
    last_checkpoint: u64,
    /// Whether the newest segment's directory entry is not synced yet.
    directory_dirty: bool,
    failed: bool,
}

impl PayloadStore {
    /// Opens the store as it was at a checkpoint; later payloads are discarded.
    ///
    /// Every payload that the checkpoint refers to must then be passed to
    /// [`Payloads::mark_live`]; the space of others is reclaimed. A blank disk,
    /// or one whose state is restored from a peer's snapshot, starts empty at
    /// [`PayloadMark::default`].
    ///
    /// # Errors
    /// `Corrupted` when the checkpoint's newest segment is too short, `StorageFull`, `Io`.
    pub fn open(
        file_system: Arc<dyn FileSystem>,
        limits: PayloadLimits,
        mark: PayloadMark,
    ) -> StorageResult<Self> {
        if !file_system.exists(PAYLOAD_DIRECTORY)? {
            file_system.create_directory(PAYLOAD_DIRECTORY)?;
            file_system.sync_directory("")?;
        }
        let mut store = PayloadStore {
            file_system,
            limits,
            segments: BTreeMap::new(),
            buffer: Vec::new(),
            live_bytes: 0,
            releases: VecDeque::new(),
            reclaimed_releases: 0,
            checkpoints: VecDeque::new(),
            last_checkpoint: mark.checkpoint,
            directory_dirty: true,
            failed: false,
        };
        store.open_segments(mark)?;
        Ok(store)
    }

    fn open_segments(&mut self, mark: PayloadMark) -> StorageResult<()> {
        for name in self.file_system.list(PAYLOAD_DIRECTORY)? {
            let path = format!("{PAYLOAD_DIRECTORY}/{name}");
            match segment_number(&name) {
                Some(number) if number <= mark.segment => self.open_segment(number, mark)?,
                Some(_) => self.file_system.remove(&path)?,
                None if name.ends_with(".tmp") => self.file_system.remove(&path)?,
                None => {}
            }
        }
        Ok(())
    }

    fn open_segment(&mut self, number: u32, mark: PayloadMark) -> StorageResult<()> {
        let path = segment_path(number);
        let compacted_file = compacted_path(number);
        if self.file_system.exists(&compacted_file)? {
            let file = self.file_system.open(&compacted_file, OpenMode::Read)?;
            let offset_table = OffsetTable::load(file.as_ref(), &compacted_file)?;
            if self.file_system.exists(&path)? {
                self.file_system.remove(&path)?;
            }
            let length = file.length()?;
            self.insert_segment(number, file, Some(offset_table), length);
            return Ok(());
        }
        let mut file = self.file_system.open(&path, OpenMode::Write)?;
        let mut length = file.length()?;
        if number == mark.segment {
            if length < u64::from(mark.offset) {
                return Err(corrupted(format!(
                    "{path} has {length} bytes, fewer than its checkpoint requires"
                )));
            }
            length = u64::from(mark.offset);
            file.truncate(length)?;
        }
        self.insert_segment(number, file, None, length);
        Ok(())
    }

    fn insert_segment(
        &mut self,
        number: u32,
        file: Box<dyn File>,
        offset_table: Option<OffsetTable>,
        length: u64,
    ) {
        let segment = Segment {
            file,
            offset_table,
            length,
            retained_bytes: 0,
        };
        self.segments.insert(number, segment);
    }

    /// Bytes of all segment files.
    #[must_use]
    pub fn disk_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    fn newest(&mut self) -> Option<(u32, &mut Segment)> {
        let (number, segment) = self.segments.iter_mut().next_back()?;
        Some((*number, segment))
    }

    /// The segment to append to; starts a new segment if the newest one is full.
    fn writable_segment(&mut self) -> StorageResult<u32> {
        let limit = u64::from(self.limits.segment_bytes);
        let newest = self
            .newest()
            .map(|(number, segment)| (number, segment.length, segment.offset_table.is_some()));
        let next = match newest {
            Some((number, length, false)) if length < limit => return Ok(number),
            Some((number, _, _)) => number + 1,
            None => 1,
        };
        let synced = self.sync();
        if let (Some((number, _, false)), true) = (newest, is_full(&synced)) {
            // The newest segment exceeds its size limit until the disk has free space.
            self.tolerate_full_disk(synced)?;
            return Ok(number);
        }
        synced?;
        let path = segment_path(next);
        let file = self.file_system.open(&path, OpenMode::CreateOrTruncate)?;
        self.insert_segment(next, file, None, 0);
        self.directory_dirty = true;
        Ok(next)
    }

    /// Writes the buffer, without a sync.
    fn write_buffer(&mut self) -> StorageResult<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let buffer = std::mem::take(&mut self.buffer);
        let Some((_, segment)) = self.newest() else {
            return Ok(());
        };
        let start = segment.length - buffer.len() as u64;
        let written = segment.file.write_at(start, &buffer);
        if written.is_err() {
            // Stays buffered; the write is retried once the disk has free space.
            segment.file.truncate(start)?;
            self.buffer = buffer;
        }
        written
    }

    fn check_not_failed(&self) -> StorageResult<()> {
        if self.failed {
            return Err(Report::new(ErrorKind::Io).attach("an earlier payload sync failed"));
        }
        Ok(())
    }

    /// Tolerates a full disk while the buffer is under its limit: committed entries can then
    /// be applied, while the log refuses new work.
    fn tolerate_full_disk(&mut self, written: StorageResult<()>) -> StorageResult<()> {
        if is_full(&written) && self.buffer.len() < MAX_BUFFERED_WHILE_FULL_BYTES {
            return Ok(());
        }
        self.record_failure(written)
    }

    fn record_failure<T>(&mut self, result: StorageResult<T>) -> StorageResult<T> {
        if let Err(error) = &result {
            self.failed |= *error.current_context() != ErrorKind::StorageFull;
        }
        result
    }

    fn sync_files(&mut self) -> StorageResult<()> {
        self.write_buffer()?;
        if let Some((_, segment)) = self.newest() {
            segment.file.sync()?;
        }
        if self.directory_dirty {
            self.file_system.sync_directory(PAYLOAD_DIRECTORY)?;
            self.directory_dirty = false;
        }
        Ok(())
    }

    /// Reads bytes of a segment, from the buffer if the bytes are not written yet.
    fn read_bytes(&self, number: u32, offset: u64, length: usize) -> StorageResult<Vec<u8>> {
        let segment = self
            .segments
            .get(&number)
            .ok_or_else(|| Report::new(ErrorKind::NotFound).attach(segment_path(number)))?;
        let newest = self.segments.keys().next_back() == Some(&number);
        let buffered = if newest { self.buffer.len() as u64 } else { 0 };
        let written = segment.length - buffered;
        if offset >= written {
            let start = (offset - written) as usize;
            let bytes = self.buffer.get(start..start + length);
            return bytes.map(<[u8]>::to_vec).ok_or_else(|| {
                Report::new(ErrorKind::NotFound)
                    .attach("the payload is past the end of its segment")
            });
        }
        let mut bytes = vec![0; length];
        let read = segment.file.read_at(offset, &mut bytes)?;
        bytes.truncate(read);
        Ok(bytes)
    }

    /// File offset of the record of a payload.
    fn record_offset(&self, payload: &PayloadRef) -> StorageResult<u64> {
        let offset_table = self
            .segments
            .get(&payload.segment)
            .and_then(|segment| segment.offset_table.as_ref());
        match offset_table {
            None => Ok(u64::from(payload.offset)),
            Some(offset_table) => offset_table.current_offset(payload.offset).ok_or_else(|| {
                Report::new(ErrorKind::NotFound)
                    .attach(format!("{payload:?} was removed by compaction"))
            }),
        }
    }

    fn remove_unused_segments(&mut self) -> StorageResult<()> {
        let Some(newest) = self.segments.keys().next_back().copied() else {
            return Ok(());
        };
        let dead: Vec<u32> = self
            .segments
            .iter()
            .filter(|(number, segment)| **number != newest && segment.retained_bytes == 0)
            .map(|(number, _)| *number)
            .collect();
        for number in dead {
            let is_compacted = self
                .segments
                .remove(&number)
                .is_some_and(|segment| segment.offset_table.is_some());
            let path = match is_compacted {
                true => compacted_path(number),
                false => segment_path(number),
            };
            self.file_system.remove(&path)?;
        }
        Ok(())
    }
}

impl Payloads for PayloadStore {
    fn append(&mut self, data: &[u8]) -> StorageResult<PayloadRef> {
        self.check_not_failed()?;
        if data.len() > MAX_PAYLOAD_BYTES {
            return Err(Report::new(ErrorKind::BodyTooLarge).attach(format!(
                "a payload of {} bytes exceeds the maximum of {MAX_PAYLOAD_BYTES}",
                data.len()
            )));
        }
        if self.buffer.len() >= MAX_BUFFERED_BYTES {
            let written = self.write_buffer();
            self.tolerate_full_disk(written)?;
        }
        let number = self.writable_segment()?;
        let before = self.buffer.len();
        push_payload(&mut self.buffer, data);
        let added = (self.buffer.len() - before) as u64;
        let Some((_, segment)) = self.newest() else {
            return Err(Report::new(ErrorKind::Internal).attach("the payload store has no segment"));
        };
        let payload = PayloadRef {
            segment: number,
            offset: segment.length as u32,
            length: data.len() as u32,
        };
        segment.length += added;
        segment.retained_bytes += added;
        self.live_bytes += data.len() as u64;
        Ok(payload)
    }

    fn read(&self, payload: &PayloadRef) -> StorageResult<Vec<u8>> {
        self.read_range(payload, 0, payload.length as usize)
    }

    fn read_range(
        &self,
        payload: &PayloadRef,
        offset: u32,
        length: usize,
    ) -> StorageResult<Vec<u8>> {
        let total = payload.length as usize;
        let start = (offset as usize).min(total);
        let range = start..start.saturating_add(length).min(total);
        if range.is_empty() {
            return Ok(Vec::new());
        }
        let position = self.record_offset(payload)?;
        let failed = || corrupted(format!("{payload:?} fails its checksum"));
        let header = self.read_bytes(payload.segment, position, header_bytes(total))?;
        if !record::header_matches(&header, payload.length) {
            return Err(failed());
        }
        let blocks = record::covering_blocks(&range, total);
        let blocks_at = position + (header.len() + blocks.start) as u64;
        let mut bytes = self.read_bytes(payload.segment, blocks_at, blocks.len())?;
        if bytes.len() != blocks.len() || !record::blocks_match(&header, blocks.start, &bytes) {
            return Err(failed());
        }
        bytes.truncate(range.end - blocks.start);
        bytes.drain(..range.start - blocks.start);
        Ok(bytes)
    }

    fn mark_live(&mut self, payload: &PayloadRef) -> StorageResult<()> {
        let segment = self
            .segments
            .get_mut(&payload.segment)
            .ok_or_else(|| corrupted(format!("{} is missing", segment_path(payload.segment))))?;
        segment.retained_bytes += record_bytes(payload);
        self.live_bytes += u64::from(payload.length);
        Ok(())
    }

    fn release(&mut self, payload: &PayloadRef) {
        self.live_bytes = self.live_bytes.saturating_sub(u64::from(payload.length));
        self.releases.push_back(*payload);
    }

    fn sync(&mut self) -> StorageResult<()> {
        self.check_not_failed()?;
        let synced = self.sync_files();
        self.record_failure(synced)
    }

    fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    fn checkpoint(&mut self) -> StorageResult<PayloadMark> {
        self.sync()?;
        self.last_checkpoint += 1;
        let checkpoint = self.last_checkpoint;
        let (segment, offset) = self
            .newest()
            .map_or((0, 0), |(number, newest)| (number, newest.length as u32));
        let mark = PayloadMark {
            checkpoint,
            segment,
            offset,
        };
        let releases = self.reclaimed_releases + self.releases.len() as u64;
        self.checkpoints.push_back((mark, releases));
        Ok(mark)
    }

    fn reclaim_before(&mut self, mark: PayloadMark) -> StorageResult<()> {
        let Some(position) = self
            .checkpoints
            .iter()
            .rposition(|(recorded, _)| *recorded <= mark)
        else {
            return Ok(());
        };
        let (_, before) = self.checkpoints[position];
        self.checkpoints.drain(..=position);
        while self.reclaimed_releases < before {
            let Some(payload) = self.releases.pop_front() else {
                break;
            };
            self.reclaimed_releases += 1;
            if let Some(segment) = self.segments.get_mut(&payload.segment) {
                let bytes = record_bytes(&payload);
                segment.retained_bytes = segment.retained_bytes.saturating_sub(bytes);
            }
        }
        self.remove_unused_segments()
    }

    fn compaction_candidate(&self) -> Option<u32> {
        let newest = self.segments.keys().next_back()?;
        let threshold = u64::from(self.limits.compact_below_percent);
        self.segments
            .iter()
            .filter(|(number, _)| *number != newest)
            .filter(|(_, segment)| segment.retained_bytes * 100 < segment.length * threshold)
            .min_by_key(|(_, segment)| segment.retained_bytes)
            .map(|(number, _)| *number)
    }

    fn compact(&mut self, number: u32, live: &[PayloadRef]) -> StorageResult<()> {
        let mut retained: Vec<PayloadRef> = live
            .iter()
            .chain(&self.releases)
            .filter(|payload| payload.segment == number)
            .copied()
            .collect();
        retained.sort_unstable();
        retained.dedup();
        let mut records = Vec::with_capacity(retained.len());
        for payload in &retained {
            records.push((payload.offset, self.read(payload)?));
        }
        let file = write_compacted(self.file_system.as_ref(), number, &records)?;
        let path = compacted_path(number);
        let offset_table = OffsetTable::load(file.as_ref(), &path)?;
        if self.file_system.exists(&segment_path(number))? {
            self.file_system.remove(&segment_path(number))?;
        }
        let Some(segment) = self.segments.get_mut(&number) else {
            return Ok(());
        };
        segment.length = file.length()?;
        segment.retained_bytes = retained.iter().map(record_bytes).sum();
        segment.file = file;
        segment.offset_table = Some(offset_table);
        Ok(())
    }
}

fn is_full(written: &StorageResult<()>) -> bool {
    written
        .as_ref()
        .is_err_and(|report| *report.current_context() == ErrorKind::StorageFull)
}

/// Bytes of a payload's record in its segment.
fn record_bytes(payload: &PayloadRef) -> u64 {
    let length = payload.length as usize;
    (header_bytes(length) + length) as u64
}

fn corrupted(reason: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::Corrupted).attach(reason)
}

fn segment_path(number: u32) -> String {
    format!("{PAYLOAD_DIRECTORY}/{number:010}{SUFFIX}")
}

fn segment_number(name: &str) -> Option<u32> {
    let stem = name.strip_suffix(SUFFIX);
    stem.or_else(|| name.strip_suffix(super::compact::SUFFIX))?
        .parse()
        .ok()
}
