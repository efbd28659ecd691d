//! Invalid fleet files and the exact error messages.

use linnethitch_config::fleet::{Fleet, validate::MAX_REPORTED_FAULTS};
use rstest::rstest;

const FLEET: &str = r#"name = "trial"

[[zone]]
name = "east"
region = "coast"

[[zone]]
name = "west"
region = "coast"

[[model]]
name = "writer"
version = "1"
context_tokens = 1000
prefill_percent = 50
placement = [
    { zone = "east", replicas = 2 },
    { zone = "west", replicas = 2 },
]

[[model.adapter]]
name = "lanes"
version = "1"

[[service]]
name = "lookup"
timeout_ms = 100
placement = [{ zone = "east", replicas = 1 }]

[[tenant]]
name = "one"
key_sha256 = "1111111111111111111111111111111111111111111111111111111111111111"
requests_per_second = 1.5
max_in_flight = 4
weight = 2

[[tenant]]
name = "two"
key_sha256 = "2222222222222222222222222222222222222222222222222222222222222222"

[batch]
lease_ms = 5000

[routing]
spill_ms = 1.0

[limits]
max_output_tokens = 10
"#;

fn error_of(text: &str) -> String {
    Fleet::parse(text).unwrap_err().to_string()
}

#[test]
fn the_base_file_of_the_cases_is_valid() {
    Fleet::parse(FLEET).unwrap();
}

#[rstest]
#[case::unknown_root_key(
    "name = \"trial\"",
    "nmae = \"trial\"",
    "line 1: nmae: unknown field `nmae`, expected one of `name`, `zone`, `model`, `service`, `tenant`, `batch`, `routing`, `limits`"
)]
#[case::unknown_nested_key(
    "replicas = 1 }]",
    "replica = 1 }]",
    "line 28: service[0].placement[0].replica: unknown field `replica`, expected `zone` or `replicas`"
)]
#[case::wrong_type(
    "version = \"1\"\ncontext",
    "version = 1\ncontext",
    "line 13: model[0].version: invalid type: integer `1`, expected a string"
)]
#[case::negative(
    "replicas = 2 },\n    { zone = \"west\"",
    "replicas = -2 },\n    { zone = \"west\"",
    "line 17: model[0].placement[0].replicas: invalid value: integer `-2`, expected u32"
)]
#[case::too_large_number(
    "prefill_percent = 50",
    "prefill_percent = 300",
    "line 15: model[0].prefill_percent: invalid value: integer `300`, expected u8"
)]
#[case::missing_field(
    "region = \"coast\"\n\n[[model]]",
    "\n[[model]]",
    "line 7: zone[1]: missing field `region`"
)]
#[case::syntax("[routing]", "[routing", "line 44: unclosed table, expected `]`")]
#[case::section_twice("[routing]", "[batch]", "line 44: duplicate key `batch`")]
#[case::empty_name("name = \"trial\"", "name = \"\"", "line 1: name: must not be empty")]
#[case::zone_characters(
    "name = \"east\"",
    "name = \"ea st\"",
    "line 4: zone[0].name: \"ea st\" holds a character other than letters, digits, `-`, `_` and `.`"
)]
#[case::zone_twice(
    "name = \"west\"",
    "name = \"east\"",
    "line 8: zone[1].name: zone `east` stands twice"
)]
#[case::model_characters(
    "name = \"writer\"",
    "name = \"writer:x\"",
    "line 12: model[0].name: \"writer:x\" holds a character other than letters, digits, `-`, `_`, `.` and `/`"
)]
#[case::service_with_slash(
    "name = \"lookup\"",
    "name = \"a/b\"",
    "line 26: service[0].name: \"a/b\" holds a character other than letters, digits, `-`, `_` and `.`"
)]
#[case::zero_context(
    "context_tokens = 1000",
    "context_tokens = 0",
    "line 14: model[0].context_tokens: 0 is not within 1 to 16777216"
)]
#[case::all_prefill(
    "prefill_percent = 50",
    "prefill_percent = 100",
    "line 15: model[0].prefill_percent: 100 is not within 0 to 99"
)]
#[case::unknown_zone(
    "{ zone = \"west\"",
    "{ zone = \"north\"",
    "line 18: model[0].placement[1].zone: unknown zone `north`"
)]
#[case::placed_twice(
    "{ zone = \"west\"",
    "{ zone = \"east\"",
    "line 18: model[0].placement[1].zone: zone `east` stands twice in this placement"
)]
#[case::many_replicas(
    "replicas = 1 }]",
    "replicas = 100001 }]",
    "line 28: service[0].placement[0].replicas: 100001 is not within 0 to 100000"
)]
#[case::adapter_twice(
    "[[service]]",
    "[[model.adapter]]\nname = \"lanes\"\nversion = \"2\"\n\n[[service]]",
    "line 26: model[0].adapter[1].name: adapter `lanes` stands twice in this pool"
)]
#[case::zero_timeout(
    "timeout_ms = 100",
    "timeout_ms = 0",
    "line 27: service[0].timeout_ms: 0 is not within 1 to 3600000"
)]
#[case::tenant_twice(
    "name = \"two\"",
    "name = \"one\"",
    "line 38: tenant[1].name: tenant `one` stands twice"
)]
#[case::key_twice(
    "2222222222222222222222222222222222222222222222222222222222222222",
    "1111111111111111111111111111111111111111111111111111111111111111",
    "line 39: tenant[1].key_sha256: another tenant has the same key"
)]
#[case::upper_case_hash(
    "\"1111",
    "\"111A",
    "line 32: tenant[0].key_sha256: must be a SHA-256 in 64 lower-case hexadecimal characters"
)]
#[case::short_hash(
    "\"1111",
    "\"111",
    "line 32: tenant[0].key_sha256: must be a SHA-256 in 64 lower-case hexadecimal characters"
)]
#[case::zero_rate(
    "requests_per_second = 1.5",
    "requests_per_second = 0.0",
    "line 33: tenant[0].requests_per_second: 0 is not above 0 and at most 1000000000"
)]
#[case::negative_rate(
    "requests_per_second = 1.5",
    "requests_per_second = -1.5",
    "line 33: tenant[0].requests_per_second: -1.5 is not above 0 and at most 1000000000"
)]
#[case::nan_rate(
    "requests_per_second = 1.5",
    "requests_per_second = nan",
    "line 33: tenant[0].requests_per_second: NaN is not above 0 and at most 1000000000"
)]
#[case::infinite_rate(
    "requests_per_second = 1.5",
    "tokens_per_second = inf",
    "line 33: tenant[0].tokens_per_second: inf is not above 0 and at most 1000000000"
)]
#[case::zero_in_flight(
    "max_in_flight = 4",
    "max_in_flight = 0",
    "line 34: tenant[0].max_in_flight: 0 is not within 1 to 1000000"
)]
#[case::zero_weight(
    "weight = 2",
    "weight = 0",
    "line 35: tenant[0].weight: 0 is not within 1 to 1000"
)]
#[case::short_lease(
    "lease_ms = 5000",
    "lease_ms = 999",
    "line 42: batch.lease_ms: 999 is not within 1000 to 600000"
)]
#[case::nan_spill(
    "spill_ms = 1.0",
    "spill_ms = nan",
    "line 45: routing.spill_ms: NaN is not within 0 to 60000"
)]
#[case::retry_percent(
    "spill_ms = 1.0",
    "retry_budget_percent = 101",
    "line 45: routing.retry_budget_percent: 101 is not within 0 to 100"
)]
#[case::zero_output(
    "max_output_tokens = 10",
    "max_output_tokens = 0",
    "line 48: limits.max_output_tokens: 0 is not within 1 to 16777216"
)]
fn an_invalid_file_is_refused_with_line_and_field(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    assert!(FLEET.contains(part));
    assert_eq!(error_of(&FLEET.replacen(part, replacement, 1)), expected);
}

