//! `validate`, `diff` and refused settings.

use std::fs;

use rstest::rstest;

use crate::{
    program::{Workplace, run},
    scripted_server::{Reply, ScriptedServer},
};

#[rstest]
#[case::granite_lane("granite-lane.toml")]
#[case::hanbit("hanbit.toml")]
fn the_examples_are_valid(#[case] name: &str) {
    let file = crate::program::repository().join("examples").join(name);
    let finished = run(&["validate", &file.display().to_string()]);
    assert_eq!(finished.status, 0, "{}", finished.errors);
    assert!(finished.output.contains("valid; zones 3, models 1"));
}

#[test]
fn every_fault_of_a_file_is_reported_with_its_line() {
    let workplace = Workplace::new();
    let file = workplace.path("bad.toml");
    fs::write(
        &file,
        "name = \"\"\n[[zone]]\nname = \"z z\"\nregion = \"r\"\n",
    )
    .unwrap();
    let finished = run(&["validate", &workplace.path_text("bad.toml")]);
    assert_eq!(finished.status, 3);
    assert!(
        finished
            .errors
            .contains("bad.toml: line 1: name: must not be empty")
    );
    assert!(
        finished
            .errors
            .contains("bad.toml: line 3: zone[0].name: \"z z\" holds")
    );
}

#[test]
fn a_missing_file_is_refused() {
    let finished = run(&["validate", "/nonexistent/fleet.toml"]);
    assert_eq!(finished.status, 3);
    assert!(
        finished
            .errors
            .contains("/nonexistent/fleet.toml: No such file")
    );
}

#[test]
fn a_difference_is_shown_against_the_revision_in_force() {
    let workplace = Workplace::new();
    let content = fs::read_to_string(workplace.path("fleet.toml")).unwrap();
    let old = content.replace("replicas = 4 }", "replicas = 3 }");
    let answer = serde_json::json!({"revision": 7, "content": old}).to_string();
    let server = ScriptedServer::start(&[("GET /v1/configuration", &[Reply::ok(&answer)])]);
    let file = workplace.path_text("fleet.toml");
    let finished = workplace.operate("diff", &[server.address], &[&file]);
    assert_eq!(finished.status, 0, "{}", finished.errors);
    assert!(finished.output.contains("against revision 7:"));
    assert!(
        finished
            .output
            .contains("model \"quote-writer\", placement \"portland\": replicas 3 -> 4")
    );
    let sent = server.received("GET /v1/configuration");
    assert_eq!(sent[0].headers["authorization"], "Bearer lh-operator-key");
}

#[test]
fn a_gateway_with_bad_settings_does_not_start() {
    let workplace = Workplace::new();
    fs::write(workplace.path("gateway.toml"), "zoen = \"x\"\n").unwrap();
    let finished = run(&[
        "gateway",
        "--settings",
        &workplace.path_text("gateway.toml"),
    ]);
    assert_eq!(finished.status, 3);
    assert!(
        finished
            .errors
            .contains("gateway.toml: line 1: zoen: unknown field `zoen`")
    );
    assert_eq!(finished.output, "");
}
