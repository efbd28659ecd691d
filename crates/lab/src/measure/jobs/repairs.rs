//! Times of losses: from the loss of a leader to the next commit, of a repair, of a restart.

use std::time::Instant;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use serde::Serialize;

use crate::output::say;

use super::{
    cluster::{Cluster, LOOK},
    work::Worker,
};

/// Times in milliseconds, one a loss.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Losses {
    /// From the crash of the leader to the next commit through another member.
    pub(super) crash_to_commit_ms: Vec<f64>,
    /// From the call of a leader's planned stop to the next commit.
    pub(super) stop_to_commit_ms: Vec<f64>,
    /// From the start on a blank disk until it votes.
    pub(super) repair_ms: Vec<f64>,
    /// From the start of a crashed member until it votes and has everything.
    pub(super) restart_ms: Vec<f64>,
    /// Bytes of a member's files at that time.
    pub(super) disk_bytes: u64,
}

/// Loses so many leaders and disks, one after the other.
pub(super) async fn measure(
    cluster: &mut Cluster,
    count: u32,
) -> Result<Losses, Report<ErrorKind>> {
    let mut losses = Losses::default();
    for _ in 0..count {
        let leader = cluster.leader().await;
        let worker = Worker::open(cluster, cluster.others(leader)[0], "survivor").await?;
        let started = Instant::now();
        cluster.crash(leader).await;
        commit(&worker).await;
        losses.crash_to_commit_ms.push(milliseconds(started));
        say("  a leader has crashed and a change is committed");
        losses.restart_ms.push(restart(cluster, leader).await?);
        say("  it is back");

        let leader = cluster.leader().await;
        let worker = Worker::open(cluster, cluster.others(leader)[0], "survivor").await?;
        let started = Instant::now();
        let (_, stopped_at) = tokio::join!(cluster.stop(leader), async {
            commit(&worker).await;
            milliseconds(started)
        });
        losses.stop_to_commit_ms.push(stopped_at);
        say("  a leader has stopped and a change is committed");
        cluster.wipe(leader)?;
        losses.repair_ms.push(restart(cluster, leader).await?);
        say("  it votes again on a blank disk");
        losses.disk_bytes = cluster.disk_bytes(leader);
    }
    Ok(losses)
}

/// Starts a member and waits until all vote.
async fn restart(cluster: &mut Cluster, number: u32) -> Result<f64, Report<ErrorKind>> {
    let all = cluster.others(number).len() + 1;
    let started = Instant::now();
    cluster.restart(number).await?;
    cluster.wait_for_all(number, all).await?;
    Ok(milliseconds(started))
}

/// Tries until a change is committed.
async fn commit(worker: &Worker) {
    while worker.renew().await.is_err() {
        tokio::time::sleep(LOOK).await;
    }
}

fn milliseconds(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}
