use std::{
    fs,
    path::{Path, PathBuf},
};

use linnethitch_scale::capacity::{Kind, MeasuredFile, PageError, Role, render_page};
use rstest::rstest;

use crate::support::{measurement, per_change};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn committed_page() -> String {
    fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap()
}

fn page_with_all_roles() -> String {
    let parts = Role::ALL.map(|role| {
        let marker = role.marker();
        format!("<!-- measured: {marker} -->\nstale\n<!-- end measured -->\n")
    });
    format!("# Title\n{}The end\n", parts.concat())
}

#[test]
fn the_committed_page_matches_the_committed_measurements() {
    let measured = MeasuredFile::read(&root().join("docs/capacity/measured.json")).unwrap();
    let page = committed_page();
    let rendered = render_page(&page, &measured).unwrap();
    assert!(
        rendered == page,
        "docs/CAPACITY.md differs from its measurements; run `linnethitch-lab capacity`"
    );
}

#[test]
fn only_generated_parts_change_and_rendering_is_idempotent() {
    let measured = MeasuredFile::default();
    let once = render_page(&page_with_all_roles(), &measured).unwrap();
    assert!(once.starts_with("# Title\n") && once.ends_with("The end\n"));
    assert!(!once.contains("stale"));
    assert!(once.contains("not yet measured for this role: memory, disk"));
    assert_eq!(render_page(&once, &measured).unwrap(), once);
}

#[rstest]
#[case::extrapolated(
    measurement("a", Kind::Memory, &[(0, 1024.0), (10, 2048.0)]),
    "1.00 KiB + 102 B × 410 = 42.0 KiB (extrapolated)"
)]
#[case::within_measured_sizes(
    measurement("a", Kind::Time, &[(0, 0.0), (500, 0.5)]),
    "0 ns + 1.00 ms × 410 = 410 ms |"
)]
#[case::per_change(
    per_change(measurement("a", Kind::Cpu, &[(0, 0.01), (410, 0.01)])),
    "10.0 ms + 0 ns × 410 = 10.0 ms, × 0.0231/s | – | – | 0.0231 % of a core |"
)]
#[case::source(
    measurement("a", Kind::Memory, &[(1, 1.0)]),
    "Source: `linnethitch-lab measure` at commit 0123456 on 2026-01-31."
)]
fn a_row_shows_line_extrapolation_and_source(
    #[case] row: linnethitch_scale::capacity::Measurement,
    #[case] expected: &str,
) {
    let mut measured = MeasuredFile::default();
    measured.merge(vec![row]);
    let page = render_page(&page_with_all_roles(), &measured).unwrap();
    assert!(page.contains(expected), "{page}");
}

#[test]
fn a_cost_that_another_row_contains_is_shown_and_not_summed() {
    let row = |id| measurement(id, Kind::Memory, &[(410, 1024.0)]);
    let mut measured = MeasuredFile::default();
    let ids = [
        "a.memory.process",
        "a.memory.ledger.tenants",
        "a.memory.other",
    ];
    measured.merge(ids.map(row).to_vec());
    let page = render_page(&page_with_all_roles(), &measured).unwrap();
    assert!(page.contains("(`a.memory.ledger.tenants`, part of another row)"));
    assert!(page.contains("| **2.00 KiB** |"), "{page}");
}

#[rstest]
#[case::unknown(
    "<!-- measured: nobody -->\n<!-- end measured -->\n",
    PageError::UnknownMarker("nobody".to_owned())
)]
#[case::unterminated(
    "<!-- measured: gateway -->\ntext\n",
    PageError::UnterminatedPart("gateway".to_owned())
)]
#[case::missing("# Title\n", PageError::MissingRole("gateway"))]
fn invalid_markers_are_refused(#[case] page: &str, #[case] expected: PageError) {
    let found = render_page(page, &MeasuredFile::default()).unwrap_err();
    assert_eq!(found, expected);
}

/// Parts of a text between backquotes.
fn backquoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Whether a source file defines an item with this name.
fn defines(source: &str, item: &str) -> bool {
    ["struct", "enum", "fn", "const", "trait", "mod", "type"]
        .iter()
        .flat_map(|keyword| {
            source
                .match_indices(&format!("{keyword} {item}"))
                .collect::<Vec<_>>()
        })
        .any(|(at, found)| {
            let next = source[at + found.len()..].chars().next();
            next.is_some_and(|next| !next.is_alphanumeric() && next != '_')
        })
}

#[test]
fn every_file_and_item_that_the_page_names_exists() {
    let page = committed_page();
    let references: Vec<&str> = backquoted(&page)
        .filter(|part| part.starts_with("crates/") || part.starts_with("docs/"))
        .collect();
    assert!(references.len() >= 10, "only {references:?}");
    for reference in references {
        let (path, item) = match reference.split_once('#') {
            Some((path, item)) => (path, Some(item)),
            None => (reference, None),
        };
        let path = root().join(path);
        assert!(path.exists(), "{reference} does not exist");
        let Some(item) = item else { continue };
        let source = fs::read_to_string(&path).unwrap();
        assert!(defines(&source, item), "{reference} is not defined there");
    }
}
