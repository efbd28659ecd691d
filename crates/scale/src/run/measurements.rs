//! The figures of a run in the form of the capacity page.

use super::results::{ScaleResults, Step, TenantStep};
use crate::capacity::{Dimension, Frequency, Kind, Measurement, Point, Role, Source};

/// A figure of a number of gateways.
struct OfStep {
    id: &'static str,
    role: Role,
    kind: Kind,
    what: &'static str,
    value: fn(&Step) -> f64,
}

const OF_STEPS: [OfStep; 8] = [
    OfStep {
        id: "gateway.traffic.gateways",
        role: Role::Gateway,
        kind: Kind::Traffic,
        what: "everything with control in a quiet time, three responses a second",
        value: |step| step.hollow.bytes_per_second,
    },
    OfStep {
        id: "gateway.messages.gateways",
        role: Role::Gateway,
        kind: Kind::Messages,
        what: "everything with control in a quiet time",
        value: |step| step.hollow_frames_per_second,
    },
    OfStep {
        id: "gateway.cpu.gateways",
        role: Role::Gateway,
        kind: Kind::Cpu,
        what: "everything with control in a quiet time",
        value: |step| step.hollow.cores,
    },
    OfStep {
        id: "control-leader.cpu.gateways",
        role: Role::ControlLeader,
        kind: Kind::Cpu,
        what: "a quiet time",
        value: |step| step.leader.cores,
    },
    OfStep {
        id: "control-leader.traffic.gateways",
        role: Role::ControlLeader,
        kind: Kind::Traffic,
        what: "gateways and members in a quiet time",
        value: |step| step.leader.bytes_per_second,
    },
    OfStep {
        id: "control-follower.cpu.gateways",
        role: Role::ControlFollower,
        kind: Kind::Cpu,
        what: "a quiet time",
        value: |step| step.follower.cores,
    },
    OfStep {
        id: "control-follower.traffic.gateways",
        role: Role::ControlFollower,
        kind: Kind::Traffic,
        what: "gateways and members in a quiet time",
        value: |step| step.follower.bytes_per_second,
    },
    OfStep {
        id: "fleet.time.gateways",
        role: Role::Fleet,
        kind: Kind::Time,
        what: "from the answer that accepts a change until it is in force in every gateway",
        value: |step| step.change_seconds,
    },
];

/// A figure of a number of tenants.
struct OfTenants {
    id: &'static str,
    role: Role,
    kind: Kind,
    what: &'static str,
    each: Option<Frequency>,
    value: fn(&TenantStep) -> f64,
}

const OF_TENANTS: [OfTenants; 7] = [
    OfTenants {
        id: "gateway.memory.tenants",
        role: Role::Gateway,
        kind: Kind::Memory,
        what: "the whole process without callers",
        each: None,
        value: |step| step.gateway_memory_bytes,
    },
    OfTenants {
        id: "gateway.disk.tenants",
        role: Role::Gateway,
        kind: Kind::Disk,
        what: "the stored configuration",
        each: None,
        value: |step| step.file_bytes as f64,
    },
    OfTenants {
        id: "gateway.cpu.changes",
        role: Role::Gateway,
        kind: Kind::Cpu,
        what: "a change of one tenant, stored and in force",
        each: Some(Frequency::Change),
        value: |step| step.gateway_change_seconds,
    },
    OfTenants {
        id: "control-leader.memory.process",
        role: Role::ControlLeader,
        kind: Kind::Memory,
        what: "the whole process without jobs",
        each: None,
        value: |step| step.leader_memory_bytes,
    },
    OfTenants {
        id: "control-leader.cpu.changes",
        role: Role::ControlLeader,
        kind: Kind::Cpu,
        what: "a change of one tenant",
        each: Some(Frequency::Change),
        value: |step| step.leader_change_seconds,
    },
    OfTenants {
        id: "control-follower.memory.process",
        role: Role::ControlFollower,
        kind: Kind::Memory,
        what: "the whole process without jobs",
        each: None,
        value: |step| step.follower_memory_bytes,
    },
    OfTenants {
        id: "control-follower.cpu.changes",
        role: Role::ControlFollower,
        kind: Kind::Cpu,
        what: "a change of one tenant",
        each: Some(Frequency::Change),
        value: |step| step.follower_change_seconds,
    },
];

/// A duration that was measured once, at the full size.
struct OfEvent {
    id: &'static str,
    what: &'static str,
    value: fn(&ScaleResults) -> f64,
}

const OF_EVENTS: [OfEvent; 6] = [
    OfEvent {
        id: "fleet.time.burst-accepted",
        what: "100 changes one after the other, until the last is accepted",
        value: |results| results.events.burst_accepted_seconds,
    },
    OfEvent {
        id: "fleet.time.burst-slowest",
        what: "the slowest change of the burst, until it is in force in every hollow gateway",
        value: |results| results.events.burst_slowest_seconds,
    },
    OfEvent {
        id: "fleet.time.follower-killed",
        what: "all gateways attached again after the death of a follower's process",
        value: |results| results.events.follower_killed_seconds,
    },
    OfEvent {
        id: "fleet.time.leader-killed",
        what: "all gateways attached again after the death of the leader's process",
        value: |results| results.events.leader_killed_seconds,
    },
    OfEvent {
        id: "fleet.time.leader-killed-accepted",
        what: "a change accepted after the death of the leader's process",
        value: |results| results.events.leader_killed_accepted_seconds,
    },
    OfEvent {
        id: "fleet.time.control-restarted",
        what: "all gateways attached with a session after all members were killed and started",
        value: |results| results.events.control_restarted_seconds,
    },
];

/// All figures that the capacity page has a place for.
#[must_use]
pub fn measurements(results: &ScaleResults, source: &Source) -> Vec<Measurement> {
    let steps = OF_STEPS.iter().map(|figure| Measurement {
        id: figure.id.to_owned(),
        role: figure.role,
        kind: figure.kind,
        what: figure.what.to_owned(),
        per: Dimension::Gateways,
        each: None,
        points: points(&results.steps, |step| (step.gateways, (figure.value)(step))),
        source: source.clone(),
    });
    let tenants = OF_TENANTS.iter().map(|figure| Measurement {
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
    let events = OF_EVENTS.iter().map(|figure| Measurement {
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
