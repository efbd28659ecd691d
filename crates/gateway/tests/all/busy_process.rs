//! Leases and leadership while a process is too busy to serve its callers.

use std::{thread, time::Duration};

use crate::{
    batch_execution::results,
    explain::explain,
    support::{
        gateway::{OPERATOR_KEY, TestGateway, fleet_file, wait_until},
        members::System,
    },
    system::{create, job, long_lines},
};

const LEASE: Duration = Duration::from_secs(2);
const ITEMS: usize = 20;

/// Guards against jobs that never end under load: while every task of the process
/// waited for longer than a lease, members lost their leader and gateways their leases, and all items ran again.
#[tokio::test]
async fn leases_and_the_leader_hold_while_every_task_waits() {
    let batch = format!("[batch]\nlease_ms = {}\n", LEASE.as_millis());
    let system = System::start(2, &format!("{}\n{batch}", fleet_file())).await;
    let gateway = TestGateway::attached(&system.attach).await;
    let id = create(&gateway, long_lines(ITEMS)).await;
    wait_until("the items run", async || {
        system.engines.iter().any(|engine| engine.executions() > 0)
    })
    .await;
    let leader = system.leader();
    // The test has one thread, so no other task of it runs during the sleep.
    thread::sleep(3 * LEASE);
    assert!(leader.is_some());
    assert_eq!(system.leader(), leader);
    wait_until("the job is completed", async || {
        job(&gateway, &id).await["status"] == "completed"
    })
    .await;
    let job = job(&gateway, &id).await;
    let done = results(&gateway, &job, "output_file_id").await;
    assert_eq!(done.len(), ITEMS);
    let records = explain(&gateway, &id, OPERATOR_KEY).await;
    let mut records = records.iter();
    assert!(records.all(|record| record["reason"] != "lease_ended"));
}
