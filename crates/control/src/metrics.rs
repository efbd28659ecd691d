//! Metrics of a control member.

use std::sync::Arc;

use linnethitch_observability::metrics::Metrics;
use linnethitch_placement::StartVerdict;
use linnethitch_transport::Traffic;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
};

use crate::member::MemberView;

/// Label of the settlement of a lost start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VerdictLabel {
    /// What the engine's answer proved.
    outcome: &'static str,
}

/// Counts the settled starts of items whose gateways were lost. Clones share the counts.
#[derive(Clone)]
pub(crate) struct SettledStarts {
    by_outcome: Family<VerdictLabel, Counter>,
}

impl SettledStarts {
    fn new(metrics: &Metrics) -> Self {
        let by_outcome = metrics.counter_family(
            "control_settled_starts",
            "Started items whose gateway was lost, by what their engine told of them",
        );
        let settled = SettledStarts { by_outcome };
        for verdict in StartVerdict::ALL {
            settled.counter(*verdict);
        }
        settled
    }

    /// The counter of a verdict. Metrics contain it from its first use on, also while it is zero.
    fn counter(&self, verdict: StartVerdict) -> Counter {
        let outcome = verdict.as_str();
        self.by_outcome
            .get_or_create_owned(&VerdictLabel { outcome })
    }

    /// Counts a settlement.
    pub(crate) fn count(&self, verdict: StartVerdict) {
        self.counter(verdict).inc();
    }
}

/// Gauges that are set when the metrics are read.
pub(crate) struct ControlMetrics {
    leads: Gauge,
    term: Gauge,
    revision: Gauge,
    applied: Gauge,
    voters: Gauge,
    log_bytes: Gauge,
    disk_full: Gauge,
    pending_items: Gauge,
    open_orders: Gauge,
    dropped_results: Gauge,
    payload_bytes: Gauge,
    sent_bytes: Gauge,
    received_bytes: Gauge,
    pub(crate) settled_starts: SettledStarts,
    traffic: Arc<Traffic>,
}

impl ControlMetrics {
    /// Registers the gauges.
    pub(crate) fn new(metrics: &Metrics, traffic: Arc<Traffic>) -> Self {
        ControlMetrics {
            leads: metrics.gauge("control_leads", "1 while this member leads, else 0"),
            term: metrics.gauge("control_term", "The consensus term"),
            revision: metrics.gauge(
                "control_revision",
                "The configuration revision applied here",
            ),
            applied: metrics.gauge(
                "control_applied_index",
                "The last index of the replicated log applied here",
            ),
            voters: metrics.gauge("control_voters", "Disks that vote"),
            log_bytes: metrics.gauge("control_log_bytes", "Bytes of the replicated log on disk"),
            disk_full: metrics.gauge(
                "control_disk_full",
                "1 while new work is refused for want of space, else 0",
            ),
            pending_items: metrics.gauge("control_pending_items", "Batch items that wait"),
            open_orders: metrics.gauge(
                "control_open_orders",
                "Orders to engines that are not settled",
            ),
            dropped_results: metrics.gauge(
                "control_dropped_results",
                "Results of batch items that were dropped: another was first, or the job had stopped",
            ),
            payload_bytes: metrics.gauge(
                "control_payload_bytes",
                "Bytes of files, results and answers that are kept",
            ),
            sent_bytes: metrics.gauge(
                "control_sent_bytes",
                "Bytes sent to gateways and other members since the start",
            ),
            received_bytes: metrics.gauge(
                "control_received_bytes",
                "Bytes received from gateways and other members since the start",
            ),
            settled_starts: SettledStarts::new(metrics),
            traffic,
        }
    }

    /// Sets the gauges to a view.
    pub(crate) fn update(&self, view: &MemberView) {
        self.leads.set(i64::from(view.leads));
        self.term.set(as_gauge(view.term.0));
        self.revision.set(as_gauge(view.revision.0));
        self.applied.set(as_gauge(view.applied.0));
        self.voters.set(as_gauge(view.voters as u64));
        self.log_bytes.set(as_gauge(view.log_bytes));
        self.disk_full.set(i64::from(view.disk_full));
        let pending = view.pending.iter().map(|pending| pending.count).sum();
        self.pending_items.set(as_gauge(pending));
        self.open_orders.set(as_gauge(view.open_orders as u64));
        self.dropped_results.set(as_gauge(view.dropped_results));
        self.payload_bytes.set(as_gauge(view.payload_bytes));
        let traffic = self.traffic.snapshot();
        self.sent_bytes.set(as_gauge(traffic.sent_bytes()));
        self.received_bytes.set(as_gauge(traffic.received_bytes()));
    }
}

fn as_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
