//! Converts the results of a run to measurements for the capacity page.

use super::results::{GatewayStep, ScaleResults, TenantStep};
use crate::capacity::{Dimension, Frequency, Kind, Measurement, Point, Role, Source};

/// A measurement by number of gateways.
struct GatewayFigure {
    id: &'static str,
    role: Role,
    kind: Kind,
    what: &'static str,
    value: fn(&GatewayStep) -> f64,
}

const GATEWAY_FIGURES: [GatewayFigure; 8] = [
    GatewayFigure {
        id: "gateway.traffic.gateways",
        role: Role::Gateway,
        kind: Kind::Traffic,
        what: "everything with control in a quiet time, three responses a second",
        value: |step| step.hollow.bytes_per_second,
    },
    GatewayFigure {
        id: "gateway.messages.gateways",
        role: Role::Gateway,
        kind: Kind::Messages,
        what: "everything with control in a quiet time",
        value: |step| step.hollow_frames_per_second,
    },
    GatewayFigure {
        id: "gateway.cpu.gateways",
        role: Role::Gateway,
        kind: Kind::Cpu,
        what: "everything with control in a quiet time",
        value: |step| step.hollow.cores,
    },
    GatewayFigure {
        id: "control-leader.cpu.gateways",
        role: Role::ControlLeader,
        kind: Kind::Cpu,
        what: "a quiet time",
        value: |step| step.leader.cores,
    },
    GatewayFigure {
        id: "control-leader.traffic.gateways",
        role: Role::ControlLeader,
        kind: Kind::Traffic,
        what: "gateways and members in a quiet time",
        value: |step| step.leader.bytes_per_second,
    },
    GatewayFigure {
        id: "control-follower.cpu.gateways",
        role: Role::ControlFollower,
        kind: Kind::Cpu,
        what: "a quiet time",
        value: |step| step.follower.cores,
    },
    GatewayFigure {
        id: "control-follower.traffic.gateways",
        role: Role::ControlFollower,
        kind: Kind::Traffic,
        what: "gateways and members in a quiet time",
        value: |step| step.follower.bytes_per_second,
    },
    GatewayFigure {
        id: "fleet.time.gateways",
        role: Role::Fleet,
        kind: Kind::Time,
        what: "from the answer that accepts a change until it is in force in every gateway",
        value: |step| step.change_seconds,
    },
];

/// A measurement by number of tenants.
struct TenantFigure {
    id: &'static str,
    role: Role,
    kind: Kind,
    what: &'static str,
    each: Option<Frequency>,
    value: fn(&TenantStep) -> f64,
}

const TENANT_FIGURES: [TenantFigure; 7] = [
    TenantFigure {
        id: "gateway.memory.tenants",
        role: Role::Gateway,
        kind: Kind::Memory,
        what: "the whole process without callers",
        each: None,
        value: |step| step.gateway_memory_bytes,
    },
    TenantFigure {
        id: "gateway.disk.tenants",
        role: Role::Gateway,
        kind: Kind::Disk,
        what: "the stored configuration",
        each: None,
        value: |step| step.file_bytes as f64,
    },
    TenantFigure {
        id: "gateway.cpu.changes",
        role: Role::Gateway,
        kind: Kind::Cpu,
        what: "a change of one tenant, stored and in force",
        each: Some(Frequency::Change),
        value: |step| step.gateway_change_seconds,
    },
    TenantFigure {
        id: "control-leader.memory.process",
        role: Role::ControlLeader,
        kind: Kind::Memory,
        what: "the whole process without jobs",
        each: None,
        value: |step| step.leader_memory_bytes,
    },
    TenantFigure {
        id: "control-leader.cpu.changes",
        role: Role::ControlLeader,
        kind: Kind::Cpu,
        what: "a change of one tenant",
        each: Some(Frequency::Change),
        value: |step| step.leader_change_seconds,
    },
    TenantFigure {
        id: "control-follower.memory.process",
        role: Role::ControlFollower,
        kind: Kind::Memory,
        what: "the whole process without jobs",
        each: None,
        value: |step| step.follower_memory_bytes,
    },
    TenantFigure {
        id: "control-follower.cpu.changes",
        role: Role::ControlFollower,
        kind: Kind::Cpu,
        what: "a change of one tenant",
        each: Some(Frequency::Change),
        value: |step| step.follower_change_seconds,
    },
];

/// A duration measured once, at the full size.
struct EventFigure {
    id: &'static str,
    what: &'static str,
    value: fn(&ScaleResults) -> f64,
}

const EVENT_FIGURES: [EventFigure; 6] = [
    EventFigure {
        id: "fleet.time.burst-accepted",
        what: "100 changes one after the other, until the last is accepted",
        value: |results| results.events.burst_accepted_seconds,
    },
    EventFigure {
        id: "fleet.time.burst-slowest",
        what: "the slowest change of the burst, until it is in force in every hollow gateway",
        value: |results| results.events.burst_slowest_seconds,
    },
    EventFigure {
        id: "fleet.time.follower-killed",
        what: "all gateways attached again after the death of a follower's process",
        value: |results| results.events.follower_killed_seconds,
    },
    EventFigure {
        id: "fleet.time.leader-killed",
        what: "all gateways attached again after the death of the leader's process",
        value: |results| results.events.leader_killed_seconds,
    },
    EventFigure {
        id: "fleet.time.leader-killed-accepted",
        what: "a change accepted after the death of the leader's process",
        value: |results| results.events.leader_killed_accepted_seconds,
    },
    EventFigure {
        id: "fleet.time.control-restarted",
        what: "all gateways attached with a session after all members were killed and started",
        value: |results| results.events.control_restarted_seconds,
    },
];

/// All results of a run that the capacity page shows, as measurements.
#[must_use]
pub fn measurements(results: &ScaleResults, source: &Source) -> Vec<Measurement> {
    let steps = GATEWAY_FIGURES.iter().map(|figure| Measurement {
        id: figure.id.to_owned(),
        role: figure.role,
        kind: figure.kind,
        what: figure.what.to_owned(),
        per: Dimension::Gateways,
        each: None,
        points: points(&results.steps, |step| (step.gateways, (figure.value)(step))),
        source: source.clone(),
    });
    let tenants = TENANT_FIGURES.iter().map(|figure| Measurement {
        id: figure.id.to_owned(),
        role: figure.role,
        kind: figure.kind,
        what: figure.what.to_owned(),
        per: Dimension::Tenants,
        each: figure.each,
        points: points(&results.tenant_steps, |step| {
            (step.tenants, (figure.value)(step))
        }),
        source: source.clone(),
    });
    let full_size = results.steps.last().map_or(0, |step| step.gateways);
    let events = EVENT_FIGURES.iter().map(|figure| Measurement {
        id: figure.id.to_owned(),
        role: Role::Fleet,
        kind: Kind::Time,
        what: figure.what.to_owned(),
        per: Dimension::Gateways,
        each: None,
        points: vec![Point {
            size: full_size,
            value: (figure.value)(results),
        }],
        source: source.clone(),
    });
    steps.chain(tenants).chain(events).collect()
}

fn points<T>(steps: &[T], point: impl Fn(&T) -> (u64, f64)) -> Vec<Point> {
    let point = |step| {
        let (size, value) = point(step);
        Point { size, value }
    };
    steps.iter().map(point).collect()
}
