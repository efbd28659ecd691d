//! Calls that release items to the ledger without a result.

use linnethitch_protocol::{
    command::LeasedItemKey,
    ids::{SessionEpoch, Timestamp},
};

use crate::batch::messages::{BatchAction, CallAnswer};

struct Release {
    number: u64,
    session: SessionEpoch,
    keys: Vec<LeasedItemKey>,
    /// When to repeat the call; set when its answer was lost.
    resend_at: Option<Timestamp>,
}

/// Releases not yet confirmed by the ledger. A session may be renewed as long as the gateway
/// lives, so a lost call is repeated until the ledger answers; otherwise its items would stay
/// leased. The ledger releases an item only once.
#[derive(Default)]
pub(super) struct Releases {
    open: Vec<Release>,
    last_number: u64,
}

impl Releases {
    /// Starts a release of items.
    pub(super) fn start(&mut self, session: SessionEpoch, keys: Vec<LeasedItemKey>) -> BatchAction {
        self.last_number += 1;
        let release = Release {
            number: self.last_number,
            session,
            keys,
            resend_at: None,
        };
        let action = release.action();
        self.open.push(release);
        action
    }

    /// Handles the answer to a call.
    pub(super) fn on_answer(&mut self, number: u64, answer: &CallAnswer<()>, retry_at: Timestamp) {
        match answer {
            CallAnswer::Done(()) | CallAnswer::Fenced => {
                self.open.retain(|release| release.number != number);
            }
            CallAnswer::Unknown => {
                let mut open = self.open.iter_mut();
                if let Some(release) = open.find(|release| release.number == number) {
                    release.resend_at = Some(retry_at);
                }
            }
        }
    }

    /// The calls to repeat now.
    pub(super) fn due(&mut self, now: Timestamp) -> Vec<BatchAction> {
        let due = |release: &mut Release| {
            release.resend_at.take_if(|at| *at <= now)?;
            Some(release.action())
        };
        self.open.iter_mut().filter_map(due).collect()
    }

    /// Drops all calls: the items return to the ledger with the end of the session.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }
}

impl Release {
    fn action(&self) -> BatchAction {
        BatchAction::Release {
            session: self.session,
            number: self.number,
            keys: self.keys.clone(),
        }
    }
}
