//! Configuration updates: the sans-IO follower and a gateway attached to control.

use linnethitch_config::digest::content_digest;
use linnethitch_gateway::{
    configuration::follower::{Follower, FollowerAction, StoredConfiguration, UpdateFault},
    control::members::{FreshnessWatch, MemberOrder, STALE_AFTER},
};
use linnethitch_protocol::{attach::ConfigurationUpdate, ids::Revision, text_edit::line_edits};
use rstest::rstest;
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::support::{
    caller::{call, chat, request},
    control::{FakeControl, Shared},
    engine::FakeEngine,
    gateway::{self, TestGateway, fleet_file, wait_until},
};

fn text(revision: u64) -> String {
    format!("{}\n# revision {revision}\n", fleet_file())
}

fn stored(revision: u64) -> StoredConfiguration {
    StoredConfiguration::parse(Revision(revision), text(revision)).expect("a fleet file")
}

fn full(revision: u64) -> ConfigurationUpdate {
    let content = text(revision);
    ConfigurationUpdate::Full {
        revision: Revision(revision),
        digest: content_digest(&content),
        content,
    }
}

fn delta(from: u64, to: u64) -> ConfigurationUpdate {
    ConfigurationUpdate::Delta {
        from: Revision(from),
        to: Revision(to),
        edits: line_edits(&text(from), &text(to)),
        digest: content_digest(&text(to)),
    }
}

fn delta_from_nothing(to: u64) -> ConfigurationUpdate {
    ConfigurationUpdate::Delta {
        from: Revision(0),
        to: Revision(to),
        edits: line_edits("", &text(to)),
        digest: content_digest(&text(to)),
    }
}

fn wrong_digest(mut update: ConfigurationUpdate) -> ConfigurationUpdate {
    match &mut update {
        ConfigurationUpdate::Full { digest, .. } | ConfigurationUpdate::Delta { digest, .. } => {
            *digest ^= 1;
        }
    }
    update
}

fn not_a_fleet() -> ConfigurationUpdate {
    let content = "nonsense = 1".to_owned();
    ConfigurationUpdate::Full {
        revision: Revision(9),
        digest: content_digest(&content),
        content,
    }
}

/// The action for an update when the current revision is 5.
#[derive(Debug, PartialEq)]
enum Expected {
    Store(u64),
    ConfirmCurrent,
    RequestFullText,
}

#[rstest]
#[case::newer(full(6), Expected::Store(6))]
#[case::newer_by_delta(delta(5, 6), Expected::Store(6))]
#[case::newer_by_long_delta(delta(5, 9), Expected::Store(9))]
#[case::delta_from_nothing(delta_from_nothing(6), Expected::Store(6))]
#[case::same_again(full(5), Expected::ConfirmCurrent)]
#[case::older(full(4), Expected::ConfirmCurrent)]
#[case::older_delta(delta(3, 4), Expected::ConfirmCurrent)]
#[case::delta_to_the_same(delta(4, 5), Expected::ConfirmCurrent)]
#[case::delta_of_another_base(delta(6, 7), Expected::RequestFullText)]
#[case::older_base(delta(4, 6), Expected::RequestFullText)]
#[case::wrong_digest(wrong_digest(full(6)), Expected::RequestFullText)]
#[case::wrong_digest_of_a_delta(wrong_digest(delta(5, 6)), Expected::RequestFullText)]
#[case::other_content_of_the_same_revision(wrong_digest(full(5)), Expected::RequestFullText)]
#[case::not_a_fleet_file(not_a_fleet(), Expected::RequestFullText)]
fn updates_are_checked_before_they_are_stored(
    #[case] update: ConfigurationUpdate,
    #[case] expected: Expected,
    #[values(false, true)] shares_documents: bool,
) {
    let mut follower = match shares_documents {
        true => Follower::sharing(Arc::default()),
        false => Follower::default(),
    };
    follower.on_stored(stored(5));
    let found = match follower.on_update(&update) {
        FollowerAction::Store(configuration) => {
            assert_eq!(configuration, stored(configuration.revision.0));
            Expected::Store(configuration.revision.0)
        }
        FollowerAction::ConfirmCurrent(revision) => {
            assert_eq!(revision, Revision(5));
            Expected::ConfirmCurrent
        }
        FollowerAction::RequestFullText(_) => Expected::RequestFullText,
    };
    assert_eq!(found, expected);
}

#[test]
fn a_follower_never_returns_to_an_older_revision() {
    let mut follower = Follower::new(Some(stored(5)));
    follower.on_stored(stored(4));
    assert_eq!(follower.revision(), Revision(5));
    follower.on_stored(stored(6));
    assert_eq!(follower.revision(), Revision(6));
}

