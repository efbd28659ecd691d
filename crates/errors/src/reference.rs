//! The error table as the reference page shows it.

use std::fmt::Write;

use crate::kind::ErrorKind;

/// The table of every kind in Markdown, for `docs/reference/errors.md`.
#[must_use]
pub fn reference_table() -> String {
    let mut table =
        String::from("| Code | Status | Executed | Retry | When |\n|---|---|---|---|---|\n");
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = if answer.retryable { "yes" } else { "no" };
        // Writing to a string does not fail.
        let _ = writeln!(
            table,
            "| `{}` | {} | {} | {retry} | {} |",
            answer.code,
            answer.status,
            answer.executed.as_str(),
            kind.description().trim()
        );
    }
    table
}
