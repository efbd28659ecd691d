//! Gateways that do everything towards control and nothing for callers.
//!
//! Hundreds run in one process, so that control meets a large fleet on one
//! machine. Attachment, configuration, session, loads and confirmations are the
//! code of a real gateway. What callers need is left out: listener, batch
//! executor, lookup of tenants and the stored copy of the configuration, which
//! the gateways of a process share.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_config::settings::GatewaySettings;
use linnethitch_errors::ErrorKind;
use linnethitch_observability::journal::Journal;
use linnethitch_protocol::{
    fleet::LoadReport,
    ids::{ReplicaId, Revision},
};
use linnethitch_transport::{ClusterIdentity, ClusterKey, TrafficSnapshot};
use slog::Logger;
use tokio::{sync::mpsc, task::JoinSet};

use crate::{
    batch::{BatchEvent, driver::MAX_WAITING_EVENTS},
    configuration::shared_documents::SharedDocuments,
    control::{attachment, reports, session},
    options::EngineTimeouts,
    state::Gateway,
};

/// A running hollow gateway. Dropping it ends it at once, as a crash would.
pub struct ControlOnlyGateway {
    gateway: Arc<Gateway>,
    _background: JoinSet<()>,
}

impl ControlOnlyGateway {
    /// Starts a hollow gateway; its settings' listen address is not used.
    ///
    /// # Errors
    /// `Io` when the data folder or the cluster key cannot be used.
    pub fn start(
        settings: GatewaySettings,
        documents: Arc<SharedDocuments>,
        logger: Logger,
    ) -> Result<Self, Report<ErrorKind>> {
        let identity = ClusterIdentity {
            name: settings.cluster.clone(),
            key: ClusterKey::from_file(&settings.cluster_key_file)?,
        };
        let (batch_events, events) = mpsc::channel(MAX_WAITING_EVENTS);
        let gateway = Gateway::new(
            settings,
            EngineTimeouts::default(),
            None,
            Journal::disabled(),
            batch_events,
            logger,
        );
        let gateway = Arc::new(gateway.control_only(documents));
        let mut background = JoinSet::new();
        background.spawn(attachment::run(Arc::clone(&gateway), identity));
        background.spawn(session::keep(Arc::clone(&gateway)));
        background.spawn(reports::run(Arc::clone(&gateway)));
        background.spawn(ignore(events));
        Ok(ControlOnlyGateway {
            gateway,
            _background: background,
        })
    }

    /// The revision in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let active = self.gateway.configuration.load();
        active
            .as_ref()
            .map_or(Revision(0), |active| active.revision)
    }

    /// Whether it is attached to a control member.
    #[must_use]
    pub fn is_attached(&self) -> bool {
        self.gateway.control.is_attached()
    }

    /// Whether its session in the ledger holds.
    #[must_use]
    pub fn has_session(&self) -> bool {
        let now = self.gateway.clock().now();
        self.gateway.session.current(now).is_some()
    }

    /// Tells it of a load as a response of the replica would.
    pub fn on_response_load(&self, replica: &ReplicaId, load: LoadReport) {
        self.gateway.decisions.on_seen_load(replica, load);
    }

    /// Bytes and frames exchanged with control since the start.
    #[must_use]
    pub fn traffic(&self) -> TrafficSnapshot {
        self.gateway.traffic.snapshot()
    }
}

/// Takes what a batch executor would be told.
async fn ignore(mut events: mpsc::Receiver<BatchEvent>) {
    while events.recv().await.is_some() {}
}
