//! Injects faults and heals them.

use linnethitch_protocol::ids::MachineId;
use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::{
    faults::FaultKind,
    machine::NOMINAL_RATE_PPM,
    network::{Address, Cut, Disturbance, REGIONS},
    world::{HealAction, World},
};

/// Duration of a disturbance of the network, in milliseconds.
const DISTURBANCE_MS: std::ops::Range<u64> = 2_000..60_000;
/// Duration of most cuts, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 500..60_000;
/// Duration of a long cut, in milliseconds: ten minutes, the maximum.
const LONG_CUT_MS: u64 = 600_000;
/// Share of long cuts.
const LONG_CUT_SHARE: f64 = 0.1;
/// Time until a stopped machine restarts, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 200..40_000;
/// Duration of a slow or full disk, in milliseconds.
const DISK_FAULT_MS: std::ops::Range<u64> = 1_000..30_000;
/// Duration of a clock skew, in milliseconds.
const SKEW_MS: std::ops::Range<u64> = 10_000..300_000;
/// Duration of a process pause, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..20_000;
/// Number of successful syncs before one fails.
const SYNCS_BEFORE_FAILURE: std::ops::Range<u32> = 0..8;
/// Remaining capacity of a disk that runs full, in bytes.
const REMAINING_CAPACITY_BYTES: std::ops::Range<u64> = 0..40_000;

impl World {
    /// Injects a fault of a kind on a random machine.
    pub(crate) fn inject_on_random_machine(&mut self, kind: FaultKind) {
        let machines: Vec<MachineId> = self.machines.keys().copied().collect();
        if let Some(id) = machines.choose(self.nemesis.random(kind)) {
            self.inject(kind, *id);
        }
    }

    /// Injects a fault of a kind; the machine matters only if the kind affects a single one.
    pub(crate) fn inject(&mut self, kind: FaultKind, id: MachineId) {
        let machines: Vec<MachineId> = self.machines.keys().copied().collect();
        self.record_membership();
        let injected = match kind {
            FaultKind::Loss | FaultKind::Delay | FaultKind::Duplication => self.disturb(kind),
            FaultKind::OneWayCut
            | FaultKind::Isolation
            | FaultKind::Split
            | FaultKind::RegionCut => self.cut(kind, id),
            FaultKind::Crash => self.crash(kind, &[id]),
            FaultKind::PowerLoss => self.crash(kind, &machines),
            FaultKind::TornWrite | FaultKind::SyncFailure => self.fail_sync(kind, id),
            FaultKind::SlowSync => self.slow_syncs(id),
            FaultKind::DiskFull => self.fill_disk(id),
            FaultKind::DiskLoss => self.lose_disk(id),
            FaultKind::Corruption => self.corrupt(id),
            FaultKind::ClockSkew => self.skew_clock(id),
            FaultKind::Pause => self.pause(id),
            FaultKind::GatewayDeath => self.kill_gateway(id),
        };
        if injected {
            self.count_fault(kind, id);
        }
    }

    fn disturb(&mut self, kind: FaultKind) -> bool {
        let random = self.nemesis.random(kind);
        let duration_ms = random.random_range(DISTURBANCE_MS);
        let disturbance = match kind {
            FaultKind::Loss => Disturbance {
                loss: random.random_range(0.01..0.4),
                ..Disturbance::default()
            },
            FaultKind::Duplication => Disturbance {
                duplication: random.random_range(0.05..0.5),
                ..Disturbance::default()
            },
            _ => Disturbance {
                delay_ms: random.random_range(5..1_500),
                ..Disturbance::default()
            },
        };
        let fault = self.begin_fault(HealAction::Network, duration_ms);
        self.network.disturbances.insert(fault, disturbance);
        true
    }

    fn cut(&mut self, kind: FaultKind, id: MachineId) -> bool {
        let others: Vec<MachineId> = self.machines.keys().copied().collect();
        let random = self.nemesis.random(kind);
        let one = Address::Control(id);
        let cut = match kind {
            FaultKind::OneWayCut => {
                let other = others.choose(random).copied().unwrap_or(id);
                match random.random_range(0..3) {
                    0 => Cut::OneWay(one, Address::Control(other)),
                    1 => Cut::Outgoing(one),
                    _ => Cut::Incoming(one),
                }
            }
            FaultKind::Isolation => Cut::Both(one),
            FaultKind::Split => {
                let size = random.random_range(1..others.len());
                Cut::Split(others.iter().copied().choose_multiple(random, size))
            }
            _ => Cut::Region(random.random_range(0..REGIONS)),
        };
        let duration_ms = if random.random_bool(LONG_CUT_SHARE) {
            LONG_CUT_MS
        } else {
            random.random_range(CUT_MS)
        };
        let fault = self.begin_fault(HealAction::Network, duration_ms);
        self.network.cuts.insert(fault, cut);
        true
    }

    fn crash(&mut self, kind: FaultKind, machines: &[MachineId]) -> bool {
        let mut any_stopped = false;
        for id in machines {
            let down_ms = self.nemesis.random(kind).random_range(DOWN_MS);
            any_stopped |= self.stop_machine(*id, down_ms);
        }
        any_stopped
    }

    /// Stops a machine and schedules its restart; returns false if its process was not running.
    fn stop_machine(&mut self, id: MachineId, down_ms: u64) -> bool {
        let Some(machine) = self.machine(id) else {
            return false;
        };
        if machine.member.is_none() {
            return false;
        }
        machine.crash();
        self.checker.on_stop(id);
        self.restart_in(id, down_ms);
        true
    }

