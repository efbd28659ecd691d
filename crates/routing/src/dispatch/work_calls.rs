//! When a gateway calls the job store: to tell what its items have made, to renew
//! its leases, and to ask for more.

/// Pauses after which leases are renewed, progress is told, and work is asked for
/// again where there was none.
const PAUSES_PER_RENEWAL: u32 = 3;

/// What a gateway has after a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkState {
    /// Items that it could take besides.
    pub wanted: u32,
    /// Whether it holds items, or progress that it has to tell.
    pub holds_items: bool,
    /// Whether an item was given back since the last pause.
    pub gave_back: bool,
    /// Whether the process stops.
    pub stops: bool,
    /// Whether the last call for work brought nothing.
    pub found_none: bool,
}

/// Which calls are made after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkCalls {
    /// Tell what items have made.
    pub tell_progress: bool,
    /// Renew leases and ask for what is wanted.
    pub ask_for_work: bool,
}

/// Counts pauses. Asking for work does not put off telling progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkRhythm {
    pauses: u32,
}

impl WorkRhythm {
    /// The calls after one more pause.
    pub fn after_pause(&mut self, state: WorkState) -> WorkCalls {
        self.pauses += 1;
        let is_long = self.pauses >= PAUSES_PER_RENEWAL;
        let is_due = is_long && state.holds_items;
        let tell_progress = is_due || state.gave_back || state.stops;
        let wants_work = state.wanted > 0 && (is_long || !state.found_none);
        if is_due || (is_long && wants_work) {
            self.pauses = 0;
        }
        WorkCalls {
            tell_progress,
            ask_for_work: is_due || wants_work || state.stops,
        }
    }
}
