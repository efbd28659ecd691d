//! Faults of control processes over real sockets and files.

use http::StatusCode;
use rstest::rstest;
use tempfile::TempDir;

use crate::{
    cluster::fleet_file,
    processes::{Answer, TestControl, wait_until},
};

/// What happens between a change and its resend.
#[derive(Clone, Copy, Debug)]
enum Between {
    /// Every member restarts.
    Restarts,
    /// So many other changes follow that snapshots replace the log, and every member restarts.
    Snapshots,
    /// The leader is cut off silently.
    LostLeader,
    /// Two disks are lost at once.
    TwoLostDisks,
}

impl TestControl {
    /// Sends a change until it has an answer that is final, through one member after another.
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
        panic!("the change {change} was never answered");
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
async fn a_member_cut_off_silently_misleads_nobody_and_returns(#[case] leader: bool) {
    let control = TestControl::start(3).await;
    control.apply_many(0, 1).await;
    let leads = control.leader().await;
    let cut_off = if leader { leads } else { leads % 3 + 1 };
    let others: Vec<u32> = (1..=3).filter(|number| *number != cut_off).collect();
    let folder = TempDir::new().expect("a folder");
    let gateway = control.gateway(&folder, &[cut_off]).await;
    wait_until("the gateway is attached", async || {
        let status = control.get(others[0], "/v1/status").await.body;
        status["lowest_in_force"] == 1 && status["gateways"][0]["revision"] == 1
    })
    .await;
    control.set_cut_off(cut_off, true);
    let late = control.apply(cut_off, "late", 1, &fleet_file("late")).await;
    assert!(!late.status.is_success(), "{late:?}");
    let mut second = control
        .apply(others[0], "second", 1, &fleet_file("two"))
        .await;
    while second.status.is_server_error() {
        second = control
            .apply(others[1], "second", 1, &fleet_file("two"))
            .await;
    }
    // Had the cut-off leader's change been committed, this one would be refused.
    assert_eq!(second.body["revision"], 2, "{second:?}");
    wait_until(
        "the gateway has moved and has the change in force",
        async || {
            let status = control.get(others[1], "/v1/status").await.body;
            status["gateways"][0]["revision"] == 2
        },
    )
    .await;
    let stale = control.get(cut_off, "/v1/configuration").await;
    assert_eq!(stale.code(), "control_unavailable", "{stale:?}");
    control.set_cut_off(cut_off, false);
    wait_until("the member has caught up", async || {
        control.revision(cut_off).await == 2
    })
    .await;
    let read = control.get(cut_off, "/v1/configuration").await;
    assert_eq!(read.body["content"], fleet_file("two"), "{read:?}");
    gateway.stop().await;
}

#[rstest]
#[case::two_operators(2)]
#[case::many_operators(9)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_operators_that_race_on_one_revision_exactly_one_wins(#[case] operators: u32) {
    let control = TestControl::start(3).await;
    for expected in 0..4 {
        let race = (0..operators).map(|operator| {
            let change = format!("change-{expected}-{operator}");
            let control = &control;
            async move {
                let number = operator % 3 + 1;
                control
                    .apply(number, &change, expected, &fleet_file(&change))
                    .await
            }
        });
        let answers = futures_util::future::join_all(race).await;
        let won = answers
            .iter()
            .filter(|answer| answer.status == StatusCode::OK);
        assert_eq!(won.count(), 1, "{answers:?}");
        let lost = answers
            .iter()
            .filter(|answer| answer.code() == "revision_conflict");
        assert_eq!(lost.count() as u32, operators - 1, "{answers:?}");
    }
}

#[rstest]
#[case::restarts(Between::Restarts)]
#[case::snapshots(Between::Snapshots)]
#[case::lost_leader(Between::LostLeader)]
#[case::two_lost_disks(Between::TwoLostDisks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_resent_after_a_lost_answer_gets_the_same_answer(#[case] between: Between) {
    let mut control = TestControl::start_with(5, ([127, 0, 0, 1], 1).into(), 4 * 1024).await;
    control.apply_many(0, 1).await;
    match between {
        Between::Restarts => restart_all(&mut control).await,
        Between::Snapshots => {
            control.apply_many(1, 60).await;
            restart_all(&mut control).await;
        }
        Between::LostLeader => control.set_cut_off(control.leader().await, true),
        Between::TwoLostDisks => {
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
async fn after_500_changes_members_and_gateways_come_back_to_the_newest() {
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
    // The first one returns from revision 3 on, the second one is new.
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
async fn a_change_takes_effect_once_though_a_member_is_lost_while_it_is_applied(
    #[case] leader: bool,
) {
    let control = TestControl::start(3).await;
    for revision in 0..3 {
        let leads = control.leader().await;
        let lost = if leader { leads } else { leads % 3 + 1 };
        let change = format!("change-{revision}");
        let applying = control.apply_until_answered(&change, revision, &change);
        let losing = async { control.set_cut_off(lost, true) };
        let (answer, ()) = tokio::join!(applying, losing);
        assert_eq!(answer.body["revision"], revision + 1, "{answer:?}");
        control.set_cut_off(lost, false);
        for number in control.running() {
            wait_until("every member has it", async || {
                control.revision(number).await == revision + 1
            })
            .await;
        }
    }
}
