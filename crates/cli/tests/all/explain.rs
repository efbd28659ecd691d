//! `explain` merges journals and log files in order of time.

use std::fs;

use rstest::rstest;

use crate::{
    program::{Finished, Workplace, run},
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
fn an_unknown_id_has_its_own_exit_status() {
    let workplace = Workplace::new();
    let server =
        ScriptedServer::start(&[("GET /v1/explain/req_1", &[Reply::ok(r#"{"records":[]}"#)])]);
    let finished = workplace.operate("explain", &[server.address], &["req_1"]);
    assert_eq!(finished.status, 7, "{finished:?}");
}

/// Log lines of a control member and of two gateways whose clocks are 5 s ahead and 2 s
/// behind; the second gateway shares no version with the control member.
const CONTROL_LOG: &str = r#"
{"time":"2026-12-02T10:00:01.000Z","level":"info","message":"configuration","version":5,"held":"Ok(5)"}
{"time":"2026-12-02T10:00:05.000Z","level":"info","message":"configuration","version":6,"held":"Err(Unavailable)"}
{"time":"2026-12-02T10:00:09.000Z","level":"info","message":"configuration","version":7,"held":"Ok(7)"}
"#;
const FIRST_LOG: &str = r#"
  1.004 front-1 {"time":"2026-12-02T10:00:06.004Z","level":"info","message":"fleet changed","version":5}
{"time":"2026-12-02T10:00:08.200Z","level":"info","message":"request: send failed","request":"r-1","runs":1}
not a line of a node
{"time":"2026-12-02T10:00:11.100Z","level":"info","message":"fleet changed","version":6}
{"time":"2026-12-02T10:00:14.004Z","level":"info","message":"fleet changed","version":7}
"#;
const SECOND_LOG: &str = r#"
{"time":"2026-12-02T10:00:01.700Z","level":"info","message":"request: served","request":"r-1","ms":9}
{"time":"2026-12-02T10:00:01.800Z","level":"info","message":"request: served","request":"r-2","ms":9}
{"time":"2026-12-02T10:00:04.100Z","level":"info","message":"fleet changed","version":6}
"#;

fn explain_logs(id: &str, more: &[&str]) -> Finished {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, text) in [
        ("control", CONTROL_LOG),
        ("front-1", FIRST_LOG),
        ("front-2", SECOND_LOG),
    ] {
        fs::write(folder.path().join(format!("{name}.log")), text).expect("written");
    }
    let path = folder.path().display().to_string();
    run(&[&["explain", id, "--logs", path.as_str()], more].concat())
}

#[test]
fn lines_of_machines_with_different_clocks_are_ordered() {
    let finished = explain_logs("r-1", &[]);
    assert_eq!(finished.status, 0, "{finished:?}");
    let lines: Vec<&str> = finished.output.lines().collect();
    // Times are on the clock of front-1, which logs the most versions.
    assert_eq!(
        lines,
        [
            "2026-12-02T10:00:08.200Z front-1 request: send failed request=\"r-1\" runs=1",
            "2026-12-02T10:00:08.700Z front-2 request: served ms=9 request=\"r-1\"",
        ]
    );
    let notes = &finished.errors;
    assert!(
        notes.contains("front-1: clock ahead by 0 ms, by 3 versions; 1 lines"),
        "{notes}"
    );
    assert!(
        notes.contains("front-2: clock ahead by -7000 ms, by 1 versions"),
        "{notes}"
    );
}

#[test]
fn lines_of_logs_are_shown_as_json_with_machine_and_shared_time() {
    let finished = explain_logs("r-2", &["--json"]);
    assert_eq!(finished.status, 0, "{finished:?}");
    let line: serde_json::Value = serde_json::from_str(&finished.output).expect("JSON");
    assert_eq!(line["machine"], "front-2");
    assert_eq!(line["shared_time_ms"], 1_796_205_608_800_i64);
}

#[rstest]
#[case::an_id_that_no_line_has(&["explain", "r-9", "--logs", "LOGS"], 7, "r-9")]
#[case::no_such_folder(&["explain", "r-1", "--logs", "/nonexistent"], 3, "/nonexistent")]
#[case::no_lines_of_nodes(&["explain", "r-1", "--logs", "EMPTY"], 3, "no file in")]
#[case::neither_logs_nor_a_key(&["explain", "r-1"], 2, "--key-file")]
fn problems_with_the_logs_option_are_reported(
    #[case] arguments: &[&str],
    #[case] status: i32,
    #[case] expected: &str,
) {
    let (logs, empty) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    fs::write(logs.path().join("front-1.log"), FIRST_LOG).unwrap();
    let folders = [
        ("LOGS", logs.path().display().to_string()),
        ("EMPTY", empty.path().display().to_string()),
    ];
    let arguments: Vec<&str> = arguments
        .iter()
        .map(|argument| {
            let folder = folders.iter().find(|(name, _)| name == argument);
            folder.map_or(*argument, |(_, path)| path.as_str())
        })
        .collect();
    let finished = run(&arguments);
    assert_eq!(finished.status, status, "{finished:?}");
    assert!(finished.errors.contains(expected), "{finished:?}");
}