#[test]
fn a_follower_without_a_configuration_requests_the_full_text() {
    let follower = Follower::default();
    let action = follower.on_update(&delta(1, 2));
    let fault = UpdateFault::OtherBase {
        expected: Revision(1),
        held: Revision(0),
    };
    assert_eq!(action, FollowerAction::RequestFullText(fault));
    assert!(matches!(
        follower.on_update(&full(2)),
        FollowerAction::Store(..)
    ));
}

#[test]
fn gateways_spread_over_the_members() {
    let members: Vec<String> = (1..=5)
        .map(|number| format!("10.0.0.{number}:7000"))
        .collect();
    let mut first: HashMap<String, usize> = HashMap::new();
    for number in 0..410 {
        let mut order = MemberOrder::new(&format!("gateway-{number}"), &members);
        *first
            .entry(order.next_address().expect("a member"))
            .or_default() += 1;
        let mut tried: Vec<_> = (0..4).filter_map(|_| order.next_address()).collect();
        tried.dedup();
        assert_eq!(tried.len(), 4, "every member is tried before one repeats");
    }
    assert_eq!(first.len(), 5);
    assert!(
        first.values().all(|count| (50..=120).contains(count)),
        "{first:?}"
    );
}

#[rstest]
#[case::only_the_member_itself(&["10.0.0.1:7000"], 2)]
#[case::members_of_the_settings(&["10.0.0.2:7000", "10.0.0.1:7000"], 2)]
#[case::a_replaced_machine(&["10.0.0.1:7000", "10.0.0.3:7000"], 3)]
fn addresses_reported_by_a_member_extend_the_settings(
    #[case] reported: &[&str],
    #[case] known: usize,
) {
    let settings = ["10.0.0.1:7000", "10.0.0.2:7000"].map(str::to_owned);
    let mut order = MemberOrder::new("gateway-1", &settings);
    order.update_members(&reported.iter().map(ToString::to_string).collect::<Vec<_>>());
    let tried = (0..2 * known).filter_map(|_| order.next_address());
    let tried: HashSet<String> = tried.collect();
    assert_eq!(tried.len(), known);
    assert!(settings.iter().all(|address| tried.contains(address)));
}

#[test]
fn a_member_is_stale_when_its_stamps_are_old_or_missing() {
    let ms = Duration::from_millis;
    let mut watch = FreshnessWatch::new(ms(0));
    assert!(!watch.is_stale(STALE_AFTER));
    assert!(watch.is_stale(STALE_AFTER + ms(1)));
    watch.on_stamp(ms(2_000), ms(100));
    assert!(!watch.is_stale(ms(2_000)));
    // Stamps still arrive, but the last contact with a quorum that they report grows older.
    watch.on_stamp(ms(4_000), ms(2_100));
    assert!(watch.is_stale(ms(4_000)));
}

#[tokio::test]
async fn a_gateway_puts_new_revisions_into_force_and_confirms_them() {
    let engine = FakeEngine::start(vec![]).await;
    let shared = Shared::new(&text(1), vec![gateway::engine(0, engine.address)]);
    let control = FakeControl::start(shared).await;
    let gateway = TestGateway::attached(&[control.address]).await;
    let answer = call(chat(gateway.url("/v1/chat/completions"), false)).await;
    assert_eq!(answer.status.as_u16(), 200);
    let more = text(2).replace("name = \"a\"", "name = \"other\"");
    control.shared.configure(&more);
    wait_until("revision 2 is confirmed", async || {
        control.shared.confirmed().last() == Some(&Revision(2))
    })
    .await;
    let models = call(request(http::Method::GET, gateway.url("/v1/models"), ""))
        .await
        .json();
    assert_eq!(models["data"][1]["id"], "m:other");
}

#[tokio::test]
async fn a_restarted_gateway_serves_its_stored_configuration_without_control() {
    let engine = FakeEngine::start(vec![]).await;
    let shared = Shared::new(&text(1), vec![gateway::engine(0, engine.address)]);
    let control = FakeControl::start(Arc::clone(&shared)).await;
    let gateway = TestGateway::attached(&[control.address]).await;
    let address = control.address;
    drop(control);
    let folder = gateway.stop().await;
    let restarted = TestGateway::attached_in(folder, &[address]).await;
    let models = call(request(http::Method::GET, restarted.url("/v1/models"), "")).await;
    assert_eq!(models.status.as_u16(), 200);
}

#[tokio::test]
async fn a_gateway_attaches_to_another_member_when_its_own_is_stale() {
    let shared = Shared::new(&text(1), Vec::new());
    let one = FakeControl::start(Arc::clone(&shared)).await;
    let other_shared = Shared::new(&text(1), Vec::new());
    let two = FakeControl::start(Arc::clone(&other_shared)).await;
    let _gateway = TestGateway::attached(&[one.address, two.address]).await;
    let (attached, other) = if shared.attached() == 1 {
        (shared, other_shared)
    } else {
        (other_shared, shared)
    };
    attached.set_fresh(false);
    wait_until("the other member has the gateway", async || {
        other.attached() == 1
    })
    .await;
}
