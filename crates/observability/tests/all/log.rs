//! Log records are JSON lines, filtered by module.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use error_stack::Report;
use linnethitch_config::settings::{LogLevel, LogSettings};
use linnethitch_errors::ErrorKind;
use linnethitch_observability::{log::Logging, time::rfc3339};
use rstest::rstest;
use slog::{debug, info, warn};

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines_of(settings: &LogSettings, log: impl FnOnce(&slog::Logger)) -> Vec<serde_json::Value> {
    let captured = Captured::default();
    let logging = Logging::start(settings, captured.clone());
    log(&logging.logger());
    drop(logging);
    let bytes = captured.0.lock().unwrap().clone();
    String::from_utf8(bytes)
        .unwrap()
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[test]
fn a_record_is_one_json_line_with_its_fields() {
    let lines = lines_of(&LogSettings::default(), |logger| {
        info!(logger, "lease granted"; "job" => "batch_1", "item" => 7, "reason" => "idle");
    });
    assert_eq!(lines.len(), 1);
    let line = &lines[0];
    assert_eq!(line["message"], "lease granted");
    assert_eq!(line["level"], "info");
    assert_eq!(line["job"], "batch_1");
    assert_eq!(line["item"], 7);
    assert_eq!(line["reason"], "idle");
    assert!(line["time"].as_str().unwrap().ends_with('Z'));
    assert!(line["module"].as_str().unwrap().ends_with("::log"));
}

#[test]
fn a_report_is_logged_without_terminal_colours() {
    let lines = lines_of(&LogSettings::default(), |logger| {
        let report = Report::new(ErrorKind::Io).attach("the peer has been silent for too long");
        info!(logger, "link lost"; "cause" => format!("{report:?}"));
    });
    let cause = lines[0]["cause"].as_str().unwrap();
    assert!(cause.contains("silent"), "{cause}");
    assert!(!cause.contains('\u{1b}'), "{cause:?}");
}

#[rstest]
#[case::general_level("unrelated", LogLevel::Debug, LogLevel::Warning, &["warned"])]
#[case::own_module("all::log", LogLevel::Debug, LogLevel::Warning, &["debugged", "warned"])]
#[case::parent_module("all", LogLevel::Debug, LogLevel::Warning, &["debugged", "warned"])]
#[case::no_word_boundary("all::lo", LogLevel::Debug, LogLevel::Warning, &["warned"])]
#[case::quieter_module("all::log", LogLevel::Error, LogLevel::Debug, &[])]
fn the_longest_module_prefix_sets_the_level(
    #[case] module: &str,
    #[case] level: LogLevel,
    #[case] general: LogLevel,
    #[case] expected: &[&str],
) {
    let settings = LogSettings {
        level: general,
        modules: [(module.to_owned(), level)].into(),
    };
    let lines = lines_of(&settings, |logger| {
        debug!(logger, "debugged");
        warn!(logger, "warned");
    });
    let messages: Vec<&str> = lines
        .iter()
        .map(|line| line["message"].as_str().unwrap())
        .collect();
    assert_eq!(messages, expected);
}

#[rstest]
#[case(0, "1970-01-01T00:00:00.000Z")]
#[case(951_782_399_999, "2000-02-28T23:59:59.999Z")]
#[case(951_782_400_000, "2000-02-29T00:00:00.000Z")]
#[case(951_868_800_000, "2000-03-01T00:00:00.000Z")]
#[case(1_798_761_599_001, "2026-12-31T23:59:59.001Z")]
fn times_are_rfc_3339(#[case] milliseconds: u64, #[case] expected: &str) {
    assert_eq!(rfc3339(milliseconds), expected);
}
