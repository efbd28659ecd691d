//! Start, processing steps and failures of control machines.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::{DiskId, MachineId};
use rand::Rng;

use super::{DIGEST_INTERVAL_MS, World};
use crate::{
    checker::Invariant,
    events::Event,
    machine::{ControlMachine, WorkResult},
};

/// Interval of a member's timer, in milliseconds.
const TICK_MS: u64 = 20;
/// Delay before a failed process is restarted, in milliseconds.
const RESTART_DELAY_MS: std::ops::Range<u64> = 500..5_000;

impl World {
    pub(crate) fn machine(&mut self, id: MachineId) -> Option<&mut ControlMachine> {
        self.machines.get_mut(&id)
    }

    /// Schedules the start of a machine's process.
    pub(crate) fn restart_in(&mut self, id: MachineId, milliseconds: u64) {
        self.events
            .push(self.now_ms + milliseconds, Event::Restart(id));
    }

    pub(super) fn restart(&mut self, id: MachineId) {
        let now_ms = self.now_ms;
        self.next_disk += 1;
        let new_disk = DiskId(self.next_disk);
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        if machine.member.is_some() {
            return;
        }
        machine.disk.fail_syncs(0, 0);
        match machine.start(&self.machine_settings, new_disk, now_ms) {
            Ok(()) => {
                self.events.push(now_ms, Event::Tick(id));
                self.log(|| format!("member {id} starts"));
            }
            Err(report) => {
                machine.crash();
                let kind = *report.current_context();
                self.log(|| format!("member {id} does not start: {report:?}"));
                let damaged = self.damaged.iter().any(|member| member.machine == id);
                match kind {
                    ErrorKind::StorageFull => self.restart_in(id, 1_000),
                    // The member refuses to start on a damaged disk; an operator replaces it.
                    _ if damaged => self.replace_disk(id),
                    _ => self.checker.violate(
                        Invariant::Starts,
                        format!("member {id} does not start: {report:?}"),
                    ),
                }
            }
        }
    }

    pub(super) fn replace_disk(&mut self, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.lose_disk();
        }
        self.restart_in(id, 1_000);
    }

    pub(super) fn tick(&mut self, id: MachineId) {
        let now_ms = self.now_ms;
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        if machine.member.is_none() {
            return;
        }
        let busy_until_ms = machine.busy_until_ms;
        if busy_until_ms > now_ms {
            self.events.push(busy_until_ms, Event::Tick(id));
            return;
        }
        self.events.push(now_ms + TICK_MS, Event::Tick(id));
        self.work(id, true);
        self.compare_states();
    }

    pub(super) fn work(&mut self, id: MachineId, tick: bool) {
        let now_ms = self.now_ms;
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        if !tick {
            machine.work_scheduled = false;
        }
        self.engines.deliver_due(now_ms, &mut self.checker);
        if machine.busy_until_ms > now_ms {
            self.schedule_work(id);
            return;
        }
        let result = machine.work(now_ms, tick, &mut self.engines, &mut self.random);
        self.finish_work(id, result);
    }

    pub(super) fn finish_work(&mut self, id: MachineId, result: WorkResult) {
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        let sync_duration_ms = result.syncs * machine.sync_ms;
        machine.busy_until_ms = machine.busy_until_ms.max(self.now_ms + sync_duration_ms);
        if let Some(member) = &machine.member {
            self.checker.on_member(id, member);
        }
        for notice in &result.notices {
            self.checker.on_notice(id, notice);
            self.log(|| format!("member {id}: {notice:?}"));
        }
        for envelope in result.sent {
            self.send(envelope, sync_duration_ms);
        }
        if let Some(report) = result.failure {
            self.fail(id, *report.current_context());
        }
    }

    /// Stops a member that reported a failure and schedules its restart.
    pub(super) fn fail(&mut self, id: MachineId, kind: ErrorKind) {
        let torn = self.torn_on_sync_failure.remove(&id);
        self.log(|| format!("member {id} stopped itself: {kind}"));
        self.checker.on_stop(id);
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        if torn {
            machine.crash();
        } else {
            machine.stop_process();
        }
        let damaged = self.damaged.iter().any(|member| member.machine == id);
        let expected = kind == ErrorKind::Io || damaged;
        self.checker.require(expected, Invariant::Starts, || {
            format!("member {id} stopped itself: {kind}")
        });
        let delay_ms = self.random.random_range(RESTART_DELAY_MS);
        self.restart_in(id, delay_ms);
    }

    /// Schedules a processing step as soon as the machine is not busy; one step processes all
    /// queued messages.
    pub(super) fn schedule_work(&mut self, id: MachineId) {
        let now_ms = self.now_ms;
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        if machine.member.is_some() && !machine.work_scheduled {
            machine.work_scheduled = true;
            let at_ms = machine.busy_until_ms.max(now_ms);
            self.events.push(at_ms, Event::Work(id));
        }
    }

    pub(super) fn compare_states(&mut self) {
        if self.now_ms < self.next_digest_ms {
            return;
        }
        self.next_digest_ms = self.now_ms + DIGEST_INTERVAL_MS;
        for (id, machine) in &self.machines {
            if let Some(member) = &machine.member {
                self.checker.on_digest(*id, member);
            }
        }
    }
}
