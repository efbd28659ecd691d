//! Weighs the ends of replicas as evidence against a request or a part of prompts.
//!
//! What ended a replica is not reported. That its runs were interrupted speaks against a suspect
//! only as far as other runs were not: where replicas end in numbers anyway, most runs are
//! interrupted, whatever they hold. For each end under a suspect a gateway compares its own runs
//! of the service at about that time:
//!
//! * A run without the suspect, at a replica that did not run the suspect either, is hit with some
//!   probability. The smaller it is, the more an end under the suspect says.
//! * Ends of several replicas at one moment that did not all run the suspect have another cause,
//!   which explains the suspect's end as well.
//! * A run of the suspect that was sent after a first end under it and was completed all the same
//!   shows that the ends until then had another cause, also those that it did not know of.
//!
//! An end weighs 1 where hardly any other run was interrupted, and [`MIN_WEIGHT`] at least, so
//! that a suspect that does end every replica is found under any circumstances.

use std::collections::{HashMap, HashSet, VecDeque};

use linnethitch_protocol::suspicion::RequestFingerprint;

use crate::part_verdict::WEIGHT_TOLERANCE;

/// Weight of an end among many others.
pub const MIN_WEIGHT: f64 = 1.0 / 3.0;
/// Probability that a run is interrupted by chance at which an end weighs 1. It is also assumed
/// where no other runs are known.
const CALM_PROBABILITY: f64 = 0.05;
/// Number of runs that this assumption is worth.
const ASSUMED_RUNS: f64 = 10.0;
/// Runs that ended within this time of an end are compared, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Ends that gateways learn of within this time count as simultaneous, in milliseconds.
const SIMULTANEOUS_MS: u64 = 50;
/// Simultaneous ends without the suspect that show another cause.
const ENDS_OF_OTHER_CAUSE: usize = 2;
/// Time until other gateways have told what else ended with a replica, in milliseconds.
const SETTLING_MS: u64 = 300;
/// Maximum number of remembered ends of a service; the oldest are dropped first.
const MAX_ENDS: usize = 256;
/// Maximum number of suspects per end.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of suspects whose last clearing is remembered; the oldest are dropped first.
const MAX_CLEARED: usize = 1_024;
/// Maximum number of remembered complete runs of a service.
const MAX_RUNS: usize = 4_096;

/// Ends of replicas and complete runs, as known at one gateway.
#[derive(Debug, Default)]
pub struct EndEvidence {
    services: HashMap<String, ServiceEvidence>,
    /// When suspects were last cleared.
    cleared_at_ms: HashMap<RequestFingerprint, u64>,
}

#[derive(Debug, Default)]
struct ServiceEvidence {
    /// Oldest first.
    ends: VecDeque<ReplicaEnd>,
    /// When complete runs ended, oldest first.
    completed_at_ms: VecDeque<u64>,
}

/// The end of one replica.
#[derive(Debug)]
struct ReplicaEnd {
    replica: String,
    known_at_ms: u64,
    /// What was running there.
    suspects: HashSet<RequestFingerprint>,
    /// Number of this gateway's runs that were interrupted there.
    interrupted: u32,
    /// Number of complete runs around it, once its window is over.
    completed: Option<u32>,
}

/// What the latest ends under a suspect say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeighedEnds {
    /// The sum of their weights.
    pub weight: f64,
    /// Time until other gateways had time to tell what else ended, in milliseconds; 0 if they had.
    pub settles_in_ms: u64,
}

impl WeighedEnds {
    /// Whether the ends weigh as much as this number of them in calm.
    #[must_use]
    pub fn suffices(&self, needed: usize) -> bool {
        self.weight + WEIGHT_TOLERANCE >= needed as f64
    }
}

impl EndEvidence {
    /// Records a run of a service that got a complete response.
    pub fn note_completed(&mut self, service: &str, now_ms: u64) {
        let evidence = self.of_service(service);
        evidence.settle(now_ms);
        if evidence.completed_at_ms.len() >= MAX_RUNS {
            evidence.completed_at_ms.pop_front();
        }
        evidence.completed_at_ms.push_back(now_ms);
    }

    /// Records that a replica ended while it ran these suspects, and how many of this gateway's
    /// runs that interrupted. More may be told of the same end later.
    pub fn note_end(
        &mut self,
        service: &str,
        replica: &str,
        suspects: impl IntoIterator<Item = RequestFingerprint>,
        interrupted: u32,
        now_ms: u64,
    ) {
        let evidence = self.of_service(service);
        evidence.settle(now_ms);
        let end = evidence.end_of(replica, now_ms);
        end.interrupted += interrupted;
        let free = MAX_SUSPECTS.saturating_sub(end.suspects.len());
        end.suspects.extend(suspects.into_iter().take(free));
    }

    /// Weighs this number of the latest ends under a suspect. Ends that this gateway does not know
    /// of weigh 1, as reported.
    #[must_use]
    pub fn weigh(
        &self,
        service: &str,
        suspect: &RequestFingerprint,
        ends: usize,
        now_ms: u64,
    ) -> WeighedEnds {
        let unknown = WeighedEnds {
            weight: ends as f64,
            settles_in_ms: 0,
        };
        let cleared_at_ms = self.cleared_at_ms.get(suspect).copied();
        let evidence = self.services.get(service);
        evidence.map_or(unknown, |evidence| {
            evidence.weigh(suspect, ends, cleared_at_ms, now_ms)
        })
    }

