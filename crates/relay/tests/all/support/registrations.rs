//! Registers replicas and zone orders with control, and waits until gateways know them.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use linnethitch_registry::{ReplicaChange, ReplicaState};

use super::{
    LIMIT, OTHER_ZONE, ZONE,
    fleet::Fleet,
    replica::{Replica, twin},
};

impl Fleet {
    /// Registers a replica of this zone.
    pub(crate) async fn register(
        &self,
        number: usize,
        address: SocketAddr,
        state: ReplicaState,
        sequence: u64,
    ) {
        self.register_incarnation(number, address, 0, state, sequence)
            .await;
    }

    /// Registers a replica of this zone with a software version.
    pub(crate) async fn register_software(
        &self,
        number: usize,
        address: SocketAddr,
        version: Option<&str>,
        state: ReplicaState,
        sequence: u64,
    ) {
        let change = ReplicaChange {
            software: version.map(str::to_owned),
            ..replica_change(number, address, state, sequence)
        };
        self.heartbeat(change).await;
    }

    /// Waits until the gateway knows the software and the state of a replica.
    pub(crate) async fn wait_until_software_is(
        &self,
        number: usize,
        version: Option<&str>,
        state: ReplicaState,
    ) {
        let mut views = self.relay.gateway().follow();
        let known = views.wait_for(|view| {
            let record = view.replica(&format!("i-{number}"));
            record.is_some_and(|record| {
                record.reported.software.as_deref() == version && record.reported.state == state
            })
        });
        tokio::time::timeout(LIMIT, known)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }

    /// Registers an incarnation of a replica.
    pub(crate) async fn register_incarnation(
        &self,
        number: usize,
        address: SocketAddr,
        incarnation: u64,
        state: ReplicaState,
        sequence: u64,
    ) {
        self.heartbeat(ReplicaChange {
            id: format!("i-{number}"),
            service: "service".to_owned(),
            address: address.to_string(),
            zone: ZONE.to_owned(),
            slots: 4,
            state,
            sequence,
            incarnation,
            cold_ms: 0,
            software: Some("v1".to_owned()),
        })
        .await;
    }

    /// Registers a replica in the other zone and waits until it is known.
    pub(crate) async fn add_in_other_zone(&self, number: usize, replica: &Replica) {
        self.add_in_zone(number, replica, OTHER_ZONE).await;
    }

    /// Registers a replica in a zone and waits until it is known.
    pub(crate) async fn add_in_zone(&self, number: usize, replica: &Replica, zone: &str) {
        self.add_address_in_zone(number, replica.address, zone)
            .await;
    }

    /// Like [`Self::add_in_other_zone`], for an address that may have no replica.
    pub(crate) async fn add_address_in_other_zone(&self, number: usize, address: SocketAddr) {
        self.add_address_in_zone(number, address, OTHER_ZONE).await;
    }

    /// Registers a replica by a host name and waits until it is known.
    pub(crate) async fn add_named(&self, number: usize, address: &str) {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let change = ReplicaChange {
            address: address.to_owned(),
            ..replica_change(number, nowhere, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
        self.wait_until_known(number).await;
    }

    async fn add_address_in_zone(&self, number: usize, address: SocketAddr, zone: &str) {
        let change = ReplicaChange {
            zone: zone.to_owned(),
            ..replica_change(number, address, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
        self.wait_until_known(number).await;
    }

    /// Registers the end of a replica and waits until it is known.
    pub(crate) async fn remove_of_service(
        &self,
        number: usize,
        replica: &Replica,
        zone: &str,
        service: &str,
    ) {
        let change = ReplicaChange {
            service: service.to_owned(),
            zone: zone.to_owned(),
            ..replica_change(number, replica.address, ReplicaState::Ended, 2)
        };
        self.heartbeat(change).await;
        let id = format!("i-{number}");
        let mut views = self.relay.gateway().follow();
        let gone = views.wait_for(|view| !view.live_replicas().any(|r| r.reported.id == id));
        tokio::time::timeout(LIMIT, gone)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }

    /// Registers a replica of another service and waits until it is known.
    pub(crate) async fn add_of_service(
        &self,
        number: usize,
        replica: &Replica,
        zone: &str,
        service: &str,
    ) {
        let change = ReplicaChange {
            service: service.to_owned(),
            zone: zone.to_owned(),
            ..replica_change(number, replica.address, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
        self.wait_until_known(number).await;
    }

    /// Registers a replica that is cold for this time.
    pub(crate) async fn register_cold(&self, number: usize, address: SocketAddr, cold_ms: u64) {
        let change = ReplicaChange {
            cold_ms,
            ..replica_change(number, address, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
    }

    /// Registers that a cold replica is warm; waits until this number of cold replicas remains.
    pub(crate) async fn register_warm(&self, number: usize, address: SocketAddr, remaining: usize) {
        let change = replica_change(number, address, ReplicaState::Ready, 2);
        self.heartbeat(change).await;
        let figure = format!("relay_cold_replicas {remaining}\n");
        let warm = async {
            while !self.relay.metrics_text().contains(&figure) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, warm).await.expect("in time");
    }

    async fn heartbeat(&self, change: ReplicaChange) {
        self.control
            .heartbeat(change, LIMIT)
            .await
            .expect("control stores the change");
    }

    /// Evacuates or restores a zone and waits until the gateway acts on it.
    pub(crate) async fn evacuate(&self, zone: &str, evacuated: bool) {
        let ordered = if evacuated {
            self.control.evacuate_zone(zone, LIMIT).await
        } else {
            self.control.restore_zone(zone, LIMIT).await
        };
        ordered.expect("control stores the change");
        let known = async {
            let figure = format!("relay_evacuated_zones {}", u8::from(evacuated));
            while !self.relay.metrics_text().contains(&figure) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, known).await.expect("in time");
    }

    /// Registers a second replica that shares the actions of this one.
    pub(crate) async fn add_twin(&self, replica: &Replica) {
        let address = twin(replica).await;
        self.register(1, address, ReplicaState::Ready, 1).await;
        self.wait_for(2).await;
    }

    /// Like [`Self::add_twin`], in a zone and with this number.
    pub(crate) async fn add_twin_in_zone(&self, number: usize, replica: &Replica, zone: &str) {
        let address = twin(replica).await;
        self.add_address_in_zone(number, address, zone).await;
    }

    /// Waits until the gateway knows a replica.
    pub(crate) async fn wait_until_known(&self, number: usize) {
        let mut views = self.relay.gateway().follow();
        let known = views.wait_for(|view| view.replica(&format!("i-{number}")).is_some());
        tokio::time::timeout(LIMIT, known)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }

    /// Waits until the gateway knows this number of ready replicas.
    pub(crate) async fn wait_for(&self, ready: usize) {
        let mut views = self.relay.gateway().follow();
        let known = views.wait_for(|view| {
            let replicas = view.live_replicas();
            replicas
                .filter(|r| r.reported.state == ReplicaState::Ready)
                .count()
                == ready
                && view.table().is_some()
        });
        tokio::time::timeout(LIMIT, known)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }
}

fn replica_change(
    number: usize,
    address: SocketAddr,
    state: ReplicaState,
    sequence: u64,
) -> ReplicaChange {
    ReplicaChange {
        id: format!("i-{number}"),
        service: "service".to_owned(),
        address: address.to_string(),
        zone: "zone".to_owned(),
        slots: 4,
        state,
        sequence,
        incarnation: 0,
        cold_ms: 0,
        software: Some("v1".to_owned()),
    }
}
