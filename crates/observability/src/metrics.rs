//! Metrics of a process in the OpenMetrics text format, over `prometheus-client`.
//!
//! Every metric is registered with name, kind, labels and help, so that the reference page can
//! be checked against the metrics that a process registers.

use std::{fmt, sync::Arc};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Metric, Registry},
};

/// Value of the `Content-Type` header of `/metrics`.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Common prefix of all names.
const PREFIX: &str = "linnethitch";
/// Upper bound of the smallest bucket of a latency histogram, in seconds.
const SMALLEST_LATENCY_SECONDS: f64 = 0.000_25;
/// Number of buckets of a latency histogram. Each bound is twice the previous one, up to 131 s.
const LATENCY_BUCKETS: u16 = 20;

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A value that increases and decreases.
    Gauge,
    /// A distribution of seconds.
    Histogram,
}

impl fmt::Display for MetricKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
            MetricKind::Histogram => "histogram",
        })
    }
}

/// A registered metric.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricDescription {
    /// The name in the text format, without the suffixes of samples.
    pub name: String,
    /// The kind.
    pub kind: MetricKind,
    /// The help text, one sentence.
    pub help: String,
}

/// The metrics of one process. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    registry: Registry,
    descriptions: Vec<MetricDescription>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Metrics {
            inner: Arc::new(Mutex::new(Inner {
                registry: Registry::with_prefix(PREFIX),
                descriptions: Vec::new(),
            })),
        }
    }

    /// Registers a counter.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        self.register(name, help, MetricKind::Counter, Counter::default())
    }

    /// Registers a counter with labels.
    #[must_use]
    pub fn counter_family<L>(&self, name: &str, help: &str) -> Family<L, Counter>
    where
        L: EncodeLabelSet + LabelSet,
    {
        self.register(name, help, MetricKind::Counter, Family::default())
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.register(name, help, MetricKind::Gauge, Gauge::default())
    }

    /// Registers a gauge with labels.
    #[must_use]
    pub fn gauge_family<L>(&self, name: &str, help: &str) -> Family<L, Gauge>
    where
        L: EncodeLabelSet + LabelSet,
    {
        self.register(name, help, MetricKind::Gauge, Family::default())
    }

    /// Registers a histogram of latencies in seconds.
    #[must_use]
    pub fn latency(&self, name: &str, help: &str) -> Histogram {
        self.register(name, help, MetricKind::Histogram, latency_histogram())
    }

    /// Registers a histogram of latencies in seconds with labels.
    #[must_use]
    pub fn latency_family<L>(&self, name: &str, help: &str) -> Family<L, Histogram>
    where
        L: EncodeLabelSet + LabelSet,
    {
        let family = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        self.register(name, help, MetricKind::Histogram, family)
    }

    /// All metrics in the OpenMetrics text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.inner.lock().registry);
        text
    }

    /// The registered metrics, in order of registration.
    #[must_use]
    pub fn descriptions(&self) -> Vec<MetricDescription> {
        self.inner.lock().descriptions.clone()
    }

    fn register<M>(&self, name: &str, help: &str, kind: MetricKind, metric: M) -> M
    where
        M: Metric + Clone,
    {
        let mut inner = self.inner.lock();
        inner.registry.register(name, help, metric.clone());
        inner.descriptions.push(MetricDescription {
            name: format!("{PREFIX}_{name}"),
            kind,
            help: help.to_owned(),
        });
        metric
    }
}

/// The bounds that `prometheus-client` requires of the labels of a family.
pub trait LabelSet: Clone + std::hash::Hash + Eq + fmt::Debug + Send + Sync + 'static {}

impl<T> LabelSet for T where T: Clone + std::hash::Hash + Eq + fmt::Debug + Send + Sync + 'static {}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        SMALLEST_LATENCY_SECONDS,
        2.0,
        LATENCY_BUCKETS,
    ))
}
