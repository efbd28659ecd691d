//! The individual measurements on a group.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::{CommandBody, Outcome},
    ids::{ChangeId, GatewayId, MachineId},
    query::Query,
};
use serde::Serialize;

use super::group::Group;

/// Maximum latency that the histogram records, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Rate and latency of one kind of call.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Throughput {
    /// Members of the group.
    pub(super) members: u32,
    /// Concurrent calls.
    pub(super) outstanding: usize,
    /// Calls answered per second.
    pub(super) per_second: f64,
    /// Median latency, in milliseconds.
    pub(super) median_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub(super) p99_ms: f64,
}

/// Time from the loss of the leader to the next commit, over several losses.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Recovery {
    /// Members of the group.
    pub(super) members: u32,
    /// How often the leader was killed.
    pub(super) losses: u32,
    /// Shortest time, in milliseconds.
    pub(super) least_ms: f64,
    /// Median time, in milliseconds.
    pub(super) median_ms: f64,
    /// Longest time, in milliseconds.
    pub(super) most_ms: f64,
}

/// The kind of calls that are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Small commands that all change the state.
    Commit,
    /// Linearizable reads.
    Read,
}

impl Kind {
    fn call(self, number: u64) -> ControlCall {
        match self {
            Kind::Commit => open_session(number),
            Kind::Read => ControlCall::Query(Query::Change(ChangeId::from("none"))),
        }
    }
}

/// A command that always changes the state and stays small.
fn open_session(nonce: u64) -> ControlCall {
    ControlCall::Propose(CommandBody::OpenSession {
        gateway: GatewayId::from("gateway"),
        nonce,
    })
}

fn is_done(answer: &ControlAnswer) -> bool {
    match answer {
        ControlAnswer::Outcome(outcome) => matches!(outcome, Outcome::Session(_)),
        ControlAnswer::Answer(_) => true,
        ControlAnswer::Refused(_) => false,
    }
}

fn histogram() -> Result<Histogram<u64>, Report<ErrorKind>> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, 3).change_context(ErrorKind::Internal)
}

/// Keeps a fixed number of calls outstanding at the leader for `duration`.
///
/// # Errors
/// `Internal` when a call is refused or not answered.
pub(super) fn throughput(
    group: &mut Group,
    members: u32,
    kind: Kind,
    outstanding: usize,
    duration: Duration,
) -> Result<Throughput, Report<ErrorKind>> {
    let leader = group.wait_until_complete()?;
    let mut sent = HashMap::new();
    let mut latencies = histogram()?;
    let started = Instant::now();
    let mut number = 0;
    loop {
        while sent.len() < outstanding && started.elapsed() < duration {
            number += 1;
            let at = Instant::now();
            sent.insert(group.call(leader, kind.call(number)), at);
        }
        if sent.is_empty() {
            break;
        }
        let answered = group.next_answer()?;
        if !is_done(&answered.body) {
            let report = Report::new(ErrorKind::Internal);
            return Err(report.attach(format!("a call ended with {:?}", answered.body)));
        }
        if let Some(sent_at) = sent.remove(&answered.call) {
            let latency = answered.at.saturating_duration_since(sent_at);
            latencies.saturating_record(latency.as_micros() as u64);
        }
    }
    let quantile = |share| latencies.value_at_quantile(share) as f64 / MICROS_PER_MILLI;
    Ok(Throughput {
        members,
        outstanding,
        per_second: latencies.len() as f64 / started.elapsed().as_secs_f64(),
        median_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    })
}

/// Kills the leader `losses` times and restarts the killed member each time.
///
/// # Errors
/// `Internal` when the group does not recover.
pub(super) fn recovery(
    group: &mut Group,
    members: u32,
    losses: u32,
) -> Result<Recovery, Report<ErrorKind>> {
    let mut times_ms = Vec::new();
    for _ in 0..losses {
        let leader = group.wait_until_complete()?;
        let successor = group.other_than(leader);
        let killed_at = Instant::now();
        group.kill(leader)?;
        let committed_at = commit_any(group, successor)?;
        let time = committed_at.saturating_duration_since(killed_at);
        times_ms.push(time.as_micros() as f64 / MICROS_PER_MILLI);
        group.start_member(leader)?;
    }
    times_ms.sort_by(f64::total_cmp);
    let at = |position: usize| times_ms.get(position).copied().unwrap_or_default();
    Ok(Recovery {
        members,
        losses,
        least_ms: at(0),
        median_ms: at(times_ms.len() / 2),
        most_ms: at(times_ms.len().saturating_sub(1)),
    })
}

/// Sends commands until one is committed; returns the time of its answer.
fn commit_any(group: &mut Group, machine: MachineId) -> Result<Instant, Report<ErrorKind>> {
    for nonce in 0..1_000 {
        let call = group.call(machine, open_session(nonce));
        let answered = group.next_answer()?;
        if answered.call == call && is_done(&answered.body) {
            return Ok(answered.at);
        }
    }
    Err(Report::new(ErrorKind::Internal).attach("no command was committed"))
}
