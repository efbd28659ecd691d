//! Calls of a gateway on their way to the member and back.

use std::sync::Arc;

use linnethitch_protocol::{
    attach::{ControlCall, ControlMessage},
    ids::CallId,
};
use tokio::sync::Semaphore;

use super::session::GatewaySender;
use crate::driver::Driver;

/// Calls of one gateway under way at once; more of them wait in its connection.
const MAX_CALLS: usize = 512;

/// Passes calls on in the order in which they came, and their answers as they come.
pub(super) struct CallRelay {
    driver: Driver,
    sender: GatewaySender,
    permits: Arc<Semaphore>,
}

impl CallRelay {
    pub(super) fn new(driver: Driver, sender: GatewaySender) -> Self {
        CallRelay {
            driver,
            sender,
            permits: Arc::new(Semaphore::new(MAX_CALLS)),
        }
    }

    /// Hands a call in, waiting for room; its answer is sent when it comes.
    pub(super) async fn relay(&self, call: CallId, body: ControlCall) {
        let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else {
            return;
        };
        let pending = self.driver.submit(body).await;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let body = pending.wait().await;
            // A gateway that has gone asks again elsewhere.
            let _ = sender.send(&ControlMessage::Answer { call, body }).await;
            drop(permit);
        });
    }
}
