//! How far machines' clocks differ, as their log lines show.
//!
//! A configuration comes into force on all machines within milliseconds. Where two
//! processes tell of the same versions, the median difference of the times that they
//! tell is the difference of their clocks.

use std::collections::BTreeMap;

use crate::log_files::{LogFile, LogLine};

/// When a process first told of each version.
type Versions = BTreeMap<u64, i64>;

/// How a process's clock compares with that of the reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockOffset {
    /// To be taken off its times, in milliseconds.
    pub(crate) ahead_ms: i64,
    /// Versions by which this is known; 0 where it is not, and taken to be none.
    pub(crate) versions: usize,
}

const UNKNOWN: ClockOffset = ClockOffset {
    ahead_ms: 0,
    versions: 0,
};

/// The offset of each process, in the order of the files. The reference is the process
/// that tells of the most versions.
pub(crate) fn estimate(files: &[LogFile]) -> Vec<ClockOffset> {
    let told: Vec<Versions> = files.iter().map(versions).collect();
    let mut offsets = vec![None; files.len()];
    let reference = (0..files.len()).max_by_key(|file| told[*file].len());
    let Some(reference) = reference else {
        return Vec::new();
    };
    offsets[reference] = Some(ClockOffset {
        ahead_ms: 0,
        versions: told[reference].len(),
    });
    // Step by step from what is known: some share versions with others only.
    while let Some((file, offset)) = next_known(&told, &offsets) {
        offsets[file] = Some(offset);
    }
    let known = offsets.into_iter();
    known.map(|offset| offset.unwrap_or(UNKNOWN)).collect()
}

/// The process that shares the most versions with one whose offset is known.
fn next_known(told: &[Versions], offsets: &[Option<ClockOffset>]) -> Option<(usize, ClockOffset)> {
    let unknown = (0..told.len()).filter(|file| offsets[*file].is_none());
    let pairs = unknown.flat_map(|file| {
        let known = offsets.iter().enumerate();
        known.filter_map(move |(other, offset)| {
            let ahead = median_difference(&told[file], &told[other])?;
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

/// The version that a line tells to be in force now.
fn version_in_force(line: &LogLine) -> Option<u64> {
    let is_told = match line.message() {
        "configuration" => line.text("held")?.starts_with("Ok"),
        "fleet changed" => true,
        _ => false,
    };
    is_told.then(|| line.fields.get("version")?.as_u64())?
}
