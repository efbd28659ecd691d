//! Semantic validation of a fleet file.
//!
//! Paths and lines are only computed for faults, so a valid file costs one pass
//! over its values.

use std::{collections::HashSet, fmt::Display, ops::RangeInclusive, sync::Arc};

use super::{
    ApplicationService, BatchPolicy, Fleet, FleetError, ModelPool, Placement, RequestLimits,
    RoutingPolicy, Tenant, Zone,
};
use crate::{
    digest::is_key_hash,
    locate::{FieldPath, Locator},
};

/// Maximum number of faults reported for one file.
pub const MAX_REPORTED_FAULTS: usize = 50;
/// Maximum size of a fleet file, in bytes; it must fit into one internal message.
pub const MAX_FLEET_BYTES: usize = 12 * 1024 * 1024;

const MAX_NAME_BYTES: usize = 128;
const MAX_REPLICAS: RangeInclusive<u32> = 0..=100_000;
const CONTEXT_TOKENS: RangeInclusive<u32> = 1..=16_777_216;
const PREFILL_PERCENT: RangeInclusive<u8> = 0..=99;
const TIMEOUT_MS: RangeInclusive<u64> = 1..=3_600_000;
const MAX_RATE: f64 = 1e9;
const MAX_IN_FLIGHT: RangeInclusive<u32> = 1..=1_000_000;
const WEIGHT: RangeInclusive<u32> = 1..=1_000;
const HOURS: RangeInclusive<u32> = 1..=8_760;
const MAX_ITEMS: RangeInclusive<u32> = 1..=1_000_000;
const MAX_FILE_BYTES: RangeInclusive<u64> = 1..=64 * 1024 * 1024 * 1024;
const GRANT_MS: RangeInclusive<u64> = 100..=60_000;
const LEASE_MS: RangeInclusive<u64> = 1_000..=600_000;
const BATCH_ATTEMPTS: RangeInclusive<u32> = 1..=100;
const MAX_SPILL_MS: f64 = 60_000.0;
const PERCENT: RangeInclusive<u32> = 0..=100;
const ONLINE_ATTEMPTS: RangeInclusive<u32> = 1..=10;
const QUEUE_LIMIT: RangeInclusive<u32> = 1..=1_000_000;
const EJECT_FAILURES: RangeInclusive<u32> = 1..=1_000;
const EJECT_MS: RangeInclusive<u64> = 1..=600_000;
const SLOW_START_MS: RangeInclusive<u64> = 0..=600_000;
const BODY_BYTES: RangeInclusive<u64> = 1_024..=1024 * 1024 * 1024;
const OUTPUT_TOKENS: RangeInclusive<u32> = 1..=16_777_216;

/// A fault whose line is not determined yet.
pub(super) struct Fault {
    path: FieldPath,
    message: String,
}

/// Refuses a text that is too large for an internal message.
pub(super) fn check_size(text: &str) -> Result<(), FleetError> {
    if text.len() <= MAX_FLEET_BYTES {
        return Ok(());
    }
    Err(FleetError {
        line: None,
        field: String::new(),
        message: format!(
            "the file has {} bytes, at most {MAX_FLEET_BYTES} are allowed",
            text.len()
        ),
    })
}

/// All faults of a parsed file, at most [`MAX_REPORTED_FAULTS`].
pub(super) fn faults_of(fleet: &Fleet) -> Vec<Fault> {
    let mut faults = Faults::default();
    let root = FieldPath::default();
    faults.name(|| root.key("name"), &fleet.name, NameKind::Plain);
    check_zones(&mut faults, &fleet.zones);
    let zones: HashSet<&str> = fleet.zones.iter().map(|zone| zone.name.as_str()).collect();
    check_models(&mut faults, &fleet.models, &zones);
    check_services(&mut faults, &fleet.services, &zones);
    check_tenants(&mut faults, &fleet.tenants);
    check_batch(&mut faults, &fleet.batch);
    check_routing(&mut faults, &fleet.routing);
    check_limits(&mut faults, &fleet.limits);
    faults.list
}

/// Determines the lines of faults and sorts the faults by line.
pub(super) fn located(text: &str, faults: Vec<Fault>) -> Vec<FleetError> {
    let locator = Locator::new(text);
    let mut errors: Vec<FleetError> = faults
        .into_iter()
        .map(|fault| FleetError {
            line: locator
                .as_ref()
                .and_then(|locator| locator.line_of(&fault.path)),
            field: fault.path.to_string(),
            message: fault.message,
        })
        .collect();
    errors.sort_by_key(|error| error.line);
    errors
}

/// Characters allowed in a name.
#[derive(Clone, Copy)]
enum NameKind {
    /// Letters, digits, `-`, `_` and `.`.
    Plain,
    /// The characters of [`Self::Plain`] and `/`, as in model names.
    WithSlash,
}

