//! The emulated application replica behind its HTTP interface.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Response, StatusCode};
use linnethitch_protocol::fleet::LoadReport;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, oneshot, watch},
    task::JoinHandle,
    time::{sleep, sleep_until},
};
use xxhash_rust::xxh3::xxh3_64;

use super::core::{ApplicationCore, ApplicationModel, ApplicationRefusal, CallId, Completed};
use crate::{
    clock::CompressedClock,
    engine::Fault,
    executions::Executions,
    http::{IncomingRequest, Reply, Server, Service, header_text},
    wire::{ApplicationLoadBody, ExecutionsBody},
};

const LOAD_HEADER: &str = "x-application-load";
const STARTED_HEADER: &str = "x-application-started";
const LEAVING_HEADER: &str = "x-application-leaving";
const REQUEST_HEADER: &str = "x-request-id";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// How often a call to a hung replica looks whether it goes on.
const HANG_POLL: Duration = Duration::from_millis(20);

/// How to start a replica.
#[derive(Clone, Debug)]
pub struct ApplicationSettings {
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The machine's name.
    pub name: String,
    /// The machine's zone.
    pub zone: String,
    /// The service that it is a replica of.
    pub service: String,
    /// Its speed.
    pub model: ApplicationModel,
    /// How many times as fast as real time it runs.
    pub time_compression: u32,
    /// Seeds the service times.
    pub seed: u64,
}

impl ApplicationSettings {
    /// A replica on a loopback port that the system chooses.
    #[must_use]
    pub fn new(name: &str, zone: &str, service: &str) -> ApplicationSettings {
        ApplicationSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            model: ApplicationModel::default(),
            time_compression: 1,
            seed: 0,
        }
    }
}

/// A running replica; stops when dropped.
pub struct ApplicationServer {
    server: Arc<Server<ApplicationService>>,
    settings: ApplicationSettings,
    driver: JoinHandle<()>,
    undertaker: JoinHandle<()>,
}

impl ApplicationServer {
    /// Starts a replica in the current runtime.
    ///
    /// # Errors
    /// The address can not be bound.
    pub async fn start(settings: ApplicationSettings) -> io::Result<ApplicationServer> {
        let service = Arc::new(ApplicationService::new(&settings));
        let server = Arc::new(Server::start(settings.listen, Arc::clone(&service)).await?);
        let driver = tokio::spawn(Arc::clone(&service).drive());
        let undertaker = tokio::spawn(stop_when_dead(Arc::clone(&server), service));
        Ok(ApplicationServer {
            server,
            settings,
            driver,
            undertaker,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// How it was started.
    #[must_use]
    pub fn settings(&self) -> &ApplicationSettings {
        &self.settings
    }

    /// Sets a fault switch. A dead replica is brought back by [`ApplicationServer::restart`].
    pub fn inject(&self, fault: Fault) {
        self.server.service().inject(fault);
        if fault == Fault::Die {
            self.server.stop();
        }
    }

    /// Sets whether the replica says that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        let mut inner = self.server.service().inner.lock();
        inner.core.set_leaving(leaving);
    }

    /// Starts a dead replica's process again on its port.
    ///
    /// # Errors
    /// The port can not be bound any more.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.stop();
        self.server.service().inject(Fault::Recover);
        self.server.restart().await
    }

    /// Waits until a fault has killed the replica.
    pub async fn died(&self) {
        self.server.service().died().await;
    }

    /// How often a call with this `X-Request-Id` or `Idempotency-Key` was started.
    #[must_use]
    pub fn executions_of(&self, key: &str) -> u64 {
        self.server.service().inner.lock().executions.of(key)
    }

    /// How many calls were started in all.
    #[must_use]
    pub fn executions(&self) -> u64 {
        self.server.service().inner.lock().started
    }
}

impl Drop for ApplicationServer {
    fn drop(&mut self) {
        self.driver.abort();
        self.undertaker.abort();
        self.server.stop();
    }
}

async fn stop_when_dead(server: Arc<Server<ApplicationService>>, service: Arc<ApplicationService>) {
    loop {
        service.died().await;
        server.stop();
        // The sender lives in `service`, so waiting can not fail.
        let _ = service.dead.subscribe().wait_for(|dead| !*dead).await;
    }
}

struct ApplicationService {
    name: String,
    service: String,
    clock: CompressedClock,
    inner: Mutex<Inner>,
    wake: Notify,
    dead: watch::Sender<bool>,
}

struct Inner {
    core: ApplicationCore,
    calls: HashMap<CallId, oneshot::Sender<()>>,
    executions: Executions,
    started: u64,
    completed: Vec<Completed>,
}

/// A call in progress; dropped when its caller is gone.
struct Call<'a> {
    service: &'a ApplicationService,
    id: CallId,
    done: oneshot::Receiver<()>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        let mut inner = self.service.inner.lock();
        if inner.calls.remove(&self.id).is_some() {
            inner.core.cancel(self.id);
        }
    }
}

impl ApplicationService {
    fn new(settings: &ApplicationSettings) -> ApplicationService {
        ApplicationService {
            name: settings.name.clone(),
            service: settings.service.clone(),
            clock: CompressedClock::start(settings.time_compression),
            inner: Mutex::new(Inner {
                core: ApplicationCore::new(settings.model.clone(), settings.seed),
                calls: HashMap::new(),
                executions: Executions::default(),
                started: 0,
                completed: Vec::new(),
            }),
            wake: Notify::new(),
            dead: watch::Sender::new(false),
        }
    }

