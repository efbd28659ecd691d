//! Uploads, records and contents of batch files.

use std::sync::Arc;

use http::{Method, StatusCode};
use linnethitch_protocol::{
    ids::TenantId,
    query::{Query, QueryAnswer},
};
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support::{
    caller::{Answer, call, request},
    control::{FakeControl, Shared},
    gateway::{KEY, TestGateway, fleet_file},
};

/// A valid batch line.
pub(crate) fn line(custom_id: &str) -> String {
    json!({"custom_id": custom_id, "method": "POST", "url": "/v1/chat/completions",
        "body": {"model": "m", "messages": [{"role": "user", "content": custom_id}]}})
    .to_string()
}

/// A file of valid batch lines.
pub(crate) fn lines(count: usize) -> String {
    (0..count)
        .map(|number| line(&format!("item-{number}")) + "\n")
        .collect()
}

/// Starts a control and a gateway that is attached to it.
pub(crate) async fn start() -> (FakeControl, TestGateway) {
    let control = FakeControl::start(Shared::new(&fleet_file(), Vec::new())).await;
    let gateway = TestGateway::attached(&[control.address]).await;
    (control, gateway)
}

/// Uploads a raw JSONL body.
pub(crate) async fn upload(gateway: &TestGateway, content: impl Into<String>) -> Answer {
    let mut message = request(
        Method::POST,
        gateway.url("/v1/files?filename=in.jsonl"),
        content.into(),
    );
    message.headers_mut().insert(
        "content-type",
        "application/jsonl".parse().expect("a value"),
    );
    call(message).await
}

