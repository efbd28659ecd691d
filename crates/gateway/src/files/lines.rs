//! Splits an upload into lines and validates each line.

use std::collections::HashSet;

use bytes::{Buf, BytesMut};
use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::command::ItemHead;
use xxhash_rust::xxh3::xxh3_128;

use crate::batches::line::BatchLine;

/// Maximum items per command, which bounds the size of a command.
const MAX_ITEMS_PER_COMMAND: usize = 2_048;

/// Validated lines that have not been sent to control.
#[derive(Debug, Default)]
pub(super) struct CheckedLines {
    /// The bytes of the lines, with line feeds.
    pub(super) bytes: Vec<u8>,
    /// The item heads of the lines.
    pub(super) heads: Vec<ItemHead>,
}

impl CheckedLines {
    /// Whether the lines fill a chunk or a command.
    pub(super) fn is_full(&self, chunk_bytes: usize) -> bool {
        self.bytes.len() >= chunk_bytes || self.heads.len() >= MAX_ITEMS_PER_COMMAND
    }
}

/// Validates an upload while it arrives. Stores only the incomplete line and a hash of each id.
pub(super) struct LineChecker {
    partial: BytesMut,
    /// Position in `partial` from which to search for the next line feed.
    searched: usize,
    lines: usize,
    custom_ids: HashSet<u128>,
    max_line_bytes: usize,
    max_items: usize,
}

fn line_failure(line: usize, kind: ErrorKind, message: &str) -> Failure {
    Failure::new(kind, format!("line {line}: {message}")).with_param(format!("line {line}"))
}

impl LineChecker {
    /// Creates a checker with the limits of a configuration.
    pub(super) fn new(fleet: &Fleet) -> Self {
        LineChecker {
            partial: BytesMut::new(),
            searched: 0,
            lines: 0,
            custom_ids: HashSet::new(),
            max_line_bytes: usize::try_from(fleet.limits.max_body_bytes).unwrap_or(usize::MAX),
            max_items: fleet.batch.max_items as usize,
        }
    }

    /// Memory of the incomplete line and of the hashes, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        // A hash table holds a control byte beside each entry.
        self.partial.capacity() + self.custom_ids.capacity() * (size_of::<u128>() + 1)
    }

    /// The number of items so far.
    pub(super) fn items(&self) -> usize {
        self.custom_ids.len()
    }

    /// Adds bytes of the upload; then call [`LineChecker::check_next`] until it returns `false`.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
    }

    /// Validates the next complete line; returns `false` if there is none.
    pub(super) fn check_next(
        &mut self,
        fleet: &Fleet,
        checked: &mut CheckedLines,
    ) -> Result<bool, Failure> {
        let found = self.partial[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(offset) = found else {
            self.searched = self.partial.len();
            if self.partial.len() > self.max_line_bytes {
                return Err(self.line_too_long(self.lines + 1));
            }
            return Ok(false);
        };
        let end = self.searched + offset + 1;
        self.check_line(end, fleet, checked)?;
        self.partial.advance(end);
        self.searched = 0;
        Ok(true)
    }

    /// Validates a last line without a line feed.
    pub(super) fn finish(
        &mut self,
        fleet: &Fleet,
        checked: &mut CheckedLines,
    ) -> Result<(), Failure> {
        if self.partial.is_empty() {
            return Ok(());
        }
        self.check_line(self.partial.len(), fleet, checked)?;
        self.partial.clear();
        Ok(())
    }

    fn check_line(
        &mut self,
        end: usize,
        fleet: &Fleet,
        checked: &mut CheckedLines,
    ) -> Result<(), Failure> {
        self.lines += 1;
        let number = self.lines;
        let line = &self.partial[..end];
        if line.len() > self.max_line_bytes {
            return Err(self.line_too_long(number));
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            // Blank lines are not items and are not stored.
            return Ok(());
        }
        let parsed = BatchLine::parse(line).map_err(|failure| {
            line_failure(number, ErrorKind::InvalidBatchLine, &failure.message)
        })?;
        let head = parsed.check(fleet, line.len()).map_err(|failure| {
            line_failure(number, ErrorKind::InvalidBatchLine, &failure.message)
        })?;
        if !self.custom_ids.insert(xxh3_128(head.custom_id.as_bytes())) {
            let message = format!("the custom_id {:?} was used before", head.custom_id);
            return Err(line_failure(number, ErrorKind::DuplicateCustomId, &message));
        }
        if self.custom_ids.len() > self.max_items {
            let message = format!("a file may contain at most {} items", self.max_items);
            return Err(line_failure(number, ErrorKind::BodyTooLarge, &message));
        }
        checked.bytes.extend_from_slice(line);
        checked.heads.push(head);
        Ok(())
    }

    fn line_too_long(&self, line: usize) -> Failure {
        let message = format!("longer than {} bytes", self.max_line_bytes);
        line_failure(line, ErrorKind::InvalidBatchLine, &message)
    }
}
