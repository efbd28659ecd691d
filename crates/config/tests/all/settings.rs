//! Settings files: valid ones, invalid ones and the error messages.

use std::{fs, path::Path};

use linnethitch_config::settings::{
    ControlSettings, ControlValues, GatewaySettings, GatewayValues, LogLevel, read_cluster_key,
};
use rstest::rstest;

pub(crate) const GATEWAY: &str = r#"gateway_id = "gateway-1"
zone = "worcester"
region = "new-england"
listen_address = "127.0.0.1:8080"
control_addresses = ["127.0.0.1:7001", "127.0.0.1:7002"]
cluster = "trial"
cluster_key_file = "cluster.key"
data_dir = "data"
"#;

pub(crate) const CONTROL: &str = r#"machine = 2
zone = "worcester"
region = "new-england"
peer_address = "127.0.0.1:7102"
attach_address = "127.0.0.1:7002"
operator_address = "127.0.0.1:8092"
cluster = "trial"
cluster_key_file = "cluster.key"
operator_key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
platform_address = "127.0.0.1:9000"
data_dir = "data"

[[peers]]
machine = 1
address = "127.0.0.1:7101"

[[peers]]
machine = 2
address = "127.0.0.1:7102"
"#;

/// The settings in a valid gateway file.
pub(crate) fn gateway(text: &str) -> GatewaySettings {
    load_gateway(text, GatewayValues::default()).unwrap()
}

/// The settings in a valid control file.
pub(crate) fn control(text: &str) -> ControlSettings {
    load_control(text).unwrap()
}

fn load_gateway(text: &str, flags: GatewayValues) -> Result<GatewaySettings, String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("gateway.toml");
    fs::write(&file, text).unwrap();
    GatewaySettings::load(Some(&file), flags).map_err(|error| error_text(&error, folder.path()))
}

fn load_control(text: &str) -> Result<ControlSettings, String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("control.toml");
    fs::write(&file, text).unwrap();
    ControlSettings::load(Some(&file), ControlValues::default())
        .map_err(|error| error_text(&error, folder.path()))
}

fn error_text(error: &impl ToString, folder: &Path) -> String {
    error
        .to_string()
        .replace(&format!("{}/", folder.display()), "")
}

#[test]
fn a_gateway_file_is_read_and_completed_with_defaults() {
    let settings = load_gateway(GATEWAY, GatewayValues::default()).unwrap();
    assert_eq!(settings.gateway_id, "gateway-1");
    assert_eq!(settings.control_addresses.len(), 2);
    assert_eq!(settings.log.level, LogLevel::Info);
    assert!(settings.limits.max_connections > 0);
}

#[test]
fn a_flag_overrides_the_file() {
    let flags = GatewayValues {
        zone: Some("hartford".to_owned()),
        listen_address: Some("127.0.0.1:0".parse().unwrap()),
        ..GatewayValues::default()
    };
    let settings = load_gateway(GATEWAY, flags).unwrap();
    assert_eq!(settings.zone, "hartford");
    assert_eq!(settings.listen_address.port(), 0);
    assert_eq!(settings.region, "new-england");
}

#[test]
fn without_a_file_a_missing_flag_is_named() {
    let error = GatewaySettings::load(None, GatewayValues::default()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "flags: gateway_id: missing; set it in the settings file or with --gateway-id"
    );
}

