//! Acceptance, listing, cancellation, expiry and dropping of jobs.

use linnethitch_ledger::limits::MAX_OPEN_JOBS_PER_TENANT;
use linnethitch_protocol::{
    command::{NewJob, Outcome},
    ids::{IdempotencyKey, JobId, LogIndex, TenantId},
    query::{JobState, Query, QueryAnswer},
};
use rstest::rstest;

use crate::support::{
    Fixture, HOUR_MS, Line, MODEL, failed, heads, new_job, refusal_code, success,
};

#[rstest]
#[case::unknown_model(Line::new("basalt"), "model_not_found", "line 2")]
#[case::unknown_adapter(Line::new("granite:none"), "model_not_found", "line 2")]
#[case::online_only(Line::new("online"), "invalid_batch_line", "line 2")]
#[case::other_endpoint(
    Line { endpoint: "/v1/completions".to_owned(), ..Line::new(MODEL) },
    "invalid_batch_line",
    "line 2"
)]
fn one_invalid_line_refuses_the_complete_job(
    #[case] bad: Line,
    #[case] code: &str,
    #[case] location: &str,
) {
    let mut fixture = Fixture::new();
    let good = Line::new(MODEL);
    fixture.upload("acme", "file-1", &[good.clone(), bad, good]);
    let outcome = fixture.create_job(new_job("acme", "batch_1", "file-1"));
    assert_eq!(refusal_code(&outcome), code);
    assert!(matches!(&outcome, Outcome::Refused(refusal) if refusal.message.contains(location)));
    assert_eq!(fixture.job("acme", "batch_1"), None);
    assert!(fixture.ledger.pending_items().is_empty());
}

#[test]
fn an_adapter_is_accepted_as_a_model() {
    let mut fixture = Fixture::new();
    let record = fixture.submit_job("acme", "batch_1", &[Line::new("granite:rates")]);
    assert_eq!(record.total, 1);
}

#[rstest]
#[case::file_of_another_tenant("heavy", "file-1", "not_found")]
#[case::unknown_file("acme", "file-2", "not_found")]
#[case::unfinished("acme", "file-open", "invalid_state")]
fn the_input_must_be_a_finished_file_of_the_tenant(
    #[case] tenant: &str,
    #[case] file: &str,
    #[case] code: &str,
) {
    let mut fixture = Fixture::new();
    fixture.upload("acme", "file-1", &[Line::new(MODEL)]);
    fixture.create_file("acme", "file-open");
    assert_eq!(
        refusal_code(&fixture.create_job(new_job(tenant, "batch_1", file))),
        code
    );
}

fn keyed(job: &str, digest: u64) -> NewJob {
    NewJob {
        idempotency: Some(IdempotencyKey::from("key")),
        content_digest: digest,
        ..new_job("acme", job, "file-1")
    }
}

#[rstest]
fn a_resent_job_is_the_same_job(#[values(false, true)] snapshot: bool) {
    let mut fixture = Fixture::new();
    fixture.upload("acme", "file-1", &[Line::new(MODEL)]);
    let first = fixture.create_job(keyed("batch_1", 1));
    if snapshot {
        fixture.restore_from_snapshot();
    }
    // The resend went to another gateway, which generated another id.
    assert_eq!(fixture.create_job(keyed("batch_2", 1)), first);
    assert_eq!(fixture.create_job(keyed("batch_1", 1)), first);
    assert_eq!(
        refusal_code(&fixture.create_job(keyed("batch_3", 2))),
        "idempotency_conflict"
    );
    assert_eq!(fixture.job("acme", "batch_2"), None);
    let other = NewJob {
        content_digest: 3,
        ..new_job("acme", "batch_1", "file-1")
    };
    assert_eq!(refusal_code(&fixture.create_job(other)), "invalid_state");
}

