//! The metrics of a gateway; `docs/reference/metrics.md` lists them.

use linnethitch_observability::metrics::Metrics;
use linnethitch_routing::ReasonCode;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
};

/// Labels of a response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    /// The route.
    pub(crate) endpoint: &'static str,
    /// `ok` or an error code.
    pub(crate) outcome: &'static str,
}

/// Label of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndpointLabel {
    /// The route.
    pub(crate) endpoint: &'static str,
}

/// Label of a routing decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    /// A reason code or an error code.
    pub(crate) reason: &'static str,
}

/// Label of the work class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabel {
    /// `online` or `batch`.
    pub(crate) class: &'static str,
}

/// Label value of online work.
pub(crate) const ONLINE: ClassLabel = ClassLabel { class: "online" };
/// Label value of batch work.
pub(crate) const BATCH: ClassLabel = ClassLabel { class: "batch" };

impl From<ReasonCode> for ReasonLabel {
    fn from(reason: ReasonCode) -> Self {
        ReasonLabel {
            reason: reason.as_str(),
        }
    }
}

/// All metrics of a gateway.
pub(crate) struct GatewayMetrics {
    pub(crate) answers: Family<AnswerLabels, Counter>,
    pub(crate) answer_seconds: Family<EndpointLabel, Histogram, fn() -> Histogram>,
    pub(crate) first_token_seconds: Family<ClassLabel, Histogram, fn() -> Histogram>,
    pub(crate) tokens: Family<ClassLabel, Counter>,
    pub(crate) running: Family<ClassLabel, Gauge>,
    pub(crate) broken_answers: Family<ReasonLabel, Counter>,
    pub(crate) refusals: Family<ReasonLabel, Counter>,
    pub(crate) queue_length: Gauge,
    pub(crate) queue_seconds: Histogram,
    pub(crate) failed_attempts: Family<ReasonLabel, Counter>,
    pub(crate) ejections: Family<ReasonLabel, Counter>,
    pub(crate) claims: Family<ReasonLabel, Counter>,
    pub(crate) callers_gone: Counter,
    pub(crate) batch_room: Gauge,
    pub(crate) batch_items_held: Gauge,
    pub(crate) batch_results_waiting: Gauge,
    pub(crate) batch_items_leased: Counter,
    pub(crate) batch_items_ended: Family<ReasonLabel, Counter>,
    pub(crate) batch_items_given_back: Counter,
    pub(crate) batch_retries: Family<ReasonLabel, Counter>,
    pub(crate) batch_yields: Family<ReasonLabel, Counter>,
    pub(crate) batch_start_record_seconds: Histogram,
    pub(crate) session_renewal_seconds: Histogram,
    pub(crate) sessions_lost: Family<ReasonLabel, Counter>,
    pub(crate) configuration_revision: Gauge,
    pub(crate) control_attached: Gauge,
    pub(crate) journal_records_lost: Gauge,
}

impl GatewayMetrics {
    /// Registers all metrics.
    pub(crate) fn new(registry: &Metrics) -> Self {
        GatewayMetrics {
            answers: registry.counter_family(
                "answers",
                "Answers to callers, by endpoint and error code; ok for none",
            ),
            answer_seconds: registry.latency_family(
                "answer_seconds",
                "Time from a request's head to the head of its answer, by endpoint",
            ),
            first_token_seconds: registry.latency_family(
                "first_token_seconds",
                "Time from a request's or item's start to its first token, by class",
            ),
            tokens: registry.counter_family("tokens", "Tokens received from engines, by class"),
            running: registry.gauge_family("running", "Generations that run now, by class"),
            broken_answers: registry.counter_family(
                "broken_answers",
                "Streams that ended with an error event, by error code",
            ),
            refusals: registry.counter_family(
                "refusals",
                "Requests refused by limits, queue or lack of back ends, by reason",
            ),
            queue_length: registry
                .gauge("queue_length", "Online requests that wait for a back end"),
            queue_seconds: registry.latency(
                "queue_seconds",
                "Time that online requests waited for a back end, of those that waited",
            ),
            failed_attempts: registry.counter_family(
                "failed_attempts",
                "Failed attempts of online requests, by the reason of what followed",
            ),
            ejections: registry.counter_family(
                "ejections",
                "Back ends taken out by their failures, by reason",
            ),
            claims: registry.counter_family(
                "claims",
                "Requests with an idempotency key, by what came of the key",
            ),
            callers_gone: registry.counter(
                "callers_gone",
                "Runs stopped because their caller went away",
            ),
            batch_room: registry.gauge(
                "batch_room",
                "Batch sequences that this gateway may run now",
            ),
            batch_items_held: registry.gauge(
                "batch_items_held",
                "Batch items under lease here, running or not",
            ),
            batch_results_waiting: registry.gauge(
                "batch_results_waiting",
                "Results of batch items not yet known to be committed",
            ),
            batch_items_leased: registry.counter("batch_items_leased", "Batch items leased"),
            batch_items_ended: registry.counter_family(
                "batch_items_ended",
                "Batch items that ended here, by reason",
            ),
            batch_items_given_back: registry
                .counter("batch_items_given_back", "Batch items given back unrun"),
            batch_retries: registry.counter_family(
                "batch_retries",
                "Runs of batch items that failed and are made again, by reason",
            ),
            batch_yields: registry.counter_family(
                "batch_yields",
                "Runs of batch items stopped to make room, by reason",
            ),
            batch_start_record_seconds: registry.latency(
                "batch_start_record_seconds",
                "Time until control answered that items which may run once are recorded as started",
            ),
            session_renewal_seconds: registry.latency(
                "session_renewal_seconds",
                "Time until control answered a renewal of the session, of those it answered",
            ),
            sessions_lost: registry.counter_family(
                "sessions_lost",
                "Sessions that ended here with all leases under them, by cause",
            ),
            configuration_revision: registry.gauge(
                "configuration_revision",
                "Revision of the configuration in force",
            ),
            control_attached: registry.gauge(
                "control_attached",
                "1 while attached to a control member, else 0",
            ),
            journal_records_lost: registry.gauge(
                "journal_records_lost",
                "Journal records lost since the start",
            ),
        }
    }

    /// Counts a response to a caller and records its latency.
    pub(crate) fn answered(&self, endpoint: &'static str, outcome: &'static str, seconds: f64) {
        let labels = AnswerLabels { endpoint, outcome };
        self.answers.get_or_create(&labels).inc();
        let label = EndpointLabel { endpoint };
        self.answer_seconds.get_or_create(&label).observe(seconds);
    }
}
