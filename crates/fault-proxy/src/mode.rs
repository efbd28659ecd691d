//! The mode of a proxy, and the record of which connections it has silenced.

use std::time::Duration;

/// A direction of traffic through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both directions.
    Both,
    /// From the side that connects to the side that listens.
    ToTarget,
    /// From the side that listens to the side that connects.
    FromTarget,
}

impl Direction {
    /// Whether this includes a single direction.
    pub(crate) fn includes(self, direction: Direction) -> bool {
        self == Direction::Both || self == direction
    }
}

/// How a proxy treats data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards data.
    Pass,
    /// Forwards each chunk after a delay.
    Delay(Duration),
    /// Holds data and forwards it after the mode ends, as TCP does over an interrupted link.
    Hold,
    /// Resets open connections, and connections that are opened in this mode.
    Reset,
    /// Drops data silently. A connection that is open when this mode begins, or is opened in
    /// this mode, remains silent in this direction permanently. Connections that are opened
    /// after the mode ends work.
    Silent(Direction),
}

/// The mode, and the number of times that each direction was silenced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct State {
    pub(crate) mode: Mode,
    silenced_to_target: u64,
    silenced_from_target: u64,
}

impl State {
    pub(crate) const PASSING: State = State {
        mode: Mode::Pass,
        silenced_to_target: 0,
        silenced_from_target: 0,
    };

    /// Changes the mode.
    pub(crate) fn set(&mut self, mode: Mode) {
        self.mode = mode;
        if let Mode::Silent(direction) = mode {
            self.silence(direction);
        }
    }

    /// Silences the open connections.
    pub(crate) fn silence(&mut self, direction: Direction) {
        self.silenced_to_target += u64::from(direction.includes(Direction::ToTarget));
        self.silenced_from_target += u64::from(direction.includes(Direction::FromTarget));
    }

    /// Whether a connection that was accepted in an earlier state is silent in a direction.
    pub(crate) fn is_silent(&self, at_accept: &State, direction: Direction) -> bool {
        let silenced_since = match direction {
            Direction::ToTarget => self.silenced_to_target > at_accept.silenced_to_target,
            Direction::FromTarget => self.silenced_from_target > at_accept.silenced_from_target,
            Direction::Both => false,
        };
        silenced_since || self.silences(direction)
    }

    /// Whether the current mode drops all data in a direction.
    pub(crate) fn silences(&self, direction: Direction) -> bool {
        matches!(self.mode, Mode::Silent(silenced) if silenced.includes(direction))
    }
}
