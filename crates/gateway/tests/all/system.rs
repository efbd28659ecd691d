//! Batch jobs end to end, over real control members, gateways and emulated engines in one process.

use http::Method;
use linnethitch_emulator::answer::{PromptKey, chat_prompt};
use serde_json::{Value, json};

use crate::{
    batch_execution::{at_most_once, results},
    files::{line, lines, upload},
    support::{
        caller::{call, request},
        gateway::{TestGateway, fleet_file, wait_until},
        members::System,
    },
};

const ITEMS: usize = 150;

pub(crate) async fn create(gateway: &TestGateway, content: String) -> String {
    let file = upload(gateway, content).await.json();
    let body = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions",
        "completion_window": "24h"});
    let url = gateway.url("/v1/batches");
    let job = call(request(Method::POST, url, body.to_string())).await;
    job.json()["id"].as_str().expect("a job").to_owned()
}

pub(crate) async fn job(gateway: &TestGateway, id: &str) -> Value {
    let url = gateway.url(&format!("/v1/batches/{id}"));
    call(request(Method::GET, url, "")).await.json()
}

/// Lines whose answers are long.
pub(crate) fn long_lines(count: usize) -> String {
    let lines = (0..count).map(|number| {
        let mut line: Value = serde_json::from_str(&line(&format!("long-{number}"))).expect("JSON");
        line["body"]["min_tokens"] = json!(900);
        line["body"]["max_tokens"] = json!(1000);
        line.to_string() + "\n"
    });
    lines.collect()
}

pub(crate) fn prompt_of(custom_id: &str) -> PromptKey {
    PromptKey::of(&chat_prompt([("user", custom_id)]))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_end_once_each_although_one_is_cancelled_and_a_gateway_is_killed() {
    let content = format!("{}\n[batch]\nlease_ms = 2000\n", fleet_file());
    let system = System::start(2, &content).await;
    let first = TestGateway::attached_as("g1", &system.attach).await;
    let second = TestGateway::attached_as("g2", &system.attach).await;

    let cancelled = create(&first, long_lines(300)).await;
    wait_until("the long job runs", async || {
        system.engines.iter().any(|engine| engine.executions() > 0)
    })
    .await;
    let url = second.url(&format!("/v1/batches/{cancelled}/cancel"));
    call(request(Method::POST, url, "")).await;
    wait_until("the long job is cancelled", async || {
        job(&second, &cancelled).await["status"] == "cancelled"
    })
    .await;
    let counts = job(&first, &cancelled).await["request_counts"].clone();
    wait_until("its runs have ended at the engines", async || {
        let mut engines = system.engines.iter();
        engines.all(|engine| engine.true_load().running_batch == 0)
    })
    .await;

    let content = [at_most_once("tender"), lines(ITEMS)].concat();
    let id = create(&first, content).await;
    wait_until("some items are done", async || {
        let job = job(&second, &id).await;
        job["request_counts"]["completed"].as_u64() >= Some(10)
    })
    .await;
    drop(first);
    wait_until("the job is completed", async || {
        job(&second, &id).await["status"] == "completed"
    })
    .await;
    let job_now = job(&second, &id).await;
    let mut done = results(&second, &job_now, "output_file_id").await;
    let errors = results(&second, &job_now, "error_file_id").await;
    // The at-most-once item ran once, whatever its outcome.
    let runs = system.engines.iter();
    let runs: u64 = runs
        .map(|engine| engine.executions_of_prompt(prompt_of("tender")))
        .sum();
    assert_eq!(runs, 1);
    if done.remove("tender").is_none() {
        assert_eq!(errors["tender"]["error"]["code"], "outcome_unknown");
    }
    assert_eq!(done.len(), ITEMS, "{errors:?}");
    for (custom_id, result) in done {
        let choice = &result["response"]["body"]["choices"][0];
        let text = choice["message"]["content"].as_str().unwrap_or_default();
        let prompt = prompt_of(&custom_id);
        assert_eq!(text, prompt.text(prompt.natural_length()), "{custom_id}");
    }
    let after = job(&second, &cancelled).await["request_counts"].clone();
    assert_eq!(after, counts, "a cancelled job gets no further results");
}
