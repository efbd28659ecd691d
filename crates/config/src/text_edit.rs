//! Differences of texts by lines, so that a changed configuration travels as
//! what changed.

use std::fmt;

use imara_diff::{Algorithm, Diff, InternedInput};
use linnethitch_protocol::attach::TextEdit;

/// Why edits do not fit a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditError {
    /// An edit begins before the end of the one in front of it.
    OutOfOrder,
    /// An edit reaches beyond the end of the text.
    BeyondEnd,
}

impl fmt::Display for EditError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            EditError::OutOfOrder => "the edits are not in order",
            EditError::BeyondEnd => "an edit reaches beyond the end of the text",
        })
    }
}

impl std::error::Error for EditError {}

/// The edits that turn `old` into `new`, in the order of their lines.
#[must_use]
pub fn text_edits(old: &str, new: &str) -> Vec<TextEdit> {
    let common = CommonEnds::of(old, new);
    let input = InternedInput::new(common.middle(old), common.middle(new));
    let diff = Diff::compute(Algorithm::Histogram, &input);
    diff.hunks()
        .map(|hunk| TextEdit {
            first_line: common.first_line + hunk.before.start,
            removed: hunk.before.end - hunk.before.start,
            inserted: input.after[hunk.after.start as usize..hunk.after.end as usize]
                .iter()
                .map(|token| input.interner[*token])
                .collect(),
        })
        .collect()
}

/// Carries out edits on a text.
///
/// # Errors
/// When the edits overlap or reach beyond the text; nothing is changed then.
pub fn apply_edits(old: &str, edits: &[TextEdit]) -> Result<String, EditError> {
    let inserted: usize = edits.iter().map(|edit| edit.inserted.len()).sum();
    let mut new = String::with_capacity(old.len() + inserted);
    let mut rest = Lines { text: old, line: 0 };
    for edit in edits {
        let before = edit
            .first_line
            .checked_sub(rest.line)
            .ok_or(EditError::OutOfOrder)?;
        new.push_str(rest.take(before)?);
        rest.take(edit.removed)?;
        new.push_str(&edit.inserted);
    }
    new.push_str(rest.text);
    Ok(new)
}

/// The rest of a text and the number of its first line.
struct Lines<'a> {
    text: &'a str,
    line: u32,
}

impl<'a> Lines<'a> {
    fn take(&mut self, count: u32) -> Result<&'a str, EditError> {
        let mut end = 0;
        for _ in 0..count {
            let line = &self.text[end..];
            if line.is_empty() {
                return Err(EditError::BeyondEnd);
            }
            end += line.find('\n').map_or(line.len(), |feed| feed + 1);
        }
        let (taken, rest) = self.text.split_at(end);
        self.text = rest;
        self.line = self.line.checked_add(count).ok_or(EditError::BeyondEnd)?;
        Ok(taken)
    }
}

/// Whole lines that two texts share at their beginning and end.
struct CommonEnds {
    /// Lines shared at the beginning.
    first_line: u32,
    prefix_bytes: usize,
    suffix_bytes: usize,
}

impl CommonEnds {
    fn of(old: &str, new: &str) -> Self {
        let shared = common_length(old.bytes(), new.bytes());
        let prefix_bytes = old[..floor_boundary(old, shared)]
            .rfind('\n')
            .map_or(0, |feed| feed + 1);
        let (old_rest, new_rest) = (&old[prefix_bytes..], &new[prefix_bytes..]);
        let shared = common_length(old_rest.bytes().rev(), new_rest.bytes().rev());
        CommonEnds {
            first_line: old.as_bytes()[..prefix_bytes]
                .iter()
                .filter(|byte| **byte == b'\n')
                .count() as u32,
            prefix_bytes,
            suffix_bytes: whole_lines_at_end(old_rest, new_rest, shared),
        }
    }

    fn middle<'a>(&self, text: &'a str) -> &'a str {
        &text[self.prefix_bytes..text.len() - self.suffix_bytes]
    }
}

fn common_length(old: impl Iterator<Item = u8>, new: impl Iterator<Item = u8>) -> usize {
    old.zip(new).take_while(|(old, new)| old == new).count()
}

fn floor_boundary(text: &str, at: usize) -> usize {
    (0..=at)
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0)
}

/// Of `shared` equal bytes at the end, those that make whole lines in both texts.
fn whole_lines_at_end(old: &str, new: &str, shared: usize) -> usize {
    let starts_line = |text: &str, bytes: usize| {
        let start = text.len() - bytes;
        start == 0 || text.as_bytes()[start - 1] == b'\n'
    };
    if starts_line(old, shared) && starts_line(new, shared) {
        return shared;
    }
    let bytes = &old.as_bytes()[old.len() - shared..];
    bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .map_or(0, |feed| shared - feed - 1)
}
