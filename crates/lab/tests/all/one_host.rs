//! Faults of real processes: SIGKILL, lost disks, planned stops. Each test is
//! the example of one host with one thing done to it.

use crate::support::{OneHost, wait_until};

#[tokio::test]
async fn a_change_sent_again_after_the_leader_was_killed_takes_effect_once() {
    let mut host = OneHost::start_without(&[]).await;
    let changed = host.fleet_text().replace("tariff-lookup", "fare-lookup");
    let leader = host.leader().await;
    // The answer is lost with the leader, wherever the change has got to.
    let member = leader.trim_start_matches("control-").parse().unwrap();
    let sent = host.send_change(member, "second", 1, &changed);
    tokio::task::yield_now().await;
    host.kill(&leader);
    let _ = sent.await.unwrap();
    for _ in 0..2 {
        let answer = host.apply("second", 1, &changed).await;
        assert_eq!(answer.json()["revision"], 2, "{}", answer.text());
    }
    let late = host.apply("third", 1, &host.fleet_text()).await;
    assert_eq!(late.json()["error"]["code"], "revision_conflict");
    wait_until("revision 2 is in force on both gateways", async || {
        let status = host.status().await;
        status["gateways"]
            .as_array()
            .is_some_and(|gateways| gateways.len() == 2)
            && status["lowest_in_force"] == 2
    })
    .await;
}
