//! Replicas without recent contact, and removed replicas whose records the leader of control
//! deletes.
//!
//! A replica is checked when its time-out is due, not at each contact with another replica: a check
//! costs what is due and what changed since the last check.

use std::collections::{BTreeSet, HashMap, VecDeque};

use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{Registry, RegistryCommand, ReplicaChange, ReplicaRecord, ReplicaState};

/// A replica gets no more work after this time without contact, in milliseconds. Gateways detect a
/// failed replica far earlier by their own requests.
const REPLICA_SILENCE_MS: u64 = 20_000;
/// A replica is removed after this time without contact, in milliseconds. Until then it gets work
/// again once it is heard of: regions may lose each other for minutes.
const REPLICA_END_MS: u64 = 600_000;
/// Of two incarnations at one address, the one without contact for this long has ended, in
/// milliseconds. Heartbeats arrive about every 1.2 s and are reported to the leader every 2 s.
const DISPLACED_SILENCE_MS: u64 = 6_000;
/// A proposal that was not committed is repeated after this time, in milliseconds.
const REPROPOSE_AFTER_MS: u64 = 1_000;
/// Records of ended replicas are retained for this long, in milliseconds: no reachable node lacks
/// updates that are two minutes old, and no heartbeat arrives that late, because connections end
/// within seconds. A node that was partitioned for longer receives all replicas again.
const ENDED_RETENTION_MS: u64 = 120_000;
/// Interval at which the registry's index is recorded, in milliseconds.
const MARK_INTERVAL_MS: u64 = 10_000;

/// The leader's knowledge of replicas. Times are steady, in milliseconds.
#[derive(Default)]
pub(crate) struct ReplicaLiveness {
    /// Time of the last contact with each stored incarnation that has not ended.
    last_contact: HashMap<String, u64>,
    /// When each live incarnation is checked next.
    due: BTreeSet<(u64, String)>,
    /// The registry at the last check.
    last_registry: Registry,
    /// The registry's index at some earlier times, the latest last.
    marks: VecDeque<(u64, LogIndex)>,
}

impl ReplicaLiveness {
    /// Records contact with an incarnation of a replica.
    pub(crate) fn record_contact(&mut self, incarnation: &str, now_ms: u64) {
        // An incarnation that is not stored yet gets its first contact time when it is stored.
        if let Some(last_contact_ms) = self.last_contact.get_mut(incarnation) {
            *last_contact_ms = now_ms;
        }
    }

    /// The commands that are due now.
    pub(crate) fn maintenance_commands(
        &mut self,
        registry: &Registry,
        now_ms: u64,
    ) -> Vec<RegistryCommand> {
        self.apply_changes(registry, now_ms);
        let mut commands = self.remove_silent(registry, now_ms);
        commands.extend(self.resolve_addresses(registry, now_ms));
        commands.extend(self.forget_ended(registry, now_ms));
        commands
    }

    fn apply_changes(&mut self, registry: &Registry, now_ms: u64) {
        let last_registry = std::mem::replace(&mut self.last_registry, registry.clone());
        let is_not_ended = |record: &&ReplicaRecord| record.reported.state != ReplicaState::Ended;
        for difference in registry.differences(&last_registry) {
            let before = difference.before.filter(is_not_ended);
            let now = difference.now.filter(is_not_ended);
            let key = now.map(|now| now.reported.incarnation_key());
            if let Some(before) = before.map(|before| before.reported.incarnation_key())
                && key.as_ref() != Some(&before)
            {
                self.last_contact.remove(&before);
            }
            let (Some(now), Some(key)) = (now, key) else {
                continue;
            };
            // The change was reported by the incarnation itself or by a node that tried to reach
            // it.
            self.last_contact.entry(key.clone()).or_insert(now_ms);
            if now.reported.state.is_live() {
                self.due.insert((now_ms + REPLICA_SILENCE_MS, key));
            }
        }
    }

    /// Drains live incarnations without contact for long, and removes them in the end.
    fn remove_silent(&mut self, registry: &Registry, now_ms: u64) -> Vec<RegistryCommand> {
        let mut commands = Vec::new();
        while let Some((due_ms, _)) = self.due.first()
            && *due_ms < now_ms
        {
            let Some((_, key)) = self.due.pop_first() else {
                break;
            };
            let Some(last_contact_ms) = self.last_contact.get(&key).copied() else {
                continue;
            };
            let Some(record) = live_record(registry, &key) else {
                continue;
            };
            let step = SilenceStep::of(record, last_contact_ms, now_ms);
            self.due
                .insert((step.next_check_ms(last_contact_ms, now_ms), key.clone()));
            commands.extend(step.command(record));
        }
        commands
    }

