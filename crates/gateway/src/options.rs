//! Options of a gateway beyond `linnethitch_config::settings::GatewaySettings`.

use std::time::Duration;

use linnethitch_protocol::fleet::ReplicaInfo;

/// Choices of a harness that runs gateways in its own process.
#[derive(Clone, Debug, Default)]
pub struct GatewayOptions {
    /// Time limits towards engines.
    pub engine_timeouts: EngineTimeouts,
    /// Configuration and back ends that are given instead of learnt from control.
    pub fixed: Option<FixedFleet>,
}

/// A fleet that is given at the start, for use without control.
#[derive(Clone, Debug)]
pub struct FixedFleet {
    /// The fleet file's text.
    pub content: String,
    /// The back ends.
    pub replicas: Vec<ReplicaInfo>,
}

/// How long the gateway waits for an engine before it counts it as hung.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTimeouts {
    /// To open a connection.
    pub connect: Duration,
    /// From sending the request to the first token.
    pub first_token: Duration,
    /// Between two tokens.
    pub between_tokens: Duration,
    /// From one sign of life of a batch run to the next; longer, since the engine may
    /// preempt it for online work.
    pub batch_silence: Duration,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        EngineTimeouts {
            connect: Duration::from_millis(1_000),
            first_token: Duration::from_secs(20),
            between_tokens: Duration::from_secs(5),
            batch_silence: Duration::from_secs(60),
        }
    }
}
