//! Heartbeats and ends of a replica that starts again under its id, at a control member.

use std::time::Duration;

use linnethitch_cluster::{ControlNode, GatewayNode};
use linnethitch_registry::{ReplicaChange, ReplicaState};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::support::{LIMIT, free_port, host, node, start_control, until};

/// The replica that starts again.
const ID: &str = "i-1";

/// A control member, and a gateway that follows it.
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
        // Control commits that it knows the gateway: that is not what tests here count.
        until("the gateway is known", || control.known_gateways() == 1).await;
        Fleet {
            control,
            gateway,
            _folder: folder,
        }
    }

    async fn beat(&self, id: &str, born: u64, sequence: u64, state: ReplicaState) {
        self.beat_cold(id, born, sequence, state, 0).await;
    }

    async fn beat_cold(
        &self,
        id: &str,
        born: u64,
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
            incarnation: born,
            cold_ms,
        };
        let beaten = self.control.heartbeat(change, LIMIT).await;
        beaten.expect("it is acknowledged");
    }

    fn held(&self) -> Option<(u64, ReplicaState)> {
        let fleet = self.gateway.fleet();
        let told = &fleet.replica(ID)?.reported;
        Some((told.incarnation, told.state))
    }

    async fn until_held(&self, born: u64, state: ReplicaState) {
        let what = format!("start {born} is {state:?}");
        until(&what, || self.held() == Some((born, state))).await;
    }

    /// Waits until the gateway knows all that was committed by now.
    async fn settle(&self, marker: &str) {
        self.beat(marker, 0, 1, ReplicaState::Ready).await;
        until("the marker is known", || {
            self.gateway.fleet().replica(marker).is_some()
        })
        .await;
    }
}

/// The failure this is for: heartbeats of a new start count from one again and were
/// taken for late ones of the start before.
#[tokio::test]
async fn a_replica_that_starts_again_is_known_and_its_earlier_start_stays_away() {
    let fleet = Fleet::start(40).await;
    fleet.beat(ID, 1, 50, ReplicaState::Ready).await;
    fleet.until_held(1, ReplicaState::Ready).await;
    fleet.beat(ID, 2, 1, ReplicaState::Ready).await;
    fleet.until_held(2, ReplicaState::Ready).await;
    fleet.beat(ID, 1, 51, ReplicaState::Draining).await;
    fleet.settle("marker-1").await;
    assert_eq!(fleet.held(), Some((2, ReplicaState::Ready)));
    let removed = fleet.control.remove_replica(ID, LIMIT).await;
    removed.expect("it is acknowledged");
    fleet.until_held(2, ReplicaState::Ended).await;
    fleet.beat(ID, 1, 99, ReplicaState::Ready).await;
    fleet.beat(ID, 2, 99, ReplicaState::Ready).await;
    fleet.settle("marker-2").await;
    assert_eq!(fleet.held(), Some((2, ReplicaState::Ended)));
    fleet.beat(ID, 3, 1, ReplicaState::Ready).await;
    fleet.until_held(3, ReplicaState::Ready).await;
}

/// Heartbeats that say nothing new are not committed, late ones of an earlier start
/// neither.
#[tokio::test]
async fn what_says_nothing_new_is_not_committed() {
    let fleet = Fleet::start(50).await;
    fleet.beat(ID, 2, 1, ReplicaState::Ready).await;
    fleet.until_held(2, ReplicaState::Ready).await;
    let committed = fleet.gateway.fleet().up_to_index();
    for sequence in 2..30 {
        fleet.beat(ID, 2, sequence, ReplicaState::Ready).await;
        fleet.beat(ID, 1, sequence, ReplicaState::Draining).await;
    }
    fleet.settle("marker").await;
    assert_eq!(fleet.gateway.fleet().up_to_index().0, committed.0 + 1);
}

/// The failure this is for: a replica that said for the second time that it is cold for
/// as long as the first time was not heard, and counted as warm while it was cold.
#[tokio::test]
async fn a_replica_that_is_cold_again_while_it_is_cold_is_heard() {
    const COLD_MS: u64 = 10_000;
    let fleet = Fleet::start(60).await;
    fleet
        .beat_cold(ID, 0, 1, ReplicaState::Ready, COLD_MS)
        .await;
    fleet.settle("marker-1").await;
    let committed = fleet.gateway.fleet().up_to_index();
    // Less is left, as of a replica that only grows warm.
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
    let held = fleet.replica(ID).expect("it is held");
    assert_eq!(
        (held.reported.sequence, held.reported.cold_ms),
        (10, COLD_MS)
    );
}
