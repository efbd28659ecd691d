//! Answers of applied commands.
//!
//! Some answers hold payloads: the lines of leased items, a kept answer. Only
//! the member that tells the answer needs them, so [`Ledger::apply`] leaves
//! them in the payload store and [`Ledger::outcome`] fetches them. A payload
//! that cannot be read therefore never decides what a command does.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{ClaimOutcome, LeasedItem, LeasedItemKey, Outcome},
    ids::{GatewayId, LeaseEpoch},
};

use crate::{
    ledger::Ledger, line_index::position_in_chunk, sessions::LeasedEntry, stored_bytes::Piece,
};

/// What an applied command answers; [`Ledger::outcome`] turns it into words.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "an answer that nobody awaits is dropped by name"]
pub struct Answer(Content);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Content {
    Ready(Outcome),
    /// The items that the lease still holds.
    Lease(GatewayId, LeaseEpoch),
    /// The answer kept under an idempotency key.
    Kept(Piece),
}

impl Answer {
    /// An answer without payloads.
    pub(crate) fn ready(outcome: Outcome) -> Self {
        Answer(Content::Ready(outcome))
    }

    /// The items of a lease that are still out.
    pub(crate) fn lease(gateway: &GatewayId, lease: LeaseEpoch) -> Self {
        Answer(Content::Lease(gateway.clone(), lease))
    }

    /// The answer kept under an idempotency key.
    pub(crate) fn kept(piece: Piece) -> Self {
        Answer(Content::Kept(piece))
    }
}

impl Ledger {
    /// The outcome to tell, with the payloads that belong to it.
    ///
    /// Call it before the next command is applied. The state does not change
    /// and a failure leaves the ledger usable, but what the command did is
    /// committed: the failure must be told as an unknown outcome, never as a
    /// refusal.
    ///
    /// # Errors
    /// `Corrupted`, `NotFound` or `Io` when this member cannot read a payload.
    pub fn outcome(&mut self, answer: Answer) -> Result<Outcome, Report<ErrorKind>> {
        match answer.0 {
            Content::Ready(outcome) => Ok(outcome),
            Content::Lease(gateway, lease) => Ok(Outcome::Leased(self.leased(&gateway, lease)?)),
            Content::Kept(piece) => {
                let kept = self.kept_answer(&piece)?;
                Ok(Outcome::Claim(ClaimOutcome::Answered(kept)))
            }
        }
    }

    /// The items of a lease that are still out, with their lines.
    fn leased(
        &mut self,
        gateway: &GatewayId,
        lease: LeaseEpoch,
    ) -> Result<Vec<LeasedItem>, Report<ErrorKind>> {
        let session = self.sessions.by_gateway.get(gateway);
        let Some(held) = session.and_then(|session| session.leases.get(&lease)) else {
            return Ok(Vec::new());
        };
        let entries = held.items.clone();
        let mut items = Vec::with_capacity(entries.len());
        for entry in entries {
            items.extend(self.leased_item(entry, lease)?);
        }
        Ok(items)
    }

    /// One leased item with its line; `None` if its job wants no result of it any more.
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
        if !job.takes_results() || !job.open.contains(entry.item.0) {
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
