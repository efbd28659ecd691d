//! Routes of the engine's HTTP interface.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures_util::StreamExt;
use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::StreamBody;

use super::{
    answers::{CacheEventsBody, CancelBody, HandleBody, LeavingBody, StatusBody},
    bodies::{CompletionBody, ExportBody, OrderBody, format_handle, parse_handle},
    reply::{AnswerHead, Form, complete_answer, connection_reset, created_now, stream_answer},
    service::EngineService,
};
use crate::{
    answer::{PromptKey, block_hashes, count_tokens},
    engine::{EngineRequest, Fault, Priority, Refusal},
    http::{IncomingRequest, Reply, Service, header_text},
    wire::{EngineLoadBody, ExecutionsBody},
};

const LOAD_HEADER: &str = "x-engine-load";
const STARTED_HEADER: &str = "x-engine-started";
const LEAVING_HEADER: &str = "x-engine-leaving";
const REQUEST_HEADER: &str = "x-request-id";
const SOFTWARE_HEADER: &str = "x-engine-software";
const PRIORITY_HEADER: &str = "x-priority";

impl Service for EngineService {
    async fn respond(self: Arc<Self>, request: IncomingRequest) -> Response<Body> {
        let path = request.uri.path().to_owned();
        if let Some(control) = path.strip_prefix("/emulator/") {
            return self.control(control, request).await.into();
        }
        self.wait_while_hung().await;
        let mut response = match (request.method.clone(), path.as_str()) {
            (Method::POST, "/v1/chat/completions") => self.complete(Form::Chat, request).await,
            (Method::POST, "/v1/completions") => self.complete(Form::Text, request).await,
            (method, path) => self.manage(&method, path, request).await.into(),
        };
        self.wait_while_hung().await;
        self.add_headers(&mut response);
        response
    }
}

impl EngineService {
    fn add_headers(&self, response: &mut Response<Body>) {
        let load = serde_json::to_string(&self.load_body()).unwrap_or_default();
        if let Ok(value) = load.parse() {
            response.headers_mut().insert(LOAD_HEADER, value);
        }
        if let Ok(value) = self.software.parse() {
            response.headers_mut().insert(SOFTWARE_HEADER, value);
        }
        if self.state().leaving {
            response
                .headers_mut()
                .insert(LEAVING_HEADER, header::HeaderValue::from_static("yes"));
        }
    }

    fn load_body(&self) -> EngineLoadBody {
        let report = self.load_report();
        EngineLoadBody::new(&report, report.measured_at)
    }

    async fn complete(self: &Arc<Self>, form: Form, request: IncomingRequest) -> Response<Body> {
        let headers = request.headers.clone();
        let body: CompletionBody = match request.into_json().await {
            Ok(body) => body,
            Err(reply) => return reply.with_header(STARTED_HEADER, "no").into(),
        };
        let Some(prompt) = body.canonical_prompt() else {
            return invalid("the body has neither messages nor prompt");
        };
        let resumed_software = header_text(&headers, SOFTWARE_HEADER);
        if resumed_software.is_some_and(|resumed| resumed != self.software) {
            let message = "the tokens to resume are of another software version";
            let refusal = Reply::error(StatusCode::CONFLICT, message);
            return refusal.with_header(STARTED_HEADER, "no").into();
        }
        let request_id = header_text(&headers, REQUEST_HEADER)
            .map_or_else(|| self.generate_request_id(), str::to_owned);
        let batch = header_text(&headers, PRIORITY_HEADER) == Some("batch");
        let priority = if batch {
            Priority::Batch
        } else {
            Priority::Online
        };
        let engine_request = match engine_request(&body, &prompt, priority) {
            Ok(engine_request) => engine_request,
            Err(message) => return invalid(message),
        };
        let head = AnswerHead {
            request: request_id,
            model: body.model.clone(),
            form,
            prompt: engine_request.prompt,
            prompt_tokens: engine_request.prompt_tokens,
            first_index: engine_request.resume_tokens,
            include_usage: body.include_usage(),
            created: created_now(),
        };
        match self.submit(&head.request, engine_request) {
            Err(refusal) => refused(refusal)
                .with_header(REQUEST_HEADER, head.request)
                .into(),
            Ok(output) if body.stream => streamed(head, output),
            Ok(output) => match complete_answer(&head, output).await {
                Ok(bytes) => answered(&head, "application/json", Body::new(full_body(bytes))),
                Err(_) => answered(&head, "application/json", broken_body()),
            },
        }
    }

    async fn manage(&self, method: &Method, path: &str, request: IncomingRequest) -> Reply {
        match (method, path) {
            (&Method::GET, "/healthz") => Reply::json(&"ok"),
            (&Method::GET, "/engine/load") => Reply::json(&self.load_body()),
            (&Method::GET, "/engine/status") => Reply::json(&self.status_body()),
            (&Method::GET, "/engine/cache/events") => {
                let after = request.query("after").and_then(|text| text.parse().ok());
                let events = self.cache_events(after.unwrap_or(0));
                Reply::json(&CacheEventsBody::new(&events))
            }
            (&Method::POST, "/engine/orders") => self.take_order(request).await,
            (&Method::POST, "/engine/kv/export") => self.export_kv(request).await,
            (&Method::DELETE, path) => match path.strip_prefix("/engine/requests/") {
                Some(id) => self.cancel_reply(id),
                None => Reply::not_found(),
            },
            _ => Reply::not_found(),
        }
    }

