//! The state as encodable records.

use std::{collections::BTreeMap, sync::Arc};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::SentRequest,
    ids::{
        ChangeId, FencingToken, FileId, GatewayId, IdempotencyKey, JobId, LeaseEpoch, LogIndex,
        ModelId, ReplicaId, Revision, SessionEpoch, TenantId, Timestamp,
    },
};
use linnethitch_storage::{PayloadMark, PayloadRef};
use rkyv::{Archive, Deserialize, Serialize};
use roaring::RoaringBitmap;

use crate::{
    claims::{Claim, ClaimKey, ClaimState},
    configuration::{ChangeRecord, Delta},
    files::{FilePhase, InputFile},
    job::{Job, JobPhase, PendingQueue, Start},
    line_index::{EndpointUse, IndexChunk, LineIndex, ModelLines, StoredChunk},
    orders::OpenOrder,
    results::ResultStream,
    scheduler::ModelTimes,
    sessions::{Lease, Session},
    stored_bytes::StoredBytes,
};

/// One record of the state.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) enum Record {
    Header(Header),
    Configuration {
        revision: Revision,
        content: String,
    },
    Delta(Delta),
    Change(ChangeId, ChangeRecord),
    File(FileId, Box<FileState>),
    Job(u64, Box<JobState>),
    Claims(Vec<(ClaimKey, Claim)>),
    Session(GatewayId, SessionState),
    LastToken(FencingToken),
    Order(ReplicaId, OpenOrder),
    Times(ModelTimes),
    EndOfState,
    End {
        payloads: u64,
    },
    /// The attempts of a job's starts, where the engine can be asked; follows the job.
    Starts(u64, Vec<StartState>),
}

/// The attempt of a start, in addition to the lease in [`JobState`].
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct StartState {
    pub(crate) item: u32,
    pub(crate) attempt: u64,
    pub(crate) request: SentRequest,
}

impl StartState {
    /// The starts of a job whose engines can be asked.
    pub(crate) fn of_job(job: &Job) -> Vec<Self> {
        let starts = job.started.iter().filter_map(|(item, start)| {
            Some(StartState {
                item: *item,
                attempt: start.attempt,
                request: start.request.clone()?,
            })
        });
        starts.collect()
    }

    /// Adds the attempt to the start of a restored job.
    pub(crate) fn restore(self, job: &mut Job) {
        if let Some(start) = job.started.get_mut(&self.item) {
            start.attempt = self.attempt;
            start.request = Some(self.request);
        }
    }
}

/// The first record of a snapshot.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct Header {
    pub(crate) magic: u64,
    pub(crate) version: u32,
    pub(crate) with_payloads: bool,
    pub(crate) applied: LogIndex,
    pub(crate) now: Timestamp,
    pub(crate) next_job: u64,
    pub(crate) last_lease: LeaseEpoch,
    pub(crate) last_session: SessionEpoch,
    pub(crate) dropped_results: u64,
    /// The checkpoint of this member's payload store that belongs to the state. Only used
    /// without payloads.
    pub(crate) mark: PayloadMark,
}

/// A set of item numbers, in the portable format of Roaring bitmaps.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct Items(Vec<u8>);

impl Items {
    fn new(bitmap: &RoaringBitmap) -> Self {
        // Starts from a form without runs, so that equal sets give equal bytes whatever their
        // history: `optimize` keeps a container whose run and array forms have the same size.
        let mut compact = bitmap.clone();
        compact.remove_run_compression();
        compact.optimize();
        let mut bytes = Vec::with_capacity(compact.serialized_size());
        // Writing to a vector cannot fail.
        let _ = compact.serialize_into(&mut bytes);
        Items(bytes)
    }

    fn bitmap(&self) -> Result<RoaringBitmap, Report<ErrorKind>> {
        RoaringBitmap::deserialize_from(self.0.as_slice())
            .map_err(|error| Report::new(ErrorKind::Corrupted).attach(error.to_string()))
    }
}

/// Items of a model.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct ModelItems {
    model: ModelId,
    items: Items,
}

/// A file.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct FileState {
    tenant: TenantId,
    purpose: String,
    filename: String,
    content: StoredBytes,
    lines: u32,
    indexed_bytes: u64,
    chunks: Vec<StoredChunk>,
    open: IndexChunk,
    models: Vec<ModelItems>,
    endpoints: Vec<EndpointUse>,
    at_most_once: Items,
    phase: FilePhase,
    expires_at: Timestamp,
    open_jobs: u32,
}

impl FileState {
    pub(crate) fn new(file: &InputFile) -> Self {
        let models = file.index.models.iter().map(|lines| ModelItems {
            model: lines.model.clone(),
            items: Items::new(&lines.items),
        });
        FileState {
            tenant: file.tenant.clone(),
            purpose: file.purpose.clone(),
            filename: file.filename.clone(),
            content: file.content.clone(),
            lines: file.index.lines,
            indexed_bytes: file.index.bytes,
            chunks: file.index.chunks.clone(),
            open: file.index.open.clone(),
            models: models.collect(),
            endpoints: file.index.endpoints.clone(),
            at_most_once: Items::new(&file.index.at_most_once),
            phase: file.phase,
            expires_at: file.expires_at,
            open_jobs: file.open_jobs,
        }
    }

