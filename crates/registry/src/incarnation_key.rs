//! Keys of starts: what is kept of a replica belongs to one start of it.
//!
//! A replica that does not tell its start has its id as its key; else the key is
//! `ID#BORN`. An id holds no `#`.

/// Between the id and the start in a key.
const SEPARATOR: char = '#';

/// The key of a start; `incarnation` is 0 where the replica does not tell it.
#[must_use]
pub fn incarnation_key(id: &str, incarnation: u64) -> String {
    match incarnation {
        0 => id.to_owned(),
        incarnation => format!("{id}{SEPARATOR}{incarnation}"),
    }
}

/// The replica's id and which start of it a key names.
#[must_use]
pub fn parse_incarnation_key(key: &str) -> (&str, u64) {
    let parts = key.rsplit_once(SEPARATOR);
    let parts = parts.and_then(|(id, incarnation)| Some((id, incarnation.parse().ok()?)));
    parts.unwrap_or((key, 0))
}
