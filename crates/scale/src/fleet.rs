//! Generated fleets of any size.

use std::fmt::Write;

use linnethitch_config::digest::key_sha256;

/// Of so many tenants, one has limits of its own.
const TENANTS_FOR_ONE_LIMITED: u64 = 4;

/// What a generated fleet file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPlan {
    /// Tenants.
    pub tenants: u64,
    /// Engines over all models and zones.
    pub replicas: u64,
    /// Models; the replicas are shared out evenly.
    pub models: u64,
    /// Zones.
    pub zones: u64,
    /// Regions; the zones are shared out evenly.
    pub regions: u64,
}

/// The replicas of one model in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The model.
    pub model: String,
    /// The zone.
    pub zone: String,
    /// How many.
    pub replicas: u64,
}

impl FleetPlan {
    /// The plan for the next two years.
    pub const TWO_YEAR_PLAN: FleetPlan = FleetPlan {
        tenants: 45_000,
        replicas: 600,
        models: 4,
        zones: 7,
        regions: 2,
    };

    /// The same fleet with another number of tenants.
    #[must_use]
    pub fn with_tenants(self, tenants: u64) -> Self {
        FleetPlan { tenants, ..self }
    }

    /// The name of a zone.
    #[must_use]
    pub fn zone(&self, number: u64) -> String {
        format!("zone-{}", number % self.zones.max(1) + 1)
    }

    /// The region of a zone.
    #[must_use]
    pub fn region(&self, zone: u64) -> String {
        format!("region-{}", zone % self.regions.max(1) + 1)
    }

    /// The name of a model.
    #[must_use]
    pub fn model(&self, number: u64) -> String {
        format!("model-{}", number % self.models.max(1) + 1)
    }

    /// The replicas by model and zone.
    #[must_use]
    pub fn cells(&self) -> Vec<Cell> {
        let count = (self.models * self.zones).max(1);
        let cell = |number: u64| Cell {
            model: self.model(number / self.zones),
            zone: self.zone(number % self.zones),
            replicas: self.replicas / count + u64::from(number < self.replicas % count),
        };
        (0..count).map(cell).collect()
    }

    /// The fleet file. Files that differ only in `version` differ in one line of one tenant.
    #[must_use]
    pub fn text(&self, version: u64) -> String {
        let mut text = String::from("name = \"scale\"\n");
        for zone in 0..self.zones {
            let (name, region) = (self.zone(zone), self.region(zone));
            push(
                &mut text,
                format_args!("\n[[zone]]\nname = \"{name}\"\nregion = \"{region}\"\n"),
            );
        }
        for model in self.cells().chunks(self.zones as usize) {
            push_model(&mut text, model);
        }
        for tenant in 0..self.tenants {
            push_tenant(&mut text, tenant, self.weight(tenant, version));
        }
        text
    }

    /// A tenant's weight: that of one tenant tells the version.
    fn weight(&self, tenant: u64, version: u64) -> u64 {
        const WEIGHTS: u64 = 900;
        let changed = version.wrapping_mul(7_919) % self.tenants.max(1);
        if tenant == changed {
            2 + version % WEIGHTS
        } else {
            1
        }
    }
}

fn push(text: &mut String, part: std::fmt::Arguments<'_>) {
    // Writing into a string cannot fail.
    let _ = text.write_fmt(part);
}

fn push_model(text: &mut String, cells: &[Cell]) {
    let name = &cells[0].model;
    push(
        text,
        format_args!("\n[[model]]\nname = \"{name}\"\nversion = \"1\"\nplacement = [\n"),
    );
    for Cell { zone, replicas, .. } in cells {
        push(
            text,
            format_args!("    {{ zone = \"{zone}\", replicas = {replicas} }},\n"),
        );
    }
    text.push_str("]\n");
}

fn push_tenant(text: &mut String, tenant: u64, weight: u64) {
    let name = format!("tenant-{tenant:05}");
    let hash = key_sha256(&name);
    push(
        text,
        format_args!(
            "\n[[tenant]]\nname = \"{name}\"\nkey_sha256 = \"{hash}\"\nweight = {weight}\n"
        ),
    );
    if tenant.is_multiple_of(TENANTS_FOR_ONE_LIMITED) {
        text.push_str("requests_per_second = 20.0\nmax_in_flight = 16\n");
    }
}
