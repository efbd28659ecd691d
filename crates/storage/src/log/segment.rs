//! One segment file of the log and the in-memory index of its entries.

use linnethitch_protocol::ids::LogIndex;

use crate::file_system::File;

/// Directory of the log in the data folder.
pub const LOG_DIRECTORY: &str = "log";
const SUFFIX: &str = ".log";

/// Path of a segment.
pub(crate) fn segment_path(sequence: u64) -> String {
    format!("{LOG_DIRECTORY}/{sequence:016}{SUFFIX}")
}

/// The sequence number in a segment's file name.
pub(crate) fn segment_sequence(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX)?.parse().ok()
}

/// One segment of the log.
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    /// `None` until the first batch is written.
    pub(crate) file: Option<Box<dyn File>>,
    /// Bytes of complete, synced batches.
    pub(crate) length: u64,
    /// Index of the first entry in `offsets`.
    first_index: LogIndex,
    /// File offset of the record of each entry.
    offsets: Vec<u32>,
}

impl Segment {
    pub(crate) fn new(sequence: u64, file: Option<Box<dyn File>>) -> Self {
        Segment {
            sequence,
            file,
            length: 0,
            first_index: LogIndex(0),
            offsets: Vec::new(),
        }
    }

    /// Adds the file offset of an entry to the index; entries must be added in order.
    pub(crate) fn push(&mut self, index: LogIndex, offset: u64) {
        if self.offsets.is_empty() {
            self.first_index = index;
        }
        self.offsets.push(offset as u32);
    }

    /// Removes entries after this index from the index.
    pub(crate) fn truncate_after(&mut self, index: LogIndex) {
        let retained = (index.0 + 1).saturating_sub(self.first_index.0) as usize;
        self.offsets.truncate(retained);
    }

    /// Index of the last entry; `None` if the segment has no entry.
    pub(crate) fn last_index(&self) -> Option<LogIndex> {
        let count = self.offsets.len() as u64;
        (count > 0).then(|| LogIndex(self.first_index.0 + count - 1))
    }

    /// File offset of the entry's record, if the entry is in this segment.
    pub(crate) fn offset_of(&self, index: LogIndex) -> Option<u64> {
        let position = index.0.checked_sub(self.first_index.0)?;
        let offset = self.offsets.get(usize::try_from(position).ok()?)?;
        Some(u64::from(*offset))
    }

    /// Frees spare memory once no further entry will be added.
    pub(crate) fn seal(&mut self) {
        self.offsets.shrink_to_fit();
    }

    /// Bytes of memory used by the index.
    pub(crate) fn index_bytes(&self) -> usize {
        self.offsets.capacity() * size_of::<u32>()
    }
}
