//! Duration of batch items, estimated from earlier runs.

/// Weight of the newest run.
const NEWEST_WEIGHT: f64 = 0.1;

/// Averages over the runs of a service's items; empty before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ItemPace {
    /// Time from one event to the next, in milliseconds.
    event_ms: Option<f64>,
    /// Events of a complete item.
    events: Option<f64>,
}

impl ItemPace {
    /// Records an uninterrupted run: its events and the time from the first to the last, in
    /// milliseconds.
    pub fn note_run(&mut self, events: u32, took_ms: u64) {
        if events > 1 {
            let event_ms = took_ms as f64 / f64::from(events - 1);
            self.event_ms = Some(average(self.event_ms, event_ms));
        }
    }

    /// Records the number of events of a complete item.
    pub fn note_item(&mut self, events: u32) {
        self.events = Some(average(self.events, f64::from(events)));
    }

    /// Expected remaining run time of an item that has generated so many events, in milliseconds; 0
    /// if there is no estimate.
    #[must_use]
    pub fn remaining_ms(&self, generated: u32) -> u64 {
        let (Some(event_ms), Some(events)) = (self.event_ms, self.events) else {
            return 0;
        };
        ((events - f64::from(generated)).max(0.0) * event_ms) as u64
    }
}

fn average(before: Option<f64>, newest: f64) -> f64 {
    before.map_or(newest, |before| before + NEWEST_WEIGHT * (newest - before))
}
