//! State that the components of a gateway share.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_clock::Instant;
use linnethitch_config::{
    fleet::{Fleet, Tenant},
    settings::GatewaySettings,
};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_http_server::Endpoints;
use linnethitch_ingress::Ingress;
use linnethitch_observability::journal::Journal;
use linnethitch_protocol::ids::{RequestId, Revision};
use linnethitch_routing::ReasonCode;
use linnethitch_transport::Traffic;
use parking_lot::Mutex;
use slog::Logger;
use tokio::{sync::mpsc, task::JoinHandle};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    batch::BatchEvent,
    batches,
    clock::Clock,
    configuration::{
        confirmed::ConfirmedRevision, follower::Follower, shared_documents::SharedDocuments,
        store::ConfigurationStore,
    },
    control::{client::ControlClient, clock_offset::ClockOffset, session::SessionState},
    decisions::{Decisions, Placement, TenantPermit},
    engine::{client::BackEndClient, fault::AttemptFault, software::EngineSoftware},
    files,
    http::{
        IncomingRequest, RequestHead,
        answer::{failure_response, json_response},
        body::BodyLimits,
        routes::Endpoint,
    },
    models,
    observe::{Observer, RequestSubject, explain},
    online,
    options::EngineTimeouts,
    services,
    tenants::TenantDirectory,
};

/// Memory of a parsed request by the byte of its body: the body, its content, and the request to
/// an engine.
const DOCUMENT_MEMORY_FACTOR: u64 = 3;
/// `Retry-After` of refusals while the process starts or stops.
const RESTART_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The configuration in force, with the index of its tenants.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    pub(crate) revision: Revision,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) tenants: TenantDirectory,
}

impl ActiveConfiguration {
    /// Limits of a body that is parsed.
    pub(crate) fn document_limits(&self) -> BodyLimits {
        self.body_limits(DOCUMENT_MEMORY_FACTOR)
    }

    /// Limits of a body that is forwarded as it is.
    pub(crate) fn forwarded_limits(&self) -> BodyLimits {
        self.body_limits(1)
    }

    fn body_limits(&self, memory_factor: u64) -> BodyLimits {
        BodyLimits {
            bytes: self.fleet.limits.max_body_bytes,
            time: Duration::from_millis(self.fleet.limits.body_timeout_ms),
            memory_factor,
        }
    }
}

