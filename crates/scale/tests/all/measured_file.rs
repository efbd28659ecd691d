use std::fs;

use linnethitch_scale::capacity::{Kind, MeasuredFile};
use rstest::rstest;
use tempfile::TempDir;

use crate::support::{measurement, per_change};

#[test]
fn a_file_is_read_back_as_written_and_newer_measurements_replace_older_ones() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("measured.json");
    let mut file = MeasuredFile::read(&path).unwrap();
    assert_eq!(file, MeasuredFile::default());
    file.merge(vec![
        measurement("b", Kind::Memory, &[(1, 1.0)]),
        measurement("a", Kind::Memory, &[(1, 2.0)]),
    ]);
    file.merge(vec![per_change(measurement("b", Kind::Cpu, &[(1, 0.3)]))]);
    file.write(&path).unwrap();
    let read = MeasuredFile::read(&path).unwrap();
    assert_eq!(read, file);
    let ids: Vec<&str> = read
        .measurements
        .iter()
        .map(|row| row.id.as_str())
        .collect();
    assert_eq!(ids, ["a", "b"]);
    assert_eq!(read.measurements[1].kind, Kind::Cpu);
}

#[rstest]
#[case::not_json("{", "EOF")]
#[case::unknown_field(r#"{"measurements":[],"more":1}"#, "unknown field")]
#[case::repeated(&two_measurements("a", "a"), "`a` stands twice")]
#[case::without_points(&without_points(), "`a` has no points")]
fn an_invalid_file_is_refused(#[case] text: &str, #[case] expected: &str) {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("measured.json");
    fs::write(&path, text).unwrap();
    let error = MeasuredFile::read(&path).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

fn two_measurements(first: &str, second: &str) -> String {
    json_of(vec![
        measurement(first, Kind::Memory, &[(1, 1.0)]),
        measurement(second, Kind::Memory, &[(1, 1.0)]),
    ])
}

fn without_points() -> String {
    json_of(vec![measurement("a", Kind::Memory, &[])])
}

fn json_of(measurements: Vec<linnethitch_scale::capacity::Measurement>) -> String {
    serde_json::to_string(&MeasuredFile { measurements }).unwrap()
}
