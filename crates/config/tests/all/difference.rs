//! Differences of fleet files in words.

use linnethitch_config::fleet::Fleet;
use rstest::rstest;

use crate::examples::example;

fn words(old: &str, new: &str) -> Vec<String> {
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
#[case::placement_gone(
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
#[case::limit_lifted(
    "max_in_flight = 4 ",
    "",
    &["tenant \"partner-trial\": max_in_flight 4 -> (none)"]
)]
#[case::policy("spill_ms = 50.0", "spill_ms = 20.0", &["routing: spill_ms 50.0 -> 20.0"])]
#[case::default_left_out("batch = true ", "", &[])]
#[case::name("name = \"granite-lane\"", "name = \"granite\"", &["name \"granite-lane\" -> \"granite\""])]
fn a_change_is_told_in_words(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] expected: &[&str],
) {
    let old = example("granite-lane.toml");
    assert!(old.contains(part));
    assert_eq!(words(&old, &old.replacen(part, replacement, 1)), expected);
}

#[test]
fn the_order_of_elements_is_no_change() {
    let zones = [
        "[[zone]]\nname = \"a\"\nregion = \"r\"\n",
        "[[zone]]\nname = \"b\"\nregion = \"r\"\n",
    ];
    let forward = format!("name = \"x\"\n{}{}", zones[0], zones[1]);
    let backward = format!("name = \"x\"\n{}{}", zones[1], zones[0]);
    assert!(words(&forward, &backward).is_empty());
}
