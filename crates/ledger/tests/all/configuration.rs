//! Revisions, changes and deltas of the configuration.

use linnethitch_protocol::{
    attach::ConfigurationUpdate,
    command::ApplyOutcome,
    ids::{ChangeId, Revision},
    query::{Query, QueryAnswer},
    text_edit::apply_edits,
};
use rstest::rstest;

use crate::support::{FLEET, Fixture, HOUR_MS};

fn text(number: u64) -> String {
    FLEET.replace("name = \"test\"", &format!("name = \"test-{number}\""))
}

#[test]
fn of_changes_with_equal_expected_revision_exactly_one_is_accepted() {
    let mut fixture = Fixture::new();
    let outcomes: Vec<ApplyOutcome> = (0..5)
        .map(|number| fixture.configure(&format!("change-{number}"), 1, &text(number)))
        .collect();
    assert_eq!(outcomes[0], ApplyOutcome::Accepted(Revision(2)));
    assert!(
        outcomes[1..]
            .iter()
            .all(|outcome| *outcome == ApplyOutcome::Conflict(Revision(2)))
    );
    assert_eq!(&*fixture.ledger.configuration_text(), text(0));
}

#[rstest]
#[case::accepted(1, FLEET, ApplyOutcome::Accepted(Revision(2)))]
#[case::conflict(0, FLEET, ApplyOutcome::Conflict(Revision(1)))]
#[case::conflict_with_a_future_revision(9, FLEET, ApplyOutcome::Conflict(Revision(1)))]
fn a_resent_change_gets_the_same_answer(
    #[case] expected: u64,
    #[case] content: &str,
    #[case] answer: ApplyOutcome,
    #[values(0, 1, 2)] snapshots: usize,
) {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.configure("change", expected, content), answer);
    for number in 0..snapshots {
        fixture.restore_from_snapshot();
        let revision = fixture.ledger.revision().0;
        fixture.configure(&format!("other-{number}"), revision, &text(revision));
    }
    assert_eq!(fixture.configure("change", expected, content), answer);
    let other = fixture.configure("change", expected, &text(99));
    assert_eq!(other, ApplyOutcome::ChangeIdReused);
}

#[test]
fn an_invalid_configuration_is_refused_completely_and_permanently() {
    let mut fixture = Fixture::new();
    let broken = FLEET.replace("worcester\", replicas = 2", "nowhere\", replicas = 2");
    let ApplyOutcome::Invalid(message) = fixture.configure("broken", 1, &broken) else {
        panic!("an unknown zone must be refused");
    };
    assert!(message.contains("zone"), "{message}");
    assert_eq!(fixture.ledger.revision(), Revision(1));
    assert_eq!(&*fixture.ledger.configuration_text(), FLEET);
    assert_eq!(
        fixture.configure("broken", 1, &broken),
        ApplyOutcome::Invalid(message)
    );
}

#[test]
fn the_outcomes_of_ten_thousand_changes_are_stored_past_the_retention_time() {
    let mut fixture = Fixture::new();
    for number in 0..10_000 {
        fixture.configure(&format!("change-{number}"), 0, FLEET);
    }
    fixture.expire_after(3 * HOUR_MS);
    let change = fixture.configure("change-0", 0, FLEET);
    assert_eq!(change, ApplyOutcome::Conflict(Revision(1)));
    // The oldest of 10,001 changes is over the stored number and past its retention time.
    let first = Query::Change(ChangeId::from("first"));
    assert_eq!(fixture.ledger.query(&first), Ok(QueryAnswer::Change(None)));
    assert_eq!(fixture.ledger.revision(), Revision(1));
}

#[rstest]
#[case::one_behind(1)]
#[case::hundreds_behind(500)]
fn deltas_lead_from_an_old_revision_to_the_newest(#[case] changes: u64) {
    let mut fixture = Fixture::new();
    for number in 1..=changes {
        fixture.configure(&format!("change-{number}"), number, &text(number));
    }
    fixture.restore_from_snapshot();
    let updates = fixture
        .ledger
        .configuration_updates_since(Revision(1))
        .expect("the deltas are stored");
    assert_eq!(updates.len() as u64, changes);
    let mut content = FLEET.to_owned();
    for update in updates {
        let ConfigurationUpdate::Delta { edits, digest, .. } = update else {
            panic!("a delta is expected");
        };
        content = apply_edits(&content, &edits).expect("the edits fit");
        assert_eq!(linnethitch_config::digest::content_digest(&content), digest);
    }
    assert_eq!(content, text(changes));
}

#[test]
fn without_stored_deltas_the_complete_configuration_must_be_sent() {
    let mut fixture = Fixture::new();
    for number in 1..=1_100 {
        fixture.configure(&format!("change-{number}"), number, &text(number));
    }
    assert!(
        fixture
            .ledger
            .configuration_updates_since(Revision(1))
            .is_none()
    );
    assert!(
        fixture
            .ledger
            .configuration_updates_since(Revision(2_000))
            .is_none()
    );
    assert_eq!(
        fixture.ledger.configuration_updates_since(Revision(1_101)),
        Some(Vec::new())
    );
}

/// An operator evacuates a zone and revokes the evacuation, both in the fleet file.
#[rstest]
fn a_status_names_the_evacuated_zones(#[values(0, 1)] snapshots: usize) {
    let mut fixture = Fixture::new();
    let mut evacuated = |revision: u64, content: &str| {
        fixture.configure(&format!("change-{revision}"), revision, content);
        (0..snapshots).for_each(|_| fixture.restore_from_snapshot());
        match fixture.ledger.query(&Query::Status) {
            Ok(QueryAnswer::Status(status)) => status.evacuated_zones,
            other => panic!("{other:?}"),
        }
    };
    let region = "region = \"new-england\"\n";
    let order = FLEET.replace(region, &format!("{region}evacuated = true\n"));
    assert_eq!(evacuated(1, &order), ["worcester"]);
    assert!(evacuated(2, FLEET).is_empty());
}