#[rstest]
#[case::unknown_key(
    "zone = ",
    "zoen = ",
    "gateway.toml: line 2: zoen: unknown field `zoen`"
)]
#[case::bad_address(
    "127.0.0.1:8080",
    "127.0.0.1",
    "gateway.toml: line 4: listen_address: invalid socket address syntax"
)]
#[case::bad_list_element(
    "127.0.0.1:7002",
    "nowhere",
    "gateway.toml: line 5: control_addresses[1]: invalid socket address syntax"
)]
#[case::port_zero(
    "127.0.0.1:7002",
    "127.0.0.1:0",
    "gateway.toml: line 5: control_addresses: 127.0.0.1:0 is no address to connect to"
)]
#[case::no_addresses(
    "[\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    "[]",
    "gateway.toml: line 5: control_addresses: at least one address is needed"
)]
#[case::name_characters(
    "gateway-1",
    "gate way",
    "gateway.toml: line 1: gateway_id: `gate way` holds a character other than"
)]
#[case::empty_name(
    "\"trial\"",
    "\"\"",
    "gateway.toml: line 6: cluster: must not be empty"
)]
#[case::wrong_type(
    "\"worcester\"",
    "7",
    "gateway.toml: line 2: zone: invalid type: integer `7`, expected a string"
)]
#[case::missing(
    "data_dir = \"data\"",
    "",
    "gateway.toml: data_dir: missing; set it in the settings file or with --data-dir"
)]
#[case::syntax("zone = \"worcester\"", "zone = \"worcester", "gateway.toml: line 2: ")]
#[case::duplicate(
    "zone = ",
    "cluster = ",
    "gateway.toml: line 6: duplicate key `cluster`"
)]
#[case::log_level(
    "data_dir = \"data\"",
    "data_dir = \"data\"\n[log]\nlevel = \"loud\"",
    "gateway.toml: line 10: log.level: unknown variant `loud`"
)]
#[case::small_journal(
    "data_dir = \"data\"",
    "data_dir = \"data\"\njournal_max_bytes = 10",
    "gateway.toml: line 9: journal_max_bytes: 10 is below the least value 65536"
)]
#[case::zero_limit(
    "data_dir = \"data\"",
    "data_dir = \"data\"\n[limits]\nmax_connections = 0",
    "gateway.toml: line 10: limits.max_connections: must be above 0"
)]
fn an_invalid_gateway_file_is_refused_with_line_and_field(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    assert!(GATEWAY.contains(part));
    let text = GATEWAY.replacen(part, replacement, 1);
    let error = load_gateway(&text, GatewayValues::default()).unwrap_err();
    assert!(error.starts_with(expected), "{error}");
}

#[rstest]
#[case::not_listed(
    "machine = 2\nzone",
    "machine = 3\nzone",
    "control.toml: line 13: peers: this machine, 3, is not listed"
)]
#[case::listed_twice(
    "machine = 1",
    "machine = 2",
    "control.toml: line 18: peers[1].machine: machine 2 is listed twice"
)]
#[case::same_address(
    "address = \"127.0.0.1:7101\"",
    "address = \"127.0.0.1:7102\"",
    "control.toml: line 19: peers[1].address: address 127.0.0.1:7102 is listed twice"
)]
#[case::unknown_peer_key(
    "address = \"127.0.0.1:7101\"",
    "adress = \"x\"",
    "control.toml: line 15: peers[0].adress: unknown field `adress`"
)]
#[case::key_hash(
    "= \"0000",
    "= \"000g",
    "control.toml: line 9: operator_key_sha256: must be a SHA-256"
)]
#[case::negative_machine(
    "machine = 2\nzone",
    "machine = -2\nzone",
    "control.toml: line 1: machine: invalid value: integer `-2`, expected u32"
)]
fn an_invalid_control_file_is_refused_with_line_and_field(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    assert!(CONTROL.contains(part));
    let error = load_control(&CONTROL.replacen(part, replacement, 1)).unwrap_err();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn a_control_file_is_read() {
    let settings = load_control(CONTROL).unwrap();
    assert_eq!(settings.machine, 2);
    assert_eq!(settings.peers.len(), 2);
    assert!(!settings.bootstrap);
}

#[test]
fn a_missing_file_and_a_short_key_are_named() {
    let folder = tempfile::tempdir().unwrap();
    let absent = folder.path().join("absent.toml");
    let error = GatewaySettings::load(Some(&absent), GatewayValues::default()).unwrap_err();
    assert!(error.to_string().contains("absent.toml: No such file"));
    let key = folder.path().join("key");
    fs::write(&key, "short\n").unwrap();
    let error = read_cluster_key(&key).unwrap_err();
    assert!(error.to_string().contains("has 5 bytes, at least 16"));
    fs::write(&key, "0123456789abcdef\n").unwrap();
    assert_eq!(read_cluster_key(&key).unwrap(), b"0123456789abcdef");
}
