//! A batch job whose caller repeats its requests until they succeed.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde_json::{Value, json};

use super::{Answer, Caller, stream::key_of, wait_until};

/// Limit of each answer, in tokens; long enough that a fault finds items in flight.
const MAX_TOKENS: u32 = 64;

/// How the items of a job may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Run {
    Ordinary,
    AtMostOnce,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemResult {
    /// The text of the item's answer.
    Answered(String),
    /// The code of the item's error.
    Failed(String),
}

/// A job that was accepted.
pub(crate) struct Job {
    pub(crate) id: String,
    file: String,
    key: String,
    items: u32,
}

impl Job {
    /// Uploads an input file and creates a job of it.
    pub(crate) async fn submit(gateway: &Caller, items: u32, run: Run) -> Job {
        let lines = (0..items).map(|item| input_line(item, run));
        let lines: Vec<String> = lines.collect();
        let path = "/v1/files?purpose=batch";
        let headers = [("content-type", "application/jsonl")];
        let uploaded = call_with_retries(gateway, "POST", path, &headers, lines.join("\n")).await;
        let file = uploaded.json()["id"].as_str().unwrap().to_owned();
        let mut job = Job {
            id: String::new(),
            key: format!("job-of-{file}"),
            file,
            items,
        };
        job.id = job.create(gateway).await;
        job
    }

    /// Sends the creation, for the first time or again; returns the job id of the answer.
    pub(crate) async fn create(&self, gateway: &Caller) -> String {
        let body = json!({
            "input_file_id": self.file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        let headers = [
            ("content-type", "application/json"),
            ("idempotency-key", self.key.as_str()),
        ];
        let answer =
            call_with_retries(gateway, "POST", "/v1/batches", &headers, body.to_string()).await;
        answer.json()["id"].as_str().unwrap().to_owned()
    }

    async fn get(&self, gateway: &Caller) -> Value {
        let path = format!("/v1/batches/{}", self.id);
        call_with_retries(gateway, "GET", &path, &[], "")
            .await
            .json()
    }

    /// Waits until some items are completed; fails if all of them are.
    pub(crate) async fn wait_until_in_progress(&self, gateway: &Caller) {
        wait_until("some items of the job are completed", async || {
            let completed = self.get(gateway).await["request_counts"]["completed"].as_u64();
            assert!(completed < Some(self.items.into()), "the job was too short");
            completed > Some(0)
        })
        .await;
    }

    /// Cancels the job; once this is answered, the results are final.
    pub(crate) async fn cancel(&self, gateway: &Caller) {
        let path = format!("/v1/batches/{}/cancel", self.id);
        call_with_retries(gateway, "POST", &path, &[], "").await;
    }

    /// Waits until the job has the status `end` and returns its results by item; fails if an item
    /// has more than one.
    pub(crate) async fn results(
        &self,
        gateway: &Caller,
        end: &str,
    ) -> BTreeMap<String, ItemResult> {
        let mut final_state = Value::Null;
        wait_until(end, async || {
            final_state = self.get(gateway).await;
            final_state["status"] == end
        })
        .await;
        let mut results = BTreeMap::new();
        for member in ["output_file_id", "error_file_id"] {
            let Some(file) = final_state[member].as_str() else {
                continue;
            };
            let path = format!("/v1/files/{file}/content");
            let content = call_with_retries(gateway, "GET", &path, &[], "")
                .await
                .text();
            for line in content.lines() {
                let line: Value = serde_json::from_str(line).unwrap();
                let id = line["custom_id"].as_str().unwrap().to_owned();
                let earlier = results.insert(id, result_of(&line));
                assert!(earlier.is_none(), "a second result: {line}");
            }
        }
        let counts = &final_state["request_counts"];
        let counted = counts["completed"].as_u64().unwrap() + counts["failed"].as_u64().unwrap();
        assert_eq!(counted, results.len() as u64, "{final_state}");
        results
    }

    /// Waits for the completion of the job; every item must have its own answer.
    pub(crate) async fn assert_completes(&self, gateway: &Caller) {
        let expected = (0..self.items).map(|item| (custom_id(item), expected(item)));
        let results = self.results(gateway, "completed").await;
        assert_eq!(results, expected.collect());
    }

    /// Waits for the completion of the job; every item must have been started at most once, and
    /// have its own answer or an unknown outcome.
    pub(crate) async fn assert_ran_at_most_once(&self, gateway: &Caller, engines: &[Caller]) {
        let results = self.results(gateway, "completed").await;
        assert_eq!(results.len(), self.items as usize);
        let unknown = ItemResult::Failed("outcome_unknown".to_owned());
        let in_flight = results.values().any(|result| *result == unknown);
        assert!(in_flight, "no item was in flight at the loss");
        for item in 0..self.items {
            let result = &results[&custom_id(item)];
            assert!(
                *result == expected(item) || *result == unknown,
                "{result:?}"
            );
            let mut started = 0;
            for engine in engines {
                started += engine.executions_of(key_of(&prompt(item))).await;
            }
            assert!(started <= 1, "item {item} was started {started} times");
        }
    }
}

fn result_of(line: &Value) -> ItemResult {
    let body = &line["response"]["body"];
    match body["choices"][0]["message"]["content"].as_str() {
        Some(text) => ItemResult::Answered(text.to_owned()),
        None => {
            let codes = [&line["error"]["code"], &body["error"]["code"]];
            let code = codes.into_iter().find_map(Value::as_str);
            ItemResult::Failed(code.unwrap_or_default().to_owned())
        }
    }
}

fn custom_id(item: u32) -> String {
    format!("item-{item}")
}

fn prompt(item: u32) -> String {
    format!("Price lane {item} of the bundle.")
}

/// The expected answer of the engines.
fn expected(item: u32) -> ItemResult {
    let key = key_of(&prompt(item));
    ItemResult::Answered(key.text(key.natural_length().min(MAX_TOKENS)))
}

fn input_line(item: u32, run: Run) -> String {
    let mut line = json!({
        "custom_id": custom_id(item), "method": "POST", "url": "/v1/chat/completions",
        "body": {
            "model": "quote-writer", "max_tokens": MAX_TOKENS,
            "messages": [{"role": "user", "content": prompt(item)}],
        },
    });
    if run == Run::AtMostOnce {
        line["run"] = json!("at-most-once");
    }
    line.to_string()
}

/// Repeats a call until it succeeds; panics if it is refused with a client error.
async fn call_with_retries(
    gateway: &Caller,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Answer {
    let body = body.into();
    let mut succeeded = None;
    wait_until(path, async || {
        let answer = gateway.try_ask(method, path, headers, body.clone()).await;
        if let Some(refused) = answer
            .as_ref()
            .filter(|answer| answer.status.is_client_error())
        {
            panic!("{method} {path}: {}", refused.text());
        }
        succeeded = answer.filter(|answer| answer.status.is_success());
        succeeded.is_some()
    })
    .await;
    succeeded.unwrap()
}