    fn fail_sync(&mut self, kind: FaultKind, id: MachineId) -> bool {
        let successful_syncs = self.nemesis.random(kind).random_range(SYNCS_BEFORE_FAILURE);
        let Some(machine) = self.machine(id) else {
            return false;
        };
        if machine.member.is_none() {
            return false;
        }
        machine.disk.fail_syncs(successful_syncs, 1);
        if kind == FaultKind::TornWrite {
            self.torn_on_sync_failure.insert(id);
        } else {
            self.torn_on_sync_failure.remove(&id);
        }
        true
    }

    fn slow_syncs(&mut self, id: MachineId) -> bool {
        let random = self.nemesis.random(FaultKind::SlowSync);
        let sync_ms = random.random_range(20..2_000);
        let duration_ms = random.random_range(DISK_FAULT_MS);
        let Some(machine) = self.machine(id) else {
            return false;
        };
        machine.sync_ms = sync_ms;
        self.begin_fault(HealAction::SyncTime(id), duration_ms);
        true
    }

    fn fill_disk(&mut self, id: MachineId) -> bool {
        let random = self.nemesis.random(FaultKind::DiskFull);
        let remaining_bytes = random.random_range(REMAINING_CAPACITY_BYTES);
        let duration_ms = random.random_range(DISK_FAULT_MS);
        let Some(machine) = self.machine(id) else {
            return false;
        };
        let used = machine.disk.used_bytes();
        machine.disk.set_capacity(used + remaining_bytes);
        self.begin_fault(HealAction::Capacity(id), duration_ms);
        true
    }

    fn lose_disk(&mut self, id: MachineId) -> bool {
        if !self.may_lose_disk(id) {
            return false;
        }
        let down_ms = self
            .nemesis
            .random(FaultKind::DiskLoss)
            .random_range(DOWN_MS);
        let Some(machine) = self.machine(id) else {
            return false;
        };
        let was_running = machine.member.is_some();
        machine.lose_disk();
        self.checker.on_stop(id);
        if was_running {
            self.restart_in(id, down_ms);
        }
        true
    }

    /// Stops a machine and flips a stored bit.
    fn corrupt(&mut self, id: MachineId) -> bool {
        if !self.may_lose_disk(id) {
            return false;
        }
        let random = self.nemesis.random(FaultKind::Corruption);
        let down_ms = random.random_range(DOWN_MS);
        let prefers_log = random.random_bool(0.8);
        let Some(member) = self.machine(id).and_then(|machine| machine.member_id()) else {
            return false;
        };
        if !self.stop_machine(id, down_ms) {
            return false;
        }
        let Some(machine) = self.machine(id) else {
            return false;
        };
        let directories = if prefers_log {
            ["log", "snapshots"]
        } else {
            ["snapshots", "log"]
        };
        let mut targets = directories.iter();
        if !targets.any(|directory| machine.disk.flip_random_bit(directory).is_some()) {
            return false;
        }
        self.damaged.insert(member);
        true
    }

    fn skew_clock(&mut self, id: MachineId) -> bool {
        let random = self.nemesis.random(FaultKind::ClockSkew);
        let duration_ms = random.random_range(SKEW_MS);
        let offset_ms = random.random_range(-30_000..30_000);
        let rate_ppm = random.random_range(NOMINAL_RATE_PPM * 9 / 10..NOMINAL_RATE_PPM * 11 / 10);
        let now_ms = self.now_ms;
        let Some(machine) = self.machine(id) else {
            return false;
        };
        machine.skew_clock(now_ms, offset_ms, rate_ppm);
        self.begin_fault(HealAction::Clock(id), duration_ms);
        true
    }

    fn pause(&mut self, id: MachineId) -> bool {
        let pause_ms = self.nemesis.random(FaultKind::Pause).random_range(PAUSE_MS);
        let until_ms = self.now_ms + pause_ms;
        let Some(machine) = self.machine(id) else {
            return false;
        };
        machine.busy_until_ms = machine.busy_until_ms.max(until_ms);
        machine.member.is_some()
    }

    fn kill_gateway(&mut self, id: MachineId) -> bool {
        let gateways = self.gateways();
        let number = id.0 as usize % gateways.len().max(1);
        let Some(gateway) = gateways.get(number) else {
            return false;
        };
        self.act(*gateway, |actor, context| actor.kill(context));
        true
    }

    /// Ends an active fault.
    pub(crate) fn heal(&mut self, fault: u64) {
        let now_ms = self.now_ms;
        match self.active_faults.remove(&fault) {
            Some(HealAction::Network) => {
                self.network.cuts.remove(&fault);
                self.network.disturbances.remove(&fault);
            }
            Some(HealAction::SyncTime(id)) => {
                if let Some(machine) = self.machine(id) {
                    machine.sync_ms = 1;
                }
            }
            Some(HealAction::Capacity(id)) => {
                if let Some(machine) = self.machine(id) {
                    machine.disk.set_capacity(u64::MAX);
                }
            }
            Some(HealAction::Clock(id)) => {
                if let Some(machine) = self.machine(id) {
                    machine.skew_clock(now_ms, 0, NOMINAL_RATE_PPM);
                }
            }
            None => {}
        }
    }
}
