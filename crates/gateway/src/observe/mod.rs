//! Observability of routing decisions: journal records and metrics.

pub(crate) mod explain;
mod metrics;
mod records;

use linnethitch_observability::{
    journal::Journal,
    metrics::{MetricDescription, Metrics},
};

pub(crate) use metrics::{BATCH, GatewayMetrics, ONLINE, ReasonLabel};
pub(crate) use records::RequestSubject;

/// The journal and the metrics of one gateway.
pub(crate) struct Observer {
    pub(crate) journal: Journal,
    pub(crate) registry: Metrics,
    pub(crate) metrics: GatewayMetrics,
}

impl Observer {
    /// Creates an observer that writes to `journal`.
    pub(crate) fn new(journal: Journal) -> Self {
        let registry = Metrics::new();
        Observer {
            journal,
            metrics: GatewayMetrics::new(&registry),
            registry,
        }
    }
}

/// Descriptions of all metrics of a gateway, for the reference page.
#[must_use]
pub fn metric_descriptions() -> Vec<MetricDescription> {
    let registry = Metrics::new();
    let _registered = GatewayMetrics::new(&registry);
    registry.descriptions()
}
