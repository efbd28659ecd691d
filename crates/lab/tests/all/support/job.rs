//! A batch job of a caller that insists until it is answered.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde_json::{Value, json};

use super::{Answer, Caller, stream::key_of, wait_until};

/// Limit of each answer, in tokens; long enough that a fault finds items in flight.
const MAX_TOKENS: u32 = 64;

/// A job that was accepted.
pub(crate) struct Job {
    pub(crate) id: String,
    file: String,
    key: String,
    items: u32,
}

impl Job {
    /// Uploads an input file and creates a job of it.
    pub(crate) async fn submit(gateway: &Caller, items: u32) -> Job {
        let lines: Vec<String> = (0..items).map(input_line).collect();
        let path = "/v1/files?purpose=batch";
        let headers = [("content-type", "application/jsonl")];
        let uploaded = insist(gateway, "POST", path, &headers, lines.join("\n")).await;
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

    /// Sends the creation, first or again; the id in its answer.
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
        let answer = insist(gateway, "POST", "/v1/batches", &headers, body.to_string()).await;
        answer.json()["id"].as_str().unwrap().to_owned()
    }

    async fn get(&self, gateway: &Caller) -> Value {
        let path = format!("/v1/batches/{}", self.id);
        insist(gateway, "GET", &path, &[], "").await.json()
    }

    /// Waits until some items are completed; the job must not be at its end then.
    pub(crate) async fn wait_until_under_way(&self, gateway: &Caller) {
        wait_until("some items of the job are completed", async || {
            let completed = self.get(gateway).await["request_counts"]["completed"].as_u64();
            assert!(completed < Some(self.items.into()), "the job was too short");
            completed > Some(0)
        })
        .await;
    }

    /// Waits for the end; every item must have its own result, once.
    pub(crate) async fn assert_completes(&self, gateway: &Caller) {
        let mut ended = Value::Null;
        wait_until("the job is completed", async || {
            ended = self.get(gateway).await;
            ended["status"] == "completed"
        })
        .await;
        assert_eq!(ended["request_counts"]["completed"], self.items, "{ended}");
        let path = format!(
            "/v1/files/{}/content",
            ended["output_file_id"].as_str().unwrap()
        );
        let output = insist(gateway, "GET", &path, &[], "").await.text();
        let mut results = BTreeMap::new();
        for line in output.lines() {
            let line: Value = serde_json::from_str(line).unwrap();
            let content = line["response"]["body"]["choices"][0]["message"]["content"].clone();
            let id = line["custom_id"].as_str().unwrap().to_owned();
            let earlier = results.insert(id, content);
            assert!(earlier.is_none(), "a second result: {line}");
        }
        let expected = (0..self.items).map(|item| (custom_id(item), expected(item)));
        assert_eq!(results, expected.collect());
    }
}

fn custom_id(item: u32) -> String {
    format!("item-{item}")
}

fn prompt(item: u32) -> String {
    format!("Price lane {item} of the bundle.")
}

/// The answer that the engines must give.
fn expected(item: u32) -> Value {
    let key = key_of(&prompt(item));
    Value::from(key.text(key.natural_length().min(MAX_TOKENS)))
}

fn input_line(item: u32) -> String {
    let line = json!({
        "custom_id": custom_id(item), "method": "POST", "url": "/v1/chat/completions",
        "body": {
            "model": "quote-writer", "max_tokens": MAX_TOKENS,
            "messages": [{"role": "user", "content": prompt(item)}],
        },
    });
    line.to_string()
}

/// Repeats a call that may be repeated until it succeeds.
async fn insist(
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
