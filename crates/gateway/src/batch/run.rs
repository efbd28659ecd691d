//! One run of an item on one engine.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::ids::Revision;
use tokio_util::sync::CancellationToken;

use crate::{
    batch::{BatchEvent, FailedRun, GeneratedTokens, RunEnd, RunOrder},
    batches::line::BatchLine,
    decisions::{Placement, RoutingRequest},
    engine::{
        client::Priority,
        fault::AttemptFault,
        stream::{EngineStream, Progress, StreamEvent},
    },
    observe::BATCH,
    online::{
        completion_response::CompletionResponse, generation::rejected, request::CompletionRequest,
    },
    state::{ActiveConfiguration, Gateway},
};

/// Longest time to read on after a run was cancelled at its engine.
const STOPPED_STREAM_TIME: Duration = Duration::from_secs(1);

/// Runs an item until it ends or is stopped.
pub(super) async fn run_item(
    gateway: Arc<Gateway>,
    order: RunOrder,
    stop: CancellationToken,
) -> BatchEvent {
    let run = order.run;
    let active = gateway.configuration.load_full();
    let end = match parse(active.as_deref(), &order) {
        Ok(request) => ItemRun::new(gateway, order, request).run(&stop).await,
        Err(failure) => end_of_invalid_request(&gateway, active.as_deref(), &order, &failure),
    };
    BatchEvent::RunEnded { run, end }
}

/// How a run ends whose request is not valid under a configuration. The job may have been created
/// under a newer one: that the request can never run shows only once control has confirmed that
/// this configuration was the newest when the item was leased.
fn end_of_invalid_request(
    gateway: &Gateway,
    active: Option<&ActiveConfiguration>,
    order: &RunOrder,
    failure: &Failure,
) -> RunEnd {
    let confirmed = gateway.confirmed_revision.lock();
    let is_final = active.is_some_and(|active| confirmed.covers(active.revision, order.leased_at));
    if is_final {
        return RunEnd::Rejected {
            kind: failure.kind,
            message: failure.message.clone(),
        };
    }
    let revision = active.map_or(Revision(0), |active| active.revision);
    RunEnd::Failed {
        progress: FailedRun::NotStarted,
        generated: order.generated.clone(),
        message: format!(
            "not valid under configuration {revision}, which may be too old: {}",
            failure.message
        ),
    }
}

/// Parses the request of an item's line under a configuration.
fn parse(
    active: Option<&ActiveConfiguration>,
    order: &RunOrder,
) -> Result<CompletionRequest, Failure> {
    let active = active.ok_or_else(|| Failure::from(ErrorKind::NotReady))?;
    let line = BatchLine::parse(&order.item.line)?;
    let kind = line.kind()?;
    let mut request =
        CompletionRequest::from_body(kind, order.request_id(), line.body, &active.fleet)?;
    request.priority = Priority::Batch;
    request.deadline = order.item.deadline;
    request.at_most_once = order.item.at_most_once;
    Ok(request)
}

/// What came of sending a run's request.
enum Opening {
    /// The engine has begun to respond.
    Opened(EngineStream),
    /// The attempt failed.
    Failed(AttemptFault),
    /// The run was stopped; the stream if the engine had started the run by then.
    Stopped(Option<EngineStream>),
}

struct ItemRun {
    gateway: Arc<Gateway>,
    order: RunOrder,
    request: CompletionRequest,
    routing_request: RoutingRequest,
    progress: Progress,
}

impl ItemRun {
    fn new(gateway: Arc<Gateway>, order: RunOrder, request: CompletionRequest) -> Self {
        let progress = Progress {
            tokens: order.generated.tokens,
            text: order.generated.text.clone(),
            software: order.generated.software.clone(),
            ..Progress::default()
        };
        let progress = if is_of_other_software(&gateway, &order, &progress) {
            // The item begins anew at this software.
            Progress::default()
        } else {
            progress
        };
        let mut routing_request = request.routing_request();
        routing_request.prompt_tokens = routing_request
            .prompt_tokens
            .saturating_add(progress.tokens);
        routing_request.output_tokens = routing_request
            .output_tokens
            .saturating_sub(progress.tokens)
            .max(1);
        ItemRun {
            gateway,
            order,
            request,
            routing_request,
            progress,
        }
    }

