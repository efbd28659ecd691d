//! Applying committed entries to the ledger.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_ledger::Answer;
use linnethitch_protocol::{
    attach::ControlAnswer,
    command::{Command, CommandBody},
    consensus::{Entry, EntryPayload},
    format::Format,
    frame,
    ids::{LogIndex, Revision},
};

use super::{
    calls::{TakenProposal, not_committed},
    core::Member,
    output::MemberNotice,
};

/// Approximate maximum size of the entries applied in one flush, in bytes.
const APPLY_BYTES: usize = 4 * 1024 * 1024;

impl Member {
    /// Applies committed entries, with a limit per flush so that messages and ticks are not
    /// delayed for long.
    pub(super) fn apply_committed(&mut self) -> Result<(), Report<ErrorKind>> {
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

    /// Whether committed entries remain to be applied, which the next flush continues.
    #[must_use]
    pub fn has_unapplied(&self) -> bool {
        self.applied < self.appliable()
    }

    /// The last index that is committed and synced on this disk.
    fn appliable(&self) -> LogIndex {
        let status = self.node.status();
        status.committed.min(status.synced)
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), Report<ErrorKind>> {
        let answer = match &entry.payload {
            EntryPayload::Command(bytes) => Some(self.apply_command(entry.index, bytes)?),
            EntryPayload::Membership(_, membership) => {
                self.applied_membership = membership.clone();
                None
            }
            EntryPayload::Empty => None,
        };
        self.applied = entry.index;
        match self.calls.take_proposed(entry.index, entry.term) {
            TakenProposal::Own(origin) => {
                if let Some(answer) = answer {
                    let outcome = self.ledger.outcome(answer)?;
                    self.answer(origin, ControlAnswer::Outcome(outcome));
                }
            }
            TakenProposal::Replaced(origin) => {
                let due = not_committed(origin);
                self.answer(due.origin, due.body);
            }
            TakenProposal::None => {}
        }
        Ok(())
    }

    fn apply_command(
        &mut self,
        index: LogIndex,
        bytes: &[u8],
    ) -> Result<Answer, Report<ErrorKind>> {
        let command: Command =
            frame::decode(bytes).map_err(|report| written_by_another_build(index, &report))?;
        let revision = self.ledger.revision();
        let answer = self.ledger.apply(index, &command)?;
        self.notify_effects(&command.body, revision);
        Ok(answer)
    }

    fn notify_effects(&mut self, body: &CommandBody, before: Revision) {
        let revision = self.ledger.revision();
        if revision != before {
            self.notice(MemberNotice::Configuration(revision));
        }
        if let CommandBody::CancelJob { job, .. } = body {
            self.notice(MemberNotice::JobCancelled(job.clone()));
        }
    }
}

/// The failure for a committed command that this build cannot read. The log has verified its
/// checksum, so it is not damaged: the data folder stays as it is for the build that wrote it.
fn written_by_another_build(index: LogIndex, report: &Report<ErrorKind>) -> Report<ErrorKind> {
    Report::new(ErrorKind::DataFolderRefused).attach(format!(
        "log entry {index} is intact, but written by another build: this one reads formats {} to {}; \
         the data folder is kept as it is ({report})",
        Format::OLDEST,
        Format::NEWEST
    ))
}
