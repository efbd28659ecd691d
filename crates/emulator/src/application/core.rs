//! The core of the emulated application replica, without clocks and sockets.

use std::{collections::VecDeque, fmt};

use linnethitch_protocol::{fleet::LoadReport, ids::Timestamp};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Time, engine::Fault};

/// Speed and capacity of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplicationModel {
    /// Minimum service time, in microseconds.
    pub min_micros: u64,
    /// Mean of the exponentially distributed time added to the minimum, in microseconds.
    pub mean_extra_micros: u64,
    /// Maximum number of calls that run at once.
    pub max_running: u32,
    /// Maximum number of waiting calls.
    pub max_waiting: u32,
    /// Age of a load report when it is read, in microseconds.
    pub report_lag_micros: u64,
}

impl Default for ApplicationModel {
    fn default() -> Self {
        ApplicationModel {
            min_micros: 2_000,
            mean_extra_micros: 6_000,
            max_running: 16,
            max_waiting: 256,
            report_lag_micros: 200_000,
        }
    }
}

/// Identifies a call inside one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A completed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completed {
    /// The call.
    pub id: CallId,
    /// When the call completed.
    pub at: Time,
}

/// Why a replica refused a call. The call was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ApplicationRefusal {
    /// The replica is dead; its server would refuse the connection.
    Dead,
    /// The replica is leaving.
    Leaving,
    /// The queue is full.
    Full,
    /// The injected [`Fault::Refuse`].
    Fault,
}

impl fmt::Display for ApplicationRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ApplicationRefusal::Dead => "the replica is dead",
            ApplicationRefusal::Leaving => "the replica is leaving",
            ApplicationRefusal::Full => "the replica's queue is full",
            ApplicationRefusal::Fault => "the replica refuses calls by a fault switch",
        })
    }
}

impl std::error::Error for ApplicationRefusal {}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: CallId,
    ends_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    running: u32,
    waiting: u32,
}

/// A replica that runs a limited number of calls at once and queues the others in order of
/// arrival.
#[derive(Debug)]
pub struct ApplicationCore {
    model: ApplicationModel,
    generator: Pcg64Mcg,
    running: Vec<Running>,
    waiting: VecDeque<CallId>,
    samples: VecDeque<Sample>,
    faults: crate::engine::FaultSwitches,
    leaving: bool,
    clock: Time,
}

impl ApplicationCore {
    /// Creates an idle replica.
    #[must_use]
    pub fn new(model: ApplicationModel, seed: u64) -> ApplicationCore {
        ApplicationCore {
            model,
            generator: Pcg64Mcg::seed_from_u64(seed),
            running: Vec::new(),
            waiting: VecDeque::new(),
            samples: VecDeque::new(),
            faults: crate::engine::FaultSwitches::default(),
            leaving: false,
            clock: Time::ZERO,
        }
    }

    /// Starts or queues a call.
    ///
    /// # Errors
    /// An [`ApplicationRefusal`]; the call was not started.
    pub fn submit(&mut self, now: Time, id: CallId) -> Result<(), ApplicationRefusal> {
        self.clock = self.clock.max(now);
        if self.faults.dead {
            return Err(ApplicationRefusal::Dead);
        }
        if self.faults.refusing {
            return Err(ApplicationRefusal::Fault);
        }
        if self.leaving {
            return Err(ApplicationRefusal::Leaving);
        }
        if self.running.len() < self.model.max_running as usize {
            self.start(id, self.clock);
        } else if self.waiting.len() < self.model.max_waiting as usize {
            self.waiting.push_back(id);
        } else {
            return Err(ApplicationRefusal::Full);
        }
        self.sample();
        Ok(())
    }

    fn start(&mut self, id: CallId, now: Time) {
        let uniform: f64 = self.generator.random();
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a service time of minutes at most"
        )]
        let extra = (-(1.0 - uniform).ln() * self.model.mean_extra_micros as f64) as u64;
        let micros = self.faults.slowed_micros(self.model.min_micros + extra);
        self.running.push(Running {
            id,
            ends_at: now + micros,
        });
    }

    /// Cancels a call; no completion of it follows.
    pub fn cancel(&mut self, id: CallId) {
        self.waiting.retain(|waiting| *waiting != id);
        self.running.retain(|running| running.id != id);
        self.start_waiting(self.clock);
    }

    fn start_waiting(&mut self, now: Time) {
        while self.running.len() < self.model.max_running as usize {
            let Some(id) = self.waiting.pop_front() else {
                return;
            };
            self.start(id, now);
        }
    }

    /// The time at which [`ApplicationCore::advance`] has to be called next.
    #[must_use]
    pub fn next_event_at(&self) -> Option<Time> {
        if self.faults.stopped() {
            return None;
        }
        self.running.iter().map(|running| running.ends_at).min()
    }

    /// Advances to `now` and appends the calls completed up to then, in order.
    pub fn advance(&mut self, now: Time, completed: &mut Vec<Completed>) {
        while let Some(at) = self.next_event_at().filter(|at| *at <= now) {
            self.clock = self.clock.max(at);
            self.running.retain(|running| {
                let ended = running.ends_at <= at;
                if ended {
                    completed.push(Completed { id: running.id, at });
                }
                !ended
            });
            self.start_waiting(self.clock);
            self.sample();
        }
        self.clock = self.clock.max(now);
    }

    /// The newest load report that is at least as old as the report lag of the model;
    /// `max_running` is the maximum concurrency and all calls count as online.
    #[must_use]
    pub fn load_report(&self, now: Time) -> LoadReport {
        let readable = now - self.model.report_lag_micros;
        let newest = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.at <= readable);
        let (running, waiting) = newest.map_or((0, 0), |sample| (sample.running, sample.waiting));
        LoadReport {
            measured_at: Timestamp(readable.as_millis()),
            running_online: running,
            waiting,
            max_running: self.model.max_running,
            ..LoadReport::default()
        }
    }

    fn sample(&mut self) {
        self.samples.push_back(Sample {
            at: self.clock,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        });
        let readable = self.clock - self.model.report_lag_micros;
        while self.samples.get(1).is_some_and(|next| next.at <= readable) {
            self.samples.pop_front();
        }
    }

    /// Sets whether the replica announces that it is leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the replica announces that it is leaving.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// The injected faults.
    #[must_use]
    pub fn faults(&self) -> &crate::engine::FaultSwitches {
        &self.faults
    }

    /// Injects a fault; faults of streams have no effect on a replica.
    pub fn inject(&mut self, now: Time, fault: Fault) {
        self.clock = self.clock.max(now);
        self.faults.set(fault);
        if self.faults.dead {
            self.running.clear();
            self.waiting.clear();
        }
    }
}
