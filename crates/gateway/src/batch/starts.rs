//! Records the starts of at-most-once items at control, before they are sent.

use std::collections::HashMap;

use futures_util::future::join_all;
use linnethitch_clock::Instant;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{CommandBody, ItemStart, Outcome, SentRequest},
    ids::{GatewayId, ReplicaId, SessionEpoch},
};
use slog::{Logger, info};

use crate::{
    batch::{CallAnswer, PlannedStart, StartAnswer},
    state::Gateway,
};

/// An engine that answered before a start.
struct ReadyEngine {
    address: String,
    /// `None` if the engine cannot be asked about requests later.
    incarnation: Option<String>,
}

/// Asks the engines for their incarnations, so that they can be asked about the requests if this
/// gateway is lost, and records the starts. An item whose engine does not answer is not recorded.
pub(super) async fn record(
    gateway: &Gateway,
    session: SessionEpoch,
    planned: &[PlannedStart],
    logger: &Logger,
) -> CallAnswer<Vec<StartAnswer>> {
    let engines = ready_engines(gateway, planned).await;
    let starts = planned.iter().filter_map(|planned| {
        let engine = engines.get(&planned.replica)?;
        Some(planned.start_at(engine))
    });
    let granted = match propose(gateway, session, starts.collect()).await {
        CallAnswer::Done(granted) => granted,
        CallAnswer::Fenced => return CallAnswer::Fenced,
        CallAnswer::Unknown => return CallAnswer::Unknown,
    };
    let mut granted = granted.into_iter();
    let answers = planned.iter().map(|planned| {
        let answer = match engines.get(&planned.replica) {
            None => StartAnswer::NotAsked,
            Some(engine) if granted.next() == Some(true) => StartAnswer::Recorded {
                address: engine.address.clone(),
            },
            Some(_) => StartAnswer::Refused,
        };
        log(logger, planned, &answer);
        answer
    });
    CallAnswer::Done(answers.collect())
}

fn log(logger: &Logger, planned: &PlannedStart, answer: &StartAnswer) {
    info!(logger, "start of an item";
        "job" => %planned.key.job,
        "item" => planned.key.item.0,
        "lease" => planned.key.lease.0,
        "replica" => %planned.replica,
        "request" => %planned.request_id(),
        "outcome" => answer.as_str());
}

/// The engines that answer now.
async fn ready_engines(
    gateway: &Gateway,
    planned: &[PlannedStart],
) -> HashMap<ReplicaId, ReadyEngine> {
    let mut replicas: Vec<&ReplicaId> = planned.iter().map(|planned| &planned.replica).collect();
    replicas.sort_unstable();
    replicas.dedup();
    let engines = replicas.into_iter().map(async |replica| {
        let address = gateway.decisions.address_of(replica)?;
        let incarnation = gateway.back_ends.incarnation(&address).await.ok()?;
        let engine = ReadyEngine {
            address,
            incarnation,
        };
        Some((replica.clone(), engine))
    });
    join_all(engines).await.into_iter().flatten().collect()
}

/// Commits the starts, and observes how long that took.
async fn propose(
    gateway: &Gateway,
    session: SessionEpoch,
    starts: Vec<ItemStart>,
) -> CallAnswer<Vec<bool>> {
    if starts.is_empty() {
        return CallAnswer::Done(Vec::new());
    }
    let asked_at = Instant::now();
    let command = CommandBody::StartItemsAt {
        gateway: GatewayId(gateway.settings.gateway_id.clone()),
        session,
        starts,
    };
    match gateway.control.propose(command).await {
        Ok(Outcome::Started(granted)) => {
            let seconds = asked_at.elapsed().as_secs_f64();
            let metrics = &gateway.observer.metrics;
            metrics.batch_start_record_seconds.observe(seconds);
            CallAnswer::Done(granted)
        }
        Err(failure) if failure.kind == ErrorKind::InvalidState => CallAnswer::Fenced,
        _ => CallAnswer::Unknown,
    }
}

impl PlannedStart {
    fn start_at(&self, engine: &ReadyEngine) -> ItemStart {
        let incarnation = engine.incarnation.clone();
        ItemStart {
            key: self.key.clone(),
            attempt: self.run.0,
            request: incarnation.map(|incarnation| SentRequest {
                replica: self.replica.clone(),
                address: engine.address.clone(),
                incarnation,
                request: self.request_id(),
            }),
        }
    }
}
