//! How a gateway that is behind gets to the newest configuration.
//!
//! A gateway checks, parses, stores and syncs each step that it is sent. With
//! 45,000 tenants that is about a tenth of a second a step, so a long history
//! takes much longer than the whole text once. No input or output here.

use linnethitch_protocol::attach::ConfigurationUpdate;

/// More steps than these are replaced by the whole text: a few seconds of a gateway's work.
pub const MAX_STEPS: usize = 32;

/// The steps, or the whole text where there are none, too many, or where they are no shorter.
#[must_use]
pub fn shortest(
    steps: Option<Vec<ConfigurationUpdate>>,
    whole: impl FnOnce() -> ConfigurationUpdate,
    whole_bytes: usize,
) -> Vec<ConfigurationUpdate> {
    match steps {
        Some(steps) if is_shorter(&steps, whole_bytes) => steps,
        _ => vec![whole()],
    }
}

fn is_shorter(steps: &[ConfigurationUpdate], whole_bytes: usize) -> bool {
    let bytes: usize = steps.iter().map(text_bytes).sum();
    steps.len() <= 1 || (steps.len() <= MAX_STEPS && bytes < whole_bytes)
}

/// Bytes of text in an update.
fn text_bytes(update: &ConfigurationUpdate) -> usize {
    match update {
        ConfigurationUpdate::Full { content, .. } => content.len(),
        ConfigurationUpdate::Delta { edits, .. } => {
            edits.iter().map(|edit| edit.inserted.len()).sum()
        }
    }
}
