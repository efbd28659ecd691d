//! Route tables, replicas and commands for the tests.

use std::sync::Arc;

use linnethitch_group::{SnapshotSource, StateMachine};
use linnethitch_protocol::{consensus::SnapshotMeta, ids::LogIndex};
use linnethitch_registry::{
    Backend, CallerLimits, Declared, Registry, RegistryAnswer, RegistryCommand, ReplicaChange,
    ReplicaState, Route, RouteKind, RouteTable, ServiceTraits,
};
use linnethitch_storage::{SnapshotReader, SnapshotStore, VirtualDisk};
use linnethitch_tenants::Tenant;

/// Stores a snapshot on a virtual disk.
pub(crate) fn store_snapshot(mut source: impl SnapshotSource) -> SnapshotReader {
    let mut snapshots = SnapshotStore::open(Arc::new(VirtualDisk::new(1))).expect("it opens");
    let meta = SnapshotMeta {
        index: LogIndex(1),
        ..SnapshotMeta::default()
    };
    let mut writer = snapshots.begin(meta).expect("it begins");
    while let Some(piece) = source.next_piece().expect("a piece") {
        writer.write(&piece).expect("it is written");
    }
    snapshots.finish(writer).expect("it is finished");
    snapshots.reader(LogIndex(1)).expect("it is read")
}

pub(crate) fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 4_000,
        target_ms: 300,
        priority: 0,
        public: false,
        backends: vec![Backend {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        resumable: false,
        gap_target_ms: 0,
        completion_ms: 0,
        give_up_ms: 0,
        max_queued_tokens: 0,
        homes: Vec::new(),
    }
}

pub(crate) fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    RouteTable {
        version,
        routes,
        services: vec![ServiceTraits {
            name: "rates".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 100,
            engine: None,
            cold: None,
        }],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
    }
}

pub(crate) fn replica(
    id: &str,
    address: &str,
    state: ReplicaState,
    sequence: u64,
) -> ReplicaChange {
    ReplicaChange {
        id: id.to_owned(),
        service: "rates".to_owned(),
        address: address.to_owned(),
        zone: "worcester".to_owned(),
        slots: 6,
        state,
        sequence,
        incarnation: 0,
        cold_ms: 0,
        software: None,
    }
}

/// A registry with the index of its last log entry.
#[derive(Default)]
pub(crate) struct Applied {
    pub(crate) registry: Registry,
    index: u64,
}

impl Applied {
    pub(crate) fn apply(&mut self, command: &RegistryCommand) -> RegistryAnswer {
        self.index += 1;
        let bytes = command.to_stored().expect("a command encodes");
        self.registry
            .apply(LogIndex(self.index), &bytes)
            .expect("a command applies")
    }

    pub(crate) fn put(&mut self, version: u64, document: &str) -> RegistryAnswer {
        self.put_tenants(version, document, None)
    }

    pub(crate) fn put_tenants(
        &mut self,
        version: u64,
        document: &str,
        tenants: Option<Vec<Tenant>>,
    ) -> RegistryAnswer {
        self.apply(&RegistryCommand::PutConfiguration {
            table: table(version, vec![route("a", "/a/", "rates")]),
            declared: Box::new(Declared {
                tenants,
                document: document.as_bytes().to_vec(),
            }),
        })
    }

    pub(crate) fn state_of(&self, id: &str) -> Option<ReplicaState> {
        self.registry
            .replica(id)
            .map(|record| record.reported.state)
    }
}

/// The bytes of a hexadecimal text.
pub(crate) fn hex_bytes(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2);
    let digits = pairs.map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    digits
        .map(|digits| u8::from_str_radix(digits, 16).expect("hexadecimal"))
        .collect()
}
