//! What one gateway has sent to one replica and what of it may arrive in the same second
//! as a further request.

/// A second, and what the rounding of two readings of the clock may hide, in milliseconds.
const WINDOW_MS: u64 = 1_002;
/// A request whose answer never began may still arrive so long after it was given up, in
/// milliseconds: connections end when bytes were not acknowledged for 900 ms.
const LATE_ARRIVAL_MS: u64 = 1_000;

/// The number of a send, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendNumber(pub(super) u64);

/// What became of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The replica answered: it had arrived by now.
    Arrived,
    /// It did not arrive, or another incarnation refused it: it does not count.
    NotCounted,
    /// It may arrive a little later.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    number: SendNumber,
    /// Until when it counts; `None` while nothing is known of its arrival.
    until_ms: Option<u64>,
}

/// Sends that count.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSends(Vec<Send>);

impl RecentSends {
    pub(super) fn begin(&mut self, number: SendNumber) {
        self.0.push(Send {
            number,
            until_ms: None,
        });
    }

    pub(super) fn end(&mut self, number: SendNumber, end: SendOutcome, now_ms: u64) {
        let until_ms = match end {
            SendOutcome::Arrived => now_ms + WINDOW_MS,
            SendOutcome::Unknown => now_ms + LATE_ARRIVAL_MS + WINDOW_MS,
            SendOutcome::NotCounted => {
                self.0.retain(|send| send.number != number);
                return;
            }
        };
        let sends = self.0.iter_mut();
        for send in sends.filter(|send| send.number == number) {
            send.until_ms = Some(until_ms);
        }
    }

    pub(super) fn drop_old(&mut self, now_ms: u64) {
        self.0
            .retain(|send| send.until_ms.is_none_or(|until_ms| now_ms < until_ms));
    }

    /// Whether any counts.
    pub(super) fn is_any(&self, now_ms: u64) -> bool {
        self.counted(now_ms).next().is_some()
    }

    /// Whether a further one may be sent beside those that count.
    pub(super) fn admit(&self, most: u32, now_ms: u64) -> bool {
        self.counted(now_ms).count() < most as usize
    }

    /// When a further one may be, in milliseconds: one whose answer has not begun counts for
    /// [`WINDOW_MS`] from now at least. `None` where none ever may.
    pub(super) fn next_in_ms(&self, most: u32, now_ms: u64) -> Option<u64> {
        let mut ends: Vec<u64> = self
            .counted(now_ms)
            .map(|send| send.until_ms.unwrap_or(now_ms + WINDOW_MS))
            .collect();
        ends.sort_unstable();
        if ends.len() < most as usize {
            return Some(0);
        }
        let freed = ends.get(ends.len() - most as usize).copied()?;
        Some(freed.saturating_sub(now_ms))
    }

    fn counted(&self, now_ms: u64) -> impl Iterator<Item = &Send> {
        let sends = self.0.iter();
        sends.filter(move |send| send.until_ms.is_none_or(|until_ms| now_ms < until_ms))
    }
}
