//! Streams that callers take up again: where they may go on.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Response};
use linnethitch_clock::Instant;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::streams::StreamRecord;
use linnethitch_registry::{FleetView, Route, RouteKind};
use linnethitch_routing::dispatch::SoftwareNeed;
use slog::info;

use crate::{
    attempt::DEFAULT_RETRY_AFTER,
    counters::{RequestEnd, TakeUpOutcome},
    dialect::HeaderNames,
    response::{ResponseBody, error_response},
    shared::Shared,
    stream_records::RecordSource,
};

/// The stream that a request belongs to, and what it may be served by.
pub(crate) struct StreamOrigin {
    /// The id of the attempt that brought its first event; that of this request for a new stream.
    pub(crate) id: String,
    /// The service that began it; `None` for a new stream.
    pub(crate) service: Option<String>,
    pub(crate) software: SoftwareNeed,
}

impl StreamOrigin {
    /// A stream of which its caller has no event yet.
    pub(crate) fn new_stream(request_id: &HeaderValue) -> Self {
        StreamOrigin {
            id: request_id.to_str().unwrap_or_default().to_owned(),
            service: None,
            software: SoftwareNeed::Any,
        }
    }
}

/// A request that takes a stream up again.
struct TakeUp<'a> {
    request_id: &'a str,
    last_event: &'a str,
    /// The id of the attempt that brought the first event, if the request names it.
    stream: Option<&'a str>,
}

impl<'a> TakeUp<'a> {
    /// `None` if the request begins a stream or its route is not resumable.
    fn of(headers: &'a HeaderMap, names: &HeaderNames, route: &Route) -> Option<Self> {
        let text = |name| {
            let value: Option<&HeaderValue> = headers.get(name);
            value.and_then(|value| value.to_str().ok())
        };
        let is_resumable = route.kind == RouteKind::Streaming && route.resumable;
        let last_event = text(&names.last_event).filter(|_| is_resumable)?;
        Some(TakeUp {
            request_id: text(&names.request_id).unwrap_or_default(),
            last_event,
            stream: text(&names.resumes),
        })
    }
}

impl Shared {
    /// What a request may be served by: anything if it begins a stream, otherwise what began the
    /// stream.
    ///
    /// # Errors
    /// The response to a request whose stream cannot go on.
    pub(crate) async fn stream_origin(
        &self,
        fleet: &FleetView,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<StreamOrigin, Box<Response<ResponseBody>>> {
        let names = self.dialect.names();
        let Some(take_up) = TakeUp::of(headers, names, route) else {
            let request_id = headers.get(&names.request_id);
            let empty = HeaderValue::from_static("");
            return Ok(StreamOrigin::new_stream(request_id.unwrap_or(&empty)));
        };
        let began = Instant::now();
        let Some((record, age_ms, source)) = self.find_record(fleet, route, &take_up).await else {
            return Err(Box::new(self.refuse_unknown_stream(route, &take_up, began)));
        };
        let software = SoftwareNeed::same_as(&record.replica, record.software.as_deref());
        info!(self.logger, "request: takes a stream up"; "request" => take_up.request_id,
            "stream" => &record.stream, "last_event" => take_up.last_event,
            "service" => &record.service, "replica" => &record.replica,
            "software" => &record.software, "source" => source.as_str(), "age_ms" => age_ms,
            "took_ms" => began.elapsed().as_millis() as u64);
        let is_of_route = route.backends.iter().any(|b| b.service == record.service);
        if !is_of_route || !self.has_software(&record.service, &software) {
            let request = take_up.request_id;
            return Err(Box::new(
                self.refuse_version_gone(request, route, &software),
            ));
        }
        Ok(StreamOrigin {
            id: record.stream,
            service: Some(record.service),
            software,
        })
    }

    async fn find_record(
        &self,
        fleet: &FleetView,
        route: &Route,
        take_up: &TakeUp<'_>,
    ) -> Option<(StreamRecord, u64, RecordSource)> {
        if let Some(stream) = take_up.stream
            && let Some(found) = self.stream_records.find(stream).await
        {
            return Some(found);
        }
        let (service, version) = self.stream_records.only_origin(route, fleet)?;
        let record = StreamRecord {
            stream: take_up.stream.unwrap_or(take_up.request_id).to_owned(),
            service,
            replica: String::new(),
            software: Some(version),
            remaining_ms: 0,
        };
        Some((
            record,
            self.gateway.knowledge_age_ms(),
            RecordSource::OnlyVersion,
        ))
    }

    fn refuse_unknown_stream(
        &self,
        route: &Route,
        take_up: &TakeUp<'_>,
        began: Instant,
    ) -> Response<ResponseBody> {
        info!(self.logger, "request: refused, not known what began its stream";
            "request" => take_up.request_id, "stream" => take_up.stream,
            "last_event" => take_up.last_event, "route" => &route.name,
            "knowledge_age_ms" => self.gateway.knowledge_age_ms(),
            "took_ms" => began.elapsed().as_millis() as u64);
        self.counters.take_up_ended(TakeUpOutcome::Unknown);
        self.counters
            .request_ended(&route.name, RequestEnd::StreamUnknown);
        error_response(ErrorKind::StreamUnknown, Some(DEFAULT_RETRY_AFTER))
    }

    /// Refuses a request whose stream no replica can continue. It can begin anew at once.
    pub(crate) fn refuse_version_gone(
        &self,
        request: &str,
        route: &Route,
        software: &SoftwareNeed,
    ) -> Response<ResponseBody> {
        info!(self.logger, "request: refused, no replica of its stream's software";
            "request" => request, "route" => &route.name, "software" => format!("{software:?}"));
        self.counters.take_up_ended(TakeUpOutcome::VersionGone);
        self.counters
            .request_ended(&route.name, RequestEnd::VersionGone);
        error_response(ErrorKind::StreamVersionGone, Some(Duration::ZERO))
    }
}