    async fn run(mut self, stop: &CancellationToken) -> RunEnd {
        let gateway = Arc::clone(&self.gateway);
        let metrics = &gateway.observer.metrics;
        let tokens_before = self.progress.tokens;
        metrics.running.get_or_create(&BATCH).inc();
        let end = self.run_at_replica(stop).await;
        metrics.running.get_or_create(&BATCH).dec();
        let tokens = u64::from(self.progress.tokens.saturating_sub(tokens_before));
        metrics.tokens.get_or_create(&BATCH).inc_by(tokens);
        end
    }

    async fn run_at_replica(&mut self, stop: &CancellationToken) -> RunEnd {
        let decisions = &self.gateway.decisions;
        let Some(mut placement) =
            decisions.place_on_replica(&self.routing_request, &self.order.replica)
        else {
            return self.failed(
                FailedRun::NotStarted,
                "the replica takes no new work".to_owned(),
            );
        };
        let recorded = self.order.address.as_ref();
        if recorded.is_some_and(|recorded| *recorded != placement.address) {
            return self.failed(
                FailedRun::NotStarted,
                "the replica has another address now".to_owned(),
            );
        }
        let started = Instant::now();
        let address = placement.address.clone();
        let mut stream = match self.open(&placement, stop).await {
            Opening::Opened(stream) => stream,
            Opening::Failed(fault) => {
                self.gateway.record_fault(placement, &fault);
                return self.faulted(&fault);
            }
            Opening::Stopped(None) => return self.stopped(),
            Opening::Stopped(Some(stream)) => return self.end_stopped(stream, &address).await,
        };
        let outcome = tokio::select! {
            biased;
            () = stop.cancelled() => None,
            outcome = read(&self.gateway, &mut stream, &mut self.progress, &mut placement, started) => Some(outcome),
        };
        let Some(outcome) = outcome else {
            // The replica's capacity is free from now on.
            drop(placement);
            return self.end_stopped(stream, &address).await;
        };
        if self.progress.finish_reason.is_some() {
            // The answer is complete, even if the end of the stream was not received.
            placement.finished();
            return self.answered();
        }
        match outcome {
            Ok(()) => {
                placement.finished();
                self.answered()
            }
            Err(fault) => {
                self.gateway.record_fault(placement, &fault);
                self.faulted(&fault)
            }
        }
    }

    /// Sends the request and waits until the engine begins to respond, or the run is stopped.
    async fn open(&self, placement: &Placement, stop: &CancellationToken) -> Opening {
        let opening = open(&self.gateway, &self.request, &self.progress, placement);
        tokio::pin!(opening);
        let opened = tokio::select! {
            biased;
            () = stop.cancelled() => None,
            opened = &mut opening => Some(opened),
        };
        match opened {
            Some(Ok(stream)) => Opening::Opened(stream),
            Some(Err(fault)) => Opening::Failed(fault),
            None => Opening::Stopped(self.cancel_opening(opening, &placement.address).await),
        }
    }

    /// Cancels a run that was stopped before its engine began to respond; returns its stream if
    /// the engine had started it. An at-most-once run is not resumed, so its end is not awaited.
    async fn cancel_opening(
        &self,
        opening: impl Future<Output = Result<EngineStream, AttemptFault>>,
        address: &str,
    ) -> Option<EngineStream> {
        if self.request.at_most_once {
            return None;
        }
        let cancelled_opening = async {
            let client = &self.gateway.back_ends;
            let cancellation = client.cancel(address, &self.request.id).await?;
            if cancellation.had_started {
                opening.await.ok()
            } else {
                None
            }
        };
        let opened = tokio::time::timeout(STOPPED_STREAM_TIME, cancelled_opening).await;
        opened.ok().flatten()
    }

    /// Ends a run that was stopped. A complete answer counts all the same.
    async fn end_stopped(&mut self, stream: EngineStream, address: &str) -> RunEnd {
        if !self.request.at_most_once {
            self.read_sent_tokens(stream, address).await;
        }
        if self.progress.finish_reason.is_some() {
            self.answered()
        } else {
            self.stopped()
        }
    }

