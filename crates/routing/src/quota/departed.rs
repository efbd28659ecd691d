//! Gateways that left the list lately and may be back where this one is not heard.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::MachineId;

use super::QuotaView;

/// A gateway that left the list this long before control was heard of last may be back, in
/// milliseconds: as long as control counts silent ones.
const MAY_BE_BACK_MS: u64 = 10_000;

/// Gateways that left the list, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct Departed {
    listed: Vec<MachineId>,
    left: BTreeMap<MachineId, u64>,
}

impl Departed {
    /// Takes the list that is known now.
    pub(super) fn follow(&mut self, view: &QuotaView<'_>) {
        let heard_ms = view.now_ms.saturating_sub(view.control_silent_ms);
        self.left
            .retain(|_, left_ms| heard_ms <= *left_ms + MAY_BE_BACK_MS);
        if self.listed == view.gateways {
            return;
        }
        let is_gone = |machine: &&MachineId| !view.gateways.contains(machine);
        let gone = self.listed.iter().filter(is_gone);
        self.left
            .extend(gone.map(|machine| (*machine, view.now_ms)));
        self.left
            .retain(|machine, _| !view.gateways.contains(machine));
        self.listed = view.gateways.to_vec();
    }

    /// Gateways that may count their parts where control is not heard: those that are
    /// listed, silent or gone lately.
    pub(super) fn counting(&self, view: &QuotaView<'_>) -> usize {
        let is_silent = |machine: &&MachineId| view.silent_gateways.contains(machine);
        let gone = self.left.keys().filter(|machine| !is_silent(machine));
        view.gateways.len() + view.silent_gateways.len() + gone.count()
    }
}
