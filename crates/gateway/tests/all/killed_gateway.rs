//! An at-most-once item whose gateway is killed, over real control members, gateways and emulated
//! engines in one process.

use http::Method;
use rstest::rstest;
use serde_json::{Value, json};

use crate::{
    batch_execution::{at_most_once, results},
    explain::explain,
    files::{lines, upload},
    support::{
        caller::{call, call_until_accepted, request},
        gateway::{OPERATOR_KEY, TestGateway, fleet_file, wait_until},
        members::System,
    },
    system::{long_lines, prompt_of},
};

const ITEMS: usize = 150;

/// Creates a job. The call is repeated under one idempotency key until it is accepted.
async fn create(gateway: &TestGateway, name: &str, content: String) -> String {
    let file = call_until_accepted(async || upload(gateway, content.clone()).await).await;
    let body = json!({"input_file_id": file.json()["id"], "endpoint": "/v1/chat/completions",
        "completion_window": "24h"});
    let job = call_until_accepted(async || {
        let url = gateway.url("/v1/batches");
        let mut message = request(Method::POST, url, body.to_string());
        let key = name.parse().expect("a value");
        message.headers_mut().insert("idempotency-key", key);
        call(message).await
    });
    job.await.json()["id"].as_str().expect("a job").to_owned()
}

async fn job(gateway: &TestGateway, id: &str) -> Value {
    let url = gateway.url(&format!("/v1/batches/{id}"));
    let read = call_until_accepted(async || call(request(Method::GET, url.clone(), "")).await);
    read.await.json()
}

/// When the gateway of the at-most-once item is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    /// Once the item has run, or its lease has ended.
    AfterItsRun,
    /// At any moment, also between the record of the item's start and its send. Then the item is
    /// lost: its outcome is reported as unknown, and no other gateway runs it.
    AtAnyMoment,
}

/// Whether the lease of a job's first item ended before its gateway reported a result. If the
/// start of an at-most-once item was already recorded, its outcome is then reported as unknown and
/// no gateway runs it. On a loaded machine a lease of two seconds has ended between the record and
/// the send.
async fn lease_of_first_item_ended(gateway: &TestGateway, job: &str) -> bool {
    let records = explain(gateway, job, OPERATOR_KEY).await;
    let mut records = records.iter();
    records.any(|record| record["item"] == 0 && record["reason"] == "lease_ended")
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_that_may_run_once_is_told_truly_when_its_gateway_is_killed(
    #[values(Killed::AfterItsRun, Killed::AtAnyMoment)] killed: Killed,
) {
    let content = format!("{}\n[batch]\nlease_ms = 2000\n", fleet_file());
    let system = System::start(2, &content).await;
    let first = TestGateway::attached_as("g1", &system.attach).await;
    let second = TestGateway::attached_as("g2", &system.attach).await;

    let cancelled = create(&first, "long", long_lines(300)).await;
    wait_until("the long job runs", async || {
        system.engines.iter().any(|engine| engine.executions() > 0)
    })
    .await;
    call_until_accepted(async || {
        let url = second.url(&format!("/v1/batches/{cancelled}/cancel"));
        call(request(Method::POST, url, "")).await
    })
    .await;
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
    let id = create(&first, "short", content).await;
    wait_until("some items are done", async || {
        let job = job(&second, &id).await;
        job["request_counts"]["completed"].as_u64() >= Some(10)
    })
    .await;
    let tender_runs = || -> u64 {
        let engines = system.engines.iter();
        let runs = engines.map(|engine| engine.executions_of_prompt(prompt_of("tender")));
        runs.sum()
    };
    let mut lease_ended = false;
    if killed == Killed::AfterItsRun {
        wait_until("the tender has run, or its lease ended", async || {
            for gateway in [&first, &second] {
                lease_ended |= lease_of_first_item_ended(gateway, &id).await;
            }
            tender_runs() == 1 || lease_ended
        })
        .await;
    }
    drop(first);
    wait_until("the job is completed", async || {
        job(&second, &id).await["status"] == "completed"
    })
    .await;
    let job_now = job(&second, &id).await;
    let mut done = results(&second, &job_now, "output_file_id").await;
    let errors = results(&second, &job_now, "error_file_id").await;
    let runs = tender_runs();
    match done.remove("tender") {
        Some(_) => assert_eq!(runs, 1),
        None => assert_eq!(errors["tender"]["error"]["code"], "outcome_unknown"),
    }
    match killed {
        Killed::AfterItsRun if !lease_ended => assert_eq!(runs, 1),
        _ => assert!(runs <= 1, "it ran {runs} times"),
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
