//! `linnethitch`: the gateway and control processes and the command line of
//! operators and callers.

mod apply;
mod batch;
mod clock_offsets;
mod exit;
mod explain;
mod files;
mod http_client;
mod log_files;
mod operator;
mod options;
mod serve;
mod status;

use std::process::ExitCode;

use bpaf::ParseFailure;

use crate::{
    exit::{CommandError, ExitStatus},
    options::Command,
};

/// Column at which messages of the option parser are wrapped.
const MESSAGE_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match options::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return show_parse_failure(&failure),
    };
    match run(command) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("linnethitch: {error}");
            error.status.into()
        }
    }
}

fn show_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(MESSAGE_WIDTH);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitStatus::Done.into(),
        ParseFailure::Stderr(_) => ExitStatus::Usage.into(),
    }
}

fn run(command: Command) -> Result<ExitStatus, CommandError> {
    match command {
        Command::Gateway(options) => serve::gateway(options),
        Command::Control(options) => serve::control(&options),
        Command::Validate(options) => files::validate(&options),
        Command::Diff(options) => client_runtime()?.block_on(files::diff(&options)),
        Command::Apply(options) => client_runtime()?.block_on(apply::run(&options)),
        Command::Status(options) => client_runtime()?.block_on(status::run(&options)),
        Command::Explain(options) => client_runtime()?.block_on(explain::run(&options)),
        Command::Batch(command) => client_runtime()?.block_on(batch::run(&command)),
    }
}

fn client_runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::failed(format!("cannot start: {error}")))
}
