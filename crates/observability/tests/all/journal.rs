//! The journal stores decisions within its size limit and finds them by id.

use std::{fs, path::Path, thread, time::Duration};

use linnethitch_observability::journal::{
    Considered, DecisionKind, Journal, JournalRecord, MAX_FOUND_RECORDS, Subject, lookup_in,
};
use rstest::rstest;

const MAX_BYTES: u64 = 1024 * 1024;

fn choice(time_ms: u64, request: &str, replica: &str) -> JournalRecord {
    JournalRecord::new(
        time_ms,
        DecisionKind::Choice,
        Subject::request(request).on_replica(replica),
        "lowest_wait",
    )
    .with_outcome(replica)
    .with_considered(vec![
        Considered {
            replica: replica.to_owned(),
            score: Some(1.5),
            excluded: "".into(),
        },
        Considered {
            replica: "engine-9".to_owned(),
            score: None,
            excluded: "leaving".into(),
        },
    ])
}

fn folder_bytes(folder: &Path) -> u64 {
    fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().metadata().unwrap().len())
        .sum()
}

#[test]
fn a_record_is_found_by_its_ids_also_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(folder.path(), MAX_BYTES).unwrap();
    let record = choice(7, "req_1", "engine-1");
    journal.record(record.clone());
    journal.record(choice(8, "req_11", "engine-2"));
    assert_eq!(
        journal.lookup("req_1").unwrap(),
        std::slice::from_ref(&record)
    );
    drop(journal);
    let journal = Journal::open(folder.path(), MAX_BYTES).unwrap();
    journal.record(choice(9, "req_2", "engine-1"));
    assert_eq!(journal.lookup("req_1").unwrap(), [record]);
    let times: Vec<u64> = journal
        .lookup("engine-1")
        .unwrap()
        .iter()
        .map(|record| record.time_ms)
        .collect();
    assert_eq!(times, [7, 9]);
}

/// A record must be written after the flush interval even while other records keep arriving.
/// The test sends too few records to fill the writer's buffer, which would also write them.
#[test]
fn a_record_is_written_while_others_arrive() {
    const RECORDS: u64 = 40;
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(folder.path(), MAX_BYTES).unwrap();
    let files = folder.path().join("journal");
    let is_written = (0..RECORDS).any(|number| {
        let subject = Subject::request(format!("req_{number}"));
        let record = JournalRecord::new(number, DecisionKind::Choice, subject, "lowest_wait");
        journal.record(record);
        thread::sleep(Duration::from_millis(50));
        !lookup_in(&files, "req_0").unwrap().is_empty()
    });
    assert!(is_written);
}

#[rstest]
#[case::job("batch_1", 2)]
#[case::item("batch_1/17", 1)]
#[case::other_item("batch_1/1", 0)]
#[case::prefix_of_an_id("batch_", 0)]
#[case::revision("42", 1)]
#[case::tenant("acme", 1)]
fn items_revisions_and_tenants_are_found(#[case] id: &str, #[case] expected: usize) {
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(folder.path(), MAX_BYTES).unwrap();
    let subjects = [
        Subject::job("batch_1").of_tenant("acme"),
        Subject::item("batch_1", 17),
        Subject::revision(42),
    ];
    for subject in subjects {
        journal.record(JournalRecord::new(1, DecisionKind::Lease, subject, "idle"));
    }
    assert_eq!(journal.lookup(id).unwrap().len(), expected);
}

#[test]
fn the_journal_stays_within_its_size_and_removes_the_oldest_records() {
    const SMALL_MAX_BYTES: u64 = 64 * 1024;
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(folder.path(), SMALL_MAX_BYTES).unwrap();
    for number in 0..2_000 {
        journal.record(choice(number, &format!("req_{number}"), "engine-1"));
        if number % 500 == 0 {
            journal.flush();
        }
    }
    journal.flush();
    assert!(folder_bytes(&folder.path().join("journal")) <= SMALL_MAX_BYTES);
    assert_eq!(journal.lookup("req_0").unwrap(), []);
    assert_eq!(journal.lookup("req_1999").unwrap().len(), 1);
    assert_eq!(journal.losses().failed, 0);
}

#[test]
fn a_lookup_returns_the_newest_of_many() {
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(folder.path(), 16 * MAX_BYTES).unwrap();
    let count = MAX_FOUND_RECORDS as u64 + 10;
    for time_ms in 0..count {
        journal.record(choice(time_ms, "req_1", "engine-1"));
    }
    let found = journal.lookup("req_1").unwrap();
    assert_eq!(found.len(), MAX_FOUND_RECORDS);
    assert_eq!(found.last().unwrap().time_ms, count - 1);
}

#[test]
fn torn_and_unrecognized_lines_are_skipped() {
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(folder.path(), MAX_BYTES).unwrap();
    journal.record(choice(7, "req_1", "engine-1"));
    drop(journal);
    let segments = folder.path().join("journal");
    let segment = fs::read_dir(&segments)
        .unwrap()
        .next()
        .unwrap()
        .unwrap()
        .path();
    let mut text = fs::read_to_string(&segment).unwrap();
    text.push_str("{\"foreign\":\"req_1\"}\n{\"time_ms\":8,\"request\":\"req_1\",\"ki");
    fs::write(&segment, text).unwrap();
    fs::write(segments.join("decisions-x.jsonl"), "req_1").unwrap();
    assert_eq!(lookup_in(&segments, "req_1").unwrap().len(), 1);
}

#[test]
fn records_that_cannot_be_written_are_counted() {
    let folder = tempfile::tempdir().unwrap();
    let journal = Journal::open(folder.path(), MAX_BYTES).unwrap();
    fs::remove_dir(folder.path().join("journal")).unwrap();
    journal.record(choice(7, "req_1", "engine-1"));
    journal.flush();
    assert_eq!(journal.losses().failed, 1);
}

#[test]
fn a_disabled_journal_stores_nothing() {
    let journal = Journal::disabled();
    journal.record(choice(7, "req_1", "engine-1"));
    journal.flush();
    assert_eq!(journal.lookup("req_1").unwrap(), []);
    assert_eq!(journal.losses().dropped, 0);
}
