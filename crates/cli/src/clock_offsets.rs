//! Estimates the offsets between machines' clocks from their log lines.
//!
//! A configuration comes into force on all machines within milliseconds. Where two
//! processes log the same versions, the median difference between the times of these
//! lines is the offset between their clocks.

use std::collections::BTreeMap;

use crate::log_files::{LogFile, LogLine};

/// Time at which a process first logged each version.
type Versions = BTreeMap<u64, i64>;

/// Offset of a process's clock from that of the reference process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockOffset {
    /// Subtracted from the process's times, in milliseconds.
    pub(crate) ahead_ms: i64,
    /// Versions that the estimate is based on; 0 if the offset is unknown, in which case
    /// `ahead_ms` is 0.
    pub(crate) versions: usize,
}

const UNKNOWN: ClockOffset = ClockOffset {
    ahead_ms: 0,
    versions: 0,
};

/// The offset of each process, in the order of the files. The reference is the process
/// that logs the most versions.
pub(crate) fn estimate(files: &[LogFile]) -> Vec<ClockOffset> {
    let versions_by_file: Vec<Versions> = files.iter().map(versions).collect();
    let mut offsets = vec![None; files.len()];
    let reference = (0..files.len()).max_by_key(|file| versions_by_file[*file].len());
    let Some(reference) = reference else {
        return Vec::new();
    };
    offsets[reference] = Some(ClockOffset {
        ahead_ms: 0,
        versions: versions_by_file[reference].len(),
    });
    // A process may share no version with the reference but some with a process whose
    // offset is already known, so the estimate proceeds from process to process.
    while let Some((file, offset)) = next_offset(&versions_by_file, &offsets) {
        offsets[file] = Some(offset);
    }
    let known = offsets.into_iter();
    known.map(|offset| offset.unwrap_or(UNKNOWN)).collect()
}

/// The process that shares the most versions with one whose offset is known.
fn next_offset(
    versions_by_file: &[Versions],
    offsets: &[Option<ClockOffset>],
) -> Option<(usize, ClockOffset)> {
    let unknown = (0..versions_by_file.len()).filter(|file| offsets[*file].is_none());
    let pairs = unknown.flat_map(|file| {
        let known = offsets.iter().enumerate();
        known.filter_map(move |(other, offset)| {
            let ahead = median_difference(&versions_by_file[file], &versions_by_file[other])?;
            let ahead_ms = ahead.ahead_ms + (*offset)?.ahead_ms;
            Some((file, ClockOffset { ahead_ms, ..ahead }))
        })
    });
    pairs.max_by_key(|(_, offset)| offset.versions)
}

fn median_difference(own: &Versions, other: &Versions) -> Option<ClockOffset> {
    let shared = own.iter();
    let mut differences: Vec<i64> = shared
        .filter_map(|(version, time_ms)| Some(time_ms - other.get(version)?))
        .collect();
    differences.sort_unstable();
    let ahead_ms = *differences.get(differences.len() / 2)?;
    Some(ClockOffset {
        ahead_ms,
        versions: differences.len(),
    })
}

fn versions(file: &LogFile) -> Versions {
    let mut versions = Versions::new();
    for line in &file.lines {
        if let Some(version) = version_in_force(line) {
            versions.entry(version).or_insert(line.time_ms);
        }
    }
    versions
}

/// The version that a line reports as in force.
fn version_in_force(line: &LogLine) -> Option<u64> {
    let is_in_force = match line.message() {
        "configuration" => line.text("held")?.starts_with("Ok"),
        "fleet changed" => true,
        _ => false,
    };
    is_in_force.then(|| line.fields.get("version")?.as_u64())?
}
