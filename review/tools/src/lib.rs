//! Parts of the review's scripts: a fleet of the project's processes on loopback addresses, the
//! operator's and clients' calls, stand-in replicas; and the record.

pub mod fleet;
pub mod http;
pub mod record;
pub mod replica;

use std::{process::exit, thread, time::Duration};

/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a run in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends all processes and exits with `NOT_RUN` after this time.
pub fn limit_run(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        record::note("the run took too long");
        finish(NOT_RUN);
    });
}

/// Ends all processes that the run started and exits.
pub fn finish(code: i32) -> ! {
    fleet::end_processes();
    record::note(&format!("exit {code}"));
    exit(code)
}

/// The value, or the end of the run because the case could not run.
pub fn needed<T>(value: Option<T>, what: &str) -> T {
    match value {
        Some(value) => value,
        None => {
            record::note(&format!("could not run: {what}"));
            finish(NOT_RUN)
        }
    }
}
