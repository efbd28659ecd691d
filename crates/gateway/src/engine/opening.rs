//! Opens the stream of a generation on the engine of its placement.

use std::time::Duration;

use crate::{
    decisions::Placement,
    engine::{
        client::{EngineRequest, header_is, load_report},
        fault::AttemptFault,
        software::software_of,
        stream::EngineStream,
    },
    state::Gateway,
};

impl Gateway {
    /// Sends a request and waits up to `limit` until the engine begins to respond. Applies the
    /// engine's load, its software and its leaving notice from the response headers. A response
    /// that would continue tokens of another software version is not read.
    pub(crate) async fn open_stream(
        &self,
        request: EngineRequest,
        placement: &Placement,
        limit: Duration,
    ) -> Result<EngineStream, AttemptFault> {
        let id = request.id.clone();
        let resumed_software = request.resumed_software.clone();
        let generating = self.back_ends.generate(request, |headers| {
            let software = software_of(headers);
            self.engine_software
                .record(&placement.replica, software.as_deref());
        });
        let response = tokio::time::timeout(limit, generating)
            .await
            .map_err(|_| AttemptFault::TimedOut(limit))??;
        let software = software_of(response.headers());
        if resumed_software.is_some() && software != resumed_software {
            return Err(AttemptFault::OtherSoftware);
        }
        if let Some(load) = load_report(response.headers(), "x-engine-load") {
            self.decisions.on_observed_load(&placement.replica, load);
        }
        if header_is(response.headers(), "x-engine-leaving", "yes") {
            self.observer
                .leaving(self.clock().now(), placement.replica.as_str());
            self.decisions.on_leaving(&placement.replica);
        }
        Ok(EngineStream::new(response, id, software))
    }
}
