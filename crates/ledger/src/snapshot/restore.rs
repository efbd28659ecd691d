//! Restoring a ledger from a snapshot.

use std::{collections::VecDeque, io::Read, sync::Arc};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{format::Format, frame};
use linnethitch_storage::{MemoryPayloads, PayloadMark, PayloadRef, Payloads};

use super::{
    MAX_SECTION_BYTES, PAYLOAD_SECTION, RECORD_SECTION, SECTION_HEADER_BYTES, SNAPSHOT_MAGIC,
    SNAPSHOT_VERSION,
    records::{Header, Record, claim_payload, file_payloads, job_payloads},
    writer::{checksum, references},
};
use crate::{
    configuration::{Changes, Configuration, ConfigurationState},
    job::JobNumber,
    ledger::{Ledger, State},
    scheduler::{ModelTimes, Scheduler},
};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 256 * 1024;

/// Stage of reading the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Start,
    State,
    Payloads,
    Ended,
}

/// Opens the payload store of the restored ledger as of a checkpoint: the checkpoint in the
/// snapshot if the snapshot is this member's own, the default if the snapshot includes its
/// payloads.
pub type OpenPayloads =
    Box<dyn FnOnce(PayloadMark) -> Result<Box<dyn Payloads + Send>, Report<ErrorKind>> + Send>;

/// Restores a ledger from a stream. Bytes may arrive in pieces of any size.
///
/// A partially read snapshot is never visible: [`Restorer::finish`] returns the ledger only
/// after a complete stream.
pub struct Restorer {
    open: Option<OpenPayloads>,
    ledger: Ledger,
    configuration: ConfigurationState,
    changes: Changes,
    times: Vec<ModelTimes>,
    with_payloads: bool,
    stored_payloads: Vec<PayloadRef>,
    buffer: VecDeque<u8>,
    stage: Stage,
}

impl std::fmt::Debug for Restorer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Restorer")
            .field("stage", &self.stage)
            .finish_non_exhaustive()
    }
}

fn corrupted(message: impl Into<String>) -> Report<ErrorKind> {
    Report::new(ErrorKind::Corrupted).attach(message.into())
}

/// The failure for a record that this build cannot read. Its checksum was verified, so it is not
/// damaged.
fn written_by_another_build(report: &Report<ErrorKind>) -> Report<ErrorKind> {
    Report::new(ErrorKind::DataFolderRefused).attach(format!(
        "a record of the snapshot is intact, but written by another build: this one reads formats {} \
         to {} ({report})",
        Format::OLDEST,
        Format::NEWEST
    ))
}

/// The failure for a section of a kind that this build does not know.
fn unknown_section(kind: u8) -> Report<ErrorKind> {
    Report::new(ErrorKind::DataFolderRefused).attach(format!(
        "the snapshot has a section of kind {kind}, which this build does not know"
    ))
}

impl Restorer {
    /// Starts a restore. The payload store is opened once the snapshot's header was read.
    #[must_use]
    pub fn new(open: OpenPayloads) -> Self {
        Restorer {
            open: Some(open),
            ledger: Ledger::new(Box::new(MemoryPayloads::new())),
            configuration: ConfigurationState::default(),
            changes: Changes::default(),
            times: Vec::new(),
            with_payloads: false,
            stored_payloads: Vec::new(),
            buffer: VecDeque::new(),
            stage: Stage::Start,
        }
    }

    /// Processes the next bytes of the stream.
    ///
    /// # Errors
    /// Errors of opening the payload store, `Corrupted` if the stream is damaged or is not a
    /// snapshot of a ledger, `DataFolderRefused` for another format version, `StorageFull` or
    /// `Io` of the payload store.
    pub fn push(&mut self, data: &[u8]) -> Result<(), Report<ErrorKind>> {
        self.buffer.extend(data);
        while let Some((kind, section)) = self.next_section()? {
            match kind {
                RECORD_SECTION => {
                    let record = frame::decode(&section);
                    self.apply_record(record.map_err(|report| written_by_another_build(&report))?)?;
                }
                PAYLOAD_SECTION => self.apply_payload(&section)?,
                other => return Err(unknown_section(other)),
            }
        }
        Ok(())
    }

