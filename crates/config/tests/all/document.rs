//! Replacing a file by a similar one gives the same result as parsing the new file.

use std::sync::Arc;

use linnethitch_config::fleet::{Fleet, FleetDocument};
use proptest::prelude::*;
use rstest::rstest;

use crate::{examples::example, large::fleet_of};

/// The complete text as parsed by the TOML library.
fn parse_complete(text: &str) -> Result<Fleet, String> {
    toml::from_str(text).map_err(|error: toml::de::Error| error.message().to_owned())
}

#[test]
fn unchanged_tenants_are_shared_and_changed_ones_are_new() {
    let old = FleetDocument::parse(fleet_of(100)).unwrap();
    let text = old.text().replacen("tenant-50\"", "tenant-x\"", 1);
    let new = old.replaced_by(text.clone()).unwrap();
    let shared = old
        .fleet()
        .tenants
        .iter()
        .zip(&new.fleet().tenants)
        .filter(|(old, new)| Arc::ptr_eq(old, new))
        .count();
    assert_eq!(shared, 99);
    assert_eq!(**new.fleet(), parse_complete(&text).unwrap());
    assert_ne!(old.digest(), new.digest());
}

#[test]
fn sections_moved_within_the_search_window_are_shared() {
    let old = FleetDocument::parse(fleet_of(100)).unwrap();
    let first = old.text().find("[[tenant]]").unwrap();
    let second = first + old.text()[first + 1..].find("[[tenant]]").unwrap() + 1;
    let without_first = format!("{}{}", &old.text()[..first], &old.text()[second..]);
    let new = old.replaced_by(without_first).unwrap();
    assert_eq!(new.fleet().tenants.len(), 99);
    assert!(Arc::ptr_eq(
        &old.fleet().tenants[1],
        &new.fleet().tenants[0]
    ));
}

#[rstest]
#[case::multi_line_string(
    "name = \"\"\"a\n[[tenant]]\nb\"\"\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n"
)]
#[case::literal_multi_line_string(
    "name = '''a\n[[tenant]]\nb'''\n[[zone]]\nname=\"z\"\nregion=\"r\"\n"
)]
#[case::comment_after_header(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[tenant]] # one\nname=\"t\"\nkey_sha256=\"k\"\n"
)]
#[case::spaced_header(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[ tenant ]]\nname=\"t\"\nkey_sha256=\"k\"\n"
)]
#[case::spaced_and_plain(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[ tenant ]]\nname=\"t\"\nkey_sha256=\"k\"\n[[tenant]]\nname=\"u\"\nkey_sha256=\"l\"\n"
)]
#[case::inline_tenants(
    "name = \"a\"\ntenant = [{name=\"t\",key_sha256=\"k\"}]\n[[zone]]\nname=\"z\"\nregion=\"r\"\n"
)]
#[case::between_models(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[model]]\nname=\"m\"\nversion=\"1\"\nplacement=[]\n[[tenant]]\nname=\"t\"\nkey_sha256=\"k\"\n[[model.adapter]]\nname=\"x\"\nversion=\"1\"\n"
)]
#[case::windows_line_endings(
    "name = \"a\"\r\n[[zone]]\r\nname=\"z\"\r\nregion=\"r\"\r\n[[tenant]]\r\nname=\"t\"\r\nkey_sha256=\"k\"\r\n"
)]
#[case::table_below_tenant(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[tenant]]\nname=\"t\"\nkey_sha256=\"k\"\n[tenant.more]\nx=1\n"
)]
#[case::tenant_as_table(
    "name = \"a\"\n[tenant]\nname=\"t\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[tenant]]\nname=\"t\"\nkey_sha256=\"k\"\n"
)]
#[case::tenant_inside_an_array(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[model]]\nname=\"m\"\nversion=\"1\"\nplacement=[\n[[tenant]]\n]\n"
)]
#[case::array_in_a_tenant(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[tenant]]\nname=\"t\"\nkey_sha256=[\n[1]\n]\n"
)]
#[case::quote_of_three_in_a_comment(
    "name = \"a\"\n# \"\"\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[tenant]]\nname=\"t\"\nkey_sha256=\"k\"\n"
)]
#[case::no_last_line_feed(
    "name = \"a\"\n[[zone]]\nname=\"z\"\nregion=\"r\"\n[[tenant]]\nname=\"t\"\nkey_sha256=\"k\""
)]
#[case::key_after_the_sections(
    "[[zone]]\nname=\"z\"\nregion=\"r\"\n[[tenant]]\nname=\"t\"\nkey_sha256=\"k\"\nweight=3\n[limits]\n[batch]\n"
)]
fn unusual_texts_are_parsed_like_the_toml_library(#[case] text: &str) {
    let key = |letter: &str| letter.repeat(64);
    let text = text
        .replace("\"k\"", &format!("\"{}\"", key("a")))
        .replace("\"l\"", &format!("\"{}\"", key("b")))
        .replace(
            "\"\"\"a\n[[tenant]]\nb\"\"\"",
            "\"\"\"a\\\n[[tenant]]\\\nb\"\"\"",
        );
    let base = FleetDocument::parse(fleet_of(3)).unwrap();
    let expected = parse_complete(&text);
    for read in [
        FleetDocument::parse(text.clone()),
        base.replaced_by(text.clone()),
    ] {
        match (&expected, read) {
            (Ok(expected), Ok(read)) => assert_eq!(**read.fleet(), *expected),
            // Validation may refuse a text that the library accepts, but not accept a text that
            // the library refuses.
            (Ok(_), Err(error)) => assert!(
                error.message.contains("characters other") || error.field == "name",
                "{error}"
            ),
            (Err(expected), Err(error)) => {
                let expected = expected.lines().next().unwrap_or_default();
                assert!(error.message.contains(expected), "{error}, not {expected}");
            }
            (Err(expected), Ok(_)) => {
                panic!("accepted a text that the library refuses: {expected}")
            }
        }
    }
}

