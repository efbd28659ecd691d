//! `linnethitch-lab platform`: the emulated platform as a process.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_emulator::platform::{
    PlatformModel, PlatformServer, PlatformSettings, machines_from_json,
};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::fleet::Machine;

use crate::{
    output::print_line,
    process::{Outcome, Verdict, runtime, stop_signal},
};

const MICROS_PER_MILLI: u64 = 1_000;

/// What is emulated:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Where to listen; port 0 lets the system choose one
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    listen: SocketAddr,
    /// JSON file with the machines listed from the start, in the form of GET /machines
    #[bpaf(argument("FILE"))]
    machines: Option<PathBuf>,
    /// Age of the list when it is read, in milliseconds
    #[bpaf(argument("MILLISECONDS"), fallback(1_500), display_fallback)]
    list_lag: u64,
}

/// Serves until a signal ends it.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let machines = read_machines(arguments)?;
    runtime()?.block_on(serve(arguments, machines))
}

fn read_machines(arguments: &Arguments) -> Result<Vec<Machine>, Report<ErrorKind>> {
    let Some(file) = &arguments.machines else {
        return Ok(Vec::new());
    };
    let text = std::fs::read_to_string(file)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot read {}", file.display()))?;
    machines_from_json(&text)
        .change_context(ErrorKind::InvalidValue)
        .attach_with(|| format!("{} is not a list of machines", file.display()))
}

async fn serve(arguments: &Arguments, machines: Vec<Machine>) -> Outcome {
    let settings = PlatformSettings {
        listen: arguments.listen,
        model: PlatformModel {
            list_lag_micros: arguments.list_lag * MICROS_PER_MILLI,
            ..PlatformModel::default()
        },
        machines,
        ..PlatformSettings::default()
    };
    let platform = PlatformServer::start(settings)
        .await
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {}", arguments.listen))?;
    print_line(&format!("platform listens on {}", platform.address()));
    stop_signal().await.map(|()| Verdict::Good)
}
