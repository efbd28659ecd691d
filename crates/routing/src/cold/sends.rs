//! Requests that one gateway has sent to one replica, and which of them may arrive in the same
//! second as a further one.

/// A second plus the possible rounding error of two clock readings, in milliseconds.
const WINDOW_MS: u64 = 1_002;
/// A request whose response never began may still arrive this long after it was given up, in
/// milliseconds: connections end when bytes were not acknowledged for 900 ms.
const LATE_ARRIVAL_MS: u64 = 1_000;

/// The number of a send, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendNumber(pub(super) u64);

/// The outcome of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The replica answered, so the request has arrived by now.
    Arrived,
    /// The request did not arrive, or another incarnation refused it: it does not count.
    NotCounted,
    /// The request may still arrive a little later.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    number: SendNumber,
    /// The time until which it counts; `None` while nothing is known of its arrival.
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

    pub(super) fn prune(&mut self, now_ms: u64) {
        self.0
            .retain(|send| send.until_ms.is_none_or(|until_ms| now_ms < until_ms));
    }

    /// Whether any send counts.
    pub(super) fn has_counted(&self, now_ms: u64) -> bool {
        self.counted(now_ms).next().is_some()
    }

    /// Whether a further request may be sent in addition to those that count.
    pub(super) fn allows(&self, max_sends: u32, now_ms: u64) -> bool {
        self.counted(now_ms).count() < max_sends as usize
    }

    /// Time until a further request may be sent, in milliseconds: a send whose response has not
    /// begun counts for at least [`WINDOW_MS`] from now. `None` if none may ever be sent.
    pub(super) fn next_in_ms(&self, max_sends: u32, now_ms: u64) -> Option<u64> {
        let mut ends: Vec<u64> = self
            .counted(now_ms)
            .map(|send| send.until_ms.unwrap_or(now_ms + WINDOW_MS))
            .collect();
        ends.sort_unstable();
        if ends.len() < max_sends as usize {
            return Some(0);
        }
        let free_at_ms = ends.get(ends.len() - max_sends as usize).copied()?;
        Some(free_at_ms.saturating_sub(now_ms))
    }

    fn counted(&self, now_ms: u64) -> impl Iterator<Item = &Send> {
        let sends = self.0.iter();
        sends.filter(move |send| send.until_ms.is_none_or(|until_ms| now_ms < until_ms))
    }
}
