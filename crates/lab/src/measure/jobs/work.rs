//! The workload of the members: a job and claims.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use error_stack::Report;
use hdrhistogram::Histogram;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::{
        CommandBody, ItemHead, JobResults, LeasedItem, NewClaim, NewJob, Outcome, RequestedItems,
    },
    ids::{
        ChangeId, FileId, IdempotencyKey, ItemNumber, JobId, ModelId, Revision, SessionEpoch,
        TenantId, Timestamp,
    },
    query::{ItemOutcome, Query, QueryAnswer},
};
use serde::Serialize;
use tokio::task::JoinSet;

use super::{caller::Caller, cluster::Cluster};

const TENANT: &str = "tenant-1";
const MODEL: &str = "model-1";
const ENDPOINT: &str = "/v1/chat/completions";
/// Length of leases and sessions, in milliseconds; longer than any measurement, because
/// nothing is renewed.
const LEASE_MS: u64 = 600_000;
/// Items in one lease and in one command of results; the maximum that gateways use.
const ITEMS_PER_COMMAND: u32 = 256;
/// Bytes of one piece of a file, as in gateways.
const PIECE_BYTES: usize = 256 * 1024;
/// Item heads in one command, as in gateways.
const HEADS_PER_COMMAND: u32 = 2_048;
/// Time between two claims.
const CLAIM_INTERVAL: Duration = Duration::from_millis(10);

/// Latencies of calls in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Latencies {
    pub(super) calls: u64,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
}

impl Latencies {
    fn new(micros: &Histogram<u64>) -> Self {
        let at = |quantile| micros.value_at_quantile(quantile) as f64 / 1_000.0;
        Latencies {
            calls: micros.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

fn record(micros: &mut Histogram<u64>, elapsed: Duration) {
    // The histogram grows as needed, so no value is out of its range.
    let _ = micros.record(elapsed.as_micros() as u64);
}

fn lease_end() -> Timestamp {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(now.unwrap_or_default().as_millis() as u64 + LEASE_MS)
}

fn unexpected(outcome: &Outcome) -> Report<ErrorKind> {
    Report::new(ErrorKind::Internal).attach(format!("unexpected outcome: {outcome:.60?}"))
}

/// A caller with a session.
pub(super) struct Worker {
    caller: Caller,
    session: SessionEpoch,
}

impl Worker {
    /// Attaches to a member under a name and opens a session.
    pub(super) async fn open(
        cluster: &Cluster,
        member: u32,
        name: &str,
    ) -> Result<Self, Report<ErrorKind>> {
        let caller = cluster.attach(member, name).await?;
        let session = caller.open_session().await?;
        let renew = CommandBody::RenewSession {
            gateway: caller.gateway.clone(),
            session,
            until: lease_end(),
        };
        caller.propose(renew).await?;
        Ok(Worker { caller, session })
    }

    async fn claim(&self, number: u64) -> Result<(), Report<ErrorKind>> {
        let claim = NewClaim {
            tenant: TenantId::from(TENANT),
            key: IdempotencyKey(format!("claim-{number}")),
            content_digest: number,
            at_most_once: true,
            gateway: self.caller.gateway.clone(),
            session: self.session,
            attempt: number,
        };
        let outcome = self.caller.propose(CommandBody::ClaimRequest(claim)).await;
        outcome.map(|_| ())
    }
}

/// Puts a fleet file with one tenant and one model in force.
pub(super) async fn configure(caller: &Caller) -> Result<(), Report<ErrorKind>> {
    let content = format!(
        "name = \"measured\"\n\n[[zone]]\nname = \"zone-1\"\nregion = \"one\"\n\n[[model]]\nname = \"{MODEL}\"\nversion = \"1\"\nplacement = [{{ zone = \"zone-1\", replicas = 1 }}]\n\n[[tenant]]\nname = \"{TENANT}\"\nkey_sha256 = \"{}\"\n",
        "0".repeat(64)
    );
    let command = CommandBody::ApplyConfiguration {
        change: ChangeId::from("measured"),
        expected: Revision(0),
        content,
    };
    caller.propose(command).await.map(|_| ())
}

/// The results of one job.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Job {
    pub(super) items: u32,
    pub(super) line_bytes: u32,
    pub(super) upload_seconds: f64,
    pub(super) accept_ms: f64,
    pub(super) run_seconds: f64,
    pub(super) items_per_second: f64,
}

/// A job's size.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobSize {
    pub(super) number: u32,
    pub(super) items: u32,
    pub(super) line_bytes: u32,
}

impl JobSize {
    fn job(self) -> JobId {
        JobId(format!("batch_{}", self.number))
    }

    fn file(self) -> FileId {
        FileId(format!("file-{}", self.number))
    }

