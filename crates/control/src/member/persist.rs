//! Writes and syncs the output of consensus and sends its messages.

use error_stack::Report;
use linnethitch_consensus::Ready;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{attach::PeerMessage, consensus::ConsensusMessage};

use super::{core::Member, output::MemberNotice};

/// Output of consensus that is not yet synced.
pub(super) struct Unsynced {
    number: u64,
    messages: Vec<ConsensusMessage>,
}

impl Member {
    fn send_consensus(&mut self, messages: Vec<ConsensusMessage>) {
        for message in messages {
            self.send(message.to.machine, PeerMessage::Consensus(message));
        }
    }

    pub(super) fn handle_ready(&mut self, ready: Ready) -> Result<(), Report<ErrorKind>> {
        if let Some(index) = ready.truncate_after {
            self.store.log.truncate_after(index)?;
        }
        self.unappended = ready.entries;
        self.append_waiting()?;
        if let Some(hard_state) = &ready.hard_state {
            self.store.log.set_hard_state(hard_state)?;
        }
        self.send_consensus(ready.messages_before_sync);
        for chunk in &ready.snapshot_chunks {
            self.receive_snapshot_chunk(chunk)?;
        }
        for read in &ready.confirmed_reads {
            self.calls.confirm_read(read.context, read.index);
        }
        for context in ready.refused_reads {
            self.refuse_read(context);
        }
        let unsynced = Unsynced {
            number: ready.number,
            messages: ready.messages_after_sync,
        };
        self.unsynced.push_back(unsynced);
        if ready.must_sync {
            self.sync()?;
        } else {
            self.finish_synced();
        }
        Ok(())
    }

    /// Whether the member cannot store the output of consensus because the disk is full. It then
    /// takes no part in consensus, and the other members continue without it.
    pub(super) fn is_blocked(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Appends the entries that are not in the log yet; returns false if the disk is full.
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

    /// Appends and syncs the output of consensus; returns false if the disk is full.
    pub(super) fn sync(&mut self) -> Result<bool, Report<ErrorKind>> {
        let synced = match self.append_waiting()? {
            true => self.store.log.sync(),
            false => Err(Report::new(ErrorKind::StorageFull)),
        };
        match synced {
            Ok(()) => {
                self.finish_synced();
                Ok(true)
            }
            Err(report) if *report.current_context() == ErrorKind::StorageFull => {
                self.note_disk_full();
                Ok(false)
            }
            Err(report) => Err(report),
        }
    }

    fn finish_synced(&mut self) {
        while let Some(unsynced) = self.unsynced.pop_front() {
            self.send_consensus(unsynced.messages);
            self.node.advance(unsynced.number, &self.store);
        }
    }

    pub(super) fn note_disk_full(&mut self) {
        if !self.disk_full {
            self.disk_full = true;
            self.notice(MemberNotice::DiskFull);
        }
    }
}
