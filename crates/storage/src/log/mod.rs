//! The member's durable log of consensus entries and hard states, which share one sync.
//!
//! Records are buffered in memory and written as one batch by [`Log::sync`],
//! so that one sync covers all records appended since the previous sync (group
//! commit). Nothing may be acknowledged before that sync has returned.

mod cache;
mod open;
pub mod record;
mod scan;
mod segment;
mod terms;

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{Entry, HardState},
    ids::{LogIndex, Term},
};

use self::{
    cache::EntryCache,
    record::{BATCH_HEADER_BYTES, LOG_FORMAT_VERSION, SegmentStart},
    segment::{Segment, segment_path},
    terms::TermRuns,
};
use crate::file_system::{FileSystem, OpenMode, StorageResult};

pub use open::{LogDamage, OpenedLog};
pub use segment::LOG_DIRECTORY;

/// Limits of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLimits {
    /// Size in bytes from which a segment is full and the next one is started.
    pub segment_bytes: u64,
    /// Bytes of the newest entries that are cached in memory.
    pub cache_bytes: usize,
}

impl Default for LogLimits {
    fn default() -> Self {
        LogLimits {
            segment_bytes: 32 * 1024 * 1024,
            cache_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Buffered bytes from which an append syncs first.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of one read from disk.
const READ_BYTES: u64 = 256 * 1024;

/// The durable log of one member.
pub struct Log {
    file_system: Arc<dyn FileSystem>,
    limits: LogLimits,
    /// Oldest first; the last one is the active segment. Never empty.
    segments: Vec<Segment>,
    terms: TermRuns,
    hard_state: HardState,
    cache: EntryCache,
    /// Records that are not written yet.
    buffer: Vec<u8>,
    /// Whether the buffer contains a truncation that is not durable yet.
    truncation_buffered: bool,
    /// The last index that is synced.
    synced: LogIndex,
    /// Set when a sync fails; the log then refuses all further changes.
    failed: bool,
}

impl Log {
    /// Creates the log of a newly formatted data folder and syncs it.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn create(file_system: Arc<dyn FileSystem>, limits: LogLimits) -> StorageResult<Self> {
        file_system.create_directory(LOG_DIRECTORY)?;
        file_system.sync_directory("")?;
        let mut log = Log {
            file_system,
            limits,
            segments: Vec::new(),
            terms: TermRuns::new(LogIndex(0), Term(0)),
            hard_state: HardState::default(),
            cache: EntryCache::new(limits.cache_bytes),
            buffer: Vec::new(),
            truncation_buffered: false,
            synced: LogIndex(0),
            failed: false,
        };
        log.begin_segment(1, false)?;
        log.sync()?;
        Ok(log)
    }

    /// The index of the first entry that can be read.
    #[must_use]
    pub fn first_index(&self) -> LogIndex {
        LogIndex(self.terms.base().0 + 1)
    }

    /// The index of the last entry, or of the last compacted entry if the log is empty.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.terms.last()
    }

    /// The last index that survives a crash.
    #[must_use]
    pub fn synced_index(&self) -> LogIndex {
        self.synced
    }

    /// The newest hard state, synced or not.
    #[must_use]
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The term of the last compacted entry or a later one; `None` for any other index.
    #[must_use]
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        self.terms.term(index)
    }

    /// Whether a sync has failed, so that the log refuses all changes.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Bytes of memory used by the index of entries, without the cache.
    #[must_use]
    pub fn index_bytes(&self) -> usize {
        self.segments.iter().map(Segment::index_bytes).sum()
    }

