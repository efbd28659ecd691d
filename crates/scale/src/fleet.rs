//! Generates fleet files of any size.

use std::fmt::Write;

use linnethitch_config::digest::key_sha256;

/// One tenant in this many has its own limits.
const TENANTS_PER_LIMITED_TENANT: u64 = 4;

/// Contents of a generated fleet file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPlan {
    /// Number of tenants.
    pub tenants: u64,
    /// Number of engines over all models and zones.
    pub replicas: u64,
    /// Number of models; the replicas are divided evenly among the models.
    pub models: u64,
    /// Number of zones.
    pub zones: u64,
    /// Number of regions; the zones are divided evenly among the regions.
    pub regions: u64,
}

/// Replicas of one model in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlacement {
    /// Name of the model.
    pub model: String,
    /// Name of the zone.
    pub zone: String,
    /// Number of replicas.
    pub replicas: u64,
}

impl FleetPlan {
    /// Planned size for the next two years.
    pub const TWO_YEAR_PLAN: FleetPlan = FleetPlan {
        tenants: 45_000,
        replicas: 600,
        models: 4,
        zones: 7,
        regions: 2,
    };

    /// Returns the same plan with another number of tenants.
    #[must_use]
    pub fn with_tenants(self, tenants: u64) -> Self {
        FleetPlan { tenants, ..self }
    }

    /// Name of the zone with this number.
    #[must_use]
    pub fn zone(&self, number: u64) -> String {
        format!("zone-{}", number % self.zones.max(1) + 1)
    }

    /// Name of the region of the zone with this number.
    #[must_use]
    pub fn region(&self, zone: u64) -> String {
        format!("region-{}", zone % self.regions.max(1) + 1)
    }

    /// Name of the model with this number.
    #[must_use]
    pub fn model(&self, number: u64) -> String {
        format!("model-{}", number % self.models.max(1) + 1)
    }

    /// Replica counts by model and zone, sorted by model.
    #[must_use]
    pub fn placements(&self) -> Vec<ModelPlacement> {
        let count = (self.models * self.zones).max(1);
        let placement = |number: u64| ModelPlacement {
            model: self.model(number / self.zones),
            zone: self.zone(number % self.zones),
            replicas: self.replicas / count + u64::from(number < self.replicas % count),
        };
        (0..count).map(placement).collect()
    }

    /// Text of the fleet file. Two versions of the file differ only in tenant weights: at
    /// most one line for each of two tenants.
    #[must_use]
    pub fn text(&self, version: u64) -> String {
        let mut text = String::from("name = \"scale\"\n");
        for zone in 0..self.zones {
            let (name, region) = (self.zone(zone), self.region(zone));
            push_formatted(
                &mut text,
                format_args!("\n[[zone]]\nname = \"{name}\"\nregion = \"{region}\"\n"),
            );
        }
        for model in self.placements().chunks(self.zones as usize) {
            push_model(&mut text, model);
        }
        for tenant in 0..self.tenants {
            push_tenant(&mut text, tenant, self.weight(tenant, version));
        }
        text
    }

    /// Weight of a tenant. The version selects one tenant and the weight of that tenant;
    /// all other tenants have weight 1.
    fn weight(&self, tenant: u64, version: u64) -> u64 {
        const DISTINCT_WEIGHTS: u64 = 900;
        let changed_tenant = version.wrapping_mul(7_919) % self.tenants.max(1);
        if tenant == changed_tenant {
            2 + version % DISTINCT_WEIGHTS
        } else {
            1
        }
    }
}

fn push_formatted(text: &mut String, part: std::fmt::Arguments<'_>) {
    // Writing to a `String` cannot fail.
    let _ = text.write_fmt(part);
}

fn push_model(text: &mut String, placements: &[ModelPlacement]) {
    let name = &placements[0].model;
    push_formatted(
        text,
        format_args!("\n[[model]]\nname = \"{name}\"\nversion = \"1\"\nplacement = [\n"),
    );
    for ModelPlacement { zone, replicas, .. } in placements {
        push_formatted(
            text,
            format_args!("    {{ zone = \"{zone}\", replicas = {replicas} }},\n"),
        );
    }
    text.push_str("]\n");
}

fn push_tenant(text: &mut String, tenant: u64, weight: u64) {
    let name = format!("tenant-{tenant:05}");
    let hash = key_sha256(&name);
    push_formatted(
        text,
        format_args!(
            "\n[[tenant]]\nname = \"{name}\"\nkey_sha256 = \"{hash}\"\nweight = {weight}\n"
        ),
    );
    if tenant.is_multiple_of(TENANTS_PER_LIMITED_TENANT) {
        text.push_str("requests_per_second = 20.0\nmax_in_flight = 16\n");
    }
}
