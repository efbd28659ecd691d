//! Snapshots, intact and damaged.

use linnethitch_ledger::{Ledger, Restorer, SnapshotScope};
use linnethitch_protocol::{
    command::{Command, CommandBody},
    ids::{LogIndex, Timestamp},
};
use rstest::rstest;

use crate::support::{
    Fixture, Line, MODEL, answer, in_memory, new_claim, restored, snapshot_bytes,
};

/// A ledger with state of every kind.
fn populated() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_done", 2);
    let session = fixture.session("gateway", 1);
    let items = fixture.lease("gateway", session, MODEL, 2);
    fixture.complete("gateway", session, &items);
    fixture.submit_job(
        "heavy",
        "batch_open",
        &[Line::new(MODEL), Line::at_most_once()],
    );
    let items = fixture.lease("gateway", session, MODEL, 2);
    fixture.start("gateway", session, &items);
    fixture.claim(new_claim("answered", "gateway", session));
    fixture.finish_claim("answered", "gateway", session, Some(answer("kept")));
    fixture.claim(new_claim("running", "gateway", session));
    fixture.create_file("acme", "file-open");
    fixture.append("file-open", 0, b"{}\n");
    fixture
}

#[test]
fn a_restored_ledger_equals_the_original() {
    let mut fixture = populated();
    let mut copy = restored(&mut fixture.ledger);
    assert_eq!(copy.digest(), fixture.ledger.digest());
    assert_eq!(copy.applied_index(), fixture.ledger.applied_index());
    assert_eq!(
        snapshot_bytes(&mut copy).len(),
        snapshot_bytes(&mut fixture.ledger).len()
    );
}

#[test]
fn a_snapshot_contains_the_state_at_its_start() {
    let mut fixture = populated();
    let digest = fixture.ledger.digest();
    let mut writer = fixture
        .ledger
        .snapshot_writer(SnapshotScope::Transfer)
        .expect("in memory");
    fixture.simple_job("batch_after", 3);
    fixture.cancel("heavy", "batch_open");
    let mut restorer = Restorer::new(in_memory());
    while let Some(chunk) = fixture
        .ledger
        .next_snapshot_chunk(&mut writer)
        .expect("readable")
    {
        restorer.push(&chunk).expect("the snapshot is complete");
    }
    assert_eq!(
        restorer
            .finish()
            .expect("the snapshot is complete")
            .digest(),
        digest
    );
}

#[test]
fn a_local_snapshot_contains_no_payloads() {
    let mut fixture = Fixture::new();
    let line = Line {
        text: "x".repeat(100_000),
        ..Line::new(MODEL)
    };
    fixture.submit_job("acme", "batch_1", &[line]);
    let mut writer = fixture
        .ledger
        .snapshot_writer(SnapshotScope::Local)
        .expect("in memory");
    let mut size = 0;
    while let Some(chunk) = fixture
        .ledger
        .next_snapshot_chunk(&mut writer)
        .expect("readable")
    {
        size += chunk.len();
    }
    assert!(size < 10_000, "{size}");
}

#[rstest]
fn a_truncated_snapshot_is_refused(#[values(0, 1, 8, 40, 500, 2_000)] length: usize) {
    let bytes = snapshot_bytes(&mut populated().ledger);
    let prefix_bytes = if length == 0 { bytes.len() - 1 } else { length };
    let mut reader = &bytes[..prefix_bytes];
    assert!(Ledger::restore(in_memory(), &mut reader).is_err());
}

#[test]
fn a_flipped_bit_anywhere_is_refused() {
    let bytes = snapshot_bytes(&mut populated().ledger);
    for position in (0..bytes.len()).step_by(37) {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x10;
        let outcome = Ledger::restore(in_memory(), &mut damaged.as_slice());
        assert!(outcome.is_err(), "byte {position} of {}", bytes.len());
    }
}

#[test]
fn bytes_that_are_not_a_snapshot_are_refused() {
    for other in [
        &b"#!/bin/sh"[..],
        &[0; 4096],
        &[1, 255, 255, 255, 255, 0, 0, 0, 0],
    ] {
        assert!(Ledger::restore(in_memory(), &mut &other[..]).is_err());
    }
}

#[test]
fn a_command_at_an_applied_index_changes_nothing() {
    let mut fixture = populated();
    let digest = fixture.ledger.digest();
    let command = Command {
        now: Timestamp(fixture.now + 1_000_000),
        body: CommandBody::Expire,
    };
    let repeated = fixture.ledger.apply(LogIndex(fixture.index), &command);
    assert!(repeated.is_ok());
    assert_eq!(fixture.ledger.digest(), digest);
}

#[test]
fn time_never_decreases() {
    let mut fixture = Fixture::new();
    let before = fixture.ledger.now();
    fixture.now = 5;
    fixture.expire();
    assert_eq!(fixture.ledger.now(), before);
}
