//! Control-only gateways communicate with control as full gateways do.

use std::sync::Arc;

use linnethitch_gateway::{
    configuration::shared_documents::SharedDocuments, control_only::ControlOnlyGateway,
};
use linnethitch_protocol::ids::Revision;
use slog::{Discard, Logger, o};

use crate::support::{
    control::{FakeControl, Shared},
    gateway::{attached_settings, fleet_file, wait_until},
};

#[tokio::test]
async fn control_only_gateways_attach_open_sessions_and_confirm_revisions() {
    let shared = Shared::new(&fleet_file(), Vec::new());
    let control = FakeControl::start(shared).await;
    let documents: Arc<SharedDocuments> = Arc::default();
    let folders = ["one", "two"].map(|name| (name, tempfile::tempdir().expect("a folder")));
    let gateways: Vec<ControlOnlyGateway> = folders
        .iter()
        .map(|(name, folder)| {
            let mut settings = attached_settings(folder, &[control.address]);
            settings.gateway_id = (*name).to_owned();
            let logger = Logger::root(Discard, o!());
            ControlOnlyGateway::start(settings, Arc::clone(&documents), logger)
                .expect("the gateway starts")
        })
        .collect();
    control
        .shared
        .configure(&format!("{}\n# more\n", fleet_file()));
    for gateway in &gateways {
        wait_until(
            "revision 2 is in force and the session is valid",
            async || gateway.revision() == Revision(2) && gateway.has_session(),
        )
        .await;
        assert!(gateway.is_attached());
        assert!(gateway.traffic().control.received_bytes > 0);
    }
    wait_until("both have confirmed", async || {
        let confirmed = control.shared.confirmed();
        confirmed
            .iter()
            .filter(|revision| **revision == Revision(2))
            .count()
            >= 2
    })
    .await;
}
