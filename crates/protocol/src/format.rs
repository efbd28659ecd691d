//! Formats of messages between nodes and of the data that groups store.
//!
//! Machines are upgraded one at a time, so nodes of two builds run side by side. Two nodes use
//! the newest format that both support; a group stores data in the newest format that all of
//! its members can read. A format that a released build writes is frozen: later fields, messages
//! and commands belong to the next format.

use std::fmt;

/// A format; older formats compare as smaller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Format {
    /// Without home regions, evacuations, incarnations of replicas, run ids and witnesses of
    /// limits.
    #[default]
    First = 1,
    /// Without software versions of replicas, records of streams, and requests of started items.
    Second = 2,
    /// Without the routes that batch jobs were accepted on.
    Third = 3,
    /// The format that this build writes where all readers support it.
    Fourth = 4,
}

impl Format {
    /// The oldest format that this build reads and writes.
    pub const OLDEST: Format = Format::First;
    /// The newest format that this build reads and writes.
    pub const NEWEST: Format = Format::Fourth;

    /// The number of the format on the wire.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The format with a number; `None` if this build does not support it.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        match number {
            1 => Some(Format::First),
            2 => Some(Format::Second),
            3 => Some(Format::Third),
            4 => Some(Format::Fourth),
            _ => None,
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.number())
    }
}
