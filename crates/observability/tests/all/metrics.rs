//! Metrics are encoded as text and have descriptions.

use linnethitch_observability::metrics::{MetricKind, Metrics};

#[test]
fn registered_metrics_are_encoded_and_described() {
    let metrics = Metrics::new();
    let requests = metrics.counter_family::<Vec<(String, String)>>("requests", "Requests answered");
    let waiting = metrics.gauge("queue_length", "Requests waiting");
    let latency = metrics.latency("first_token_seconds", "Time to the first token");
    requests
        .get_or_create(&vec![("model".to_owned(), "m".to_owned())])
        .inc();
    waiting.set(3);
    latency.observe(0.010);
    let text = metrics.text();
    assert!(
        text.contains("linnethitch_requests_total{model=\"m\"} 1"),
        "{text}"
    );
    assert!(text.contains("linnethitch_queue_length 3"), "{text}");
    assert!(
        text.contains("linnethitch_first_token_seconds_count 1"),
        "{text}"
    );
    assert!(text.ends_with("# EOF\n"));
    let described: Vec<(String, MetricKind)> = metrics
        .descriptions()
        .into_iter()
        .map(|description| (description.name, description.kind))
        .collect();
    assert_eq!(
        described,
        [
            ("linnethitch_requests".to_owned(), MetricKind::Counter),
            ("linnethitch_queue_length".to_owned(), MetricKind::Gauge),
            (
                "linnethitch_first_token_seconds".to_owned(),
                MetricKind::Histogram
            ),
        ]
    );
}
