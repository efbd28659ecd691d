//! Heartbeats of replicas at a control member.

use std::{cmp::Ordering, time::Duration};

use linnethitch_clock::{Instant, sleep};
use linnethitch_group::StateMachine;
use linnethitch_protocol::format::Format;
use linnethitch_registry::{
    RegistryAnswer, RegistryCommand, ReplicaChange, ReplicaRecord, ReplicaState,
};
use slog::info;

use crate::{
    control::{ControlNode, Unavailable},
    registry_service::RegistryView,
};

/// Interval at which a heartbeat waits for contact with the leader.
const CURRENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl ControlNode {
    /// Handles a heartbeat. Any change is committed before this returns.
    ///
    /// # Errors
    /// [`Unavailable`] if a change cannot be committed in time, or if this member has no contact
    /// with the leader.
    pub async fn heartbeat(
        &self,
        change: ReplicaChange,
        limit: Duration,
    ) -> Result<(), Unavailable> {
        let began = Instant::now();
        if stored_form(&change, &self.view()) != change {
            // Soon after the start of control this waits for the format that stores all fields.
            self.wait_for_format(Format::NEWEST, began + limit / 2)
                .await;
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
            // An acknowledgement says that the leader learns of the replica.
            return self.wait_until_current(limit).await;
        }
        // Proposes all fields: this member may not know yet that the leader can store them.
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

    /// Waits until this member knows the state in force, which means that it has contact with the
    /// leader.
    async fn wait_until_current(&self, limit: Duration) -> Result<(), Unavailable> {
        let until = Instant::now() + limit;
        while !self.shared.is_current(self.clock.now_ms()) {
            if Instant::now() >= until {
                return Err(Unavailable);
            }
            sleep(CURRENT_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Records the end of a replica, in the incarnation that is known here.
    ///
    /// # Errors
    /// [`Unavailable`] if this cannot be committed in time, or if another incarnation is in force.
    pub async fn remove_replica(&self, id: &str, limit: Duration) -> Result<(), Unavailable> {
        let view = self.view();
        let stored = view.registry.replica(id).map(|stored| &stored.reported);
        let is_over =
            |stored: &ReplicaChange| stored.state == ReplicaState::Ended && stored.incarnation == 0;
        if stored.is_some_and(is_over) {
            return Ok(());
        }
        // If incarnations are reported, a later one may have registered at another member.
        let key = stored.map_or_else(|| id.to_owned(), ReplicaChange::incarnation_key);
        let command = RegistryCommand::RemoveReplica(key);
        match self.propose(command, limit).await? {
            RegistryAnswer::OtherIncarnation => {
                info!(self.logger, "removal of a replica refused: another incarnation is in force";
                    "replica" => id);
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
                info!(logger, "new incarnation of a replica";
                    "replica" => key, "held" => stored_key);
            }
            Ordering::Less => {
                info!(logger, "heartbeat of an earlier incarnation";
                    "replica" => key, "held" => stored_key);
            }
            Ordering::Equal => {}
        }
    }
}

/// The part of a heartbeat that would be stored as far as this member knows, for comparison with
/// the stored record.
fn stored_form(change: &ReplicaChange, view: &RegistryView) -> ReplicaChange {
    change.clone().reduced_to(view.registry.format())
}

/// Whether a heartbeat changes the stored record of its replica or announces a longer cold time
/// than was proposed. Other heartbeats are not committed.
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
