//! Figures of a control member: the gateways that share the counts of tenants' limits.

use std::sync::Arc;

use parking_lot::Mutex;
use prometheus_client::{
    encoding::text::encode_registry, metrics::gauge::Gauge, registry::Registry,
};

use crate::message_bytes::MessageBytes;

/// Gauges that are set when they are read. Clones share them.
#[derive(Clone)]
pub(crate) struct ControlFigures {
    registry: Arc<Mutex<Registry>>,
    known: Gauge,
    silent: Gauge,
    bytes: MessageBytes,
}

impl ControlFigures {
    pub(crate) fn new(bytes: MessageBytes) -> Self {
        let (known, silent) = (Gauge::default(), Gauge::default());
        let mut registry = Registry::with_prefix("linnethitch");
        let help = "Gateways on the record of those that share the counts of limits";
        registry.register("control_known_gateways", help, known.clone());
        let help = "Known gateways that this member does not hear and that may go on";
        registry.register("control_silent_gateways", help, silent.clone());
        ControlFigures {
            registry: Arc::new(Mutex::new(registry)),
            known,
            silent,
            bytes,
        }
    }

    /// These and the counts of messages as Prometheus text.
    pub(crate) fn to_text(&self, known: usize, silent: usize) -> String {
        self.known.set(known as i64);
        self.silent.set(silent as i64);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode_registry(&mut text, &self.registry.lock());
        text + &self.bytes.to_text()
    }
}