    fn head(self, item: u32) -> ItemHead {
        ItemHead {
            bytes: self.line_bytes,
            model: ModelId::from(MODEL),
            endpoint: ENDPOINT.to_owned(),
            at_most_once: false,
            custom_id: format!("row-{item}"),
        }
    }
}

/// Uploads a job's input file and creates the job; returns the seconds of both steps.
pub(super) async fn submit(worker: &Worker, job: JobSize) -> Result<(f64, f64), Report<ErrorKind>> {
    let started = Instant::now();
    let caller = &worker.caller;
    let create = CommandBody::CreateFile {
        file: job.file(),
        tenant: TenantId::from(TENANT),
        purpose: "batch".to_owned(),
        filename: "items.jsonl".to_owned(),
    };
    caller.propose(create).await?;
    let bytes = append(caller, job).await?;
    index(caller, job).await?;
    let finish = CommandBody::FinishFile {
        file: job.file(),
        bytes,
        items: Vec::new(),
    };
    caller.propose(finish).await?;
    let upload = started.elapsed().as_secs_f64();
    let accepting = Instant::now();
    let create = CommandBody::CreateJob(NewJob {
        job: job.job(),
        tenant: TenantId::from(TENANT),
        input: job.file(),
        endpoint: ENDPOINT.to_owned(),
        window_ms: 24 * 60 * 60 * 1_000,
        metadata: "{}".to_owned(),
        idempotency: None,
        content_digest: u64::from(job.number),
    });
    caller.propose(create).await?;
    Ok((upload, accepting.elapsed().as_secs_f64()))
}

async fn append(caller: &Caller, job: JobSize) -> Result<u64, Report<ErrorKind>> {
    let mut line = vec![b'x'; job.line_bytes as usize];
    if let Some(last) = line.last_mut() {
        *last = b'\n';
    }
    let lines_per_piece = (PIECE_BYTES / line.len().max(1)).max(1);
    let mut remaining = job.items as usize;
    let mut offset = 0;
    while remaining > 0 {
        let lines = lines_per_piece.min(remaining);
        let data = line.repeat(lines);
        let bytes = data.len() as u64;
        let file = job.file();
        let append = CommandBody::AppendFile { file, offset, data };
        caller.propose(append).await?;
        offset += bytes;
        remaining -= lines;
    }
    Ok(offset)
}

async fn index(caller: &Caller, job: JobSize) -> Result<(), Report<ErrorKind>> {
    let mut first = 0;
    while first < job.items {
        let end = job.items.min(first + HEADS_PER_COMMAND);
        let command = CommandBody::IndexFile {
            file: job.file(),
            first: ItemNumber(first),
            items: (first..end).map(|item| job.head(item)).collect(),
        };
        caller.propose(command).await?;
        first = end;
    }
    Ok(())
}

/// Leases and completes all pending items. Returns the number of completed items in the
/// job's record, which does not count the results of a resent command twice.
pub(super) async fn execute(
    workers: &[Arc<Worker>],
    job: JobSize,
) -> Result<u32, Report<ErrorKind>> {
    let mut tasks = JoinSet::new();
    for worker in workers {
        let worker = Arc::clone(worker);
        tasks.spawn(async move { execute_with_worker(&worker, job.line_bytes).await });
    }
    for ended in tasks.join_all().await {
        ended?;
    }
    let query = Query::Job(TenantId::from(TENANT), job.job());
    match workers[0].caller.call(ControlCall::Query(query)).await? {
        ControlAnswer::Answer(QueryAnswer::Job(Some(record))) => Ok(record.completed),
        other => Err(Report::new(ErrorKind::Internal).attach(format!("{other:.60?}"))),
    }
}

async fn execute_with_worker(worker: &Worker, result_bytes: u32) -> Result<(), Report<ErrorKind>> {
    for sequence in 1.. {
        let lease = CommandBody::LeaseItems {
            gateway: worker.caller.gateway.clone(),
            session: worker.session,
            sequence,
            requested: vec![RequestedItems {
                model: ModelId::from(MODEL),
                count: ITEMS_PER_COMMAND,
            }],
            until: lease_end(),
        };
        let items = match worker.caller.propose(lease).await? {
            Outcome::Leased(items) => items,
            other => return Err(unexpected(&other)),
        };
        if items.is_empty() {
            return Ok(());
        }
        let complete = CommandBody::CompleteItems {
            gateway: worker.caller.gateway.clone(),
            session: worker.session,
            results: vec![results(&items, result_bytes)],
        };
        worker.caller.propose(complete).await?;
    }
    Ok(())
}

/// Results of items of one job.
fn results(items: &[LeasedItem], result_bytes: u32) -> JobResults {
    let outcome = |item: &LeasedItem| {
        let outcome = ItemOutcome {
            item: item.key.item,
            status: 200,
            error_code: String::new(),
            body: format!("\"{}\"", "x".repeat(result_bytes as usize)).into_bytes(),
        };
        (item.key.lease, outcome)
    };
    JobResults {
        job: items
            .first()
            .map(|item| item.key.job.clone())
            .unwrap_or_default(),
        outcomes: items.iter().map(outcome).collect(),
    }
}

/// Claims keys at a fixed rate, regardless of the latency of answers, until `end` is set.
pub(super) async fn claim_until(
    worker: Arc<Worker>,
    first: u64,
    end: Arc<AtomicBool>,
) -> Result<Latencies, Report<ErrorKind>> {
    let mut due = tokio::time::interval(CLAIM_INTERVAL);
    let mut tasks = JoinSet::new();
    let mut number = first;
    while !end.load(Ordering::Relaxed) {
        due.tick().await;
        number += 1;
        tasks.spawn(timed_claim(Arc::clone(&worker), number));
    }
    let mut micros = histogram();
    for elapsed in tasks.join_all().await {
        record(&mut micros, elapsed?);
    }
    Ok(Latencies::new(&micros))
}

async fn timed_claim(worker: Arc<Worker>, number: u64) -> Result<Duration, Report<ErrorKind>> {
    let sent = Instant::now();
    worker.claim(number).await?;
    Ok(sent.elapsed())
}