#[test]
fn an_error_in_a_replaced_section_names_its_line() {
    let old = FleetDocument::parse(example("granite-lane.toml")).unwrap();
    let text = old.text().replace("max_in_flight = 4", "max_in_fligth = 4");
    let line = 1 + text[..text.find("max_in_fligth").unwrap()]
        .matches('\n')
        .count();
    let error = old.replaced_by(text).unwrap_err();
    assert_eq!(error.line, Some(line));
    assert_eq!(error.field, "tenant[1].max_in_fligth");
}

/// Any number of sections in any order; some of them invalid.
fn sections() -> impl Strategy<Value = Vec<String>> {
    let section = (0_u32..6, 0_u32..3).prop_map(|(number, weight)| {
        let key = format!("{number}").repeat(64);
        format!("[[tenant]]\nname = \"t{number}\"\nkey_sha256 = \"{key}\"\nweight = {weight}\n")
    });
    let other = prop_oneof![
        Just("[batch]\nlease_ms = 5000\n".to_owned()),
        Just("# a comment\n\n".to_owned()),
        Just("[[model]]\nname = \"m\"\nversion = \"1\"\nplacement = [\n  { zone = \"z\", replicas = 1 },\n]\n".to_owned()),
        Just("[[model.adapter]]\nname = \"a\"\nversion = \"1\"\n".to_owned()),
        Just("weight = 9\n".to_owned()),
    ];
    prop::collection::vec(prop_oneof![4 => section, 1 => other], 0..8)
}

fn text_of(sections: &[String]) -> String {
    format!(
        "name = \"x\"\n[[zone]]\nname = \"z\"\nregion = \"r\"\n{}",
        sections.concat()
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn a_replaced_file_equals_the_newly_parsed_file(old in sections(), new in sections()) {
        let (old, new) = (text_of(&old), text_of(&new));
        let Ok(old) = FleetDocument::parse(old) else {
            return Ok(());
        };
        match (old.replaced_by(new.clone()), parse_complete(&new)) {
            (Ok(read), Ok(expected)) => prop_assert_eq!(&**read.fleet(), &expected),
            (Ok(_), Err(error)) => prop_assert!(false, "accepted a text that the library refuses: {}", error),
            (Err(_), _) => prop_assert!(FleetDocument::parse(new).is_err()),
        }
    }
}
