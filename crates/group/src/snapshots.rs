//! Takes snapshots of the state, and receives and installs snapshots of the leader.

use error_stack::Report;
use linnethitch_consensus::{PeerState, ReceivedChunk};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{consensus::SnapshotMeta, ids::LogIndex};
use linnethitch_storage::SnapshotWriter;

use crate::{
    member::GroupMember,
    output::{CallFailure, GroupNotice},
    state_machine::{SnapshotSource, StateMachine},
};

/// A peer with contact within this many ticks can receive a snapshot.
const PEER_CONTACT_TICKS: u32 = 50;
/// While a snapshot is sent to a peer, no new snapshot is begun until the log has grown to
/// this many times the usual limit.
const MAX_GROWTH_FACTOR: u64 = 4;

/// Approximate bytes of a snapshot written in one flush, which delays messages and ticks.
const WRITE_BYTES: usize = 1024 * 1024;

/// A snapshot that is being written while further entries are applied to the state.
pub(crate) struct SnapshotInProgress<S: StateMachine> {
    writer: SnapshotWriter,
    source: S::Snapshot,
}

impl<S: StateMachine> GroupMember<S> {
    /// Continues writing a snapshot, or begins one if the log has grown enough.
    pub(crate) fn snapshot_if_due(&mut self) -> Result<(), Report<ErrorKind>> {
        let written = match self.snapshot.take() {
            Some(snapshot) => self.write_snapshot(snapshot),
            None if self.is_snapshot_due() => self.begin_snapshot(),
            None => return Ok(()),
        };
        match written {
            Err(report) if *report.current_context() == ErrorKind::StorageFull => {
                self.snapshot_retry_bytes = self.store.log.disk_bytes();
                Ok(())
            }
            written => written,
        }
    }

    /// Whether a snapshot is being written, which the next flush continues.
    #[must_use]
    pub fn is_writing_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }

    fn is_snapshot_due(&self) -> bool {
        let log_bytes = self.store.log.disk_bytes();
        let grown = log_bytes.saturating_sub(self.snapshot_retry_bytes);
        let limit = self.settings.snapshot_log_bytes;
        let may_defer = grown < limit.saturating_mul(MAX_GROWTH_FACTOR);
        grown >= limit
            && self.applied > self.store.newest_snapshot()
            && !(may_defer && self.is_snapshot_being_sent())
    }

    fn is_snapshot_being_sent(&self) -> bool {
        let status = self.node.status();
        let mut peers = status.peers.iter();
        peers.any(|peer| {
            peer.state == PeerState::Snapshot && peer.ticks_since_contact < PEER_CONTACT_TICKS
        })
    }

    fn begin_snapshot(&mut self) -> Result<(), Report<ErrorKind>> {
        let Some(term) = self.store.log.term(self.applied) else {
            return Ok(());
        };
        let meta = SnapshotMeta {
            index: self.applied,
            term,
            membership: self.applied_membership.clone(),
        };
        let source = self.state.begin_snapshot()?;
        let writer = self.store.snapshots.begin(meta)?;
        self.write_snapshot(SnapshotInProgress { writer, source })
    }

    fn write_snapshot(
        &mut self,
        mut snapshot: SnapshotInProgress<S>,
    ) -> Result<(), Report<ErrorKind>> {
        match write_pieces(&mut snapshot) {
            Ok(true) => self.finish_snapshot(snapshot),
            Ok(false) => {
                self.snapshot = Some(snapshot);
                Ok(())
            }
            Err(report) => {
                self.store.snapshots.abandon(snapshot.writer)?;
                Err(report)
            }
        }
    }

    fn finish_snapshot(
        &mut self,
        snapshot: SnapshotInProgress<S>,
    ) -> Result<(), Report<ErrorKind>> {
        let previous = self.store.snapshots.latest().map(|info| info.meta.clone());
        let stored = self.store.snapshots.finish(snapshot.writer)?;
        let index = stored.meta.index;
        let content = self.store.snapshots.reader(index)?;
        self.state.snapshot_stored(snapshot.source, content);
        self.notice(GroupNotice::SnapshotStored(index));
        self.compact_log(previous)
    }

    /// Removes the log up to the snapshot before the newest one. The remaining log lets
    /// a member that is slightly behind catch up without a snapshot.
    fn compact_log(&mut self, previous: Option<SnapshotMeta>) -> Result<(), Report<ErrorKind>> {
        if let Some(SnapshotMeta { index, term, .. }) = previous {
            self.store.log.compact_to(index, term)?;
        }
        self.snapshot_retry_bytes = self.store.log.disk_bytes();
        Ok(())
    }

    fn abandon_snapshot(&mut self) -> Result<(), Report<ErrorKind>> {
        match self.snapshot.take() {
            Some(snapshot) => self.store.snapshots.abandon(snapshot.writer),
            None => Ok(()),
        }
    }

    /// Stores a chunk of the leader's snapshot, and installs the snapshot when complete.
    pub(crate) fn receive_snapshot_chunk(
        &mut self,
        chunk: &ReceivedChunk,
    ) -> Result<(), Report<ErrorKind>> {
        let snapshots = &mut self.store.snapshots;
        let received = snapshots.receive(&chunk.meta, chunk.offset, &chunk.data, chunk.last);
        let progress = match received {
            Ok(progress) => progress,
            Err(report) if *report.current_context() == ErrorKind::StorageFull => {
                self.node.report_snapshot_refused();
                return Ok(());
            }
            Err(report) => return Err(report),
        };
        let expected = chunk.offset + chunk.data.len() as u64;
        if progress.installed.is_some() {
            return self.install_snapshot(&chunk.meta);
        }
        if chunk.last || progress.next_offset != expected {
            self.node.report_snapshot_refused();
        }
        Ok(())
    }

    fn install_snapshot(&mut self, meta: &SnapshotMeta) -> Result<(), Report<ErrorKind>> {
        self.abandon_snapshot()?;
        let content = self.store.snapshots.reader(meta.index)?;
        self.state = S::from_snapshot(content)?;
        self.applied = meta.index;
        self.applied_membership = meta.membership.clone();
        if self.store.log.term(meta.index) == Some(meta.term) {
            self.store.log.sync()?;
            self.store.log.compact_to(meta.index, meta.term)?;
        } else {
            self.store.log.reset_to(meta.index, meta.term)?;
        }
        self.snapshot_retry_bytes = self.store.log.disk_bytes();
        self.fail_proposals_through(meta.index);
        self.node.report_snapshot_installed(meta, &self.store);
        self.notice(GroupNotice::SnapshotInstalled(meta.index));
        Ok(())
    }

    /// Fails proposals that a snapshot covers, since their outcome is unknown on this member.
    fn fail_proposals_through(&mut self, index: LogIndex) {
        let later = self.proposals.split_off(&LogIndex(index.0 + 1));
        let covered = std::mem::replace(&mut self.proposals, later);
        for proposal in covered.into_values() {
            self.fail(proposal.call, CallFailure::Unknown);
        }
    }
}

/// Writes the next pieces; true if the snapshot is complete.
fn write_pieces<S: StateMachine>(
    snapshot: &mut SnapshotInProgress<S>,
) -> Result<bool, Report<ErrorKind>> {
    let mut written = 0;
    while written < WRITE_BYTES {
        let Some(piece) = snapshot.source.next_piece()? else {
            return Ok(true);
        };
        snapshot.writer.write(&piece)?;
        written += piece.len();
    }
    Ok(false)
}
