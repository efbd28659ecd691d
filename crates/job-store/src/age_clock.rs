//! When a leader adds elapsed time to the age of the stored jobs.

/// Interval at which elapsed time is counted while there are jobs, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 2_000;

/// Counts time by the leader's steady clock, in intervals that are replicated. The age of
/// every stored job grows by the full length of each interval. Elapsed time is therefore
/// also counted just before a job is accepted, so that no interval starts before a job to
/// whose age it is added.
#[derive(Debug, Default)]
pub struct AgeClock {
    /// Time up to which elapsed time is counted; `None` before the first call as leader.
    counted_until_ms: Option<u64>,
}

impl AgeClock {
    /// The interval to count now, in milliseconds, if one is due. Without jobs none is due,
    /// since time before the first job does not matter.
    pub fn interval_due(&mut self, now_ms: u64, is_empty: bool) -> Option<u64> {
        let elapsed_ms = self.elapsed_ms(now_ms);
        let is_idle = self.counted_until_ms.is_none() || is_empty;
        if !is_idle && elapsed_ms < COUNT_INTERVAL_MS {
            return None;
        }
        self.counted_until_ms = Some(now_ms);
        (!is_idle).then_some(elapsed_ms)
    }

    /// The interval to count before a job is accepted now, in milliseconds.
    pub fn interval_before_job(&mut self, now_ms: u64, is_empty: bool) -> Option<u64> {
        let elapsed_ms = self.elapsed_ms(now_ms);
        self.counted_until_ms = Some(now_ms);
        (!is_empty && elapsed_ms > 0).then_some(elapsed_ms)
    }

    /// Stops counting while this member is not the leader. Time until it leads again is not
    /// counted, so that items are given up late rather than early.
    pub fn stop(&mut self) {
        self.counted_until_ms = None;
    }

    fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.counted_until_ms.unwrap_or(now_ms))
    }
}
