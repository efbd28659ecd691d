//! Idempotency keys of online requests, and orders fenced by tokens.

use linnethitch_ledger::SafetyOverrides;
use linnethitch_protocol::{
    command::{ClaimOutcome, CommandBody, EngineOrder, NewClaim, Outcome},
    fleet::EngineRole,
    ids::{FencingToken, IdempotencyKey, ReplicaId, TenantId, Term},
    query::{ClaimRecord, Query, QueryAnswer},
};
use rstest::rstest;

use crate::support::{Fixture, HOUR_MS, answer, new_claim, refusal_code};

#[rstest]
fn an_answer_is_stored_until_its_retention_time_ends(#[values(false, true)] snapshot: bool) {
    let mut fixture = Fixture::new();
    let session = fixture.session("gateway", 1);
    let claim = new_claim("key", "gateway", session);
    assert_eq!(fixture.claim(claim.clone()), ClaimOutcome::Granted);
    assert_eq!(fixture.claim(claim.clone()), ClaimOutcome::Granted);
    let rival = NewClaim {
        attempt: 2,
        ..claim.clone()
    };
    assert_eq!(fixture.claim(rival.clone()), ClaimOutcome::InProgress);
    let stored = answer("{\"pass\":1}");
    for _ in 0..2 {
        let finished = fixture.finish_claim("key", "gateway", session, Some(stored.clone()));
        assert_eq!(finished, Outcome::Done);
    }
    fixture.session("gateway", 2);
    if snapshot {
        fixture.restore_from_snapshot();
    }
    fixture.expire_after(2 * HOUR_MS - 1);
    assert_eq!(
        fixture.claim(rival.clone()),
        ClaimOutcome::Answered(stored.clone())
    );
    let differs = NewClaim {
        content_digest: 2,
        ..rival
    };
    assert_eq!(fixture.claim(differs), ClaimOutcome::ContentDiffers);
    let query = Query::Claim(TenantId::from("acme"), IdempotencyKey::from("key"));
    let record = fixture.ledger.query(&query);
    assert_eq!(
        record,
        Ok(QueryAnswer::Claim(Some(ClaimRecord::Answered(stored))))
    );
    fixture.expire_after(1);
    assert_eq!(fixture.ledger.query(&query), Ok(QueryAnswer::Claim(None)));
    assert_eq!(fixture.ledger.payloads().live_bytes(), 0);
}

#[rstest]
#[case::restart(true)]
#[case::silence(false)]
fn a_failed_gateway_leaves_an_unknown_outcome_or_a_free_key(
    #[case] restart: bool,
    #[values(false, true)] at_most_once: bool,
) {
    let mut fixture = Fixture::new();
    let session = fixture.session("gateway", 1);
    let claim = NewClaim {
        at_most_once,
        ..new_claim("key", "gateway", session)
    };
    fixture.claim(claim.clone());
    if restart {
        fixture.session("gateway", 2);
    } else {
        fixture.expire_after(10_000);
    }
    // The late answer of the ended session is not accepted.
    let late = fixture.finish_claim("key", "gateway", session, Some(answer("late")));
    assert!(matches!(late, Outcome::Refused(_)));
    let other = fixture.session("other", 1);
    let again = NewClaim {
        at_most_once,
        ..new_claim("key", "other", other)
    };
    let expected = if at_most_once {
        ClaimOutcome::OutcomeUnknown
    } else {
        ClaimOutcome::Granted
    };
    assert_eq!(fixture.claim(again.clone()), expected);
    fixture.restore_from_snapshot();
    assert_eq!(fixture.claim(again), expected);
}

#[test]
fn a_freed_key_can_be_claimed_again() {
    let mut fixture = Fixture::new();
    let session = fixture.session("gateway", 1);
    fixture.claim(new_claim("key", "gateway", session));
    for _ in 0..2 {
        assert_eq!(
            fixture.finish_claim("key", "gateway", session, None),
            Outcome::Done
        );
    }
    let other = fixture.session("other", 1);
    assert_eq!(
        fixture.claim(new_claim("key", "other", other)),
        ClaimOutcome::Granted
    );
    // A resend of the first attempt must not finish the second attempt.
    let stale = fixture.finish_claim("key", "gateway", session, None);
    assert_eq!(refusal_code(&stale), "invalid_state");
    // A resend of an earlier attempt must not finish a later attempt of the same session.
    fixture.claim(NewClaim {
        attempt: 2,
        ..new_claim("twice", "gateway", session)
    });
    let stale = fixture.finish_claim("twice", "gateway", session, None);
    assert_eq!(refusal_code(&stale), "invalid_state");
}

#[test]
fn equal_keys_of_different_tenants_are_independent() {
    let mut fixture = Fixture::new();
    let session = fixture.session("gateway", 1);
    fixture.claim(new_claim("key", "gateway", session));
    let other = NewClaim {
        tenant: TenantId::from("heavy"),
        content_digest: 9,
        ..new_claim("key", "gateway", session)
    };
    assert_eq!(fixture.claim(other), ClaimOutcome::Granted);
}

#[test]
fn without_fencing_an_at_most_once_key_is_granted_again() {
    let mut fixture = Fixture::new();
    fixture.ledger.set_safety_overrides(SafetyOverrides {
        skip_claim_fencing: true,
        ..SafetyOverrides::default()
    });
    let session = fixture.session("gateway", 1);
    fixture.claim(new_claim("key", "gateway", session));
    let next = fixture.session("gateway", 2);
    assert_eq!(
        fixture.claim(new_claim("key", "gateway", next)),
        ClaimOutcome::Granted
    );
}

fn issue(fixture: &mut Fixture, replica: &str, term: u64) -> Outcome {
    fixture.apply(CommandBody::IssueOrder {
        replica: ReplicaId::from(replica),
        order: EngineOrder::ChangeRole(EngineRole::Decode),
        term: Term(term),
    })
}

#[test]
fn tokens_increase_over_terms_replicas_and_snapshots() {
    let mut fixture = Fixture::new();
    let mut last = FencingToken::default();
    for (replica, term) in [("a", 1), ("b", 1), ("a", 1), ("a", 3), ("b", 3)] {
        let Outcome::Order(token) = issue(&mut fixture, replica, term) else {
            panic!("a token is expected");
        };
        assert!(token > last);
        last = token;
        fixture.restore_from_snapshot();
    }
    assert_eq!(refusal_code(&issue(&mut fixture, "a", 2)), "invalid_state");
    assert_eq!(fixture.ledger.open_orders().count(), 2);
    let settle = |token| CommandBody::SettleOrder {
        replica: ReplicaId::from("b"),
        token,
    };
    fixture.apply(settle(FencingToken::default()));
    assert_eq!(fixture.ledger.open_orders().count(), 2);
    fixture.apply(settle(last));
    assert_eq!(fixture.ledger.open_orders().count(), 1);
    assert_eq!(fixture.ledger.last_token(), last);
}
