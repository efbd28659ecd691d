//! Control processes under faults, over real sockets and files.

use http::StatusCode;
use rstest::rstest;
use tempfile::TempDir;

use crate::{
    cluster::fleet_file,
    processes::{Answer, TestControl, wait_until},
};

/// The fault between a change and its repetition.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Every member restarts.
    Restarts,
    /// More changes follow until snapshots replace the log, and every member restarts.
    Snapshots,
    /// The leader is isolated; its connections stay open.
    LostLeader,
    /// Two disks are lost at once.
    TwoLostDisks,
}

impl TestControl {
    /// Sends a change through one member after another until the answer is final.
    async fn apply_until_answered(&self, change: &str, expected: u64, note: &str) -> Answer {
        for round in 0..60 {
            let running = self.running();
            let number = running[round % running.len()];
            let answer = self
                .apply(number, change, expected, &fleet_file(note))
                .await;
            if answer.status == StatusCode::OK || answer.status.is_client_error() {
                return answer;
            }
        }
        panic!("no final answer to the change {change}");
    }

    async fn revision(&self, number: u32) -> u64 {
        let metrics = self.get(number, "/metrics").await.body;
        let text = metrics.as_str().unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("linnethitch_control_revision "));
        line.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    async fn apply_many(&self, from: u64, to: u64) {
        for revision in from..to {
            let change = format!("change-{revision}");
            let answer = self.apply_until_answered(&change, revision, &change).await;
            assert_eq!(answer.body["revision"], revision + 1, "{answer:?}");
        }
    }
}

#[rstest]
#[case::a_follower(false)]
#[case::the_leader(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_member_serves_no_stale_state_and_catches_up(#[case] leader: bool) {
    let control = TestControl::start(3).await;
    control.apply_many(0, 1).await;
    let leads = control.leader().await;
    let isolated = if leader { leads } else { leads % 3 + 1 };
    let others: Vec<u32> = (1..=3).filter(|number| *number != isolated).collect();
    let folder = TempDir::new().expect("a folder");
    let gateway = control.gateway(&folder, &[isolated]).await;
    wait_until("the gateway is attached", async || {
        let status = control.get(others[0], "/v1/status").await.body;
        status["lowest_in_force"] == 1 && status["gateways"][0]["revision"] == 1
    })
    .await;
    control.set_isolated(isolated, true);
    let late = control
        .apply(isolated, "late", 1, &fleet_file("late"))
        .await;
    assert!(!late.status.is_success(), "{late:?}");
    let mut second = control
        .apply(others[0], "second", 1, &fleet_file("two"))
        .await;
    while second.status.is_server_error() {
        second = control
            .apply(others[1], "second", 1, &fleet_file("two"))
            .await;
    }
    // If the isolated leader's change had been committed, this change would be refused.
    assert_eq!(second.body["revision"], 2, "{second:?}");
    wait_until(
        "the gateway has moved and has the change in force",
        async || {
            let status = control.get(others[1], "/v1/status").await.body;
            status["gateways"][0]["revision"] == 2
        },
    )
    .await;
    let stale = control.get(isolated, "/v1/configuration").await;
    assert_eq!(stale.code(), "control_unavailable", "{stale:?}");
    control.set_isolated(isolated, false);
    wait_until("the member has caught up", async || {
        control.revision(isolated).await == 2
    })
    .await;
    let read = control.get(isolated, "/v1/configuration").await;
    assert_eq!(read.body["content"], fleet_file("two"), "{read:?}");
    gateway.stop().await;
}

#[rstest]
#[case::two_operators(2)]
#[case::many_operators(9)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_concurrent_changes_to_one_revision_exactly_one_is_accepted(#[case] operators: u32) {
    let control = TestControl::start(3).await;
    for expected in 0..4 {
        let changes = (0..operators).map(|operator| {
            let change = format!("change-{expected}-{operator}");
            let control = &control;
            async move {
                let number = operator % 3 + 1;
                control
                    .apply(number, &change, expected, &fleet_file(&change))
                    .await
            }
        });
        let answers = futures_util::future::join_all(changes).await;
        let accepted = answers
            .iter()
            .filter(|answer| answer.status == StatusCode::OK);
        assert_eq!(accepted.count(), 1, "{answers:?}");
        let refused = answers
            .iter()
            .filter(|answer| answer.code() == "revision_conflict");
        assert_eq!(refused.count() as u32, operators - 1, "{answers:?}");
    }
}

