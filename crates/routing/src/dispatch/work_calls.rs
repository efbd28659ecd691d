//! When a gateway calls the job store: to report the progress of its items, to renew its leases,
//! and to request more work.

/// Number of intervals after which leases are renewed, progress is reported, and work is requested
/// again if there was none.
const INTERVALS_PER_RENEWAL: u32 = 3;
/// Gateways that request work in each interval of 150 ms while there is none: at 400 calls per
/// second a new job is found within an interval, however many gateways there are. By the same
/// calculation, 836 gateways with one call every 450 ms each made 1,860 calls per second.
const GATEWAYS_PER_INTERVAL: u32 = 60;

/// State of a gateway at the end of an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkState {
    /// Further items that the gateway could run.
    pub requested: u32,
    /// Whether it holds items or unreported progress.
    pub holds_items: bool,
    /// Whether an item was returned since the last interval.
    pub returned_item: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Whether the last call for work returned none.
    pub found_none: bool,
    /// Gateways that may call the same job store.
    pub gateways: u32,
}

/// The calls to make after an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkCalls {
    /// Report the progress of items.
    pub report_progress: bool,
    /// Renew leases and request work.
    pub request_work: bool,
}

/// Counts intervals. Requests for work do not delay progress reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCallSchedule {
    /// Intervals since a call that renewed leases or requested work.
    intervals: u32,
}

impl WorkCallSchedule {
    /// A schedule that starts at a random point between two calls, so that gateways which start
    /// together do not call together.
    #[must_use]
    pub fn with_random_phase(random: u32, gateways: u32) -> Self {
        WorkCallSchedule {
            intervals: random % intervals_per_request(gateways),
        }
    }

    /// The calls after one more interval.
    pub fn after_interval(&mut self, state: WorkState) -> WorkCalls {
        self.intervals += 1;
        let is_long = self.intervals >= INTERVALS_PER_RENEWAL;
        let is_due = is_long && state.holds_items;
        let report_progress = is_due || state.returned_item || state.stopping;
        let may_request =
            self.intervals >= intervals_per_request(state.gateways) || !state.found_none;
        let requests_work = state.requested > 0 && may_request;
        if is_due || (is_long && requests_work) {
            self.intervals = 0;
        }
        WorkCalls {
            report_progress,
            request_work: is_due || requests_work || state.stopping,
        }
    }
}

/// Intervals after which a gateway that found no work requests it again.
fn intervals_per_request(gateways: u32) -> u32 {
    gateways
        .div_ceil(GATEWAYS_PER_INTERVAL)
        .max(INTERVALS_PER_RENEWAL)
}
