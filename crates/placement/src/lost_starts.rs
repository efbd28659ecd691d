//! Asks engines about started items whose gateway was lost, without clock and sockets.
//!
//! A start is recorded before the item is sent. When the gateway is lost in between, only the
//! engine can tell whether the item ran. The leader withdraws the request: an engine that never
//! started it refuses it from then on, so that the item may run elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use linnethitch_protocol::{
    command::{ItemStart, LeasedItemKey},
    ids::Timestamp,
};

/// Delay before an engine that did not answer is asked again, in milliseconds.
const RETRY_MS: u64 = 500;
/// Time after which the outcome of a start counts as unknown although its engine never answered,
/// in milliseconds. A job does not wait longer for an engine that is gone.
const GIVE_UP_MS: u64 = 30_000;

/// What is known of a lost start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartVerdict {
    /// The engine never started the request and refuses it from now on.
    NeverStarted,
    /// The engine started the request.
    Started,
    /// The engine has restarted since, or cannot tell.
    CannotTell,
    /// The engine did not answer in time.
    NoAnswer,
}

impl StartVerdict {
    /// All verdicts.
    pub const ALL: &'static [StartVerdict] = &[
        StartVerdict::NeverStarted,
        StartVerdict::Started,
        StartVerdict::CannotTell,
        StartVerdict::NoAnswer,
    ];

    /// Whether the item may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        self != StartVerdict::NeverStarted
    }

    /// The verdict as named in logs, journals and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            StartVerdict::NeverStarted => "never_started",
            StartVerdict::Started => "started",
            StartVerdict::CannotTell => "cannot_tell",
            StartVerdict::NoAnswer => "no_answer",
        }
    }
}

impl fmt::Display for StartVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// An engine's answer to the withdrawal of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithdrawalAnswer {
    /// Whether the request ever started; `None` if the engine cannot tell.
    pub started: Option<bool>,
    /// The engine's incarnation, if it has one.
    pub incarnation: Option<String>,
}

/// Identifies one start of one item.
type StartId = (LeasedItemKey, u64);

/// The state of a lost start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Inquiry {
    first_seen: Timestamp,
    /// When to ask next; `None` while a question or its settlement is under way.
    next_at: Option<Timestamp>,
}

/// The lost starts that one leader settles.
#[derive(Debug, Default)]
pub struct LostStarts {
    inquiries: BTreeMap<StartId, Inquiry>,
}

impl LostStarts {
    /// Takes the lost starts of the ledger and returns those whose engines to ask now.
    pub fn due(&mut self, now: Timestamp, lost: Vec<ItemStart>) -> Vec<ItemStart> {
        let ids: BTreeSet<StartId> = lost.iter().map(id_of).collect();
        self.inquiries.retain(|id, _| ids.contains(id));
        let due = lost.into_iter().filter(|start| {
            let inquiry = self.inquiries.entry(id_of(start)).or_insert(Inquiry {
                first_seen: now,
                next_at: Some(now),
            });
            inquiry.next_at.take_if(|at| *at <= now).is_some()
        });
        due.collect()
    }

    /// Handles an engine's answer, or its absence; returns the verdict if the start can be
    /// settled.
    pub fn answered(
        &mut self,
        now: Timestamp,
        start: &ItemStart,
        answer: Option<WithdrawalAnswer>,
    ) -> Option<StartVerdict> {
        let verdict = answer.map(|answer| verdict_of(start, &answer));
        let inquiry = self.inquiries.get_mut(&id_of(start))?;
        let overdue = now.0 >= inquiry.first_seen.0 + GIVE_UP_MS;
        let verdict = verdict.or(overdue.then_some(StartVerdict::NoAnswer));
        if verdict.is_none() {
            inquiry.next_at = Some(Timestamp(now.0 + RETRY_MS));
        }
        verdict
    }

    /// Asks again later, since the settlement was not committed.
    pub fn not_settled(&mut self, now: Timestamp, start: &ItemStart) {
        if let Some(inquiry) = self.inquiries.get_mut(&id_of(start)) {
            inquiry.next_at = Some(Timestamp(now.0 + RETRY_MS));
        }
    }

    /// Time since the start was first seen here, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Timestamp, start: &ItemStart) -> u64 {
        let inquiry = self.inquiries.get(&id_of(start));
        inquiry.map_or(0, |inquiry| now.0.saturating_sub(inquiry.first_seen.0))
    }
}

fn id_of(start: &ItemStart) -> StartId {
    (start.key.clone(), start.attempt)
}

fn verdict_of(start: &ItemStart, answer: &WithdrawalAnswer) -> StartVerdict {
    let asked = start.request.as_ref().map(|request| &request.incarnation);
    let is_same_process = asked.is_some() && asked == answer.incarnation.as_ref();
    match answer.started {
        Some(true) if is_same_process => StartVerdict::Started,
        Some(false) if is_same_process => StartVerdict::NeverStarted,
        _ => StartVerdict::CannotTell,
    }
}
