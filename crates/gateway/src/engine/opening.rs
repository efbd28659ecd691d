//! Opens the stream of a generation on the engine of its placement.

use std::time::Duration;

use crate::{
    decisions::Placement,
    engine::{
        client::{EngineRequest, header_is, load_report},
        fault::AttemptFault,
        stream::EngineStream,
    },
    state::Gateway,
};

impl Gateway {
    /// Sends a request and waits up to `limit` until the engine begins to respond. Applies the
    /// engine's load and its leaving notice from the response headers.
    pub(crate) async fn open_stream(
        &self,
        request: EngineRequest,
        placement: &Placement,
        limit: Duration,
    ) -> Result<EngineStream, AttemptFault> {
        let id = request.id.clone();
        let response = tokio::time::timeout(limit, self.back_ends.generate(request))
            .await
            .map_err(|_| AttemptFault::TimedOut(limit))??;
        if let Some(load) = load_report(response.headers(), "x-engine-load") {
            self.decisions.on_observed_load(&placement.replica, load);
        }
        if header_is(response.headers(), "x-engine-leaving", "yes") {
            self.observer
                .leaving(self.clock().now(), placement.replica.as_str());
            self.decisions.on_leaving(&placement.replica);
        }
        Ok(EngineStream::new(response, id))
    }
}