#[test]
fn a_file_without_zones_is_refused() {
    assert_eq!(error_of("name = \"x\"\n"), "line 1: missing field `zone`");
    assert_eq!(
        error_of("name = \"x\"\nzone = []\n"),
        "line 2: zone: at least one zone is needed"
    );
}

#[test]
fn an_oversized_file_is_refused_before_it_is_parsed() {
    let text = format!("{FLEET}# {}\n", "x".repeat(13 * 1024 * 1024));
    assert!(error_of(&text).contains("at most 12582912 are allowed"));
}

#[test]
fn all_faults_are_reported_in_the_order_of_their_lines() {
    let text = FLEET
        .replace("weight = 2", "weight = 0")
        .replace("context_tokens = 1000", "context_tokens = 0")
        .replace("max_output_tokens = 10", "max_output_tokens = 0");
    let errors = Fleet::parse_reporting_all(&text).unwrap_err();
    let lines: Vec<usize> = errors.iter().filter_map(|error| error.line).collect();
    assert_eq!(lines, [14, 35, 48]);
}

#[test]
fn the_number_of_reported_faults_is_bounded() {
    let zones: String = (0..200)
        .map(|_| "[[zone]]\nname = \"same\"\nregion = \"r\"\n")
        .collect();
    let errors = Fleet::parse_reporting_all(&format!("name = \"x\"\n{zones}")).unwrap_err();
    assert_eq!(errors.len(), MAX_REPORTED_FAULTS);
}
