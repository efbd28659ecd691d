//! Keys of incarnations: the recorded state of a replica belongs to one incarnation.
//!
//! The key is `ID#INCARNATION`, or the id alone if the replica does not report an
//! incarnation. An id contains no `#`.

/// Separates the id and the incarnation in a key.
const SEPARATOR: char = '#';

/// The key of an incarnation; `incarnation` is 0 if the replica does not report one.
#[must_use]
pub fn incarnation_key(id: &str, incarnation: u64) -> String {
    match incarnation {
        0 => id.to_owned(),
        incarnation => format!("{id}{SEPARATOR}{incarnation}"),
    }
}

/// The replica's id and the incarnation that a key names.
#[must_use]
pub fn parse_incarnation_key(key: &str) -> (&str, u64) {
    let parts = key.rsplit_once(SEPARATOR);
    let parts = parts.and_then(|(id, incarnation)| Some((id, incarnation.parse().ok()?)));
    parts.unwrap_or((key, 0))
}
