//! Memory of each kind of entry: states built at three sizes, counted by the allocator.

use std::path::Path;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{CommandBody, EngineOrder},
    ids::{ModelId, ReplicaId, Term},
};
use linnethitch_scale::capacity::{Point, fit_line};

use super::{
    Arguments,
    commands::{
        Executor, JobPlan, MODELS, RESULTS_PER_COMMAND, accept, configure, fleet_file,
        gateway_name, open_session, upload,
    },
    member::MeasuredMember,
};
use crate::{
    memory::{allocated_bytes, peak_bytes, reset_peak},
    output::print_line,
};

/// Items of each job in the states in which jobs are counted.
const ITEMS_PER_SMALL_JOB: u64 = 8;
/// Jobs over which counted items are spread.
const JOBS_OF_ITEMS: u64 = 4;
/// Bytes of a line and of a result in the states in which only jobs or leases are counted.
const SHORT_BYTES: usize = 64;
/// Items that one session may hold.
const ITEMS_PER_SESSION: u64 = 16_384;
/// Idempotency keys of running requests that one session may hold.
const CLAIMS_PER_SESSION: u64 = 32_768;
/// Tenants in the states in which another kind of entry is counted.
const FEW_TENANTS: u64 = 100;
/// Replicas of the plan, each with at most one open order.
const REPLICAS: u64 = 600;

/// A kind of entry whose memory is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Entry {
    /// A tenant of the fleet file.
    Tenant,
    /// A configuration revision that changed one line.
    Revision,
    /// A session of a gateway.
    Session,
    /// An open job of a few items, with its input file.
    OpenJob,
    /// A finished job of a few items, with its input file.
    FinishedJob,
    /// A pending item of a large job.
    PendingItem,
    /// An item under lease.
    LeasedItem,
    /// An item with its result, of a finished job.
    DoneItem,
    /// An idempotency key of a running request.
    RunningClaim,
    /// An idempotency key with its answer.
    AnsweredClaim,
    /// An open order to an engine.
    Order,
}

impl Entry {
    const ALL: [Entry; 11] = [
        Entry::Tenant,
        Entry::Revision,
        Entry::Session,
        Entry::OpenJob,
        Entry::FinishedJob,
        Entry::PendingItem,
        Entry::LeasedItem,
        Entry::DoneItem,
        Entry::RunningClaim,
        Entry::AnsweredClaim,
        Entry::Order,
    ];

    /// The name in the report.
    pub(super) fn name(self) -> &'static str {
        match self {
            Entry::Tenant => "tenant",
            Entry::Revision => "revision of one changed line",
            Entry::Session => "session of a gateway",
            Entry::OpenJob => "open job of 8 items with its file",
            Entry::FinishedJob => "finished job of 8 items with its file",
            Entry::PendingItem => "pending item",
            Entry::LeasedItem => "leased item",
            Entry::DoneItem => "finished item",
            Entry::RunningClaim => "idempotency key, running",
            Entry::AnsweredClaim => "idempotency key, answered",
            Entry::Order => "open order to an engine",
        }
    }

    /// The largest size that is built.
    fn max_size(self, sizes: &Arguments) -> u64 {
        let max_size = match self {
            Entry::Tenant => sizes.tenants,
            Entry::Revision => sizes.changes,
            Entry::Session => sizes.gateways,
            Entry::OpenJob | Entry::FinishedJob => 3 * sizes.jobs,
            Entry::PendingItem | Entry::DoneItem => JOBS_OF_ITEMS * sizes.largest_job,
            Entry::LeasedItem => sizes.largest_job,
            Entry::RunningClaim | Entry::AnsweredClaim => sizes.claims,
            Entry::Order => REPLICAS,
        };
        max_size.max(4)
    }

    fn build(
        self,
        member: &mut MeasuredMember,
        count: u64,
        line_bytes: usize,
    ) -> Result<(), Report<ErrorKind>> {
        let small = Jobs {
            jobs: count,
            items: count * ITEMS_PER_SMALL_JOB,
            line_bytes: SHORT_BYTES,
        };
        let large = Jobs {
            jobs: JOBS_OF_ITEMS,
            items: count,
            line_bytes,
        };
        match self {
            Entry::Tenant => configure(member, fleet_file(count, 0)).map(drop),
            Entry::Revision => build_revisions(member, count),
            Entry::Session => build_sessions(member, count),
            Entry::OpenJob => small.accept(member),
            Entry::FinishedJob => small.finish(member),
            Entry::PendingItem => large.accept(member),
            Entry::LeasedItem => build_leases(member, count),
            Entry::DoneItem => large.finish(member),
            Entry::RunningClaim => build_claims(member, count, false),
            Entry::AnsweredClaim => build_claims(member, count, true),
            Entry::Order => build_orders(member, count),
        }
    }
}

