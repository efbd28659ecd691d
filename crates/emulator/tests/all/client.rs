//! HTTP client for the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

pub(crate) struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
}

pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Value,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// The received part of a streamed answer.
#[derive(Debug, Default)]
pub(crate) struct Streamed {
    pub(crate) chunks: Vec<Value>,
    pub(crate) done: bool,
    pub(crate) broken: bool,
}

impl Streamed {
    /// Token indexes and texts of the chunks with the request's id.
    pub(crate) fn tokens(&self, id: &str) -> Vec<(u64, String)> {
        self.chunks
            .iter()
            .filter(|chunk| chunk["id"] == id)
            .filter_map(|chunk| {
                let choice = chunk["choices"].get(0)?;
                let content = &choice["delta"]["content"];
                let text = content.as_str().or(choice["text"].as_str())?;
                Some((choice["token_index"].as_u64()?, text.to_owned()))
            })
            .collect()
    }

    pub(crate) fn text(&self, id: &str) -> String {
        let tokens = self.tokens(id);
        tokens.into_iter().map(|(_, text)| text).collect()
    }
}

impl TestClient {
    pub(crate) fn new(address: SocketAddr) -> TestClient {
        TestClient {
            client: Client::builder(TokioExecutor::new()).build_http(),
            base: format!("http://{address}"),
        }
    }

    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<http::Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let bytes = if body.is_null() {
            Bytes::new()
        } else {
            Bytes::from(body.to_string())
        };
        self.client
            .request(builder.body(Full::new(bytes)).unwrap())
            .await
    }

    pub(crate) async fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Answer {
        let response = self.send(method, path, headers, body).await.unwrap();
        let (parts, incoming) = response.into_parts();
        let bytes = incoming.collect().await.unwrap().to_bytes();
        Answer {
            status: parts.status,
            headers: parts.headers,
            body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        }
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        self.request("GET", path, &[], &Value::Null).await
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Answer {
        self.request("POST", path, &[], body).await
    }

    pub(crate) async fn stream(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Streamed {
        let response = self.send("POST", path, headers, body).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        read_stream(response.into_body()).await
    }
}

pub(crate) async fn read_stream(mut body: Incoming) -> Streamed {
    let mut streamed = Streamed::default();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            streamed.broken = true;
            break;
        };
        if let Ok(data) = frame.into_data() {
            text.push_str(std::str::from_utf8(&data).unwrap());
        }
    }
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ").unwrap();
        if data == "[DONE]" {
            streamed.done = true;
        } else if let Ok(chunk) = serde_json::from_str(data) {
            streamed.chunks.push(chunk);
        }
    }
    streamed
}
