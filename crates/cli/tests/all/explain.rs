//! `explain` merges journals in the order of time.

use crate::{
    program::Workplace,
    scripted_server::{Reply, ScriptedServer, dead_address},
};

const CONTROL: &str = r#"{"records":[
    {"time_ms": 1000, "kind": "lease", "job": "batch_1", "item": 17, "reason": "idle_capacity"},
    {"time_ms": 3000, "kind": "lease", "job": "batch_1", "item": 17, "reason": "completed"}
]}"#;
const GATEWAY: &str = r#"{"records":[
    {"time_ms": 2000, "kind": "choice", "job": "batch_1", "item": 17, "replica": "engine-1",
     "reason": "lowest_wait", "outcome": "engine-1", "considered": [
        {"replica": "engine-1", "score": 1.25}, {"replica": "engine-2", "excluded": "leaving"}]}
]}"#;

#[test]
fn journals_are_merged_by_time_and_an_unreachable_one_is_named() {
    let workplace = Workplace::new();
    let control = ScriptedServer::start(&[("GET /v1/explain/batch_1/17", &[Reply::ok(CONTROL)])]);
    let gateway = ScriptedServer::start(&[("GET /v1/explain/batch_1/17", &[Reply::ok(GATEWAY)])]);
    let gateway_address = gateway.address.to_string();
    let flags = ["--gateway", gateway_address.as_str(), "batch_1/17"];
    let finished = workplace.operate("explain", &[control.address, dead_address()], &flags);
    assert_eq!(finished.status, 0, "{finished:?}");
    let lines: Vec<&str> = finished.output.lines().collect();
    assert!(
        lines[0].starts_with("1970-01-01T00:00:01.000Z"),
        "{lines:?}"
    );
    assert!(
        lines[1].contains("Choice: lowest_wait job=batch_1 item=17 replica=engine-1 -> engine-1")
    );
    assert_eq!(lines[2].trim(), "engine-1  score 1.25");
    assert_eq!(lines[3].trim(), "engine-2  left out: leaving");
    assert!(lines[4].contains("completed"));
    assert!(finished.errors.contains("refused"));
}

#[test]
fn nothing_known_has_a_status_of_its_own() {
    let workplace = Workplace::new();
    let server =
        ScriptedServer::start(&[("GET /v1/explain/req_1", &[Reply::ok(r#"{"records":[]}"#)])]);
    let finished = workplace.operate("explain", &[server.address], &["req_1"]);
    assert_eq!(finished.status, 7, "{finished:?}");
}
