//! Writing a snapshot while further commands are applied.

use std::{iter, sync::Arc};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::frame;
use linnethitch_storage::{PayloadMark, PayloadRef};
use xxhash_rust::xxh3::Xxh3;

use super::{
    PAYLOAD_SECTION, RECORD_SECTION, SNAPSHOT_MAGIC, SNAPSHOT_VERSION,
    records::{
        FileState, Header, JobState, Record, SessionState, StartState, claim_payload,
        file_payloads, job_payloads, mask, owned,
    },
};
use crate::{
    configuration::ConfigurationState,
    ledger::{Ledger, State},
    orders::Orders,
    scheduler::ModelTimes,
    sessions::Sessions,
};

/// Approximate size of the chunks into which small sections are combined, in bytes.
const CHUNK_BYTES: usize = 256 * 1024;

/// Purpose of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotScope {
    /// For this member's own disk: without payloads, which are already in the payload store.
    Local,
    /// For another member: with all live payloads.
    Transfer,
}

/// The state at one log index. Capturing it copies references only.
struct FrozenState {
    state: State,
    configuration: ConfigurationState,
    sessions: Sessions,
    orders: Orders,
    times: Vec<ModelTimes>,
}

type Records = Box<dyn Iterator<Item = Record> + Send>;
type References = Box<dyn Iterator<Item = PayloadRef> + Send>;

/// Writes a snapshot of the state at the time when the writer was created.
pub struct SnapshotWriter {
    records: Records,
    references: References,
    mark: PayloadMark,
    payloads: u64,
    ended: bool,
}

impl std::fmt::Debug for SnapshotWriter {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("SnapshotWriter")
            .finish_non_exhaustive()
    }
}

impl FrozenState {
    fn header(&self, scope: SnapshotScope, mark: PayloadMark) -> Header {
        Header {
            magic: SNAPSHOT_MAGIC,
            version: SNAPSHOT_VERSION,
            with_payloads: scope == SnapshotScope::Transfer,
            applied: self.state.applied,
            now: self.state.now,
            next_job: self.state.next_job,
            last_lease: self.state.last_lease,
            last_session: self.state.last_session,
            dropped_results: self.state.dropped_results,
            mark,
        }
    }

    /// All records. For a digest, payload references are masked.
    fn records(self, scope: SnapshotScope, mark: PayloadMark, masked: bool) -> Records {
        let header = Record::Header(self.header(scope, mark));
        let configuration = Record::Configuration {
            revision: self.configuration.revision,
            content: self.configuration.content.to_string(),
        };
        let deltas = self.configuration.deltas.into_iter();
        let deltas = deltas.map(|delta| Record::Delta(owned(delta)));
        let changes = self.configuration.changes;
        let changes = (0..changes.order.len()).filter_map(move |position| {
            let id = changes.order.get(position)?;
            Some(Record::Change(id.clone(), changes.records.get(id)?.clone()))
        });
        let files = self.state.files.into_iter().map(move |(id, file)| {
            let mut file = owned(file);
            if masked {
                file_payloads(&mut file).for_each(mask);
            }
            Record::File(id, Box::new(FileState::new(&file)))
        });
        let jobs = self.state.jobs.into_iter().flat_map(move |(number, job)| {
            let mut job = owned(job);
            if masked {
                job_payloads(&mut job).for_each(mask);
            }
            let starts = StartState::of_job(&job);
            let starts = (!starts.is_empty()).then_some(Record::Starts(number.0, starts));
            let job = Record::Job(number.0, Box::new(JobState::new(&job)));
            iter::once(job).chain(starts)
        });
        let shards = self.state.claims.into_shards();
        let claims = shards.filter(|shard| !shard.is_empty()).map(move |shard| {
            let mut claims: Vec<_> = owned(shard).into_iter().collect();
            if masked {
                claims
                    .iter_mut()
                    .filter_map(|(_, claim)| claim_payload(claim))
                    .for_each(mask);
            }
            Record::Claims(claims)
        });
        let sessions = self.sessions.by_gateway.into_iter();
        let sessions =
            sessions.map(|(gateway, session)| Record::Session(gateway, SessionState::new(session)));
        let orders = self.orders.open.into_iter();
        let orders = orders.map(|(replica, order)| Record::Order(replica, order));
        let times = self.times.into_iter().map(Record::Times);
        Box::new(
            [header, configuration]
                .into_iter()
                .chain(deltas)
                .chain(changes)
                .chain(files)
                .chain(jobs)
                .chain(claims)
                .chain(sessions)
                .chain(iter::once(Record::LastToken(self.orders.last_token)))
                .chain(orders)
                .chain(times)
                .chain(iter::once(Record::EndOfState)),
        )
    }
}

/// All payload references in the order of the records.
pub(super) fn references(state: &State) -> References {
    let files = state.files.clone().into_values().flat_map(|file| {
        let mut file = owned(file);
        file_payloads(&mut file)
            .map(|payload| *payload)
            .collect::<Vec<_>>()
    });
    let jobs = state.jobs.clone().into_values().flat_map(|job| {
        let mut job = owned(job);
        job_payloads(&mut job)
            .map(|payload| *payload)
            .collect::<Vec<_>>()
    });
    let claims = state
        .claims
        .clone()
        .into_shards()
        .flat_map(|shard: Arc<_>| {
            let mut claims = owned(shard);
            let answers = claims.values_mut().filter_map(claim_payload);
            answers.map(|payload| *payload).collect::<Vec<_>>()
        });
    Box::new(files.chain(jobs).chain(claims))
}

