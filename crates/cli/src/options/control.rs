//! Flags of `linnethitch control`.

use std::{net::SocketAddr, path::PathBuf, str::FromStr};

use bpaf::Bpaf;
use linnethitch_config::settings::{ControlPeer, ControlValues, LogLevel};

use super::gateway::log_settings;

/// The settings file and the flags that override it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct ControlOptions {
    /// Settings file (TOML); docs/reference/settings.md lists its fields
    #[bpaf(argument("FILE"))]
    pub(crate) settings: Option<PathBuf>,
    /// Number of this machine, unique among the control machines
    #[bpaf(argument("N"))]
    machine: Option<u32>,
    /// Zone that it runs in
    #[bpaf(argument("NAME"))]
    zone: Option<String>,
    /// Region of that zone
    #[bpaf(argument("NAME"))]
    region: Option<String>,
    /// Where other control members connect
    #[bpaf(argument("IP:PORT"))]
    peer_address: Option<SocketAddr>,
    /// Where gateways attach
    #[bpaf(argument("IP:PORT"))]
    attach_address: Option<SocketAddr>,
    /// Where operators connect (HTTP)
    #[bpaf(argument("IP:PORT"))]
    operator_address: Option<SocketAddr>,
    /// A control machine and its peer address; repeat for each, this one included
    #[bpaf(long("peer"), argument("N=IP:PORT"))]
    peers: Vec<PeerFlag>,
    /// An empty data folder may start a new cluster; otherwise it joins the running one
    bootstrap: bool,
    /// Name of the cluster
    #[bpaf(argument("NAME"))]
    cluster: Option<String>,
    /// File with the cluster key
    #[bpaf(argument("FILE"))]
    cluster_key_file: Option<PathBuf>,
    /// SHA-256 of the operators' bearer key
    #[bpaf(argument("HEX"))]
    operator_key_sha256: Option<String>,
    /// The platform's HTTP interface
    #[bpaf(argument("IP:PORT"))]
    platform_address: Option<SocketAddr>,
    /// Folder for the log, snapshots and payloads
    #[bpaf(argument("FOLDER"))]
    data_dir: Option<PathBuf>,
    /// Size of the log at which a snapshot is taken
    #[bpaf(argument("BYTES"))]
    snapshot_log_bytes: Option<u64>,
    /// critical, error, warning, info or debug
    #[bpaf(argument("LEVEL"))]
    log_level: Option<LogLevel>,
}

/// `N=IP:PORT`.
#[derive(Clone, Debug)]
struct PeerFlag(ControlPeer);

impl FromStr for PeerFlag {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (machine, address) = text
            .split_once('=')
            .ok_or_else(|| "a peer is N=IP:PORT".to_owned())?;
        let machine = machine
            .parse()
            .map_err(|_| format!("`{machine}` is not a machine number"))?;
        let address = address
            .parse()
            .map_err(|_| format!("`{address}` is not an IP:PORT"))?;
        Ok(PeerFlag(ControlPeer { machine, address }))
    }
}

impl ControlOptions {
    /// The flags as settings that override the file.
    pub(crate) fn values(&self) -> ControlValues {
        let peers = self.peers.iter().map(|PeerFlag(peer)| peer.clone());
        ControlValues {
            machine: self.machine,
            zone: self.zone.clone(),
            region: self.region.clone(),
            peer_address: self.peer_address,
            attach_address: self.attach_address,
            operator_address: self.operator_address,
            peers: (!self.peers.is_empty()).then(|| peers.collect()),
            bootstrap: self.bootstrap.then_some(true),
            cluster: self.cluster.clone(),
            cluster_key_file: self.cluster_key_file.clone(),
            operator_key_sha256: self.operator_key_sha256.clone(),
            platform_address: self.platform_address,
            data_dir: self.data_dir.clone(),
            snapshot_log_bytes: self.snapshot_log_bytes,
            log: self.log_level.map(log_settings),
        }
    }
}
