//! Splits an upload into lines and checks each of them.

use std::collections::HashSet;

use bytes::{Buf, BytesMut};
use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::command::ItemHead;
use xxhash_rust::xxh3::xxh3_128;

use crate::batches::line::BatchLine;

/// Items of one command, so that each stays short.
const HEADS_PER_COMMAND: usize = 2_048;

/// Checked lines on their way to control.
#[derive(Debug, Default)]
pub(super) struct Checked {
    /// Their bytes, with line feeds.
    pub(super) bytes: Vec<u8>,
    /// Their heads.
    pub(super) heads: Vec<ItemHead>,
}

impl Checked {
    /// Whether it is time to send.
    pub(super) fn is_full(&self, piece_bytes: usize) -> bool {
        self.bytes.len() >= piece_bytes || self.heads.len() >= HEADS_PER_COMMAND
    }
}

/// Checks an upload as it arrives. Holds the unfinished line and a hash of each id.
pub(super) struct LineChecker {
    partial: BytesMut,
    /// Where the search for the next line feed goes on.
    searched: usize,
    lines: usize,
    custom_ids: HashSet<u128>,
    max_line_bytes: usize,
    max_items: usize,
}

fn at_line(line: usize, kind: ErrorKind, message: &str) -> Failure {
    Failure::new(kind, format!("line {line}: {message}")).with_param(format!("line {line}"))
}

impl LineChecker {
    /// A checker with the limits of a configuration.
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

    /// Items found so far.
    pub(super) fn items(&self) -> usize {
        self.custom_ids.len()
    }

    /// Adds bytes of the upload; call [`LineChecker::check_next`] until it says `false`.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
    }

    /// Checks the next whole line, if there is one.
    pub(super) fn check_next(
        &mut self,
        fleet: &Fleet,
        checked: &mut Checked,
    ) -> Result<bool, Failure> {
        let found = self.partial[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(offset) = found else {
            self.searched = self.partial.len();
            if self.partial.len() > self.max_line_bytes {
                return Err(self.too_long(self.lines + 1));
            }
            return Ok(false);
        };
        let end = self.searched + offset + 1;
        self.check_line(end, fleet, checked)?;
        self.partial.advance(end);
        self.searched = 0;
        Ok(true)
    }

    /// Checks a last line without a line feed.
    pub(super) fn finish(&mut self, fleet: &Fleet, checked: &mut Checked) -> Result<(), Failure> {
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
        checked: &mut Checked,
    ) -> Result<(), Failure> {
        self.lines += 1;
        let number = self.lines;
        let line = &self.partial[..end];
        if line.len() > self.max_line_bytes {
            return Err(self.too_long(number));
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            // Blank lines are not items and are not stored.
            return Ok(());
        }
        let parsed = BatchLine::parse(line)
            .map_err(|failure| at_line(number, ErrorKind::InvalidBatchLine, &failure.message))?;
        let head = parsed
            .check(fleet, line.len())
            .map_err(|failure| at_line(number, ErrorKind::InvalidBatchLine, &failure.message))?;
        if !self.custom_ids.insert(xxh3_128(head.custom_id.as_bytes())) {
            let message = format!("the custom_id {:?} was used before", head.custom_id);
            return Err(at_line(number, ErrorKind::DuplicateCustomId, &message));
        }
        if self.custom_ids.len() > self.max_items {
            let message = format!("a file may hold {} items", self.max_items);
            return Err(at_line(number, ErrorKind::BodyTooLarge, &message));
        }
        checked.bytes.extend_from_slice(line);
        checked.heads.push(head);
        Ok(())
    }

    fn too_long(&self, line: usize) -> Failure {
        let message = format!("longer than {} bytes", self.max_line_bytes);
        at_line(line, ErrorKind::InvalidBatchLine, &message)
    }
}
