//! Gateways known to control that share the counts of tenants' limits.
//!
//! Control learns of a gateway by its connection, and loses that knowledge in a restart. An
//! isolated gateway continues to use its share of each limit although no member lists it.
//! This record survives the restart, so that the other gateways don't use that share.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_protocol::ids::{LogIndex, MachineId};
use rkyv::{Archive, Deserialize, Serialize};

/// A gateway that shares the quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// The gateway.
    pub machine: MachineId,
    /// The log entry that recorded it.
    pub since: LogIndex,
}

/// The gateways that share the quota counts, by machine. Clones share the records until one
/// changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownGateways {
    records: Arc<BTreeMap<MachineId, GatewayRecord>>,
}

impl KnownGateways {
    /// Whether a gateway is known.
    #[must_use]
    pub fn contains(&self, machine: MachineId) -> bool {
        self.records.contains_key(&machine)
    }

    /// The known gateways, in a fixed order.
    pub fn machines(&self) -> impl Iterator<Item = MachineId> {
        self.records.keys().copied()
    }

    /// Every record, by machine.
    pub fn records(&self) -> impl Iterator<Item = &GatewayRecord> {
        self.records.values()
    }

    /// Adds the gateways that joined and removes those that left.
    pub(crate) fn change(&mut self, index: LogIndex, joined: Vec<MachineId>, left: &[MachineId]) {
        let records = Arc::make_mut(&mut self.records);
        records.retain(|machine, _| !left.contains(machine));
        for machine in joined {
            let record = GatewayRecord {
                machine,
                since: index,
            };
            records.entry(machine).or_insert(record);
        }
    }
}

impl FromIterator<GatewayRecord> for KnownGateways {
    fn from_iter<I: IntoIterator<Item = GatewayRecord>>(records: I) -> Self {
        let records = records.into_iter();
        let records = records.map(|record| (record.machine, record)).collect();
        KnownGateways {
            records: Arc::new(records),
        }
    }
}
