//! The largest job: accepted in one command, leased, completed, listed and read.

use std::{path::Path, time::Instant};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    ids::FileId,
    query::{Query, QueryAnswer},
};
use serde::Serialize;

use super::{
    Arguments,
    commands::{
        Executor, JobPlan, MODELS, RESULTS_PER_COMMAND, accept, configure, fleet_file, upload,
    },
    member::{Costs, MeasuredMember},
};
use crate::memory::{allocated_bytes, peak_bytes, reset_peak};

const TENANTS: u64 = 100;
const LEASE_ITEMS: u32 = 64;
const PAGE_BYTES: u32 = 256 * 1024;

/// Costs of one step of the job's life cycle.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Step {
    /// Name of the step.
    pub(super) name: &'static str,
    /// Costs of the step's commands.
    pub(super) costs: Costs,
    /// Peak memory above the level before the job, in bytes.
    pub(super) peak_bytes: u64,
}

/// Results for the largest job.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LargestJob {
    /// Number of items.
    pub(super) items: u64,
    /// Bytes of each line and result.
    pub(super) line_bytes: usize,
    /// Steps of the job's life cycle.
    pub(super) steps: Vec<Step>,
    /// Memory used by the accepted job, in bytes.
    pub(super) accepted_bytes: u64,
    /// Memory used by the finished job, in bytes.
    pub(super) finished_bytes: u64,
    /// Payload bytes of the finished job, input and results.
    pub(super) payload_bytes: u64,
    /// Seconds to list the tenant's jobs.
    pub(super) list_seconds: f64,
    /// Seconds to read all results, page by page.
    pub(super) read_seconds: f64,
    /// Bytes of all results.
    pub(super) result_bytes: u64,
}

impl LargestJob {
    /// Seconds of a step; 0 if there is no step of this name.
    pub(super) fn step_seconds(&self, name: &str) -> f64 {
        let step = self.steps.iter().find(|step| step.name == name);
        step.map_or(0.0, |step| step.costs.seconds())
    }
}

/// Runs one job of the largest size through its complete life cycle.
pub(super) fn measure(
    arguments: &Arguments,
    folder: &Path,
) -> Result<LargestJob, Report<ErrorKind>> {
    let mut member = MeasuredMember::new(folder, true)?;
    configure(&mut member, fleet_file(TENANTS, 0))?;
    member.take_costs();
    let plan = JobPlan::new(1, TENANTS, arguments.largest_job, arguments.line_bytes);
    let before = allocated_bytes();
    let mut steps = Vec::new();
    let mut step = |member: &mut MeasuredMember, name| {
        steps.push(Step {
            name,
            costs: member.take_costs(),
            peak_bytes: peak_bytes().saturating_sub(before),
        });
        reset_peak();
    };
    reset_peak();
    upload(&mut member, &plan)?;
    member.sync()?;
    step(&mut member, "uploaded");
    accept(&mut member, &plan)?;
    member.sync()?;
    step(&mut member, "accepted");
    let accepted_bytes = allocated_bytes().saturating_sub(before);
    let mut executor = Executor::open(&mut member, 0)?;
    run_job(&mut member, &mut executor, arguments.line_bytes)?;
    member.sync()?;
    step(&mut member, "leased and completed");
    let finished_bytes = allocated_bytes().saturating_sub(before);
    let payload_bytes = member.ledger.payloads().live_bytes();
    let (record, list_seconds) = list(&member, &plan)?;
    let (result_bytes, read_seconds) = read(&member, &plan, &record)?;
    Ok(LargestJob {
        items: arguments.largest_job,
        line_bytes: arguments.line_bytes,
        steps,
        accepted_bytes,
        finished_bytes,
        payload_bytes,
        list_seconds,
        read_seconds,
        result_bytes,
    })
}

/// Leases and completes items until none is pending.
fn run_job(
    member: &mut MeasuredMember,
    executor: &mut Executor,
    result_bytes: usize,
) -> Result<(), Report<ErrorKind>> {
    let mut uncompleted = Vec::new();
    loop {
        let leased = executor.lease(member, &MODELS, LEASE_ITEMS)?;
        let none_remaining = leased.is_empty();
        uncompleted.extend(leased);
        if uncompleted.len() >= RESULTS_PER_COMMAND || none_remaining {
            executor.complete(member, &uncompleted, result_bytes)?;
            uncompleted.clear();
        }
        if none_remaining {
            return Ok(());
        }
    }
}

/// The job's output file, from the tenant's list of jobs.
fn list(member: &MeasuredMember, plan: &JobPlan) -> Result<(FileId, f64), Report<ErrorKind>> {
    let (answer, seconds) = member.query(&Query::Jobs {
        tenant: plan.tenant.clone(),
        after: None,
        limit: 100,
    })?;
    let QueryAnswer::Jobs { jobs, .. } = answer else {
        return Err(Report::new(ErrorKind::Internal).attach("not a list of jobs"));
    };
    match jobs
        .into_iter()
        .find(|job| u64::from(job.completed) == plan.items)
    {
        Some(job) => Ok((job.output, seconds)),
        None => Err(Report::new(ErrorKind::Internal).attach("the job is not complete")),
    }
}

fn read(
    member: &MeasuredMember,
    plan: &JobPlan,
    file: &FileId,
) -> Result<(u64, f64), Report<ErrorKind>> {
    let started = Instant::now();
    let mut bytes = 0;
    let mut cursor = Some(0);
    while let Some(position) = cursor {
        let query = Query::FileContent {
            tenant: plan.tenant.clone(),
            file: file.clone(),
            cursor: position,
            limit: PAGE_BYTES,
        };
        let (QueryAnswer::FileContent { data, next }, _) = member.query(&query)? else {
            return Err(Report::new(ErrorKind::Internal).attach("not a file's content"));
        };
        bytes += data.len() as u64;
        cursor = next;
    }
    Ok((bytes, started.elapsed().as_secs_f64()))
}
