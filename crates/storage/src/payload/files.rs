//! Payloads in append-only segment files.
//!
//! The log holds every payload until a checkpoint covers it, so appends are not
//! synced one by one. A checkpoint of the state machine notes a [`PayloadMark`];
//! after a crash [`PayloadStore::open`] cuts everything after the mark off and
//! the replay of the log appends it again. What is released stays on disk
//! until a checkpoint made after the release is durable, so that the replay
//! finds all that it reads.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;

use super::{
    PayloadMark, PayloadRef, Payloads,
    compact::{Compacted, compacted_path, write_compacted},
    record::{self, header_bytes, push_payload},
};
use crate::file_system::{File, FileSystem, OpenMode, StorageResult};

/// Directory of the payloads in the data folder.
pub const PAYLOAD_DIRECTORY: &str = "payloads";
const SUFFIX: &str = ".data";
/// Longest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
/// Appended bytes held in memory before they are written.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Appended bytes that wait in memory at most while the disk is full.
const MAX_WAITING_BYTES: usize = 64 * 1024 * 1024;

/// Bounds of a payload store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadLimits {
    /// A new segment is begun once one holds this many bytes.
    pub segment_bytes: u32,
    /// A segment with a smaller share of live bytes, in percent, is worth compacting.
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
    /// Where records lie now, if the segment was compacted.
    compacted: Option<Compacted>,
    /// Bytes of records, buffered ones included.
    length: u64,
    /// Bytes of records that a replay or a reader may still need.
    held_bytes: u64,
}

/// A release that is not covered by a durable checkpoint yet.
type Release = PayloadRef;

/// Payloads in segment files under one data folder.
pub struct PayloadStore {
    file_system: Arc<dyn FileSystem>,
    limits: PayloadLimits,
    segments: BTreeMap<u32, Segment>,
    /// Records of the newest segment that are not written yet.
    buffer: Vec<u8>,
    live_bytes: u64,
    /// Releases since the last settled checkpoint, oldest first.
    releases: VecDeque<Release>,
    /// Releases that were settled since the store was opened.
    settled_releases: u64,
    /// Checkpoints that are not settled, with the number of releases before each.
    checkpoints: VecDeque<(PayloadMark, u64)>,
    /// Number of the newest checkpoint.
    last_checkpoint: u64,
    /// Whether the newest segment's directory entry is not synced yet.
    directory_dirty: bool,
    failed: bool,
}

