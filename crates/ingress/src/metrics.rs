//! Metrics of what clients occupy.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::policy::IngressPolicy;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabel {
    listener: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// The metrics in the Prometheus text format.
pub(crate) fn to_text(policy: &IngressPolicy) -> String {
    let mut registry = Registry::with_prefix("linnethitch_ingress");
    register_connections(&mut registry, policy);
    let bytes: Gauge = Gauge::default();
    bytes.set(policy.body_bytes() as i64);
    registry.register("body_bytes", "Memory of request bodies", bytes);
    let max_bytes: Gauge = Gauge::default();
    max_bytes.set(policy.max_body_bytes() as i64);
    registry.register(
        "max_body_bytes",
        "Maximum memory of request bodies",
        max_bytes,
    );
    register_counts(&mut registry, policy);
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, &registry);
    text
}

fn register_connections(registry: &mut Registry, policy: &IngressPolicy) {
    let connections = Family::<ListenerLabel, Gauge>::default();
    let max_connections = Family::<ListenerLabel, Gauge>::default();
    for usage in policy.listeners() {
        let label = ListenerLabel {
            listener: usage.name,
        };
        let gauge = connections.get_or_create(&label);
        gauge.set(usage.connections as i64);
        drop(gauge);
        let gauge = max_connections.get_or_create(&label);
        gauge.set(usage.max_connections as i64);
    }
    registry.register("connections", "Open connections of clients", connections);
    registry.register(
        "max_connections",
        "Maximum number of connections of clients",
        max_connections,
    );
}

fn register_counts(registry: &mut Registry, policy: &IngressPolicy) {
    let counts = policy.counts();
    let sent_away = Family::<ReasonLabel, Gauge>::default();
    for (reason, count) in [
        ("connection_closed", counts.connections_closed),
        ("connection_refused", counts.connections_refused),
        ("body_refused", counts.bodies_refused),
    ] {
        let gauge = sent_away.get_or_create(&ReasonLabel { reason });
        gauge.set(count as i64);
    }
    registry.register(
        "clients_sent_away",
        "Clients sent away since the start of the process",
        sent_away,
    );
}
