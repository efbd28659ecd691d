//! The example files are valid and match the size of the deployments.

use std::{fs, path::PathBuf};

use linnethitch_config::{
    digest::key_sha256,
    fleet::Fleet,
    settings::{ControlSettings, ControlValues, GatewaySettings, GatewayValues},
};
use rstest::rstest;

/// A file under `examples/`.
fn example_file(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    folder.join(name)
}

/// The text of a file under `examples/`.
pub(crate) fn example(name: &str) -> String {
    fs::read_to_string(example_file(name)).unwrap()
}

#[rstest]
#[case("granite-lane.toml", 12, 3)]
#[case("hanbit.toml", 18, 3)]
fn an_example_has_the_size_of_the_deployment(
    #[case] file: &str,
    #[case] engines: u32,
    #[case] applications: u32,
) {
    let fleet = Fleet::parse(&example(file)).unwrap();
    assert_eq!(fleet.zones.len(), 3);
    let replicas = |placement: &[linnethitch_config::fleet::Placement]| {
        placement.iter().map(|entry| entry.replicas).sum::<u32>()
    };
    let model_replicas: u32 = fleet
        .models
        .iter()
        .map(|pool| replicas(&pool.placement))
        .sum();
    let service_replicas: u32 = fleet
        .services
        .iter()
        .map(|service| replicas(&service.placement))
        .sum();
    assert_eq!((model_replicas, service_replicas), (engines, applications));
    let development_hash = key_sha256("lh-dev-key");
    assert!(
        fleet
            .tenants
            .iter()
            .any(|tenant| tenant.key_sha256 == development_hash)
    );
    assert!(
        fleet
            .tenants
            .iter()
            .any(|tenant| tenant.max_in_flight.is_some())
    );
}

#[test]
fn the_one_host_settings_agree_with_its_fleet_file() {
    let fleet = Fleet::parse(&example("one-host/fleet.toml")).unwrap();
    let zones: Vec<&str> = fleet.zones.iter().map(|zone| zone.name.as_str()).collect();
    let mut attach_addresses = Vec::new();
    for machine in 1..=5 {
        let file = example_file(&format!("one-host/control-{machine}.toml"));
        let settings = ControlSettings::load(Some(&file), ControlValues::default()).unwrap();
        assert_eq!(
            (settings.machine, settings.cluster),
            (machine, fleet.name.clone())
        );
        assert_eq!(settings.operator_key_sha256, key_sha256("lh-dev-operator"));
        assert!(zones.contains(&settings.zone.as_str()));
        attach_addresses.push(settings.attach_address);
    }
    for number in 1..=2 {
        let file = example_file(&format!("one-host/gateway-{number}.toml"));
        let settings = GatewaySettings::load(Some(&file), GatewayValues::default()).unwrap();
        assert_eq!(settings.cluster, fleet.name);
        assert_eq!(settings.control_addresses, attach_addresses);
        assert!(zones.contains(&settings.zone.as_str()));
    }
}