/// The shared state of one gateway process.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) timeouts: EngineTimeouts,
    pub(crate) logger: Logger,
    pub(crate) configuration: ArcSwapOption<ActiveConfiguration>,
    pub(crate) decisions: Arc<Decisions>,
    pub(crate) back_ends: BackEndClient,
    pub(crate) engine_software: EngineSoftware,
    pub(crate) control: ControlClient,
    /// Bytes and frames exchanged with control.
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) follower: Mutex<Follower>,
    pub(crate) confirmed_revision: Mutex<ConfirmedRevision>,
    /// `None` when the configuration is fixed instead of received from control.
    pub(crate) store: Option<ConfigurationStore>,
    pub(crate) session: SessionState,
    pub(crate) clock_offset: ClockOffset,
    /// Cancelled when a graceful shutdown begins.
    pub(crate) stopping: CancellationToken,
    /// Tasks that continue after their caller has disconnected.
    tracked: TaskTracker,
    /// Cancelled when the process handle is dropped instead of stopped gracefully.
    pub(crate) dropped: CancellationToken,
    pub(crate) observer: Observer,
    /// What callers occupy of this process.
    pub(crate) ingress: Ingress,
    /// Events for the batch executor; without a receiver when the fleet is fixed.
    pub(crate) batch_events: mpsc::Sender<BatchEvent>,
    has_replicas: AtomicBool,
    /// Whether callers are served; a control-only gateway has no index of tenants.
    serves_callers: bool,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        timeouts: EngineTimeouts,
        store: Option<ConfigurationStore>,
        journal: Journal,
        batch_events: mpsc::Sender<BatchEvent>,
        logger: Logger,
    ) -> Self {
        let zone = settings.zone.as_str().into();
        let control_timeout = Duration::from_millis(settings.limits.control_timeout_ms);
        let seed = xxhash_rust::xxh3::xxh3_64(settings.gateway_id.as_bytes());
        let max_body_bytes = settings.limits.request_memory_bytes;
        Gateway {
            settings,
            timeouts,
            logger,
            configuration: ArcSwapOption::empty(),
            decisions: Arc::new(Decisions::new(zone, Clock::start(), seed)),
            back_ends: BackEndClient::new(timeouts.connect),
            engine_software: EngineSoftware::default(),
            control: ControlClient::new(control_timeout),
            traffic: Arc::default(),
            follower: Mutex::default(),
            confirmed_revision: Mutex::default(),
            store,
            session: SessionState::default(),
            clock_offset: ClockOffset::default(),
            stopping: CancellationToken::new(),
            tracked: TaskTracker::new(),
            dropped: CancellationToken::new(),
            observer: Observer::new(journal),
            ingress: Ingress::new(max_body_bytes, linnethitch_clock::Clock::start()),
            batch_events,
            has_replicas: AtomicBool::new(false),
            serves_callers: true,
        }
    }

    /// Turns off serving of callers and shares parsed configurations with the other gateways of
    /// the process.
    pub(crate) fn control_only(self, documents: Arc<SharedDocuments>) -> Self {
        Gateway {
            follower: Mutex::new(Follower::sharing(documents)),
            serves_callers: false,
            ..self
        }
    }

    /// Puts a configuration into force for all new requests.
    pub(crate) fn activate(&self, revision: Revision, fleet: Arc<Fleet>) {
        let mut tenants = TenantDirectory::default();
        if self.serves_callers {
            self.decisions.set_fleet(&fleet);
            tenants = TenantDirectory::new(&fleet);
        }
        let active = ActiveConfiguration {
            revision,
            fleet,
            tenants,
        };
        self.configuration.store(Some(Arc::new(active)));
        self.observer.configured(self.clock().now(), revision);
    }

    /// Records that a list of replicas was received, which makes the gateway ready.
    pub(crate) fn on_replicas_received(&self) {
        self.has_replicas.store(true, Ordering::Release);
    }

    /// Whether the gateway is ready to serve callers.
    fn ready(&self) -> Result<(), Failure> {
        self.active()?;
        if self.has_replicas.load(Ordering::Acquire) {
            return Ok(());
        }
        Err(
            Failure::new(ErrorKind::NotReady, "no list of back ends has arrived yet")
                .with_retry_after(RESTART_RETRY_AFTER),
        )
    }

    /// Charges a request to the limits of its tenant.
    pub(crate) fn pass_limits(
        &self,
        request: &RequestId,
        tenant: &Tenant,
        estimated_tokens: u32,
    ) -> Result<TenantPermit, Failure> {
        let passed = self.decisions.acquire_permit(tenant, estimated_tokens);
        passed.map_err(|refused| {
            let subject = RequestSubject {
                request: request.clone(),
                tenant: tenant.name.as_str().into(),
            };
            self.observer
                .refused(self.clock().now(), &subject, &refused);
            refused.failure
        })
    }

    /// Records a failed attempt at a replica; returns the reason if the replica was ejected.
    pub(crate) fn record_fault(
        &self,
        placement: Placement,
        fault: &AttemptFault,
    ) -> Option<ReasonCode> {
        let replica = placement.replica.to_string();
        let now = self.clock().now();
        if fault.reports_leaving() {
            self.observer.leaving(now, &replica);
        }
        let ejected = self.decisions.on_attempt_failed(placement, fault);
        if let Some(reason) = ejected {
            self.observer.ejected(now, &replica, reason);
        }
        ejected
    }

    /// The process's clock.
    pub(crate) fn clock(&self) -> Clock {
        self.decisions.clock
    }

    /// Runs a task to completion, even if the connection that started it closes. A graceful
    /// shutdown waits for the task.
    pub(crate) fn spawn_tracked(
        &self,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<Option<()>> {
        let dropped = self.dropped.clone();
        self.tracked
            .spawn(async move { dropped.run_until_cancelled(task).await })
    }

    /// Waits for all tracked tasks.
    pub(crate) async fn finish_tracked(&self) {
        self.tracked.close();
        self.tracked.wait().await;
    }

    /// Begins a graceful shutdown: new work is refused.
    pub(crate) fn begin_stop(&self) {
        self.stopping.cancel();
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// `Stopping` during shutdown, `NotReady` before the first configuration.
    pub(crate) fn active(&self) -> Result<Arc<ActiveConfiguration>, Failure> {
        if self.stopping.is_cancelled() {
            return Err(
                Failure::new(ErrorKind::Stopping, "this gateway is stopping")
                    .with_retry_after(RESTART_RETRY_AFTER),
            );
        }
        self.configuration.load_full().ok_or_else(|| {
            Failure::new(ErrorKind::NotReady, "no configuration is in force yet")
                .with_retry_after(RESTART_RETRY_AFTER)
        })
    }

    /// Returns the tenant of a request and the configuration that applies to the request.
    pub(crate) fn authenticate(
        &self,
        head: &RequestHead,
    ) -> Result<(Arc<ActiveConfiguration>, Arc<Tenant>), Failure> {
        let active = self.active()?;
        let tenant = active.tenants.authenticate(&head.headers)?;
        Ok((active, tenant))
    }

    /// Dispatches a request to the handler of its endpoint.
    async fn respond(
        self: &Arc<Self>,
        endpoint: Endpoint,
        incoming: IncomingRequest,
    ) -> Result<Response<Body>, Failure> {
        match endpoint {
            Endpoint::ChatCompletions | Endpoint::Completions => {
                online::answer(self, endpoint, incoming).await
            }
            Endpoint::ListModels => models::list(self, &incoming.head),
            Endpoint::GetModel => models::get(self, &incoming.head),
            Endpoint::CreateFile => files::create(self, incoming).await,
            Endpoint::ListFiles => files::list(self, &incoming.head).await,
            Endpoint::GetFile => files::get(self, &incoming.head).await,
            Endpoint::DeleteFile => files::delete(self, &incoming.head).await,
            Endpoint::FileContent => files::content(self, &incoming.head).await,
            Endpoint::CreateBatch => batches::create(self, incoming).await,
            Endpoint::ListBatches => batches::list(self, &incoming.head).await,
            Endpoint::GetBatch => batches::get(self, &incoming.head).await,
            Endpoint::CancelBatch => batches::cancel(self, &incoming.head).await,
            Endpoint::Service => services::answer(self, incoming).await,
            Endpoint::Explain => explain::explain(self, &incoming.head).await,
            Endpoint::Metrics => Ok(explain::metrics(self)),
            Endpoint::Health => Ok(json_response(StatusCode::OK, &StatusBody { status: "ok" })),
            Endpoint::Ready => self
                .ready()
                .map(|_| json_response(StatusCode::OK, &StatusBody { status: "ready" })),
        }
    }
}

impl Endpoints for Gateway {
    type Endpoint = Endpoint;
    type Request = IncomingRequest;

    async fn answer(
        self: Arc<Self>,
        endpoint: Endpoint,
        request: IncomingRequest,
    ) -> Response<Body> {
        let started = Instant::now();
        let result = self.respond(endpoint, request).await;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(failure) => failure.kind.answer().code,
        };
        let seconds = started.elapsed().as_secs_f64();
        self.observer
            .metrics
            .answered(endpoint.name(), outcome, seconds);
        result.unwrap_or_else(|failure| failure_response(&failure))
    }
}

#[derive(serde::Serialize)]
struct StatusBody {
    status: &'static str,
}
