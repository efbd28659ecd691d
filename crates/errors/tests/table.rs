//! Checks the table from error kind to answer.

use std::{collections::HashSet, time::Duration};

use linnethitch_errors::{ErrorKind, Executed, Failure, reference_table};

#[test]
fn codes_are_unique_and_map_back_to_their_kinds() {
    let mut seen = HashSet::new();
    for kind in ErrorKind::ALL {
        assert!(seen.insert(kind.answer().code), "duplicate code of {kind}");
        assert_eq!(ErrorKind::from_code(kind.answer().code), Some(*kind));
    }
}

#[test]
fn every_answer_is_an_http_error() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind}");
        assert!(!kind.description().trim().is_empty(), "{kind}");
    }
}

#[test]
fn rate_limited_requests_are_not_executed_and_are_retryable() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if answer.status == 429 {
            assert_eq!(answer.executed, Executed::No, "{kind}");
            assert!(answer.retryable, "{kind}");
        }
    }
}

#[test]
fn the_body_has_every_field() {
    let failure = Failure::new(ErrorKind::Overloaded, "queue full")
        .with_param("model")
        .with_retry_after(Duration::from_millis(1200));
    let body = failure.body();
    assert_eq!(body["error"]["code"], "overloaded");
    assert_eq!(body["error"]["executed"], "no");
    assert_eq!(body["error"]["param"], "model");
    assert_eq!(failure.retry_after_seconds(), Some(2));
}

#[test]
fn the_reference_page_holds_the_table_of_the_code() {
    let page =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/reference/errors.md");
    let page = std::fs::read_to_string(page).unwrap();
    let (_, after_start) = page.split_once("<!-- table -->\n").unwrap();
    let (table, _) = after_start.split_once("<!-- end of table -->").unwrap();
    assert_eq!(
        table,
        reference_table(),
        "put the right-hand side between the markers of docs/reference/errors.md"
    );
}