    async fn drive(self: Arc<Self>) {
        loop {
            let next = {
                let mut inner = self.inner.lock();
                inner.advance(&self.clock);
                inner.core.next_event_at()
            };
            match next {
                None => self.wake.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(at).into()) => {}
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }

    async fn died(&self) {
        let _ = self.dead.subscribe().wait_for(|dead| *dead).await;
    }

    fn inject(&self, fault: Fault) {
        let mut inner = self.inner.lock();
        inner.core.inject(self.clock.now(), fault);
        let dead = inner.core.faults().dead;
        if dead {
            inner.calls.clear();
        }
        drop(inner);
        self.dead.send_replace(dead);
        self.wake.notify_one();
    }

    async fn while_hung(&self) {
        while self.inner.lock().core.faults().hung {
            sleep(HANG_POLL).await;
        }
    }

    fn submit(&self, headers: &HeaderMap, content: &str) -> Result<Call<'_>, ApplicationRefusal> {
        let mut inner = self.inner.lock();
        inner.advance(&self.clock);
        let id = CallId(inner.started + 1);
        inner.core.submit(self.clock.now(), id)?;
        inner.started += 1;
        for name in [REQUEST_HEADER, IDEMPOTENCY_HEADER] {
            if let Some(key) = header_text(headers, name) {
                inner.executions.record(key);
            }
        }
        inner.executions.record(content);
        let (sender, done) = oneshot::channel();
        inner.calls.insert(id, sender);
        drop(inner);
        self.wake.notify_one();
        Ok(Call {
            service: self,
            id,
            done,
        })
    }

    fn load_report(&self) -> LoadReport {
        let mut report = self.inner.lock().core.load_report(self.clock.now());
        report.measured_at = self.clock.timestamp(report.measured_at);
        report
    }

    fn load_body(&self) -> ApplicationLoadBody {
        let report = self.load_report();
        ApplicationLoadBody {
            measured_at_ms: report.measured_at.0,
            running: report.running_online,
            waiting: report.waiting,
            max_running: report.max_running,
        }
    }

    async fn call(&self, request: IncomingRequest) -> Reply {
        let (method, uri) = (request.method.clone(), request.uri.clone());
        let headers = request.headers.clone();
        let body = match request.into_bytes().await {
            Ok(body) => body,
            Err(reply) => return reply.with_header(STARTED_HEADER, "no"),
        };
        let content = format!("content:{:016x}", xxh3_64(&body));
        let call = self.submit(&headers, &content);
        let mut call = match call {
            Ok(call) => call,
            Err(refusal) => return refused(refusal),
        };
        let done = (&mut call.done).await.is_ok();
        let late = self.inner.lock().core.faults().late_millis;
        sleep(Duration::from_millis(late)).await;
        if !done {
            return Reply::error(StatusCode::INTERNAL_SERVER_ERROR, "the replica died");
        }
        let echo = EchoBody {
            service: &self.service,
            replica: &self.name,
            method: method.as_str(),
            path: uri.path(),
            query: uri.query(),
            request_id: header_text(&headers, REQUEST_HEADER),
            body: &String::from_utf8_lossy(&body),
        };
        let reply = Reply::json(&echo);
        match header_text(&headers, REQUEST_HEADER) {
            Some(id) => reply.with_header(REQUEST_HEADER, id),
            None => reply,
        }
    }

    async fn control(&self, path: &str, request: IncomingRequest) -> Reply {
        match (request.method.clone(), path) {
            (Method::POST, "faults") => match request.into_json::<Fault>().await {
                Ok(fault) => {
                    self.inject(fault);
                    Reply::json(&fault)
                }
                Err(reply) => reply,
            },
            (Method::POST, "leaving") => match request.into_json::<LeavingBody>().await {
                Ok(body) => {
                    self.inner.lock().core.set_leaving(body.leaving);
                    Reply::json(&body)
                }
                Err(reply) => reply,
            },
            (Method::GET, "executions") => {
                let inner = self.inner.lock();
                let started = match request.query("request") {
                    Some(key) => inner.executions.of(key),
                    None => inner.started,
                };
                Reply::json(&ExecutionsBody { started })
            }
            _ => Reply::not_found(),
        }
    }
}

impl Inner {
    fn advance(&mut self, clock: &CompressedClock) {
        let mut completed = std::mem::take(&mut self.completed);
        self.core.advance(clock.now(), &mut completed);
        for call in completed.drain(..) {
            if let Some(sender) = self.calls.remove(&call.id) {
                // The caller may just have gone.
                let _ = sender.send(());
            }
        }
        self.completed = completed;
    }
}

impl Service for ApplicationService {
    async fn respond(self: Arc<Self>, request: IncomingRequest) -> Response<Body> {
        let path = request.uri.path().to_owned();
        if let Some(control) = path.strip_prefix("/emulator/") {
            return self.control(control, request).await.into();
        }
        self.while_hung().await;
        let mut reply = match (request.method.clone(), path.as_str()) {
            (Method::GET, "/healthz") => Reply::json(&"ok"),
            (Method::GET, "/load") => Reply::json(&self.load_body()),
            _ => self.call(request).await,
        };
        self.while_hung().await;
        if let Ok(load) = serde_json::to_string(&self.load_body()) {
            reply = reply.with_header(LOAD_HEADER, load);
        }
        if self.inner.lock().core.leaving() {
            reply = reply.with_header(LEAVING_HEADER, "yes");
        }
        reply.into()
    }
}

fn refused(refusal: ApplicationRefusal) -> Reply {
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, &refusal.to_string())
        .with_header(STARTED_HEADER, "no")
}

/// What the call said, so that its caller can check that the answer is its own.
#[derive(Serialize)]
struct EchoBody<'a> {
    service: &'a str,
    replica: &'a str,
    method: &'a str,
    path: &'a str,
    query: Option<&'a str>,
    request_id: Option<&'a str>,
    body: &'a str,
}

#[derive(Serialize, Deserialize)]
struct LeavingBody {
    leaving: bool,
}