fn finished_files(shared: &Arc<Shared>) -> usize {
    let query = Query::Files {
        tenant: TenantId::from("one"),
        after: None,
        limit: 100,
    };
    match shared.query(&query) {
        Ok(QueryAnswer::Files { files, .. }) => files.len(),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn an_upload_is_stored_unchanged() {
    let (_control, gateway) = start().await;
    let content = lines(3_000);
    let answer = upload(&gateway, content.clone()).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let file = answer.json();
    assert_eq!(file["object"], "file");
    assert_eq!(file["bytes"], content.len());
    assert_eq!(file["purpose"], "batch");
    assert_eq!(file["filename"], "in.jsonl");
    let id = file["id"].as_str().expect("an id");
    let got = call(request(
        Method::GET,
        gateway.url(&format!("/v1/files/{id}")),
        "",
    ))
    .await;
    assert_eq!(got.json()["id"], id);
    let read = call(request(
        Method::GET,
        gateway.url(&format!("/v1/files/{id}/content")),
        "",
    ))
    .await;
    assert_eq!(read.body, content);
    let listed = call(request(Method::GET, gateway.url("/v1/files"), ""))
        .await
        .json();
    assert_eq!(listed["data"][0]["id"], id);
    assert_eq!(listed["has_more"], false);
    let deleted = call(request(
        Method::DELETE,
        gateway.url(&format!("/v1/files/{id}")),
        "",
    ))
    .await;
    assert_eq!(deleted.json()["deleted"], true);
    let missing = call(request(
        Method::GET,
        gateway.url(&format!("/v1/files/{id}")),
        "",
    ))
    .await;
    assert_eq!(missing.error_code(), "not_found");
}

fn form(parts: &[(&str, Option<&str>, &str)], end: &str) -> String {
    let mut body = String::new();
    for (name, filename, content) in parts {
        body += &format!("--frontier\r\nContent-Disposition: form-data; name=\"{name}\"");
        if let Some(filename) = filename {
            body += &format!("; filename=\"{filename}\"\r\nContent-Type: application/octet-stream");
        }
        body += &format!("\r\n\r\n{content}\r\n");
    }
    body + end
}

async fn upload_form(gateway: &TestGateway, body: String) -> Answer {
    let mut message = request(Method::POST, gateway.url("/v1/files"), body);
    let value = "multipart/form-data; boundary=frontier"
        .parse()
        .expect("a value");
    message.headers_mut().insert("content-type", value);
    call(message).await
}

#[rstest]
#[case::purpose_first(&["purpose", "file"])]
#[case::file_first(&["file", "purpose"])]
#[tokio::test]
async fn form_fields_are_accepted_in_any_order(#[case] order: &[&str]) {
    let (_control, gateway) = start().await;
    let content = lines(3);
    let parts: Vec<_> = order
        .iter()
        .map(|name| match *name {
            "file" => ("file", Some("dir/in.jsonl"), content.as_str()),
            _ => ("purpose", None, "batch"),
        })
        .collect();
    let answer = upload_form(&gateway, form(&parts, "--frontier--\r\n")).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.json()["filename"], "in.jsonl");
    assert_eq!(answer.json()["bytes"], content.len());
}

#[rstest]
#[case::no_file(&[("purpose", None, "batch")], "--frontier--\r\n", "invalid_value")]
#[case::other_purpose(&[("purpose", None, "vision"), ("file", Some("f"), "x")], "--frontier--\r\n", "invalid_value")]
#[case::other_purpose_after_the_file(&[("file", Some("f"), "LINE"), ("purpose", None, "vision")], "--frontier--\r\n", "invalid_value")]
#[case::cut_off(&[("purpose", None, "batch"), ("file", Some("f"), "LINE")], "", "truncated_upload")]
#[tokio::test]
async fn an_invalid_form_is_refused_and_stores_nothing(
    #[case] parts: &[(&str, Option<&str>, &str)],
    #[case] end: &str,
    #[case] code: &str,
) {
    let (control, gateway) = start().await;
    let valid = line("item") + "\n";
    let parts: Vec<_> = parts
        .iter()
        .map(|(name, filename, content)| {
            (
                *name,
                *filename,
                if *content == "LINE" {
                    valid.as_str()
                } else {
                    *content
                },
            )
        })
        .collect();
    let answer = upload_form(&gateway, form(&parts, end)).await;
    assert_eq!(answer.error_code(), code, "{answer:?}");
    assert_eq!(answer.header("linnethitch-executed"), "no");
    assert_eq!(finished_files(&control.shared), 0);
}

/// Line 17 is invalid, and the error message names it.
#[rstest]
#[case::not_json("{", "invalid_batch_line")]
#[case::no_custom_id(
    r#"{"method":"POST","url":"/v1/chat/completions","body":{}}"#,
    "invalid_batch_line"
)]
#[case::empty_custom_id(&line(""), "invalid_batch_line")]
#[case::duplicate(&line("item-3"), "duplicate_custom_id")]
#[case::get(&line("x").replace("POST", "GET"), "invalid_batch_line")]
#[case::other_url(&line("x").replace("/v1/chat/completions", "/v1/models"), "invalid_batch_line")]
#[case::unknown_model(&line("x").replace("\"m\"", "\"q\""), "invalid_batch_line")]
#[case::no_messages(&line("x").replace("messages", "massages"), "invalid_batch_line")]
#[case::streaming(&line("x").replace("\"model\"", "\"stream\":true,\"model\""), "invalid_batch_line")]
#[case::unknown_run_mode(&line("x").replace("\"method\"", "\"run\":\"twice\",\"method\""), "invalid_batch_line")]
#[case::too_long(&line(&"x".repeat(70_000)), "invalid_batch_line")]
#[tokio::test]
async fn an_invalid_line_is_named_and_nothing_is_stored(#[case] bad: &str, #[case] code: &str) {
    let (control, gateway) = start().await;
    let mut all: Vec<String> = (0..30)
        .map(|number| line(&format!("item-{number}")))
        .collect();
    all[16] = bad.to_owned();
    let answer = upload(&gateway, all.join("\n")).await;
    assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{answer:?}");
    assert_eq!(answer.error_code(), code);
    let message = answer.json()["error"]["message"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    assert!(message.contains("line 17"), "{message}");
    assert_eq!(finished_files(&control.shared), 0);
}

#[rstest]
#[case::empty("", "invalid_value")]
#[case::blank("\n\n", "invalid_value")]
#[tokio::test]
async fn a_file_without_lines_is_refused(#[case] content: &str, #[case] code: &str) {
    let (_control, gateway) = start().await;
    assert_eq!(upload(&gateway, content).await.error_code(), code);
}

#[tokio::test]
async fn blank_lines_and_a_missing_last_line_feed_are_accepted() {
    let (_control, gateway) = start().await;
    let content = format!("{}\r\n\n{}", line("one"), line("two"));
    let answer = upload(&gateway, content).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

/// A body that ends before its announced length must not be answered with success.
#[tokio::test]
async fn a_truncated_upload_stores_nothing() {
    let (control, gateway) = start().await;
    let mut connection = tokio::net::TcpStream::connect(gateway.address)
        .await
        .expect("connected");
    let head = format!(
        "POST /v1/files HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Type: application/jsonl\r\nContent-Length: 100000\r\n\r\n{}",
        lines(20)
    );
    connection.write_all(head.as_bytes()).await.expect("sent");
    connection.shutdown().await.expect("half closed");
    let mut answer = String::new();
    let _ = connection.read_to_string(&mut answer).await;
    assert!(!answer.contains(" 200 "), "{answer}");
    assert_eq!(finished_files(&control.shared), 0);
}

/// An upload without further bytes ends with an error after the limit.
#[tokio::test]
async fn a_stalled_upload_times_out() {
    let (control, gateway) = start().await;
    let mut connection = tokio::net::TcpStream::connect(gateway.address)
        .await
        .expect("connected");
    let head = format!(
        "POST /v1/files HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Type: application/jsonl\r\nContent-Length: 100000\r\n\r\n{}",
        lines(2)
    );
    connection.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 4096];
    let read = connection.read(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(answer.contains(" 408 "), "{answer}");
    assert_eq!(finished_files(&control.shared), 0);
}

#[tokio::test]
async fn an_upload_survives_lost_answers_of_control() {
    let (control, gateway) = start().await;
    control.shared.lose_answers(3);
    let content = lines(50);
    let answer = upload(&gateway, content.clone()).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.json()["bytes"], content.len());
    assert_eq!(finished_files(&control.shared), 1);
}
