//! Takes snapshots of the ledger in parts, restores them, and receives and installs snapshots
//! of the leader.
//!
//! Payloads are stored in separate files. A local snapshot does not contain them but names the
//! checkpoint of the payload store to which it belongs. If another member needs a snapshot, the
//! next snapshot contains the payloads (transfer scope). It can also be used for a local
//! restart, which then stores its payloads again.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_consensus::{PeerState, ReceivedChunk};
use linnethitch_errors::ErrorKind;
use linnethitch_ledger::{Ledger, Restorer, SnapshotScope, SnapshotWriter as LedgerWriter};
use linnethitch_protocol::{
    consensus::{Membership, SnapshotMeta},
    ids::LogIndex,
};
use linnethitch_storage::{
    FileSystem, MemoryPayloads, PayloadLimits, PayloadMark, PayloadStore, Payloads,
    SnapshotWriter as FileWriter,
};

use super::{core::Member, log_store::LogStore, output::MemberNotice};

/// Bytes of a snapshot read at once.
const READ_BYTES: usize = 1024 * 1024;
/// Approximate bytes of a snapshot written in one flush, which delays messages and ticks.
const WRITE_BYTES_PER_FLUSH: usize = 4 * 1024 * 1024;
/// A peer with contact within this many ticks can receive a snapshot.
const PEER_CONTACT_TICKS: u32 = 100;
/// While a peer waits for a snapshot, no new snapshot is begun, so that the snapshot being sent
/// and the log after it remain, until the log has grown to this many times the usual limit.
const MAX_GROWTH_FACTOR: u64 = 32;

/// The state of the newest snapshot on disk.
pub(super) struct RestoredLedger {
    pub(super) ledger: Ledger,
    pub(super) applied: LogIndex,
    pub(super) membership: Membership,
}

/// A snapshot being written.
pub(super) struct SnapshotBuild {
    meta: SnapshotMeta,
    scope: SnapshotScope,
    ledger: LedgerWriter,
    file: FileWriter,
}

/// Reads the newest snapshot; without a snapshot the ledger is empty.
pub(super) fn restore_ledger(
    store: &LogStore,
    file_system: Arc<dyn FileSystem>,
    first_membership: Membership,
) -> Result<RestoredLedger, Report<ErrorKind>> {
    let Some(info) = store.snapshots.latest() else {
        return Ok(RestoredLedger {
            ledger: Ledger::new(open_payloads(file_system, PayloadMark::default())?),
            applied: LogIndex(0),
            membership: first_membership,
        });
    };
    let index = info.meta.index;
    Ok(RestoredLedger {
        ledger: read_ledger(store, file_system, index)?,
        applied: index,
        membership: info.meta.membership.clone(),
    })
}

fn open_payloads(
    file_system: Arc<dyn FileSystem>,
    mark: PayloadMark,
) -> Result<Box<dyn Payloads + Send>, Report<ErrorKind>> {
    let store = PayloadStore::open(file_system, PayloadLimits::default(), mark)?;
    Ok(Box::new(store))
}

fn read_ledger(
    store: &LogStore,
    file_system: Arc<dyn FileSystem>,
    index: LogIndex,
) -> Result<Ledger, Report<ErrorKind>> {
    let mut restorer = Restorer::new(Box::new(|mark| open_payloads(file_system, mark)));
    let mut offset = 0;
    loop {
        let piece = store.snapshots.read_content(index, offset, READ_BYTES)?;
        if piece.is_empty() {
            return restorer.finish();
        }
        offset += piece.len() as u64;
        restorer.push(&piece)?;
    }
}

impl Member {
    /// Continues writing a snapshot; begins one if a peer needs it or the log has grown enough.
    pub(super) fn snapshot_if_due(&mut self) -> Result<(), Report<ErrorKind>> {
        let missed = self.store.take_missed();
        if self.snapshot_build.is_none() {
            if missed && self.is_snapshot_awaited() {
                self.begin_snapshot(SnapshotScope::Transfer)?;
            } else if self.is_snapshot_due() {
                self.begin_snapshot(SnapshotScope::Local)?;
            }
        }
        let Some(mut build) = self.snapshot_build.take() else {
            return Ok(());
        };
        match self.continue_snapshot(&mut build) {
            Ok(false) => self.snapshot_build = Some(build),
            Ok(true) => self.finish_snapshot(build)?,
            Err(report) if *report.current_context() == ErrorKind::StorageFull => {
                self.store.snapshots.abandon(build.file)?;
                self.snapshot_retry_bytes = self.store.log.disk_bytes();
            }
            Err(report) => return Err(report),
        }
        Ok(())
    }

    /// Whether the log has grown enough since the last snapshot.
    fn is_snapshot_due(&self) -> bool {
        let log_bytes = self.store.log.disk_bytes();
        let grown = log_bytes.saturating_sub(self.snapshot_retry_bytes);
        let limit = self.settings.snapshot_log_bytes;
        let may_defer = grown < limit.saturating_mul(MAX_GROWTH_FACTOR);
        grown >= limit
            && self.applied > self.newest_snapshot()
            && !(may_defer && self.is_snapshot_awaited())
    }

    /// Whether a reachable peer needs a snapshot. An unreachable peer must not prevent this
    /// member from taking snapshots of its own.
    fn is_snapshot_awaited(&self) -> bool {
        let status = self.node.status();
        status.peers.iter().any(|peer| {
            peer.state == PeerState::Snapshot && peer.ticks_since_contact < PEER_CONTACT_TICKS
        })
    }

