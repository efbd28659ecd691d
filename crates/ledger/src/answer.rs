//! Answers to applied commands.
//!
//! Some answers contain payloads: the lines of leased items, or a stored answer. Only the
//! member that sends the answer needs them, so [`Ledger::apply`] does not read them and
//! [`Ledger::outcome`] does. An unreadable payload therefore never affects what a command
//! does.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{ClaimOutcome, LeasedItem, LeasedItemKey, Outcome},
    ids::{GatewayId, LeaseEpoch},
};

use crate::{
    ledger::Ledger, line_index::position_in_chunk, sessions::LeasedEntry, stored_bytes::Piece,
};

/// The answer to an applied command; [`Ledger::outcome`] converts it into an [`Outcome`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "an answer that is not needed must be dropped explicitly"]
pub struct Answer(Content);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Content {
    Ready(Outcome),
    /// The items still under the lease.
    Lease(GatewayId, LeaseEpoch),
    /// The answer stored for an idempotency key.
    Stored(Piece),
}

impl Answer {
    /// An answer without payloads.
    pub(crate) fn ready(outcome: Outcome) -> Self {
        Answer(Content::Ready(outcome))
    }

    /// The items still under a lease.
    pub(crate) fn lease(gateway: &GatewayId, lease: LeaseEpoch) -> Self {
        Answer(Content::Lease(gateway.clone(), lease))
    }

    /// The answer stored for an idempotency key.
    pub(crate) fn stored(piece: Piece) -> Self {
        Answer(Content::Stored(piece))
    }
}

impl Ledger {
    /// Converts an answer into the outcome to send, including its payloads.
    ///
    /// Must be called before the next command is applied. The state does not change, and the
    /// ledger remains usable after a failure. The effect of the command is committed, however:
    /// a failure must be reported as an unknown outcome, never as a refusal.
    ///
    /// # Errors
    /// `Corrupted`, `NotFound` or `Io` when this member cannot read a payload.
    pub fn outcome(&mut self, answer: Answer) -> Result<Outcome, Report<ErrorKind>> {
        match answer.0 {
            Content::Ready(outcome) => Ok(outcome),
            Content::Lease(gateway, lease) => Ok(Outcome::Leased(self.leased(&gateway, lease)?)),
            Content::Stored(piece) => {
                let answer = self.read_answer(&piece)?;
                Ok(Outcome::Claim(ClaimOutcome::Answered(answer)))
            }
        }
    }

    /// The items still under a lease, with their lines.
    fn leased(
        &mut self,
        gateway: &GatewayId,
        lease: LeaseEpoch,
    ) -> Result<Vec<LeasedItem>, Report<ErrorKind>> {
        let session = self.sessions.by_gateway.get(gateway);
        let Some(stored) = session.and_then(|session| session.leases.get(&lease)) else {
            return Ok(Vec::new());
        };
        let entries = stored.items.clone();
        let mut items = Vec::with_capacity(entries.len());
        for entry in entries {
            items.extend(self.leased_item(entry, lease)?);
        }
        Ok(items)
    }

    /// A leased item with its line; `None` if its job no longer needs a result.
    fn leased_item(
        &mut self,
        entry: LeasedEntry,
        lease: LeaseEpoch,
    ) -> Result<Option<LeasedItem>, Report<ErrorKind>> {
        let Some(job) = self.state.jobs.get(&entry.job) else {
            return Ok(None);
        };
        let Some(file) = self.state.files.get(&job.input) else {
            return Ok(None);
        };
        if !job.accepts_results() || !job.open.contains(entry.item.0) {
            return Ok(None);
        }
        let payloads = self.payloads.as_ref();
        let chunk = self.chunks.chunk(payloads, &file.index, entry.item)?;
        let (offset, bytes) = chunk
            .line(position_in_chunk(entry.item))
            .unwrap_or_default();
        let line = file.content.read(payloads, offset, bytes as usize)?;
        Ok(Some(LeasedItem {
            key: LeasedItemKey {
                job: job.id.clone(),
                item: entry.item,
                lease,
            },
            tenant: job.tenant.clone(),
            line,
            at_most_once: file.index.at_most_once.contains(entry.item.0),
            deadline: job.deadline,
        }))
    }
}
