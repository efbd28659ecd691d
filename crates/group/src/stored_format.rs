//! Rules for the format in which a group stores its entries, and for the machines that may
//! be members.
//!
//! A member stops at an entry that it cannot read, and the entry stays on its disk. A leader
//! therefore writes a format that all members can read. Once its links to all members use a
//! newer format, the leader raises the stored format by proposing an entry in the newer one.
//! From then on no stored data is sent to a machine that cannot read the newer format.

use linnethitch_protocol::format::Format;

/// Time after the start of this member, in milliseconds, after which a member without a link
/// counts as unavailable. Links are established within a second, even under load.
const LINK_TIMEOUT_MS: u64 = 10_000;

/// The format rules of one member. Callers pass the format that is stored, and the formats
/// of the links to other members: `None` for a member without a link.
#[derive(Clone, Copy, Debug)]
pub struct StoredFormat {
    /// The newest format that this program may use.
    newest: Format,
    /// The newest format of entries that this member proposed as leader.
    proposed: Format,
    opened_ms: u64,
}

impl StoredFormat {
    /// The rules of a member opened at `now_ms` by a program that may use formats up to
    /// `newest`.
    #[must_use]
    pub fn new(newest: Format, now_ms: u64) -> Self {
        StoredFormat {
            newest,
            proposed: Format::OLDEST,
            opened_ms: now_ms,
        }
    }

    /// Whether the program supports the stored format; if not, the program must exit.
    #[must_use]
    pub fn is_supported(&self, stored: Format) -> bool {
        stored <= self.newest
    }

    /// The format in which this member writes as leader: the newer of the stored and the
    /// proposed format.
    #[must_use]
    pub fn write_format(&self, stored: Format) -> Format {
        stored.max(self.proposed)
    }

    /// Resets the proposed format while this member is not the leader, since its proposals
    /// may be lost.
    pub fn clear_proposed(&mut self) {
        self.proposed = Format::OLDEST;
    }

    /// Returns the newest format that all members read if the leader must raise the stored
    /// format to it now. The leader must then propose an entry in the returned format.
    pub fn raise(
        &mut self,
        stored: Format,
        link_formats: impl Iterator<Item = Option<Format>>,
    ) -> Option<Format> {
        let mut common = self.newest;
        for link_format in link_formats {
            common = common.min(link_format?);
        }
        let is_due = self.write_format(stored) < common;
        if is_due {
            self.proposed = common;
        }
        is_due.then_some(common)
    }

    /// Whether the format is the newest, or cannot be raised at present because a member
    /// reads only an older format or remains unavailable. The latter case requires that the
    /// leader is current, because the previous leader may have raised the format.
    pub fn is_settled(
        &self,
        stored: Format,
        is_current: bool,
        link_formats: impl Iterator<Item = Option<Format>>,
        now_ms: u64,
    ) -> bool {
        let write_format = self.write_format(stored);
        let mut known_formats = link_formats.flatten();
        let cannot_be_raised = known_formats.any(|link_format| link_format <= write_format);
        let is_link_timeout_over = now_ms.saturating_sub(self.opened_ms) >= LINK_TIMEOUT_MS;
        write_format >= self.newest || (is_current && (is_link_timeout_over || cannot_be_raised))
    }

    /// Whether a machine can read the stored format and may therefore join.
    #[must_use]
    pub fn may_join(&self, stored: Format, link_format: Option<Format>) -> bool {
        let write_format = self.write_format(stored);
        write_format == Format::OLDEST || link_format >= Some(write_format)
    }

    /// Whether stored data may be sent to a member. Without a link nothing can be sent, so the
    /// result is `true`.
    #[must_use]
    pub fn can_be_sent(&self, stored: Format, link_format: Option<Format>) -> bool {
        link_format.is_none_or(|link_format| link_format >= self.write_format(stored))
    }
}
