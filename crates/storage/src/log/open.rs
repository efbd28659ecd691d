//! Opens a log after a restart: truncates a torn tail and reports damage.

use std::{fmt, sync::Arc};

use linnethitch_protocol::{
    consensus::HardState,
    ids::{LogIndex, Term},
};

use super::{
    Log, LogLimits,
    cache::EntryCache,
    record::{LOG_FORMAT_VERSION, Record, SegmentStart},
    scan::{SegmentEnd, SegmentScan, scan_segment},
    segment::{LOG_DIRECTORY, Segment, segment_path, segment_sequence},
    terms::TermRuns,
};
use crate::file_system::{File, FileSystem, OpenMode, StorageResult};

/// Damage to synced records.
///
/// The member has lost acknowledged entries and possibly its vote, so it must
/// not continue under its identity: it has to take a new disk id, join as a
/// learner and fetch the log from its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogDamage {
    /// The first index that may be lost.
    pub first_lost: LogIndex,
    /// The damaged file.
    pub file: String,
    /// Byte offset of the damage in it.
    pub offset: u64,
    /// Description of the damage.
    pub reason: &'static str,
}

impl fmt::Display for LogDamage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} is damaged at byte {}: {}; entries from {} on must be fetched from peers",
            self.file, self.offset, self.reason, self.first_lost
        )
    }
}

/// The result of opening a log.
pub enum OpenedLog {
    /// All synced records are readable.
    Intact(Log),
    /// Synced records are lost. Nothing was changed on disk.
    Damaged(LogDamage),
}

/// State replayed from the segments read so far.
struct Replay {
    segments: Vec<Segment>,
    terms: TermRuns,
    hard_state: HardState,
}

impl Replay {
    fn new() -> Self {
        Replay {
            segments: Vec::new(),
            terms: TermRuns::new(LogIndex(0), Term(0)),
            hard_state: HardState::default(),
        }
    }

    fn visit(
        &mut self,
        segment: &mut Segment,
        record: Record,
        offset: u64,
    ) -> Result<(), &'static str> {
        let is_first = offset == super::BATCH_HEADER_BYTES as u64;
        match record {
            Record::Start(start) if is_first => self.start(segment, start),
            _ if is_first => Err("the segment does not begin with a start record"),
            Record::Start(_) => Err("the segment has a second start record"),
            Record::Entry { index, term } => self.entry(segment, index, term, offset),
            Record::HardState(state) => {
                self.hard_state = state;
                Ok(())
            }
            Record::Truncate { index, term } => self.truncate(segment, index, term),
        }
    }

    fn start(&mut self, segment: &Segment, start: SegmentStart) -> Result<(), &'static str> {
        if start.format_version != LOG_FORMAT_VERSION {
            return Err("the log has an unsupported format version");
        }
        if start.sequence != segment.sequence {
            return Err(
                "the sequence number of the start record differs from that of the file name",
            );
        }
        let is_oldest = self.segments.is_empty();
        if start.reset || is_oldest {
            self.segments.clear();
            self.terms = TermRuns::new(start.previous_index, start.previous_term);
        } else {
            let before = &self.segments[self.segments.len() - 1];
            if before.sequence + 1 != start.sequence {
                return Err("the preceding segment is missing");
            }
            if self.terms.last() != start.previous_index {
                return Err("the preceding segment lacks entries");
            }
        }
        self.hard_state = start.hard_state;
        Ok(())
    }

    fn entry(
        &mut self,
        segment: &mut Segment,
        index: LogIndex,
        term: Term,
        offset: u64,
    ) -> Result<(), &'static str> {
        if index.0 != self.terms.last().0 + 1 {
            return Err("an entry does not follow the preceding entry");
        }
        self.terms.push(index, term);
        segment.push(index, offset);
        Ok(())
    }

    fn truncate(
        &mut self,
        segment: &mut Segment,
        index: LogIndex,
        term: Term,
    ) -> Result<(), &'static str> {
        if index < self.terms.base() {
            if !self.segments.is_empty() {
                return Err("a truncation to an index before the start of the log");
            }
            // The entries in between were in a segment that compaction removed.
            self.terms = TermRuns::new(index, term);
        }
        for older in &mut self.segments {
            older.truncate_after(index);
        }
        segment.truncate_after(index);
        self.terms.truncate_after(index);
        Ok(())
    }
}

