//! Which formats gateways speak, as a control member heard it.

use std::collections::BTreeMap;

use linnethitch_protocol::{format::Format, ids::MachineId};

/// A gateway that was not heard of for so long is gone or restarted, in milliseconds: a cut
/// lasts seconds.
const CONTACT_TTL_MS: u64 = 10_000;

/// The newest formats of gateways, and when each said so last, in milliseconds.
#[derive(Default)]
pub(crate) struct GatewayFormats(BTreeMap<MachineId, (u16, u64)>);

impl GatewayFormats {
    /// Notes what a gateway speaks; true when it differs from what it spoke before.
    pub(crate) fn record(&mut self, machine: MachineId, newest: u16, now_ms: u64) -> bool {
        let before = self.0.insert(machine, (newest, now_ms));
        if before.is_none() {
            self.0
                .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) <= CONTACT_TTL_MS);
        }
        before.is_none_or(|(before, _)| before != newest)
    }

    /// The number of the newest format of a gateway; the first where it was not heard of.
    pub(crate) fn newest_of(&self, machine: MachineId) -> u16 {
        let known = self.0.get(&machine);
        known.map_or(Format::First.number(), |(newest, _)| *newest)
    }

    /// Whether all that were heard of lately read a format.
    pub(crate) fn all_read(&self, format: Format, now_ms: u64) -> bool {
        let mut known = self.0.values();
        known.all(|(newest, at_ms)| {
            *newest >= format.number() || now_ms.saturating_sub(*at_ms) > CONTACT_TTL_MS
        })
    }
}
