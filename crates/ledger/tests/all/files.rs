//! Uploads in pieces, line indexes and life cycle of input files.

use linnethitch_protocol::{
    command::{CommandBody, Outcome},
    ids::{FileId, ItemNumber, TenantId},
    query::{Query, QueryAnswer},
};
use rstest::rstest;

use crate::support::{Fixture, HOUR_MS, Line, MODEL, heads, new_job, refusal_code};

const FILE: &str = "file-1";

#[rstest]
#[case::in_order(&[(0, "abc"), (3, "def")])]
#[case::first_piece_twice(&[(0, "abc"), (0, "abc"), (3, "def")])]
#[case::last_piece_twice(&[(0, "abc"), (3, "def"), (3, "def")])]
#[case::overlapping(&[(0, "abcd"), (2, "cdef")])]
#[case::empty_piece(&[(0, "abc"), (3, ""), (3, "def")])]
#[case::all_again(&[(0, "abcdef"), (0, "abc"), (0, "abcdef")])]
fn pieces_are_idempotent_by_offset(#[case] pieces: &[(u64, &str)]) {
    let mut fixture = Fixture::new();
    fixture.create_file("acme", FILE);
    for (offset, piece) in pieces {
        assert_eq!(
            fixture.append(FILE, *offset, piece.as_bytes()),
            Outcome::Done
        );
    }
    let lines = [Line {
        text: "abcdef".to_owned(),
        ..Line::new(MODEL)
    }];
    assert!(matches!(
        fixture.finish(FILE, 6, heads(&lines)),
        Outcome::File(_)
    ));
    assert_eq!(fixture.content("acme", FILE).as_deref(), Ok("abcdef"));
}

#[test]
fn a_gap_is_refused_and_changes_nothing() {
    let mut fixture = Fixture::new();
    fixture.create_file("acme", FILE);
    fixture.append(FILE, 0, b"abc");
    let digest = fixture.ledger.digest();
    let index = fixture.index;
    assert_eq!(
        refusal_code(&fixture.append(FILE, 4, b"e")),
        "invalid_state"
    );
    // Only the applied index may have changed.
    assert_ne!(fixture.index, index);
    assert_eq!(
        refusal_code(&fixture.finish(FILE, 6, Vec::new())),
        "truncated_upload"
    );
    assert_eq!(fixture.append(FILE, 3, b"def"), Outcome::Done);
    assert_ne!(fixture.ledger.digest(), digest);
}

#[rstest]
#[case::append("invalid_state")]
fn a_finished_file_does_not_change(#[case] code: &str) {
    let mut fixture = Fixture::new();
    let lines = vec![Line::new(MODEL); 3];
    fixture.upload("acme", FILE, &lines);
    let text = fixture.content("acme", FILE).expect("readable");
    let end = text.len() as u64;
    assert_eq!(refusal_code(&fixture.append(FILE, end, b"more")), code);
    // Resent pieces and the resent finish get the same answers as before.
    assert_eq!(fixture.append(FILE, 0, text.as_bytes()), Outcome::Done);
    let again = fixture.finish(FILE, end, heads(&lines));
    assert!(matches!(again, Outcome::File(record) if record.lines == 3 && record.bytes == end));
    assert_eq!(fixture.content("acme", FILE), Ok(text));
}

#[rstest]
#[case::all_at_once(&[(0, 0..600)])]
#[case::pieces(&[(0, 0..255), (255, 255..256), (256, 256..257), (257, 257..600)])]
#[case::each_piece_twice(&[(0, 0..300), (0, 0..300), (300, 300..600), (300, 300..600)])]
#[case::overlapping(&[(0, 0..300), (200, 200..600)])]
fn lines_can_be_indexed_before_the_content_arrives(
    #[case] pieces: &[(u32, std::ops::Range<usize>)],
) {
    let lines: Vec<Line> = (0..600)
        .map(|number| Line {
            text: format!("line {number}\n"),
            ..Line::new(if number % 3 == 0 { MODEL } else { "slate" })
        })
        .collect();
    let heads = heads(&lines);
    let mut fixture = Fixture::new();
    fixture.create_file("acme", FILE);
    for (first, range) in pieces {
        let outcome = fixture.apply(CommandBody::IndexFile {
            file: FileId::from(FILE),
            first: ItemNumber(*first),
            items: heads[range.clone()].to_vec(),
        });
        assert_eq!(outcome, Outcome::Done);
    }
    let text: String = lines.iter().map(|line| line.text.as_str()).collect();
    fixture.append(FILE, 0, text.as_bytes());
    let finished = fixture.finish(FILE, text.len() as u64, Vec::new());
    assert!(matches!(finished, Outcome::File(record) if record.lines == 600));
    assert!(matches!(
        fixture.create_job(new_job("acme", "batch_1", FILE)),
        Outcome::Job(_)
    ));
    let session = fixture.session("gateway", 1);
    let leased = fixture.lease("gateway", session, MODEL, 1_000);
    assert_eq!(leased.len(), 200);
    for item in &leased {
        assert_eq!(item.line, format!("line {}\n", item.key.item).into_bytes());
    }
    assert_eq!(fixture.lease("gateway", session, "slate", 1_000).len(), 400);
}

