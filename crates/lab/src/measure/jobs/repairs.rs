//! Measures how long a crashed member and a member with a blank disk take to become
//! up-to-date voters again.

use std::time::Instant;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use serde::Serialize;

use super::cluster::Cluster;

/// Times in milliseconds, one for each loss.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Repairs {
    /// From the start of a crashed member until it is a voter and up to date.
    pub(super) restart_ms: Vec<f64>,
    /// From the start on a blank disk until this disk is a voter and up to date.
    pub(super) repair_ms: Vec<f64>,
    /// Bytes of a repaired member's files.
    pub(super) disk_bytes: u64,
}

/// Crashes the leader and then wipes the leader's disk, `count` times.
pub(super) async fn measure(
    cluster: &mut Cluster,
    count: u32,
) -> Result<Repairs, Report<ErrorKind>> {
    let mut repairs = Repairs::default();
    for _ in 0..count {
        let leader = cluster.leader().await;
        cluster.crash(leader).await;
        repairs.restart_ms.push(restart(cluster, leader).await?);
        let leader = cluster.leader().await;
        cluster.stop(leader).await;
        cluster.wipe(leader)?;
        repairs.repair_ms.push(restart(cluster, leader).await?);
        repairs.disk_bytes = cluster.disk_bytes(leader);
    }
    Ok(repairs)
}

/// Starts a member and waits until it is up to date and all members are voters.
async fn restart(cluster: &mut Cluster, number: u32) -> Result<f64, Report<ErrorKind>> {
    let started = Instant::now();
    cluster.restart(number).await?;
    cluster.wait_until_complete(number).await?;
    Ok(started.elapsed().as_secs_f64() * 1_000.0)
}
