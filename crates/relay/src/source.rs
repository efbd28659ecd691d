//! A response that is being received from a replica.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Version, response::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use linnethitch_clock::{sleep, timeout};
use linnethitch_registry::ReplicaState;
use linnethitch_response::{Ending, ProcessState, ResponseEnd, probe};
use slog::info;

use crate::{
    connections::Connection, exchange::OpenedResponse, running_guard::RunningGuard, shared::Shared,
};

/// Maximum wait for control's report on a replica that may have been started again.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a reader expects of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyKind {
    /// Passed on as it is.
    Document,
    /// A stream of events for a caller.
    Stream,
    /// Events, whatever the head says.
    Events,
}

/// A response whose body is being received.
pub(crate) struct Source {
    pub(crate) replica: String,
    /// The version of the replica's software; `None` if it is unknown.
    pub(crate) software: Option<String>,
    pub(crate) connection: Connection,
    pub(crate) running: RunningGuard,
    body: Incoming,
    end: ResponseEnd,
    /// What [`Self::data`] returns next, if it has been awaited already.
    awaited: Option<BodyData>,
}

/// Data of a body; `None` where it stopped without an error, whole or not.
type BodyData = Option<Result<Bytes, Interrupted>>;

/// The body ended with an error of its transport, such as a reset or a missing chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interrupted;

impl Source {
    /// Begins to read a response; returns its head as well, in the version of HTTP that gateways
    /// speak, whatever the replica speaks.
    pub(crate) fn open(opened: OpenedResponse, kind: BodyKind) -> (Parts, Self) {
        let OpenedResponse {
            replica,
            software,
            response,
            connection,
            running,
        } = opened;
        let (mut head, body) = response.into_parts();
        head.version = Version::HTTP_11;
        let is_empty = body.is_end_stream();
        let end = match kind {
            BodyKind::Document => ResponseEnd::of_document(&head.headers, is_empty),
            BodyKind::Stream => ResponseEnd::of_stream(&head.headers, is_empty),
            BodyKind::Events => ResponseEnd::of_events(&head.headers, is_empty),
        };
        let source = Source {
            replica,
            software,
            connection,
            running,
            body,
            end,
            awaited: None,
        };
        (head, source)
    }

    /// Releases a replica that has not completed its response.
    pub(crate) fn interrupted(self) {
        self.running.interrupted();
    }

    /// Marks the stream as the continuation of another one, which may have no event left.
    pub(crate) fn continuing(mut self, is_continuation: bool) -> Self {
        self.end = self.end.continuing(is_continuation);
        self
    }

    /// Whether the body is an event stream.
    pub(crate) fn is_event_stream(&self) -> bool {
        self.end.is_event_stream()
    }

    /// The next data of the body. Cancel-safe.
    pub(crate) async fn data(&mut self) -> BodyData {
        match self.awaited.take() {
            Some(data) => data,
            None => self.next_data().await,
        }
    }

    /// Returns data that was taken, which [`Self::data`] returns next.
    pub(crate) fn put_back(&mut self, data: Bytes) {
        self.awaited = Some(Some(Ok(data)));
    }

    /// Waits until [`Self::data`] returns at once. Cancel-safe.
    pub(crate) async fn wait_for_data(&mut self) {
        if self.awaited.is_none() {
            self.awaited = Some(self.next_data().await);
        }
    }

    async fn next_data(&mut self) -> BodyData {
        loop {
            let Ok(frame) = self.body.frame().await? else {
                return Some(Err(Interrupted));
            };
            if let Ok(data) = frame.into_data() {
                self.connection.received_data();
                self.end.push(&data);
                if self.end.is_in_unmarked_chunks() {
                    self.running.log_unmarked_chunks();
                    return Some(Err(Interrupted));
                }
                return Some(Ok(data));
            }
        }
    }

    /// Whether the body that stopped without an error was whole. Where the bytes cannot tell, the
    /// replica's address is asked whether its process still runs.
    pub(crate) async fn is_whole(&self, shared: &Arc<Shared>) -> bool {
        match self.end.ending() {
            Ending::Complete => true,
            Ending::Broken(at) => {
                info!(shared.logger, "response broken off by a close"; "replica" => &self.replica,
                    "request" => self.running.request_id(), "at" => %at);
                false
            }
            Ending::Unproven => self.is_sender_running(shared).await,
        }
    }

    /// Waits for control's report on the replica if this process was delayed: meanwhile the replica
    /// may have ended and been started again at its address.
    async fn wait_for_fleet_update(&self, shared: &Arc<Shared>) {
        // On a time-out the view of this moment counts.
        let _ = timeout(UPDATE_TIMEOUT, shared.gateway.wait_for_update_after_pause()).await;
        if shared.delays.ended_within(UPDATE_TIMEOUT) {
            sleep(UPDATE_TIMEOUT).await;
        }
    }

    /// Whether the process of the replica still runs. A replica that ended may have been about to
    /// send more; one whose machine does not answer is not known to have ended well.
    async fn is_sender_running(&self, shared: &Arc<Shared>) -> bool {
        let state = probe(self.running.address()).await;
        let is_silent = matches!(state, ProcessState::Silent);
        self.wait_for_fleet_update(shared).await;
        let registered = shared.gateway.fleet().state_of_incarnation(&self.replica);
        let is_replaced = matches!(
            registered,
            Some(ReplicaState::Ended | ReplicaState::Displaced)
        );
        if let ProcessState::Listens(connection) = state
            && !is_replaced
        {
            if let Some(connection) = connection {
                let bytes = shared.replica_bytes(&self.replica);
                shared
                    .connections
                    .adopt(&self.replica, connection, bytes)
                    .await;
            }
            return true;
        }
        info!(shared.logger, "response ended with its replica"; "replica" => &self.replica,
            "request" => self.running.request_id(), "silent" => is_silent,
            "replaced" => is_replaced);
        false
    }
}
