//! Segment files of the journal: writing, rotation, search.

use std::{
    collections::VecDeque,
    fs::{self, File, OpenOptions},
    io::{self, BufRead, BufReader, BufWriter, Write},
    path::{Path, PathBuf},
};

use super::JournalRecord;

/// Maximum number of records that a lookup returns.
pub const MAX_FOUND_RECORDS: usize = 1_000;

/// Number of segments of the journal; rotation removes one segment, an eighth of the journal,
/// at a time.
const SEGMENTS: u64 = 8;
const PREFIX: &str = "decisions-";
const SUFFIX: &str = ".jsonl";

/// Appends records, and removes the oldest segments to stay within the size limit.
pub(super) struct SegmentWriter {
    folder: PathBuf,
    segment_bytes: u64,
    next_number: u64,
    current: Option<OpenSegment>,
}

struct OpenSegment {
    file: BufWriter<File>,
    bytes: u64,
}

impl SegmentWriter {
    /// Creates the folder if it does not exist. The writer always starts a new segment, so that
    /// it never appends to a torn last line of an earlier process.
    pub(super) fn open(folder: &Path, max_bytes: u64) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let next_number = segment_numbers(folder)?.last().map_or(1, |last| last + 1);
        Ok(SegmentWriter {
            folder: folder.to_owned(),
            segment_bytes: (max_bytes / SEGMENTS).max(1),
            next_number,
            current: None,
        })
    }

    pub(super) fn append(&mut self, record: &JournalRecord) -> io::Result<()> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        let length = line.len() as u64;
        if self
            .current
            .as_ref()
            .is_some_and(|segment| segment.bytes + length > self.segment_bytes)
        {
            self.flush()?;
            self.current = None;
        }
        let segment = match self.current.take() {
            Some(segment) => segment,
            None => self.create_segment()?,
        };
        let segment = self.current.insert(segment);
        segment.bytes += length;
        segment.file.write_all(&line)
    }

    pub(super) fn flush(&mut self) -> io::Result<()> {
        self.current
            .as_mut()
            .map_or(Ok(()), |segment| segment.file.flush())
    }

    fn create_segment(&mut self) -> io::Result<OpenSegment> {
        let path = segment_path(&self.folder, self.next_number);
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(path)?;
        self.next_number += 1;
        self.remove_oldest()?;
        Ok(OpenSegment {
            file: BufWriter::new(file),
            bytes: 0,
        })
    }

    fn remove_oldest(&self) -> io::Result<()> {
        let numbers = segment_numbers(&self.folder)?;
        let excess = numbers.len().saturating_sub(SEGMENTS as usize);
        for number in &numbers[..excess] {
            fs::remove_file(segment_path(&self.folder, *number))?;
        }
        Ok(())
    }
}

/// Records about an id in a journal folder, oldest first; the newest
/// [`MAX_FOUND_RECORDS`] if there are more. Torn and unrecognized lines are skipped.
///
/// # Errors
/// When a segment cannot be read.
pub fn lookup_in(folder: &Path, id: &str) -> io::Result<Vec<JournalRecord>> {
    let mut found = VecDeque::new();
    for number in segment_numbers(folder)? {
        let file = match File::open(segment_path(folder, number)) {
            Ok(file) => file,
            // The segment was removed by rotation since the folder was listed.
            Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
            Err(error) => return Err(error),
        };
        for line in BufReader::new(file).split(b'\n') {
            if let Some(record) = matching_record(&line?, id) {
                found.push_back(record);
                if found.len() > MAX_FOUND_RECORDS {
                    found.pop_front();
                }
            }
        }
    }
    Ok(found.into())
}

fn matching_record(line: &[u8], id: &str) -> Option<JournalRecord> {
    let text = std::str::from_utf8(line).ok()?;
    // The id of an item has the form `JOB/NUMBER`; the line of the item contains the job's id.
    let needle = id.split('/').next().unwrap_or(id);
    if !text.contains(needle) {
        return None;
    }
    serde_json::from_str::<JournalRecord>(text)
        .ok()
        .filter(|record| record.concerns(id))
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:012}{SUFFIX}"))
}

/// Numbers of the segments in a folder, ascending.
fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(PREFIX))
            .and_then(|name| name.strip_suffix(SUFFIX))
            .and_then(|number| number.parse::<u64>().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}
