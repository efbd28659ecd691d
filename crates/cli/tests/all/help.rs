//! Help texts and messages about wrong command lines.

use rstest::rstest;

use crate::program::run;

#[rstest]
#[case::program(&["--help"], &["validate", "apply", "explain", "Exit status: 0 done"])]
#[case::gateway(&["gateway", "--help"], &["--settings=FILE", "--listen-address", "SIGTERM", "Example:"])]
#[case::control(&["control", "--help"], &["--settings=FILE", "--peer=", "--bootstrap", "SIGTERM", "Example:"])]
#[case::validate(&["validate", "--help"], &["FILE", "Nothing is contacted"])]
#[case::diff(&["diff", "--help"], &["--operator", "--key-file", "Nothing is changed"])]
#[case::apply(&["apply", "--help"], &["--change-id", "--expected-revision", "--wait", "FILE.change"])]
#[case::status(&["status", "--help"], &["--json", "disks"])]
#[case::explain(&["explain", "--help"], &["batch_.../17", "--gateway"])]
#[case::batch(&["batch", "--help"], &["submit", "get", "list", "cancel", "output"])]
#[case::submit(&["batch", "submit", "--help"], &["--idempotency-key", "--wait", "--window"])]
fn help_explains(#[case] arguments: &[&str], #[case] expected: &[&str]) {
    let finished = run(arguments);
    assert_eq!(finished.status, 0);
    for part in expected {
        assert!(
            finished.output.contains(part),
            "{part} in {}",
            finished.output
        );
    }
}

#[rstest]
#[case::no_command(&[], "expected `COMMAND ...`")]
#[case::unknown_command(&["aply"], "did you mean `apply`")]
#[case::unknown_flag(&["validate", "--wat", "x"], "`--wat` is not expected")]
#[case::no_operator(&["status", "--key-file", "k"], "at least one --operator IP:PORT is needed")]
#[case::bad_address(&["status", "--operator", "here", "--key-file", "k"], "couldn't parse `here`")]
#[case::bad_peer(&["control", "--peer", "1:127.0.0.1:7101"], "a peer is N=IP:PORT")]
#[case::explain_whom(&["explain", "--key-file", "/dev/null", "x"], "")]
fn a_wrong_command_line_is_reported(#[case] arguments: &[&str], #[case] expected: &str) {
    let finished = run(arguments);
    assert!(finished.errors.contains(expected), "{}", finished.errors);
    let refused_key = arguments.contains(&"/dev/null");
    assert_eq!(finished.status, if refused_key { 3 } else { 2 });
}
