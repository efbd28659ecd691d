//! In which order the items of open jobs are given out.
//!
//! Due first, as long as everything can be done in time. Where there is more to do
//! than the slots can carry, due first alone would spend them on jobs whose time
//! runs out, and leave later ones as late as those. So every job gets an even share
//! of its items done first, as large as the slots can carry until each due time;
//! beyond that, due first again; what cannot be in time comes last.

/// Steps by which the even share is found; the last one is 0.1 % wide.
const SHARE_STEPS: u32 = 10;

/// An open job.
#[derive(Clone, Debug)]
pub(crate) struct JobDemand {
    pub(crate) job: String,
    /// Order of acceptance.
    pub(crate) number: u64,
    /// Time until every result is due; 0 when that has passed.
    pub(crate) due_in_ms: u64,
    /// All its items.
    pub(crate) items: u32,
    /// Items that are listed.
    pub(crate) done: u32,
    /// Items that are leased.
    pub(crate) leased: u32,
}

/// So many items of a job may begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Turn {
    pub(crate) job: String,
    pub(crate) items: u32,
}

/// The order in which items begin. An item has to run for `item_ms` and costs
/// `slot_ms` of a slot, interruptions included; 0 where it is not known.
pub(crate) fn turns(mut jobs: Vec<JobDemand>, slots: u32, item_ms: u64, slot_ms: u64) -> Vec<Turn> {
    jobs.sort_by_key(|job| (job.due_in_ms, job.number));
    let is_late = |job: &JobDemand| job.due_in_ms == 0 || job.due_in_ms < item_ms;
    let (late, in_time): (Vec<JobDemand>, Vec<JobDemand>) = jobs.into_iter().partition(is_late);
    let share = even_share(&in_time, slots, item_ms, slot_ms);
    let first = in_time.iter().map(|job| Turn {
        job: job.job.clone(),
        items: goal(job, share).saturating_sub(job.done + job.leased),
    });
    let rest = in_time.iter().chain(&late).map(|job| Turn {
        job: job.job.clone(),
        items: job.items,
    });
    first.chain(rest).filter(|turn| turn.items > 0).collect()
}

/// The largest share of every job's items that the slots can carry in time.
fn even_share(jobs: &[JobDemand], slots: u32, item_ms: u64, slot_ms: u64) -> f64 {
    let carries = |share| carries(jobs, slots, item_ms, slot_ms, share);
    if slot_ms == 0 || carries(1.0) {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..SHARE_STEPS {
        let middle = (low + high) / 2.0;
        if carries(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Whether a share of every job can begin early enough to be done by each due time.
/// Each slot begins another item once in `slot_ms`.
fn carries(jobs: &[JobDemand], slots: u32, item_ms: u64, slot_ms: u64, share: f64) -> bool {
    let mut begun_ms = 0.0;
    jobs.iter().all(|job| {
        let to_begin = goal(job, share).saturating_sub(job.done + job.leased);
        begun_ms += f64::from(to_begin) * slot_ms as f64;
        let begin_by_ms = job.due_in_ms.saturating_sub(item_ms);
        to_begin == 0 || begun_ms <= f64::from(slots) * begin_by_ms as f64
    })
}

/// Items of a job that a share of it asks for.
fn goal(job: &JobDemand, share: f64) -> u32 {
    (f64::from(job.items) * share).ceil() as u32
}
