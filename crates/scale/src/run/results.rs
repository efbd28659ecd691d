//! What a scale run found.

use serde::{Deserialize, Serialize};

/// Cost of a role in a steady time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleCost {
    /// Cores.
    pub cores: f64,
    /// Bytes a second on the wire, both ways.
    pub bytes_per_second: f64,
    /// Memory resident at the end, in bytes.
    pub memory_bytes: f64,
    /// Most memory ever resident, in bytes.
    pub peak_memory_bytes: f64,
}

/// A number of tenants, with the real gateways attached.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantStep {
    /// Tenants of the fleet file.
    pub tenants: u64,
    /// Bytes of the fleet file.
    pub file_bytes: u64,
    /// Processor time of one change on a real gateway, in seconds.
    pub gateway_change_seconds: f64,
    /// The same on the leader.
    pub leader_change_seconds: f64,
    /// The same on a follower.
    pub follower_change_seconds: f64,
    /// Memory of a real gateway.
    pub gateway_memory_bytes: f64,
    /// Memory of the leader.
    pub leader_memory_bytes: f64,
    /// Memory of a follower.
    pub follower_memory_bytes: f64,
}

/// A number of gateways.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Gateways, real ones included.
    pub gateways: u64,
    /// A hollow gateway: the loads of its callers included.
    pub hollow: RoleCost,
    /// Frames a second of a hollow gateway.
    pub hollow_frames_per_second: f64,
    /// A real gateway without callers.
    pub real: RoleCost,
    /// The leader.
    pub leader: RoleCost,
    /// A follower, on average.
    pub follower: RoleCost,
    /// From the answer that accepts a change until the last gateway has it in
    /// force, in seconds, the slowest of some changes.
    pub change_seconds: f64,
}

/// What happens once, at the full size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Events {
    /// Changes of the burst.
    pub burst_changes: u64,
    /// From the first request to the last accepting answer, in seconds.
    pub burst_accepted_seconds: f64,
    /// From the last accepting answer until it is in force everywhere, in seconds.
    pub burst_in_force_seconds: f64,
    /// The longest from a change's accepting answer until it or a later one is
    /// in force everywhere, in seconds.
    pub burst_slowest_seconds: f64,
    /// From the kill of a follower until all gateways are attached again, in seconds.
    pub follower_killed_seconds: f64,
    /// From the kill of the leader until all gateways are attached again, in seconds.
    pub leader_killed_seconds: f64,
    /// From the kill of the leader until a change is accepted, in seconds.
    pub leader_killed_accepted_seconds: f64,
    /// From the kill of all members and their start until all gateways are
    /// attached and have their sessions, in seconds.
    pub control_restarted_seconds: f64,
}

/// A budget and what was found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// What is limited.
    pub name: String,
    /// The limit.
    pub limit: f64,
    /// What was found.
    pub found: f64,
    /// The unit of both.
    pub unit: String,
}

impl Check {
    /// Whether the budget is kept.
    #[must_use]
    pub fn is_within_limit(&self) -> bool {
        self.found <= self.limit
    }
}

/// Everything that was found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleResults {
    /// Emulated replicas.
    pub replicas: u64,
    /// Control members.
    pub members: u32,
    /// Growing tenants.
    pub tenant_steps: Vec<TenantStep>,
    /// Growing gateways at all tenants.
    pub steps: Vec<Step>,
    /// Single events at the full size.
    pub events: Events,
    /// The budgets.
    pub checks: Vec<Check>,
}

impl ScaleResults {
    /// Whether every budget is kept.
    #[must_use]
    pub fn is_within_budgets(&self) -> bool {
        self.checks.iter().all(Check::is_within_limit)
    }

    /// The last line of a run.
    #[must_use]
    pub fn verdict(&self) -> String {
        let broken: Vec<&str> = self
            .checks
            .iter()
            .filter(|check| !check.is_within_limit())
            .map(|check| check.name.as_str())
            .collect();
        if broken.is_empty() {
            "PASS: every budget is kept".to_owned()
        } else {
            format!("FAIL: over budget: {}", broken.join(", "))
        }
    }
}
