//! What a gateway follows: the fleet, and the work of other gateways.

use std::{collections::HashSet, sync::Arc};

use linnethitch_cluster::{GatewayNode, RunningCounts};
use slog::info;
use tokio::time::sleep;

use crate::shared::Shared;

/// Takes every newer view of the fleet, and drops what no longer serves.
pub(crate) async fn follow_fleet(shared: Arc<Shared>, gateway: GatewayNode) {
    let mut views = gateway.follow();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        shared.take_fleet(&view);
        let known: HashSet<String> = view
            .live_replicas()
            .map(|record| record.told.id.clone())
            .collect();
        shared.connections.sweep(|id| known.contains(id));
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Tells control what is under way here and learns what others have.
pub(crate) async fn exchange_loads(shared: Arc<Shared>) {
    let mut interval = RunningCounts::default().interval();
    let mut was_answered = false;
    loop {
        sleep(interval).await;
        if !shared.needs_others() {
            continue;
        }
        let counts = shared.running_counts();
        let others = shared.gateway.exchange_loads(counts).await;
        if others.is_some() != was_answered {
            was_answered = others.is_some();
            info!(shared.logger, "loads of others"; "known" => was_answered);
        }
        if let Some(others) = others {
            interval = others.interval();
            shared.note_others(&others);
        }
    }
}