    fn status_body(&self) -> StatusBody {
        StatusBody::new(&self.state(), self.incarnation())
    }

    fn cancel_reply(&self, id: &str) -> Reply {
        let withdrawal = self.withdraw_request(id);
        let reply = Reply::json(&CancelBody {
            cancelled: withdrawal.cancelled,
            started: withdrawal.started,
            incarnation: withdrawal.incarnation,
        });
        if withdrawal.cancelled {
            reply
        } else {
            reply.with_status(StatusCode::NOT_FOUND)
        }
    }

    async fn take_order(&self, request: IncomingRequest) -> Reply {
        let body: OrderBody = match request.into_json().await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let accepted = self.order(body.token(), body.into_order());
        let status = if accepted {
            StatusCode::ACCEPTED
        } else {
            StatusCode::CONFLICT
        };
        Reply::json(&self.status_body()).with_status(status)
    }

    async fn export_kv(&self, request: IncomingRequest) -> Reply {
        let body: ExportBody = match request.into_json().await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        match self.export(&body.request_id) {
            Some(handle) => Reply::json(&HandleBody {
                handle: format_handle(&handle),
                tokens: handle.tokens,
            }),
            None => Reply::error(StatusCode::NOT_FOUND, "no KV cache is kept for the request"),
        }
    }

    /// The control paths of the emulator; they work unless the engine is dead.
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
                    self.set_leaving(body.leaving);
                    Reply::json(&self.status_body())
                }
                Err(reply) => reply,
            },
            (Method::GET, "executions") => Reply::json(&ExecutionsBody {
                started: match (request.query("request"), request.query("prompt")) {
                    (Some(id), _) => self.executions_of(id),
                    (None, Some(prompt)) => self.executions_of(&format!("prompt:{prompt}")),
                    (None, None) => self.executions(),
                },
            }),
            _ => Reply::not_found(),
        }
    }
}

fn engine_request(
    body: &CompletionBody,
    prompt: &str,
    priority: Priority,
) -> Result<EngineRequest, &'static str> {
    let key = PromptKey::of(prompt);
    let resume_tokens = body.resume.as_ref().map_or(0, |resume| resume.tokens);
    if let Some(resume) = &body.resume
        && resume.text != key.text(resume.tokens)
    {
        return Err("resume.text is not the beginning of the answer");
    }
    let kv_import = match &body.kv_import {
        None => None,
        Some(text) => Some(parse_handle(text).ok_or("kv_import is not a handle")?),
    };
    Ok(EngineRequest {
        model: body.model.clone(),
        priority,
        prompt: key,
        prompt_tokens: count_tokens(prompt),
        prefix_hashes: block_hashes(prompt),
        max_tokens: body.max_tokens(),
        min_tokens: body.min_tokens,
        resume_tokens,
        kv_import,
        prefill_only: body.prefill_only,
        ..EngineRequest::default()
    })
}

fn invalid(message: &str) -> Response<Body> {
    Reply::error(StatusCode::BAD_REQUEST, message)
        .with_header(STARTED_HEADER, "no")
        .into()
}

fn refused(refusal: Refusal) -> Reply {
    let status = match refusal {
        Refusal::Full => StatusCode::TOO_MANY_REQUESTS,
        Refusal::WrongModel => StatusCode::NOT_FOUND,
        Refusal::TooLong | Refusal::WrongHandle => StatusCode::BAD_REQUEST,
        Refusal::DuplicateId | Refusal::Withdrawn => StatusCode::CONFLICT,
        Refusal::Dead
        | Refusal::Leaving
        | Refusal::Loading
        | Refusal::WrongRole
        | Refusal::Fault => StatusCode::SERVICE_UNAVAILABLE,
    };
    Reply::error(status, &refusal.to_string()).with_header(STARTED_HEADER, "no")
}

fn streamed(head: AnswerHead, output: super::output::OutputReceiver) -> Response<Body> {
    let frames = stream_answer(head.clone(), output);
    answered(
        &head,
        "text/event-stream",
        Body::new(StreamBody::new(frames)),
    )
}

fn answered(head: &AnswerHead, content_type: &str, body: Body) -> Response<Body> {
    Response::builder()
        .header(header::CONTENT_TYPE, content_type)
        .header(header::CACHE_CONTROL, "no-cache")
        .header(REQUEST_HEADER, &head.request)
        .body(body)
        .unwrap_or_else(|error| invalid(&error.to_string()))
}

fn full_body(bytes: Vec<u8>) -> impl http_body::Body<Data = Bytes, Error = io::Error> {
    use http_body_util::BodyExt;
    http_body_util::Full::new(Bytes::from(bytes)).map_err(|never| match never {})
}

/// A body that breaks its connection after the first bytes.
fn broken_body() -> Body {
    let first = Ok(Frame::data(Bytes::from_static(b"{\"id\":")));
    let first = futures_util::stream::iter([first]);
    let end = futures_util::stream::once(async { Err(connection_reset().await) });
    Body::new(StreamBody::new(first.chain(end)))
}
