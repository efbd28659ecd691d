//! An HTTP client for the interfaces under test.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use linnethitch_emulator::answer::PromptKey;
use serde_json::Value;

use super::wait_until;

/// Sends requests with one bearer key.
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    key: String,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) bytes: Bytes,
}

impl Answer {
    /// The body as JSON; null if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.bytes).unwrap_or(Value::Null)
    }

    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }
}

impl Caller {
    pub(crate) fn new(address: SocketAddr, key: &str) -> Caller {
        Caller {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
            key: key.to_owned(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the answer with its body unread.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<http::Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body.into())).unwrap();
        self.client.request(request).await
    }

    /// Sends a request and reads its complete answer.
    pub(crate) async fn ask(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Answer {
        let answer = self.try_ask(method, path, headers, body).await;
        answer.unwrap_or_else(|| panic!("{method} {path} is not answered"))
    }

    /// Sends a request and reads its complete answer; `None` when the connection breaks.
    pub(crate) async fn try_ask(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
        let response = self.send(method, path, headers, body).await.ok()?;
        let (parts, incoming) = response.into_parts();
        Some(Answer {
            status: parts.status,
            headers: parts.headers,
            bytes: incoming.collect().await.ok()?.to_bytes(),
        })
    }

    pub(crate) async fn try_get(&self, path: &str) -> Option<Answer> {
        self.try_ask("GET", path, &[], Bytes::new()).await
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        self.ask("GET", path, &[], Bytes::new()).await
    }

    /// How often an emulated engine has started a prompt.
    pub(crate) async fn executions_of(&self, key: PromptKey) -> u64 {
        let path = format!("/emulator/executions?prompt={:016x}", key.0);
        self.get(&path).await.json()["started"].as_u64().unwrap()
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Answer {
        self.ask("POST", path, &[], body.to_string()).await
    }

    /// Waits until a path answers 200.
    pub(crate) async fn wait_for(&self, path: &str) {
        wait_until(path, async || {
            let answer = self.try_get(path).await;
            answer.is_some_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
}