#[test]
fn jobs_are_listed_newest_first_in_pages() {
    let mut fixture = Fixture::new();
    for number in 0..5 {
        fixture.simple_job(&format!("batch_{number}"), 1);
    }
    fixture.submit_job("heavy", "batch_other", &[Line::new(MODEL)]);
    let mut seen = Vec::new();
    let mut after = None;
    loop {
        let query = Query::Jobs {
            tenant: TenantId::from("acme"),
            after: after.clone(),
            limit: 2,
        };
        let Ok(QueryAnswer::Jobs { jobs, more }) = fixture.ledger.query(&query) else {
            panic!("a page is expected");
        };
        seen.extend(jobs.iter().map(|job| job.job.0.clone()));
        after = jobs.last().map(|job| job.job.clone());
        if !more {
            break;
        }
    }
    assert_eq!(
        seen,
        ["batch_4", "batch_3", "batch_2", "batch_1", "batch_0"]
    );
}

#[test]
fn a_completed_job_has_both_kinds_of_results() {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 2);
    let session = fixture.session("gateway", 1);
    let items = fixture.lease("gateway", session, MODEL, 2);
    fixture.complete("gateway", session, &items[..1]);
    // Results are readable while the job runs.
    assert_eq!(fixture.results("acme", "batch_1").0.len(), 1);
    fixture.complete_with(
        "gateway",
        session,
        &items[1..],
        &[failed(items[1].key.item)],
    );
    let record = fixture.job("acme", "batch_1").expect("known");
    assert_eq!(record.state, JobState::Completed);
    assert_eq!((record.completed, record.failed), (1, 1));
    let (output, errors) = fixture.results("acme", "batch_1");
    assert_eq!(
        output,
        [
            "{\"id\":\"batch_req_batch_1_0\",\"custom_id\":\"row-0\",\"response\":{\"status_code\":200,\
         \"request_id\":\"req_batch_1_0\",\"body\":{\"answer\":0}},\"error\":null}"
        ]
    );
    assert_eq!(
        errors,
        [
            "{\"id\":\"batch_req_batch_1_1\",\"custom_id\":\"row-1\",\"response\":{\"status_code\":502,\
         \"request_id\":\"req_batch_1_1\",\"body\":null},\"error\":{\"code\":\"back_end_failed\",\
         \"message\":\"the engine went away\"}}"
        ]
    );
}

#[rstest]
#[case::lines("{\n \"a\": 1\r\n}", "{ \"a\": 1}")]
#[case::not_json("plain \"text\"\n", "\"plain \\\"text\\\"\\n\"")]
#[case::empty("", "\"\"")]
fn each_result_is_one_line_of_json(#[case] body: &str, #[case] shown: &str) {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 1);
    let session = fixture.session("gateway", 1);
    let items = fixture.lease("gateway", session, MODEL, 1);
    let mut outcome = crate::support::success(items[0].key.item);
    outcome.body = body.as_bytes().to_vec();
    fixture.complete_with("gateway", session, &items, &[outcome]);
    let (output, _) = fixture.results("acme", "batch_1");
    assert_eq!(output.len(), 1);
    assert!(
        output[0].contains(&format!("\"body\":{shown}}}")),
        "{}",
        output[0]
    );
}

#[test]
fn a_cancel_without_leases_ends_the_job_at_once_and_can_be_resent() {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 3);
    for _ in 0..2 {
        let outcome = fixture.cancel("acme", "batch_1");
        assert!(matches!(outcome, Outcome::Job(record) if record.state == JobState::Cancelled));
    }
    let session = fixture.session("gateway", 1);
    assert!(fixture.lease("gateway", session, MODEL, 3).is_empty());
    assert_eq!(
        refusal_code(&fixture.cancel("heavy", "batch_1")),
        "not_found"
    );
    assert_eq!(
        fixture.ledger.jobs_stopped_since(LogIndex(0)),
        [JobId::from("batch_1")]
    );
}

