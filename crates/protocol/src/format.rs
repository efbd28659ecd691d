//! Formats of what nodes say to each other and of what groups store.
//!
//! Machines are upgraded one after the other, so that nodes of two builds work side by side.
//! Two nodes speak the newest format that both know; a group stores in the newest one that
//! all of its members read. A format that a released build writes is frozen: a field, message
//! or command that comes later belongs to the next one.

use std::fmt;

/// A format, the older the smaller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Format {
    /// Without homes, evacuations, starts of replicas, marks of runs and witnesses of limits.
    #[default]
    First = 1,
    /// What this build writes wherever it may.
    Second = 2,
}

impl Format {
    /// The oldest that this build reads and writes.
    pub const OLDEST: Format = Format::First;
    /// The newest that this build reads and writes.
    pub const NEWEST: Format = Format::Second;

    /// Its number, as it is told.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The format of a number; `None` where this build does not know it.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        match number {
            1 => Some(Format::First),
            2 => Some(Format::Second),
            _ => None,
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.number())
    }
}
