//! Batch jobs from the callers' interface through control to engines.

use std::{collections::BTreeSet, net::SocketAddr};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use linnethitch_config::settings::DEFAULT_SNAPSHOT_LOG_BYTES;
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::{
    back_ends::{MODEL, engine, platform},
    cluster::fleet_file,
    processes::{Answer, TestControl, call, hash, wait_until},
};

const TENANT_KEY: &str = "tenant-key";
const ITEMS: usize = 200;

/// The failure while the job runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lost {
    Nothing,
    LeaderIsolated,
    OneGateway,
}

fn input() -> String {
    let line = |number: usize| {
        let line = json!({
            "custom_id": format!("item-{number}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": "quote",
                "max_tokens": 4,
                "messages": [{"role": "user", "content": format!("lane {number}")}],
            },
        });
        format!("{line}\n")
    };
    (0..ITEMS).map(line).collect()
}

async fn send(address: SocketAddr, method: Method, path: &str, kind: &str, body: String) -> Answer {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {TENANT_KEY}"))
        .header("content-type", kind)
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    call(request).await
}

async fn get(address: SocketAddr, path: &str) -> Answer {
    send(
        address,
        Method::GET,
        path,
        "application/json",
        String::new(),
    )
    .await
}

/// Uploads an input file and creates a job; returns the job's id.
async fn submit(address: SocketAddr) -> String {
    let file = send(
        address,
        Method::POST,
        "/v1/files",
        "application/jsonl",
        input(),
    )
    .await;
    assert_eq!(file.status, StatusCode::OK, "{file:?}");
    let batch = json!({"input_file_id": file.body["id"], "endpoint": "/v1/chat/completions", "completion_window": "24h"});
    let kind = "application/json";
    let job = send(
        address,
        Method::POST,
        "/v1/batches",
        kind,
        batch.to_string(),
    )
    .await;
    assert_eq!(job.status, StatusCode::OK, "{job:?}");
    job.body["id"].as_str().expect("an id").to_owned()
}

#[rstest]
#[case::nothing(Lost::Nothing)]
#[case::the_leader(Lost::LeaderIsolated)]
#[case::one_gateway(Lost::OneGateway)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_item_of_a_job_completes_exactly_once(#[case] lost: Lost) {
    let engines = [engine("e1").await];
    let platform = platform(&engines).await;
    let control = TestControl::start_with(3, platform.address(), DEFAULT_SNAPSHOT_LOG_BYTES).await;
    let tenant = format!(
        "\n[[tenant]]\nname = \"one\"\nkey_sha256 = \"{}\"\n",
        hash(TENANT_KEY)
    );
    let rules = "\n[batch]\nlease_ms = 2000\n";
    let file = fleet_file("batch") + MODEL + &tenant + rules;
    let applied = control.apply(1, "first", 0, &file).await;
    assert_eq!(applied.status, StatusCode::OK, "{applied:?}");
    let folders = [
        TempDir::new().expect("a folder"),
        TempDir::new().expect("a folder"),
    ];
    let remaining = control.gateway(&folders[0], &[1, 2, 3]).await;
    let ending = control
        .gateway_named("gateway-2", &folders[1], &[1, 2, 3])
        .await;
    let address = remaining.address();
    wait_until("the gateway is ready", async || {
        get(address, "/readyz").await.status == StatusCode::OK
    })
    .await;
    let job = submit(address).await;
    let path = format!("/v1/batches/{job}");
    wait_until("items complete", async || {
        get(address, &path).await.body["request_counts"]["completed"].as_u64() > Some(0)
    })
    .await;
    match lost {
        Lost::Nothing => {}
        Lost::LeaderIsolated => control.set_isolated(control.leader().await, true),
        Lost::OneGateway => drop(ending),
    }
    wait_until("the job is complete", async || {
        get(address, &path).await.body["status"] == "completed"
    })
    .await;
    let job = get(address, &path).await.body;
    assert_eq!(
        job["request_counts"],
        json!({"total": ITEMS, "completed": ITEMS, "failed": 0})
    );
    let output = job["output_file_id"].as_str().expect("an output file");
    let content = get(address, &format!("/v1/files/{output}/content"))
        .await
        .body;
    let lines: Vec<Value> = content
        .as_str()
        .expect("lines")
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let ids: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line["custom_id"].as_str())
        .collect();
    assert_eq!((lines.len(), ids.len()), (ITEMS, ITEMS));
}
