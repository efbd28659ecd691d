//! Gateways that communicate with control but serve no callers, for load and scale tests.
//!
//! Hundreds of them run in one process, so that control can be tested with a large fleet on one
//! machine. Attachment, configuration, session, load reports and confirmations use the code of a
//! full gateway. The parts that serve callers are left out: listener, batch executor, index of
//! tenants and the configuration on disk. The gateways of a process share parsed configurations.

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

/// A running control-only gateway. Dropping the gateway ends it immediately, as a crash does.
pub struct ControlOnlyGateway {
    gateway: Arc<Gateway>,
    _background: JoinSet<()>,
}

impl ControlOnlyGateway {
    /// Starts a control-only gateway; the listen address of its settings is not used.
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
        background.spawn(session::maintain(Arc::clone(&gateway)));
        background.spawn(reports::run(Arc::clone(&gateway)));
        background.spawn(discard_events(events));
        Ok(ControlOnlyGateway {
            gateway,
            _background: background,
        })
    }

    /// The revision in force; 0 before the first configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let active = self.gateway.configuration.load();
        active
            .as_ref()
            .map_or(Revision(0), |active| active.revision)
    }

    /// Whether the gateway is attached to a control member.
    #[must_use]
    pub fn is_attached(&self) -> bool {
        self.gateway.control.is_attached()
    }

    /// Whether the session of the gateway in the ledger is valid.
    #[must_use]
    pub fn has_session(&self) -> bool {
        let now = self.gateway.clock().now();
        self.gateway.session.current(now).is_some()
    }

    /// Applies a load report as if a response of the replica had carried it.
    pub fn on_response_load(&self, replica: &ReplicaId, load: LoadReport) {
        self.gateway.decisions.on_observed_load(replica, load);
    }

    /// Bytes and frames exchanged with control since the start.
    #[must_use]
    pub fn traffic(&self) -> TrafficSnapshot {
        self.gateway.traffic.snapshot()
    }
}

/// Discards the events for the batch executor.
async fn discard_events(mut events: mpsc::Receiver<BatchEvent>) {
    while events.recv().await.is_some() {}
}
