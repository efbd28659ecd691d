//! The platform without clocks and sockets.

use std::collections::VecDeque;

use linnethitch_protocol::{
    fleet::{Machine, MachineState},
    ids::ReplicaId,
};

use crate::Time;

/// How late the list is and how fast the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformModel {
    /// Age of the list when it is read, in microseconds.
    pub list_lag_micros: u64,
    /// Time between two transfers that the weight store starts, in microseconds.
    pub transfer_interval_micros: u64,
    /// Transfers that may start at once after a quiet time.
    pub transfer_burst: u32,
    /// Duration of one transfer, in microseconds.
    pub transfer_micros: u64,
}

impl Default for PlatformModel {
    fn default() -> Self {
        PlatformModel {
            list_lag_micros: 1_500_000,
            transfer_interval_micros: 250_000,
            transfer_burst: 8,
            transfer_micros: 1_000_000,
        }
    }
}

/// A transfer of weights that may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Its number.
    pub number: u64,
    /// When the weights are on the machine, counted from now in microseconds.
    pub ready_after_micros: u64,
}

/// The weight store's rate is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreBusy {
    /// When a transfer can start, counted from now in microseconds.
    pub retry_after_micros: u64,
}

#[derive(Debug)]
struct ListVersion {
    at: Time,
    machines: Vec<Machine>,
}

/// The list as it was at each change, as far back as it can be read.
#[derive(Debug)]
pub struct PlatformCore {
    model: PlatformModel,
    versions: VecDeque<ListVersion>,
    /// When the store's rate would be wholly unused again.
    store_free_at: Time,
    reservations: u64,
}

impl PlatformCore {
    /// A platform that lists `machines` from the start.
    #[must_use]
    pub fn new(model: PlatformModel, machines: Vec<Machine>) -> PlatformCore {
        PlatformCore {
            model,
            versions: VecDeque::from([ListVersion {
                at: Time::ZERO,
                machines,
            }]),
            store_free_at: Time::ZERO,
            reservations: 0,
        }
    }

    /// Replaces the list.
    pub fn set_machines(&mut self, now: Time, machines: Vec<Machine>) {
        self.versions.push_back(ListVersion { at: now, machines });
        let readable = now - self.model.list_lag_micros;
        while self.versions.get(1).is_some_and(|next| next.at <= readable) {
            self.versions.pop_front();
        }
    }

    /// Adds a machine or replaces the one of its name.
    pub fn put_machine(&mut self, now: Time, machine: Machine) {
        let mut machines = self.current().to_vec();
        machines.retain(|known| known.replica != machine.replica);
        machines.push(machine);
        self.set_machines(now, machines);
    }

    /// Changes a machine's state; whether it is known.
    pub fn set_state(&mut self, now: Time, name: &ReplicaId, state: MachineState) -> bool {
        let mut machines = self.current().to_vec();
        let Some(machine) = machines.iter_mut().find(|known| known.replica == *name) else {
            return false;
        };
        machine.state = state;
        self.set_machines(now, machines);
        true
    }

    /// Takes a machine off the list; whether it was known.
    pub fn remove_machine(&mut self, now: Time, name: &ReplicaId) -> bool {
        let mut machines = self.current().to_vec();
        let before = machines.len();
        machines.retain(|known| known.replica != *name);
        let removed = machines.len() < before;
        if removed {
            self.set_machines(now, machines);
        }
        removed
    }

    /// The list without lag.
    #[must_use]
    pub fn current(&self) -> &[Machine] {
        self.versions
            .back()
            .map_or(&[], |version| &version.machines)
    }

    /// The list as readers see it.
    #[must_use]
    pub fn machines(&self, now: Time) -> &[Machine] {
        let readable = now - self.model.list_lag_micros;
        self.versions
            .iter()
            .rev()
            .find(|version| version.at <= readable)
            .or_else(|| self.versions.front())
            .map_or(&[], |version| &version.machines)
    }

    /// Asks for a transfer of weights.
    ///
    /// # Errors
    /// The rate is used up; a later try can succeed.
    pub fn reserve(&mut self, now: Time) -> Result<Reservation, StoreBusy> {
        let interval = self.model.transfer_interval_micros;
        let tolerance = interval * u64::from(self.model.transfer_burst.saturating_sub(1));
        let earliest = self.store_free_at - tolerance;
        if earliest > now {
            return Err(StoreBusy {
                retry_after_micros: earliest.micros_since(now),
            });
        }
        self.store_free_at = self.store_free_at.max(now) + interval;
        self.reservations += 1;
        Ok(Reservation {
            number: self.reservations,
            ready_after_micros: self.model.transfer_micros,
        })
    }
}
