//! The declarative fleet file: what runs where, for whom and how urgently.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

mod difference;
pub mod document;
pub mod validate;

pub use difference::{Change, ChangeKind};
pub use document::FleetDocument;

/// The whole file. It is applied as a whole, never in part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the deployment.
    pub name: String,
    /// Zones and the region of each.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// Model pools.
    #[serde(rename = "model", default)]
    pub models: Vec<ModelPool>,
    /// Application services.
    #[serde(rename = "service", default)]
    pub services: Vec<ApplicationService>,
    /// Tenants and their limits; shared between revisions where they are the same.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Arc<Tenant>>,
    /// Rules of batch work.
    #[serde(default)]
    pub batch: BatchPolicy,
    /// Rules of routing, retries and admission.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// Limits that hold for every request.
    #[serde(default)]
    pub limits: RequestLimits,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name, unique.
    pub name: String,
    /// The region that it is in.
    pub region: String,
    /// Whether nothing new is sent to its replicas.
    #[serde(default)]
    pub evacuated: bool,
}

impl Fleet {
    /// Names of the zones to whose replicas nothing new is sent.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.zones.iter().filter(|zone| zone.evacuated);
        evacuated.map(|zone| zone.name.as_str())
    }
}

/// A model and the engines that serve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPool {
    /// The name that callers use, unique.
    pub name: String,
    /// The version to load.
    pub version: String,
    /// Longest prompt plus output, in tokens.
    #[serde(default = "default_context_tokens")]
    pub context_tokens: u32,
    /// Adapters, each callable as `model:adapter`.
    #[serde(rename = "adapter", default)]
    pub adapters: Vec<Adapter>,
    /// How many replicas in which zone.
    pub placement: Vec<Placement>,
    /// Of the replicas in each zone, percent that prefill only (0: all mixed).
    #[serde(default)]
    pub prefill_percent: u8,
    /// Whether batch items may run on the pool.
    #[serde(default = "default_true")]
    pub batch: bool,
}

/// A model adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name, unique in the pool.
    pub name: String,
    /// Its version.
    pub version: String,
}

/// Replicas wanted in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The zone.
    pub zone: String,
    /// How many.
    pub replicas: u32,
}

/// An application service, reached under `/services/{name}/`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplicationService {
    /// Its name, unique.
    pub name: String,
    /// How many replicas in which zone.
    pub placement: Vec<Placement>,
    /// How long a request may take, in milliseconds.
    #[serde(default = "default_service_timeout_ms")]
    pub timeout_ms: u64,
}

/// A tenant and its limits; absent limits do not bind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, unique.
    pub name: String,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
    /// Requests started per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Prompt and output tokens per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// Online requests running or waiting at once, on one gateway.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// Share of the fleet relative to other tenants when work queues.
    #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
    pub weight: u32,
}

/// Rules of batch work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchPolicy {
    /// How long results stay readable after a job's end, in hours.
    pub retention_hours: u32,
    /// Completion window of a job whose caller names none, in hours.
    pub default_window_hours: u32,
    /// Most items of one job.
    pub max_items: u32,
    /// Largest input file, in bytes.
    pub max_file_bytes: u64,
    /// How long a capacity grant is valid, in milliseconds.
    pub grant_ms: u64,
    /// How long an item lease lasts without renewal, in milliseconds.
    pub lease_ms: u64,
    /// Runs of an item that may be repeated before its failure becomes its result.
    pub max_attempts: u32,
}

impl Default for BatchPolicy {
    fn default() -> Self {
        BatchPolicy {
            retention_hours: 72,
            default_window_hours: 24,
            max_items: 500_000,
            max_file_bytes: 4 * 1024 * 1024 * 1024,
            grant_ms: 2_000,
            lease_ms: 10_000,
            max_attempts: 8,
        }
    }
}

/// Rules of routing, retries and admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingPolicy {
    /// Extra expected wait, in milliseconds, at which another zone is preferred.
    pub spill_ms: f64,
    /// Retries allowed per hundred requests.
    pub retry_budget_percent: u32,
    /// Attempts per request, the first included.
    pub max_attempts: u32,
    /// Online requests that may wait on one gateway.
    pub queue_limit: u32,
    /// Longest that an online request may wait for a back end, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Deadline of a request whose caller names none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Consecutive failures that eject a replica.
    pub eject_after_failures: u32,
    /// Shortest ejection, in milliseconds; doubles with each repeat.
    pub eject_ms: u64,
    /// Time over which a returned replica's share grows to the full, in milliseconds.
    pub slow_start_ms: u64,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        RoutingPolicy {
            spill_ms: 50.0,
            retry_budget_percent: 20,
            max_attempts: 3,
            queue_limit: 256,
            queue_timeout_ms: 10_000,
            default_deadline_ms: 120_000,
            eject_after_failures: 3,
            eject_ms: 2_000,
            slow_start_ms: 5_000,
        }
    }
}

/// Limits that hold for every request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Largest body of an online request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time to send a body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Most output tokens of one request.
    pub max_output_tokens: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_body_bytes: 4 * 1024 * 1024,
            body_timeout_ms: 30_000,
            max_output_tokens: 16_384,
        }
    }
}

const DEFAULT_WEIGHT: u32 = 1;

fn default_context_tokens() -> u32 {
    32_768
}

fn default_true() -> bool {
    true
}

fn default_service_timeout_ms() -> u64 {
    10_000
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn is_default_weight(weight: &u32) -> bool {
    *weight == DEFAULT_WEIGHT
}

impl Fleet {
    /// Parses and validates a fleet file.
    ///
    /// # Errors
    /// The first fault of the file, with line and field.
    pub fn parse(text: &str) -> Result<Fleet, FleetError> {
        Fleet::parse_reporting_all(text).map_err(|errors| {
            errors
                .into_iter()
                .next()
                .unwrap_or_else(|| unreachable!("a refusal names at least one fault"))
        })
    }

    /// Parses and validates a fleet file and reports as many faults as can be
    /// told at once, at most [`validate::MAX_REPORTED_FAULTS`].
    ///
    /// # Errors
    /// The faults in the order of their lines; never an empty list.
    pub fn parse_reporting_all(text: &str) -> Result<Fleet, Vec<FleetError>> {
        FleetDocument::parse_reporting_all(text.to_owned())
            .map(|document| Arc::unwrap_or_clone(document.into_fleet()))
    }
}

/// What is wrong with a fleet file.
pub type FleetError = crate::locate::FieldError;
