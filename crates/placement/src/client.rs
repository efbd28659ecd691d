//! HTTP/1.1 client for engines, applications and the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use linnethitch_protocol::{
    command::SentRequest,
    fleet::{BackEndKind, EngineState, LoadReport, Machine},
    ids::ReplicaId,
};
use linnethitch_response::check_head;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    lost_starts::WithdrawalAnswer,
    reconciler::{IssuedOrder, Observation, OrderAnswer, Poll, ReservationAnswer},
    wire::{
        LoadBody, MachineBody, OrderBody, ReservationBody, ReservationRequest, StatusBody,
        WithdrawalBody,
    },
};

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Header with an engine's load report.
const ENGINE_LOAD_HEADER: &str = "x-engine-load";
/// Delay after a `429` without `Retry-After`, in seconds.
const DEFAULT_RETRY_SECONDS: u64 = 1;

const MILLIS_PER_SECOND: u64 = 1_000;

/// A complete answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Answer {
    /// The decoded body of a successful answer; `None` for other answers.
    fn into_json<T: DeserializeOwned>(self) -> Option<T> {
        if !self.status.is_success() {
            return None;
        }
        serde_json::from_slice(&self.body).ok()
    }
}

/// The client; clones share its connections.
#[derive(Clone)]
pub(crate) struct BackEndClient {
    client: Client<HttpConnector, Full<Bytes>>,
    platform: SocketAddr,
}

impl BackEndClient {
    pub(crate) fn new(platform: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        BackEndClient {
            client: Client::builder(TokioExecutor::new()).build(connector),
            platform,
        }
    }

    /// The platform's machine list; `None` without a valid answer.
    pub(crate) async fn machines(&self) -> Option<Vec<Machine>> {
        let uri = format!("http://{}/machines", self.platform);
        let answer = self.get(uri).await?;
        let bodies: Vec<MachineBody> = answer.into_json()?;
        Some(bodies.into_iter().map(Machine::from).collect())
    }

    /// State and load of a replica; `None` without a valid answer.
    pub(crate) async fn observe(&self, poll: &Poll) -> Option<Observation> {
        match poll.kind {
            BackEndKind::Engine => self.observe_engine(&poll.address).await,
            BackEndKind::Application(_) => Some(Observation {
                engine: EngineState::default(),
                load: Some(self.load(&poll.address, "/load").await?),
            }),
        }
    }

    async fn observe_engine(&self, address: &str) -> Option<Observation> {
        let answer = self.get(format!("http://{address}/engine/status")).await?;
        let load = load_in(&answer.headers);
        let status: StatusBody = answer.into_json()?;
        let load = match load {
            Some(load) => Some(load),
            None => self.load(address, "/engine/load").await,
        };
        Some(Observation {
            engine: status.into(),
            load,
        })
    }

    async fn load(&self, address: &str, path: &str) -> Option<LoadReport> {
        let answer = self.get(format!("http://{address}{path}")).await?;
        answer.into_json::<LoadBody>().map(LoadReport::from)
    }

    /// Reserves the transfer of a model's weights to a machine.
    pub(crate) async fn reserve(
        &self,
        replica: &ReplicaId,
        model: &str,
        version: &str,
    ) -> ReservationAnswer {
        let body = ReservationRequest {
            model,
            version,
            machine: replica.as_str(),
        };
        let uri = format!("http://{}/weights/reservations", self.platform);
        let Some(answer) = self.post(uri, &body).await else {
            return ReservationAnswer::NoAnswer;
        };
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            return ReservationAnswer::Busy(retry_after_ms(&answer.headers));
        }
        answer
            .into_json::<ReservationBody>()
            .map_or(ReservationAnswer::NoAnswer, |body| {
                ReservationAnswer::ReadyAfter(body.ready_after_ms)
            })
    }

    /// Sends an order to an engine.
    pub(crate) async fn order(&self, address: &str, issued: &IssuedOrder) -> OrderAnswer {
        let body = OrderBody::new(issued.token, &issued.order);
        let uri = format!("http://{address}/engine/orders");
        let Some(answer) = self.post(uri, &body).await else {
            return OrderAnswer::NoAnswer;
        };
        match answer.status {
            StatusCode::CONFLICT => OrderAnswer::Fenced,
            status if status.is_success() => OrderAnswer::Accepted,
            status if status.is_client_error() => OrderAnswer::Refused,
            _ => OrderAnswer::NoAnswer,
        }
    }

    /// Withdraws a request from its engine, which then refuses it, and asks whether it ran.
    /// `None` without an answer.
    pub(crate) async fn withdraw(&self, sent: &SentRequest) -> Option<WithdrawalAnswer> {
        let uri = format!("http://{}/engine/requests/{}", sent.address, sent.request);
        let request = Request::builder().method(Method::DELETE).uri(uri);
        let answer = self.send(request.body(Full::default()).ok()?).await?;
        // An engine without this ability answers without a body of this form.
        let body: WithdrawalBody = serde_json::from_slice(&answer.body).unwrap_or_default();
        Some(body.into())
    }

    async fn get(&self, uri: String) -> Option<Answer> {
        let request = Request::builder().method(Method::GET).uri(uri);
        self.send(request.body(Full::default()).ok()?).await
    }

    async fn post<T: Serialize>(&self, uri: String, body: &T) -> Option<Answer> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json");
        let body = serde_json::to_vec(body).ok()?;
        self.send(request.body(Full::from(body)).ok()?).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Option<Answer> {
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (head, body) = response.into_parts();
            check_head(head.status, &head.headers).ok()?;
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?;
            Some(Answer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?
    }
}

fn load_in(headers: &HeaderMap) -> Option<LoadReport> {
    let header = headers.get(ENGINE_LOAD_HEADER)?;
    let body: LoadBody = serde_json::from_slice(header.as_bytes()).ok()?;
    Some(body.into())
}

fn retry_after_ms(headers: &HeaderMap) -> u64 {
    let header = headers.get(header::RETRY_AFTER);
    let seconds = header.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    seconds
        .unwrap_or(DEFAULT_RETRY_SECONDS)
        .saturating_mul(MILLIS_PER_SECOND)
}
