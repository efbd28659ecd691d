//! Gateways that recently left the list and may have returned without this gateway knowing.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::MachineId;

use super::QuotaView;

/// A gateway may have returned if it left the list at most this long before the last contact with
/// control, in milliseconds: as long as control counts silent gateways.
const RETURN_WINDOW_MS: u64 = 10_000;

/// Gateways that left the list, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedGateways {
    listed: Vec<MachineId>,
    departed: BTreeMap<MachineId, u64>,
}

impl DepartedGateways {
    /// Updates the list of gateways.
    pub(super) fn update(&mut self, view: &QuotaView<'_>) {
        let contact_ms = view.now_ms.saturating_sub(view.control_silent_ms);
        self.departed
            .retain(|_, departed_ms| contact_ms <= *departed_ms + RETURN_WINDOW_MS);
        if self.listed == view.gateways {
            return;
        }
        let has_left = |machine: &&MachineId| !view.gateways.contains(machine);
        let departed = self.listed.iter().filter(has_left);
        self.departed
            .extend(departed.map(|machine| (*machine, view.now_ms)));
        self.departed
            .retain(|machine, _| !view.gateways.contains(machine));
        self.listed = view.gateways.to_vec();
    }

    /// Number of gateways that may count their shares while control is unreachable: listed, silent
    /// and recently departed ones.
    pub(super) fn max_counting(&self, view: &QuotaView<'_>) -> usize {
        let is_silent = |machine: &&MachineId| view.silent_gateways.contains(machine);
        let others = self.departed.keys().filter(|machine| !is_silent(machine));
        view.gateways.len() + view.silent_gateways.len() + others.count()
    }
}