#[rstest]
#[case::restarts(Fault::Restarts)]
#[case::snapshots(Fault::Snapshots)]
#[case::lost_leader(Fault::LostLeader)]
#[case::two_lost_disks(Fault::TwoLostDisks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_resent_after_a_lost_answer_gets_the_same_answer(#[case] fault: Fault) {
    let mut control = TestControl::start_with(5, ([127, 0, 0, 1], 1).into(), 4 * 1024).await;
    control.apply_many(0, 1).await;
    match fault {
        Fault::Restarts => restart_all(&mut control).await,
        Fault::Snapshots => {
            control.apply_many(1, 60).await;
            restart_all(&mut control).await;
        }
        Fault::LostLeader => control.set_isolated(control.leader().await, true),
        Fault::TwoLostDisks => {
            control.lose_disk(1).await;
            control.lose_disk(2).await;
            control.wait_until_all_vote().await;
        }
    }
    let again = control
        .apply_until_answered("change-0", 0, "change-0")
        .await;
    assert_eq!(again.body["revision"], 1, "{again:?}");
    let other = control.apply_until_answered("change-0", 0, "other").await;
    assert_eq!(other.code(), "change_conflict", "{other:?}");
}

async fn restart_all(control: &mut TestControl) {
    for number in control.running() {
        control.stop(number).await;
    }
    for number in 1..=5 {
        control.restart(number).await;
    }
    control.wait_until_ready().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_500_changes_members_and_gateways_catch_up_to_the_newest() {
    let mut control = TestControl::start_with(3, ([127, 0, 0, 1], 1).into(), 64 * 1024).await;
    control.apply_many(0, 3).await;
    let folders = [
        TempDir::new().expect("a folder"),
        TempDir::new().expect("a folder"),
    ];
    let gateway = control.gateway(&folders[0], &[1, 2, 3]).await;
    wait_until("the gateway has the revision in force", async || {
        let status = control.get(1, "/v1/status").await.body;
        status["gateways"][0]["revision"] == 3
    })
    .await;
    gateway.stop().await;
    control.stop(3).await;
    control.apply_many(3, 503).await;
    control.restart(3).await;
    wait_until("the member has caught up", async || {
        control.revision(3).await == 503
    })
    .await;
    // The first gateway returns with revision 3 and the second one is new.
    for folder in &folders {
        let gateway = control.gateway(folder, &[3]).await;
        wait_until("the gateway has the newest in force", async || {
            let status = control.get(1, "/v1/status").await.body;
            status["lowest_in_force"] == 503
                && status["gateways"][0]["silent_ms"].as_u64() < Some(1_000)
        })
        .await;
        gateway.stop().await;
    }
}

#[rstest]
#[case::the_leader(true)]
#[case::a_follower(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_takes_effect_once_when_a_member_is_isolated_while_it_is_applied(
    #[case] leader: bool,
) {
    let control = TestControl::start(3).await;
    for revision in 0..3 {
        let leads = control.leader().await;
        let lost = if leader { leads } else { leads % 3 + 1 };
        let change = format!("change-{revision}");
        let applying = control.apply_until_answered(&change, revision, &change);
        let isolating = async { control.set_isolated(lost, true) };
        let (answer, ()) = tokio::join!(applying, isolating);
        assert_eq!(answer.body["revision"], revision + 1, "{answer:?}");
        control.set_isolated(lost, false);
        for number in control.running() {
            wait_until("every member has the change", async || {
                control.revision(number).await == revision + 1
            })
            .await;
        }
    }
}
