//! `linnethitch-lab dev`: a complete fleet in one process, over real loopback sockets.

mod back_ends;
mod control;
mod deployment;
mod gateways;
mod hints;
mod keys;
mod ready;

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_config::{
    fleet::Fleet,
    settings::{LogLevel, LogSettings},
};
use linnethitch_errors::ErrorKind;
use linnethitch_observability::log::Logging;

use slog::Logger;

use self::{
    back_ends::BackEnds,
    control::{Control, ControlPlan},
    deployment::Deployment,
    gateways::{GatewayPlan, Gateways},
    hints::Hints,
    keys::KeyFiles,
    ready::ReadyClient,
};
use crate::{
    output::print_line,
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
    /// Where the first control member listens for operators
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 8090))), display_fallback)]
    operator_address: SocketAddr,
    /// Bearer key of the operators
    #[bpaf(argument("KEY"), fallback("lh-dev-operator".to_owned()), display_fallback)]
    operator_key: String,
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
    let mut running = Running::start(arguments, &logging.logger()).await?;
    running.print_addresses();
    let ended = running.serve(arguments).await;
    print_line("stopping: requests in progress are finished first");
    running.stop().await;
    print_line("stopped");
    ended.map(|()| Verdict::Good)
}

/// The running processes and the files that they were started from.
struct Running {
    fleet: Fleet,
    fleet_text: String,
    key_files: KeyFiles,
    back_ends: BackEnds,
    control: Control,
    gateways: Gateways,
}

impl Running {
    async fn start(arguments: &Arguments, logger: &Logger) -> Result<Running, Report<ErrorKind>> {
        let fleet_text = arguments.deployment.fleet_text(&arguments.api_key);
        let fleet = Fleet::parse(&fleet_text).change_context(ErrorKind::InvalidConfiguration)?;
        let key_files = KeyFiles::prepare(
            &arguments.data_dir,
            &arguments.operator_key,
            &arguments.api_key,
        )?;
        let back_ends = BackEnds::start(&fleet, arguments.speed).await?;
        let control = Control::start(ControlPlan {
            arguments,
            fleet: &fleet,
            cluster_key: &key_files.cluster,
            platform: back_ends.platform(),
            logger: logger.clone(),
        })
        .await?;
        let attach = control.addresses().into_iter().map(|member| member.attach);
        let gateways = Gateways::start(GatewayPlan {
            arguments,
            fleet: &fleet,
            cluster_key: &key_files.cluster,
            control_addresses: attach.collect(),
            logger: logger.clone(),
        })
        .await?;
        Ok(Running {
            fleet,
            fleet_text,
            key_files,
            back_ends,
            control,
            gateways,
        })
    }

    fn print_addresses(&self) {
        print_line(&format!(
            "{}: {} engines and {} application replicas run",
            self.fleet.name,
            self.back_ends.engine_count(),
            self.back_ends.application_count()
        ));
        for (index, member) in self.control.addresses().iter().enumerate() {
            let number = index + 1;
            print_line(&format!(
                "control member {number} listens for operators on {}",
                member.operator
            ));
        }
        for (name, address) in self.gateways.addresses() {
            print_line(&format!("gateway {name} listens on {address}"));
        }
    }

    /// Waits until the fleet is ready and serves until a signal arrives or a control member fails.
    async fn serve(&mut self, arguments: &Arguments) -> Result<(), Report<ErrorKind>> {
        let operator = self.control.addresses()[0].operator;
        let client = ReadyClient::new(operator, &arguments.operator_key);
        let hints = Hints {
            fleet: &self.fleet,
            gateway: self.gateways.first(),
            operator,
            api_key: &arguments.api_key,
            operator_key: &arguments.operator_key,
            files: &self.key_files,
        };
        let serving = async {
            let in_force = client.configure(&self.fleet_text).await?;
            print_line(&format!("revision {} is in force", in_force.revision));
            if in_force.differs {
                print_line(
                    "the data folder has a configuration other than the deployment's file; it stays in force",
                );
            }
            let back_ends = self.back_ends.engine_count() + self.back_ends.application_count();
            client.wait_for_replicas(back_ends).await?;
            for (_, address) in self.gateways.addresses() {
                client.wait_for_gateway(address).await?;
            }
            print_line(&hints.text());
            print_line("ready");
            std::future::pending().await
        };
        tokio::select! {
            failed = serving => failed,
            failed = self.control.failed() => failed,
            signal = stop_signal() => signal,
        }
    }

    /// Planned stop: gateways finish their requests while control is still available.
    async fn stop(self) {
        self.gateways.stop().await;
        self.control.stop().await;
    }
}
