//! How long a batch item waits after replicas ended under its runs.
//!
//! An item is work that is owed: it is never refused, and what its runs say of a replica's end is
//! not held against any request. Pauses only bound how many replicas an item ends in a minute
//! if it does end them, so that other work goes on.

/// Pause after the first replica ended under an item, in milliseconds.
const FIRST_PAUSE_MS: u64 = 400;
/// Pause after each further end, in milliseconds: with the first two runs, an item that ends each
/// replica ends at most 14 in a minute.
const PAUSE_MS: u64 = 5_000;

/// Time from the last end until an item under which this number of replicas ended may run again,
/// in milliseconds.
#[must_use]
pub fn item_pause_ms(ends: usize) -> u64 {
    match ends {
        0 => 0,
        1 => FIRST_PAUSE_MS,
        _ => PAUSE_MS,
    }
}