    fn newest_snapshot(&self) -> LogIndex {
        let latest = self.store.snapshots.latest();
        latest.map_or(LogIndex(0), |info| info.meta.index)
    }

    fn begin_snapshot(&mut self, scope: SnapshotScope) -> Result<(), Report<ErrorKind>> {
        let Some(term) = self.store.log.term(self.applied) else {
            return Ok(());
        };
        let meta = SnapshotMeta {
            index: self.applied,
            term,
            membership: self.applied_membership.clone(),
        };
        let begun = match self.ledger.snapshot_writer(scope) {
            Ok(ledger) => self
                .store
                .snapshots
                .begin(meta.clone())
                .map(|file| (ledger, file)),
            Err(report) => Err(report),
        };
        let (ledger, file) = match begun {
            Ok(begun) => begun,
            Err(report) if *report.current_context() == ErrorKind::StorageFull => {
                self.snapshot_retry_bytes = self.store.log.disk_bytes();
                return Ok(());
            }
            Err(report) => return Err(report),
        };
        self.snapshot_build = Some(SnapshotBuild {
            meta,
            scope,
            ledger,
            file,
        });
        Ok(())
    }

    /// Writes the next part; returns whether the content is complete.
    fn continue_snapshot(&self, build: &mut SnapshotBuild) -> Result<bool, Report<ErrorKind>> {
        let mut written = 0;
        while written < WRITE_BYTES_PER_FLUSH {
            let Some(chunk) = self.ledger.next_snapshot_chunk(&mut build.ledger)? else {
                return Ok(true);
            };
            build.file.write(&chunk)?;
            written += chunk.len();
        }
        Ok(false)
    }

    fn finish_snapshot(&mut self, build: SnapshotBuild) -> Result<(), Report<ErrorKind>> {
        let info = self.store.snapshots.finish(build.file)?;
        self.notice(MemberNotice::SnapshotStored {
            index: build.meta.index,
            bytes: info.file_bytes,
        });
        match build.scope {
            SnapshotScope::Transfer => self.store.set_sendable(build.meta.index),
            SnapshotScope::Local => {
                self.payload_marks
                    .insert(build.meta.index, build.ledger.mark());
            }
        }
        self.compact_log()?;
        self.release_payloads()
    }

    /// Frees the space of payloads that no stored snapshot needs.
    fn release_payloads(&mut self) -> Result<(), Report<ErrorKind>> {
        let Some(oldest) = self.store.snapshots.oldest() else {
            return Ok(());
        };
        let oldest = oldest.meta.index;
        self.payload_marks.retain(|index, _| *index >= oldest);
        let Some(mark) = self.payload_marks.get(&oldest).copied() else {
            return Ok(());
        };
        self.ledger.payloads().reclaim_before(mark)?;
        match self.ledger.compact_payloads() {
            Err(report) if *report.current_context() == ErrorKind::StorageFull => Ok(()),
            compacted => compacted.map(|_| ()),
        }
    }

    /// Compacts the log up to the oldest stored snapshot.
    fn compact_log(&mut self) -> Result<(), Report<ErrorKind>> {
        if let Some(oldest) = self.store.snapshots.oldest() {
            let SnapshotMeta { index, term, .. } = oldest.meta;
            self.store.log.compact_to(index, term)?;
        }
        self.snapshot_retry_bytes = self.store.log.disk_bytes();
        Ok(())
    }

    /// Stores a chunk of the leader's snapshot and installs the snapshot when it is complete.
    pub(super) fn receive_snapshot_chunk(
        &mut self,
        chunk: &ReceivedChunk,
    ) -> Result<(), Report<ErrorKind>> {
        let ReceivedChunk {
            meta,
            offset,
            data,
            last,
            ..
        } = chunk;
        let received = self.store.snapshots.receive(meta, *offset, data, *last);
        let progress = match received {
            Ok(progress) => progress,
            Err(report) if *report.current_context() == ErrorKind::StorageFull => {
                self.node.report_snapshot_refused();
                return Ok(());
            }
            Err(report) => return Err(report),
        };
        let expected = offset + data.len() as u64;
        if progress.installed.is_some() {
            self.install_snapshot(meta)
        } else {
            if *last || progress.next_offset != expected {
                self.node.report_snapshot_refused();
            }
            Ok(())
        }
    }

    fn install_snapshot(&mut self, meta: &SnapshotMeta) -> Result<(), Report<ErrorKind>> {
        if let Some(build) = self.snapshot_build.take() {
            self.store.snapshots.abandon(build.file)?;
        }
        // Closes the payload store, which the snapshot's payloads replace.
        self.ledger = Ledger::new(Box::new(MemoryPayloads::default()));
        self.payload_marks.clear();
        self.ledger = read_ledger(&self.store, self.folder.file_system(), meta.index)?;
        self.store.set_sendable(meta.index);
        self.ledger
            .set_safety_overrides(self.settings.ledger_safety);
        self.applied = meta.index;
        self.applied_membership = meta.membership.clone();
        if self.store.log.term(meta.index) == Some(meta.term) {
            self.store.log.sync()?;
            self.store.log.compact_to(meta.index, meta.term)?;
        } else {
            self.store.log.reset_to(meta.index, meta.term)?;
        }
        self.snapshot_retry_bytes = self.store.log.disk_bytes();
        for due in self.calls.take_proposed_up_to(meta.index) {
            self.answer(due.origin, due.body);
        }
        self.node.report_snapshot_installed(meta, &self.store);
        self.notice(MemberNotice::SnapshotInstalled(meta.index));
        Ok(())
    }
}
