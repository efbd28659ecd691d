//! Gateways that coordinate slots and share the counts of tenants' limits: those that are
//! reachable, those that are silent but may still be running, and those that stopped.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::{KnownGateways, READY_TTL_MS};

/// A coordinating gateway that became silent while its connection did not end may be partitioned
/// and still running for this long, in milliseconds. A partition lasts seconds.
const PARTITION_LIMIT_MS: u64 = 10_000;
/// A stopped gateway is removed from the registry's record after this time, in milliseconds: a
/// gateway that is restarted at the same machine is back by then and costs no commit.
const STOPPED_RETENTION_MS: u64 = 2_000;
/// Minimum time between two removals of expired entries, in milliseconds. Each gateway sends two
/// messages a second, and checking all gateways for each message would cost quadratic time.
const PRUNE_INTERVAL_MS: u64 = 500;

/// A change of the registry's record of gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GatewaysChange {
    pub(crate) joined: Vec<MachineId>,
    pub(crate) departed: Vec<MachineId>,
}

/// Gateways as seen by one control member. Times are in milliseconds since its start.
#[derive(Default)]
pub(crate) struct Coordinators {
    /// Time of the last contact with each gateway.
    last_contact: BTreeMap<MachineId, u64>,
    /// Gateways that reported that they are stopping or whose connection ended, and when.
    stopped: BTreeMap<MachineId, u64>,
    /// When expired entries were last removed.
    last_prune_ms: u64,
}

impl Coordinators {
    /// Records that a gateway coordinates; true if it did not before.
    pub(crate) fn record(&mut self, machine: MachineId, now_ms: u64) -> bool {
        self.prune_expired(now_ms);
        self.stopped.remove(&machine);
        let before = self.last_contact.insert(machine, now_ms);
        before.is_none_or(|last_contact_ms| {
            now_ms.saturating_sub(last_contact_ms) > PARTITION_LIMIT_MS
        })
    }

    /// Records that a gateway no longer coordinates; true if it did before.
    pub(crate) fn stop(&mut self, machine: MachineId, now_ms: u64) -> bool {
        self.prune_expired(now_ms);
        self.stopped.entry(machine).or_insert(now_ms);
        let before = self.last_contact.remove(&machine);
        before.is_some_and(|last_contact_ms| {
            now_ms.saturating_sub(last_contact_ms) <= PARTITION_LIMIT_MS
        })
    }

    /// Gateways that stopped recently.
    pub(crate) fn stopped(&self, now_ms: u64) -> BTreeSet<MachineId> {
        let stopped = self.stopped.iter();
        let recent =
            stopped.filter(|(_, at_ms)| now_ms.saturating_sub(**at_ms) <= PARTITION_LIMIT_MS);
        recent.map(|(machine, _)| *machine).collect()
    }

    /// Whether there was recent contact with a gateway that has not stopped since.
    pub(crate) fn had_contact(&self, machine: MachineId) -> bool {
        self.last_contact.contains_key(&machine)
    }

    /// Gateways that are reachable.
    pub(crate) fn present(&self, now_ms: u64) -> BTreeSet<MachineId> {
        let last_contact = self.last_contact.iter();
        last_contact
            .filter(|(_, at_ms)| now_ms.saturating_sub(**at_ms) <= READY_TTL_MS)
            .map(|(machine, _)| *machine)
            .collect()
    }

    /// Gateways that became silent, and recorded gateways without contact since this member's
    /// start: they may be partitioned and still running.
    pub(crate) fn silent(&self, known: &KnownGateways, now_ms: u64) -> BTreeSet<MachineId> {
        let present = self.present(now_ms);
        let last_contact = self.last_contact.keys().copied();
        let all = last_contact.chain(known.machines());
        all.filter(|machine| !present.contains(machine))
            .filter(|machine| !self.stopped.contains_key(machine))
            .filter(|machine| self.silent_ms(*machine, now_ms) <= PARTITION_LIMIT_MS)
            .collect()
    }

    /// The difference between the registry's record and the gateways seen here; `None` if there is
    /// none.
    pub(crate) fn change_from(&self, known: &KnownGateways, now_ms: u64) -> Option<GatewaysChange> {
        let present = self.present(now_ms).into_iter();
        let change = GatewaysChange {
            joined: present
                .filter(|machine| !known.contains(*machine))
                .collect(),
            departed: known
                .machines()
                .filter(|machine| self.has_departed(*machine, now_ms))
                .collect(),
        };
        let is_empty = change.joined.is_empty() && change.departed.is_empty();
        (!is_empty).then_some(change)
    }

    fn has_departed(&self, machine: MachineId, now_ms: u64) -> bool {
        match self.stopped.get(&machine) {
            Some(stopped_ms) => now_ms.saturating_sub(*stopped_ms) > STOPPED_RETENTION_MS,
            None => self.silent_ms(machine, now_ms) > PARTITION_LIMIT_MS,
        }
    }

    /// Time since the last contact with a gateway, or since this member's start if there was none.
    fn silent_ms(&self, machine: MachineId, now_ms: u64) -> u64 {
        let last_contact_ms = self.last_contact.get(&machine).copied().unwrap_or(0);
        now_ms.saturating_sub(last_contact_ms)
    }

    /// Removes entries that no longer count as silent or stopped.
    fn prune_expired(&mut self, now_ms: u64) {
        if now_ms < self.last_prune_ms + PRUNE_INTERVAL_MS {
            return;
        }
        self.last_prune_ms = now_ms;
        let is_recent = |at_ms: &u64| now_ms.saturating_sub(*at_ms) <= PARTITION_LIMIT_MS;
        self.last_contact.retain(|_, at_ms| is_recent(at_ms));
        self.stopped.retain(|_, at_ms| is_recent(at_ms));
    }
}
