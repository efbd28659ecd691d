//! What other members of control hear of gateways.
//!
//! A gateway keeps links to a few members only. The others name it all the same, by the word
//! of those that hear it.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::READY_TTL_MS;

use crate::{message::HeardGateway, told_set::SetChange};

/// What one member tells.
#[derive(Default)]
struct Told {
    /// When it was last heard of, in milliseconds.
    at_ms: u64,
    heard: BTreeMap<MachineId, HeardGateway>,
    stopped: BTreeSet<MachineId>,
}

/// What each other member tells.
#[derive(Default)]
pub(crate) struct RelayedPresence {
    by_member: BTreeMap<MachineId, Told>,
}

impl RelayedPresence {
    /// Takes a pulse of a member; true where it tells something else than before.
    pub(crate) fn take(
        &mut self,
        member: MachineId,
        heard: Option<SetChange<HeardGateway>>,
        stopped: Option<SetChange<MachineId>>,
        now_ms: u64,
    ) -> bool {
        let told = self.by_member.entry(member).or_default();
        told.at_ms = now_ms;
        let is_news = heard.is_some() || stopped.is_some();
        if let Some(change) = heard {
            change.apply_to_map(&mut told.heard, |gateway| gateway.machine);
        }
        if let Some(change) = stopped {
            change.apply_to(&mut told.stopped);
        }
        is_news
    }

    /// Gateways that a member hears.
    pub(crate) fn heard_by(&self, member: MachineId) -> impl Iterator<Item = &HeardGateway> {
        let told = self.by_member.get(&member).into_iter();
        told.flat_map(|told| told.heard.values())
    }

    /// Gateways that stopped, by the word of a member, and that no member hears.
    pub(crate) fn stopped_by(&self, member: MachineId, now_ms: u64) -> Vec<MachineId> {
        let told = self.by_member.get(&member).into_iter();
        let stopped = told.flat_map(|told| &told.stopped).copied();
        stopped
            .filter(|machine| !self.is_heard(*machine, now_ms))
            .collect()
    }

    fn is_heard(&self, machine: MachineId, now_ms: u64) -> bool {
        let mut told = self.by_member.values();
        told.any(|told| {
            now_ms.saturating_sub(told.at_ms) <= READY_TTL_MS && told.heard.contains_key(&machine)
        })
    }
}
