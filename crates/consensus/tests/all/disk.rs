//! An in-memory disk that stores the log, the hard state and snapshots.

use linnethitch_consensus::{LogView, PartialSnapshot, Ready, ReceivedChunk, SnapshotPiece};
use linnethitch_protocol::{
    consensus::{Entry, EntryPayload, HardState, Membership, SnapshotMeta},
    ids::{LogIndex, Term},
};

/// A stored snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct StoredSnapshot {
    pub(crate) meta: SnapshotMetaKey,
    pub(crate) data: Vec<u8>,
}

/// `SnapshotMeta` in a form that implements `Hash`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotMetaKey {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) voters: Vec<linnethitch_protocol::ids::MemberId>,
    pub(crate) learners: Vec<linnethitch_protocol::ids::MemberId>,
}

impl SnapshotMetaKey {
    pub(crate) fn from_meta(meta: &SnapshotMeta) -> Self {
        SnapshotMetaKey {
            index: meta.index.0,
            term: meta.term.0,
            voters: meta.membership.voters.clone(),
            learners: meta.membership.learners.clone(),
        }
    }

    pub(crate) fn to_meta(&self) -> SnapshotMeta {
        SnapshotMeta {
            index: LogIndex(self.index),
            term: Term(self.term),
            membership: Membership {
                voters: self.voters.clone(),
                learners: self.learners.clone(),
            },
        }
    }
}

/// The content of a disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskContent {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: StoredSnapshot,
    /// Entries after `start`.
    pub(crate) entries: Vec<Entry>,
    /// The index just before the first entry, and its term.
    pub(crate) start: LogIndex,
    pub(crate) start_term: Term,
    pub(crate) partial: Option<PartialSnapshot>,
    pub(crate) partial_data: Vec<u8>,
}

impl DiskContent {
    /// Writes the contents of a `Ready`; returns the metadata of a snapshot whose last
    /// chunk was written.
    pub(crate) fn write(&mut self, ready: &Ready) -> Option<SnapshotMeta> {
        if let Some(hard_state) = &ready.hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(index) = ready.truncate_after {
            self.entries.truncate((index.0 - self.start.0) as usize);
        }
        for entry in &ready.entries {
            assert_eq!(
                entry.index.0,
                self.last_index().0 + 1,
                "the log must have no gap"
            );
            self.entries.push(entry.clone());
        }
        let mut complete = None;
        for chunk in &ready.snapshot_chunks {
            self.write_chunk(chunk);
            if chunk.last {
                complete = Some(chunk.meta.clone());
            }
        }
        complete
    }

    fn write_chunk(&mut self, chunk: &ReceivedChunk) {
        self.partial_data.truncate(chunk.offset as usize);
        assert_eq!(
            self.partial_data.len() as u64,
            chunk.offset,
            "chunks must have no gap"
        );
        self.partial_data.extend_from_slice(&chunk.data);
        self.partial = Some(PartialSnapshot {
            from: chunk.from,
            meta: chunk.meta.clone(),
            next_offset: self.partial_data.len() as u64,
        });
    }

    /// Discards a received snapshot that is damaged.
    pub(crate) fn discard_partial(&mut self) {
        self.partial = None;
        self.partial_data.clear();
    }

    /// Replaces the log up to the end of the received snapshot.
    pub(crate) fn install(&mut self, meta: &SnapshotMeta) {
        let data = std::mem::take(&mut self.partial_data);
        self.partial = None;
        if self.term(meta.index) == Some(meta.term) {
            self.entries.retain(|entry| entry.index > meta.index);
        } else {
            self.entries.clear();
        }
        self.start = meta.index;
        self.start_term = meta.term;
        self.snapshot = StoredSnapshot {
            meta: SnapshotMetaKey::from_meta(meta),
            data,
        };
    }

    /// Stores a snapshot and removes the log entries that it covers.
    pub(crate) fn compact(&mut self, meta: &SnapshotMeta, data: Vec<u8>) {
        self.entries.retain(|entry| entry.index > meta.index);
        self.start = meta.index;
        self.start_term = meta.term;
        self.snapshot = StoredSnapshot {
            meta: SnapshotMetaKey::from_meta(meta),
            data,
        };
    }

    /// All memberships in the log and the snapshot.
    pub(crate) fn memberships(&self) -> Vec<Membership> {
        let in_log = self
            .entries
            .iter()
            .filter_map(|entry| match &entry.payload {
                EntryPayload::Membership(_, membership) => Some(membership.clone()),
                _ => None,
            });
        let mut memberships: Vec<Membership> = in_log.collect();
        memberships.push(self.snapshot.meta.to_meta().membership);
        memberships
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.start.0 + 1)?;
        self.entries.get(offset as usize)
    }
}

impl LogView for DiskContent {
    fn first_index(&self) -> LogIndex {
        LogIndex(self.start.0 + 1)
    }

    fn last_index(&self) -> LogIndex {
        LogIndex(self.start.0 + self.entries.len() as u64)
    }

    fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.start {
            return Some(self.start_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    fn entries(&self, from: LogIndex, to_exclusive: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        let mut index = from;
        while index < to_exclusive {
            let Some(entry) = self.entry(index) else {
                break;
            };
            bytes += payload_bytes(entry);
            if bytes > max_bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            index.0 += 1;
        }
        taken
    }

    fn snapshot_meta(&self) -> SnapshotMeta {
        self.snapshot.meta.to_meta()
    }

    fn snapshot_chunk(
        &self,
        meta: &SnapshotMeta,
        offset: u64,
        max_bytes: usize,
    ) -> Option<SnapshotPiece> {
        let stored = &self.snapshot;
        let is_stored = stored.meta.index > 0 && stored.meta.to_meta() == *meta;
        let remaining = stored.data.get(offset as usize..).filter(|_| is_stored)?;
        let length = remaining.len().min(max_bytes);
        Some(SnapshotPiece {
            data: remaining[..length].to_vec(),
            last: length == remaining.len(),
        })
    }
}

fn payload_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        _ => 0,
    }
}
