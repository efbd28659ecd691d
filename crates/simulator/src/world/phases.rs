//! Phases of faults and of rest, and what must hold at rest.

use super::{REST_CHECK_MS, REST_LIMIT_MS, World};
use crate::{actors::ActorId, checker::Invariant, events::Event};
use rand::Rng;

/// Shortest and longest phase of faults, in milliseconds.
const PHASE_MS: std::ops::Range<u64> = 120_000..720_000;
/// The last phase is cut down to the run's end, but not below this, in milliseconds.
const SHORTEST_PHASE_MS: u64 = 30_000;

impl World {
    pub(super) fn begin_faults(&mut self) {
        self.resting = false;
        let left_ms = self.options.duration_ms.saturating_sub(self.now_ms);
        let length = self.random.random_range(PHASE_MS);
        let length = length.min(left_ms.max(SHORTEST_PHASE_MS));
        self.events.push(self.now_ms + length, Event::Rest);
        for (kind, first) in self.nemesis.begin_phase() {
            self.events.push(self.now_ms + first, Event::Fault(kind));
        }
        for fault in std::mem::take(&mut self.options.script) {
            let at_ms = self.now_ms + fault.at_ms;
            self.events.push(at_ms, Event::Scripted(fault));
        }
        self.wake_all();
    }

    pub(super) fn begin_rest(&mut self) {
        self.resting = true;
        let faults: Vec<u64> = self.lasting.keys().copied().collect();
        for fault in faults {
            self.heal(fault);
        }
        self.tearing.clear();
        for machine in self.machines.values_mut() {
            machine.disk.fail_syncs(0, 0);
        }
        for id in self.plan.machines.clone() {
            self.restart_in(id, 100);
        }
        self.rest_until_ms = self.now_ms + REST_LIMIT_MS;
        self.events
            .push(self.now_ms + REST_CHECK_MS, Event::CheckRest);
        self.wake_all();
    }

    pub(super) fn wake_all(&mut self) {
        for number in 0..self.actors.len() {
            self.events
                .push(self.now_ms, Event::Wake(ActorId(number as u32)));
        }
    }

    /// At rest: false when the run is over.
    pub(super) fn check_rest(&mut self) -> bool {
        if let Some(reason) = self.not_converged() {
            if self.now_ms >= self.rest_until_ms {
                self.checker.violate(Invariant::Converges, reason);
                return false;
            }
            self.events
                .push(self.now_ms + REST_CHECK_MS, Event::CheckRest);
            return true;
        }
        self.check_converged();
        self.report.convergences += 1;
        self.trace.update(&self.now_ms.to_le_bytes());
        self.trace.update(&self.checker.acknowledged.to_le_bytes());
        if self.now_ms >= self.options.duration_ms {
            return false;
        }
        self.begin_faults();
        true
    }

    /// What is missing until everything has converged.
    pub(super) fn not_converged(&self) -> Option<String> {
        let members: Vec<_> = self
            .machines
            .values()
            .filter_map(|machine| machine.member.as_ref())
            .collect();
        if members.len() != self.machines.len() {
            return Some("a member does not run".to_owned());
        }
        let Some(leader) = members.iter().find(|member| member.is_leader()) else {
            return Some("nobody leads".to_owned());
        };
        let status = leader.status();
        let voters = &status.membership.voters;
        let all_vote = members.iter().all(|member| voters.contains(&member.id()));
        if !all_vote || voters.len() != members.len() || !status.membership_committed {
            return Some(format!("the voters are {voters:?}"));
        }
        for member in &members {
            if member.applied() != leader.applied() {
                let id = member.id();
                return Some(format!("{id} has applied {}", member.applied()));
            }
        }
        self.actors
            .iter()
            .find_map(|actor| actor.unsettled(&self.checker))
    }

    pub(super) fn check_converged(&mut self) {
        for (id, machine) in &self.machines {
            if let Some(member) = &machine.member {
                self.checker.on_digest(*id, member);
                self.trace.update(&member.ledger().digest().to_le_bytes());
            }
        }
        self.note_membership();
        let first = self.machines.values().next();
        let Some(member) = first.and_then(|machine| machine.member.as_ref()) else {
            return;
        };
        self.checker.check_changes(member.ledger());
        self.checker.check_jobs(member.ledger());
        for actor in &mut self.actors {
            actor.check_at_rest(member.ledger(), &mut self.checker);
        }
    }
}