#[test]
fn lines_must_be_contiguous_and_match_the_length_of_the_file() {
    let mut fixture = Fixture::new();
    let lines = vec![Line::new(MODEL); 3];
    fixture.create_file("acme", FILE);
    let gap = fixture.apply(CommandBody::IndexFile {
        file: FileId::from(FILE),
        first: ItemNumber(1),
        items: heads(&lines),
    });
    assert_eq!(refusal_code(&gap), "invalid_state");
    fixture.append(FILE, 0, b"short\n");
    assert_eq!(
        refusal_code(&fixture.finish(FILE, 6, heads(&lines))),
        "invalid_value"
    );
}

#[test]
fn an_unfinished_file_expires_unless_it_grows() {
    let mut fixture = Fixture::new();
    fixture.create_file("acme", FILE);
    fixture.append(FILE, 0, b"abc");
    fixture.expire_after(HOUR_MS - 1);
    assert_eq!(fixture.append(FILE, 3, b"def"), Outcome::Done);
    fixture.expire_after(HOUR_MS - 1);
    assert_eq!(fixture.append(FILE, 6, b"ghi"), Outcome::Done);
    fixture.expire_after(HOUR_MS);
    assert_eq!(refusal_code(&fixture.append(FILE, 9, b"jkl")), "not_found");
    assert_eq!(fixture.ledger.payloads().live_bytes(), 0);
}

#[test]
fn a_file_in_use_is_not_deleted_and_a_deleted_file_is_not_found() {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 2);
    let file = "file-batch_1-input";
    let delete = CommandBody::DeleteFile {
        tenant: TenantId::from("acme"),
        file: FileId::from(file),
    };
    assert_eq!(
        refusal_code(&fixture.apply(delete.clone())),
        "invalid_state"
    );
    let other_tenant = CommandBody::DeleteFile {
        tenant: TenantId::from("heavy"),
        file: FileId::from(file),
    };
    assert_eq!(refusal_code(&fixture.apply(other_tenant)), "not_found");
    fixture.cancel("acme", "batch_1");
    assert_eq!(fixture.apply(delete.clone()), Outcome::Done);
    assert!(fixture.content("acme", file).is_err());
    let query = Query::File(TenantId::from("acme"), FileId::from(file));
    assert_eq!(fixture.ledger.query(&query), Ok(QueryAnswer::File(None)));
    assert_eq!(refusal_code(&fixture.apply(delete)), "not_found");
    fixture.expire();
    assert_eq!(fixture.ledger.payloads().live_bytes(), 0);
}

#[test]
fn files_are_visible_to_their_tenant_only() {
    let mut fixture = Fixture::new();
    fixture.upload("acme", FILE, &[Line::new(MODEL)]);
    assert!(fixture.content("acme", FILE).is_ok());
    assert!(fixture.content("heavy", FILE).is_err());
}

#[test]
fn finished_files_are_listed_newest_first_in_pages() {
    let mut fixture = Fixture::new();
    for number in 0..3 {
        fixture.upload("acme", &format!("file-{number}"), &[Line::new(MODEL)]);
        fixture.advance(1);
    }
    fixture.upload("heavy", "file-other", &[Line::new(MODEL)]);
    fixture.create_file("acme", "file-unfinished");
    let mut seen = Vec::new();
    let mut after = None;
    loop {
        let query = Query::Files {
            tenant: TenantId::from("acme"),
            after: after.clone(),
            limit: 2,
        };
        let Ok(QueryAnswer::Files { files, more }) = fixture.ledger.query(&query) else {
            panic!("a page is expected");
        };
        seen.extend(files.iter().map(|file| file.file.0.clone()));
        after = files.last().map(|file| file.file.clone());
        if !more {
            break;
        }
    }
    assert_eq!(seen, ["file-2", "file-1", "file-0"]);
}
