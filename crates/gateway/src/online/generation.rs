//! One generation over as many attempts as it takes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::ids::ReplicaId;
use slog::info;

use crate::{
    decisions::{Chosen, Needs},
    engine::{
        client::{EngineRequest, load_of, says},
        fault::AttemptFault,
        stream::{EngineStream, Progress, StreamEvent},
    },
    online::request::CompletionRequest,
    state::Gateway,
};

/// When a caller should come back after a refusal for want of capacity.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A running generation. Dropping it cancels the run at the engine.
pub(crate) struct Generation {
    gateway: Arc<Gateway>,
    pub(crate) request: CompletionRequest,
    pub(crate) progress: Progress,
    attempt: Option<Attempt>,
    tried: Vec<ReplicaId>,
    attempts: u32,
    most_attempts: u32,
    /// Whether any attempt may have run.
    started: bool,
    deadline: Instant,
    /// How the last attempt failed.
    last_fault: Option<AttemptFault>,
    /// The first event, read before the answer's status was decided.
    first: Option<StreamEvent>,
}

struct Attempt {
    chosen: Chosen,
    stream: EngineStream,
    tokens_before: u32,
}

impl Generation {
    /// Starts a generation and waits for its first event, so that a failure before it
    /// can still be answered with a status of its own.
    pub(crate) async fn start(
        gateway: Arc<Gateway>,
        request: CompletionRequest,
        arrived: Instant,
    ) -> Result<Self, Failure> {
        let most_attempts = gateway.active()?.fleet.routing.max_attempts.max(1);
        let mut generation = Generation {
            deadline: arrived + request.deadline,
            gateway,
            request,
            progress: Progress::default(),
            attempt: None,
            tried: Vec::new(),
            attempts: 0,
            most_attempts,
            started: false,
            last_fault: None,
            first: None,
        };
        let first = generation.receive().await?;
        generation.first = Some(first);
        Ok(generation)
    }

    /// The next event of the answer.
    pub(crate) async fn next(&mut self) -> Result<StreamEvent, Failure> {
        match self.first.take() {
            Some(event) => Ok(event),
            None => self.receive().await,
        }
    }

    async fn receive(&mut self) -> Result<StreamEvent, Failure> {
        loop {
            let outcome = self.receive_once().await;
            match outcome {
                Ok(event) => return Ok(event),
                Err(Step::Fault(fault)) => self.after_fault(fault)?,
                Err(Step::Final(failure)) => return Err(failure),
            }
        }
    }

