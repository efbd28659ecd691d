//! Fault phases and recovery phases, and the checks after recovery.

use super::{RECOVERY_CHECK_MS, RECOVERY_TIMEOUT_MS, World};
use crate::{actors::ActorId, checker::Invariant, events::Event};
use rand::Rng;

/// Duration of a fault phase, in milliseconds.
const PHASE_MS: std::ops::Range<u64> = 120_000..720_000;
/// Minimum duration of the last fault phase, which is shortened to the end of the run, in
/// milliseconds.
const MIN_PHASE_MS: u64 = 30_000;

impl World {
    pub(super) fn begin_fault_phase(&mut self) {
        self.recovering = false;
        let remaining_ms = self.options.duration_ms.saturating_sub(self.now_ms);
        let length = self.random.random_range(PHASE_MS);
        let length = length.min(remaining_ms.max(MIN_PHASE_MS));
        self.events.push(self.now_ms + length, Event::BeginRecovery);
        for (kind, first) in self.nemesis.begin_phase() {
            self.events.push(self.now_ms + first, Event::Fault(kind));
        }
        for fault in std::mem::take(&mut self.options.script) {
            let at_ms = self.now_ms + fault.at_ms;
            self.events.push(at_ms, Event::Scripted(fault));
        }
        self.wake_all();
    }

    pub(super) fn begin_recovery(&mut self) {
        self.recovering = true;
        let faults: Vec<u64> = self.active_faults.keys().copied().collect();
        for fault in faults {
            self.heal(fault);
        }
        self.torn_on_sync_failure.clear();
        for machine in self.machines.values_mut() {
            machine.disk.fail_syncs(0, 0);
        }
        for id in self.machine_settings.machines.clone() {
            self.restart_in(id, 100);
        }
        self.recovery_deadline_ms = self.now_ms + RECOVERY_TIMEOUT_MS;
        self.events
            .push(self.now_ms + RECOVERY_CHECK_MS, Event::CheckRecovery);
        self.wake_all();
    }

    pub(super) fn wake_all(&mut self) {
        for number in 0..self.actors.len() {
            self.events
                .push(self.now_ms, Event::Wake(ActorId(number as u32)));
        }
    }

    /// Checks for convergence; returns false when the run ends.
    pub(super) fn check_recovery(&mut self) -> bool {
        if let Some(reason) = self.not_converged() {
            if self.now_ms >= self.recovery_deadline_ms {
                self.checker.violate(Invariant::Converges, reason);
                return false;
            }
            self.events
                .push(self.now_ms + RECOVERY_CHECK_MS, Event::CheckRecovery);
            return true;
        }
        self.check_converged();
        self.report.convergences += 1;
        self.trace.update(&self.now_ms.to_le_bytes());
        self.trace.update(&self.checker.acknowledged.to_le_bytes());
        if self.now_ms >= self.options.duration_ms {
            return false;
        }
        self.begin_fault_phase();
        true
    }

    /// Why the system has not converged yet, if it has not.
    pub(super) fn not_converged(&self) -> Option<String> {
        let members: Vec<_> = self
            .machines
            .values()
            .filter_map(|machine| machine.member.as_ref())
            .collect();
        if members.len() != self.machines.len() {
            return Some("a member is not running".to_owned());
        }
        let Some(leader) = members.iter().find(|member| member.is_leader()) else {
            return Some("there is no leader".to_owned());
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
            .find_map(|actor| actor.open_work(&self.checker))
    }

    pub(super) fn check_converged(&mut self) {
        for (id, machine) in &self.machines {
            if let Some(member) = &machine.member {
                self.checker.on_digest(*id, member);
                self.trace.update(&member.ledger().digest().to_le_bytes());
            }
        }
        self.record_membership();
        let first = self.machines.values().next();
        let Some(member) = first.and_then(|machine| machine.member.as_ref()) else {
            return;
        };
        self.checker.check_changes(member.ledger());
        self.checker.check_jobs(member.ledger());
        for actor in &mut self.actors {
            actor.check_after_recovery(member.ledger(), &mut self.checker);
        }
    }
}
