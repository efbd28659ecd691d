//! When a gateway calls the job store: to tell what its items have made, to renew
//! its leases, and to ask for more.

/// Pauses after which leases are renewed, progress is told, and work is asked for
/// again where there was none.
const PAUSES_PER_RENEWAL: u32 = 3;
/// Gateways that ask again at once, in each pause of 150 ms, where they found no work: 400
/// calls a second find a new job within a pause, however many gateways there are. 836 that
/// asked every 450 ms were 1,860 by the same reckoning. What a call costs the store's leader
/// was not measured apart.
const GATEWAYS_PER_PAUSE: u32 = 60;

/// What a gateway has after a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkState {
    /// Items that it could take besides.
    pub requested: u32,
    /// Whether it holds items, or progress that it has to tell.
    pub holds_items: bool,
    /// Whether an item was given back since the last pause.
    pub returned_item: bool,
    /// Whether the process stops.
    pub stopping: bool,
    /// Whether the last call for work brought nothing.
    pub found_none: bool,
    /// Gateways that may ask the same job store.
    pub gateways: u32,
}

/// Which calls are made after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkCalls {
    /// Tell what items have made.
    pub report_progress: bool,
    /// Renew leases and ask for what is wanted.
    pub request_work: bool,
}

/// Counts pauses. Asking for work does not put off telling progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCallSchedule {
    /// Since a call that renewed or asked.
    pauses: u32,
}

impl WorkCallSchedule {
    /// A rhythm that begins somewhere between two calls, so that gateways which started
    /// together do not ask together.
    #[must_use]
    pub fn with_random_phase(random: u32, gateways: u32) -> Self {
        WorkCallSchedule {
            pauses: random % pauses_per_ask(gateways),
        }
    }

    /// The calls after one more pause.
    pub fn after_interval(&mut self, state: WorkState) -> WorkCalls {
        self.pauses += 1;
        let is_long = self.pauses >= PAUSES_PER_RENEWAL;
        let is_due = is_long && state.holds_items;
        let report_progress = is_due || state.returned_item || state.stopping;
        let may_ask = self.pauses >= pauses_per_ask(state.gateways) || !state.found_none;
        let wants_work = state.requested > 0 && may_ask;
        if is_due || (is_long && wants_work) {
            self.pauses = 0;
        }
        WorkCalls {
            report_progress,
            request_work: is_due || wants_work || state.stopping,
        }
    }
}

/// Pauses after which a gateway that found no work asks again.
fn pauses_per_ask(gateways: u32) -> u32 {
    gateways
        .div_ceil(GATEWAYS_PER_PAUSE)
        .max(PAUSES_PER_RENEWAL)
}
