//! Keys of starts: what is kept of a replica belongs to one start of it.
//!
//! A replica that does not tell its start has its id as its key; else the key is
//! `ID#BORN`. An id holds no `#`.

/// Between the id and the start in a key.
const SEPARATOR: char = '#';

/// The key of a start; `born` is 0 where the replica does not tell it.
#[must_use]
pub fn start_key(id: &str, born: u64) -> String {
    match born {
        0 => id.to_owned(),
        born => format!("{id}{SEPARATOR}{born}"),
    }
}

/// The replica's id and which start of it a key names.
#[must_use]
pub fn parse_start_key(key: &str) -> (&str, u64) {
    let parts = key.rsplit_once(SEPARATOR);
    let parts = parts.and_then(|(id, born)| Some((id, born.parse().ok()?)));
    parts.unwrap_or((key, 0))
}
