//! Costs and budgets worked out from what processes have used.

use std::time::{Duration, Instant};

use super::{
    hollow_fleet::HollowUsage,
    results::{Check, Events, RoleCost, Step, TenantStep},
};
use crate::usage::ProcessUsage;

/// Changes between two usages of a number of tenants.
pub(super) const CHANGES: u64 = 3;
pub(super) const MEBI: f64 = 1024.0 * 1024.0;
/// Changes of the configuration in a second, at 2,000 a day.
const CHANGES_A_SECOND: f64 = 2_000.0 / 86_400.0;

/// What each process has used at a moment.
pub(super) struct Usages {
    pub(super) at: Instant,
    pub(super) hollow: HollowUsage,
    pub(super) real: Vec<ProcessUsage>,
    pub(super) control: Vec<ProcessUsage>,
    pub(super) control_bytes: Vec<u64>,
}

/// Costs of a number of tenants, between two usages with [`CHANGES`] changes.
pub(super) fn tenant_step_of(
    tenants: u64,
    file_bytes: u64,
    before: &Usages,
    after: &Usages,
    leader: usize,
) -> TenantStep {
    let real = changes_of(&before.real, &after.real);
    let members = changes_of(&before.control, &after.control);
    let followers = || (0..members.len()).filter(|member| *member != leader);
    let memory = |used: &ProcessUsage| used.resident_bytes as f64;
    TenantStep {
        tenants,
        file_bytes,
        gateway_change_seconds: mean(real.iter().copied()),
        leader_change_seconds: members[leader],
        follower_change_seconds: mean(followers().map(|member| members[member])),
        gateway_memory_bytes: mean(after.real.iter().map(memory)),
        leader_memory_bytes: memory(&after.control[leader]),
        follower_memory_bytes: mean(followers().map(|member| memory(&after.control[member]))),
    }
}

/// Processor time of one change in each process, in seconds.
fn changes_of(before: &[ProcessUsage], after: &[ProcessUsage]) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (seconds(after.cpu) - seconds(before.cpu)) / CHANGES as f64)
        .collect()
}

/// Costs of a number of gateways, between two usages of a quiet time.
pub(super) fn step_of(
    gateways: u64,
    before: &Usages,
    after: &Usages,
    leader: usize,
    change_seconds: f64,
) -> Step {
    let elapsed = seconds(after.at - before.at);
    let hollow = gateways.saturating_sub(before.real.len() as u64).max(1) as f64;
    let member = |index: usize| RoleCost {
        bytes_per_second: (after.control_bytes[index].saturating_sub(before.control_bytes[index]))
            as f64
            / elapsed,
        ..cost(&before.control[index], &after.control[index], elapsed)
    };
    let followers: Vec<RoleCost> = (0..before.control.len())
        .filter(|index| *index != leader)
        .map(member)
        .collect();
    let real: Vec<RoleCost> = before
        .real
        .iter()
        .zip(&after.real)
        .map(|(before, after)| cost(before, after, elapsed))
        .collect();
    let per_hollow = |used: f64| used / elapsed / hollow;
    Step {
        gateways,
        hollow: RoleCost {
            cores: per_hollow(seconds(after.hollow.cpu) - seconds(before.hollow.cpu)),
            bytes_per_second: per_hollow((after.hollow.bytes - before.hollow.bytes) as f64),
            ..RoleCost::default()
        },
        hollow_frames_per_second: per_hollow((after.hollow.frames - before.hollow.frames) as f64),
        real: average(&real),
        leader: member(leader),
        follower: average(&followers),
        change_seconds,
    }
}

fn cost(before: &ProcessUsage, after: &ProcessUsage, elapsed: f64) -> RoleCost {
    RoleCost {
        cores: (seconds(after.cpu) - seconds(before.cpu)) / elapsed,
        bytes_per_second: 0.0,
        memory_bytes: after.resident_bytes as f64,
        peak_memory_bytes: after.peak_bytes as f64,
    }
}

fn average(costs: &[RoleCost]) -> RoleCost {
    let of = |field: fn(&RoleCost) -> f64| mean(costs.iter().map(field));
    RoleCost {
        cores: of(|cost| cost.cores),
        bytes_per_second: of(|cost| cost.bytes_per_second),
        memory_bytes: of(|cost| cost.memory_bytes),
        peak_memory_bytes: of(|cost| cost.peak_memory_bytes),
    }
}

/// The budgets at the full size; `peak` is the most memory of a real gateway.
pub(super) fn checks(
    tenants: &[TenantStep],
    steps: &[Step],
    events: &Events,
    peak: f64,
) -> Vec<Check> {
    let (Some(full), Some(last)) = (tenants.last(), steps.last()) else {
        return Vec::new();
    };
    let cores = last.hollow.cores + full.gateway_change_seconds * CHANGES_A_SECOND;
    let check = |name: &str, limit, found, unit: &str| Check {
        name: name.to_owned(),
        limit,
        found,
        unit: unit.to_owned(),
    };
    vec![
        check("processor of a node", 1.1, cores * 100.0, "% of a core"),
        check("memory of a node, most", 256.0, peak / MEBI, "MiB"),
        check(
            "bytes of a node",
            2_048.0,
            last.hollow.bytes_per_second,
            "B/s",
        ),
        check(
            "a change in force everywhere",
            4.0,
            last.change_seconds,
            "s",
        ),
        check(
            "a change of a burst in force everywhere",
            4.0,
            events.burst_slowest_seconds,
            "s",
        ),
        check(
            "the burst's last change, real gateways too",
            4.0,
            events.burst_in_force_seconds,
            "s",
        ),
        check(
            "attached again after a follower's death",
            4.0,
            events.follower_killed_seconds,
            "s",
        ),
        check(
            "attached again after the leader's death",
            4.0,
            events.leader_killed_seconds,
            "s",
        ),
    ]
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

pub(super) fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}
