//! Batch jobs through the callers' interface.

use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};

use crate::{
    files::{lines, start, upload},
    support::{
        caller::{Answer, call, request},
        gateway::{TestGateway, wait_until},
    },
};

async fn input_file(gateway: &TestGateway, count: usize) -> String {
    let answer = upload(gateway, lines(count)).await;
    answer.json()["id"].as_str().expect("an id").to_owned()
}

async fn create(gateway: &TestGateway, body: &Value, key: Option<&str>) -> Answer {
    let mut message = request(Method::POST, gateway.url("/v1/batches"), body.to_string());
    if let Some(key) = key {
        message
            .headers_mut()
            .insert("idempotency-key", key.parse().expect("a value"));
    }
    call(message).await
}

fn batch(file: &str) -> Value {
    json!({"input_file_id": file, "endpoint": "/v1/chat/completions", "completion_window": "24h",
        "metadata": {"lane": "Worcester"}})
}

#[tokio::test]
async fn a_job_has_the_shape_of_the_openai_interface() {
    let (_control, gateway) = start().await;
    let file = input_file(&gateway, 3).await;
    let answer = create(&gateway, &batch(&file), None).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let job = answer.json();
    assert_eq!(job["object"], "batch");
    assert_eq!(job["status"], "in_progress");
    assert_eq!(job["input_file_id"], file);
    assert_eq!(job["completion_window"], "24h");
    assert_eq!(
        job["request_counts"],
        json!({"total": 3, "completed": 0, "failed": 0})
    );
    assert_eq!(job["metadata"], json!({"lane": "Worcester"}));
    assert_eq!(job["output_file_id"], Value::Null);
    let id = job["id"].as_str().expect("an id");
    let got = call(request(
        Method::GET,
        gateway.url(&format!("/v1/batches/{id}")),
        "",
    ))
    .await;
    assert_eq!(got.json(), job);
    let listed = call(request(Method::GET, gateway.url("/v1/batches?limit=1"), ""))
        .await
        .json();
    assert_eq!(listed["data"][0]["id"], id);
    let url = gateway.url(&format!("/v1/batches/{id}/cancel"));
    let cancelled = call(request(Method::POST, url, "")).await.json();
    assert_eq!(cancelled["status"], "cancelled");
}

#[tokio::test]
async fn a_resent_job_is_the_same_job() {
    let (control, gateway) = start().await;
    let file = input_file(&gateway, 3).await;
    let first = create(&gateway, &batch(&file), Some("key-1")).await.json();
    control.shared.lose_answers(1);
    let again = create(&gateway, &batch(&file), Some("key-1")).await.json();
    assert_eq!(first["id"], again["id"]);
    let mut other = batch(&file);
    other["completion_window"] = json!("1h");
    let conflict = create(&gateway, &other, Some("key-1")).await;
    assert_eq!(conflict.error_code(), "idempotency_conflict");
    let listed = call(request(Method::GET, gateway.url("/v1/batches"), ""))
        .await
        .json();
    assert_eq!(listed["data"].as_array().map(Vec::len), Some(1));
}

#[rstest]
#[case::unknown_file(json!({"input_file_id": "file-q", "endpoint": "/v1/chat/completions"}), 404, "not_found")]
#[case::no_file(json!({"endpoint": "/v1/chat/completions"}), 400, "malformed_request")]
#[case::other_endpoint(json!({"input_file_id": "FILE", "endpoint": "/v1/models"}), 400, "invalid_value")]
#[case::bad_window(json!({"input_file_id": "FILE", "endpoint": "/v1/chat/completions", "completion_window": "soon"}), 400, "invalid_value")]
#[tokio::test]
async fn a_wrong_job_is_refused(#[case] mut body: Value, #[case] status: u16, #[case] code: &str) {
    let (_control, gateway) = start().await;
    if body["input_file_id"] == "FILE" {
        body["input_file_id"] = json!(input_file(&gateway, 1).await);
    }
    let answer = create(&gateway, &body, None).await;
    assert_eq!(
        (answer.status.as_u16(), answer.error_code().as_str()),
        (status, code),
        "{answer:?}"
    );
    assert_eq!(answer.header("linnethitch-executed"), "no");
}

#[tokio::test]
async fn without_control_a_job_is_refused_as_not_executed() {
    let (control, gateway) = start().await;
    let file = input_file(&gateway, 1).await;
    drop(control);
    // A call over a connection whose loss is not yet noticed would have an unknown outcome.
    wait_until("the loss is noticed", async || {
        let metrics = call(request(Method::GET, gateway.url("/metrics"), "")).await;
        String::from_utf8_lossy(&metrics.body).contains("linnethitch_control_attached 0\n")
    })
    .await;
    let answer = create(&gateway, &batch(&file), None).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.error_code(), "control_unavailable");
    assert_eq!(answer.header("linnethitch-executed"), "no");
    assert!(!answer.header("retry-after").is_empty());
}
