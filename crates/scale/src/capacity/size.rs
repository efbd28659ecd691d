//! Sizes of fleets.

use serde::{Deserialize, Serialize};

/// What a figure grows with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// Gateways, one on each node.
    Gateways,
    /// Model engines and application replicas.
    Replicas,
    /// Tenants of the fleet file.
    Tenants,
    /// Batch jobs that are kept, finished ones included.
    Jobs,
    /// Batch items that are kept.
    Items,
    /// Items of the largest job.
    ItemsOfOneJob,
    /// Applied changes of the configuration in one burst.
    ChangesInBurst,
}

impl Dimension {
    /// The word of the page.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Dimension::Gateways => "gateways",
            Dimension::Replicas => "replicas",
            Dimension::Tenants => "tenants",
            Dimension::Jobs => "jobs",
            Dimension::Items => "items",
            Dimension::ItemsOfOneJob => "items of one job",
            Dimension::ChangesInBurst => "changes in a burst",
        }
    }
}

/// The size of a deployment. What a deployment has not told is `None`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Its name on the page.
    pub name: &'static str,
    /// Nodes, each with a gateway.
    pub gateways: u64,
    /// Model engines and application replicas.
    pub replicas: u64,
    /// Tenants.
    pub tenants: u64,
    /// Batch jobs started in a day.
    pub jobs_per_day: Option<u64>,
    /// Batch items in a day.
    pub items_per_day: Option<u64>,
    /// Items of the largest job.
    pub items_of_one_job: Option<u64>,
    /// Changes of the configuration in a day.
    pub changes_per_day: Option<u64>,
    /// Gateways that start anew in a day, after failures and planned restarts.
    pub restarts_per_day: Option<u64>,
    /// How long results are kept, in days.
    pub retention_days: u64,
}

/// Granite Lane today. Two gateways in each zone, as `linnethitch-lab dev` starts them.
pub const GRANITE_LANE: FleetSize = FleetSize {
    name: "Granite Lane",
    gateways: 6,
    replicas: 15,
    tenants: 2,
    jobs_per_day: None,
    items_per_day: None,
    items_of_one_job: None,
    changes_per_day: None,
    restarts_per_day: None,
    retention_days: 7,
};

/// Hanbit today. Two gateways in each zone, as `linnethitch-lab dev` starts them.
pub const HANBIT: FleetSize = FleetSize {
    name: "Hanbit",
    gateways: 6,
    replicas: 21,
    tenants: 2,
    jobs_per_day: None,
    items_per_day: None,
    items_of_one_job: None,
    changes_per_day: None,
    restarts_per_day: None,
    retention_days: 3,
};

/// The plan for the next two years.
pub const TWO_YEAR_PLAN: FleetSize = FleetSize {
    name: "Plan",
    gateways: 410,
    replicas: 600,
    tenants: 45_000,
    jobs_per_day: Some(1_300),
    items_per_day: Some(20_000_000),
    items_of_one_job: Some(270_000),
    changes_per_day: Some(2_000),
    restarts_per_day: Some(118),
    retention_days: 3,
};

/// Changes of the burst that the budget names.
const BURST: u64 = 100;

impl FleetSize {
    /// How many there are of what a figure grows with.
    #[must_use]
    pub fn of(&self, dimension: Dimension) -> Option<u64> {
        match dimension {
            Dimension::Gateways => Some(self.gateways),
            Dimension::Replicas => Some(self.replicas),
            Dimension::Tenants => Some(self.tenants),
            Dimension::Jobs => self.jobs_per_day.map(|jobs| jobs * self.retention_days),
            Dimension::Items => self.items_per_day.map(|items| items * self.retention_days),
            Dimension::ItemsOfOneJob => self.items_of_one_job,
            Dimension::ChangesInBurst => Some(BURST),
        }
    }
}