impl Log {
    /// Opens the log of a formatted disk.
    ///
    /// A torn tail, which was never synced, is truncated. Damage to synced
    /// records is reported and nothing is changed.
    ///
    /// # Errors
    /// `Io`.
    pub fn open(file_system: Arc<dyn FileSystem>, limits: LogLimits) -> StorageResult<OpenedLog> {
        let sequences = list_segments(file_system.as_ref())?;
        let mut replay = Replay::new();
        let mut damage = None;
        let mut last_scan = None;
        for sequence in &sequences {
            let path = segment_path(*sequence);
            let is_last = Some(sequence) == sequences.last();
            let file = file_system.open(&path, OpenMode::Write)?;
            let mut segment = Segment::new(*sequence, None);
            let scan = scan_segment(file.as_ref(), *sequence, |record, offset| {
                replay.visit(&mut segment, record, offset)
            })?;
            segment.length = scan.valid_bytes;
            if is_reset(&replay) {
                damage = None;
            }
            damage = damage.or_else(|| find_damage(&replay, &scan, is_last, &path));
            if is_last {
                last_scan = Some(scan);
            }
            segment.file = Some(file);
            segment.seal();
            replay.segments.push(segment);
        }
        let Some(last_scan) = last_scan else {
            return Ok(OpenedLog::Damaged(LogDamage {
                first_lost: LogIndex(1),
                file: LOG_DIRECTORY.to_owned(),
                offset: 0,
                reason: "the log directory is missing or empty",
            }));
        };
        if let Some(damage) = damage {
            return Ok(OpenedLog::Damaged(damage));
        }
        repair_tail(file_system.as_ref(), &mut replay, last_scan)?;
        remove_discarded_segments(file_system.as_ref(), &replay, &sequences)?;
        file_system.sync_directory(LOG_DIRECTORY)?;
        let synced = replay.terms.last();
        Ok(OpenedLog::Intact(Log {
            file_system,
            limits,
            segments: replay.segments,
            terms: replay.terms,
            hard_state: replay.hard_state,
            cache: EntryCache::new(limits.cache_bytes),
            buffer: Vec::new(),
            truncation_buffered: false,
            synced,
            failed: false,
        }))
    }
}

/// Whether the segment just read has discarded all preceding segments.
fn is_reset(replay: &Replay) -> bool {
    replay.segments.is_empty()
}

fn find_damage(
    replay: &Replay,
    scan: &SegmentScan,
    is_last: bool,
    path: &str,
) -> Option<LogDamage> {
    let reason = match scan.end {
        SegmentEnd::Corrupted(reason) => reason,
        SegmentEnd::Torn if !is_last => "the file is truncated although a later segment exists",
        SegmentEnd::Torn if scan.valid_bytes == 0 && replay.segments.is_empty() => {
            "the log holds no complete batch"
        }
        SegmentEnd::Clean if scan.valid_bytes == 0 && !is_last => "the file is empty",
        SegmentEnd::Clean if scan.valid_bytes == 0 && replay.segments.is_empty() => {
            "the log is empty"
        }
        SegmentEnd::Clean | SegmentEnd::Torn => return None,
    };
    Some(LogDamage {
        first_lost: LogIndex(replay.terms.last().0 + 1),
        file: path.to_owned(),
        offset: scan.valid_bytes,
        reason,
    })
}

/// Truncates a torn tail and ensures that the last batch is durable.
///
/// The last batch may have been written but not synced, or its sync may have
/// failed. After a failed sync the kernel treats the pages as clean, so the
/// batch has to be written again before it is synced.
fn repair_tail(
    file_system: &dyn FileSystem,
    replay: &mut Replay,
    scan: SegmentScan,
) -> StorageResult<()> {
    let last = replay.segments.len() - 1;
    if scan.valid_bytes == 0 {
        // The segment was created but its first batch was never synced.
        let segment = replay.segments.remove(last);
        return file_system.remove(&segment_path(segment.sequence));
    }
    let segment = &mut replay.segments[last];
    let Some(file) = segment.file.as_mut() else {
        return Ok(());
    };
    if file.length()? > scan.valid_bytes {
        file.truncate(scan.valid_bytes)?;
    }
    rewrite(file.as_mut(), scan.last_batch, scan.valid_bytes)?;
    file.sync()
}

fn rewrite(file: &mut dyn File, from: u64, to: u64) -> StorageResult<()> {
    let mut bytes = vec![0; (to - from) as usize];
    let read = file.read_at(from, &mut bytes)?;
    file.write_at(from, &bytes[..read])
}

/// Removes segments that a later reset discarded but a crash left on disk.
fn remove_discarded_segments(
    file_system: &dyn FileSystem,
    replay: &Replay,
    sequences: &[u64],
) -> StorageResult<()> {
    let oldest = replay.segments.first().map_or(0, |first| first.sequence);
    for sequence in sequences.iter().filter(|sequence| **sequence < oldest) {
        file_system.remove(&segment_path(*sequence))?;
    }
    Ok(())
}

fn list_segments(file_system: &dyn FileSystem) -> StorageResult<Vec<u64>> {
    if !file_system.exists(LOG_DIRECTORY)? {
        return Ok(Vec::new());
    }
    let names = file_system.list(LOG_DIRECTORY)?;
    let mut sequences: Vec<u64> = names
        .iter()
        .filter_map(|name| segment_sequence(name))
        .collect();
    sequences.sort_unstable();
    Ok(sequences)
}
