//! `scale` with a small fleet: it runs to its end and reports its verdict.

use std::process::Command;

use serde_json::Value;
use tempfile::TempDir;

#[test]
fn a_small_fleet_is_measured_and_judged() {
    let folder = TempDir::new().unwrap();
    let sizes = "--gateways 6 --real-gateways 1 --replicas 4 --tenants 20 --members 3";
    let output = Command::new(env!("CARGO_BIN_EXE_linnethitch-lab"))
        .arg("scale")
        .args(sizes.split(' '))
        .args(["--seconds", "1", "--burst", "2", "--output"])
        .arg(folder.path())
        .output()
        .unwrap();
    let printed = String::from_utf8(output.stdout).unwrap();
    let verdict = printed.lines().last().unwrap_or_default();
    let progress = String::from_utf8_lossy(&output.stderr);
    match output.status.code() {
        Some(0) => assert!(verdict.starts_with("PASS: "), "{printed}"),
        Some(1) => assert!(verdict.starts_with("FAIL: over budget: "), "{printed}"),
        code => panic!("exit status {code:?}\n{progress}"),
    }
    let report = std::fs::read_to_string(folder.path().join("report.md")).unwrap();
    assert!(report.contains(verdict), "{report}");
    let results = std::fs::read_to_string(folder.path().join("results.json")).unwrap();
    let results: Value = serde_json::from_str(&results).unwrap();
    assert_eq!(results["steps"][0]["gateways"], 6);
    assert_eq!(results["events"]["burst_changes"], 2);
    let bytes = results["steps"][0]["hollow"]["bytes_per_second"].as_f64();
    assert!(bytes.unwrap() > 0.0, "no bytes were counted");
    assert!(folder.path().join("node-bytes.svg").exists());
}
