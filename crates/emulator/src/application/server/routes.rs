//! Routes of the application replica's HTTP interface.

use std::{sync::Arc, time::Duration};

use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::service::ApplicationService;
use crate::{
    application::core::ApplicationRefusal,
    engine::Fault,
    http::{IncomingRequest, Reply, Service, header_text},
    wire::{ApplicationLoadBody, ExecutionsBody},
};

const LOAD_HEADER: &str = "x-application-load";
const STARTED_HEADER: &str = "x-application-started";
const LEAVING_HEADER: &str = "x-application-leaving";
pub(super) const REQUEST_HEADER: &str = "x-request-id";
pub(super) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

impl ApplicationService {
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
        let completed = (&mut call.completion).await.is_ok();
        let late = self.inner.lock().core.faults().late_millis;
        sleep(Duration::from_millis(late)).await;
        if !completed {
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
                    Some(key) => inner.executions.count(key),
                    None => inner.started,
                };
                Reply::json(&ExecutionsBody { started })
            }
            _ => Reply::not_found(),
        }
    }
}

impl Service for ApplicationService {
    async fn respond(self: Arc<Self>, request: IncomingRequest) -> Response<Body> {
        let path = request.uri.path().to_owned();
        if let Some(control) = path.strip_prefix("/emulator/") {
            return self.control(control, request).await.into();
        }
        self.wait_while_hung().await;
        let mut reply = match (request.method.clone(), path.as_str()) {
            (Method::GET, "/healthz") => Reply::json(&"ok"),
            (Method::GET, "/load") => Reply::json(&self.load_body()),
            _ => self.call(request).await,
        };
        self.wait_while_hung().await;
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

/// An echo of the call, with which a caller can check that the answer belongs to its call.
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
