//! `linnethitch-lab measure state`: the ledger at the plan's size, as the only
//! component in this process.
//!
//! Memory is what the allocator counts before and after a state is built, at
//! several sizes of each kind of entry. Times are those of one member's real
//! work, without the network: encoding, log with synced groups, state machine,
//! payload store, all on this machine's disk.

mod commands;
mod day;
mod full;
mod largest_job;
mod measurements;
mod member;
mod report;
mod slopes;

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_scale::capacity::MeasuredFile;

use self::report::StateReport;
use crate::{
    output::print_line,
    process::{Outcome, Verdict},
};

/// Sizes; the defaults are those of the plan:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Tenants of the fleet file
    #[bpaf(argument("N"), fallback(45_000), display_fallback)]
    tenants: u64,
    /// Gateways with a session
    #[bpaf(argument("N"), fallback(410), display_fallback)]
    gateways: u64,
    /// Jobs that run at once
    #[bpaf(argument("N"), fallback(1_300), display_fallback)]
    jobs: u64,
    /// Items of all these jobs together
    #[bpaf(argument("N"), fallback(20_000_000), display_fallback)]
    items: u64,
    /// Items of the largest job
    #[bpaf(argument("N"), fallback(270_000), display_fallback)]
    largest_job: u64,
    /// Idempotency keys, kept or running
    #[bpaf(argument("N"), fallback(200_000), display_fallback)]
    claims: u64,
    /// Changes of the configuration, one line each
    #[bpaf(argument("N"), fallback(1_000), display_fallback)]
    changes: u64,
    /// Bytes of an item's line and of its result
    #[bpaf(argument("BYTES"), fallback(1_000), display_fallback)]
    line_bytes: usize,
    /// Where `results.json`, `results.md` and, while it runs, the data go
    #[bpaf(
        argument("DIR"),
        fallback(PathBuf::from("target/measure-state")),
        debug_fallback
    )]
    output: PathBuf,
    /// Put the slopes into this file of measurements too, for `capacity`
    #[bpaf(argument("FILE"), optional)]
    measured: Option<PathBuf>,
}

/// Measures everything; the verdict is bad when a budget is exceeded.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let data = arguments.output.join("data");
    clear(&data)?;
    let report = measure(arguments, &data);
    clear(&data)?;
    let report = report?;
    report.write(&arguments.output)?;
    if let Some(path) = &arguments.measured {
        merge(path, &report)?;
    }
    print_line(&report.markdown());
    print_line(&report.verdict_line());
    Ok(if report.is_within_budgets() {
        Verdict::Good
    } else {
        Verdict::Bad
    })
}

fn measure(arguments: &Arguments, data: &Path) -> Result<StateReport, Report<ErrorKind>> {
    print_line("memory of each kind of entry");
    let slopes = slopes::measure(arguments, data)?;
    print_line("the largest job");
    let job = largest_job::measure(arguments, &data.join("heap"))?;
    print_line("all jobs at once");
    let (day, member) = day::measure(arguments, &data.join("day"))?;
    print_line("the full state: snapshot and restart");
    let full = full::measure(arguments, member, &data.join("day"))?;
    Ok(StateReport::new(arguments, slopes, job, day, full))
}

fn merge(path: &Path, report: &StateReport) -> Result<(), Report<ErrorKind>> {
    let mut file = MeasuredFile::read(path).change_context(ErrorKind::MalformedRequest)?;
    file.merge(report.measurements.clone());
    file.write(path).change_context(ErrorKind::Io)
}

fn clear(folder: &Path) -> Result<(), Report<ErrorKind>> {
    if !folder.exists() {
        return Ok(());
    }
    std::fs::remove_dir_all(folder)
        .change_context(ErrorKind::Io)
        .attach_with(|| folder.display().to_string())
}
