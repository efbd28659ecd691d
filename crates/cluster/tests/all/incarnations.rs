//! Heartbeats and the end of a replica that restarts under its id, at a control member.

use std::time::Duration;

use linnethitch_cluster::{ControlNode, GatewayNode};
use linnethitch_registry::{ReplicaChange, ReplicaState};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::support::{LIMIT, free_port, host, node, start_control, until};

/// The replica that restarts.
const ID: &str = "i-1";

/// A control member and a gateway that receives its updates.
struct Fleet {
    control: ControlNode,
    gateway: GatewayNode,
    _folder: TempDir,
}

impl Fleet {
    async fn start(first_host: u8) -> Self {
        let seed = host(first_host);
        let port = free_port(seed);
        let (control, folder) = start_control(node(seed, &[seed], port)).await;
        let address = host(first_host + 1);
        let gateway = GatewayNode::start(&node(address, &[seed], port), format!("{address}:80"));
        // Control commits the new gateway to its record; the tests here must not count that entry.
        until("the gateway is known", || control.known_gateways() == 1).await;
        Fleet {
            control,
            gateway,
            _folder: folder,
        }
    }

    async fn beat(&self, id: &str, number: u64, sequence: u64, state: ReplicaState) {
        self.beat_cold(id, number, sequence, state, 0).await;
    }

    async fn beat_cold(
        &self,
        id: &str,
        number: u64,
        sequence: u64,
        state: ReplicaState,
        cold_ms: u64,
    ) {
        let change = ReplicaChange {
            id: id.to_owned(),
            service: "service".to_owned(),
            address: format!("{id}:80"),
            zone: "zone".to_owned(),
            slots: 4,
            state,
            sequence,
            incarnation: number,
            cold_ms,
            software: None,
        };
        let acknowledged = self.control.heartbeat(change, LIMIT).await;
        acknowledged.expect("the heartbeat is acknowledged");
    }

    fn stored(&self) -> Option<(u64, ReplicaState)> {
        let fleet = self.gateway.fleet();
        let reported = &fleet.replica(ID)?.reported;
        Some((reported.incarnation, reported.state))
    }

    async fn until_stored(&self, number: u64, state: ReplicaState) {
        let what = format!("incarnation {number} is {state:?}");
        until(&what, || self.stored() == Some((number, state))).await;
    }

    /// Waits until the gateway knows everything that was committed by now.
    async fn settle(&self, marker: &str) {
        self.beat(marker, 0, 1, ReplicaState::Ready).await;
        until("the marker is known", || {
            self.gateway.fleet().replica(marker).is_some()
        })
        .await;
    }
}

/// Guards against heartbeats of a new incarnation, whose sequence starts again at one, being
/// treated as late heartbeats of the earlier incarnation.
#[tokio::test]
async fn a_new_incarnation_replaces_the_earlier_one() {
    let fleet = Fleet::start(40).await;
    fleet.beat(ID, 1, 50, ReplicaState::Ready).await;
    fleet.until_stored(1, ReplicaState::Ready).await;
    fleet.beat(ID, 2, 1, ReplicaState::Ready).await;
    fleet.until_stored(2, ReplicaState::Ready).await;
    fleet.beat(ID, 1, 51, ReplicaState::Draining).await;
    fleet.settle("marker-1").await;
    assert_eq!(fleet.stored(), Some((2, ReplicaState::Ready)));
    let removed = fleet.control.remove_replica(ID, LIMIT).await;
    removed.expect("the removal is acknowledged");
    fleet.until_stored(2, ReplicaState::Ended).await;
    fleet.beat(ID, 1, 99, ReplicaState::Ready).await;
    fleet.beat(ID, 2, 99, ReplicaState::Ready).await;
    fleet.settle("marker-2").await;
    assert_eq!(fleet.stored(), Some((2, ReplicaState::Ended)));
    fleet.beat(ID, 3, 1, ReplicaState::Ready).await;
    fleet.until_stored(3, ReplicaState::Ready).await;
}

/// Heartbeats without changes are not committed, nor are late ones of an earlier incarnation.
#[tokio::test]
async fn heartbeats_without_changes_are_not_committed() {
    let fleet = Fleet::start(50).await;
    fleet.beat(ID, 2, 1, ReplicaState::Ready).await;
    fleet.until_stored(2, ReplicaState::Ready).await;
    let committed = fleet.gateway.fleet().up_to_index();
    for sequence in 2..30 {
        fleet.beat(ID, 2, sequence, ReplicaState::Ready).await;
        fleet.beat(ID, 1, sequence, ReplicaState::Draining).await;
    }
    fleet.settle("marker").await;
    assert_eq!(fleet.gateway.fleet().up_to_index().0, committed.0 + 1);
}

/// Guards against ignoring a replica that announces the same cold time a second time, and counting
/// it as warm while it is cold.
#[tokio::test]
async fn a_renewed_cold_time_is_committed() {
    const COLD_MS: u64 = 10_000;
    let fleet = Fleet::start(60).await;
    fleet
        .beat_cold(ID, 0, 1, ReplicaState::Ready, COLD_MS)
        .await;
    fleet.settle("marker-1").await;
    let committed = fleet.gateway.fleet().up_to_index();
    // A shorter remaining time, as from a replica that is only becoming warm.
    for sequence in 2..10 {
        fleet
            .beat_cold(ID, 0, sequence, ReplicaState::Ready, COLD_MS / 2)
            .await;
    }
    fleet.settle("marker-2").await;
    assert_eq!(fleet.gateway.fleet().up_to_index().0, committed.0 + 1);
    sleep(Duration::from_millis(500)).await;
    fleet
        .beat_cold(ID, 0, 10, ReplicaState::Ready, COLD_MS)
        .await;
    fleet.settle("marker-3").await;
    assert_eq!(fleet.gateway.fleet().up_to_index().0, committed.0 + 3);
    let fleet = fleet.gateway.fleet();
    let stored = fleet.replica(ID).expect("the replica is stored");
    assert_eq!(
        (stored.reported.sequence, stored.reported.cold_ms),
        (10, COLD_MS)
    );
}
