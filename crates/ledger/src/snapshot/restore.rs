//! Building a ledger from a snapshot.

use std::{collections::VecDeque, io::Read, sync::Arc};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::frame;
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

/// Bytes read at once from a reader.
const READ_BYTES: usize = 256 * 1024;

/// Where the stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Start,
    State,
    Payloads,
    Ended,
}

/// Opens the payload store of the ledger to be, as of a checkpoint: that of the
/// snapshot if it is this member's own, the default if it brings its payloads.
pub type OpenPayloads =
    Box<dyn FnOnce(PayloadMark) -> Result<Box<dyn Payloads + Send>, Report<ErrorKind>> + Send>;

/// A ledger in the making. Bytes may arrive in pieces of any size.
///
/// Nothing of a half-read snapshot is ever visible: the ledger comes out of
/// [`Restorer::finish`] once the stream has ended as it should.
pub struct Restorer {
    open: Option<OpenPayloads>,
    ledger: Ledger,
    configuration: ConfigurationState,
    changes: Changes,
    times: Vec<ModelTimes>,
    with_payloads: bool,
    stored: Vec<PayloadRef>,
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

fn damaged(message: impl Into<String>) -> Report<ErrorKind> {
    Report::new(ErrorKind::Corrupted).attach(message.into())
}

impl Restorer {
    /// Begins; the payload store is opened once the snapshot has told how.
    #[must_use]
    pub fn new(open: OpenPayloads) -> Self {
        Restorer {
            open: Some(open),
            ledger: Ledger::new(Box::new(MemoryPayloads::new())),
            configuration: ConfigurationState::default(),
            changes: Changes::default(),
            times: Vec::new(),
            with_payloads: false,
            stored: Vec::new(),
            buffer: VecDeque::new(),
            stage: Stage::Start,
        }
    }

    /// Takes the next bytes of the stream.
    ///
    /// # Errors
    /// Those of opening the payload store, and
    /// `Corrupted` for a damaged or foreign stream, `DataFolderRefused` for
    /// one of another format version, `StorageFull` or `Io` of the payload store.
    pub fn push(&mut self, data: &[u8]) -> Result<(), Report<ErrorKind>> {
        self.buffer.extend(data);
        while let Some((kind, section)) = self.next_section()? {
            match kind {
                RECORD_SECTION => {
                    self.take_record(frame::decode(&section).map_err(|report| {
                        damaged(format!("a record of the snapshot: {report:?}"))
                    })?)?
                }
                PAYLOAD_SECTION => self.take_payload(&section)?,
                other => return Err(damaged(format!("a section of kind {other}"))),
            }
        }
        Ok(())
    }

    /// The next whole section, if it has arrived.
    fn next_section(&mut self) -> Result<Option<(u8, Vec<u8>)>, Report<ErrorKind>> {
        if self.buffer.len() < SECTION_HEADER_BYTES {
            return Ok(None);
        }
        let mut header = [0; SECTION_HEADER_BYTES];
        for (place, byte) in header.iter_mut().zip(&self.buffer) {
            *place = *byte;
        }
        let [kind, a, b, c, d, e, f, g, h] = header;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MAX_SECTION_BYTES {
            return Err(damaged(format!("a section of {length} bytes")));
        }
        if self.buffer.len() < SECTION_HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.drain(..SECTION_HEADER_BYTES);
        let section: Vec<u8> = self.buffer.drain(..length).collect();
        if checksum(kind, &section) != u32::from_le_bytes([e, f, g, h]) {
            return Err(damaged("the checksum of a section differs"));
        }
        Ok(Some((kind, section)))
    }

    fn take_record(&mut self, record: Record) -> Result<(), Report<ErrorKind>> {
        match (self.stage, record) {
            (Stage::Start, Record::Header(header)) => self.take_header(&header),
            (Stage::State, Record::EndOfState) => {
                self.stage = Stage::Payloads;
                Ok(())
            }
            (Stage::State, record) => self.take_state(record),
            (Stage::Payloads, Record::End { payloads }) => self.take_end(payloads),
            (stage, _) => Err(damaged(format!("a record out of place in stage {stage:?}"))),
        }
    }

    fn take_header(&mut self, header: &Header) -> Result<(), Report<ErrorKind>> {
        if header.magic != SNAPSHOT_MAGIC {
            return Err(damaged("not a snapshot of a ledger"));
        }
        if header.version != SNAPSHOT_VERSION {
            let message = format!(
                "snapshot version {}, not {SNAPSHOT_VERSION}",
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

    fn take_state(&mut self, record: Record) -> Result<(), Report<ErrorKind>> {
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
                return Err(damaged("a record out of place"));
            }
        }
        Ok(())
    }

    fn take_payload(&mut self, data: &[u8]) -> Result<(), Report<ErrorKind>> {
        if self.stage != Stage::Payloads || !self.with_payloads {
            return Err(damaged("a payload out of place"));
        }
        self.stored.push(self.ledger.payloads.append(data)?);
        Ok(())
    }

    fn take_end(&mut self, payloads: u64) -> Result<(), Report<ErrorKind>> {
        if payloads != self.stored.len() as u64 {
            return Err(damaged("payloads of the snapshot are missing"));
        }
        if self.with_payloads {
            self.place_payloads()?;
        } else {
            self.adopt_payloads()?;
        }
        self.stage = Stage::Ended;
        Ok(())
    }

    /// Puts this member's references in the place of the sender's.
    fn place_payloads(&mut self) -> Result<(), Report<ErrorKind>> {
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
        let mut stored = self.stored.iter();
        for place in files.chain(jobs).chain(claims) {
            let payload = stored
                .next()
                .ok_or_else(|| damaged("a payload is missing"))?;
            if payload.length != place.length {
                return Err(damaged("a payload of another length"));
            }
            *place = *payload;
        }
        if stored.next().is_some() {
            return Err(damaged("a payload that nothing names"));
        }
        Ok(())
    }

    /// Names every payload of the state to the store that holds it already.
    fn adopt_payloads(&mut self) -> Result<(), Report<ErrorKind>> {
        for payload in references(&self.ledger.state) {
            self.ledger.payloads.adopt(&payload)?;
        }
        Ok(())
    }

    /// The ledger, once the whole stream has arrived.
    ///
    /// # Errors
    /// `Corrupted` when the stream is cut short or more follows its end.
    pub fn finish(mut self) -> Result<Ledger, Report<ErrorKind>> {
        if self.stage != Stage::Ended || !self.buffer.is_empty() {
            return Err(damaged("the snapshot is cut short"));
        }
        self.configuration.changes = Arc::new(self.changes);
        self.ledger.configuration = Configuration::from_state(self.configuration);
        self.ledger.scheduler = Scheduler::with_times(self.times);
        self.ledger.rebuild_indexes();
        Ok(self.ledger)
    }
}

impl Ledger {
    /// Restores a ledger from a whole snapshot.
    ///
    /// # Errors
    /// Those of [`Restorer::push`] and [`Restorer::finish`], and `Io` of the reader.
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
