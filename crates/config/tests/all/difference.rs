//! Human-readable differences of fleet files.

use linnethitch_config::fleet::Fleet;
use rstest::rstest;

use crate::examples::example;

fn descriptions(old: &str, new: &str) -> Vec<String> {
    let old = Fleet::parse(old).unwrap();
    let new = Fleet::parse(new).unwrap();
    old.diff(&new).iter().map(ToString::to_string).collect()
}

#[rstest]
#[case::comment_only("# The fleet", "# the fleet", &[])]
#[case::version(
    "version = \"1\"\ncontext",
    "version = \"2\"\ncontext",
    &["model \"quote-writer\": version \"1\" -> \"2\""]
)]
#[case::replicas(
    "{ zone = \"hartford\", replicas = 4 }",
    "{ zone = \"hartford\", replicas = 6 }",
    &["model \"quote-writer\", placement \"hartford\": replicas 4 -> 6"]
)]
#[case::placement_removed(
    "    { zone = \"hartford\", replicas = 4 },\n",
    "",
    &["model \"quote-writer\", placement \"hartford\" is removed"]
)]
#[case::adapter_renamed(
    "name = \"lane-pricing\"",
    "name = \"lanes\"",
    &[
        "model \"quote-writer\", adapter \"lane-pricing\" is removed",
        "model \"quote-writer\", adapter \"lanes\" is added",
    ]
)]
#[case::limit_removed(
    "max_in_flight = 4 ",
    "",
    &["tenant \"partner-trial\": max_in_flight 4 -> (none)"]
)]
#[case::policy("spill_ms = 50.0", "spill_ms = 20.0", &["routing: spill_ms 50.0 -> 20.0"])]
#[case::default_omitted("batch = true ", "", &[])]
#[case::name("name = \"granite-lane\"", "name = \"granite\"", &["name \"granite-lane\" -> \"granite\""])]
fn changes_are_described(#[case] part: &str, #[case] replacement: &str, #[case] expected: &[&str]) {
    let old = example("granite-lane.toml");
    assert!(old.contains(part));
    assert_eq!(
        descriptions(&old, &old.replacen(part, replacement, 1)),
        expected
    );
}

#[test]
fn reordered_elements_are_no_change() {
    let zones = [
        "[[zone]]\nname = \"a\"\nregion = \"r\"\n",
        "[[zone]]\nname = \"b\"\nregion = \"r\"\n",
    ];
    let forward = format!("name = \"x\"\n{}{}", zones[0], zones[1]);
    let backward = format!("name = \"x\"\n{}{}", zones[1], zones[0]);
    assert!(descriptions(&forward, &backward).is_empty());
}