#[derive(Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    fn add(&mut self, path: FieldPath, message: impl Into<String>) {
        if self.list.len() < MAX_REPORTED_FAULTS {
            self.list.push(Fault {
                path,
                message: message.into(),
            });
        }
    }

    fn name(&mut self, path: impl Fn() -> FieldPath, name: &str, kind: NameKind) {
        if name.is_empty() {
            self.add(path(), "must not be empty");
        } else if name.len() > MAX_NAME_BYTES {
            self.add(path(), format!("longer than {MAX_NAME_BYTES} bytes"));
        } else if !name.bytes().all(|byte| is_name_byte(byte, kind)) {
            let allowed = match kind {
                NameKind::Plain => "`-`, `_` and `.`",
                NameKind::WithSlash => "`-`, `_`, `.` and `/`",
            };
            self.add(
                path(),
                format!("{name:?} holds a character other than letters, digits, {allowed}"),
            );
        }
    }

    fn within<T>(&mut self, path: impl Fn() -> FieldPath, value: T, bounds: &RangeInclusive<T>)
    where
        T: PartialOrd + Display,
    {
        if !bounds.contains(&value) {
            let (min, max) = (bounds.start(), bounds.end());
            self.add(path(), format!("{value} is not within {min} to {max}"));
        }
    }

    fn rate(&mut self, path: impl Fn() -> FieldPath, rate: Option<f64>) {
        let Some(rate) = rate else {
            return;
        };
        if !(rate > 0.0 && rate <= MAX_RATE) {
            self.add(
                path(),
                format!("{rate} is not above 0 and at most {MAX_RATE}"),
            );
        }
    }
}

fn is_name_byte(byte: u8, kind: NameKind) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(byte, b'-' | b'_' | b'.')
        || (byte == b'/' && matches!(kind, NameKind::WithSlash))
}

fn check_zones(faults: &mut Faults, zones: &[Zone]) {
    let root = FieldPath::root("zone");
    if zones.is_empty() {
        faults.add(root.clone(), "at least one zone is needed");
    }
    let mut names = HashSet::new();
    for (index, zone) in zones.iter().enumerate() {
        let path = |field: &str| root.index(index).key(field);
        faults.name(|| path("name"), &zone.name, NameKind::Plain);
        faults.name(|| path("region"), &zone.region, NameKind::Plain);
        if !names.insert(zone.name.as_str()) {
            faults.add(path("name"), format!("zone `{}` stands twice", zone.name));
        }
    }
}

fn check_models(faults: &mut Faults, models: &[ModelPool], zones: &HashSet<&str>) {
    let root = FieldPath::root("model");
    let mut names = HashSet::new();
    for (index, model) in models.iter().enumerate() {
        let path = |field: &str| root.index(index).key(field);
        faults.name(|| path("name"), &model.name, NameKind::WithSlash);
        if !names.insert(model.name.as_str()) {
            faults.add(path("name"), format!("model `{}` stands twice", model.name));
        }
        faults.name(|| path("version"), &model.version, NameKind::Plain);
        faults.within(
            || path("context_tokens"),
            model.context_tokens,
            &CONTEXT_TOKENS,
        );
        faults.within(
            || path("prefill_percent"),
            model.prefill_percent,
            &PREFILL_PERCENT,
        );
        check_adapters(faults, model, &path("adapter"));
        check_placement(faults, &model.placement, zones, &path("placement"));
    }
}

fn check_adapters(faults: &mut Faults, model: &ModelPool, root: &FieldPath) {
    let mut names = HashSet::new();
    for (index, adapter) in model.adapters.iter().enumerate() {
        let path = |field: &str| root.index(index).key(field);
        faults.name(|| path("name"), &adapter.name, NameKind::Plain);
        faults.name(|| path("version"), &adapter.version, NameKind::Plain);
        if !names.insert(adapter.name.as_str()) {
            faults.add(
                path("name"),
                format!("adapter `{}` stands twice in this pool", adapter.name),
            );
        }
    }
}

fn check_placement(
    faults: &mut Faults,
    placement: &[Placement],
    zones: &HashSet<&str>,
    root: &FieldPath,
) {
    let mut placed_zones = HashSet::new();
    for (index, entry) in placement.iter().enumerate() {
        let path = |field: &str| root.index(index).key(field);
        if !zones.contains(entry.zone.as_str()) {
            faults.add(path("zone"), format!("unknown zone `{}`", entry.zone));
        }
        if !placed_zones.insert(entry.zone.as_str()) {
            faults.add(
                path("zone"),
                format!("zone `{}` stands twice in this placement", entry.zone),
            );
        }
        faults.within(|| path("replicas"), entry.replicas, &MAX_REPLICAS);
    }
}

