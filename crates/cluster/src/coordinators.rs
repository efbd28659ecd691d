//! Gateways that coordinate slots and share the counts of tenants' limits: those that are
//! heard of, those that fell silent and may go on, and those that stopped.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::MachineId;
use linnethitch_registry::{KnownGateways, READY_TTL_MS};

/// A coordinating gateway that fell silent without its connection ending may be cut off and
/// go on, for so long, in milliseconds. A cut lasts seconds.
const CUT_OFF_MS: u64 = 10_000;
/// A gateway that stopped is taken off the registry's record after this, in milliseconds:
/// one that is restarted in its place is back by then, and costs no commit.
const STOPPED_RETENTION_MS: u64 = 2_000;
/// Old ones are looked for this often, in milliseconds: each gateway speaks twice a second,
/// and a look at all of them for each would cost their square.
const PRUNE_INTERVAL_MS: u64 = 500;

/// How the registry's record of gateways is to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GatewaysChange {
    pub(crate) joined: Vec<MachineId>,
    pub(crate) departed: Vec<MachineId>,
}

/// Gateways as one control member hears them. Times are in milliseconds since its start.
#[derive(Default)]
pub(crate) struct Coordinators {
    /// When each was last heard of.
    last_contact: BTreeMap<MachineId, u64>,
    /// Those that said that they stop, or whose connection ended, and when.
    stopped: BTreeMap<MachineId, u64>,
    /// When old ones were forgotten last.
    last_prune_ms: u64,
}

impl Coordinators {
    /// Notes that a gateway coordinates; true when it did not before.
    pub(crate) fn record(&mut self, machine: MachineId, now_ms: u64) -> bool {
        self.prune_expired(now_ms);
        self.stopped.remove(&machine);
        let before = self.last_contact.insert(machine, now_ms);
        before.is_none_or(|last_contact_ms| now_ms.saturating_sub(last_contact_ms) > CUT_OFF_MS)
    }

    /// Notes that a gateway no longer coordinates; true when it did before.
    pub(crate) fn stop(&mut self, machine: MachineId, now_ms: u64) -> bool {
        self.prune_expired(now_ms);
        self.stopped.entry(machine).or_insert(now_ms);
        let before = self.last_contact.remove(&machine);
        before.is_some_and(|last_contact_ms| now_ms.saturating_sub(last_contact_ms) <= CUT_OFF_MS)
    }

    /// Those that stopped lately.
    pub(crate) fn stopped(&self, now_ms: u64) -> BTreeSet<MachineId> {
        let stopped = self.stopped.iter();
        let recent = stopped.filter(|(_, at_ms)| now_ms.saturating_sub(**at_ms) <= CUT_OFF_MS);
        recent.map(|(machine, _)| *machine).collect()
    }

    /// Whether a gateway was heard of lately and has not stopped since.
    pub(crate) fn had_contact(&self, machine: MachineId) -> bool {
        self.last_contact.contains_key(&machine)
    }

    /// Those that are heard of.
    pub(crate) fn present(&self, now_ms: u64) -> BTreeSet<MachineId> {
        let last_contact = self.last_contact.iter();
        last_contact
            .filter(|(_, at_ms)| now_ms.saturating_sub(**at_ms) <= READY_TTL_MS)
            .map(|(machine, _)| *machine)
            .collect()
    }

    /// Those that fell silent, and known ones that have not been heard of since this
    /// member's start: they may be cut off and go on.
    pub(crate) fn silent(&self, known: &KnownGateways, now_ms: u64) -> BTreeSet<MachineId> {
        let present = self.present(now_ms);
        let last_contact = self.last_contact.keys().copied();
        let all = last_contact.chain(known.machines());
        all.filter(|machine| !present.contains(machine))
            .filter(|machine| !self.stopped.contains_key(machine))
            .filter(|machine| self.silent_ms(*machine, now_ms) <= CUT_OFF_MS)
            .collect()
    }

    /// What the registry's record lacks, and what it is to forget; `None` where it holds.
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
            None => self.silent_ms(machine, now_ms) > CUT_OFF_MS,
        }
    }

    /// How long a gateway has been silent: since this member's start at most.
    fn silent_ms(&self, machine: MachineId, now_ms: u64) -> u64 {
        let last_contact_ms = self.last_contact.get(&machine).copied().unwrap_or(0);
        now_ms.saturating_sub(last_contact_ms)
    }

    /// Drops those that counted neither as silent nor as stopped any more.
    fn prune_expired(&mut self, now_ms: u64) {
        if now_ms < self.last_prune_ms + PRUNE_INTERVAL_MS {
            return;
        }
        self.last_prune_ms = now_ms;
        let is_recent = |at_ms: &u64| now_ms.saturating_sub(*at_ms) <= CUT_OFF_MS;
        self.last_contact.retain(|_, at_ms| is_recent(at_ms));
        self.stopped.retain(|_, at_ms| is_recent(at_ms));
    }
}
