//! The formats that gateways support, as reported to a control member.

use std::collections::BTreeMap;

use linnethitch_protocol::{format::Format, ids::MachineId};

/// A gateway counts as removed or restarted this long after the last contact, in milliseconds: a
/// partition lasts seconds.
const CONTACT_TTL_MS: u64 = 10_000;

/// The newest formats of gateways and the time of the last report of each, in milliseconds.
#[derive(Default)]
pub(crate) struct GatewayFormats(BTreeMap<MachineId, (u16, u64)>);

impl GatewayFormats {
    /// Records the newest format of a gateway; true if it changed.
    pub(crate) fn record(&mut self, machine: MachineId, newest: u16, now_ms: u64) -> bool {
        let before = self.0.insert(machine, (newest, now_ms));
        if before.is_none() {
            self.0
                .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) <= CONTACT_TTL_MS);
        }
        before.is_none_or(|(before, _)| before != newest)
    }

    /// Number of the newest format of a gateway; the first format if the gateway is not known.
    pub(crate) fn newest_of(&self, machine: MachineId) -> u16 {
        let known = self.0.get(&machine);
        known.map_or(Format::First.number(), |(newest, _)| *newest)
    }

    /// Whether all gateways with recent contact can read a format.
    pub(crate) fn all_read(&self, format: Format, now_ms: u64) -> bool {
        let mut known = self.0.values();
        known.all(|(newest, at_ms)| {
            *newest >= format.number() || now_ms.saturating_sub(*at_ms) > CONTACT_TTL_MS
        })
    }
}
