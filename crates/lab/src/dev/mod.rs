//! `linnethitch-lab dev`: a whole fleet in one process, over real loopback sockets.

mod back_ends;
mod deployment;
mod gateways;
mod hints;
mod keys;

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_config::{
    fleet::Fleet,
    settings::{LogLevel, LogSettings},
};
use linnethitch_errors::ErrorKind;
use linnethitch_observability::log::Logging;

use self::{back_ends::BackEnds, deployment::Deployment, gateways::Gateways};
use crate::{
    output::say,
    process::{Outcome, Verdict, runtime, stop_signal},
};

/// Where and how the fleet runs:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Which fleet to run: granite-lane or hanbit
    #[bpaf(argument("NAME"), fallback(Deployment::GraniteLane), display_fallback)]
    deployment: Deployment,
    /// Folder for all files; one from an earlier run is used again
    #[bpaf(
        argument("FOLDER"),
        fallback(PathBuf::from("linnethitch-data")),
        debug_fallback
    )]
    data_dir: PathBuf,
    /// Where the first gateway listens for callers
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 8080))), display_fallback)]
    gateway_address: SocketAddr,
    /// Bearer key of the tenant `development`
    #[bpaf(argument("KEY"), fallback(deployment::DEFAULT_API_KEY.to_owned()), display_fallback)]
    api_key: String,
    /// Gateways in each zone
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    gateways: u32,
    /// How many times as fast as real time the back ends run
    #[bpaf(argument("FACTOR"), fallback(1), display_fallback)]
    speed: u32,
    /// Least level of the log lines on standard error: critical, error, warning, info or debug
    #[bpaf(argument("LEVEL"), fallback(LogLevel::Warning), debug_fallback)]
    log_level: LogLevel,
}

/// Runs the fleet until a signal stops it.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let settings = LogSettings {
        level: arguments.log_level,
        ..LogSettings::default()
    };
    let logging = Logging::to_stderr(&settings);
    runtime()?.block_on(serve(arguments, &logging))
}

async fn serve(arguments: &Arguments, logging: &Logging) -> Outcome {
    let text = arguments.deployment.fleet_text(&arguments.api_key);
    let fleet = parse(&text)?;
    let keys = keys::prepare(&arguments.data_dir)?;
    let back_ends = BackEnds::start(&fleet, arguments.speed).await?;
    say(&format!(
        "{}: {} engines and {} application replicas run",
        fleet.name,
        back_ends.engine_count(),
        back_ends.application_count()
    ));
    let gateways = Gateways::start(
        arguments,
        &fleet,
        &text,
        &keys,
        &back_ends,
        logging.logger(),
    )
    .await?;
    for (name, address) in gateways.addresses() {
        say(&format!("gateway {name} listens on {address}"));
    }
    say(&hints::text(&fleet, gateways.first(), &arguments.api_key));
    say("ready");
    stop_signal().await?;
    say("stopping: requests in progress are finished first");
    gateways.stop().await;
    say("stopped");
    Ok(Verdict::Good)
}

fn parse(text: &str) -> Result<Fleet, Report<ErrorKind>> {
    Fleet::parse(text).change_context(ErrorKind::InvalidConfiguration)
}
