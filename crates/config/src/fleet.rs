//! The declarative fleet file: models, services, tenants and policies.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

mod difference;
pub mod document;
pub mod validate;

pub use difference::{Change, ChangeKind};
pub use document::FleetDocument;

/// The complete file. It is always applied completely, never in part.
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
    /// Tenants and their limits; unchanged tenants are shared between revisions.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Arc<Tenant>>,
    /// Policy of batch work.
    #[serde(default)]
    pub batch: BatchPolicy,
    /// Policy of routing, retries and admission.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// Limits that apply to every request.
    #[serde(default)]
    pub limits: RequestLimits,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone's name, unique.
    pub name: String,
    /// The region of the zone.
    pub region: String,
    /// Whether the zone's replicas receive no new requests.
    #[serde(default)]
    pub evacuated: bool,
}

impl Fleet {
    /// Names of the evacuated zones, whose replicas receive no new requests.
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
    /// Maximum of prompt plus output, in tokens.
    #[serde(default = "default_context_tokens")]
    pub context_tokens: u32,
    /// Adapters, each callable as `model:adapter`.
    #[serde(rename = "adapter", default)]
    pub adapters: Vec<Adapter>,
    /// Number of replicas by zone.
    pub placement: Vec<Placement>,
    /// Percentage of the replicas in each zone that only run prefill; 0 if all are mixed.
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
    /// The adapter's name, unique in the pool.
    pub name: String,
    /// The adapter's version.
    pub version: String,
}

/// Desired replicas in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The zone.
    pub zone: String,
    /// Number of replicas.
    pub replicas: u32,
}

/// An application service, reached under `/services/{name}/`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplicationService {
    /// The service's name, unique.
    pub name: String,
    /// Number of replicas by zone.
    pub placement: Vec<Placement>,
    /// Maximum duration of a request, in milliseconds.
    #[serde(default = "default_service_timeout_ms")]
    pub timeout_ms: u64,
}

/// A tenant and its limits; an absent limit means no limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name, unique.
    pub name: String,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
    /// Requests started per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Prompt and output tokens per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// Maximum number of online requests running or waiting on one gateway.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// Share of the fleet relative to other tenants while work is queued.
    #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
    pub weight: u32,
}

/// Policy of batch work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchPolicy {
    /// How long results are retained after a job's end, in hours.
    pub retention_hours: u32,
    /// Completion window of a job if the caller specifies none, in hours.
    pub default_window_hours: u32,
    /// Maximum number of items of one job.
    pub max_items: u32,
    /// Maximum size of an input file, in bytes.
    pub max_file_bytes: u64,
    /// How long a capacity grant is valid, in milliseconds.
    pub grant_ms: u64,
    /// How long an item lease lasts without renewal, in milliseconds.
    pub lease_ms: u64,
    /// Maximum number of retryable runs of an item before the failure becomes its result.
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

/// Policy of routing, retries and admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingPolicy {
    /// Extra expected wait, in milliseconds, at which another zone is preferred.
    pub spill_ms: f64,
    /// Maximum number of retries per hundred requests.
    pub retry_budget_percent: u32,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Maximum number of online requests waiting on one gateway.
    pub queue_limit: u32,
    /// Maximum time that an online request waits for a back end, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Deadline of a request if the caller specifies none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Number of consecutive failures after which a replica is ejected.
    pub eject_after_failures: u32,
    /// Duration of the first ejection, in milliseconds; doubles with each further ejection.
    pub eject_ms: u64,
    /// Time over which the share of a replica ramps up after an ejection, in milliseconds.
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

/// Limits that apply to every request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Maximum body of an online request, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for receiving a body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of output tokens of one request.
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
    /// The first error in the file, with line and field.
    pub fn parse(text: &str) -> Result<Fleet, FleetError> {
        Fleet::parse_reporting_all(text).map_err(|errors| {
            errors
                .into_iter()
                .next()
                .unwrap_or_else(|| unreachable!("the list of errors is never empty"))
        })
    }

    /// Parses and validates a fleet file and reports all errors that can be
    /// found in one pass, at most [`validate::MAX_REPORTED_FAULTS`].
    ///
    /// # Errors
    /// The errors in the order of their lines; never an empty list.
    pub fn parse_reporting_all(text: &str) -> Result<Fleet, Vec<FleetError>> {
        FleetDocument::parse_reporting_all(text.to_owned())
            .map(|document| Arc::unwrap_or_clone(document.into_fleet()))
    }
}

/// An error in a fleet file.
pub type FleetError = crate::locate::FieldError;
