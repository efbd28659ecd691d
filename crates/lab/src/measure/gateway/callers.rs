//! Callers that measure the time to the first token and count all tokens.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use linnethitch_errors::ErrorKind;

const SIGNIFICANT_DIGITS: u8 = 3;
const NANOSECONDS_PER_MS: f64 = 1e6;
/// Time between the starts of two callers, so that they do not send requests in step.
const START_STEP: Duration = Duration::from_millis(3);
const BODY: &str = r#"{"model":"m","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"a spot quote from Worcester to Hartford"}]}"#;

/// The requests of every caller.
#[derive(Clone, Copy)]
pub(super) struct Round {
    pub(super) api_key: &'static str,
    pub(super) tokens: u32,
    pub(super) answers: usize,
}

/// What the callers of one round measured.
pub(super) struct Latencies {
    first_token: Histogram<u64>,
    pub(super) tokens: u64,
    pub(super) answers: u64,
    /// Answers that were missing or incomplete.
    pub(super) incomplete: u64,
}

impl Latencies {
    fn new() -> Result<Self, Report<ErrorKind>> {
        Ok(Latencies {
            first_token: Histogram::new(SIGNIFICANT_DIGITS).change_context(ErrorKind::Internal)?,
            tokens: 0,
            answers: 0,
            incomplete: 0,
        })
    }

    /// A percentile of the time to the first token, in milliseconds.
    pub(super) fn first_token_ms(&self, percentile: f64) -> f64 {
        self.first_token.value_at_percentile(percentile) as f64 / NANOSECONDS_PER_MS
    }

    fn add(&mut self, other: &Latencies) -> Result<(), Report<ErrorKind>> {
        self.tokens += other.tokens;
        self.answers += other.answers;
        self.incomplete += other.incomplete;
        self.first_token
            .add(&other.first_token)
            .change_context(ErrorKind::Internal)
    }
}

impl Round {
    /// Runs callers concurrently until each has made all its requests.
    pub(super) async fn run(
        self,
        callers: usize,
        address: SocketAddr,
    ) -> Result<Latencies, Report<ErrorKind>> {
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let mut running = tokio::task::JoinSet::new();
        for number in 0..callers {
            let client = client.clone();
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            running.spawn(async move {
                tokio::time::sleep(START_STEP * number).await;
                self.call(&client, address).await
            });
        }
        let mut all = Latencies::new()?;
        while let Some(ended) = running.join_next().await {
            all.add(&ended.change_context(ErrorKind::Internal)??)?;
        }
        Ok(all)
    }

    async fn call(
        self,
        client: &Client<HttpConnector, Full<Bytes>>,
        address: SocketAddr,
    ) -> Result<Latencies, Report<ErrorKind>> {
        let mut latencies = Latencies::new()?;
        for _ in 0..self.answers {
            let complete = self.answer(client, address, &mut latencies).await;
            latencies.answers += 1;
            latencies.incomplete += u64::from(complete != Some(true));
        }
        Ok(latencies)
    }

    /// Sends one request and returns whether its answer was complete; `None` if the request
    /// failed.
    async fn answer(
        self,
        client: &Client<HttpConnector, Full<Bytes>>,
        address: SocketAddr,
        latencies: &mut Latencies,
    ) -> Option<bool> {
        let request = Request::post(format!("http://{address}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", self.api_key))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from_static(BODY.as_bytes())))
            .ok()?;
        let sent = Instant::now();
        let mut body = client.request(request).await.ok()?.into_body();
        let mut tokens = 0;
        let mut done = false;
        while let Some(frame) = body.frame().await {
            let data = frame.ok()?.into_data().ok()?;
            if tokens == 0 {
                let nanoseconds = u64::try_from(sent.elapsed().as_nanos()).unwrap_or(u64::MAX);
                latencies.first_token.record(nanoseconds).ok()?;
            }
            tokens += count(&data, b"\"token_index\"");
            done |= count(&data, b"[DONE]") > 0;
        }
        latencies.tokens += tokens;
        Some(done && tokens == u64::from(self.tokens))
    }
}

fn count(data: &[u8], pattern: &[u8]) -> u64 {
    data.windows(pattern.len())
        .filter(|window| *window == pattern)
        .count() as u64
}
