//! Settings of a gateway.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use super::{
    LogSettings, SettingsError,
    check::Checker,
    load::{LoadedFile, read_values},
};
use crate::{digest::is_key_hash, locate::FieldError};

/// Default maximum size of the decision journal, in bytes.
pub const DEFAULT_JOURNAL_MAX_BYTES: u64 = 64 * 1024 * 1024;
/// Minimum configurable size of the decision journal, in bytes.
const MIN_JOURNAL_BYTES: u64 = 64 * 1024;

/// Limits of one gateway process, independent of the fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayLimits {
    /// Maximum number of caller connections; idle and unfinished ones give way to new ones.
    pub max_connections: u32,
    /// Memory for request bodies and for what is made of them, in bytes; unfinished bodies give
    /// way to others when it is used up.
    pub request_memory_bytes: u64,
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: u32,
    /// Maximum time for receiving a request's headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum bytes of an uploaded file that are buffered in memory.
    pub upload_buffer_bytes: u32,
    /// Maximum number of leased batch items, running or not; 0 disables batch work.
    pub max_batch_items: u32,
    /// Maximum duration of a graceful shutdown, in milliseconds; requests still running after
    /// this time are ended with an error.
    pub drain_timeout_ms: u64,
    /// Timeout of a call to control on behalf of a waiting caller, in milliseconds.
    pub control_timeout_ms: u64,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        GatewayLimits {
            max_connections: 1_024,
            request_memory_bytes: 64 * 1024 * 1024,
            max_header_bytes: 64 * 1024,
            header_timeout_ms: 10_000,
            upload_buffer_bytes: 1024 * 1024,
            max_batch_items: 256,
            drain_timeout_ms: 300_000,
            control_timeout_ms: 5_000,
        }
    }
}

/// Complete settings of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GatewaySettings {
    /// Name of the process, unique in the fleet.
    pub gateway_id: String,
    /// The zone of the process.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// Listen address for callers.
    pub listen_address: SocketAddr,
    /// Attach addresses of the control members.
    pub control_addresses: Vec<SocketAddr>,
    /// Name of the cluster.
    pub cluster: String,
    /// File with the key that proves membership of the cluster.
    pub cluster_key_file: PathBuf,
    /// Folder for the stored configuration and the decision journal.
    pub data_dir: PathBuf,
    /// Log levels.
    pub log: LogSettings,
    /// Maximum size of the decision journal, in bytes.
    pub journal_max_bytes: u64,
    /// SHA-256 of the operators' bearer key, in hexadecimal. This key gives access to the decisions
    /// about all work; tenants have access only to those about their own.
    pub operator_key_sha256: Option<String>,
    /// Limits of this process.
    pub limits: GatewayLimits,
}

/// Settings of a gateway from a file or the flags; each may be absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs, reason = "the fields are those of GatewaySettings")]
pub struct GatewayValues {
    pub gateway_id: Option<String>,
    pub zone: Option<String>,
    pub region: Option<String>,
    pub listen_address: Option<SocketAddr>,
    pub control_addresses: Option<Vec<SocketAddr>>,
    pub cluster: Option<String>,
    pub cluster_key_file: Option<PathBuf>,
    pub data_dir: Option<PathBuf>,
    pub log: Option<LogSettings>,
    pub journal_max_bytes: Option<u64>,
    pub operator_key_sha256: Option<String>,
    pub limits: Option<GatewayLimits>,
}

impl GatewayValues {
    /// These values, overridden by those present in `flags`.
    #[must_use]
    pub fn overridden_by(self, flags: GatewayValues) -> Self {
        GatewayValues {
            gateway_id: flags.gateway_id.or(self.gateway_id),
            zone: flags.zone.or(self.zone),
            region: flags.region.or(self.region),
            listen_address: flags.listen_address.or(self.listen_address),
            control_addresses: flags.control_addresses.or(self.control_addresses),
            cluster: flags.cluster.or(self.cluster),
            cluster_key_file: flags.cluster_key_file.or(self.cluster_key_file),
            data_dir: flags.data_dir.or(self.data_dir),
            log: flags.log.or(self.log),
            journal_max_bytes: flags.journal_max_bytes.or(self.journal_max_bytes),
            operator_key_sha256: flags.operator_key_sha256.or(self.operator_key_sha256),
            limits: flags.limits.or(self.limits),
        }
    }

    fn complete(self, text: &str) -> Result<GatewaySettings, FieldError> {
        let checker = Checker { text };
        let settings = GatewaySettings {
            gateway_id: checker.required("gateway_id", self.gateway_id)?,
            zone: checker.required("zone", self.zone)?,
            region: checker.required("region", self.region)?,
            listen_address: checker.required("listen_address", self.listen_address)?,
            control_addresses: checker.required("control_addresses", self.control_addresses)?,
            cluster: checker.required("cluster", self.cluster)?,
            cluster_key_file: checker.required("cluster_key_file", self.cluster_key_file)?,
            data_dir: checker.required("data_dir", self.data_dir)?,
            log: self.log.unwrap_or_default(),
            journal_max_bytes: self.journal_max_bytes.unwrap_or(DEFAULT_JOURNAL_MAX_BYTES),
            operator_key_sha256: self.operator_key_sha256,
            limits: self.limits.unwrap_or_default(),
        };
        settings.check(&checker)?;
        Ok(settings)
    }
}

impl GatewaySettings {
    /// Reads a settings file, if given, and applies the flags.
    ///
    /// # Errors
    /// Names file, line and field of the error.
    pub fn load(file: Option<&Path>, flags: GatewayValues) -> Result<Self, SettingsError> {
        let LoadedFile { text, values } = read_values::<GatewayValues>(file)?;
        values
            .overridden_by(flags)
            .complete(&text)
            .map_err(|error| SettingsError::Invalid {
                file: file.map(Path::to_owned),
                error,
            })
    }

    fn check(&self, checker: &Checker<'_>) -> Result<(), FieldError> {
        checker.name("gateway_id", &self.gateway_id)?;
        checker.name("zone", &self.zone)?;
        checker.name("region", &self.region)?;
        checker.name("cluster", &self.cluster)?;
        if self.control_addresses.is_empty() {
            return checker.fail("control_addresses", "at least one address is needed");
        }
        for address in &self.control_addresses {
            checker.connectable("control_addresses", *address)?;
        }
        let key = self.operator_key_sha256.as_deref();
        if key.is_some_and(|key| !is_key_hash(key)) {
            return checker.fail(
                "operator_key_sha256",
                "must be a SHA-256 in 64 lower-case hexadecimal characters",
            );
        }
        checker.at_least(
            "journal_max_bytes",
            self.journal_max_bytes,
            MIN_JOURNAL_BYTES,
        )?;
        self.limits.check(checker)
    }
}

impl GatewayLimits {
    fn check(&self, checker: &Checker<'_>) -> Result<(), FieldError> {
        let limits = [
            ("max_connections", u64::from(self.max_connections)),
            ("request_memory_bytes", self.request_memory_bytes),
            ("max_header_bytes", u64::from(self.max_header_bytes)),
            ("header_timeout_ms", self.header_timeout_ms),
            ("upload_buffer_bytes", u64::from(self.upload_buffer_bytes)),
            ("drain_timeout_ms", self.drain_timeout_ms),
            ("control_timeout_ms", self.control_timeout_ms),
        ];
        for (field, value) in limits {
            checker.positive_in("limits", field, value)?;
        }
        Ok(())
    }
}
