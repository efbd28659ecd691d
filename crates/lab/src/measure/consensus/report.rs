//! The results of a run, as JSON and as tables.

use std::{fmt::Write, path::Path};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use serde::Serialize;

use super::runs::{Recovery, Throughput};

/// Commit rate, with the disk's rate of synced appends measured just before.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CommitRate {
    /// Synced appends per second and file, with as many files as members written concurrently.
    pub(super) disk_per_second: f64,
    #[serde(flatten)]
    pub(super) commits: Throughput,
}

/// All results.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct ConsensusReport {
    pub(super) commits: Vec<CommitRate>,
    pub(super) reads: Vec<Throughput>,
    pub(super) recoveries: Vec<Recovery>,
}

impl ConsensusReport {
    /// Writes `results.json` and `results.md`.
    ///
    /// # Errors
    /// `Io` when the folder cannot be written to.
    pub(super) fn write(&self, folder: &Path) -> Result<(), Report<ErrorKind>> {
        std::fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
        let json = serde_json::to_string_pretty(self).change_context(ErrorKind::Internal)?;
        std::fs::write(folder.join("results.json"), json).change_context(ErrorKind::Io)?;
        std::fs::write(folder.join("results.md"), self.markdown()).change_context(ErrorKind::Io)
    }

    /// The tables. Writing into a string never fails.
    pub(super) fn markdown(&self) -> String {
        let mut text = String::new();
        self.write_commits(&mut text);
        self.write_reads(&mut text);
        self.write_recoveries(&mut text);
        text
    }

    fn write_commits(&self, text: &mut String) {
        text.push_str("\n| Commits: members | outstanding | a second | syncs a second of the disk | commits a sync | median, ms | 99th percentile, ms |\n");
        text.push_str("|---|---|---|---|---|---|---|\n");
        for row in &self.commits {
            let commits = &row.commits;
            let _ = writeln!(
                text,
                "| {} | {} | {:.0} | {:.0} | {:.2} | {:.2} | {:.2} |",
                commits.members,
                commits.outstanding,
                commits.per_second,
                row.disk_per_second,
                commits.per_second / row.disk_per_second,
                commits.median_ms,
                commits.p99_ms
            );
        }
    }

    fn write_reads(&self, text: &mut String) {
        text.push_str("\n| Reads: members | outstanding | a second | median, ms | 99th percentile, ms |\n|---|---|---|---|---|\n");
        for row in &self.reads {
            let _ = writeln!(
                text,
                "| {} | {} | {:.0} | {:.2} | {:.2} |",
                row.members, row.outstanding, row.per_second, row.median_ms, row.p99_ms
            );
        }
    }

    fn write_recoveries(&self, text: &mut String) {
        text.push_str("\n| Members | Losses of the leader | Next commit after (least / median / most), ms |\n|---|---|---|\n");
        for row in &self.recoveries {
            let _ = writeln!(
                text,
                "| {} | {} | {:.0} / {:.0} / {:.0} |",
                row.members, row.losses, row.least_ms, row.median_ms, row.most_ms
            );
        }
    }
}
