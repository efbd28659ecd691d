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
        if stored_form(&change, &self.view()) != change {
            // At the start of control it waits for the format that keeps all of it.
            self.wait_for_newest_format(began + limit / 2).await;
        }
        let limit = limit.saturating_sub(began.elapsed());
        let view = self.view();
        let stored_change = stored_form(&change, &view);
        let key = stored_change.incarnation_key();
        let stored = view.registry.replica(&change.id);
        self.log_incarnation_change(stored, &stored_change, &key);
        self.alive_replicas.lock().insert(key.clone());
        let now_ms = self.clock.now_ms();
        let is_longer_cold = self
            .cold_times
            .lock()
            .is_cold_longer(&key, &stored_change, now_ms);
        if !stored.is_none_or(|stored| is_change(&stored.reported, &stored_change, is_longer_cold))
        {
            return Ok(());
        }
        // Whole: this member may not know yet that the leader keeps all of it.
        let command = RegistryCommand::Replica(Box::new(change.clone()));
        self.propose(command, limit).await?;
        let view = self.view();
        let stored_change = stored_form(&change, &view);
        let is_held = |key: &str| view.registry.is_current_incarnation(key);
        let mut cold_times = self.cold_times.lock();
        cold_times.committed(
            stored_change.incarnation_key(),
            stored_change.cold_ms,
            now_ms,
            is_held,
        );
        Ok(())
    }

    /// Notes that a replica ends: the start of it that is known here.
    ///
    /// # Errors
    /// [`Unavailable`] when this cannot be committed in time, or when another start is in
    /// force than is known here.
    pub async fn remove_replica(&self, id: &str, limit: Duration) -> Result<(), Unavailable> {
        let view = self.view();
        let stored = view.registry.replica(id).map(|stored| &stored.reported);
        let is_over =
            |stored: &ReplicaChange| stored.state == ReplicaState::Ended && stored.incarnation == 0;
        if stored.is_some_and(is_over) {
            return Ok(());
        }
        // Where starts are told, a later one may have registered at another member.
        let key = stored.map_or_else(|| id.to_owned(), ReplicaChange::incarnation_key);
        let command = RegistryCommand::RemoveReplica(key);
        match self.propose(command, limit).await? {
            RegistryAnswer::OtherIncarnation => {
                info!(self.logger, "end of a replica concerns another start"; "replica" => id);
                Err(Unavailable)
            }
            _ => Ok(()),
        }
    }

    fn log_incarnation_change(
        &self,
        stored: Option<&ReplicaRecord>,
        change: &ReplicaChange,
        key: &str,
    ) {
        let Some(stored) = stored.map(|stored| &stored.reported) else {
            return;
        };
        let (logger, stored_key) = (&self.logger, stored.incarnation_key());
        match change.incarnation.cmp(&stored.incarnation) {
            Ordering::Greater => {
                info!(logger, "replica starts again"; "replica" => key, "held" => stored_key);
            }
            Ordering::Less => {
                info!(logger, "heartbeat of an earlier start"; "replica" => key, "held" => stored_key);
            }
            Ordering::Equal => {}
        }
    }
}

/// What is held of a heartbeat as far as a member knows, which is compared with what was held
/// before.
fn stored_form(change: &ReplicaChange, view: &RegistryView) -> ReplicaChange {
    change.clone().reduced_to(view.registry.format())
}

/// Whether a heartbeat changes what is held of its replica, or says that it is cold for
/// longer than was proposed. Others are not committed.
fn is_change(stored: &ReplicaChange, change: &ReplicaChange, is_longer_cold: bool) -> bool {
    match change.incarnation.cmp(&stored.incarnation) {
        Ordering::Less => return false,
        Ordering::Greater => return true,
        Ordering::Equal => {}
    }
    match stored.state {
        ReplicaState::Ended => false,
        ReplicaState::Displaced => change.state == ReplicaState::Draining,
        ReplicaState::Ready | ReplicaState::Draining => {
            stored.sequence < change.sequence && (is_longer_cold || change.differs_from(stored))
        }
    }
}
