//! The gateways among which the bound is divided, as this gateway remembers them.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::MachineId;

/// A gateway counts for this time after control last named it, in milliseconds: a gateway that is
/// isolated for minutes continues with the list that it remembers.
const GATEWAY_RETENTION_MS: u64 = 600_000;

/// Gateways that control recently named, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownGateways {
    last_named_ms: BTreeMap<MachineId, u64>,
    list: Vec<MachineId>,
}

impl KnownGateways {
    /// Records a list from control. Returns whether the known gateways have changed.
    pub(super) fn update(&mut self, listed: &[MachineId], now_ms: u64) -> bool {
        for gateway in listed {
            self.last_named_ms.insert(*gateway, now_ms);
        }
        self.last_named_ms
            .retain(|_, at_ms| now_ms < *at_ms + GATEWAY_RETENTION_MS);
        if self.last_named_ms.keys().eq(self.list.iter()) {
            return false;
        }
        self.list = self.last_named_ms.keys().copied().collect();
        true
    }

    /// All known gateways.
    pub(super) fn list(&self) -> &[MachineId] {
        &self.list
    }
}
