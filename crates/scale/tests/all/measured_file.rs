use std::fs;

use linnethitch_scale::capacity::{Kind, MeasuredFile};
use rstest::rstest;
use tempfile::TempDir;

use crate::support::{each_change, measurement};

#[test]
fn a_file_is_read_back_as_written_and_newer_rows_replace_older_ones() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("measured.json");
    let mut file = MeasuredFile::read(&path).unwrap();
    assert_eq!(file, MeasuredFile::default());
    file.merge(vec![
        measurement("b", Kind::Memory, &[(1, 1.0)]),
        measurement("a", Kind::Memory, &[(1, 2.0)]),
    ]);
    file.merge(vec![each_change(measurement("b", Kind::Cpu, &[(1, 0.3)]))]);
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
#[case::repeated(&both("a", "a"), "`a` stands twice")]
#[case::without_points(&without_points(), "`a` has no points")]
fn a_wrong_file_is_refused(#[case] text: &str, #[case] expected: &str) {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("measured.json");
    fs::write(&path, text).unwrap();
    let error = MeasuredFile::read(&path).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

fn both(first: &str, second: &str) -> String {
    text_of(vec![
        measurement(first, Kind::Memory, &[(1, 1.0)]),
        measurement(second, Kind::Memory, &[(1, 1.0)]),
    ])
}

fn without_points() -> String {
    text_of(vec![measurement("a", Kind::Memory, &[])])
}

fn text_of(measurements: Vec<linnethitch_scale::capacity::Measurement>) -> String {
    serde_json::to_string(&MeasuredFile { measurements }).unwrap()
}
