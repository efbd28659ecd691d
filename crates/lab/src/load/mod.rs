//! `linnethitch-lab load`: open-loop load on running gateways; every answer is checked.
//!
//! Requests start at times that do not depend on earlier answers, and each
//! latency counts from the time at which its request was due. So a stall shows
//! in all the requests that it delayed (no coordinated omission).

mod arrivals;
mod batch;
mod client;
mod folder;
mod limits;
mod online;
mod progress;
mod prompts;
mod report;
mod service;
mod sources;
mod sse;
mod tally;

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Instant};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use tokio::{sync::mpsc, task::JoinSet};

use self::{
    arrivals::Pattern,
    client::GatewayClient,
    limits::Limits,
    report::LoadReport,
    tally::{Observation, Tally},
};
use crate::process::{Outcome, Verdict, runtime};

/// Capacity of the queue of observations.
const OBSERVATION_QUEUE: usize = 65_536;

/// What is asked, of whom, how often:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// A gateway; may be given several times, requests take turns
    #[bpaf(argument("ADDRESS"))]
    gateway: Vec<SocketAddr>,
    /// Bearer key of the tenant
    #[bpaf(argument("KEY"), fallback("lh-dev-key".to_owned()), display_fallback)]
    api_key: String,
    /// Model to ask; the first of the gateway's list by default
    #[bpaf(argument("MODEL"))]
    model: Option<String>,
    /// How long new online requests start, in seconds
    #[bpaf(argument("SECONDS"), fallback(20.0), display_fallback)]
    seconds: f64,
    /// How long a request may still run after them until it counts as unanswered, in seconds
    #[bpaf(argument("SECONDS"), fallback(60.0), display_fallback)]
    drain: f64,
    /// Online requests a second, on average
    #[bpaf(argument("RATE"), fallback(20.0), display_fallback)]
    rate: f64,
    /// How they arrive: poisson, bursts or even
    #[bpaf(argument("PATTERN"), fallback(Pattern::Poisson), display_fallback)]
    arrivals: Pattern,
    /// Seeds arrivals and prompts
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Of a hundred online requests, how many ask for a whole answer instead of a stream
    #[bpaf(argument("PERCENT"), fallback(10), display_fallback)]
    whole_percent: u32,
    /// Of a hundred prompts, how many are long documents
    #[bpaf(argument("PERCENT"), fallback(10), display_fallback)]
    long_percent: u32,
    /// Limit of each answer, in tokens
    #[bpaf(argument("TOKENS"), fallback(64), display_fallback)]
    max_tokens: u32,
    /// Application service to call too
    #[bpaf(argument("NAME"))]
    service: Option<String>,
    /// Calls of that service a second, on average
    #[bpaf(argument("RATE"), fallback(5.0), display_fallback)]
    service_rate: f64,
    /// Items of each batch job; 0 for none
    #[bpaf(argument("ITEMS"), fallback(0), display_fallback)]
    batch_items: u32,
    /// Batch jobs in all
    #[bpaf(argument("JOBS"), fallback(1), display_fallback)]
    batch_jobs: u32,
    /// Time between two batch jobs, in seconds
    #[bpaf(argument("SECONDS"), fallback(9.0), display_fallback)]
    batch_interval: f64,
    /// How long a batch job may take, in seconds
    #[bpaf(argument("SECONDS"), fallback(300.0), display_fallback)]
    batch_timeout: f64,
    /// Write the result as JSON to this file
    #[bpaf(argument("FILE"))]
    output: Option<PathBuf>,
    /// Write result, table and percentile distributions to this folder
    #[bpaf(argument("FOLDER"))]
    report: Option<PathBuf>,
    #[bpaf(external(limits::limits))]
    limits: Limits,
    /// Print the result as JSON instead of a table
    json: bool,
    /// Show no progress
    quiet: bool,
}

/// Runs the load; the verdict is bad when an answer was missing, incomplete or wrong, or a
/// limit was exceeded.
pub(crate) fn run(arguments: Arguments) -> Outcome {
    runtime()?.block_on(drive(arguments))
}

/// What every request needs.
#[derive(Clone)]
struct Driver {
    client: Arc<GatewayClient>,
    model: Arc<str>,
    observations: mpsc::Sender<Observation>,
    max_tokens: u32,
}

async fn drive(arguments: Arguments) -> Outcome {
    let client = Arc::new(GatewayClient::new(&arguments.gateway, &arguments.api_key));
    let model = match &arguments.model {
        Some(model) => model.clone(),
        None => client.first_model().await?,
    };
    let (observations, receiver) = mpsc::channel(OBSERVATION_QUEUE);
    let driver = Driver {
        client,
        model: Arc::from(model),
        observations,
        max_tokens: arguments.max_tokens,
    };
    let started = Instant::now();
    let tally = tokio::spawn(progress::collect(receiver, started, arguments.quiet));
    let mut running = JoinSet::new();
    running.spawn(sources::online(driver.clone(), arguments.clone(), started));
    running.spawn(sources::service(driver.clone(), arguments.clone(), started));
    running.spawn(sources::batch(driver, arguments.clone(), started));
    while running.join_next().await.is_some() {}
    let tally: Tally = tally.await.change_context(ErrorKind::Internal)?;
    let report = LoadReport::new(&tally, started.elapsed(), &arguments.limits);
    write_report(&arguments, &report)?;
    if let Some(folder) = &arguments.report {
        folder::write(folder, &report, &tally)?;
    }
    Ok(if report.is_good() {
        Verdict::Good
    } else {
        Verdict::Bad
    })
}

fn write_report(arguments: &Arguments, report: &LoadReport) -> Result<(), Report<ErrorKind>> {
    let json = serde_json::to_string_pretty(report).change_context(ErrorKind::Internal)?;
    if let Some(file) = &arguments.output {
        std::fs::write(file, &json)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cannot write {}", file.display()))?;
    }
    crate::output::print_line(&if arguments.json { json } else { report.table() });
    Ok(())
}
