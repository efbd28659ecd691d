//! Runtime, signals and exit code of a subcommand.

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
    /// No problem was found.
    Good,
    /// The subcommand ran to its end and printed a problem that it found.
    Bad,
}

/// The outcome of a subcommand.
pub(crate) type Outcome = Result<Verdict, Report<ErrorKind>>;

/// The exit code: 0 when no problem was found, 1 when one was found, 2 on failure.
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
/// `Io` when the threads cannot be created.
pub(crate) fn runtime() -> Result<Runtime, Report<ErrorKind>> {
    Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(ErrorKind::Io)
}

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
/// `Io` when the signal handlers cannot be installed.
pub(crate) async fn stop_signal() -> Result<(), Report<ErrorKind>> {
    let mut interrupt = signal(SignalKind::interrupt()).change_context(ErrorKind::Io)?;
    let mut terminate = signal(SignalKind::terminate()).change_context(ErrorKind::Io)?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