    /// Opens an attempt if there is none, and reads one event of it.
    async fn receive_once(&mut self) -> Result<StreamEvent, Step> {
        if self.attempt.is_none() {
            let attempt = self.open().await?;
            self.attempt = Some(attempt);
        }
        let left = self.time_left()?;
        let timeouts = self.gateway.timeouts;
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(Step::Final(Failure::from(ErrorKind::Internal)));
        };
        let limit = if self.progress.tokens == attempt.tokens_before {
            timeouts.first_token
        } else {
            timeouts.between_tokens
        };
        let event = attempt
            .stream
            .next(&mut self.progress, limit.min(left))
            .await;
        match event {
            Err(AttemptFault::Hung(_)) if left <= limit => Err(self.out_of_time()),
            Err(fault) => Err(Step::Fault(fault)),
            Ok(StreamEvent::Done) => {
                self.attempt = None;
                Ok(StreamEvent::Done)
            }
            Ok(event) => Ok(event),
        }
    }

    fn time_left(&self) -> Result<Duration, Step> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(self.out_of_time())
        } else {
            Ok(left)
        }
    }

    fn out_of_time(&self) -> Step {
        let kind = if self.started {
            ErrorKind::DeadlineExceeded
        } else {
            ErrorKind::DeadlineBeforeStart
        };
        Step::Final(Failure::new(kind, "the request's deadline passed"))
    }

    async fn open(&mut self) -> Result<Attempt, Step> {
        let left = self.time_left()?;
        let needs = Needs {
            model: self.request.pool().to_owned(),
            adapter: self.request.adapter().map(str::to_owned),
        };
        let chosen = self
            .gateway
            .decisions
            .choose(&needs, &self.tried)
            .ok_or_else(|| Step::Final(self.no_replica()))?;
        self.tried.push(chosen.replica.clone());
        self.attempts += 1;
        let request = EngineRequest {
            address: chosen.address.clone(),
            path: self.request.kind.path(),
            id: self.request.id.0.clone(),
            priority: self.request.priority,
            deadline: left,
            body: self
                .request
                .engine_body(&self.progress)
                .map_err(Step::Final)?,
        };
        let limit = self.gateway.timeouts.first_token.min(left);
        let response =
            match tokio::time::timeout(limit, self.gateway.back_ends.generate(request)).await {
                Ok(Ok(response)) => response,
                Ok(Err(fault)) => {
                    self.learn(&chosen, &fault);
                    return Err(Step::Fault(fault));
                }
                Err(_) => return Err(Step::Fault(AttemptFault::Hung(limit))),
            };
        self.started = true;
        if let Some(load) = load_of(response.headers(), "x-engine-load") {
            self.gateway.decisions.on_load(&chosen.replica, load);
        }
        if says(response.headers(), "x-engine-leaving", "yes") {
            self.gateway.decisions.on_leaving(&chosen.replica);
        }
        Ok(Attempt {
            stream: EngineStream::new(response, self.request.id.0.clone()),
            chosen,
            tokens_before: self.progress.tokens,
        })
    }

    fn learn(&self, chosen: &Chosen, fault: &AttemptFault) {
        if let AttemptFault::Refused { leaving: true, .. } = fault {
            self.gateway.decisions.on_leaving(&chosen.replica);
        }
    }

    /// Decides whether another attempt may follow; an error is final.
    fn after_fault(&mut self, fault: AttemptFault) -> Result<(), Failure> {
        let replica = self
            .attempt
            .take()
            .map(|attempt| attempt.chosen.replica.clone());
        info!(self.gateway.logger, "attempt failed";
            "request" => %self.request.id,
            "replica" => replica.as_ref().or(self.tried.last()).map(ToString::to_string),
            "tokens" => self.progress.tokens,
            "fault" => %fault);
        self.started |= !fault.not_started();
        if let AttemptFault::Rejected { status, message } = &fault {
            return Err(rejected(*status, message));
        }
        if self.request.at_most_once && !fault.not_started() {
            return Err(Failure::new(
                ErrorKind::OutcomeUnknown,
                format!("the request was sent to a back end and is not sent again: {fault}"),
            ));
        }
        if self.progress.not_resumable {
            return Err(self.give_up(&fault));
        }
        if self.attempts >= self.most_attempts {
            return Err(self.give_up(&fault));
        }
        self.last_fault = Some(fault);
        Ok(())
    }

    fn give_up(&self, fault: &AttemptFault) -> Failure {
        let kind = if self.progress.tokens > 0 {
            ErrorKind::StreamBroken
        } else if !self.started {
            ErrorKind::Overloaded
        } else if matches!(fault, AttemptFault::Protocol(_)) {
            ErrorKind::BackEndProtocol
        } else {
            ErrorKind::BackEndFailed
        };
        self.finish_failure(
            kind,
            format!("no back end completed the request; the last one: {fault}"),
        )
    }

    fn no_replica(&self) -> Failure {
        match &self.last_fault {
            Some(fault) => self.give_up(fault),
            None => self.finish_failure(
                ErrorKind::NoBackEnd,
                "no back end takes the request now".to_owned(),
            ),
        }
    }

    fn finish_failure(&self, kind: ErrorKind, message: String) -> Failure {
        let executed = if self.started {
            Executed::Unknown
        } else {
            Executed::No
        };
        Failure::new(kind, message)
            .with_executed(executed)
            .with_retry_after(OVERLOAD_RETRY_AFTER)
    }
}

enum Step {
    Fault(AttemptFault),
    Final(Failure),
}

/// An engine found the request itself wrong: the caller has to change it.
fn rejected(status: u16, message: &str) -> Failure {
    let kind = match status {
        404 => ErrorKind::UnknownModel,
        413 => ErrorKind::BodyTooLarge,
        400..=499 => ErrorKind::InvalidValue,
        _ => ErrorKind::BackEndProtocol,
    };
    Failure::new(
        kind,
        format!("the back end rejected the request: {message}"),
    )
}
