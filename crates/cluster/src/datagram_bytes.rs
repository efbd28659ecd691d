//! Bytes of the datagrams that a gateway sends to others, by zone of the receiver.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DatagramLabels {
    peer_zone: String,
}

/// Counters of one gateway since its start, without UDP and IP headers. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct DatagramBytes(Family<DatagramLabels, Counter>);

impl DatagramBytes {
    /// Registers the counters under a name.
    pub fn register(&self, registry: &mut Registry, name: &str) {
        let help = "Bytes of datagrams sent to other gateways, by their zone";
        registry.register(name, help, self.0.clone());
    }

    pub(crate) fn count(&self, zone: &str, bytes: usize) {
        let peer_zone = zone.to_owned();
        let counter = self.0.get_or_create(&DatagramLabels { peer_zone });
        counter.inc_by(bytes as u64);
    }
}
