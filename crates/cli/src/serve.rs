//! Runs gateways and control members until a signal stops them.

use std::future::Future;

use linnethitch_config::settings::{
    ControlSettings, GatewaySettings, SettingsError, read_cluster_key,
};
use linnethitch_control::process::ControlProcess;
use linnethitch_errors::ErrorKind;
use linnethitch_gateway::process::GatewayProcess;
use linnethitch_observability::log::Logging;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    exit::{CommandError, ExitStatus},
    options::{ControlOptions, GatewayOptions},
};

/// Runs a gateway.
pub(crate) fn gateway(options: GatewayOptions) -> Result<ExitStatus, CommandError> {
    let settings =
        GatewaySettings::load(options.settings.as_deref(), options.values()).map_err(refused)?;
    read_cluster_key(&settings.cluster_key_file).map_err(refused)?;
    let logging = Logging::to_stderr(&settings.log);
    let logger = logging.logger();
    server_runtime()?.block_on(async {
        let mut signals = StopSignals::listen()?;
        let process = GatewayProcess::start(settings, logger.clone())
            .await
            .map_err(|report| start_error(&report))?;
        println!("gateway listens on {}", process.address());
        signals.wait_for_first(&logger).await;
        wait_for_stop(process.stop(), &mut signals, &logger).await
    })
}

/// Runs a control member.
pub(crate) fn control(options: &ControlOptions) -> Result<ExitStatus, CommandError> {
    let settings =
        ControlSettings::load(options.settings.as_deref(), options.values()).map_err(refused)?;
    read_cluster_key(&settings.cluster_key_file).map_err(refused)?;
    let logging = Logging::to_stderr(&settings.log);
    let logger = logging.logger();
    server_runtime()?.block_on(async {
        let mut signals = StopSignals::listen()?;
        let mut process = ControlProcess::start(settings, logger.clone())
            .await
            .map_err(|report| start_error(&report))?;
        println!(
            "control member listens on {} for operators",
            process.addresses().operator
        );
        tokio::select! {
            () = signals.wait_for_first(&logger) => {}
            ended = process.failed() => return Err(member_error(ended)),
        }
        wait_for_stop(process.stop(), &mut signals, &logger).await
    })
}

fn server_runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::failed(format!("cannot start: {error}")))
}

fn refused(error: SettingsError) -> CommandError {
    CommandError::refused(error.to_string())
}

fn start_error(report: &error_stack::Report<ErrorKind>) -> CommandError {
    let kind = *report.current_context();
    CommandError::from_kind(kind, format!("cannot start: {report:?}"))
}

/// A member that ends without a stop signal is an error, so that an operator notices it.
fn member_error(ended: Result<(), error_stack::Report<ErrorKind>>) -> CommandError {
    match ended {
        Ok(()) => CommandError::failed("the control member ended without a stop signal"),
        Err(report) => {
            let kind = *report.current_context();
            CommandError::from_kind(kind, format!("the control member failed: {report:?}"))
        }
    }
}

/// Waits for a planned stop; a second signal aborts it.
async fn wait_for_stop(
    stop: impl Future<Output = ()>,
    signals: &mut StopSignals,
    logger: &Logger,
) -> Result<ExitStatus, CommandError> {
    tokio::select! {
        () = stop => {
            info!(logger, "stopped");
            Ok(ExitStatus::Done)
        }
        () = signals.wait() => {
            warn!(logger, "second signal; aborting work in progress");
            Err(CommandError::failed("stopped by a second signal"))
        }
    }
}

/// SIGINT and SIGTERM.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn listen() -> Result<Self, CommandError> {
        let listen = |kind| {
            signal(kind).map_err(|error| {
                CommandError::failed(format!("cannot listen for signals: {error}"))
            })
        };
        Ok(StopSignals {
            interrupt: listen(SignalKind::interrupt())?,
            terminate: listen(SignalKind::terminate())?,
        })
    }

    async fn wait_for_first(&mut self, logger: &Logger) {
        self.wait().await;
        info!(logger, "signal; stopping once work in progress is finished");
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