/// How the leases of a cancelled job end.
#[derive(Clone, Copy, Debug)]
enum LeaseEnd {
    Results,
    Release,
    Expiry,
    Restart,
    DeadlineDespiteRenewal,
}

#[rstest]
fn a_cancelled_job_stores_no_further_results_and_ends(
    #[values(
        LeaseEnd::Results,
        LeaseEnd::Release,
        LeaseEnd::Expiry,
        LeaseEnd::Restart,
        LeaseEnd::DeadlineDespiteRenewal
    )]
    lease_end: LeaseEnd,
    #[values(false, true)] snapshot: bool,
) {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 4);
    let session = fixture.session("gateway", 1);
    let items = fixture.lease("gateway", session, MODEL, 3);
    fixture.complete("gateway", session, &items[..1]);
    let cancelled = fixture.cancel("acme", "batch_1");
    assert!(matches!(cancelled, Outcome::Job(record) if record.state == JobState::Cancelling));
    if snapshot {
        fixture.restore_from_snapshot();
    }
    match lease_end {
        LeaseEnd::Results => {
            assert_eq!(fixture.complete("gateway", session, &items[1..]), (0, 2));
        }
        LeaseEnd::Release => fixture.release("gateway", session, &items[1..]),
        LeaseEnd::Expiry => fixture.expire_after(10_000),
        LeaseEnd::Restart => {
            fixture.session("gateway", 2);
        }
        LeaseEnd::DeadlineDespiteRenewal => {
            fixture.advance(9_000);
            fixture.renew("gateway", session);
            fixture.expire_after(1_000);
        }
    }
    let record = fixture.job("acme", "batch_1").expect("known");
    assert_eq!(record.state, JobState::Cancelled);
    assert_eq!((record.total, record.completed, record.failed), (4, 1, 0));
    assert_eq!(fixture.complete("gateway", session, &items[1..]), (0, 2));
    let (output, errors) = fixture.results("acme", "batch_1");
    assert_eq!((output.len(), errors.len()), (1, 0));
    assert!(fixture.ledger.pending_items().is_empty());
}

#[test]
fn after_the_deadline_each_unfinished_item_gets_an_error() {
    let mut fixture = Fixture::new();
    let mut lines = vec![Line::new(MODEL); 3];
    lines.push(Line::at_most_once());
    fixture.submit_job("acme", "batch_1", &lines);
    fixture.advance(HOUR_MS - 5_000);
    let session = fixture.session("gateway", 1);
    let items = fixture.lease("gateway", session, MODEL, 2);
    fixture.complete("gateway", session, &items[..1]);
    // The third item is released without a start; the at-most-once item is started.
    let remaining = fixture.lease("gateway", session, MODEL, 2);
    fixture.start("gateway", session, &remaining[1..]);
    fixture.release("gateway", session, &remaining[..1]);
    fixture.expire_after(5_000);
    let record = fixture.job("acme", "batch_1").expect("known");
    assert_eq!(record.state, JobState::Expired);
    assert_eq!((record.completed, record.failed), (1, 3));
    let (output, errors) = fixture.results("acme", "batch_1");
    assert_eq!(output.len(), 1);
    let codes: Vec<bool> = ["deadline_exceeded", "deadline_exceeded", "outcome_unknown"]
        .iter()
        .zip(&errors)
        .map(|(code, line)| line.contains(code))
        .collect();
    assert_eq!(codes, [true, true, true], "{errors:?}");
    assert_eq!(fixture.complete("gateway", session, &items[1..]), (0, 1));
}

#[test]
fn an_item_that_was_never_leased_is_reported_as_not_started() {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 1);
    fixture.expire_after(HOUR_MS);
    let (_, errors) = fixture.results("acme", "batch_1");
    assert!(errors[0].contains("deadline_before_start"), "{errors:?}");
}

