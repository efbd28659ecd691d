//! All jobs of the plan at once, and the rate at which one member applies their items.

use std::{path::Path, time::Duration};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use serde::Serialize;

use super::{
    Arguments,
    commands::{Executor, JobPlan, MODELS, accept, configure, fleet_file, upload},
    member::{Costs, MeasuredMember},
};
use crate::memory::allocated_bytes;

/// Bytes of a line while the jobs are built: the lines themselves are not measured here.
const SHORT_LINE_BYTES: usize = 64;
/// Items of each model that a gateway asks for at once.
const LEASE_ITEMS: u32 = 16;
/// Number of rounds in which each gateway leases and completes.
const ROUNDS: u64 = 8;
/// Time between two rounds of leases.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Results for all jobs of the plan at once.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Day {
    /// Open jobs.
    pub(super) jobs: u64,
    /// Items of all these jobs.
    pub(super) items: u64,
    /// Costs of uploading and accepting the jobs.
    pub(super) accepting: Costs,
    /// Memory of the accepted jobs, in bytes.
    pub(super) accepted_bytes: u64,
    /// Memory once each gateway holds items and each job has results, in bytes.
    pub(super) running_bytes: u64,
    /// Items leased and completed for the rate.
    pub(super) completed: u64,
    /// Costs of leasing and completing these items.
    pub(super) running: Costs,
}

impl Day {
    /// Items a second that one member could lease and complete.
    pub(super) fn items_per_second(&self) -> f64 {
        self.completed as f64 / self.running.seconds().max(f64::MIN_POSITIVE)
    }
}

/// Accepts all jobs and runs some of their items; returns the member for the next
/// measurement.
pub(super) fn measure(
    arguments: &Arguments,
    folder: &Path,
) -> Result<(Day, MeasuredMember), Report<ErrorKind>> {
    let before = allocated_bytes();
    let mut member = MeasuredMember::new(folder, true)?;
    configure(&mut member, fleet_file(arguments.tenants, 0))?;
    member.take_costs();
    let items_per_job = (arguments.items / arguments.jobs.max(1)).max(1);
    for number in 0..arguments.jobs {
        let plan = JobPlan::new(number, arguments.tenants, items_per_job, SHORT_LINE_BYTES);
        upload(&mut member, &plan)?;
        accept(&mut member, &plan)?;
    }
    member.sync()?;
    let accepting = member.take_costs();
    let accepted_bytes = allocated_bytes().saturating_sub(before);
    let completed = run_rounds(arguments, &mut member)?;
    member.sync()?;
    let running = member.take_costs();
    let day = Day {
        jobs: arguments.jobs,
        items: items_per_job * arguments.jobs,
        accepting,
        accepted_bytes,
        running_bytes: allocated_bytes().saturating_sub(before),
        completed,
        running,
    };
    Ok((day, member))
}

/// In each round, every gateway leases items and completes those of the previous round.
fn run_rounds(
    arguments: &Arguments,
    member: &mut MeasuredMember,
) -> Result<u64, Report<ErrorKind>> {
    let mut executors = Vec::new();
    for gateway in 0..arguments.gateways {
        executors.push((Executor::open(member, gateway)?, Vec::new()));
    }
    let mut completed = 0;
    for _ in 0..ROUNDS {
        for (executor, current) in &mut executors {
            let leased = executor.lease(member, &MODELS, LEASE_ITEMS)?;
            let done = std::mem::replace(current, leased);
            if !done.is_empty() {
                completed += executor.complete(member, &done, arguments.line_bytes)?;
            }
        }
        member.advance(ROUND_INTERVAL);
    }
    Ok(completed)
}
