//! Linearizable reads that wait for the leader to be confirmed.

use std::collections::VecDeque;

use linnethitch_protocol::ids::LogIndex;

use crate::ready::ConfirmedRead;

/// Reads that may wait at once.
const MAX_PENDING_READS: usize = 16 * 1024;

struct SentRead {
    read: ConfirmedRead,
    round: u64,
}

/// Reads in the order in which they were asked.
#[derive(Default)]
pub(crate) struct ReadQueue {
    /// Not yet part of a heartbeat round.
    waiting: Vec<u64>,
    /// Part of a round that is not yet confirmed.
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

    /// Makes the waiting reads part of a round that starts now.
    pub(crate) fn start_round(&mut self, round: u64, commit: LogIndex) {
        for context in self.waiting.drain(..) {
            let read = ConfirmedRead {
                context,
                index: commit,
            };
            self.sent.push_back(SentRead { read, round });
        }
    }

    /// Takes the reads of all rounds up to one that a quorum answered.
    pub(crate) fn confirm(&mut self, round: u64) -> Vec<ConfirmedRead> {
        let count = self.sent.partition_point(|sent| sent.round <= round);
        self.sent.drain(..count).map(|sent| sent.read).collect()
    }

    /// Takes the contexts of all reads, none of which can be confirmed any more.
    pub(crate) fn refuse_all(self) -> Vec<u64> {
        let sent = self.sent.into_iter().map(|sent| sent.read.context);
        sent.chain(self.waiting).collect()
    }
}
