//! The error table of the reference page.

use std::fmt::Write;

use crate::kind::ErrorKind;

/// A Markdown table of all kinds, for `docs/reference/errors.md`.
#[must_use]
pub fn reference_table() -> String {
    let mut table =
        String::from("| Code | Status | Executed | Retry | When |\n|---|---|---|---|---|\n");
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = if answer.retryable { "yes" } else { "no" };
        // Writing to a string cannot fail.
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