    pub(crate) fn restore(self) -> Result<InputFile, Report<ErrorKind>> {
        let mut models = Vec::with_capacity(self.models.len());
        for entry in self.models {
            models.push(ModelLines {
                items: entry.items.bitmap()?,
                model: entry.model,
            });
        }
        Ok(InputFile {
            tenant: self.tenant,
            purpose: self.purpose,
            filename: self.filename,
            content: self.content,
            index: LineIndex {
                lines: self.lines,
                bytes: self.indexed_bytes,
                chunks: self.chunks,
                open: self.open,
                models,
                endpoints: self.endpoints,
                at_most_once: self.at_most_once.bitmap()?,
            },
            phase: self.phase,
            expires_at: self.expires_at,
            open_jobs: self.open_jobs,
        })
    }
}

/// A job.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct JobState {
    id: JobId,
    tenant: TenantId,
    input: FileId,
    endpoint: String,
    metadata: String,
    idempotency: Option<IdempotencyKey>,
    content_digest: u64,
    total: u32,
    completed: u32,
    failed: u32,
    created_at: Timestamp,
    deadline: Timestamp,
    finished_at: Option<Timestamp>,
    phase: JobPhase,
    due: Timestamp,
    stopped_at: Option<LogIndex>,
    pending: Vec<ModelItems>,
    open: Items,
    touched: Items,
    started: Vec<(u32, LeaseEpoch)>,
    leased: u32,
    output: ResultStream,
    errors: ResultStream,
}

impl JobState {
    pub(crate) fn new(job: &Job) -> Self {
        let pending = job.pending.iter().map(|queue| ModelItems {
            model: queue.model.clone(),
            items: Items::new(&queue.items),
        });
        JobState {
            id: job.id.clone(),
            tenant: job.tenant.clone(),
            input: job.input.clone(),
            endpoint: job.endpoint.clone(),
            metadata: job.metadata.clone(),
            idempotency: job.idempotency.clone(),
            content_digest: job.content_digest,
            total: job.total,
            completed: job.completed,
            failed: job.failed,
            created_at: job.created_at,
            deadline: job.deadline,
            finished_at: job.finished_at,
            phase: job.phase,
            due: job.due,
            stopped_at: job.stopped_at,
            pending: pending.collect(),
            open: Items::new(&job.open),
            touched: Items::new(&job.touched),
            started: job
                .started
                .iter()
                .map(|(item, start)| (*item, start.lease))
                .collect(),
            leased: job.leased,
            output: job.output.clone(),
            errors: job.errors.clone(),
        }
    }

    pub(crate) fn restore(self) -> Result<Job, Report<ErrorKind>> {
        let mut pending = Vec::with_capacity(self.pending.len());
        for entry in self.pending {
            pending.push(PendingQueue {
                items: entry.items.bitmap()?,
                model: entry.model,
            });
        }
        Ok(Job {
            id: self.id,
            tenant: self.tenant,
            input: self.input,
            endpoint: self.endpoint,
            metadata: self.metadata,
            idempotency: self.idempotency,
            content_digest: self.content_digest,
            total: self.total,
            completed: self.completed,
            failed: self.failed,
            created_at: self.created_at,
            deadline: self.deadline,
            finished_at: self.finished_at,
            phase: self.phase,
            due: self.due,
            stopped_at: self.stopped_at,
            pending,
            open: self.open.bitmap()?,
            touched: self.touched.bitmap()?,
            started: self
                .started
                .into_iter()
                .map(|(item, lease)| (item, Start::without_request(lease)))
                .collect::<BTreeMap<_, _>>(),
            leased: self.leased,
            output: self.output,
            errors: self.errors,
        })
    }
}

/// A session of a gateway.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct SessionState {
    epoch: SessionEpoch,
    nonce: u64,
    until: Timestamp,
    highest_sequence: u64,
    leases: Vec<(LeaseEpoch, Lease)>,
    claims: Vec<ClaimKey>,
    leased: u32,
}

impl SessionState {
    pub(crate) fn new(session: Session) -> Self {
        SessionState {
            epoch: session.epoch,
            nonce: session.nonce,
            until: session.until,
            highest_sequence: session.highest_sequence,
            leases: session.leases.into_iter().collect(),
            claims: session.claims.into_iter().collect(),
            leased: session.leased,
        }
    }

    pub(crate) fn restore(self) -> Session {
        Session {
            epoch: self.epoch,
            nonce: self.nonce,
            until: self.until,
            highest_sequence: self.highest_sequence,
            leases: self.leases.into_iter().collect(),
            claims: self.claims.into_iter().collect(),
            leased: self.leased,
        }
    }
}

/// Payload references in the order of the records.
pub(crate) fn file_payloads(file: &mut InputFile) -> impl Iterator<Item = &mut PayloadRef> {
    let pieces = file
        .content
        .pieces
        .iter_mut()
        .map(|piece| &mut piece.payload);
    pieces.chain(file.index.chunks.iter_mut().map(|chunk| &mut chunk.payload))
}

/// Payload references in the order of the records.
pub(crate) fn job_payloads(job: &mut Job) -> impl Iterator<Item = &mut PayloadRef> {
    let output = job.output.stored.pieces.iter_mut();
    let pieces = output.chain(job.errors.stored.pieces.iter_mut());
    pieces.map(|piece| &mut piece.payload)
}

/// The payload reference of a claim's answer, if there is one.
pub(crate) fn claim_payload(claim: &mut Claim) -> Option<&mut PayloadRef> {
    match &mut claim.state {
        ClaimState::Answered(piece) => Some(&mut piece.payload),
        ClaimState::Running(_) | ClaimState::OutcomeUnknown => None,
    }
}

/// Clears the position of a payload reference, which differs between members.
pub(crate) fn mask(payload: &mut PayloadRef) {
    payload.segment = 0;
    payload.offset = 0;
}

/// The value of an `Arc`, cloned if it is still shared.
pub(crate) fn owned<T: Clone>(shared: Arc<T>) -> T {
    Arc::unwrap_or_clone(shared)
}
