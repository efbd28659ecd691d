//! Flags of `linnethitch gateway`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use linnethitch_config::settings::{GatewayValues, LogLevel, LogSettings};

/// The settings file and the flags that override it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct GatewayOptions {
    /// Settings file (TOML); docs/reference/settings.md lists its fields
    #[bpaf(argument("FILE"))]
    pub(crate) settings: Option<PathBuf>,
    /// Name of the process, unique in the fleet
    #[bpaf(argument("NAME"))]
    gateway_id: Option<String>,
    /// Zone that it runs in
    #[bpaf(argument("NAME"))]
    zone: Option<String>,
    /// Region of that zone
    #[bpaf(argument("NAME"))]
    region: Option<String>,
    /// Where callers connect; port 0 lets the system choose
    #[bpaf(argument("IP:PORT"))]
    listen_address: Option<SocketAddr>,
    /// Attach address of a control member; repeat for each
    #[bpaf(long("control-address"), argument("IP:PORT"))]
    control_addresses: Vec<SocketAddr>,
    /// Name of the cluster
    #[bpaf(argument("NAME"))]
    cluster: Option<String>,
    /// File with the cluster key
    #[bpaf(argument("FILE"))]
    cluster_key_file: Option<PathBuf>,
    /// Folder for the stored configuration and the decision journal
    #[bpaf(argument("FOLDER"))]
    data_dir: Option<PathBuf>,
    /// Size of the decision journal
    #[bpaf(argument("BYTES"))]
    journal_max_bytes: Option<u64>,
    /// SHA-256 of the bearer key that may explain everything
    #[bpaf(argument("HEX"))]
    operator_key_sha256: Option<String>,
    /// critical, error, warning, info or debug
    #[bpaf(argument("LEVEL"))]
    log_level: Option<LogLevel>,
}

impl GatewayOptions {
    /// The flags as settings that override the file.
    pub(crate) fn values(&self) -> GatewayValues {
        GatewayValues {
            gateway_id: self.gateway_id.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            listen_address: self.listen_address,
            control_addresses: (!self.control_addresses.is_empty())
                .then(|| self.control_addresses.clone()),
            cluster: self.cluster.clone(),
            cluster_key_file: self.cluster_key_file.clone(),
            data_dir: self.data_dir.clone(),
            log: self.log_level.map(log_settings),
            journal_max_bytes: self.journal_max_bytes,
            operator_key_sha256: self.operator_key_sha256.clone(),
            limits: None,
        }
    }
}

/// Log settings with one level for all modules.
pub(super) fn log_settings(level: LogLevel) -> LogSettings {
    LogSettings {
        level,
        ..LogSettings::default()
    }
}
