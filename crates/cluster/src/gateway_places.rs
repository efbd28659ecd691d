//! Where gateways are, as a store member hears it from them.

use std::{collections::HashMap, net::SocketAddrV4, sync::Arc};

use linnethitch_job_store::Nearness;
use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::Place;
use parking_lot::Mutex;

use crate::node::machine_of;

/// How far two places are from each other.
pub(crate) fn nearness(one: &Place, other: &Place) -> Nearness {
    if one.zone == other.zone {
        Nearness::Zone
    } else if one.region == other.region {
        Nearness::Region
    } else {
        Nearness::Elsewhere
    }
}

/// Distances of gateways from this member. Clones share them.
#[derive(Clone)]
pub(crate) struct GatewayPlaces {
    own: Place,
    nearness: Arc<Mutex<HashMap<MachineId, Nearness>>>,
}

impl GatewayPlaces {
    pub(crate) fn new(own: Place) -> Self {
        GatewayPlaces {
            own,
            nearness: Arc::default(),
        }
    }

    /// A gateway said where it is.
    pub(crate) fn note(&self, gateway: MachineId, place: &Place) {
        let nearness = nearness(&self.own, place);
        self.nearness.lock().insert(gateway, nearness);
    }

    /// How far a gateway is that names itself as IP:PORT; near where it is not known, so that
    /// it is not kept waiting for others.
    pub(crate) fn nearness(&self, gateway: &str) -> Nearness {
        let Ok(address) = gateway.parse::<SocketAddrV4>() else {
            return Nearness::Zone;
        };
        let known = self.nearness.lock();
        known
            .get(&machine_of(*address.ip()))
            .copied()
            .unwrap_or_default()
    }
}
