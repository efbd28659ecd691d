//! Metrics of a control member: the gateways that share the counts of tenants' limits, the stored
//! format, and the builds of nodes.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_protocol::format::Format;
use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode_registry},
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::{message_bytes::MessageBytes, node_builds::NodeBuild};

/// The values of the gauges.
pub(crate) struct MetricValues<'a> {
    pub(crate) known_gateways: usize,
    pub(crate) silent_gateways: usize,
    pub(crate) stored_format: Format,
    /// Number of nodes by build.
    pub(crate) builds: &'a BTreeMap<NodeBuild, usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BuildLabels {
    build: String,
    newest_format: u32,
}

/// Gauges that are set when they are read. Clones share them.
#[derive(Clone)]
pub(crate) struct ControlMetrics {
    registry: Arc<Mutex<Registry>>,
    known: Gauge,
    silent: Gauge,
    stored_format: Gauge,
    nodes: Family<BuildLabels, Gauge>,
    bytes: MessageBytes,
}

impl ControlMetrics {
    pub(crate) fn new(bytes: MessageBytes) -> Self {
        let (known, silent) = (Gauge::default(), Gauge::default());
        let mut registry = Registry::with_prefix("linnethitch");
        let help = "Gateways on the record of gateways that share the counts of limits";
        registry.register("control_known_gateways", help, known.clone());
        let help = "Known gateways that this member cannot reach and that may still be running";
        registry.register("control_silent_gateways", help, silent.clone());
        let (stored_format, nodes) = (Gauge::default(), Family::default());
        let help = "Number of the format that control stores in";
        registry.register("control_stored_format", help, stored_format.clone());
        let help = "Nodes that this member can reach, by build and newest supported format";
        registry.register("control_nodes", help, nodes.clone());
        ControlMetrics {
            stored_format,
            nodes,
            registry: Arc::new(Mutex::new(registry)),
            known,
            silent,
            bytes,
        }
    }

    /// The gauges and the message counters as Prometheus text.
    pub(crate) fn to_text(&self, now: &MetricValues<'_>) -> String {
        self.known.set(now.known_gateways as i64);
        self.silent.set(now.silent_gateways as i64);
        self.stored_format
            .set(i64::from(now.stored_format.number()));
        self.nodes.clear();
        for (node, count) in now.builds {
            let labels = BuildLabels {
                build: node.build.clone(),
                newest_format: u32::from(node.newest_format),
            };
            self.nodes.get_or_create(&labels).set(*count as i64);
        }
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode_registry(&mut text, &self.registry.lock());
        text + &self.bytes.to_text()
    }
}
