//! Writes and syncs the work of each `Ready`, and sends the messages that wait for the sync.

use error_stack::Report;
use linnethitch_consensus::Ready;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::consensus::ConsensusMessage;

use crate::{
    member::GroupMember,
    output::{CallFailure, GroupNotice, GroupOutput},
    state_machine::StateMachine,
};

/// A `Ready` that is not yet synced.
pub(crate) struct Unsynced {
    number: u64,
    messages: Vec<ConsensusMessage>,
}

impl<S: StateMachine> GroupMember<S> {
    pub(crate) fn handle_ready(&mut self, ready: Ready) -> Result<(), Report<ErrorKind>> {
        if let Some(index) = ready.truncate_after {
            self.store.log.truncate_after(index)?;
        }
        self.unappended = ready.entries;
        self.append_waiting()?;
        if let Some(hard_state) = &ready.hard_state {
            self.store.log.set_hard_state(hard_state)?;
        }
        self.send_all(ready.messages_before_sync);
        for chunk in &ready.snapshot_chunks {
            self.receive_snapshot_chunk(chunk)?;
        }
        for read in ready.confirmed_reads {
            self.reads.push((read.index, read.context));
        }
        for context in ready.refused_reads {
            let leader = self.node.leader();
            self.fail(context, CallFailure::NotLeader(leader));
        }
        self.unsynced.push_back(Unsynced {
            number: ready.number,
            messages: ready.messages_after_sync,
        });
        if ready.must_sync {
            self.sync()?;
        } else {
            self.finish_synced();
        }
        Ok(())
    }

    /// Whether a full disk prevents this member from storing a `Ready`. Until it can,
    /// the member does not take part in consensus, and the other members continue
    /// without it.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Appends the waiting entries; false if the disk is full.
    fn append_waiting(&mut self) -> Result<bool, Report<ErrorKind>> {
        let last = self.store.log.last_index();
        self.unappended.retain(|entry| entry.index > last);
        match self.store.log.append(&self.unappended) {
            Ok(()) => {
                self.unappended.clear();
                Ok(true)
            }
            Err(report) if *report.current_context() == ErrorKind::StorageFull => Ok(false),
            Err(report) => Err(report),
        }
    }

    /// Appends and syncs all unsynced work; false if the disk is full.
    pub(crate) fn sync(&mut self) -> Result<bool, Report<ErrorKind>> {
        let synced = match self.append_waiting()? {
            true => self.store.log.sync(),
            false => Err(Report::new(ErrorKind::StorageFull)),
        };
        let full = match synced {
            Ok(()) => false,
            Err(report) if *report.current_context() == ErrorKind::StorageFull => true,
            Err(report) => return Err(report),
        };
        if full != self.disk_full {
            self.disk_full = full;
            self.notice(GroupNotice::DiskFull(full));
        }
        if !full {
            self.finish_synced();
        }
        Ok(!full)
    }

    fn finish_synced(&mut self) {
        while let Some(unsynced) = self.unsynced.pop_front() {
            self.send_all(unsynced.messages);
            self.node.advance(unsynced.number, &self.store);
        }
    }

    fn send_all(&mut self, messages: Vec<ConsensusMessage>) {
        let messages = messages.into_iter();
        self.outputs.extend(messages.map(GroupOutput::Send));
    }
}
