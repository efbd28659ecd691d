//! Printing on standard output.

use std::io::Write;

/// Prints a line at once, also into a pipe.
pub(crate) fn say(line: &str) {
    let mut output = std::io::stdout().lock();
    // A reader that is gone is no reason to stop.
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}
