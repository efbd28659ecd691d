//! The report: tables, `results.json`, and whether the budgets are kept.

use std::{fmt::Write, fs, path::Path};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_scale::capacity::{Measurement, Point, fit_line};
use serde::Serialize;

use super::{
    Arguments, day::Day, full::Full, largest_job::LargestJob, measurements::measurements,
    slopes::Slope,
};

const MIB: f64 = 1024.0 * 1024.0;
/// Memory that control may take on a node, in bytes.
const MEMORY_BUDGET_BYTES: u64 = 256 * 1024 * 1024;
/// Items a second of the plan, on average over a day.
const PLAN_ITEMS_PER_SECOND: f64 = 20_000_000.0 / 86_400.0;
/// Factor over the plan's average rate that one group must sustain.
const HEADROOM: f64 = 10.0;

/// Memory of one kind of entry.
#[derive(Clone, Debug, Serialize)]
pub(super) struct EntryMemory {
    entry: &'static str,
    /// Bytes for each additional entry.
    bytes_each: f64,
    held: Vec<Point>,
    peak: Vec<Point>,
}

/// All results.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StateReport {
    memory: Vec<EntryMemory>,
    largest_job: LargestJob,
    all_jobs: Day,
    full_state: Full,
    items_per_second: f64,
    /// The results in the form of the capacity page.
    pub(super) measurements: Vec<Measurement>,
}

impl StateReport {
    pub(super) fn new(
        arguments: &Arguments,
        slopes: Vec<Slope>,
        job: LargestJob,
        day: Day,
        full: Full,
    ) -> Self {
        let measurements = measurements(arguments, &slopes, &job, &day, &full);
        let memory = slopes.into_iter().map(|slope| EntryMemory {
            entry: slope.entry.name(),
            bytes_each: fit_line(&slope.held).slope,
            held: slope.held,
            peak: slope.peak,
        });
        StateReport {
            memory: memory.collect(),
            largest_job: job,
            items_per_second: day.items_per_second(),
            all_jobs: day,
            full_state: full,
            measurements,
        }
    }

    /// Writes `results.json` and `results.md`.
    pub(super) fn write(&self, folder: &Path) -> Result<(), Report<ErrorKind>> {
        let json = serde_json::to_string_pretty(self).change_context(ErrorKind::Internal)?;
        fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
        fs::write(folder.join("results.json"), json).change_context(ErrorKind::Io)?;
        fs::write(folder.join("results.md"), self.markdown()).change_context(ErrorKind::Io)
    }

    /// The tables.
    pub(super) fn markdown(&self) -> String {
        let mut text = String::new();
        self.write_memory(&mut text);
        self.write_largest_job(&mut text);
        self.write_all_jobs(&mut text);
        self.write_full_state(&mut text);
        text
    }

    fn write_memory(&self, text: &mut String) {
        let _ = writeln!(
            text,
            "\n| Entry | Bytes each | Measured up to | Held there |"
        );
        let _ = writeln!(text, "|---|---|---|---|");
        for memory in &self.memory {
            let last = memory.held.last();
            let _ = writeln!(
                text,
                "| {} | {:.1} | {} | {:.1} MiB |",
                memory.entry,
                memory.bytes_each,
                last.map_or(0, |point| point.size),
                last.map_or(0.0, |point| point.value) / MIB
            );
        }
    }

    fn write_largest_job(&self, text: &mut String) {
        let job = &self.largest_job;
        let _ = writeln!(
            text,
            "\n| Job of {} items of {} bytes | Seconds | of it applying | Longest command | Log | Peak memory |",
            job.items, job.line_bytes
        );
        let _ = writeln!(text, "|---|---|---|---|---|---|");
        for step in &job.steps {
            let costs = &step.costs;
            let _ = writeln!(
                text,
                "| {} | {:.3} | {:.3} | {:.1} ms | {:.1} MiB | {:.1} MiB |",
                step.name,
                costs.seconds(),
                costs.apply_seconds,
                costs.longest_apply_seconds * 1_000.0,
                costs.command_bytes as f64 / MIB,
                step.peak_bytes as f64 / MIB
            );
        }
        let rows = [
            (
                "memory once accepted",
                job.accepted_bytes as f64 / MIB,
                "MiB",
            ),
            (
                "memory once finished",
                job.finished_bytes as f64 / MIB,
                "MiB",
            ),
            (
                "payloads, input and results",
                job.payload_bytes as f64 / MIB,
                "MiB",
            ),
            ("listed in", job.list_seconds * 1_000.0, "ms"),
            ("results read in", job.read_seconds * 1_000.0, "ms"),
        ];
        write_rows(text, "Largest job", &rows);
    }

