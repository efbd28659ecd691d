//! Which format a group stores in, and who may be a member of it.
//!
//! An entry that a member cannot read would stop it, and stay on its disk. So a leader writes
//! what all members read, and raises that by an entry of the newer format once its links to
//! all of them speak it. From then on nothing that is stored goes to a machine that reads less.

use linnethitch_protocol::format::Format;

/// A member that was not linked to for so long after the start of this one is away, in
/// milliseconds: links are opened within a second, also beside much other work.
const LINKED_WITHIN_MS: u64 = 10_000;

/// The rules of one member. It is told what it stores, and what the links to other members
/// speak: `None` where there is none.
#[derive(Clone, Copy, Debug)]
pub struct StoredFormat {
    /// The newest format that this program may speak.
    newest: Format,
    /// The newest format among entries that this member proposed as the leader.
    proposed: Format,
    opened_ms: u64,
}

impl StoredFormat {
    /// The rules of a member that is opened now, in a program that may speak this format.
    #[must_use]
    pub fn new(newest: Format, now_ms: u64) -> Self {
        StoredFormat {
            newest,
            proposed: Format::OLDEST,
            opened_ms: now_ms,
        }
    }

    /// Whether the program may speak what its group stores; if not it must end.
    #[must_use]
    pub fn is_supported(&self, stored: Format) -> bool {
        stored <= self.newest
    }

    /// The format in which the member writes if it leads: what is stored, or was proposed.
    #[must_use]
    pub fn write_format(&self, stored: Format) -> Format {
        stored.max(self.proposed)
    }

    /// The member does not lead: what it proposed may be lost.
    pub fn clear_proposed(&mut self) {
        self.proposed = Format::OLDEST;
    }

    /// The format that the leader raises the group to now; it must propose an entry of that.
    pub fn raise(
        &mut self,
        stored: Format,
        mut others: impl Iterator<Item = Option<Format>>,
    ) -> Option<Format> {
        let newest = self.newest;
        let is_due =
            self.write_format(stored) < newest && others.all(|spoken| spoken >= Some(newest));
        if is_due {
            self.proposed = newest;
        }
        is_due.then_some(newest)
    }

    /// Whether the format is the newest, or a member keeps it from being raised: one that is
    /// known to read no more, or one that stays away. A new leader does not know until it is
    /// current: the one before may have raised it.
    pub fn is_settled(
        &self,
        stored: Format,
        is_current: bool,
        mut others: impl Iterator<Item = Option<Format>>,
        now_ms: u64,
    ) -> bool {
        let reads_less = |spoken: Option<Format>| spoken.is_some_and(|spoken| spoken < self.newest);
        let is_long_open = now_ms.saturating_sub(self.opened_ms) >= LINKED_WITHIN_MS;
        let is_held_back = is_long_open || others.any(reads_less);
        self.write_format(stored) >= self.newest || (is_current && is_held_back)
    }

    /// Whether a machine reads what the group stores, so that it may join.
    #[must_use]
    pub fn may_join(&self, stored: Format, speaks: Option<Format>) -> bool {
        let written = self.write_format(stored);
        written == Format::OLDEST || speaks >= Some(written)
    }

    /// Whether a member can be sent what is stored. One without a link cannot be sent anything.
    #[must_use]
    pub fn can_be_sent(&self, stored: Format, spoken: Option<Format>) -> bool {
        spoken.is_none_or(|spoken| spoken >= self.write_format(stored))
    }
}