    /// Cancels a stopped run at its engine and reads on until the stream ends, so that tokens
    /// which the engine has already sent are not generated again.
    async fn read_sent_tokens(&mut self, mut stream: EngineStream, address: &str) {
        let gateway = Arc::clone(&self.gateway);
        let progress = &mut self.progress;
        let rest = async {
            while progress.finish_reason.is_none()
                && stream.next(progress, STOPPED_STREAM_TIME).await.is_ok()
            {}
        };
        let cancelled_rest = async {
            tokio::pin!(rest);
            let cancel = gateway.back_ends.cancel(address, &self.request.id);
            tokio::select! {
                biased;
                () = &mut rest => {}
                answer = cancel => if answer.is_some() { rest.await },
            }
        };
        // An engine that does not end the stream in time is cancelled by closing its connection.
        let _ = tokio::time::timeout(STOPPED_STREAM_TIME, cancelled_rest).await;
    }

    fn stopped(&self) -> RunEnd {
        RunEnd::Stopped {
            generated: self.generated(),
        }
    }

    fn answered(&self) -> RunEnd {
        let answer = CompletionResponse::new(&self.request, &self.progress);
        match serde_json::to_vec(&answer) {
            Ok(body) => RunEnd::Answered { status: 200, body },
            Err(error) => RunEnd::Rejected {
                kind: ErrorKind::Internal,
                message: error.to_string(),
            },
        }
    }

    fn faulted(&self, fault: &AttemptFault) -> RunEnd {
        match fault {
            AttemptFault::Rejected { status, message } => {
                let failure = rejected(*status, message);
                RunEnd::Rejected {
                    kind: failure.kind,
                    message: failure.message,
                }
            }
            fault => self.failed(fault.failed_run(), fault.to_string()),
        }
    }

    fn failed(&self, progress: FailedRun, message: String) -> RunEnd {
        RunEnd::Failed {
            progress,
            generated: self.generated(),
            message,
        }
    }

    /// The tokens from which the next run resumes.
    fn generated(&self) -> GeneratedTokens {
        if self.progress.not_resumable {
            return GeneratedTokens::default();
        }
        GeneratedTokens {
            tokens: self.progress.tokens,
            text: self.progress.text.clone(),
            software: self.progress.software.clone(),
        }
    }
}

/// Whether the replica of a run is known to have other software than the tokens to be resumed.
fn is_of_other_software(gateway: &Gateway, order: &RunOrder, progress: &Progress) -> bool {
    let software = progress.software.as_deref();
    software.is_some_and(|software| gateway.engine_software.is_other(&order.replica, software))
}

/// Sends the request and waits until the engine begins to respond.
async fn open(
    gateway: &Gateway,
    request: &CompletionRequest,
    progress: &Progress,
    placement: &Placement,
) -> Result<EngineStream, AttemptFault> {
    let limit = gateway.timeouts.batch_silence;
    let deadline = gateway.clock().until(request.deadline);
    let message = request
        .for_engine(&placement.address, deadline, progress)
        .map_err(|failure| AttemptFault::Protocol(failure.message))?;
    gateway.open_stream(message, placement, limit).await
}

/// Reads the answer to its end. Cancel-safe: what was read is in `progress`.
async fn read(
    gateway: &Gateway,
    stream: &mut EngineStream,
    progress: &mut Progress,
    placement: &mut Placement,
    started: Instant,
) -> Result<(), AttemptFault> {
    let limit = gateway.timeouts.batch_silence;
    let mut first = true;
    loop {
        match stream.next(progress, limit).await? {
            StreamEvent::Token(_) => {
                if first {
                    let seconds = started.elapsed().as_secs_f64();
                    let metrics = &gateway.observer.metrics;
                    metrics
                        .first_token_seconds
                        .get_or_create(&BATCH)
                        .observe(seconds);
                }
                placement.on_token(std::mem::take(&mut first));
            }
            StreamEvent::Usage(_) => {}
            StreamEvent::Done => return Ok(()),
        }
    }
}