    /// The next section, if it has arrived completely.
    fn next_section(&mut self) -> Result<Option<(u8, Vec<u8>)>, Report<ErrorKind>> {
        if self.buffer.len() < SECTION_HEADER_BYTES {
            return Ok(None);
        }
        let mut header = [0; SECTION_HEADER_BYTES];
        for (target, byte) in header.iter_mut().zip(&self.buffer) {
            *target = *byte;
        }
        let [kind, a, b, c, d, e, f, g, h] = header;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MAX_SECTION_BYTES {
            return Err(corrupted(format!("section of {length} bytes is too long")));
        }
        if self.buffer.len() < SECTION_HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.drain(..SECTION_HEADER_BYTES);
        let section: Vec<u8> = self.buffer.drain(..length).collect();
        if checksum(kind, &section) != u32::from_le_bytes([e, f, g, h]) {
            return Err(corrupted("section checksum mismatch"));
        }
        Ok(Some((kind, section)))
    }

    fn apply_record(&mut self, record: Record) -> Result<(), Report<ErrorKind>> {
        match (self.stage, record) {
            (Stage::Start, Record::Header(header)) => self.apply_header(&header),
            (Stage::State, Record::EndOfState) => {
                self.stage = Stage::Payloads;
                Ok(())
            }
            (Stage::State, record) => self.apply_state(record),
            (Stage::Payloads, Record::End { payloads }) => self.apply_end(payloads),
            (stage, _) => Err(corrupted(format!("unexpected record in stage {stage:?}"))),
        }
    }

    fn apply_header(&mut self, header: &Header) -> Result<(), Report<ErrorKind>> {
        if header.magic != SNAPSHOT_MAGIC {
            return Err(corrupted("not a snapshot of a ledger"));
        }
        if header.version != SNAPSHOT_VERSION {
            let message = format!(
                "unsupported snapshot version {}, expected {SNAPSHOT_VERSION}",
                header.version
            );
            return Err(Report::new(ErrorKind::DataFolderRefused).attach(message));
        }
        self.with_payloads = header.with_payloads;
        if let Some(open) = self.open.take() {
            self.ledger.payloads = open(header.mark)?;
        }
        self.ledger.state = State {
            applied: header.applied,
            now: header.now,
            next_job: header.next_job,
            last_lease: header.last_lease,
            last_session: header.last_session,
            dropped_results: header.dropped_results,
            ..State::default()
        };
        self.stage = Stage::State;
        Ok(())
    }

    fn apply_state(&mut self, record: Record) -> Result<(), Report<ErrorKind>> {
        let ledger = &mut self.ledger;
        match record {
            Record::Configuration { revision, content } => {
                self.configuration.revision = revision;
                self.configuration.content = Arc::from(content);
            }
            Record::Delta(delta) => self.configuration.deltas.push_back(Arc::new(delta)),
            Record::Change(id, change) => {
                self.changes.order.push_back(id.clone());
                self.changes.records.insert(id, change);
            }
            Record::File(id, file) => {
                ledger.state.files.insert(id, Arc::new(file.restore()?));
            }
            Record::Job(number, job) => {
                let job = Arc::new(job.restore()?);
                ledger.state.jobs.insert(JobNumber(number), job);
            }
            Record::Starts(number, starts) => {
                let job = ledger.state.jobs.get_mut(&JobNumber(number));
                let job = job.ok_or_else(|| corrupted("starts of an unknown job"))?;
                let job = Arc::make_mut(job);
                starts.into_iter().for_each(|start| start.restore(job));
            }
            Record::Claims(claims) => {
                for (key, claim) in claims {
                    ledger.state.claims.insert(key, claim);
                }
            }
            Record::Session(gateway, session) => {
                ledger
                    .sessions
                    .by_gateway
                    .insert(gateway, session.restore());
            }
            Record::LastToken(token) => ledger.orders.last_token = token,
            Record::Order(replica, order) => {
                ledger.orders.open.insert(replica, order);
            }
            Record::Times(times) => self.times.push(times),
            Record::Header(_) | Record::EndOfState | Record::End { .. } => {
                return Err(corrupted("unexpected record in the state"));
            }
        }
        Ok(())
    }

