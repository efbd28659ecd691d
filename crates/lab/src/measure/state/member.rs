//! One member's state machine with its real log and payload store, timed.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_ledger::Ledger;
use linnethitch_protocol::{
    command::{Command, CommandBody, Outcome},
    consensus::{Entry, EntryPayload},
    frame,
    ids::{LogIndex, Term, Timestamp},
    query::{Query, QueryAnswer},
};
use linnethitch_storage::{
    FileSystem, Log, LogLimits, PayloadLimits, PayloadMark, PayloadStore, RealFileSystem,
};
use serde::Serialize;

/// Bytes of the log that are synced together, about as much as a busy leader groups.
const SYNC_BYTES: u64 = 1024 * 1024;
/// The time of the first command, in milliseconds.
const START_MS: u64 = 1_000_000;

/// Costs of commands.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Costs {
    /// Commands applied.
    pub(super) commands: u64,
    /// Seconds of encoding and decoding them.
    pub(super) encode_seconds: f64,
    /// Seconds of appending them to the log and syncing it.
    pub(super) log_seconds: f64,
    /// Seconds of applying them.
    pub(super) apply_seconds: f64,
    /// Seconds of fetching the payloads of the answers.
    pub(super) answer_seconds: f64,
    /// The longest apply of one command, in seconds.
    pub(super) longest_apply_seconds: f64,
    /// Bytes of the commands.
    pub(super) command_bytes: u64,
}

impl Costs {
    /// Seconds of all steps.
    pub(super) fn seconds(&self) -> f64 {
        self.encode_seconds + self.log_seconds + self.apply_seconds + self.answer_seconds
    }
}

/// A member without a network.
pub(super) struct MeasuredMember {
    pub(super) ledger: Ledger,
    log: Option<Log>,
    index: u64,
    now_ms: u64,
    unsynced_bytes: u64,
    costs: Costs,
}

impl MeasuredMember {
    /// Creates a member that stores its payloads in this folder, with or without a log.
    pub(super) fn new(folder: &Path, with_log: bool) -> Result<Self, Report<ErrorKind>> {
        let file_system: Arc<dyn FileSystem> = Arc::new(RealFileSystem::new(folder)?);
        let log = match with_log {
            true => Some(Log::create(Arc::clone(&file_system), LogLimits::default())?),
            false => None,
        };
        Ok(MeasuredMember {
            ledger: Ledger::new(Box::new(open_payloads(
                file_system,
                PayloadMark::default(),
            )?)),
            log,
            index: 0,
            now_ms: START_MS,
            unsynced_bytes: 0,
            costs: Costs::default(),
        })
    }

    /// The costs since the last call.
    pub(super) fn take_costs(&mut self) -> Costs {
        std::mem::take(&mut self.costs)
    }

    /// The time of the next command.
    pub(super) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Advances the time of the next command.
    pub(super) fn advance(&mut self, by: Duration) {
        self.now_ms += by.as_millis() as u64;
    }

    /// Runs a command with all the work of a leader that answers it.
    ///
    /// # Errors
    /// Those of log and payload store; `Internal` with the refusal when it is refused.
    pub(super) fn run(&mut self, body: CommandBody) -> Result<Outcome, Report<ErrorKind>> {
        let command = Command {
            now: Timestamp(self.now_ms),
            body,
        };
        self.index += 1;
        let index = LogIndex(self.index);
        let started = Instant::now();
        let bytes = frame::encode(&command)?.into_vec();
        let command: Command = frame::decode(&bytes)?;
        self.costs.encode_seconds += started.elapsed().as_secs_f64();
        self.costs.command_bytes += bytes.len() as u64;
        self.append(index, bytes)?;
        let started = Instant::now();
        let answer = self.ledger.apply(index, &command)?;
        let seconds = started.elapsed().as_secs_f64();
        self.costs.apply_seconds += seconds;
        self.costs.longest_apply_seconds = self.costs.longest_apply_seconds.max(seconds);
        self.costs.commands += 1;
        let started = Instant::now();
        let outcome = self.ledger.outcome(answer)?;
        self.costs.answer_seconds += started.elapsed().as_secs_f64();
        match outcome {
            Outcome::Refused(refusal) => {
                Err(Report::new(ErrorKind::Internal).attach(refusal.message))
            }
            outcome => Ok(outcome),
        }
    }

    fn append(&mut self, index: LogIndex, bytes: Vec<u8>) -> Result<(), Report<ErrorKind>> {
        let Some(log) = &mut self.log else {
            return Ok(());
        };
        let started = Instant::now();
        self.unsynced_bytes += bytes.len() as u64;
        let entry = Entry {
            term: Term(1),
            index,
            payload: EntryPayload::Command(bytes),
        };
        log.append(&[entry])?;
        if self.unsynced_bytes >= SYNC_BYTES {
            log.sync()?;
            self.unsynced_bytes = 0;
        }
        self.costs.log_seconds += started.elapsed().as_secs_f64();
        Ok(())
    }

    /// Syncs the entries appended to the log, as before an acknowledgement.
    pub(super) fn sync(&mut self) -> Result<(), Report<ErrorKind>> {
        let Some(log) = &mut self.log else {
            return Ok(());
        };
        let started = Instant::now();
        log.sync()?;
        self.unsynced_bytes = 0;
        self.costs.log_seconds += started.elapsed().as_secs_f64();
        Ok(())
    }

    /// Answers a query as for a caller; also returns the seconds that it took.
    pub(super) fn query(&self, query: &Query) -> Result<(QueryAnswer, f64), Report<ErrorKind>> {
        let started = Instant::now();
        let answer = self
            .ledger
            .query(query)
            .map_err(|refusal| Report::new(refusal.kind()).attach(refusal.message))?;
        Ok((answer, started.elapsed().as_secs_f64()))
    }
}

/// The payload store of a data folder.
pub(super) fn open_payloads(
    file_system: Arc<dyn FileSystem>,
    mark: PayloadMark,
) -> Result<PayloadStore, Report<ErrorKind>> {
    PayloadStore::open(file_system, PayloadLimits::default(), mark)
}
