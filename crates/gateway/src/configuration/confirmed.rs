//! Whether the configuration in force here was the newest at a time, as confirmed by control.

use linnethitch_protocol::ids::{Revision, Timestamp};

/// The newest revision that control has confirmed. Times are of the gateway's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmedRevision {
    revision: Revision,
    confirmed_at: Timestamp,
}

impl ConfirmedRevision {
    /// Records that this was the newest revision at a time.
    pub fn on_stamp(&mut self, revision: Revision, confirmed_at: Timestamp) {
        if confirmed_at > self.confirmed_at {
            self.revision = revision;
            self.confirmed_at = confirmed_at;
        }
    }

    /// Whether a held revision contains every change up to a time.
    #[must_use]
    pub fn covers(&self, held: Revision, until: Timestamp) -> bool {
        held >= self.revision && self.confirmed_at >= until
    }
}
