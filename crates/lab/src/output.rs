//! Prints to standard output.

use std::io::Write;

/// Prints a line and flushes it, also into a pipe.
pub(crate) fn print_line(line: &str) {
    let mut output = std::io::stdout().lock();
    // A closed pipe does not stop the program.
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}