fn check_services(faults: &mut Faults, services: &[ApplicationService], zones: &HashSet<&str>) {
    let root = FieldPath::root("service");
    let mut names = HashSet::new();
    for (index, service) in services.iter().enumerate() {
        let path = |field: &str| root.index(index).key(field);
        faults.name(|| path("name"), &service.name, NameKind::Plain);
        if !names.insert(service.name.as_str()) {
            faults.add(
                path("name"),
                format!("service `{}` stands twice", service.name),
            );
        }
        faults.within(|| path("timeout_ms"), service.timeout_ms, &TIMEOUT_MS);
        check_placement(faults, &service.placement, zones, &path("placement"));
    }
}

fn check_tenants(faults: &mut Faults, tenants: &[Arc<Tenant>]) {
    let root = FieldPath::root("tenant");
    let mut names = HashSet::with_capacity(tenants.len());
    let mut keys = HashSet::with_capacity(tenants.len());
    for (index, tenant) in tenants.iter().enumerate() {
        let path = |field: &str| root.index(index).key(field);
        check_tenant(faults, tenant, &path);
        if !names.insert(tenant.name.as_str()) {
            faults.add(
                path("name"),
                format!("tenant `{}` stands twice", tenant.name),
            );
        }
        if !keys.insert(tenant.key_sha256.as_str()) {
            faults.add(path("key_sha256"), "another tenant has the same key");
        }
    }
}

fn check_tenant(faults: &mut Faults, tenant: &Tenant, path: &impl Fn(&str) -> FieldPath) {
    faults.name(|| path("name"), &tenant.name, NameKind::Plain);
    if !is_key_hash(&tenant.key_sha256) {
        faults.add(
            path("key_sha256"),
            "must be a SHA-256 in 64 lower-case hexadecimal characters",
        );
    }
    faults.rate(|| path("requests_per_second"), tenant.requests_per_second);
    faults.rate(|| path("tokens_per_second"), tenant.tokens_per_second);
    if let Some(limit) = tenant.max_in_flight {
        faults.within(|| path("max_in_flight"), limit, &MAX_IN_FLIGHT);
    }
    faults.within(|| path("weight"), tenant.weight, &WEIGHT);
}

fn check_batch(faults: &mut Faults, batch: &BatchPolicy) {
    let path = |field: &str| FieldPath::root("batch").key(field);
    faults.within(|| path("retention_hours"), batch.retention_hours, &HOURS);
    faults.within(
        || path("default_window_hours"),
        batch.default_window_hours,
        &HOURS,
    );
    faults.within(|| path("max_items"), batch.max_items, &MAX_ITEMS);
    faults.within(
        || path("max_file_bytes"),
        batch.max_file_bytes,
        &MAX_FILE_BYTES,
    );
    faults.within(|| path("grant_ms"), batch.grant_ms, &GRANT_MS);
    faults.within(|| path("lease_ms"), batch.lease_ms, &LEASE_MS);
    faults.within(|| path("max_attempts"), batch.max_attempts, &BATCH_ATTEMPTS);
}

fn check_routing(faults: &mut Faults, routing: &RoutingPolicy) {
    let path = |field: &str| FieldPath::root("routing").key(field);
    faults.within(|| path("spill_ms"), routing.spill_ms, &(0.0..=MAX_SPILL_MS));
    faults.within(
        || path("retry_budget_percent"),
        routing.retry_budget_percent,
        &PERCENT,
    );
    faults.within(
        || path("max_attempts"),
        routing.max_attempts,
        &ONLINE_ATTEMPTS,
    );
    faults.within(|| path("queue_limit"), routing.queue_limit, &QUEUE_LIMIT);
    faults.within(
        || path("queue_timeout_ms"),
        routing.queue_timeout_ms,
        &TIMEOUT_MS,
    );
    faults.within(
        || path("default_deadline_ms"),
        routing.default_deadline_ms,
        &TIMEOUT_MS,
    );
    faults.within(
        || path("eject_after_failures"),
        routing.eject_after_failures,
        &EJECT_FAILURES,
    );
    faults.within(|| path("eject_ms"), routing.eject_ms, &EJECT_MS);
    faults.within(
        || path("slow_start_ms"),
        routing.slow_start_ms,
        &SLOW_START_MS,
    );
}

fn check_limits(faults: &mut Faults, limits: &RequestLimits) {
    let path = |field: &str| FieldPath::root("limits").key(field);
    faults.within(
        || path("max_body_bytes"),
        limits.max_body_bytes,
        &BODY_BYTES,
    );
    faults.within(
        || path("body_timeout_ms"),
        limits.body_timeout_ms,
        &TIMEOUT_MS,
    );
    faults.within(
        || path("max_output_tokens"),
        limits.max_output_tokens,
        &OUTPUT_TOKENS,
    );
}
