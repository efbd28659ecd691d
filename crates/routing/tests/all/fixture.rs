//! Replicas, requests and random generators shared by the tests.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::{
    fleet::{BackEndKind, EngineRole, EngineState, LoadReport, Machine, MachineState, ReplicaInfo},
    ids::{FencingToken, ModelId, ReplicaId, ServiceId, Timestamp, ZoneId},
};
use linnethitch_routing::{
    Class, Phase, ReplicaIndex, RequestProfile, Router, Target, costs::Work,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub(crate) const NOW: Timestamp = Timestamp(1_000_000);

pub(crate) fn later(ms: u64) -> Timestamp {
    Timestamp(NOW.0 + ms)
}

pub(crate) fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

pub(crate) fn engine(name: &str, zone: &str) -> ReplicaInfo {
    ReplicaInfo {
        machine: Machine {
            replica: ReplicaId::from(name),
            kind: BackEndKind::Engine,
            zone: ZoneId::from(zone),
            address: format!("{name}:80"),
            state: MachineState::Live,
        },
        engine: EngineState {
            model: Some(ModelId::from("quote")),
            version: "v1".to_owned(),
            adapters: vec!["lane".to_owned()],
            role: EngineRole::Mixed,
            fence: FencingToken::default(),
            leaving: false,
        },
    }
}

pub(crate) fn application(name: &str, zone: &str) -> ReplicaInfo {
    let mut info = engine(name, zone);
    info.machine.kind = BackEndKind::Application(ServiceId::from("tariff"));
    info.engine = EngineState::default();
    info
}

/// A router of a gateway in zone `a` with the given replicas.
pub(crate) fn router(replicas: impl IntoIterator<Item = ReplicaInfo>) -> Router {
    let mut router = Router::new(ZoneId::from("a"), RoutingPolicy::default());
    router.view_mut().set_replicas(replicas);
    router
}

pub(crate) fn index(router: &Router, name: &str) -> ReplicaIndex {
    router.view().index_of(&ReplicaId::from(name)).unwrap()
}

pub(crate) fn name_of(router: &Router, index: ReplicaIndex) -> String {
    router
        .view()
        .replica(index)
        .info()
        .machine
        .replica
        .0
        .clone()
}

pub(crate) fn model_target() -> Target<'static> {
    Target::Model {
        name: "quote",
        adapter: None,
        version: None,
    }
}

pub(crate) fn request() -> RequestProfile<'static> {
    RequestProfile {
        target: model_target(),
        class: Class::Online,
        phase: Phase::PrefillAndDecode,
        prompt_tokens: 200,
        expected_output_tokens: 100,
        prefix_hashes: &[],
        deadline: later(60_000),
        exclude: &[],
    }
}

pub(crate) fn work(class: Class, prefill_tokens: u32) -> Work {
    Work {
        class,
        prefill_tokens,
        output_tokens: 100,
    }
}

pub(crate) fn report(
    measured_at: Timestamp,
    running_online: u32,
    queued_tokens: u32,
) -> LoadReport {
    LoadReport {
        measured_at,
        running_online,
        queued_prefill_tokens: queued_tokens,
        kv_capacity_tokens: 100_000,
        max_running: 64,
        ..LoadReport::default()
    }
}
