//! Chooses the updates that bring a gateway to the newest configuration.
//!
//! A gateway checks, parses, stores and syncs each update. With 45,000 tenants this takes
//! about a tenth of a second per update, so a long series of deltas takes much longer
//! than one full text. This module does no input or output.

use linnethitch_protocol::attach::ConfigurationUpdate;

/// Maximum number of deltas sent instead of the full text; applying them takes a gateway a few
/// seconds.
pub const MAX_DELTAS: usize = 32;

/// Returns the deltas, or the full text if there is no series of deltas, if it has more than
/// [`MAX_DELTAS`] or if its text is no shorter. `full_bytes` is the size of the full text.
#[must_use]
pub fn shortest_updates(
    deltas: Option<Vec<ConfigurationUpdate>>,
    full: impl FnOnce() -> ConfigurationUpdate,
    full_bytes: usize,
) -> Vec<ConfigurationUpdate> {
    match deltas {
        Some(deltas) if is_shorter(&deltas, full_bytes) => deltas,
        _ => vec![full()],
    }
}

fn is_shorter(deltas: &[ConfigurationUpdate], full_bytes: usize) -> bool {
    let bytes: usize = deltas.iter().map(text_bytes).sum();
    deltas.len() <= 1 || (deltas.len() <= MAX_DELTAS && bytes < full_bytes)
}

/// Size of the text in an update, in bytes.
fn text_bytes(update: &ConfigurationUpdate) -> usize {
    match update {
        ConfigurationUpdate::Full { content, .. } => content.len(),
        ConfigurationUpdate::Delta { edits, .. } => {
            edits.iter().map(|edit| edit.inserted.len()).sum()
        }
    }
}