/// Memory of one kind of entry.
#[derive(Clone, Debug)]
pub(super) struct Slope {
    /// The kind of entry.
    pub(super) entry: Entry,
    /// Bytes allocated once the state is built, by size.
    pub(super) held: Vec<Point>,
    /// Peak of the bytes allocated while the state was built, by size.
    pub(super) peak: Vec<Point>,
}

/// Builds every state at a quarter, a half and all of its maximum size.
pub(super) fn measure(arguments: &Arguments, data: &Path) -> Result<Vec<Slope>, Report<ErrorKind>> {
    Entry::ALL
        .into_iter()
        .map(|entry| measure_entry(entry, arguments, data))
        .collect()
}

fn measure_entry(
    entry: Entry,
    arguments: &Arguments,
    data: &Path,
) -> Result<Slope, Report<ErrorKind>> {
    let max_size = entry.max_size(arguments);
    let mut slope = Slope {
        entry,
        held: Vec::new(),
        peak: Vec::new(),
    };
    for size in [max_size / 4, max_size / 2, max_size] {
        let folder = data.join("slope");
        super::clear(&folder)?;
        let before = allocated_bytes();
        reset_peak();
        let mut member = MeasuredMember::new(&folder, false)?;
        if entry != Entry::Tenant {
            configure(&mut member, fleet_file(FEW_TENANTS, 0))?;
        }
        entry.build(&mut member, size, arguments.line_bytes)?;
        // Data that is not yet written to disk is not part of the state.
        member.ledger.payloads().sync()?;
        let point = |bytes: u64| Point {
            size,
            value: bytes.saturating_sub(before) as f64,
        };
        slope.held.push(point(allocated_bytes()));
        slope.peak.push(point(peak_bytes()));
        drop(member);
        super::clear(&folder)?;
    }
    let line = fit_line(&slope.held);
    print_line(&format!("  {:.1} bytes a {}", line.slope, entry.name()));
    Ok(slope)
}

fn build_revisions(member: &mut MeasuredMember, count: u64) -> Result<(), Report<ErrorKind>> {
    for mark in 1..=count {
        configure(member, fleet_file(FEW_TENANTS, mark))?;
    }
    Ok(())
}

fn build_sessions(member: &mut MeasuredMember, count: u64) -> Result<(), Report<ErrorKind>> {
    for gateway in 0..count {
        open_session(member, gateway)?;
    }
    Ok(())
}

/// A number of jobs and their total number of items.
struct Jobs {
    jobs: u64,
    items: u64,
    line_bytes: usize,
}

impl Jobs {
    fn accept(&self, member: &mut MeasuredMember) -> Result<(), Report<ErrorKind>> {
        let items_per_job = (self.items / self.jobs).max(1);
        for number in 0..self.jobs {
            let plan = JobPlan::new(number, FEW_TENANTS, items_per_job, self.line_bytes);
            upload(member, &plan)?;
            accept(member, &plan)?;
        }
        Ok(())
    }

    /// Accepts the jobs and completes all their items.
    fn finish(&self, member: &mut MeasuredMember) -> Result<(), Report<ErrorKind>> {
        self.accept(member)?;
        let mut executor = Executor::open(member, 0)?;
        loop {
            let count = (RESULTS_PER_COMMAND / MODELS.len()) as u32;
            let items = executor.lease(member, &MODELS, count)?;
            if items.is_empty() {
                return Ok(());
            }
            executor.complete(member, &items, self.line_bytes)?;
        }
    }
}

fn build_leases(member: &mut MeasuredMember, count: u64) -> Result<(), Report<ErrorKind>> {
    let jobs = Jobs {
        jobs: JOBS_OF_ITEMS,
        items: count,
        line_bytes: SHORT_BYTES,
    };
    jobs.accept(member)?;
    for gateway in 0..count.div_ceil(ITEMS_PER_SESSION) {
        let mut executor = Executor::open(member, gateway)?;
        while !executor
            .lease(member, &MODELS, RESULTS_PER_COMMAND as u32)?
            .is_empty()
        {}
    }
    Ok(())
}

fn build_claims(
    member: &mut MeasuredMember,
    count: u64,
    answered: bool,
) -> Result<(), Report<ErrorKind>> {
    for gateway in 0..count.div_ceil(CLAIMS_PER_SESSION) {
        let executor = Executor::open(member, gateway)?;
        let first = gateway * CLAIMS_PER_SESSION;
        for number in first..count.min(first + CLAIMS_PER_SESSION) {
            executor.claim(member, number, answered)?;
        }
    }
    Ok(())
}

fn build_orders(member: &mut MeasuredMember, count: u64) -> Result<(), Report<ErrorKind>> {
    for number in 0..count {
        member.run(CommandBody::IssueOrder {
            replica: ReplicaId(format!("{}-engine", gateway_name(number))),
            order: EngineOrder::LoadModel {
                model: ModelId("model-1".to_owned()),
                version: "1".to_owned(),
            },
            term: Term(1),
        })?;
    }
    Ok(())
}
