//! Handling of control's messages in the gateway.

use std::{collections::HashSet, sync::Arc};

use linnethitch_protocol::{
    attach::{ConfigurationUpdate, ControlMessage, GatewayMessage},
    fleet::ReplicaInfo,
    ids::{ReplicaId, Revision, Timestamp},
};
use slog::{error, info, warn};

use crate::{
    batch::BatchEvent,
    configuration::follower::{FollowerAction, StoredConfiguration},
    control::attachment::AfterMessage,
    state::Gateway,
};

impl Gateway {
    /// Handles one message.
    pub(crate) async fn on_control_message(
        self: &Arc<Self>,
        message: ControlMessage,
    ) -> AfterMessage {
        match message {
            ControlMessage::Configuration(update) => return self.on_configuration(&update).await,
            ControlMessage::Replicas {
                full,
                changed,
                removed,
            } => self.on_replicas(full, changed, &removed),
            ControlMessage::Loads(loads) => {
                for reported in loads {
                    self.decisions.on_load(&reported.replica, reported.load);
                }
                self.decisions.serve_queues();
            }
            ControlMessage::LoadDigest(digest) => {
                self.decisions.on_load_digest(&digest);
                self.decisions.serve_queues();
            }
            ControlMessage::Answer { call, body } => self.control.on_answer(call, body),
            ControlMessage::Grants(grants) => self.decisions.on_grants(&grants),
            ControlMessage::Freshness {
                confirmed_at,
                now,
                revision,
                pending,
            } => {
                self.clock_offset.observe(self.clock().now(), now);
                let age_ms = now.0.saturating_sub(confirmed_at.0);
                let confirmed_at = Timestamp(self.clock().now().0.saturating_sub(age_ms));
                self.confirmed_revision
                    .lock()
                    .on_stamp(revision, confirmed_at);
                self.send_batch_event(BatchEvent::Pending(pending)).await;
            }
            ControlMessage::CancelJobs(jobs) => {
                self.send_batch_event(BatchEvent::JobsCancelled(jobs)).await;
            }
            ControlMessage::Attached { .. } => {}
        }
        AfterMessage::Continue
    }

    /// Sends an event to the batch executor, if it runs.
    async fn send_batch_event(&self, event: BatchEvent) {
        let _ = self.batch_events.send(event).await;
    }

    fn on_replicas(self: &Arc<Self>, full: bool, changed: Vec<ReplicaInfo>, removed: &[ReplicaId]) {
        if full {
            let listed: HashSet<&ReplicaId> =
                changed.iter().map(|info| &info.machine.replica).collect();
            self.engine_software
                .retain(|replica| listed.contains(replica));
            self.decisions.set_replicas(changed);
        } else {
            self.engine_software
                .retain(|replica| !removed.contains(replica));
            self.decisions.update_replicas(changed, removed);
        }
        self.on_replicas_received();
    }

    async fn on_configuration(self: &Arc<Self>, update: &ConfigurationUpdate) -> AfterMessage {
        let action = self.follower.lock().on_update(update);
        match action {
            FollowerAction::ConfirmCurrent(revision) => self.confirm(revision),
            FollowerAction::RequestFullText(fault) => {
                warn!(self.logger, "configuration update not applied; requesting the full configuration"; "fault" => ?fault);
                return AfterMessage::Reattach;
            }
            FollowerAction::Store(stored) => {
                if !self.store_configuration(stored.clone()).await {
                    return AfterMessage::Continue;
                }
                let revision = stored.revision;
                let fleet = Arc::clone(stored.fleet());
                self.follower.lock().on_stored(stored);
                self.activate(revision, fleet);
                self.confirm(revision);
                info!(self.logger, "configuration in force"; "revision" => revision.0);
            }
        }
        AfterMessage::Continue
    }

    /// Stores and syncs the configuration outside the request path. After a failure the revision is
    /// not confirmed to control.
    async fn store_configuration(self: &Arc<Self>, stored: StoredConfiguration) -> bool {
        let gateway = Arc::clone(self);
        let storing = tokio::task::spawn_blocking(move || match &gateway.store {
            Some(store) => store.store(&stored),
            None => Ok(()),
        });
        match storing.await {
            Ok(Ok(())) => true,
            Ok(Err(report)) => {
                error!(self.logger, "configuration not stored"; "error" => ?report);
                false
            }
            Err(_) => false,
        }
    }

    fn confirm(&self, revision: Revision) {
        self.control.notify(&GatewayMessage::Confirm(revision));
    }
}
