//! Flags of `linnethitch batch`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Address and credentials of a caller's connection.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct CallerOptions {
    /// Callers' interface of a gateway
    #[bpaf(argument("IP:PORT"))]
    pub(crate) gateway: SocketAddr,
    /// File with the tenant's bearer key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
}

/// What to do with batch jobs.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum BatchCommand {
    /// Upload a JSONL file and create a job of it
    ///
    ///
    /// Prints the job. With --idempotency-key a resend creates no second job.
    #[bpaf(command)]
    Submit(#[bpaf(external(submit_options))] SubmitOptions),
    /// Show a job
    #[bpaf(command)]
    Get(#[bpaf(external(job_options))] JobOptions),
    /// List jobs, newest first
    #[bpaf(command)]
    List(#[bpaf(external(list_options))] ListOptions),
    /// Cancel a job
    ///
    ///
    /// Results that are there stay readable; no further result appears.
    #[bpaf(command)]
    Cancel(#[bpaf(external(job_options))] JobOptions),
    /// Write the results of a job
    #[bpaf(command)]
    Output(#[bpaf(external(output_options))] OutputOptions),
}

/// Options of `batch submit`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct SubmitOptions {
    #[bpaf(external)]
    pub(crate) caller_options: CallerOptions,
    /// Path that the items are for (default /v1/chat/completions)
    #[bpaf(argument("PATH"), fallback("/v1/chat/completions".to_owned()))]
    pub(crate) endpoint: String,
    /// Completion window, such as 24h
    #[bpaf(argument("DURATION"), fallback("24h".to_owned()))]
    pub(crate) window: String,
    /// Key under which a resend finds the first job; the upload is kept in FILE.upload for it
    #[bpaf(argument("KEY"))]
    pub(crate) idempotency_key: Option<String>,
    /// Wait until the job is at its end
    pub(crate) wait: bool,
    /// The input: one request a line
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

/// Options of commands on one job.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct JobOptions {
    #[bpaf(external)]
    pub(crate) caller_options: CallerOptions,
    /// The job's id (batch_...)
    #[bpaf(positional("JOB"))]
    pub(crate) job: String,
}

/// Options of `batch list`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct ListOptions {
    #[bpaf(external)]
    pub(crate) caller_options: CallerOptions,
    /// At most this many jobs (default 20)
    #[bpaf(argument("N"), fallback(20))]
    pub(crate) limit: u32,
    /// Start after this job
    #[bpaf(argument("JOB"))]
    pub(crate) after: Option<String>,
}

/// Options of `batch output`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct OutputOptions {
    #[bpaf(external)]
    pub(crate) caller_options: CallerOptions,
    /// Write the failed items instead of the successful ones
    pub(crate) errors: bool,
    /// Write to this file instead of the standard output
    #[bpaf(argument("FILE"))]
    pub(crate) output: Option<PathBuf>,
    /// The job's id (batch_...)
    #[bpaf(positional("JOB"))]
    pub(crate) job: String,
}
