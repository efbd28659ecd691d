//! `apply` sends one change, with the same id in every retry.

use std::fs;

use rstest::rstest;

use crate::{
    program::Workplace,
    scripted_server::{Reply, ScriptedServer, dead_address},
};

const CONFIGURATION: &str = r#"{"revision": 4, "content": ""}"#;

fn status(lowest: u64) -> Reply {
    Reply::ok(&format!(
        r#"{{"revision":5,"lowest_in_force":{lowest},"highest_in_force":5,"members":[],"gateways":[],
            "replicas":[],"open_jobs":0,"pending_items":0,"leased_items":0}}"#
    ))
}

fn accepted() -> Reply {
    Reply::ok(r#"{"revision": 5}"#)
}

#[rstest]
#[case::accepted(&[accepted()], 0, "accepted as revision 5", false, 1)]
#[case::answer_lost_once(&[Reply::Close, accepted()], 0, "accepted as revision 5", false, 2)]
#[case::outcome_unknown_once(
    &[Reply::error(504, "control_outcome_unknown", "lost"), accepted()],
    0,
    "accepted as revision 5",
    false,
    2
)]
#[case::conflict(
    &[Reply::error(409, "revision_conflict", "revision 9 is in force")],
    4,
    "revision 9 is in force (revision_conflict)",
    false,
    1
)]
#[case::change_id_used(&[Reply::error(409, "change_conflict", "used")], 4, "change_conflict", false, 1)]
#[case::invalid(&[Reply::error(422, "invalid_configuration", "bad")], 3, "bad", false, 1)]
#[case::wrong_key(&[Reply::error(401, "invalid_api_key", "no")], 3, "invalid_api_key", true, 1)]
#[case::defect(&[Reply::error(500, "internal", "broken")], 1, "broken", true, 1)]
fn the_answer_determines_the_exit_status_and_whether_the_change_file_remains(
    #[case] replies: &[Reply],
    #[case] exit_status: i32,
    #[case] expected: &str,
    #[case] file_remains: bool,
    #[case] requests: usize,
) {
    let workplace = Workplace::new();
    let server = ScriptedServer::start(&[
        ("GET /v1/configuration", &[Reply::ok(CONFIGURATION)]),
        ("PUT /v1/configuration", replies),
    ]);
    let file = workplace.path_text("fleet.toml");
    let finished = workplace.operate("apply", &[server.address], &[&file]);
    assert_eq!(finished.status, exit_status, "{finished:?}");
    let shown = format!("{}{}", finished.output, finished.errors);
    assert!(shown.contains(expected), "{shown}");
    assert_eq!(workplace.path("fleet.toml.change").exists(), file_remains);
    let changes = server.received("PUT /v1/configuration");
    assert_eq!(changes.len(), requests);
    let ids: Vec<&String> = changes
        .iter()
        .map(|change| &change.headers["linnethitch-change"])
        .collect();
    assert!(ids.iter().all(|id| *id == ids[0]));
    assert_eq!(changes[0].headers["linnethitch-expected-revision"], "4");
    assert_eq!(
        changes[0].body,
        fs::read_to_string(workplace.path("fleet.toml")).unwrap()
    );
}

#[test]
fn a_run_after_a_lost_answer_resends_the_same_change() {
    let workplace = Workplace::new();
    let file = workplace.path_text("fleet.toml");
    let lost = ScriptedServer::start(&[
        ("GET /v1/configuration", &[Reply::ok(CONFIGURATION)]),
        ("PUT /v1/configuration", &[Reply::Close]),
    ]);
    let finished = workplace.operate("apply", &[lost.address], &["--timeout", "0", &file]);
    assert_eq!(finished.status, 5, "{finished:?}");
    let found = ScriptedServer::start(&[
        (
            "GET /v1/configuration",
            &[Reply::ok(r#"{"revision": 5, "content": ""}"#)],
        ),
        ("PUT /v1/configuration", &[accepted()]),
    ]);
    let finished = workplace.operate("apply", &[found.address], &[&file]);
    assert_eq!(finished.status, 0, "{finished:?}");
    let first = &lost.received("PUT")[0].headers;
    let second = &found.received("PUT")[0].headers;
    for header in ["linnethitch-change", "linnethitch-expected-revision"] {
        assert_eq!(first[header], second[header]);
    }
    assert!(!workplace.path("fleet.toml.change").exists());
}

#[test]
fn a_changed_file_gets_a_new_change_id() {
    let workplace = Workplace::new();
    let file = workplace.path_text("fleet.toml");
    let server = ScriptedServer::start(&[
        ("GET /v1/configuration", &[Reply::ok(CONFIGURATION)]),
        ("PUT /v1/configuration", &[Reply::Close]),
    ]);
    workplace.operate("apply", &[server.address], &["--timeout", "0", &file]);
    let text = fs::read_to_string(&file).unwrap() + "# more\n";
    fs::write(&file, text).unwrap();
    workplace.operate("apply", &[server.address], &["--timeout", "0", &file]);
    let changes = server.received("PUT");
    assert_ne!(
        changes[0].headers["linnethitch-change"],
        changes[1].headers["linnethitch-change"]
    );
}

#[test]
fn given_id_and_revision_are_sent() {
    let workplace = Workplace::new();
    let file = workplace.path_text("fleet.toml");
    let server = ScriptedServer::start(&[("PUT /v1/configuration", &[accepted()])]);
    let flags = [
        "--change-id",
        "c-1",
        "--expected-revision",
        "3",
        file.as_str(),
    ];
    let finished = workplace.operate("apply", &[dead_address(), server.address], &flags);
    assert_eq!(finished.status, 0, "{finished:?}");
    let sent = &server.received("PUT")[0].headers;
    assert_eq!(sent["linnethitch-change"], "c-1");
    assert_eq!(sent["linnethitch-expected-revision"], "3");
}

#[test]
fn wait_ends_once_every_gateway_has_the_revision_in_force() {
    let workplace = Workplace::new();
    let file = workplace.path_text("fleet.toml");
    let server = ScriptedServer::start(&[
        ("GET /v1/configuration", &[Reply::ok(CONFIGURATION)]),
        ("PUT /v1/configuration", &[accepted()]),
        ("GET /v1/status", &[status(4), Reply::Close, status(5)]),
    ]);
    let finished = workplace.operate("apply", &[server.address], &["--wait", &file]);
    assert_eq!(finished.status, 0, "{finished:?}");
    assert!(
        finished
            .output
            .contains("revision 5 is in force on every live gateway")
    );
}

#[test]
fn wait_times_out_with_its_own_exit_status() {
    let workplace = Workplace::new();
    let file = workplace.path_text("fleet.toml");
    let server = ScriptedServer::start(&[
        ("GET /v1/configuration", &[Reply::ok(CONFIGURATION)]),
        ("PUT /v1/configuration", &[accepted()]),
        ("GET /v1/status", &[status(4)]),
    ]);
    let flags = ["--wait", "--timeout", "1", file.as_str()];
    let finished = workplace.operate("apply", &[server.address], &flags);
    assert_eq!(finished.status, 6, "{finished:?}");
    assert!(finished.errors.contains("lowest revision: 4"));
}

#[test]
fn an_invalid_file_is_refused_before_anything_is_sent() {
    let workplace = Workplace::new();
    fs::write(workplace.path("fleet.toml"), "name = \"x\"\n").unwrap();
    let server = ScriptedServer::start(&[]);
    let file = workplace.path_text("fleet.toml");
    let finished = workplace.operate("apply", &[server.address], &[&file]);
    assert_eq!(finished.status, 3, "{finished:?}");
    assert!(server.received("").is_empty());
}
