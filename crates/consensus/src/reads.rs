//! Linearizable reads waiting for a quorum to confirm the leadership.

use std::collections::VecDeque;

use linnethitch_protocol::ids::LogIndex;

use crate::ready::ConfirmedRead;

/// Maximum number of pending reads.
const MAX_PENDING_READS: usize = 16 * 1024;

struct SentRead {
    read: ConfirmedRead,
    round: u64,
}

/// Pending reads, in order of arrival.
#[derive(Default)]
pub(crate) struct ReadQueue {
    /// Contexts of reads that no heartbeat round covers yet.
    waiting: Vec<u64>,
    /// Reads covered by a round that is not yet confirmed.
    sent: VecDeque<SentRead>,
}

impl ReadQueue {
    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() + self.sent.len() >= MAX_PENDING_READS
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn add(&mut self, context: u64) {
        self.waiting.push(context);
    }

    /// Assigns the waiting reads to a round that starts now.
    pub(crate) fn start_round(&mut self, round: u64, commit: LogIndex) {
        for context in self.waiting.drain(..) {
            let read = ConfirmedRead {
                context,
                index: commit,
            };
            self.sent.push_back(SentRead { read, round });
        }
    }

    /// Removes and returns the reads of all rounds up to one that a quorum answered.
    pub(crate) fn confirm(&mut self, round: u64) -> Vec<ConfirmedRead> {
        let count = self.sent.partition_point(|sent| sent.round <= round);
        self.sent.drain(..count).map(|sent| sent.read).collect()
    }

    /// The contexts of all pending reads, none of which can be confirmed after a loss of leadership.
    pub(crate) fn refuse_all(self) -> Vec<u64> {
        let sent = self.sent.into_iter().map(|sent| sent.read.context);
        sent.chain(self.waiting).collect()
    }
}
