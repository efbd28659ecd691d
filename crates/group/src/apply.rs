//! Applies committed entries and answers calls.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{Entry, EntryPayload},
    ids::LogIndex,
};

use crate::{
    member::GroupMember,
    output::{CallFailure, GroupOutput},
    state_machine::StateMachine,
};

/// Approximate bytes of entries applied in one flush.
const APPLY_BYTES: usize = 4 * 1024 * 1024;

impl<S: StateMachine> GroupMember<S> {
    /// Applies committed entries, up to `APPLY_BYTES` per call so that messages and
    /// ticks are not delayed.
    pub(crate) fn apply_committed(&mut self) -> Result<(), Report<ErrorKind>> {
        if !self.has_unapplied() {
            return Ok(());
        }
        let next = LogIndex(self.applied.0 + 1);
        let end = LogIndex(self.appliable().0 + 1);
        let entries = self.store.log.entries(next, end, APPLY_BYTES)?;
        for entry in &entries {
            self.apply(entry)?;
        }
        Ok(())
    }

    /// The last index that is committed, and synced on this member.
    pub(crate) fn appliable(&self) -> LogIndex {
        let status = self.node.status();
        status.committed.min(status.synced)
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), Report<ErrorKind>> {
        let mut answer = None;
        match &entry.payload {
            EntryPayload::Command(bytes) => answer = Some(self.state.apply(entry.index, bytes)?),
            EntryPayload::Membership(_, membership) => {
                self.applied_membership = membership.clone();
            }
            EntryPayload::Empty => {}
        }
        self.applied = entry.index;
        let Some(proposal) = self.proposals.remove(&entry.index) else {
            return Ok(());
        };
        match answer {
            Some(answer) if proposal.term == entry.term => {
                let call = proposal.call;
                self.outputs.push(GroupOutput::Applied { call, answer });
            }
            _ => self.fail(proposal.call, CallFailure::Replaced),
        }
        Ok(())
    }

    pub(crate) fn answer_reads(&mut self) {
        let applied = self.applied;
        let (ready, waiting) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.reads = waiting;
        for (_, call) in ready {
            self.outputs.push(GroupOutput::ReadConfirmed { call });
        }
    }
}
