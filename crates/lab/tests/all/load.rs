//! `load` must detect every fault of an answer. It is run against an emulated engine directly,
//! which answers chat completions as a gateway does.

use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{Caller, ChildProcess};

const MODEL: &str = "quote-writer";

async fn run_load(faults: &[Value], more: &[&str]) -> (Option<i32>, Value) {
    let mut engine = ChildProcess::lab(&["engine", "--model", MODEL, "--speed", "20"]);
    let address = engine.address_after("listens on");
    let caller = Caller::new(address, "unused");
    for fault in faults {
        assert_eq!(caller.post("/emulator/faults", fault).await.status, 200);
    }
    let gateway = address.to_string();
    let arguments = [
        "load",
        "--gateway",
        &gateway,
        "--model",
        MODEL,
        "--seconds",
        "1",
        "--rate",
        "40",
        "--whole-percent",
        "0",
        "--json",
        "--quiet",
    ];
    let mut load = ChildProcess::lab(&[&arguments, more].concat());
    let code = load.wait().code();
    let report = serde_json::from_str(&load.remaining_output()).unwrap();
    (code, report)
}

fn sum(report: &Value, member: &str) -> u64 {
    let kinds = report["kinds"].as_array().unwrap();
    kinds
        .iter()
        .map(|kind| kind[member].as_u64().unwrap())
        .sum()
}

fn failures(report: &Value) -> u64 {
    let kinds = report["kinds"].as_array().unwrap();
    let counts = kinds
        .iter()
        .flat_map(|kind| kind["failures"].as_object().unwrap().values());
    counts.map(|count| count.as_u64().unwrap()).sum()
}

#[tokio::test]
async fn a_healthy_engine_passes() {
    let folder = TempDir::new().unwrap();
    let files = folder.path().to_str().unwrap();
    let limits = ["--limit-failed-percent", "0", "--report", files];
    let (code, report) = run_load(&[], &limits).await;
    assert_eq!(code, Some(0));
    assert!(sum(&report, "served") > 10, "{report}");
    assert_eq!(sum(&report, "wrong"), 0);
    assert_eq!(failures(&report), 0);
    let short = &report["kinds"][0];
    for member in ["first_token", "between_tokens", "total"] {
        assert!(short[member]["p99_ms"].as_f64().unwrap() > 0.0, "{member}");
    }
    let written = std::fs::read_to_string(folder.path().join("report.json")).unwrap();
    assert_eq!(serde_json::from_str::<Value>(&written).unwrap(), report);
    let distribution = folder.path().join("short-stream-first-token.hgrm");
    let lines = std::fs::read_to_string(distribution).unwrap();
    let counted = lines.lines().last().unwrap().split_whitespace().nth(2);
    assert_eq!(counted, Some(short["served"].to_string().as_str()));
}

#[rstest]
#[case::a_silently_short_answer(json!({"fault": "end_early", "after_tokens": 5}))]
#[case::swapped_tokens(json!({"fault": "out_of_order"}))]
#[case::a_foreign_token(json!({"fault": "stray"}))]
#[tokio::test]
async fn a_wrong_answer_is_a_bad_verdict(#[case] fault: Value) {
    let (code, report) = run_load(&[fault], &[]).await;
    assert_eq!(code, Some(1));
    assert!(sum(&report, "wrong") > 10, "{report}");
}

#[rstest]
#[case::refused(json!({"fault": "refuse"}), &["--limit-failed-percent", "99"])]
#[case::no_first_token(json!({"fault": "refuse"}), &["--limit-first-token-ms", "60000"])]
#[case::late_first_tokens(json!({"fault": "late", "millis": 2}), &["--limit-first-token-ms", "1"])]
#[case::late_tokens(json!({"fault": "slow", "percent": 800}), &["--limit-between-tokens-ms", "1"])]
#[case::never_an_answer(json!({"fault": "hang"}), &["--drain", "0.5"])]
#[tokio::test]
async fn an_exceeded_limit_is_a_bad_verdict(#[case] fault: Value, #[case] limit: &[&str]) {
    let (code, report) = run_load(&[fault], limit).await;
    assert_eq!(code, Some(1), "{report}");
    assert_eq!(sum(&report, "wrong"), 0, "{report}");
}

#[rstest]
#[case::broken_streams(json!({"fault": "drop_mid_stream", "after_tokens": 5}))]
#[case::refusals(json!({"fault": "refuse"}))]
#[tokio::test]
async fn a_missing_answer_is_a_counted_failure(#[case] fault: Value) {
    let (code, report) = run_load(&[fault], &[]).await;
    assert_eq!(code, Some(0), "an error is not a wrong answer");
    assert!(failures(&report) > 10, "{report}");
    assert_eq!(sum(&report, "served"), 0);
}
