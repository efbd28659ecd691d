//! The scale run: starts control members and real gateways as processes and hundreds of
//! control-only gateways in this process, measures them and checks the budgets of a node.

mod back_ends;
mod control_only_fleet;
mod evaluation;
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
use phases::ScaleRun;
pub use processes::{MemberRole, run_member};
pub use results::{BudgetCheck, GatewayStep, ScaleResults};

/// Cluster name of the run.
pub(crate) const CLUSTER: &str = "scale";

/// Settings of a scale run.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Numbers of gateways to measure, in ascending order; real gateways are included.
    pub steps: Vec<usize>,
    /// Number of gateways that run in their own processes.
    pub real_gateways: usize,
    /// Number of control members.
    pub members: u32,
    /// Size of the fleet file and number of emulated replicas.
    pub fleet: FleetPlan,
    /// Length of each measurement without changes, in seconds.
    pub steady_seconds: u64,
    /// Number of configuration changes in the burst.
    pub burst: u64,
    /// Folder for reports and data folders.
    pub output: PathBuf,
    /// Program that runs a control member or gateway when called as
    /// `PROGRAM scale-member ROLE FILE`.
    pub program: PathBuf,
}

/// Runs all phases and writes the reports; calls `report_progress` with each line of progress.
///
/// # Errors
/// When a part of the fleet cannot be started or does not respond in time.
pub fn run(
    settings: &ScaleSettings,
    logger: &Logger,
    report_progress: &dyn Fn(&str),
) -> Result<ScaleResults, Report<ErrorKind>> {
    std::fs::create_dir_all(&settings.output)
        .change_context(ErrorKind::Io)
        .attach_with(|| settings.output.display().to_string())?;
    let back_ends = BackEnds::start(&settings.fleet, report_progress)?;
    let results = ScaleRun::new(settings, &back_ends, logger, report_progress)?.run()?;
    report::write(settings, &results)?;
    Ok(results)
}
