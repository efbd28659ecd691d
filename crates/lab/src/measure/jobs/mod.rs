//! `linnethitch-lab measure jobs`: control processes with a large job.
//!
//! The control processes run inside this process, with their own threads, sockets on
//! loopback and files with real syncs; all share one disk.

mod caller;
mod cluster;
mod repairs;
mod report;
mod work;

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;

use self::{
    cluster::Cluster,
    report::{Claims, JobsReport},
    work::{Job, JobSize, Latencies, Worker},
};
use crate::{
    output::print_line,
    process::{Outcome, Verdict, runtime},
};

/// Callers that execute items.
const EXECUTORS: usize = 16;

/// Sizes:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Control members
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    members: u32,
    /// Items of the job
    #[bpaf(argument("N"), fallback(270_000), display_fallback)]
    items: u32,
    /// Bytes of each line and result
    #[bpaf(argument("BYTES"), fallback(300), display_fallback)]
    line_bytes: u32,
    /// Seconds of claims without a job
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    seconds: u64,
    /// Members that crash and disks that are lost, one after the other
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    repairs: u32,
    /// Where `results.json` and, while it runs, the data go
    #[bpaf(
        argument("DIR"),
        fallback(PathBuf::from("target/measure-jobs")),
        debug_fallback
    )]
    output: PathBuf,
}

/// Measures everything.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let data = arguments.output.join("data");
    clear(&data)?;
    let report = runtime()?.block_on(measure(arguments, &data));
    clear(&data)?;
    let report = report?;
    report.write(&arguments.output)?;
    print_line(&report.text());
    Ok(Verdict::Good)
}

async fn measure(
    arguments: &Arguments,
    data: &std::path::Path,
) -> Result<JobsReport, Report<ErrorKind>> {
    let time = Duration::from_secs(arguments.seconds);
    let mut cluster = Cluster::start(arguments.members, data).await?;
    let workers = workers(&cluster, arguments.members).await?;
    work::configure(&cluster.attach(1, "operator").await?).await?;
    print_line("claims, and a job");
    let idle = claims_without_job(&workers[0], 0, time).await?;
    let (job, heap) = job_during_claims(arguments, &workers).await?;
    drop(workers);
    print_line("restarts and repairs");
    let repairs = repairs::measure(&mut cluster, arguments.repairs).await?;
    cluster.end().await;
    Ok(JobsReport {
        members: arguments.members,
        claims: Claims { idle, heap },
        job,
        repairs,
    })
}

async fn workers(cluster: &Cluster, members: u32) -> Result<Vec<Arc<Worker>>, Report<ErrorKind>> {
    let mut workers = Vec::new();
    for number in 0..EXECUTORS {
        let member = number as u32 % members + 1;
        let name = format!("gateway-{number}");
        workers.push(Arc::new(Worker::open(cluster, member, &name).await?));
    }
    Ok(workers)
}

async fn claims_without_job(
    worker: &Arc<Worker>,
    first: u64,
    time: Duration,
) -> Result<Latencies, Report<ErrorKind>> {
    let end = Arc::new(AtomicBool::new(false));
    let claiming = work::claim_until(Arc::clone(worker), first, Arc::clone(&end));
    let stop_after_time = async {
        tokio::time::sleep(time).await;
        end.store(true, Ordering::Relaxed);
    };
    let (latencies, ()) = tokio::join!(claiming, stop_after_time);
    latencies
}

/// Uploads, accepts and executes a job while idempotency keys are claimed.
async fn job_during_claims(
    arguments: &Arguments,
    workers: &[Arc<Worker>],
) -> Result<(Job, Latencies), Report<ErrorKind>> {
    let end = Arc::new(AtomicBool::new(false));
    let first = u64::from(u32::MAX);
    let claiming = work::claim_until(Arc::clone(&workers[0]), first, Arc::clone(&end));
    let claiming = tokio::spawn(claiming);
    let job = run_job(arguments, &workers[1..]).await;
    end.store(true, Ordering::Relaxed);
    let latencies = claiming.await.change_context(ErrorKind::Internal)??;
    Ok((job?, latencies))
}

async fn run_job(arguments: &Arguments, workers: &[Arc<Worker>]) -> Result<Job, Report<ErrorKind>> {
    let size = JobSize {
        number: 1,
        items: arguments.items,
        line_bytes: arguments.line_bytes,
    };
    let (upload_seconds, accept_seconds) = work::submit(&workers[0], size).await?;
    let started = Instant::now();
    let done = work::execute(workers, size).await?;
    let run_seconds = started.elapsed().as_secs_f64();
    if done != arguments.items {
        let message = format!("{done} of {} items were completed", arguments.items);
        return Err(Report::new(ErrorKind::Internal).attach(message));
    }
    Ok(Job {
        items: arguments.items,
        line_bytes: arguments.line_bytes,
        upload_seconds,
        accept_ms: accept_seconds * 1_000.0,
        run_seconds,
        items_per_second: f64::from(arguments.items) / run_seconds,
    })
}

fn clear(folder: &std::path::Path) -> Result<(), Report<ErrorKind>> {
    if !folder.exists() {
        return Ok(());
    }
    std::fs::remove_dir_all(folder)
        .change_context(ErrorKind::Io)
        .attach_with(|| folder.display().to_string())
}
