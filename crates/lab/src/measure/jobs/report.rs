//! The results as text and as JSON.

use std::{fmt::Write, fs, path::Path};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use serde::Serialize;

use super::{
    repairs::Repairs,
    work::{Job, Latencies},
};

/// Latencies of claims without a job and while a job runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Claims {
    pub(super) idle: Latencies,
    pub(super) heap: Latencies,
}

/// All results.
#[derive(Clone, Debug, Serialize)]
pub(super) struct JobsReport {
    pub(super) members: u32,
    pub(super) claims: Claims,
    pub(super) job: Job,
    pub(super) repairs: Repairs,
}

impl JobsReport {
    /// Writes `results.json` into a folder.
    pub(super) fn write(&self, folder: &Path) -> Result<(), Report<ErrorKind>> {
        let json = serde_json::to_string_pretty(self).change_context(ErrorKind::Internal)?;
        fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
        fs::write(folder.join("results.json"), json).change_context(ErrorKind::Io)
    }

    /// The results as text.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = self.write_work(&mut text);
        let _ = self.write_repairs(&mut text);
        text
    }

    fn write_work(&self, text: &mut String) -> std::fmt::Result {
        let job = &self.job;
        writeln!(
            text,
            "job of {} items of {} bytes: uploaded in {:.1} s, accepted in {:.0} ms, run in {:.1} s ({:.0} items/s)",
            job.items,
            job.line_bytes,
            job.upload_seconds,
            job.accept_ms,
            job.run_seconds,
            job.items_per_second
        )?;
        let Claims { idle, heap } = &self.claims;
        writeln!(
            text,
            "claims: idle p50 {:.2} ms, p99 {:.2} ms; beside the job p50 {:.2} ms, p99 {:.2} ms ({:.1} times)",
            idle.p50_ms,
            idle.p99_ms,
            heap.p50_ms,
            heap.p99_ms,
            heap.p99_ms / idle.p99_ms
        )
    }

    fn write_repairs(&self, text: &mut String) -> std::fmt::Result {
        let repairs = &self.repairs;
        let rows = [
            ("restart to everything applied", &repairs.restart_ms),
            ("blank disk to voter", &repairs.repair_ms),
        ];
        for (name, times) in rows {
            let mut sorted = times.clone();
            sorted.sort_by(f64::total_cmp);
            let median = sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN);
            let worst = sorted.last().copied().unwrap_or(f64::NAN);
            writeln!(text, "{name}: median {median:.0} ms, worst {worst:.0} ms")?;
        }
        writeln!(text, "files of a member: {} bytes", repairs.disk_bytes)
    }
}
