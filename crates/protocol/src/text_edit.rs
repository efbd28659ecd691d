//! Line edits between two texts: computing and applying them.

use error_stack::Report;
use linnethitch_errors::ErrorKind;

use crate::attach::TextEdit;

/// Maximum number of inserted plus removed lines for which the shortest edits are searched.
///
/// Time and memory of the search grow with the square of this number only. In
/// texts with more differences, everything from the first to the last differing
/// line is replaced.
const MAX_SEARCHED_DIFFERENCES: usize = 512;

/// Applies edits to a text.
///
/// # Errors
/// `MalformedRequest` when the edits do not fit the text.
pub fn apply_edits(old: &str, edits: &[TextEdit]) -> Result<String, Report<ErrorKind>> {
    let lines: Vec<&str> = old.split_inclusive('\n').collect();
    let mut text = String::with_capacity(old.len());
    let mut next = 0;
    for edit in edits {
        let first = edit.first_line as usize;
        let after = first + edit.removed as usize;
        if first < next || after > lines.len() {
            return Err(Report::new(ErrorKind::MalformedRequest).attach(format!(
                "text edit out of range: lines {first} to {after} of a text of {} lines",
                lines.len()
            )));
        }
        text.extend(lines[next..first].iter().copied());
        text.push_str(&edit.inserted);
        next = after;
    }
    text.extend(lines[next..].iter().copied());
    Ok(text)
}

/// The edits that turn one text into the other.
#[must_use]
pub fn line_edits(old: &str, new: &str) -> Vec<TextEdit> {
    let old_lines: Vec<&str> = old.split_inclusive('\n').collect();
    let new_lines: Vec<&str> = new.split_inclusive('\n').collect();
    let prefix = common_prefix(&old_lines, &new_lines);
    let suffix = common_suffix(&old_lines[prefix..], &new_lines[prefix..]);
    let old_middle = &old_lines[prefix..old_lines.len() - suffix];
    let new_middle = &new_lines[prefix..new_lines.len() - suffix];
    if old_middle.is_empty() && new_middle.is_empty() {
        return Vec::new();
    }
    match shortest_steps(old_middle, new_middle) {
        Some(steps) => join_steps(&steps, new_middle, prefix),
        None => vec![TextEdit {
            first_line: prefix as u32,
            removed: old_middle.len() as u32,
            inserted: new_middle.concat(),
        }],
    }
}

fn common_prefix(old: &[&str], new: &[&str]) -> usize {
    old.iter().zip(new).take_while(|(a, b)| a == b).count()
}

fn common_suffix(old: &[&str], new: &[&str]) -> usize {
    let backwards = old.iter().rev().zip(new.iter().rev());
    backwards.take_while(|(a, b)| a == b).count()
}

/// One inserted or removed line.
#[derive(Clone, Copy)]
enum Step {
    /// Removes the old line at this position.
    Remove { old: usize },
    /// Inserts the new line before the old line at this position.
    Insert { old: usize, new: usize },
}

/// The furthest old line reached on each diagonal (old minus new position),
/// after some number of differences. Diagonal `k` is at `k + differences`.
type Frontier = Vec<usize>;

/// Myers' greedy search for the fewest inserted and removed lines; `None`
/// when there are more than [`MAX_SEARCHED_DIFFERENCES`].
fn shortest_steps(old: &[&str], new: &[&str]) -> Option<Vec<Step>> {
    let mut frontiers: Vec<Frontier> = Vec::new();
    for differences in 0..=MAX_SEARCHED_DIFFERENCES as isize {
        let mut frontier = Frontier::new();
        for diagonal in -differences..=differences {
            let start = step_start(frontiers.last(), differences, diagonal);
            let reached = follow_equal_lines(old, new, start, diagonal);
            frontier.push(reached);
            let new_reached = reached as isize - diagonal;
            if reached >= old.len() && new_reached >= new.len() as isize {
                frontiers.push(frontier);
                return Some(walk_back(&frontiers, old.len(), new.len()));
            }
        }
        frontiers.push(frontier);
    }
    None
}

/// The old line at which a path on `diagonal` starts after its last step, which removed a line
/// (coming from the diagonal below) or inserted one (coming from the diagonal above).
fn step_start(previous: Option<&Frontier>, differences: isize, diagonal: isize) -> usize {
    let Some(previous) = previous else {
        return 0;
    };
    let reached = |diagonal: isize| {
        let position = usize::try_from(diagonal + differences - 1).ok()?;
        previous.get(position).copied()
    };
    let removed = reached(diagonal - 1).map(|old| old + 1);
    let inserted = reached(diagonal + 1);
    removed.max(inserted).unwrap_or(0)
}

fn follow_equal_lines(old: &[&str], new: &[&str], start: usize, diagonal: isize) -> usize {
    let mut position = start;
    loop {
        let Ok(new_position) = usize::try_from(position as isize - diagonal) else {
            return position;
        };
        match (old.get(position), new.get(new_position)) {
            (Some(a), Some(b)) if a == b => position += 1,
            _ => return position,
        }
    }
}

fn walk_back(frontiers: &[Frontier], old_lines: usize, new_lines: usize) -> Vec<Step> {
    let mut steps = Vec::with_capacity(frontiers.len());
    let mut diagonal = old_lines as isize - new_lines as isize;
    for differences in (1..frontiers.len()).rev() {
        let previous = &frontiers[differences - 1];
        let reached = |diagonal: isize| {
            let position = usize::try_from(diagonal + differences as isize - 1).ok()?;
            previous.get(position).copied()
        };
        let removed = reached(diagonal - 1).map(|old| old + 1);
        let inserted = reached(diagonal + 1);
        if removed >= inserted {
            let old = removed.unwrap_or(1) - 1;
            steps.push(Step::Remove { old });
            diagonal -= 1;
        } else {
            let old = inserted.unwrap_or(0);
            let new = (old as isize - diagonal - 1) as usize;
            steps.push(Step::Insert { old, new });
            diagonal += 1;
        }
    }
    steps.reverse();
    steps
}

/// Joins adjacent steps into edits.
fn join_steps(steps: &[Step], new: &[&str], offset: usize) -> Vec<TextEdit> {
    let mut edits: Vec<TextEdit> = Vec::new();
    for step in steps {
        let (Step::Remove { old } | Step::Insert { old, .. }) = *step;
        let line = (old + offset) as u32;
        let continues = edits
            .last()
            .is_some_and(|edit| edit.first_line + edit.removed == line);
        if !continues {
            edits.push(TextEdit {
                first_line: line,
                removed: 0,
                inserted: String::new(),
            });
        }
        let Some(edit) = edits.last_mut() else {
            continue;
        };
        match *step {
            Step::Remove { .. } => edit.removed += 1,
            Step::Insert { new: line, .. } => edit.inserted.push_str(new[line]),
        }
    }
    edits
}
