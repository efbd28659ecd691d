//! The gateways among which the bound is divided, as this gateway remembers them.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::MachineId;

/// A gateway that control named counts for so long after it was named last, in
/// milliseconds: one that is cut off for minutes goes on by what it remembers.
const REMEMBERED_MS: u64 = 600_000;

/// Gateways that control named lately, by when.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownGateways {
    named: BTreeMap<MachineId, u64>,
    list: Vec<MachineId>,
}

impl KnownGateways {
    /// Takes a list of control; whether others are known now than before.
    pub(super) fn note(&mut self, listed: &[MachineId], now_ms: u64) -> bool {
        for gateway in listed {
            self.named.insert(*gateway, now_ms);
        }
        self.named
            .retain(|_, named_ms| now_ms < *named_ms + REMEMBERED_MS);
        if self.named.keys().eq(self.list.iter()) {
            return false;
        }
        self.list = self.named.keys().copied().collect();
        true
    }

    /// All of them.
    pub(super) fn list(&self) -> &[MachineId] {
        &self.list
    }
}