#[test]
fn giving_up_a_large_job_takes_bounded_steps() {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 20_000);
    fixture.advance(HOUR_MS);
    fixture.expire();
    let record = fixture.job("acme", "batch_1").expect("known");
    assert_eq!(record.state, JobState::InProgress);
    assert!(record.failed > 0 && record.failed < 20_000);
    fixture.restore_from_snapshot();
    fixture.expire_after(0);
    let record = fixture.job("acme", "batch_1").expect("known");
    assert_eq!((record.state, record.failed), (JobState::Expired, 20_000));
}

#[test]
fn results_are_retained_for_the_retention_time_and_then_released() {
    let mut fixture = Fixture::new();
    fixture.simple_job("batch_1", 2);
    let session = fixture.session("gateway", 1);
    let items = fixture.lease("gateway", session, MODEL, 2);
    fixture.complete("gateway", session, &items);
    fixture.expire_after(2 * HOUR_MS - 1);
    assert_eq!(fixture.results("acme", "batch_1").0.len(), 2);
    fixture.expire_after(1);
    assert_eq!(fixture.job("acme", "batch_1"), None);
    assert_eq!(fixture.ledger.payloads().live_bytes(), 0);
}

#[test]
fn the_key_of_a_job_past_its_retention_time_is_free_while_its_payloads_are_released() {
    let mut fixture = Fixture::new();
    // Dropping this file takes all but one of the steps of one command.
    let many = vec![Line::new(MODEL); 8_158];
    fixture.create_file("acme", "file-many");
    let mut bytes = 0;
    for line in &many {
        fixture.append("file-many", bytes, line.text.as_bytes());
        bytes += line.text.len() as u64;
    }
    fixture.finish("file-many", bytes, heads(&many));
    fixture.advance(1);
    fixture.upload("acme", "file-1", &vec![Line::new(MODEL); 2]);
    fixture.create_job(keyed("batch_1", 7));
    let session = fixture.session("gateway", 1);
    let items = fixture.lease("gateway", session, MODEL, 2);
    let outcomes = [success(items[0].key.item), failed(items[1].key.item)];
    fixture.complete_with("gateway", session, &items, &outcomes);
    fixture.expire_after(HOUR_MS);
    fixture.advance(HOUR_MS);
    fixture.expire();
    assert_eq!(fixture.job("acme", "batch_1"), None);
    assert!(
        fixture.ledger.payloads().live_bytes() > 0,
        "no payloads remain to be released"
    );

    fixture.upload("acme", "file-2", &[Line::new(MODEL)]);
    let new = NewJob {
        input: "file-2".into(),
        ..keyed("batch_2", 7)
    };
    for again in [false, true] {
        match fixture.create_job(new.clone()) {
            Outcome::Job(record) => assert_eq!(record.job.as_str(), "batch_2", "{again}"),
            other => panic!("{other:?}"),
        }
        fixture.expire_after(0);
        fixture.restore_from_snapshot();
    }
}

#[test]
fn one_tenant_cannot_use_up_the_capacity_for_jobs() {
    let mut fixture = Fixture::new();
    for tenant in ["acme", "heavy"] {
        fixture.upload(tenant, &format!("file-{tenant}"), &[Line::new(MODEL)]);
    }
    let job = |tenant: &str, number| {
        new_job(
            tenant,
            &format!("batch_{tenant}_{number}"),
            &format!("file-{tenant}"),
        )
    };
    let accepted = |outcome| matches!(outcome, Outcome::Job(_));
    for number in 0..MAX_OPEN_JOBS_PER_TENANT {
        assert!(accepted(fixture.create_job(job("acme", number))));
    }
    fixture.restore_from_snapshot();
    let refused = fixture.create_job(job("acme", MAX_OPEN_JOBS_PER_TENANT));
    assert_eq!(refusal_code(&refused), "too_many_in_flight");
    assert!(accepted(fixture.create_job(job("heavy", 0))));
    fixture.cancel("acme", "batch_acme_7");
    assert!(accepted(
        fixture.create_job(job("acme", MAX_OPEN_JOBS_PER_TENANT))
    ));
}
