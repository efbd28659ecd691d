//! What replicas say of themselves at a control member.

use std::{cmp::Ordering, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_group::StateMachine;
use linnethitch_registry::{
    RegistryAnswer, RegistryCommand, ReplicaChange, ReplicaRecord, ReplicaState,
};
use slog::info;

use crate::{
    control::{ControlNode, Unavailable},
    registry_service::RegistryView,
};

impl ControlNode {
    /// Takes a heartbeat. What it changes is committed before this returns.
    ///
    /// # Errors
    /// [`Unavailable`] when a change cannot be committed in time.
    pub async fn heartbeat(
        &self,
        change: ReplicaChange,
        limit: Duration,
    ) -> Result<(), Unavailable> {
        let began = Instant::now();
        if as_kept(&change, &self.view()) != change {
            // At the start of control it waits for the format that keeps all of it.
            self.wait_for_newest_format(began + limit / 2).await;
        }
        let limit = limit.saturating_sub(began.elapsed());
        let view = self.view();
        let kept = as_kept(&change, &view);
        let key = kept.incarnation_key();
        let held = view.registry.replica(&change.id);
        self.log_other_start(held, &kept, &key);
        self.heard.lock().insert(key.clone());
        let now_ms = self.clock.now_ms();
        let is_longer_cold = self.cold_times.lock().is_longer(&key, &kept, now_ms);
        if !held.is_none_or(|held| is_news(&held.reported, &kept, is_longer_cold)) {
            return Ok(());
        }
        // Whole: this member may not know yet that the leader keeps all of it.
        let command = RegistryCommand::Replica(Box::new(change.clone()));
        self.propose(command, limit).await?;
        let view = self.view();
        let kept = as_kept(&change, &view);
        let is_held = |key: &str| view.registry.is_current_incarnation(key);
        let mut cold_times = self.cold_times.lock();
        cold_times.committed(kept.incarnation_key(), kept.cold_ms, now_ms, is_held);
        Ok(())
    }

    /// Notes that a replica ends: the start of it that is known here.
    ///
    /// # Errors
    /// [`Unavailable`] when this cannot be committed in time, or when another start is in
    /// force than is known here.
    pub async fn remove_replica(&self, id: &str, limit: Duration) -> Result<(), Unavailable> {
        let view = self.view();
        let held = view.registry.replica(id).map(|held| &held.reported);
        let is_over =
            |held: &ReplicaChange| held.state == ReplicaState::Ended && held.incarnation == 0;
        if held.is_some_and(is_over) {
            return Ok(());
        }
        // Where starts are told, a later one may have registered at another member.
        let key = held.map_or_else(|| id.to_owned(), ReplicaChange::incarnation_key);
        let command = RegistryCommand::RemoveReplica(key);
        match self.propose(command, limit).await? {
            RegistryAnswer::OtherIncarnation => {
                info!(self.logger, "end of a replica concerns another start"; "replica" => id);
                Err(Unavailable)
            }
            _ => Ok(()),
        }
    }

    fn log_other_start(&self, held: Option<&ReplicaRecord>, change: &ReplicaChange, key: &str) {
        let Some(held) = held.map(|held| &held.reported) else {
            return;
        };
        let (logger, held_key) = (&self.logger, held.incarnation_key());
        match change.incarnation.cmp(&held.incarnation) {
            Ordering::Greater => {
                info!(logger, "replica starts again"; "replica" => key, "held" => held_key);
            }
            Ordering::Less => {
                info!(logger, "heartbeat of an earlier start"; "replica" => key, "held" => held_key);
            }
            Ordering::Equal => {}
        }
    }
}

/// What is held of a heartbeat as far as a member knows, which is compared with what was held
/// before.
fn as_kept(change: &ReplicaChange, view: &RegistryView) -> ReplicaChange {
    change.clone().reduced_to(view.registry.format())
}

/// Whether a heartbeat changes what is held of its replica, or says that it is cold for
/// longer than was proposed. Others are not committed.
fn is_news(held: &ReplicaChange, change: &ReplicaChange, is_longer_cold: bool) -> bool {
    match change.incarnation.cmp(&held.incarnation) {
        Ordering::Less => return false,
        Ordering::Greater => return true,
        Ordering::Equal => {}
    }
    match held.state {
        ReplicaState::Ended => false,
        ReplicaState::Displaced => change.state == ReplicaState::Draining,
        ReplicaState::Ready | ReplicaState::Draining => {
            held.sequence < change.sequence && (is_longer_cold || change.differs_from(held))
        }
    }
}
