//! Client of the operators' interface of control.

use std::{future::Future, net::SocketAddr, time::Duration};

use http::Method;
use serde::{Deserialize, Serialize};

use crate::{
    exit::CommandError,
    http_client::{ApiClient, ApiError, ApiRequest, read_key, whole_body},
    options::OperatorOptions,
};

/// Pause after every address was tried in vain.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

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

/// The fleet at a glance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    pub(crate) revision: u64,
    pub(crate) lowest_in_force: u64,
    pub(crate) highest_in_force: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) replicas: Vec<Replica>,
    /// Missing where control is of an earlier build.
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

/// A gateway and what it has in force.
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

/// Asks control members in turn until one answers.
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

    /// The configuration in force, after a confirmed read.
    pub(crate) async fn configuration(&self) -> Result<Configuration, ApiError> {
        self.first_answer(|client| client.fetch(ApiRequest::get("/v1/configuration")))
            .await
    }

    /// The fleet at a glance.
    pub(crate) async fn status(&self) -> Result<Status, ApiError> {
        self.first_answer(|client| client.fetch(ApiRequest::get("/v1/status")))
            .await
    }

    /// Sends a change. The same change may be sent again whatever became of the first.
    pub(crate) async fn apply(&self, change: &Change) -> Result<Accepted, ApiError> {
        self.first_answer(|client| client.fetch(change.request()))
            .await
    }

    /// Repeats a call until it succeeds, fails for good, or the time is over.
    pub(crate) async fn retrying<T, F>(
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
                    tokio::time::sleep(RETRY_PAUSE).await;
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
        let mut last = None;
        for client in &self.clients {
            match call(client).await {
                Err(error) if error.is_retryable() => last = Some(error),
                result => return result,
            }
        }
        Err(last.unwrap_or_else(|| unreachable!("the options name at least one address")))
    }
}

/// A change of the configuration, the same over all retries.
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
            body: whole_body(self.content.clone()),
        }
    }
}
