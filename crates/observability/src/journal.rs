//! The decision journal: the decisions of a process, their reasons, and the alternatives that
//! were considered.
//!
//! Records are JSON lines in segment files of the data folder. A thread writes the records;
//! callers only put a record into a bounded queue and never wait. When the queue is full, the
//! record is dropped and counted. Records are not synced: the journal serves explanations, and
//! no guarantee depends on it.

mod record;
mod segments;

use std::{
    io,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use parking_lot::Mutex;

pub use record::{Considered, DecisionKind, JournalRecord, Subject};
use segments::SegmentWriter;
pub use segments::{MAX_FOUND_RECORDS, lookup_in};

/// Maximum number of records that wait for the writer.
const QUEUE_RECORDS: usize = 8_192;
/// Maximum time that a record stays in the writer's buffer.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Name of the journal folder in the data folder.
const FOLDER: &str = "journal";

/// Numbers of records that did not reach the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalLosses {
    /// Dropped because the queue was full.
    pub dropped: u64,
    /// Lost because a file could not be written.
    pub failed: u64,
}

#[derive(Default)]
struct Counters {
    dropped: AtomicU64,
    failed: AtomicU64,
}

enum Message {
    Record(Box<JournalRecord>),
    Flush(SyncSender<()>),
}

/// The journal of one process. Clones share it; dropping the last clone writes the queued
/// records.
#[derive(Clone)]
pub struct Journal {
    shared: Arc<Shared>,
}

struct Shared {
    /// `None` for a disabled journal.
    folder: Option<PathBuf>,
    queue: Mutex<Option<SyncSender<Message>>>,
    writer: Mutex<Option<JoinHandle<()>>>,
    counters: Arc<Counters>,
}

impl Journal {
    /// Opens the journal in a data folder and starts its writer. The oldest segments are removed
    /// to keep the total size within `max_bytes`.
    ///
    /// # Errors
    /// When the folder cannot be created or read.
    pub fn open(data_dir: &Path, max_bytes: u64) -> io::Result<Self> {
        let folder = data_dir.join(FOLDER);
        let segments = SegmentWriter::open(&folder, max_bytes)?;
        let counters = Arc::new(Counters::default());
        let (queue, records) = sync_channel(QUEUE_RECORDS);
        let writer_counters = Arc::clone(&counters);
        let writer = thread::Builder::new()
            .name("journal-writer".to_owned())
            .spawn(move || write_records(&records, segments, &writer_counters))?;
        Ok(Journal {
            shared: Arc::new(Shared {
                folder: Some(folder),
                queue: Mutex::new(Some(queue)),
                writer: Mutex::new(Some(writer)),
                counters,
            }),
        })
    }

    /// A journal that discards all records, for processes without a data folder.
    #[must_use]
    pub fn disabled() -> Self {
        Journal {
            shared: Arc::new(Shared {
                folder: None,
                queue: Mutex::new(None),
                writer: Mutex::new(None),
                counters: Arc::new(Counters::default()),
            }),
        }
    }

    /// Queues a record; never waits.
    pub fn record(&self, record: JournalRecord) {
        let queue = self.shared.queue.lock();
        let Some(queue) = queue.as_ref() else {
            return;
        };
        if queue.try_send(Message::Record(Box::new(record))).is_err() {
            self.shared.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all records queued so far are written to the files, without syncing them.
    pub fn flush(&self) {
        let (done, flushed) = sync_channel(1);
        let queue = self.shared.queue.lock().clone();
        let sent = queue.is_some_and(|queue| queue.send(Message::Flush(done)).is_ok());
        if sent {
            // The writer drops the sender when it ends, so an error also means that the flush is over.
            let _ = flushed.recv();
        }
    }

    /// Records about a request, job, replica or tenant, oldest first; the
    /// newest [`MAX_FOUND_RECORDS`] if there are more. Reads the files, so it must
    /// not be called on the request path.
    ///
    /// # Errors
    /// When a segment cannot be read.
    pub fn lookup(&self, id: &str) -> io::Result<Vec<JournalRecord>> {
        let Some(folder) = &self.shared.folder else {
            return Ok(Vec::new());
        };
        self.flush();
        lookup_in(folder, id)
    }

    /// The numbers of records lost since the start of the process.
    #[must_use]
    pub fn losses(&self) -> JournalLosses {
        JournalLosses {
            dropped: self.shared.counters.dropped.load(Ordering::Relaxed),
            failed: self.shared.counters.failed.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.queue.lock().take();
        if let Some(writer) = self.writer.lock().take() {
            // A writer that panicked cannot write any more records.
            let _ = writer.join();
        }
    }
}

fn write_records(records: &Receiver<Message>, mut segments: SegmentWriter, counters: &Counters) {
    let count_failure = |result: io::Result<()>| {
        if result.is_err() {
            counters.failed.fetch_add(1, Ordering::Relaxed);
        }
    };
    let mut flush_at = Instant::now() + FLUSH_INTERVAL;
    loop {
        let until_flush = flush_at.saturating_duration_since(Instant::now());
        match records.recv_timeout(until_flush) {
            Ok(Message::Record(record)) => count_failure(segments.append(&record)),
            Ok(Message::Flush(done)) => {
                count_failure(segments.flush());
                // The caller of `flush` may have ended.
                let _ = done.send(());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                count_failure(segments.flush());
                return;
            }
        }
        if Instant::now() >= flush_at {
            count_failure(segments.flush());
            flush_at = Instant::now() + FLUSH_INTERVAL;
        }
    }
}
