//! A fleet file of the maximum intended size.

use std::fmt::Write;

use linnethitch_config::{
    digest::{content_digest, key_sha256},
    fleet::Fleet,
};
use linnethitch_protocol::text_edit::{apply_edits, line_edits};

const TENANTS: usize = 45_000;

/// A valid file with this many tenants.
pub(crate) fn fleet_of(tenants: usize) -> String {
    let mut text = String::from("name = \"large\"\n\n[[zone]]\nname = \"z\"\nregion = \"r\"\n");
    for number in 0..tenants {
        let key = key_sha256(&format!("key-{number}"));
        let _ = write!(
            text,
            "\n[[tenant]]\nname = \"tenant-{number}\"\nkey_sha256 = \"{key}\"\nrequests_per_second = 10.0\n"
        );
    }
    text
}

#[test]
fn a_file_of_45_000_tenants_is_read_and_changed_by_a_small_edit() {
    let old = fleet_of(TENANTS);
    let fleet = Fleet::parse(&old).unwrap();
    assert_eq!(fleet.tenants.len(), TENANTS);
    let new = old.replacen(
        "requests_per_second = 10.0",
        "requests_per_second = 11.0",
        1,
    );
    let new = format!("{new}weight = 2\n");
    let edits = line_edits(&old, &new);
    let inserted: usize = edits.iter().map(|edit| edit.inserted.len()).sum();
    assert_eq!(
        (edits.len(), inserted),
        (2, "requests_per_second = 11.0\nweight = 2\n".len())
    );
    let applied = apply_edits(&old, &edits).unwrap();
    assert_eq!(content_digest(&applied), content_digest(&new));
    let descriptions: Vec<String> = fleet
        .diff(&Fleet::parse(&new).unwrap())
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        descriptions,
        [
            "tenant \"tenant-0\": requests_per_second 10.0 -> 11.0",
            "tenant \"tenant-44999\": weight (none) -> 2"
        ]
    );
}

#[test]
fn a_fault_in_the_last_tenant_is_reported_with_its_line() {
    let text = fleet_of(TENANTS) + "weight = 0\n";
    let error = Fleet::parse(&text).unwrap_err();
    assert_eq!(error.line, Some(text.lines().count()));
    assert_eq!(error.field, "tenant[44999].weight");
}
