//! When a leader counts the time that passed for the jobs it holds.

/// How often the time is counted while there are jobs, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 2_000;

/// Counts time by the leader's steady clock, in parts that are replicated. A job grows
/// older by each part as a whole, so that the time is also counted before a job is
/// accepted: no part begins before a job that it counts for.
#[derive(Debug, Default)]
pub struct AgeClock {
    /// Up to when the time is counted; `None` before the first look as leader.
    counted_ms: Option<u64>,
}

impl AgeClock {
    /// The part to be counted now, in milliseconds, if it is time. Without jobs nothing
    /// is: what passes before the first one does not matter.
    pub fn interval_due(&mut self, now_ms: u64, is_empty: bool) -> Option<u64> {
        let elapsed_ms = self.elapsed_ms(now_ms);
        let is_idle = self.counted_ms.is_none() || is_empty;
        if !is_idle && elapsed_ms < COUNT_INTERVAL_MS {
            return None;
        }
        self.counted_ms = Some(now_ms);
        (!is_idle).then_some(elapsed_ms)
    }

    /// The part to be counted before a job is accepted now, in milliseconds.
    pub fn interval_before_job(&mut self, now_ms: u64, is_empty: bool) -> Option<u64> {
        let elapsed_ms = self.elapsed_ms(now_ms);
        self.counted_ms = Some(now_ms);
        (!is_empty && elapsed_ms > 0).then_some(elapsed_ms)
    }

    /// This member does not lead: what passes meanwhile is not counted, so that an item
    /// is given up late rather than early.
    pub fn stop(&mut self) {
        self.counted_ms = None;
    }

    fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.counted_ms.unwrap_or(now_ms))
    }
}