    fn apply_payload(&mut self, data: &[u8]) -> Result<(), Report<ErrorKind>> {
        if self.stage != Stage::Payloads || !self.with_payloads {
            return Err(corrupted("unexpected payload section"));
        }
        self.stored_payloads
            .push(self.ledger.payloads.append(data)?);
        Ok(())
    }

    fn apply_end(&mut self, payloads: u64) -> Result<(), Report<ErrorKind>> {
        if payloads != self.stored_payloads.len() as u64 {
            return Err(corrupted(
                "the number of payloads differs from the end record",
            ));
        }
        if self.with_payloads {
            self.replace_references()?;
        } else {
            self.adopt_payloads()?;
        }
        self.stage = Stage::Ended;
        Ok(())
    }

    /// Replaces the sender's payload references by those of this member.
    fn replace_references(&mut self) -> Result<(), Report<ErrorKind>> {
        let state = &mut self.ledger.state;
        let files = state
            .files
            .values_mut()
            .map(Arc::make_mut)
            .flat_map(file_payloads);
        let jobs = state
            .jobs
            .values_mut()
            .map(Arc::make_mut)
            .flat_map(job_payloads);
        let claims = state
            .claims
            .iter_mut()
            .filter_map(|(_, claim)| claim_payload(claim));
        let mut stored = self.stored_payloads.iter();
        for reference in files.chain(jobs).chain(claims) {
            let payload = stored
                .next()
                .ok_or_else(|| corrupted("fewer payloads than references"))?;
            if payload.length != reference.length {
                return Err(corrupted(
                    "the length of a payload differs from its reference",
                ));
            }
            *reference = *payload;
        }
        if stored.next().is_some() {
            return Err(corrupted("more payloads than references"));
        }
        Ok(())
    }

    /// Registers every payload of the state with the payload store, which already contains it.
    fn adopt_payloads(&mut self) -> Result<(), Report<ErrorKind>> {
        for payload in references(&self.ledger.state) {
            self.ledger.payloads.mark_live(&payload)?;
        }
        Ok(())
    }

    /// Returns the ledger after the complete stream.
    ///
    /// # Errors
    /// `Corrupted` when the stream is truncated or has bytes after its end.
    pub fn finish(mut self) -> Result<Ledger, Report<ErrorKind>> {
        if self.stage != Stage::Ended || !self.buffer.is_empty() {
            return Err(corrupted(
                "the snapshot is truncated or has bytes after its end",
            ));
        }
        self.configuration.changes = Arc::new(self.changes);
        self.ledger.configuration = Configuration::from_state(self.configuration);
        self.ledger.scheduler = Scheduler::with_times(self.times);
        self.ledger.rebuild_indexes();
        Ok(self.ledger)
    }
}

impl Ledger {
    /// Restores a ledger from a complete snapshot.
    ///
    /// # Errors
    /// Errors of [`Restorer::push`] and [`Restorer::finish`], and `Io` of the reader.
    pub fn restore(open: OpenPayloads, reader: &mut dyn Read) -> Result<Ledger, Report<ErrorKind>> {
        let mut restorer = Restorer::new(open);
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let read = reader
                .read(&mut buffer)
                .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))?;
            if read == 0 {
                return restorer.finish();
            }
            restorer.push(&buffer[..read])?;
        }
    }
}
