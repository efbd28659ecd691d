//! Journal records and metrics of the decisions of a gateway.

use std::{fs, path::PathBuf};

use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::Value;

use crate::support::{
    caller::{Answer, call, chat, request},
    engine::{FakeEngine, Script, Step},
    gateway::{KEY, LIMITED_KEY, OPERATOR_KEY, TestGateway},
};

/// Number of routes in the HTTP interface for callers.
const ENDPOINTS: usize = 18;

pub(crate) async fn explain(gateway: &TestGateway, id: &str, key: &str) -> Vec<Value> {
    let mut message = request(Method::GET, gateway.url(&format!("/v1/explain/{id}")), "");
    let bearer = format!("Bearer {key}").parse().expect("a value");
    message.headers_mut().insert("authorization", bearer);
    let answer = call(message).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    answer.json()["records"]
        .as_array()
        .expect("records")
        .clone()
}

fn reasons(records: &[Value]) -> Vec<&str> {
    let reasons = records.iter().map(|record| record["reason"].as_str());
    reasons.map(|reason| reason.expect("a reason")).collect()
}

async fn send_chat(gateway: &TestGateway) -> (Answer, String) {
    let answer = call(chat(gateway.url("/v1/chat/completions"), false)).await;
    let id = answer.header("x-request-id").to_owned();
    (answer, id)
}

#[rstest]
#[case::answered(vec![], &["shortest_wait", "answered"])]
#[case::resumed(vec![Script::Stream(vec![Step::Token(0), Step::Break])],
    &["shortest_wait", "resumed_elsewhere", "shortest_wait", "answered"])]
#[case::rejected(vec![Script::Status(400, vec![], "no")], &["shortest_wait", "final_answer", "invalid_value"])]
#[tokio::test]
async fn the_journal_records_each_decision_about_a_request(
    #[case] scripts: Vec<Script>,
    #[case] expected: &[&str],
) {
    let engine = FakeEngine::start(scripts).await;
    let gateway = TestGateway::start(&[engine.address]).await;
    let (_, id) = send_chat(&gateway).await;
    let records = explain(&gateway, &id, KEY).await;
    let recorded = reasons(&records);
    assert_eq!(recorded, expected);
    assert!(records.iter().all(|record| record["request"] == *id));
    assert_eq!(
        records[0]["replica"].as_str().map(|name| &name[..7]),
        Some("engine-")
    );
    let other = explain(&gateway, &id, LIMITED_KEY).await;
    assert_eq!(other.len(), 0, "another tenant's request");
    let operator = explain(&gateway, &id, OPERATOR_KEY).await;
    assert_eq!(operator, records);
}

#[tokio::test]
async fn refusals_are_recorded_and_counted() {
    let engine = FakeEngine::start(Vec::new()).await;
    let gateway = TestGateway::start(&[engine.address]).await;
    let bearer = format!("Bearer {LIMITED_KEY}");
    let mut refused = None;
    for _ in 0..3 {
        let mut message = chat(gateway.url("/v1/chat/completions"), false);
        let value = bearer.parse().expect("a value");
        message.headers_mut().insert("authorization", value);
        let answer = call(message).await;
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            refused = Some(answer);
        }
    }
    let refused = refused.expect("the limit is one request per second");
    let id = refused.header("x-request-id");
    let records = explain(&gateway, id, LIMITED_KEY).await;
    assert_eq!(reasons(&records), ["request_rate"]);
    let metrics = call(request(Method::GET, gateway.url("/metrics"), "")).await;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    for sample in [
        "linnethitch_refusals_total{reason=\"request_rate\"}",
        "linnethitch_answers_total{endpoint=\"chat_completions\",outcome=\"ok\"}",
        "linnethitch_first_token_seconds_count{class=\"online\"}",
        "linnethitch_tokens_total{class=\"online\"}",
        "linnethitch_running{class=\"online\"} 0",
        "linnethitch_queue_length 0",
    ] {
        assert!(text.contains(sample), "{sample} is not in\n{text}");
    }
}

#[test]
fn the_reference_page_lists_the_metrics_of_the_code() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/reference/metrics.md");
    let page = fs::read_to_string(page).expect("the page");
    let (_, section) = page.split_once("## Gateway").expect("the section");
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows: Vec<&str> = section
        .lines()
        .filter(|line| line.starts_with("| `linnethitch_"))
        .collect();
    let described = linnethitch_gateway::metric_descriptions();
    let expected: Vec<String> = described
        .iter()
        .map(|metric| format!("| `{}` | {} | {} |", metric.name, metric.kind, metric.help))
        .collect();
    assert_eq!(
        rows,
        expected,
        "put these rows into the page:\n{}",
        expected.join("\n")
    );
}

/// An example path for a route of the reference page.
fn example(path: &str) -> String {
    path.replace("{id}", "x").replace("{name}/…", "tariffs/x")
}

#[tokio::test]
async fn the_reference_page_lists_calls_that_exist() {
    let page =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/reference/callers-interface.md");
    let page = fs::read_to_string(page).expect("the page");
    let gateway = TestGateway::start(&[]).await;
    let calls = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let calls = calls.filter_map(|row| row.split_once('`')?.0.split_once(" /"));
    let calls: Vec<_> = calls.collect();
    assert_eq!(calls.len(), ENDPOINTS);
    let checks = calls.into_iter().map(async |(method, path)| {
        let method = if method == "ANY" { "PUT" } else { method };
        let method = method.parse().expect("a method");
        let url = gateway.url(&example(&format!("/{path}")));
        let answer = call(request(method, url, "")).await;
        let message = String::from_utf8_lossy(&answer.body).into_owned();
        assert_ne!(answer.status, StatusCode::METHOD_NOT_ALLOWED, "{path}");
        assert!(!message.contains("no such path"), "{path}: {message}");
    });
    futures_util::future::join_all(checks).await;
}
