//! Fleet sizes to which measurements are extrapolated.

use serde::{Deserialize, Serialize};

/// Dimension that a cost grows with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// Gateways, one on each node.
    Gateways,
    /// Model engines and application replicas.
    Replicas,
    /// Tenants in the fleet file.
    Tenants,
    /// Stored batch jobs, including finished jobs.
    Jobs,
    /// Stored batch items.
    Items,
    /// Items of the largest job.
    ItemsOfOneJob,
    /// Configuration changes applied in one burst.
    ChangesInBurst,
}

impl Dimension {
    /// Term used on the page.
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

/// Size of a deployment. A value that is not known for the deployment is `None`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Name of the deployment on the page.
    pub name: &'static str,
    /// Gateways, one on each node.
    pub gateways: u64,
    /// Model engines and application replicas.
    pub replicas: u64,
    /// Number of tenants.
    pub tenants: u64,
    /// Batch jobs started per day.
    pub jobs_per_day: Option<u64>,
    /// Batch items per day.
    pub items_per_day: Option<u64>,
    /// Items of the largest job.
    pub items_of_one_job: Option<u64>,
    /// Configuration changes per day.
    pub changes_per_day: Option<u64>,
    /// Restarts of gateways per day, after failures and planned ones.
    pub restarts_per_day: Option<u64>,
    /// Retention time of batch results, in days.
    pub retention_days: u64,
}

/// Current size of Granite Lane. Two gateways in each zone, as `linnethitch-lab dev` starts them.
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

/// Current size of Hanbit. Two gateways in each zone, as `linnethitch-lab dev` starts them.
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

/// Planned size for the next two years.
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

/// Configuration changes in the burst of the budget for changes.
const CHANGES_PER_BURST: u64 = 100;

impl FleetSize {
    /// Count of a dimension in the deployment; `None` when the count is not known.
    #[must_use]
    pub fn count_of(&self, dimension: Dimension) -> Option<u64> {
        match dimension {
            Dimension::Gateways => Some(self.gateways),
            Dimension::Replicas => Some(self.replicas),
            Dimension::Tenants => Some(self.tenants),
            Dimension::Jobs => self.jobs_per_day.map(|jobs| jobs * self.retention_days),
            Dimension::Items => self.items_per_day.map(|items| items * self.retention_days),
            Dimension::ItemsOfOneJob => self.items_of_one_job,
            Dimension::ChangesInBurst => Some(CHANGES_PER_BURST),
        }
    }
}
