//! `linnethitch-lab scale`: a fleet of the plan's size on one machine.

use std::{
    path::{Path, PathBuf},
    str::FromStr,
    time::Instant,
};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_config::settings::{LogLevel, LogSettings};
use linnethitch_errors::ErrorKind;
use linnethitch_observability::log::Logging;
use linnethitch_scale::{
    fleet::FleetPlan,
    run::{MemberRole, ScaleSettings, run as run_scale, run_member as run_scale_member},
};

use crate::{
    output::print_line,
    process::{Outcome, Verdict},
};

/// Numbers of gateways that are measured before the full number.
const STEPS: [usize; 3] = [50, 100, 200];

/// The fleet and how long it is measured:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Gateways in all
    #[bpaf(argument("COUNT"), fallback(410), display_fallback)]
    gateways: usize,
    /// Of these, whole gateways in processes of their own; the others are hollow
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    real_gateways: usize,
    /// Emulated engines
    #[bpaf(argument("COUNT"), fallback(600), display_fallback)]
    replicas: u64,
    /// Tenants of the fleet file
    #[bpaf(argument("COUNT"), fallback(45_000), display_fallback)]
    tenants: u64,
    /// Control members
    #[bpaf(argument("COUNT"), fallback(5), display_fallback)]
    members: u32,
    /// Length of each steady measurement, in seconds
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    seconds: u64,
    /// Changes of the configuration in the burst
    #[bpaf(argument("COUNT"), fallback(100), display_fallback)]
    burst: u64,
    /// Folder for report.md, results.json, plots, logs and data folders
    #[bpaf(
        argument("FOLDER"),
        fallback(PathBuf::from("linnethitch-scale")),
        debug_fallback
    )]
    output: PathBuf,
}

/// Runs the fleet; the verdict is bad when a budget is exceeded.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let settings = ScaleSettings {
        steps: steps(arguments.gateways),
        real_gateways: arguments.real_gateways.min(arguments.gateways),
        members: arguments.members,
        fleet: FleetPlan {
            replicas: arguments.replicas,
            tenants: arguments.tenants,
            ..FleetPlan::TWO_YEAR_PLAN
        },
        steady_seconds: arguments.seconds,
        burst: arguments.burst,
        output: absolute(&arguments.output)?,
        program: std::env::current_exe().change_context(ErrorKind::Io)?,
    };
    let started = Instant::now();
    let progress = |line: &str| eprintln!("{:6.1} s  {line}", started.elapsed().as_secs_f64());
    let logging = Logging::to_stderr(&LogSettings {
        level: LogLevel::Critical,
        ..LogSettings::default()
    });
    let results = run_scale(&settings, &logging.logger(), &progress)?;
    print_line(&format!(
        "report: {}",
        settings.output.join("report.md").display()
    ));
    print_line(&results.verdict());
    Ok(if results.is_within_budgets() {
        Verdict::Good
    } else {
        Verdict::Bad
    })
}

fn steps(gateways: usize) -> Vec<usize> {
    let smaller = STEPS.into_iter().filter(|step| *step < gateways);
    smaller.chain([gateways]).collect()
}

fn absolute(folder: &Path) -> Result<PathBuf, Report<ErrorKind>> {
    std::path::absolute(folder).change_context(ErrorKind::Io)
}

/// One member, as `scale` starts it:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(member_arguments))]
pub(crate) struct MemberArguments {
    /// What it is: control or gateway
    #[bpaf(positional("ROLE"))]
    role: Role,
    /// Its settings
    #[bpaf(positional("FILE"))]
    settings: PathBuf,
}

#[derive(Clone, Copy, Debug)]
struct Role(MemberRole);

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        [MemberRole::Control, MemberRole::Gateway]
            .into_iter()
            .find(|role| role.name() == text)
            .map(Role)
            .ok_or_else(|| format!("unknown role `{text}`"))
    }
}

/// Runs one member until its process is ended.
pub(crate) fn run_member(arguments: &MemberArguments) -> Outcome {
    run_scale_member(arguments.role.0, &arguments.settings)?;
    Ok(Verdict::Good)
}
