//! Settings of a control member.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use super::{
    LogSettings, SettingsError,
    check::Checker,
    load::{LoadedFile, read_values},
};
use crate::{
    digest::is_key_hash,
    locate::{FieldError, FieldPath},
};

/// Default log size at which a snapshot is taken, in bytes.
pub const DEFAULT_SNAPSHOT_LOG_BYTES: u64 = 64 * 1024 * 1024;
/// Minimum log size at which a snapshot is taken, in bytes.
const MIN_SNAPSHOT_LOG_BYTES: u64 = 4 * 1024;

/// The address of a control machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// The machine number.
    pub machine: u32,
    /// The peer address of the machine.
    pub address: SocketAddr,
}

/// Complete settings of a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlSettings {
    /// Number of this machine, unique among the control machines.
    pub machine: u32,
    /// The zone of this machine.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// Listen address for other control members.
    pub peer_address: SocketAddr,
    /// Listen address for gateways.
    pub attach_address: SocketAddr,
    /// Listen address for operators (HTTP).
    pub operator_address: SocketAddr,
    /// All control machines, including this one.
    pub peers: Vec<ControlPeer>,
    /// Whether a member with an empty data folder may start a new cluster; if not, the member
    /// joins the running cluster.
    pub bootstrap: bool,
    /// Name of the cluster.
    pub cluster: String,
    /// File with the key that proves membership of the cluster.
    pub cluster_key_file: PathBuf,
    /// SHA-256 of the operators' bearer key, in hexadecimal.
    pub operator_key_sha256: String,
    /// The platform's HTTP interface.
    pub platform_address: SocketAddr,
    /// Folder for the log, snapshots and payloads.
    pub data_dir: PathBuf,
    /// Log size at which a snapshot is taken, in bytes.
    pub snapshot_log_bytes: u64,
    /// Log levels.
    pub log: LogSettings,
}

/// Settings of a control member from a file or the flags; each may be absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs, reason = "the fields are those of ControlSettings")]
pub struct ControlValues {
    pub machine: Option<u32>,
    pub zone: Option<String>,
    pub region: Option<String>,
    pub peer_address: Option<SocketAddr>,
    pub attach_address: Option<SocketAddr>,
    pub operator_address: Option<SocketAddr>,
    pub peers: Option<Vec<ControlPeer>>,
    pub bootstrap: Option<bool>,
    pub cluster: Option<String>,
    pub cluster_key_file: Option<PathBuf>,
    pub operator_key_sha256: Option<String>,
    pub platform_address: Option<SocketAddr>,
    pub data_dir: Option<PathBuf>,
    pub snapshot_log_bytes: Option<u64>,
    pub log: Option<LogSettings>,
}

impl ControlValues {
    /// These values, overridden by those present in `flags`.
    #[must_use]
    pub fn overridden_by(self, flags: ControlValues) -> Self {
        ControlValues {
            machine: flags.machine.or(self.machine),
            zone: flags.zone.or(self.zone),
            region: flags.region.or(self.region),
            peer_address: flags.peer_address.or(self.peer_address),
            attach_address: flags.attach_address.or(self.attach_address),
            operator_address: flags.operator_address.or(self.operator_address),
            peers: flags.peers.or(self.peers),
            bootstrap: flags.bootstrap.or(self.bootstrap),
            cluster: flags.cluster.or(self.cluster),
            cluster_key_file: flags.cluster_key_file.or(self.cluster_key_file),
            operator_key_sha256: flags.operator_key_sha256.or(self.operator_key_sha256),
            platform_address: flags.platform_address.or(self.platform_address),
            data_dir: flags.data_dir.or(self.data_dir),
            snapshot_log_bytes: flags.snapshot_log_bytes.or(self.snapshot_log_bytes),
            log: flags.log.or(self.log),
        }
    }

    fn complete(self, text: &str) -> Result<ControlSettings, FieldError> {
        let checker = Checker { text };
        let settings = ControlSettings {
            machine: checker.required("machine", self.machine)?,
            zone: checker.required("zone", self.zone)?,
            region: checker.required("region", self.region)?,
            peer_address: checker.required("peer_address", self.peer_address)?,
            attach_address: checker.required("attach_address", self.attach_address)?,
            operator_address: checker.required("operator_address", self.operator_address)?,
            peers: checker.required("peers", self.peers)?,
            bootstrap: self.bootstrap.unwrap_or(false),
            cluster: checker.required("cluster", self.cluster)?,
            cluster_key_file: checker.required("cluster_key_file", self.cluster_key_file)?,
            operator_key_sha256: checker
                .required("operator_key_sha256", self.operator_key_sha256)?,
            platform_address: checker.required("platform_address", self.platform_address)?,
            data_dir: checker.required("data_dir", self.data_dir)?,
            snapshot_log_bytes: self
                .snapshot_log_bytes
                .unwrap_or(DEFAULT_SNAPSHOT_LOG_BYTES),
            log: self.log.unwrap_or_default(),
        };
        settings.check(&checker)?;
        Ok(settings)
    }
}

impl ControlSettings {
    /// Reads a settings file, if given, and applies the flags.
    ///
    /// # Errors
    /// Names file, line and field of the error.
    pub fn load(file: Option<&Path>, flags: ControlValues) -> Result<Self, SettingsError> {
        let LoadedFile { text, values } = read_values::<ControlValues>(file)?;
        values
            .overridden_by(flags)
            .complete(&text)
            .map_err(|error| SettingsError::Invalid {
                file: file.map(Path::to_owned),
                error,
            })
    }

    fn check(&self, checker: &Checker<'_>) -> Result<(), FieldError> {
        checker.name("zone", &self.zone)?;
        checker.name("region", &self.region)?;
        checker.name("cluster", &self.cluster)?;
        checker.connectable("platform_address", self.platform_address)?;
        if !is_key_hash(&self.operator_key_sha256) {
            return checker.fail(
                "operator_key_sha256",
                "must be a SHA-256 in 64 lower-case hexadecimal characters",
            );
        }
        checker.at_least(
            "snapshot_log_bytes",
            self.snapshot_log_bytes,
            MIN_SNAPSHOT_LOG_BYTES,
        )?;
        self.check_peers(checker)
    }

    fn check_peers(&self, checker: &Checker<'_>) -> Result<(), FieldError> {
        let mut machines = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let path = FieldPath::root("peers").index(index);
            if !machines.insert(peer.machine) {
                let message = format!("machine {} is listed twice", peer.machine);
                return Err(FieldError::at(checker.text, path.key("machine"), message));
            }
            if !addresses.insert(peer.address) {
                let message = format!("address {} is listed twice", peer.address);
                return Err(FieldError::at(checker.text, path.key("address"), message));
            }
            if peer.address.port() == 0 || peer.address.ip().is_unspecified() {
                let message = format!("{} is no address to connect to", peer.address);
                return Err(FieldError::at(checker.text, path.key("address"), message));
            }
        }
        if !machines.contains(&self.machine) {
            return checker.fail(
                "peers",
                format!("this machine, {}, is not listed", self.machine),
            );
        }
        Ok(())
    }
}