impl PayloadStore {
    /// Opens the store as it was at a checkpoint: what was appended later is cut off.
    ///
    /// Every payload that the checkpoint refers to must then be named to
    /// [`Payloads::mark_live`]; the space of others is given back. A blank disk, or
    /// one whose state is read from a peer's snapshot, begins empty at
    /// [`PayloadMark::default`].
    ///
    /// # Errors
    /// `Corrupted` when the checkpoint's newest segment is short, `StorageFull`, `Io`.
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
            settled_releases: 0,
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
            let compacted = Compacted::load(file.as_ref(), &compacted_file)?;
            if self.file_system.exists(&path)? {
                self.file_system.remove(&path)?;
            }
            let length = file.length()?;
            self.insert_segment(number, file, Some(compacted), length);
            return Ok(());
        }
        let mut file = self.file_system.open(&path, OpenMode::Write)?;
        let mut length = file.length()?;
        if number == mark.segment {
            if length < u64::from(mark.offset) {
                return Err(corrupted(format!("{path} ends before its checkpoint")));
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
        compacted: Option<Compacted>,
        length: u64,
    ) {
        let segment = Segment {
            file,
            compacted,
            length,
            held_bytes: 0,
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

    /// The segment to append to, begun if the newest one is full.
    fn writable_segment(&mut self) -> StorageResult<u32> {
        let limit = u64::from(self.limits.segment_bytes);
        let newest = self
            .newest()
            .map(|(number, segment)| (number, segment.length, segment.compacted.is_some()));
        let next = match newest {
            Some((number, length, false)) if length < limit => return Ok(number),
            Some((number, _, _)) => number + 1,
            None => 1,
        };
        let synced = self.sync();
        if let (Some((number, _, false)), true) = (newest, is_full(&synced)) {
            // The newest one grows beyond its size until there is room again.
            self.wait_for_room(synced)?;
            return Ok(number);
        }
        synced?;
        let path = segment_path(next);
        let file = self.file_system.open(&path, OpenMode::CreateOrTruncate)?;
        self.insert_segment(next, file, None, 0);
        self.directory_dirty = true;
        Ok(next)
    }

    /// Writes what is buffered, without a sync.
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
            // Kept for another try once there is room.
            segment.file.truncate(start)?;
            self.buffer = buffer;
        }
        written
    }

    fn refuse_if_failed(&self) -> StorageResult<()> {
        if self.failed {
            return Err(Report::new(ErrorKind::Io).attach("an earlier payload sync failed"));
        }
        Ok(())
    }

    /// Lets appended records wait in memory while the disk is full, within a bound:
    /// what was committed can be applied, and the log refuses new work meanwhile.
    fn wait_for_room(&mut self, written: StorageResult<()>) -> StorageResult<()> {
        if is_full(&written) && self.buffer.len() < MAX_WAITING_BYTES {
            return Ok(());
        }
        self.note_failure(written)
    }

    fn note_failure<T>(&mut self, result: StorageResult<T>) -> StorageResult<T> {
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

    /// Reads bytes of a segment, from the buffer if they are not written yet.
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
                Report::new(ErrorKind::NotFound).attach("a payload beyond the end")
            });
        }
        let mut bytes = vec![0; length];
        let read = segment.file.read_at(offset, &mut bytes)?;
        bytes.truncate(read);
        Ok(bytes)
    }

    /// Where the record of a payload begins in its file.
    fn position(&self, payload: &PayloadRef) -> StorageResult<u64> {
        let compacted = self
            .segments
            .get(&payload.segment)
            .and_then(|segment| segment.compacted.as_ref());
        match compacted {
            None => Ok(u64::from(payload.offset)),
            Some(compacted) => compacted.position(payload.offset).ok_or_else(|| {
                Report::new(ErrorKind::NotFound).attach(format!("{payload:?} was compacted away"))
            }),
        }
    }

    fn reclaim(&mut self) -> StorageResult<()> {
        let Some(newest) = self.segments.keys().next_back().copied() else {
            return Ok(());
        };
        let dead: Vec<u32> = self
            .segments
            .iter()
            .filter(|(number, segment)| **number != newest && segment.held_bytes == 0)
            .map(|(number, _)| *number)
            .collect();
        for number in dead {
            let compacted = self
                .segments
                .remove(&number)
                .is_some_and(|segment| segment.compacted.is_some());
            let path = match compacted {
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
        self.refuse_if_failed()?;
        if data.len() > MAX_PAYLOAD_BYTES {
            return Err(Report::new(ErrorKind::BodyTooLarge)
                .attach(format!("a payload of {} bytes", data.len())));
        }
        if self.buffer.len() >= MAX_BUFFERED_BYTES {
            let written = self.write_buffer();
            self.wait_for_room(written)?;
        }
        let number = self.writable_segment()?;
        let before = self.buffer.len();
        push_payload(&mut self.buffer, data);
        let added = (self.buffer.len() - before) as u64;
        let Some((_, segment)) = self.newest() else {
            return Err(Report::new(ErrorKind::Internal).attach("no payload segment"));
        };
        let payload = PayloadRef {
            segment: number,
            offset: segment.length as u32,
            length: data.len() as u32,
        };
        segment.length += added;
        segment.held_bytes += added;
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
        let position = self.position(payload)?;
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
        segment.held_bytes += record_bytes(payload);
        self.live_bytes += u64::from(payload.length);
        Ok(())
    }

    fn release(&mut self, payload: &PayloadRef) {
        self.live_bytes = self.live_bytes.saturating_sub(u64::from(payload.length));
        self.releases.push_back(*payload);
    }

    fn sync(&mut self) -> StorageResult<()> {
        self.refuse_if_failed()?;
        let synced = self.sync_files();
        self.note_failure(synced)
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
        let releases = self.settled_releases + self.releases.len() as u64;
        self.checkpoints.push_back((mark, releases));
        Ok(mark)
    }

    fn reclaim_before(&mut self, mark: PayloadMark) -> StorageResult<()> {
        let Some(position) = self.checkpoints.iter().rposition(|(made, _)| *made <= mark) else {
            return Ok(());
        };
        let (_, before) = self.checkpoints[position];
        self.checkpoints.drain(..=position);
        while self.settled_releases < before {
            let Some(payload) = self.releases.pop_front() else {
                break;
            };
            self.settled_releases += 1;
            if let Some(segment) = self.segments.get_mut(&payload.segment) {
                let bytes = record_bytes(&payload);
                segment.held_bytes = segment.held_bytes.saturating_sub(bytes);
            }
        }
        self.reclaim()
    }

    fn compaction_candidate(&self) -> Option<u32> {
        let newest = self.segments.keys().next_back()?;
        let threshold = u64::from(self.limits.compact_below_percent);
        self.segments
            .iter()
            .filter(|(number, _)| *number != newest)
            .filter(|(_, segment)| segment.held_bytes * 100 < segment.length * threshold)
            .min_by_key(|(_, segment)| segment.held_bytes)
            .map(|(number, _)| *number)
    }

    fn compact(&mut self, number: u32, live: &[PayloadRef]) -> StorageResult<()> {
        let mut kept: Vec<PayloadRef> = live
            .iter()
            .chain(&self.releases)
            .filter(|payload| payload.segment == number)
            .copied()
            .collect();
        kept.sort_unstable();
        kept.dedup();
        let mut records = Vec::with_capacity(kept.len());
        for payload in &kept {
            records.push((payload.offset, self.read(payload)?));
        }
        let file = write_compacted(self.file_system.as_ref(), number, &records)?;
        let path = compacted_path(number);
        let compacted = Compacted::load(file.as_ref(), &path)?;
        if self.file_system.exists(&segment_path(number))? {
            self.file_system.remove(&segment_path(number))?;
        }
        let Some(segment) = self.segments.get_mut(&number) else {
            return Ok(());
        };
        segment.length = file.length()?;
        segment.held_bytes = kept.iter().map(record_bytes).sum();
        segment.file = file;
        segment.compacted = Some(compacted);
        Ok(())
    }
}

fn is_full(written: &StorageResult<()>) -> bool {
    written
        .as_ref()
        .is_err_and(|report| *report.current_context() == ErrorKind::StorageFull)
}

/// Bytes that a payload takes in its segment.
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
