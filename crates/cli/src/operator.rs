//! Client of the operators' interface of control.

use std::{future::Future, net::SocketAddr, time::Duration};

use http::Method;
use serde::{Deserialize, Serialize};

use crate::{
    exit::CommandError,
    http_client::{ApiClient, ApiError, ApiRequest, full_body, read_key},
    options::OperatorOptions,
};

/// Delay before the next round after all addresses have failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The configuration in force.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Configuration {
    pub(crate) revision: u64,
    pub(crate) content: String,
}

/// The answer to an accepted change.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Accepted {
    pub(crate) revision: u64,
}

/// An overview of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    pub(crate) revision: u64,
    pub(crate) lowest_in_force: u64,
    pub(crate) highest_in_force: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) replicas: Vec<Replica>,
    /// Missing if the control member runs an earlier build.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) evacuated_zones: Vec<String>,
    pub(crate) open_jobs: u64,
    pub(crate) pending_items: u64,
    pub(crate) leased_items: u64,
}

/// A control member and its disk.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Member {
    pub(crate) machine: u32,
    pub(crate) disk: String,
    pub(crate) voter: bool,
    pub(crate) leader: bool,
    pub(crate) matched: u64,
    pub(crate) silent_ms: u64,
}

/// A gateway and the configuration revision that it has in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Gateway {
    pub(crate) gateway: String,
    pub(crate) revision: u64,
    pub(crate) silent_ms: u64,
}

/// A back-end replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Replica {
    pub(crate) replica: String,
    pub(crate) zone: String,
    pub(crate) serves: String,
    pub(crate) state: String,
}

/// Sends each request to the control members in turn until one answers.
pub(crate) struct OperatorClient {
    clients: Vec<ApiClient>,
}

impl OperatorClient {
    pub(crate) fn new(options: &OperatorOptions) -> Result<Self, CommandError> {
        let key = read_key(&options.key_file)?;
        let client = |address: &SocketAddr| ApiClient::new(*address, key.clone());
        Ok(OperatorClient {
            clients: options.operator.iter().map(client).collect(),
        })
    }

    /// Fetches the configuration in force, by a linearizable read.
    pub(crate) async fn configuration(&self) -> Result<Configuration, ApiError> {
        self.first_answer(|client| client.fetch(ApiRequest::get("/v1/configuration")))
            .await
    }

    /// Fetches an overview of the fleet.
    pub(crate) async fn status(&self) -> Result<Status, ApiError> {
        self.first_answer(|client| client.fetch(ApiRequest::get("/v1/status")))
            .await
    }

    /// Sends a change. Sending the same change again is safe, whatever the outcome of the first
    /// request was.
    pub(crate) async fn apply(&self, change: &Change) -> Result<Accepted, ApiError> {
        self.first_answer(|client| client.fetch(change.request()))
            .await
    }

    /// Repeats a call until it succeeds, fails with an error that is not retryable, or `limit`
    /// has passed.
    pub(crate) async fn retry_for<T, F>(
        &self,
        limit: Duration,
        call: impl Fn() -> F,
    ) -> Result<T, ApiError>
    where
        F: Future<Output = Result<T, ApiError>>,
    {
        let started = tokio::time::Instant::now();
        loop {
            match call().await {
                Err(error) if error.is_retryable() && started.elapsed() < limit => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    async fn first_answer<'a, T, F>(
        &'a self,
        call: impl Fn(&'a ApiClient) -> F,
    ) -> Result<T, ApiError>
    where
        F: Future<Output = Result<T, ApiError>>,
    {
        let mut last_error = None;
        for client in &self.clients {
            match call(client).await {
                Err(error) if error.is_retryable() => last_error = Some(error),
                result => return result,
            }
        }
        Err(last_error.unwrap_or_else(|| unreachable!("the options name at least one address")))
    }
}

/// A change of the configuration; all retries send the same one.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) id: String,
    pub(crate) expected_revision: u64,
    pub(crate) content: String,
}

impl Change {
    fn request(&self) -> ApiRequest {
        ApiRequest {
            method: Method::PUT,
            path: "/v1/configuration".to_owned(),
            headers: vec![
                ("content-type", "application/toml".to_owned()),
                ("linnethitch-change", self.id.clone()),
                (
                    "linnethitch-expected-revision",
                    self.expected_revision.to_string(),
                ),
            ],
            body: full_body(self.content.clone()),
        }
    }
}
