//! The core of the emulated platform, without clocks and sockets.

use std::collections::VecDeque;

use linnethitch_protocol::{
    fleet::{Machine, MachineState},
    ids::ReplicaId,
};

use crate::Time;

/// Lag of the machine list and rate of the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformModel {
    /// Age of the machine list when it is read, in microseconds.
    pub list_lag_micros: u64,
    /// Interval between the starts of transfers at the sustained rate of the weight store, in
    /// microseconds.
    pub transfer_interval_micros: u64,
    /// Maximum number of transfers that may start at once after an idle period.
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

/// A reserved transfer of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Number of the reservation.
    pub number: u64,
    /// Time until the weights are on the machine, in microseconds.
    pub ready_after_micros: u64,
}

/// The rate limit of the weight store is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreBusy {
    /// Time until a transfer can start, in microseconds.
    pub retry_after_micros: u64,
}

#[derive(Debug)]
struct ListVersion {
    at: Time,
    machines: Vec<Machine>,
}

/// The machine list with its earlier versions, as far back as the lag, and the rate limiter of
/// the weight store.
#[derive(Debug)]
pub struct PlatformCore {
    model: PlatformModel,
    versions: VecDeque<ListVersion>,
    /// Theoretical arrival time of the rate limiter (GCRA): from then on a full burst is
    /// allowed.
    theoretical_arrival: Time,
    reservations: u64,
}

impl PlatformCore {
    /// Creates a platform that lists `machines` from the start.
    #[must_use]
    pub fn new(model: PlatformModel, machines: Vec<Machine>) -> PlatformCore {
        PlatformCore {
            model,
            versions: VecDeque::from([ListVersion {
                at: Time::ZERO,
                machines,
            }]),
            theoretical_arrival: Time::ZERO,
            reservations: 0,
        }
    }

    /// Replaces the machine list.
    pub fn set_machines(&mut self, now: Time, machines: Vec<Machine>) {
        self.versions.push_back(ListVersion { at: now, machines });
        let readable = now - self.model.list_lag_micros;
        while self.versions.get(1).is_some_and(|next| next.at <= readable) {
            self.versions.pop_front();
        }
    }

    /// Adds a machine or replaces the one with the same name.
    pub fn put_machine(&mut self, now: Time, machine: Machine) {
        let mut machines = self.current().to_vec();
        machines.retain(|listed| listed.replica != machine.replica);
        machines.push(machine);
        self.set_machines(now, machines);
    }

    /// Sets the state of a machine; returns whether the machine is listed.
    pub fn set_state(&mut self, now: Time, name: &ReplicaId, state: MachineState) -> bool {
        let mut machines = self.current().to_vec();
        let Some(machine) = machines.iter_mut().find(|listed| listed.replica == *name) else {
            return false;
        };
        machine.state = state;
        self.set_machines(now, machines);
        true
    }

    /// Removes a machine from the list; returns whether it was listed.
    pub fn remove_machine(&mut self, now: Time, name: &ReplicaId) -> bool {
        let mut machines = self.current().to_vec();
        let before = machines.len();
        machines.retain(|listed| listed.replica != *name);
        let removed = machines.len() < before;
        if removed {
            self.set_machines(now, machines);
        }
        removed
    }

    /// The machine list without the lag.
    #[must_use]
    pub fn current(&self) -> &[Machine] {
        self.versions
            .back()
            .map_or(&[], |version| &version.machines)
    }

    /// The machine list that readers get, which has the lag.
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

    /// Reserves a transfer of weights.
    ///
    /// # Errors
    /// The rate limit is reached; a retry after the returned time can succeed.
    pub fn reserve(&mut self, now: Time) -> Result<Reservation, StoreBusy> {
        let interval = self.model.transfer_interval_micros;
        let tolerance = interval * u64::from(self.model.transfer_burst.saturating_sub(1));
        let earliest = self.theoretical_arrival - tolerance;
        if earliest > now {
            return Err(StoreBusy {
                retry_after_micros: earliest.micros_since(now),
            });
        }
        self.theoretical_arrival = self.theoretical_arrival.max(now) + interval;
        self.reservations += 1;
        Ok(Reservation {
            number: self.reservations,
            ready_after_micros: self.model.transfer_micros,
        })
    }
}
