//! Compares random sequences of log operations and crashes with an in-memory model.

use linnethitch_protocol::{
    consensus::{Entry, HardState},
    ids::{LogIndex, Term},
};
use linnethitch_storage::{Log, VirtualDisk, log::record};
use proptest::prelude::*;

use crate::support::{LIMITS, all_entries, entry, files, hard_state, intact, open};

/// The expected state of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ExpectedState {
    entries: Vec<Entry>,
    hard_state: HardState,
}

#[derive(Clone, Debug)]
enum Step {
    Append(u8),
    Truncate(u8),
    SetHardState(u8),
    Compact(u8),
    Sync,
    Crash,
    StopProcess,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (1..6u8).prop_map(Step::Append),
        2 => any::<u8>().prop_map(Step::Truncate),
        2 => any::<u8>().prop_map(Step::SetHardState),
        1 => any::<u8>().prop_map(Step::Compact),
        4 => Just(Step::Sync),
        1 => Just(Step::Crash),
        1 => Just(Step::StopProcess),
    ];
    prop::collection::vec(step, 1..80)
}

/// A log and its model.
struct ModelTest {
    disk: VirtualDisk,
    log: Log,
    compacted: u64,
    term: u64,
    current: ExpectedState,
    synced: ExpectedState,
}

impl ModelTest {
    fn new(seed: u64) -> Self {
        let disk = VirtualDisk::new(seed);
        let log = Log::create(files(&disk), LIMITS).unwrap();
        ModelTest {
            disk,
            log,
            compacted: 0,
            term: 1,
            current: ExpectedState::default(),
            synced: ExpectedState::default(),
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Append(count) => self.append(*count),
            Step::Truncate(choice) => self.truncate(*choice),
            Step::SetHardState(term) => {
                self.current.hard_state = hard_state(u64::from(*term), 0);
                self.log.set_hard_state(&self.current.hard_state).unwrap();
            }
            Step::Compact(choice) => self.compact(*choice),
            Step::Sync => {
                self.log.sync().unwrap();
                self.synced = self.current.clone();
            }
            Step::Crash => {
                self.disk.crash();
                self.reopen();
            }
            Step::StopProcess => {
                self.disk.stop_process();
                self.reopen();
            }
        }
    }

    fn append(&mut self, count: u8) {
        for _ in 0..count {
            let next = entry(self.current.entries.len() as u64 + 1, self.term);
            self.log.append(std::slice::from_ref(&next)).unwrap();
            self.current.entries.push(next);
        }
    }

    fn truncate(&mut self, choice: u8) {
        let length = self.current.entries.len() as u64;
        let index = self.compacted + u64::from(choice) % (length - self.compacted + 1);
        self.log.truncate_after(LogIndex(index)).unwrap();
        self.current.entries.truncate(index as usize);
        self.term += 1;
    }

    fn compact(&mut self, choice: u8) {
        let synced = self.log.synced_index().0;
        let index = self.compacted + u64::from(choice) % (synced - self.compacted + 1);
        let term = self.log.term(LogIndex(index)).unwrap();
        self.log.compact_to(LogIndex(index), term).unwrap();
        self.compacted = index;
    }

    fn reopen(&mut self) {
        self.log = intact(open(&self.disk));
        let compacted = LogIndex(self.compacted);
        let term = self
            .log
            .term(compacted)
            .expect("the term of the last compacted entry is still known");
        self.log.compact_to(compacted, term).unwrap();
        // Nothing is written between syncs, so a crash restores the state of the last sync.
        self.current = self.synced.clone();
    }

    fn check(&self) {
        let entries = all_entries(&self.log);
        assert_eq!(entries, self.current.entries[self.compacted as usize..]);
        assert_eq!(*self.log.hard_state(), self.current.hard_state);
        for entry in &entries {
            assert_eq!(self.log.term(entry.index), Some(entry.term));
        }
        assert_eq!(self.log.term(LogIndex(self.log.last_index().0 + 1)), None);
        assert!(self.compacted == 0 || self.log.term(LogIndex(self.compacted)) > Some(Term(0)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_log_matches_its_model(seed: u64, steps in steps()) {
        let mut test = ModelTest::new(seed);
        for step in &steps {
            test.step(step);
            test.check();
        }
    }

    #[test]
    fn parsing_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = record::parse_record(&bytes);
        let _ = record::parse_entry(&bytes);
        let _ = record::parse_batch_header(&bytes, 0, 1);
    }

    #[test]
    fn a_changed_record_is_refused(length in 0usize..200, at: usize, change in 1..=255u8) {
        let mut body = Vec::new();
        let payload = linnethitch_protocol::consensus::EntryPayload::Command(vec![7; length]);
        record::push_entry(&mut body, LogIndex(3), Term(2), &payload).unwrap();
        let position = at % body.len();
        body[position] ^= change;
        prop_assert!(record::parse_entry(&body).is_err());
    }

    #[test]
    fn opening_a_log_with_arbitrary_bytes_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..2000),
        preserved_bytes in 0usize..200,
    ) {
        let disk = VirtualDisk::new(0);
        drop(crate::support::log_with(&disk, 3));
        let path = disk.files().pop().unwrap();
        disk.damage(&path, |content| {
            content.truncate(preserved_bytes);
            content.extend_from_slice(&bytes);
        });
        let _ = open(&disk);
    }
}