    /// Determines which of two incarnations at one address is running, if no request has shown it:
    /// the one with recent contact.
    fn resolve_addresses(&self, registry: &Registry, now_ms: u64) -> Vec<RegistryCommand> {
        let mut resolved = Vec::new();
        for displaced in registry.displaced_replicas() {
            let others = registry.at_address(&displaced.reported.address);
            let mut others = others.iter().filter_map(|id| registry.replica(id));
            let other = others.find(|record| record.reported.state.is_live());
            let other = other.map(|other| other.reported.incarnation_key());
            let displaced = displaced.reported.incarnation_key();
            if self.is_silent(&displaced, now_ms) {
                resolved.push(RegistryCommand::RemoveReplica(displaced));
            } else if let Some(other) = other
                && self.is_silent(&other, now_ms)
            {
                resolved.push(RegistryCommand::NotAtAddress(other));
            }
        }
        resolved
    }

    fn is_silent(&self, incarnation: &str, now_ms: u64) -> bool {
        let last_contact_ms = self
            .last_contact
            .get(incarnation)
            .copied()
            .unwrap_or(now_ms);
        now_ms.saturating_sub(last_contact_ms) > DISPLACED_SILENCE_MS
    }

    fn forget_ended(&mut self, registry: &Registry, now_ms: u64) -> Option<RegistryCommand> {
        let last = self.marks.back();
        if last.is_none_or(|(at_ms, _)| *at_ms + MARK_INTERVAL_MS <= now_ms) {
            self.marks.push_back((now_ms, registry.changed_at()));
        }
        let mut newest_index = None;
        while let Some((at_ms, mark)) = self.marks.front()
            && *at_ms + ENDED_RETENTION_MS <= now_ms
        {
            newest_index = Some(*mark);
            self.marks.pop_front();
        }
        let newest_index = newest_index?;
        let has_ended = registry
            .first_ended_at()
            .is_some_and(|at| at <= newest_index);
        has_ended.then_some(RegistryCommand::ForgetEnded {
            up_to_index: newest_index,
        })
    }
}

/// What becomes of a live incarnation by the time since its last contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SilenceStep {
    /// It was heard of lately.
    Heard,
    /// It gets no more work.
    Drain,
    /// It gets no work and may be heard of again.
    Drained,
    /// It is removed.
    End,
}

impl SilenceStep {
    fn of(record: &ReplicaRecord, last_contact_ms: u64, now_ms: u64) -> Self {
        let is_draining = record.reported.state == ReplicaState::Draining;
        if last_contact_ms + REPLICA_END_MS < now_ms {
            SilenceStep::End
        } else if last_contact_ms + REPLICA_SILENCE_MS >= now_ms {
            SilenceStep::Heard
        } else if is_draining {
            SilenceStep::Drained
        } else {
            SilenceStep::Drain
        }
    }

    fn next_check_ms(self, last_contact_ms: u64, now_ms: u64) -> u64 {
        match self {
            SilenceStep::Heard => last_contact_ms + REPLICA_SILENCE_MS,
            SilenceStep::Drained => last_contact_ms + REPLICA_END_MS,
            SilenceStep::Drain | SilenceStep::End => now_ms + REPROPOSE_AFTER_MS,
        }
    }

    fn command(self, record: &ReplicaRecord) -> Option<RegistryCommand> {
        match self {
            SilenceStep::Heard | SilenceStep::Drained => None,
            SilenceStep::Drain => Some(drain(&record.reported)),
            SilenceStep::End => {
                let key = record.reported.incarnation_key();
                Some(RegistryCommand::RemoveReplica(key))
            }
        }
    }
}

/// Drains a replica on its behalf. Its next heartbeat has a higher sequence number and makes it
/// ready again.
fn drain(reported: &ReplicaChange) -> RegistryCommand {
    RegistryCommand::Replica(Box::new(ReplicaChange {
        state: ReplicaState::Draining,
        sequence: reported.sequence.saturating_add(1),
        cold_ms: 0,
        ..reported.clone()
    }))
}

fn live_record<'a>(registry: &'a Registry, incarnation: &str) -> Option<&'a ReplicaRecord> {
    let (id, _) = linnethitch_registry::parse_incarnation_key(incarnation);
    let record = registry.replica(id)?;
    let is_live = record.reported.state.is_live();
    (is_live && record.reported.is_of_incarnation(incarnation)).then_some(record)
}
