//! The example files are valid and are what the deployments need.

use std::{fs, path::PathBuf};

use linnethitch_config::{digest::key_sha256, fleet::Fleet};
use rstest::rstest;

/// The text of a file under `examples/`.
pub(crate) fn example(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(folder.join(name)).unwrap()
}

#[rstest]
#[case("granite-lane.toml", 12, 3)]
#[case("hanbit.toml", 18, 3)]
fn an_example_has_the_deployment_s_size(
    #[case] file: &str,
    #[case] engines: u32,
    #[case] applications: u32,
) {
    let fleet = Fleet::parse(&example(file)).unwrap();
    assert_eq!(fleet.zones.len(), 3);
    let replicas = |placement: &[linnethitch_config::fleet::Placement]| {
        placement.iter().map(|place| place.replicas).sum::<u32>()
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
