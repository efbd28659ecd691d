//! Computes costs and budget checks from the resource usage of processes.

use std::time::{Duration, Instant};

use super::{
    control_only_fleet::ControlOnlyUsage,
    results::{BudgetCheck, Events, GatewayStep, RoleCost, TenantStep},
};
use crate::usage::ProcessUsage;

/// Configuration changes applied between the two usage samples of a tenant step, and in each
/// gateway step.
pub(super) const CHANGES_PER_STEP: u64 = 3;
pub(super) const MEBI: f64 = 1024.0 * 1024.0;
/// Configuration changes per second, at 2,000 per day.
const CHANGES_PER_SECOND: f64 = 2_000.0 / 86_400.0;

/// Resource usage of all processes at one time.
pub(super) struct UsageSample {
    pub(super) taken_at: Instant,
    pub(super) control_only: ControlOnlyUsage,
    pub(super) real: Vec<ProcessUsage>,
    pub(super) control: Vec<ProcessUsage>,
    pub(super) control_bytes: Vec<u64>,
}

/// Costs with a number of tenants, from two samples with [`CHANGES_PER_STEP`] changes between them.
pub(super) fn evaluate_tenant_step(
    tenants: u64,
    file_bytes: u64,
    before: &UsageSample,
    after: &UsageSample,
    leader: usize,
) -> TenantStep {
    let real_gateways = cpu_seconds_per_change(&before.real, &after.real);
    let members = cpu_seconds_per_change(&before.control, &after.control);
    let followers = || (0..members.len()).filter(|member| *member != leader);
    let memory = |used: &ProcessUsage| used.resident_bytes as f64;
    TenantStep {
        tenants,
        file_bytes,
        gateway_change_seconds: mean(real_gateways.iter().copied()),
        leader_change_seconds: members[leader],
        follower_change_seconds: mean(followers().map(|member| members[member])),
        gateway_memory_bytes: mean(after.real.iter().map(memory)),
        leader_memory_bytes: memory(&after.control[leader]),
        follower_memory_bytes: mean(followers().map(|member| memory(&after.control[member]))),
    }
}

/// Processor time per change for each process, in seconds.
fn cpu_seconds_per_change(before: &[ProcessUsage], after: &[ProcessUsage]) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (seconds(after.cpu) - seconds(before.cpu)) / CHANGES_PER_STEP as f64)
        .collect()
}

/// Costs with a number of gateways, from two samples with no changes between them.
pub(super) fn evaluate_gateway_step(
    gateways: u64,
    before: &UsageSample,
    after: &UsageSample,
    leader: usize,
    change_seconds: f64,
) -> GatewayStep {
    let elapsed = seconds(after.taken_at - before.taken_at);
    let control_only_gateways = gateways.saturating_sub(before.real.len() as u64).max(1) as f64;
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
    let per_gateway = |used: f64| used / elapsed / control_only_gateways;
    GatewayStep {
        gateways,
        hollow: RoleCost {
            cores: per_gateway(seconds(after.control_only.cpu) - seconds(before.control_only.cpu)),
            bytes_per_second: per_gateway(
                (after.control_only.bytes - before.control_only.bytes) as f64,
            ),
            ..RoleCost::default()
        },
        hollow_frames_per_second: per_gateway(
            (after.control_only.frames - before.control_only.frames) as f64,
        ),
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
    let mean_of = |field: fn(&RoleCost) -> f64| mean(costs.iter().map(field));
    RoleCost {
        cores: mean_of(|cost| cost.cores),
        bytes_per_second: mean_of(|cost| cost.bytes_per_second),
        memory_bytes: mean_of(|cost| cost.memory_bytes),
        peak_memory_bytes: mean_of(|cost| cost.peak_memory_bytes),
    }
}

/// Checks the budgets at the full size; `peak_bytes` is the highest peak memory of a real
/// gateway.
pub(super) fn check_budgets(
    tenants: &[TenantStep],
    steps: &[GatewayStep],
    events: &Events,
    peak_bytes: f64,
) -> Vec<BudgetCheck> {
    let (Some(full), Some(last)) = (tenants.last(), steps.last()) else {
        return Vec::new();
    };
    let cores = last.hollow.cores + full.gateway_change_seconds * CHANGES_PER_SECOND;
    let check = |name: &str, limit, found, unit: &str| BudgetCheck {
        name: name.to_owned(),
        limit,
        found,
        unit: unit.to_owned(),
    };
    vec![
        check("processor of a node", 1.1, cores * 100.0, "% of a core"),
        check("memory of a node, most", 256.0, peak_bytes / MEBI, "MiB"),
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
