//! Running a subcommand: its runtime, its signals, its exit code.

use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
};

/// How a subcommand ended when it did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// All is well.
    Good,
    /// It ran to its end and found something wrong, which it has printed.
    Bad,
}

/// The outcome of a subcommand.
pub(crate) type Outcome = Result<Verdict, Report<ErrorKind>>;

/// The exit code: 0 when all is well, 1 when something was found wrong, 2 on failure.
pub(crate) fn exit_code(outcome: Outcome) -> ExitCode {
    match outcome {
        Ok(Verdict::Good) => ExitCode::SUCCESS,
        Ok(Verdict::Bad) => ExitCode::from(1),
        Err(report) => {
            eprintln!("linnethitch-lab: {report:?}");
            ExitCode::from(2)
        }
    }
}

/// A runtime with a thread per core.
///
/// # Errors
/// `Io` when the system gives no threads.
pub(crate) fn runtime() -> Result<Runtime, Report<ErrorKind>> {
    Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(ErrorKind::Io)
}

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
/// `Io` when signals can not be watched.
pub(crate) async fn stop_signal() -> Result<(), Report<ErrorKind>> {
    let mut interrupt = signal(SignalKind::interrupt()).change_context(ErrorKind::Io)?;
    let mut terminate = signal(SignalKind::terminate()).change_context(ErrorKind::Io)?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
