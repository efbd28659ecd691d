//! Options of a gateway in addition to `linnethitch_config::settings::GatewaySettings`.

use std::time::Duration;

use linnethitch_protocol::fleet::ReplicaInfo;

/// Options for a test harness that runs gateways in its own process.
#[derive(Clone, Debug, Default)]
pub struct GatewayOptions {
    /// Timeouts of requests to engines.
    pub engine_timeouts: EngineTimeouts,
    /// Fixed configuration and back ends; `None` to receive them from control.
    pub fixed: Option<FixedFleet>,
}

/// A fleet that is fixed at the start, for use without control.
#[derive(Clone, Debug)]
pub struct FixedFleet {
    /// The text of the fleet file.
    pub content: String,
    /// The back ends.
    pub replicas: Vec<ReplicaInfo>,
}

/// How long the gateway waits for an engine before an attempt times out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTimeouts {
    /// Limit to open a connection.
    pub connect: Duration,
    /// Limit from sending the request to the first token.
    pub first_token: Duration,
    /// Limit between two tokens.
    pub between_tokens: Duration,
    /// Limit between two events of a batch run; longer, since the engine may preempt the run for
    /// online work.
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
