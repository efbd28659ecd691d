//! The scale run: real control members and gateways as processes, hundreds of
//! hollow gateways in this one, and the budgets of a node checked.

mod back_ends;
mod evaluation;
mod hollow_fleet;
mod loads;
mod measurements;
mod operator;
mod phases;
mod processes;
mod report;
mod results;

use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use slog::Logger;

use crate::fleet::FleetPlan;
use back_ends::BackEnds;
pub use measurements::measurements;
use phases::Phases;
pub use processes::{MemberRole, run_member};
pub use results::{Check, ScaleResults, Step};

/// Cluster name of the run.
pub(crate) const CLUSTER: &str = "scale";

/// What to run.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Numbers of gateways that are measured, growing; the real ones are among them.
    pub steps: Vec<usize>,
    /// Gateways that run as processes of their own.
    pub real_gateways: usize,
    /// Control members.
    pub members: u32,
    /// The fleet file and the emulated replicas.
    pub fleet: FleetPlan,
    /// Seconds of each steady measurement.
    pub steady_seconds: u64,
    /// Changes of the burst.
    pub burst: u64,
    /// Where reports and data folders go.
    pub output: PathBuf,
    /// The program that runs a member when called as the processes expect it.
    pub program: PathBuf,
}

/// Runs everything; progress goes to `say`.
///
/// # Errors
/// When a part of the fleet cannot be started or answers nothing in time.
pub fn run(
    settings: &ScaleSettings,
    logger: &Logger,
    say: &dyn Fn(&str),
) -> Result<ScaleResults, Report<ErrorKind>> {
    std::fs::create_dir_all(&settings.output)
        .change_context(ErrorKind::Io)
        .attach_with(|| settings.output.display().to_string())?;
    let back_ends = BackEnds::start(&settings.fleet, say)?;
    let results = Phases::new(settings, &back_ends, logger, say)?.run()?;
    report::write(settings, &results)?;
    Ok(results)
}
