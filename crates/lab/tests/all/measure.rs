//! `linnethitch-lab measure` writes measurements that `capacity` renders into its page.

use std::{fs, path::Path, process::Command};

use serde_json::Value;

/// A fleet small enough for a test.
const SMALL: [&str; 16] = [
    "--tenants",
    "60",
    "--gateways",
    "8",
    "--jobs",
    "8",
    "--items",
    "4000",
    "--largest-job",
    "1000",
    "--claims",
    "800",
    "--line-bytes",
    "200",
    "--changes",
    "40",
];

#[test]
fn the_state_is_measured_and_the_capacity_page_shows_the_measurements() {
    let folder = tempfile::tempdir().unwrap();
    let measured = folder.path().join("measured.json");
    let page = folder.path().join("page.md");
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    fs::copy(committed, &page).unwrap();
    let lab = || Command::new(env!("CARGO_BIN_EXE_linnethitch-lab"));
    let run = lab()
        .args(["measure", "state"])
        .args(SMALL)
        .arg("--output")
        .arg(folder.path().join("out"))
        .arg("--measured")
        .arg(&measured)
        .output()
        .unwrap();
    let text = String::from_utf8(run.stdout).unwrap();
    let verdict = text.lines().last().unwrap_or_default();
    assert!(
        verdict.starts_with("verdict: "),
        "{verdict:?} {:?}",
        run.stderr
    );

    let results = fs::read_to_string(folder.path().join("out/results.json")).unwrap();
    let results: Value = serde_json::from_str(&results).unwrap();
    assert_eq!(results["largest_job"]["items"], 1_000);
    assert_eq!(results["largest_job"]["steps"].as_array().unwrap().len(), 3);
    assert_eq!(results["full_state"]["claims"], 800);
    assert!(results["all_jobs"]["completed"].as_u64().unwrap() >= 500);
    assert!(results["full_state"]["snapshot_bytes"].as_u64().unwrap() > 10_000);
    assert!(!folder.path().join("out/data").exists());

    let rendered = lab()
        .arg("capacity")
        .arg("--page")
        .arg(&page)
        .arg("--measured")
        .arg(&measured)
        .status()
        .unwrap();
    assert!(rendered.success());
    let page = fs::read_to_string(&page).unwrap();
    assert!(page.contains("leasing and completing an item"), "{page}");
}

#[test]
fn a_group_of_members_is_measured() {
    let folder = tempfile::tempdir().unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_linnethitch-lab"))
        .args(["measure", "consensus", "--seconds", "0.05", "--losses", "1"])
        .arg("--output")
        .arg(folder.path())
        .output()
        .unwrap();
    assert!(run.status.success(), "{run:?}");
    let results = fs::read(folder.path().join("results.json")).unwrap();
    let results: Value = serde_json::from_slice(&results).unwrap();
    for kind in ["commits", "reads"] {
        let rows = results[kind].as_array().unwrap();
        assert_eq!(rows.len(), 12, "three sizes at four rates");
        let all_ran = rows
            .iter()
            .all(|row| row["per_second"].as_f64() > Some(0.0));
        assert!(all_ran, "{rows:?}");
    }
    assert_eq!(results["recoveries"].as_array().unwrap().len(), 2);
}
