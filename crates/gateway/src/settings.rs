//! Settings of a gateway process.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use linnethitch_protocol::fleet::ReplicaInfo;

/// What a gateway needs to know before it starts.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the process, unique in the fleet.
    pub gateway_id: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Where callers connect; port 0 lets the system choose.
    pub listen_address: SocketAddr,
    /// Attach addresses of the control members.
    pub control_addresses: Vec<SocketAddr>,
    /// Name of the cluster.
    pub cluster: String,
    /// File with the key that proves membership of the cluster.
    pub cluster_key_file: PathBuf,
    /// Folder for the stored configuration and the decision journal.
    pub data_dir: PathBuf,
    /// Size of the decision journal, in bytes.
    pub journal_max_bytes: u64,
}

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
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        EngineTimeouts {
            connect: Duration::from_millis(1_000),
            first_token: Duration::from_secs(20),
            between_tokens: Duration::from_secs(5),
        }
    }
}