    fn write_all_jobs(&self, text: &mut String) {
        let day = &self.all_jobs;
        let rows = [
            ("open jobs", day.jobs as f64, ""),
            ("items", day.items as f64, ""),
            ("uploaded and accepted in", day.accepting.seconds(), "s"),
            (
                "memory once accepted",
                day.accepted_bytes as f64 / MIB,
                "MiB",
            ),
            (
                "memory while running",
                day.running_bytes as f64 / MIB,
                "MiB",
            ),
            ("items leased and completed", day.completed as f64, ""),
            ("items a second of one member", self.items_per_second, "/s"),
            ("the plan's average", PLAN_ITEMS_PER_SECOND, "/s"),
            (
                "longest command",
                day.running.longest_apply_seconds * 1_000.0,
                "ms",
            ),
        ];
        write_rows(text, "All jobs at once", &rows);
    }

    fn write_full_state(&self, text: &mut String) {
        let full = &self.full_state;
        let rows = [
            ("tenants", full.tenants as f64, ""),
            ("fleet file", full.fleet_file_bytes as f64 / MIB, "MiB"),
            ("a change of one line", full.change_seconds * 1_000.0, "ms"),
            (
                "the longest change",
                full.longest_change_seconds * 1_000.0,
                "ms",
            ),
            ("idempotency keys", full.claims as f64, ""),
            (
                "memory of the process",
                full.memory_bytes as f64 / MIB,
                "MiB",
            ),
            ("payloads on disk", full.payload_bytes as f64 / MIB, "MiB"),
            ("snapshot begun in", full.freeze_seconds * 1_000.0, "ms"),
            ("snapshot written in", full.snapshot_seconds * 1_000.0, "ms"),
            ("snapshot", full.snapshot_bytes as f64 / MIB, "MiB"),
            (
                "memory to write it",
                full.snapshot_peak_bytes as f64 / MIB,
                "MiB",
            ),
            ("restored in", full.restore_seconds * 1_000.0, "ms"),
            (
                "memory to restore it",
                full.restore_peak_bytes as f64 / MIB,
                "MiB",
            ),
        ];
        write_rows(text, "Full state", &rows);
    }

    fn exceeded_budgets(&self) -> Vec<String> {
        let mut exceeded_budgets = Vec::new();
        if self.full_state.memory_bytes > MEMORY_BUDGET_BYTES {
            let mib = self.full_state.memory_bytes as f64 / MIB;
            exceeded_budgets.push(format!("the full state takes {mib:.0} MiB of 256 MiB"));
        }
        let required = HEADROOM * PLAN_ITEMS_PER_SECOND;
        if self.items_per_second < required {
            let rate = self.items_per_second;
            exceeded_budgets.push(format!(
                "{rate:.0} items a second, fewer than {required:.0}"
            ));
        }
        exceeded_budgets
    }

    /// Whether memory and rate are within the budgets.
    pub(super) fn is_within_budgets(&self) -> bool {
        self.exceeded_budgets().is_empty()
    }

    /// The last line of the command's output.
    pub(super) fn verdict_line(&self) -> String {
        let exceeded_budgets = self.exceeded_budgets();
        if exceeded_budgets.is_empty() {
            return "verdict: within the budgets".to_owned();
        }
        format!("verdict: {}", exceeded_budgets.join("; "))
    }
}

fn write_rows(text: &mut String, title: &str, rows: &[(&str, f64, &str)]) {
    let _ = writeln!(text, "\n| {title} | |\n|---|---|");
    for (name, value, unit) in rows {
        let decimals = if unit.is_empty() { 0 } else { 1 };
        let _ = writeln!(text, "| {name} | {value:.decimals$} {unit} |");
    }
}
