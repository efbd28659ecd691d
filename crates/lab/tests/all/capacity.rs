//! The capacity page names only commands that exist.

use std::{collections::BTreeSet, fs, path::Path, process::Command};

const PROGRAM: &str = "linnethitch-lab";

/// The command lines of this program on the page: quoted, or indented as code.
fn command_lines(page: &str) -> BTreeSet<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let indented = page.lines().filter_map(|line| line.strip_prefix("    "));
    quoted
        .chain(indented)
        .map(|line| line.split('#').next().unwrap_or_default().trim())
        .filter(|line| line.split_whitespace().next() == Some(PROGRAM))
        .map(str::to_owned)
        .collect()
}

fn help_of(subcommand: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_linnethitch-lab"))
        .args(subcommand)
        .arg("--help")
        .output()
        .unwrap();
    assert!(output.status.success(), "no command {subcommand:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn every_command_that_the_page_names_exists_with_its_flags() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    let lines = command_lines(&fs::read_to_string(page).unwrap());
    assert!(lines.len() >= 2, "only {lines:?}");
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().skip(1).collect();
        let names = words.iter().take_while(|word| !word.starts_with("--"));
        let subcommand: Vec<&str> = names.copied().collect();
        assert!(!subcommand.is_empty(), "`{line}` names no subcommand");
        let help = help_of(&subcommand);
        for flag in words.iter().filter(|word| word.starts_with("--")) {
            let flag = flag.split('=').next().unwrap_or(flag);
            assert!(help.contains(flag), "`{line}`: no flag {flag} in\n{help}");
        }
    }
}
