//! Order in which the items of open jobs are leased.
//!
//! Earliest due time first, as long as all jobs can be completed in time. Under overload,
//! this order alone would spend the slots on jobs that are about to become late, and make
//! the following jobs late as well. Therefore an equal share of the items of every job is
//! leased first, the largest share that the slots can complete by each due time. The
//! remaining items follow, again by earliest due time. Jobs that cannot be completed in
//! time come last.

/// Steps of the binary search for the share; the last step is 0.1 % wide.
const SHARE_SEARCH_STEPS: u32 = 10;

/// An open job.
#[derive(Clone, Debug)]
pub(crate) struct JobDemand {
    pub(crate) job: String,
    /// Order of acceptance.
    pub(crate) number: u64,
    /// Time until every result is due, in milliseconds; 0 after the due time.
    pub(crate) due_in_ms: u64,
    /// Total number of items.
    pub(crate) items: u32,
    /// Number of listed items.
    pub(crate) done: u32,
    /// Number of leased items.
    pub(crate) leased: u32,
}

/// The number of items of a job that may be leased in this step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlanStep {
    pub(crate) job: String,
    pub(crate) items: u32,
}

/// The order in which items are leased. An item runs for `item_ms` and takes `slot_ms` of
/// slot time including interrupted runs; 0 if unknown.
pub(crate) fn plan_jobs(
    mut jobs: Vec<JobDemand>,
    slots: u32,
    item_ms: u64,
    slot_ms: u64,
) -> Vec<PlanStep> {
    jobs.sort_by_key(|job| (job.due_in_ms, job.number));
    let is_late = |job: &JobDemand| job.due_in_ms == 0 || job.due_in_ms < item_ms;
    let (late, in_time): (Vec<JobDemand>, Vec<JobDemand>) = jobs.into_iter().partition(is_late);
    let share = equal_share(&in_time, slots, item_ms, slot_ms);
    let first = in_time.iter().map(|job| PlanStep {
        job: job.job.clone(),
        items: items_of_share(job, share).saturating_sub(job.done + job.leased),
    });
    let remaining = in_time.iter().chain(&late).map(|job| PlanStep {
        job: job.job.clone(),
        items: job.items,
    });
    first
        .chain(remaining)
        .filter(|step| step.items > 0)
        .collect()
}

/// The largest share of every job's items that the slots can complete in time.
fn equal_share(jobs: &[JobDemand], slots: u32, item_ms: u64, slot_ms: u64) -> f64 {
    let is_feasible = |share| is_feasible(jobs, slots, item_ms, slot_ms, share);
    if slot_ms == 0 || is_feasible(1.0) {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..SHARE_SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        if is_feasible(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Whether this share of every job can start early enough to be completed by each due time.
/// Each slot starts one item per `slot_ms`.
fn is_feasible(jobs: &[JobDemand], slots: u32, item_ms: u64, slot_ms: u64, share: f64) -> bool {
    let mut needed_slot_ms = 0.0;
    jobs.iter().all(|job| {
        let to_start = items_of_share(job, share).saturating_sub(job.done + job.leased);
        needed_slot_ms += f64::from(to_start) * slot_ms as f64;
        let start_by_ms = job.due_in_ms.saturating_sub(item_ms);
        to_start == 0 || needed_slot_ms <= f64::from(slots) * start_by_ms as f64
    })
}

/// The number of items in a share of a job.
fn items_of_share(job: &JobDemand, share: f64) -> u32 {
    (f64::from(job.items) * share).ceil() as u32
}