impl Ledger {
    fn freeze(&self) -> FrozenState {
        FrozenState {
            state: self.state.clone(),
            configuration: self.configuration.state.clone(),
            sessions: self.sessions.clone(),
            orders: self.orders.clone(),
            times: self.scheduler.times(),
        }
    }

    /// Starts a snapshot of the current state.
    ///
    /// For [`SnapshotScope::Local`], this first syncs the payload store and creates a
    /// checkpoint in it.
    ///
    /// # Errors
    /// `StorageFull` or `Io` of the payload store.
    pub fn snapshot_writer(
        &mut self,
        scope: SnapshotScope,
    ) -> Result<SnapshotWriter, Report<ErrorKind>> {
        let (mark, references): (_, References) = match scope {
            SnapshotScope::Local => (self.payloads.checkpoint()?, Box::new(iter::empty())),
            SnapshotScope::Transfer => (PayloadMark::default(), references(&self.state)),
        };
        Ok(SnapshotWriter {
            records: self.freeze().records(scope, mark, false),
            references,
            mark,
            payloads: 0,
            ended: false,
        })
    }

    /// The next chunk of a snapshot; `None` after the last.
    ///
    /// Payloads are read from this ledger's store, which retains released payloads until a
    /// newer checkpoint is durable. No newer checkpoint may be settled before the last chunk.
    ///
    /// # Errors
    /// `Corrupted`, `NotFound` or `Io` when a payload cannot be read.
    pub fn next_snapshot_chunk(
        &self,
        writer: &mut SnapshotWriter,
    ) -> Result<Option<Vec<u8>>, Report<ErrorKind>> {
        if let Some(chunk) = writer.next_state_chunk()? {
            return Ok(Some(chunk));
        }
        let mut chunk = Vec::new();
        while chunk.len() < CHUNK_BYTES {
            let Some(payload) = writer.references.next() else {
                break;
            };
            push_section(&mut chunk, PAYLOAD_SECTION, &self.payloads.read(&payload)?);
            writer.payloads += 1;
        }
        if chunk.len() < CHUNK_BYTES && !writer.ended {
            writer.ended = true;
            let end = Record::End {
                payloads: writer.payloads,
            };
            push_section(&mut chunk, RECORD_SECTION, &frame::encode(&end)?);
        }
        Ok((!chunk.is_empty()).then_some(chunk))
    }

    /// Rewrites one payload segment in which most payloads are released; returns whether there
    /// was one.
    ///
    /// Scans all payload references of the state, so it is too expensive for every command.
    ///
    /// # Errors
    /// `Corrupted`, `StorageFull` (nothing is changed then) or `Io` of the payload store.
    pub fn compact_payloads(&mut self) -> Result<bool, Report<ErrorKind>> {
        let Some(segment) = self.payloads.compaction_candidate() else {
            return Ok(false);
        };
        let live: Vec<PayloadRef> = references(&self.state)
            .filter(|payload| payload.segment == segment)
            .collect();
        self.payloads.compact(segment, &live)?;
        Ok(true)
    }

    /// A digest of the replicated state; equal on members that applied the same commands.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let mark = PayloadMark::default();
        for record in self.freeze().records(SnapshotScope::Local, mark, true) {
            if let Ok(encoded) = frame::encode(&record) {
                hasher.update(&encoded);
            }
        }
        hasher.digest()
    }
}

impl SnapshotWriter {
    /// The checkpoint of the payload store that the snapshot belongs to.
    ///
    /// Once no older snapshot is stored, this checkpoint may be settled in
    /// [`Ledger::payloads`].
    #[must_use]
    pub fn mark(&self) -> PayloadMark {
        self.mark
    }

    /// The next chunk of the state records. Needs no ledger, so it can run on another thread.
    ///
    /// `None` after the last record; [`Ledger::next_snapshot_chunk`] then returns the payloads
    /// and the end.
    ///
    /// # Errors
    /// `Internal` when a record cannot be encoded.
    pub fn next_state_chunk(&mut self) -> Result<Option<Vec<u8>>, Report<ErrorKind>> {
        let mut chunk = Vec::new();
        while chunk.len() < CHUNK_BYTES {
            let Some(record) = self.records.next() else {
                break;
            };
            push_section(&mut chunk, RECORD_SECTION, &frame::encode(&record)?);
        }
        Ok((!chunk.is_empty()).then_some(chunk))
    }
}

fn push_section(chunk: &mut Vec<u8>, kind: u8, data: &[u8]) {
    chunk.push(kind);
    chunk.extend_from_slice(&(data.len() as u32).to_le_bytes());
    chunk.extend_from_slice(&checksum(kind, data).to_le_bytes());
    chunk.extend_from_slice(data);
}

/// The checksum of a section.
pub(super) fn checksum(kind: u8, data: &[u8]) -> u32 {
    let mut hasher = Xxh3::with_seed(u64::from(kind));
    hasher.update(data);
    hasher.digest() as u32
}
