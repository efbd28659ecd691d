//! `status` as tables and as JSON.

use crate::{
    program::Workplace,
    scripted_server::{Reply, ScriptedServer, dead_address},
};

const STATUS: &str = r#"{
    "revision": 12, "evacuated_zones": ["portland"], "lowest_in_force": 11, "highest_in_force": 12,
    "members": [
        {"machine": 1, "disk": "00000000000000ab", "voter": true, "leader": true, "matched": 90, "silent_ms": 0},
        {"machine": 2, "disk": "00000000000000cd", "voter": false, "leader": false, "matched": 7, "silent_ms": 1500}
    ],
    "gateways": [{"gateway": "gateway-1", "revision": 11, "silent_ms": 20}],
    "replicas": [{"replica": "engine-1", "zone": "east", "serves": "writer 1", "state": "live"}],
    "open_jobs": 2, "pending_items": 300, "leased_items": 4
}"#;

#[test]
fn tables_show_revisions_disks_gateways_and_replicas() {
    let workplace = Workplace::new();
    let server = ScriptedServer::start(&[("GET /v1/status", &[Reply::ok(STATUS)])]);
    let finished = workplace.operate("status", &[server.address], &[]);
    assert_eq!(finished.status, 0, "{}", finished.errors);
    for line in [
        "revision 12; in force: lowest 11, highest 12",
        "evacuated zones: portland",
        "batch: 2 open jobs, 300 items pending, 4 leased",
        "  machine  disk              role     synced to  silent",
        "  1        00000000000000ab  leader   90         0 ms",
        "  2        00000000000000cd  learner  7          1500 ms",
        "  gateway-1  11        20 ms",
        "  engine-1  east  writer 1  live",
    ] {
        assert!(
            finished.output.contains(line),
            "{line}\n{}",
            finished.output
        );
    }
}

#[test]
fn json_shows_the_same_status() {
    let workplace = Workplace::new();
    let server = ScriptedServer::start(&[("GET /v1/status", &[Reply::ok(STATUS)])]);
    let finished = workplace.operate("status", &[server.address], &["--json"]);
    let shown: serde_json::Value = serde_json::from_str(&finished.output).unwrap();
    assert_eq!(
        shown,
        serde_json::from_str::<serde_json::Value>(STATUS).unwrap()
    );
}

#[test]
fn an_unreachable_member_has_its_own_exit_status() {
    let workplace = Workplace::new();
    let finished = workplace.operate("status", &[dead_address()], &[]);
    assert_eq!(finished.status, 5, "{finished:?}");
    assert!(finished.errors.contains("refused"));
}