    /// Records that a run of a suspect that was sent after an end under it was completed.
    pub fn note_cleared(&mut self, suspect: RequestFingerprint, now_ms: u64) {
        let cleared = &mut self.cleared_at_ms;
        if cleared.len() >= MAX_CLEARED && !cleared.contains_key(&suspect) {
            let oldest = cleared.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(oldest) = oldest.map(|(suspect, _)| *suspect) {
                cleared.remove(&oldest);
            }
        }
        cleared.insert(suspect, now_ms);
    }

    fn of_service(&mut self, service: &str) -> &mut ServiceEvidence {
        self.services.entry(service.to_owned()).or_default()
    }
}

impl ServiceEvidence {
    /// The end of a replica, recorded now if it was not known.
    fn end_of(&mut self, replica: &str, now_ms: u64) -> &mut ReplicaEnd {
        let known = self.ends.iter().position(|end| end.replica == replica);
        let index = known.unwrap_or_else(|| {
            if self.ends.len() >= MAX_ENDS {
                self.ends.pop_front();
            }
            self.ends.push_back(ReplicaEnd {
                replica: replica.to_owned(),
                known_at_ms: now_ms,
                suspects: HashSet::new(),
                interrupted: 0,
                completed: None,
            });
            self.ends.len() - 1
        });
        &mut self.ends[index]
    }

    /// Counts the complete runs around ends whose window is over, and forgets older runs.
    fn settle(&mut self, now_ms: u64) {
        for index in 0..self.ends.len() {
            let end = &self.ends[index];
            if end.completed.is_none() && end.known_at_ms + WINDOW_MS < now_ms {
                let completed = self.completed_around(end.known_at_ms);
                self.ends[index].completed = Some(completed);
            }
        }
        let needed_from_ms = now_ms.saturating_sub(2 * WINDOW_MS);
        while self
            .completed_at_ms
            .front()
            .is_some_and(|at_ms| *at_ms < needed_from_ms)
        {
            self.completed_at_ms.pop_front();
        }
    }

    fn completed_around(&self, at_ms: u64) -> u32 {
        let runs = self.completed_at_ms.iter();
        runs.filter(|run_ms| run_ms.abs_diff(at_ms) <= WINDOW_MS)
            .count() as u32
    }

    fn weigh(
        &self,
        suspect: &RequestFingerprint,
        ends: usize,
        cleared_at_ms: Option<u64>,
        now_ms: u64,
    ) -> WeighedEnds {
        let newest = self.ends.iter().rev();
        let under_suspect = newest.filter(|end| end.suspects.contains(suspect));
        let mut weighed = WeighedEnds {
            weight: 0.0,
            settles_in_ms: 0,
        };
        let mut known = 0;
        for end in under_suspect.take(ends) {
            known += 1;
            let is_refuted = cleared_at_ms.is_some_and(|at_ms| end.known_at_ms <= at_ms);
            weighed.weight += if is_refuted {
                MIN_WEIGHT
            } else {
                self.weight_of(end, suspect)
            };
            let settles_at_ms = end.known_at_ms + SETTLING_MS;
            let settles_in_ms = settles_at_ms.saturating_sub(now_ms);
            weighed.settles_in_ms = weighed.settles_in_ms.max(settles_in_ms);
        }
        weighed.weight += (ends - known) as f64;
        weighed
    }

    /// What one end under a suspect says against it.
    fn weight_of(&self, end: &ReplicaEnd, suspect: &RequestFingerprint) -> f64 {
        let others = self.ends.iter();
        let others = others.filter(|other| !other.suspects.contains(suspect));
        let distance_ms = |other: &ReplicaEnd| other.known_at_ms.abs_diff(end.known_at_ms);
        let near: Vec<&ReplicaEnd> = others
            .filter(|other| distance_ms(other) <= WINDOW_MS)
            .collect();
        let simultaneous = near
            .iter()
            .filter(|other| distance_ms(other) <= SIMULTANEOUS_MS);
        if simultaneous.count() >= ENDS_OF_OTHER_CAUSE {
            return MIN_WEIGHT;
        }
        let interrupted: u32 = near.iter().map(|other| other.interrupted).sum();
        let completed = end
            .completed
            .unwrap_or_else(|| self.completed_around(end.known_at_ms));
        weight(interrupted, completed)
    }
}

/// What an end says while of other runs this many were interrupted and completed: how improbable it
/// is by chance, on a logarithmic scale.
fn weight(interrupted: u32, completed: u32) -> f64 {
    let interrupted = f64::from(interrupted);
    let runs = interrupted + f64::from(completed);
    let probability = (interrupted + ASSUMED_RUNS * CALM_PROBABILITY) / (runs + ASSUMED_RUNS);
    (probability.ln() / CALM_PROBABILITY.ln()).clamp(MIN_WEIGHT, 1.0)
}
