//! The zones in which each service has or had replicas.

use std::{collections::BTreeMap, sync::Arc};

type Zones = BTreeMap<String, usize>;

/// Numbers of replicas by service and zone. Services and zones are few, so clones share one
/// map and copy it on a change.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceZones {
    by_service: Arc<BTreeMap<String, Zones>>,
}

impl ServiceZones {
    /// Zones in which a service has or had replicas, by name.
    pub(crate) fn of(&self, service: &str) -> impl Iterator<Item = &str> {
        let zones = self.by_service.get(service).into_iter().flatten();
        zones.map(|(zone, _)| zone.as_str())
    }

    /// Adds a replica of a service in a zone.
    pub(crate) fn add(&mut self, service: &str, zone: &str) {
        let services = Arc::make_mut(&mut self.by_service);
        let zones = services.entry(service.to_owned()).or_default();
        *zones.entry(zone.to_owned()).or_default() += 1;
    }

    /// Removes a replica of a service from a zone.
    pub(crate) fn remove(&mut self, service: &str, zone: &str) {
        let services = Arc::make_mut(&mut self.by_service);
        let Some(zones) = services.get_mut(service) else {
            return;
        };
        let Some(replicas) = zones.get_mut(zone) else {
            return;
        };
        *replicas -= 1;
        if *replicas == 0 {
            zones.remove(zone);
        }
        if zones.is_empty() {
            services.remove(service);
        }
    }
}
