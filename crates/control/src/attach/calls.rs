//! Passes calls of a gateway to the member, and answers back to the gateway.

use std::sync::Arc;

use linnethitch_protocol::{
    attach::{ControlCall, ControlMessage},
    ids::CallId,
};
use tokio::sync::Semaphore;

use super::session::GatewaySender;
use crate::driver::Driver;

/// Maximum number of unanswered calls per gateway; further calls wait in its connection.
const MAX_CALLS: usize = 512;

/// Submits calls in their order of arrival and sends each answer as soon as it is available.
pub(super) struct GatewayCalls {
    driver: Driver,
    sender: GatewaySender,
    permits: Arc<Semaphore>,
}

impl GatewayCalls {
    pub(super) fn new(driver: Driver, sender: GatewaySender) -> Self {
        GatewayCalls {
            driver,
            sender,
            permits: Arc::new(Semaphore::new(MAX_CALLS)),
        }
    }

    /// Submits a call, waiting for free capacity; a task sends the answer.
    pub(super) async fn submit(&self, call: CallId, body: ControlCall) {
        let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else {
            return;
        };
        let pending = self.driver.submit(body).await;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let body = pending.wait().await;
            // A gateway that has disconnected calls again through another member.
            let _ = sender.send(&ControlMessage::Answer { call, body }).await;
            drop(permit);
        });
    }
}
