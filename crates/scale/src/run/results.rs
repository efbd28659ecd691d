//! Results of a scale run.

use serde::{Deserialize, Serialize};

/// Cost of a process with a role while no changes are applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleCost {
    /// Processor use, in cores.
    pub cores: f64,
    /// Bytes per second on the wire, sent and received.
    pub bytes_per_second: f64,
    /// Resident memory at the end, in bytes.
    pub memory_bytes: f64,
    /// Peak resident memory since the process started, in bytes.
    pub peak_memory_bytes: f64,
}

/// Costs with a number of tenants while only real gateways are attached.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantStep {
    /// Number of tenants in the fleet file.
    pub tenants: u64,
    /// Size of the fleet file, in bytes.
    pub file_bytes: u64,
    /// Mean processor time of one change on a real gateway, in seconds.
    pub gateway_change_seconds: f64,
    /// Processor time of one change on the leader, in seconds.
    pub leader_change_seconds: f64,
    /// Mean processor time of one change on a follower, in seconds.
    pub follower_change_seconds: f64,
    /// Mean resident memory of a real gateway, in bytes.
    pub gateway_memory_bytes: f64,
    /// Resident memory of the leader, in bytes.
    pub leader_memory_bytes: f64,
    /// Mean resident memory of a follower, in bytes.
    pub follower_memory_bytes: f64,
}

/// Costs with a number of gateways.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayStep {
    /// Number of gateways, including real gateways.
    pub gateways: u64,
    /// Mean cost of a control-only gateway, including the load reports of its responses.
    pub hollow: RoleCost,
    /// Mean frames per second of a control-only gateway, sent and received.
    pub hollow_frames_per_second: f64,
    /// Mean cost of a real gateway without callers.
    pub real: RoleCost,
    /// Cost of the leader.
    pub leader: RoleCost,
    /// Mean cost of a follower.
    pub follower: RoleCost,
    /// Time from the response that accepts a change until the change is in force in every
    /// gateway, in seconds; the slowest of the measured changes.
    pub change_seconds: f64,
}

/// Events measured once, at the full size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Events {
    /// Number of configuration changes in the burst.
    pub burst_changes: u64,
    /// Time from the first request of the burst to the last accepting response, in seconds.
    pub burst_accepted_seconds: f64,
    /// Time from the last accepting response until the last change is in force in every gateway,
    /// in seconds.
    pub burst_in_force_seconds: f64,
    /// Longest time from the accepting response of a change until that change or a later one is
    /// in force in every control-only gateway, in seconds.
    pub burst_slowest_seconds: f64,
    /// Time from killing a follower until all control-only gateways are attached again, in
    /// seconds.
    pub follower_killed_seconds: f64,
    /// Time from killing the leader until all control-only gateways are attached again, in
    /// seconds.
    pub leader_killed_seconds: f64,
    /// Time from killing the leader until a change is accepted, in seconds.
    pub leader_killed_accepted_seconds: f64,
    /// Time from killing all members, which are restarted at once, until all control-only
    /// gateways are attached and have sessions, in seconds.
    pub control_restarted_seconds: f64,
}

/// A budget and the measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetCheck {
    /// Name of the limited quantity.
    pub name: String,
    /// Upper limit, in `unit`.
    pub limit: f64,
    /// Measured value, in `unit`.
    pub found: f64,
    /// Unit of the limit and the measured value.
    pub unit: String,
}

impl BudgetCheck {
    /// Whether the measured value is within the limit.
    #[must_use]
    pub fn is_within_limit(&self) -> bool {
        self.found <= self.limit
    }
}

/// All results of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleResults {
    /// Number of emulated replicas.
    pub replicas: u64,
    /// Number of control members.
    pub members: u32,
    /// Costs by number of tenants, ascending.
    pub tenant_steps: Vec<TenantStep>,
    /// Costs by number of gateways, ascending, at the full number of tenants.
    pub steps: Vec<GatewayStep>,
    /// Events measured once, at the full size.
    pub events: Events,
    /// Budget checks at the full size.
    pub checks: Vec<BudgetCheck>,
}

impl ScaleResults {
    /// Whether all measured values are within their budgets.
    #[must_use]
    pub fn is_within_budgets(&self) -> bool {
        self.checks.iter().all(BudgetCheck::is_within_limit)
    }

    /// Verdict that a run prints as its last line.
    #[must_use]
    pub fn verdict(&self) -> String {
        let exceeded: Vec<&str> = self
            .checks
            .iter()
            .filter(|check| !check.is_within_limit())
            .map(|check| check.name.as_str())
            .collect();
        if exceeded.is_empty() {
            "PASS: every budget is kept".to_owned()
        } else {
            format!("FAIL: over budget: {}", exceeded.join(", "))
        }
    }
}