    /// Bytes of the log on disk.
    #[must_use]
    pub fn disk_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.length).sum()
    }

    /// Appends entries; the first one must follow the last index. Durable after [`Log::sync`].
    ///
    /// # Errors
    /// `InvalidState` when an entry does not follow the last one, `BodyTooLarge`,
    /// and those of [`Log::sync`].
    pub fn append(&mut self, entries: &[Entry]) -> StorageResult<()> {
        for entry in entries {
            self.append_one(entry)?;
        }
        Ok(())
    }

    fn append_one(&mut self, entry: &Entry) -> StorageResult<()> {
        self.check_not_failed()?;
        let last = self.last_index();
        if entry.index.0 != last.0 + 1 {
            return Err(invalid(format!(
                "entry {} does not follow the last entry {last}",
                entry.index
            )));
        }
        if cache::entry_bytes(entry) > record::MAX_RECORD_BYTES / 2 {
            return Err(Report::new(ErrorKind::BodyTooLarge).attach(format!(
                "entry {} exceeds the maximum record size",
                entry.index
            )));
        }
        if self.buffer.len() >= MAX_BUFFERED_BYTES {
            self.sync()?;
        }
        let offset = self.next_record_offset()?;
        record::push_entry(&mut self.buffer, entry.index, entry.term, &entry.payload)?;
        self.active().push(entry.index, offset);
        self.terms.push(entry.index, entry.term);
        self.cache.push(entry.clone());
        Ok(())
    }

    /// Records a new hard state. Durable after [`Log::sync`].
    ///
    /// # Errors
    /// Those of [`Log::sync`].
    pub fn set_hard_state(&mut self, state: &HardState) -> StorageResult<()> {
        self.check_not_failed()?;
        if *state == self.hard_state {
            return Ok(());
        }
        self.next_record_offset()?;
        record::push_hard_state(&mut self.buffer, state)?;
        self.hard_state = state.clone();
        Ok(())
    }

    /// Truncates the log after this index. Durable after [`Log::sync`].
    ///
    /// # Errors
    /// `InvalidState` when the index is compacted, and those of [`Log::sync`].
    pub fn truncate_after(&mut self, index: LogIndex) -> StorageResult<()> {
        self.check_not_failed()?;
        if index >= self.last_index() {
            return Ok(());
        }
        let Some(term) = self.term(index) else {
            return Err(invalid(format!("index {index} is compacted")));
        };
        self.next_record_offset()?;
        record::push_truncate(&mut self.buffer, index, term);
        self.truncation_buffered = true;
        for segment in &mut self.segments {
            segment.truncate_after(index);
        }
        self.terms.truncate_after(index);
        self.cache.truncate_after(index);
        self.synced = self.synced.min(index);
        Ok(())
    }

    /// Writes and syncs all buffered records as one batch.
    ///
    /// After `StorageFull` the log on disk is unchanged, the records remain in
    /// memory and the sync may be retried. After any other error the log
    /// refuses all changes, since the state of the disk is then unknown.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn sync(&mut self) -> StorageResult<()> {
        self.check_not_failed()?;
        if self.buffer.is_empty() {
            return Ok(());
        }
        if let Err(error) = self.write_batch() {
            self.failed = *error.current_context() != ErrorKind::StorageFull;
            return Err(error);
        }
        self.buffer.clear();
        self.buffer.shrink_to(MAX_BUFFERED_BYTES);
        self.truncation_buffered = false;
        self.synced = self.last_index();
        self.cache.evict(self.synced);
        Ok(())
    }

    fn write_batch(&mut self) -> StorageResult<()> {
        let created = self.create_active_file()?;
        let (length, sequence) = (self.active().length, self.active().sequence);
        let batch = record::encode_batch(&self.buffer, length, sequence);
        let Some(file) = self.active().file.as_mut() else {
            return Err(Report::new(ErrorKind::Internal).attach("the active segment has no file"));
        };
        if let Err(error) = file.write_at(length, &batch) {
            // The partial write would occupy space that the retry needs.
            file.truncate(length).map_err(|_| {
                Report::new(ErrorKind::Io)
                    .attach("cannot truncate the segment after a failed write")
            })?;
            return Err(error);
        }
        file.sync()?;
        if created {
            self.file_system.sync_directory(LOG_DIRECTORY)?;
        }
        self.active().length += batch.len() as u64;
        Ok(())
    }

    /// Creates the file of the active segment if needed; returns whether its directory needs a sync.
    fn create_active_file(&mut self) -> StorageResult<bool> {
        if self.active().file.is_none() {
            let path = segment_path(self.active().sequence);
            let file = self.file_system.open(&path, OpenMode::CreateOrTruncate)?;
            self.active().file = Some(file);
        }
        Ok(self.active().length == 0)
    }

    /// Entries from `from` (inclusive) to `to` (exclusive), at least one, up to about `max_bytes`.
    ///
    /// # Errors
    /// `NotFound` when `from` is compacted or past the end, `Corrupted`, `Io`.
    pub fn entries(
        &self,
        from: LogIndex,
        to: LogIndex,
        max_bytes: usize,
    ) -> StorageResult<Vec<Entry>> {
        let end = to.0.min(self.last_index().0 + 1);
        if from < self.first_index() || (from.0 >= end && from.0 < to.0) {
            return Err(Report::new(ErrorKind::NotFound).attach(format!("entry {from}")));
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut next = from.0;
        while next < end && (bytes < max_bytes || entries.is_empty()) {
            let before = entries.len();
            match self.cache.get(LogIndex(next)) {
                Some(entry) => entries.push(entry.clone()),
                None => {
                    self.read_consecutive(LogIndex(next), end, max_bytes - bytes, &mut entries)?
                }
            }
            let added = &entries[before..];
            bytes += added.iter().map(cache::entry_bytes).sum::<usize>();
            next += added.len() as u64;
        }
        Ok(entries)
    }

    /// Reads consecutive entries of one segment from disk with one read; at least one entry.
    fn read_consecutive(
        &self,
        from: LogIndex,
        end: u64,
        max_bytes: usize,
        entries: &mut Vec<Entry>,
    ) -> StorageResult<()> {
        let missing = || Report::new(ErrorKind::NotFound).attach(format!("entry {from}"));
        let found = self
            .segments
            .iter()
            .find_map(|segment| Some((segment, segment.offset_of(from)?)));
        let (segment, start) = found.ok_or_else(missing)?;
        let file = segment.file.as_ref().ok_or_else(missing)?;
        let mut window = READ_BYTES.min(max_bytes as u64).max(4096);
        let mut end = end;
        loop {
            let length = window.min(segment.length.saturating_sub(start));
            let mut bytes = vec![0; length as usize];
            let read = file.read_at(start, &mut bytes)?;
            let before = entries.len();
            let mut index = from;
            while index.0 < end {
                let Some(offset) = segment.offset_of(index) else {
                    break;
                };
                let at = ((offset - start) as usize).min(read);
                match record::parse_entry(&bytes[at..read]) {
                    Ok(entry) if entry.index == index => entries.push(entry),
                    Err(record::Malformed::Short) if index > from || window <= length => break,
                    _ => return Err(self.corrupted(segment, index)),
                }
                index.0 += 1;
            }
            if entries.len() > before {
                return Ok(());
            }
            // The first record is longer than the window: read only this record, with a larger window.
            end = from.0 + 1;
            window = (record::MAX_RECORD_BYTES + record::RECORD_HEADER_BYTES) as u64;
        }
    }

    fn corrupted(&self, segment: &Segment, index: LogIndex) -> Report<ErrorKind> {
        Report::new(ErrorKind::Corrupted).attach(format!(
            "entry {index} in {} is corrupted; the log must be fetched from a peer from that index",
            segment_path(segment.sequence)
        ))
    }

    /// Compacts the log: drops entries up to this index. A durable snapshot must cover them.
    ///
    /// Space is freed by complete segments only.
    ///
    /// # Errors
    /// `InvalidState` when the log has no synced entry of this index and term, `Io`.
    pub fn compact_to(&mut self, index: LogIndex, term: Term) -> StorageResult<()> {
        self.check_not_failed()?;
        if index <= self.terms.base() {
            return Ok(());
        }
        if index > self.synced || self.term(index) != Some(term) {
            return Err(invalid(format!(
                "no synced entry {index} of term {term} to compact to"
            )));
        }
        self.terms.compact_to(index);
        self.cache.drop_through(index);
        self.drop_dead_segments(index)
    }

    /// Removes the oldest segments without live entries; the removal is durable on return.
    ///
    /// The newest segment on disk stays, since it holds the hard state.
    fn drop_dead_segments(&mut self, index: LogIndex) -> StorageResult<()> {
        if self.truncation_buffered {
            return Ok(());
        }
        let is_dead = |segment: &Segment| segment.last_index().is_none_or(|last| last <= index);
        let newest = self
            .segments
            .iter()
            .rposition(|segment| segment.length > 0)
            .unwrap_or(0);
        let dead = self.segments[..newest]
            .iter()
            .take_while(|segment| is_dead(segment))
            .count();
        self.remove_oldest(dead)
    }

    fn remove_oldest(&mut self, count: usize) -> StorageResult<()> {
        if count == 0 {
            return Ok(());
        }
        let written = |segment: &Segment| segment.file.is_some();
        for segment in self.segments.drain(..count).filter(written) {
            self.file_system.remove(&segment_path(segment.sequence))?;
        }
        self.file_system.sync_directory(LOG_DIRECTORY)
    }

    /// Restarts the log after a snapshot from the leader; synced on return.
    ///
    /// The snapshot must be durable. All earlier entries are discarded.
    ///
    /// # Errors
    /// Those of [`Log::sync`].
    pub fn reset_to(&mut self, index: LogIndex, term: Term) -> StorageResult<()> {
        self.check_not_failed()?;
        self.buffer.clear();
        self.cache.clear();
        self.terms = TermRuns::new(index, term);
        for segment in &mut self.segments {
            segment.truncate_after(LogIndex(0));
        }
        let sequence = self.active().sequence + 1;
        self.begin_segment(sequence, true)?;
        self.sync()?;
        let older = self.segments.len() - 1;
        self.remove_oldest(older)
    }

    /// File offset of the next record; starts a new segment when the active one is full.
    fn next_record_offset(&mut self) -> StorageResult<u64> {
        if self.buffer.is_empty() && self.active().length >= self.limits.segment_bytes {
            let sequence = self.active().sequence + 1;
            self.active().seal();
            self.begin_segment(sequence, false)?;
        }
        let buffered = self.buffer.len();
        Ok(self.active().length + (BATCH_HEADER_BYTES + buffered) as u64)
    }

    fn begin_segment(&mut self, sequence: u64, reset: bool) -> StorageResult<()> {
        let previous_index = self.last_index();
        let start = SegmentStart {
            format_version: LOG_FORMAT_VERSION,
            sequence,
            previous_index,
            previous_term: self.term(previous_index).unwrap_or_default(),
            reset,
            hard_state: self.hard_state.clone(),
        };
        record::push_start(&mut self.buffer, &start)?;
        self.segments.push(Segment::new(sequence, None));
        Ok(())
    }

    fn active(&mut self) -> &mut Segment {
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    fn check_not_failed(&self) -> StorageResult<()> {
        if self.failed {
            return Err(Report::new(ErrorKind::Io)
                .attach("an earlier sync failed; the log must be reopened"));
        }
        Ok(())
    }
}

fn invalid(reason: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::InvalidState).attach(reason)
}
