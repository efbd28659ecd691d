//! What a proxy does, and which connections it has silenced.

use std::time::Duration;

/// The direction in which nothing arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Neither.
    Both,
    /// From the side that connects to the side that listens.
    ToTarget,
    /// The other one.
    FromTarget,
}

impl Way {
    /// Whether this covers one direction; [`Way::Both`] covers each.
    pub(crate) fn covers(self, direction: Way) -> bool {
        self == Way::Both || self == direction
    }
}

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Pass,
    /// Passes each piece on later.
    Delay(Duration),
    /// Keeps them and passes them on afterwards, as TCP does over a cut.
    Hold,
    /// Resets what is open, and what is opened meanwhile.
    Reset,
    /// Loses them without a word. A connection that was open or is opened meanwhile
    /// stays silent that way for good; one that is opened afterwards works.
    Silent(Way),
}

/// The mode, and how often each direction was silenced.
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
        if let Mode::Silent(way) = mode {
            self.silence(way);
        }
    }

    /// Silences what is open now.
    pub(crate) fn silence(&mut self, way: Way) {
        self.silenced_to_target += u64::from(way.covers(Way::ToTarget));
        self.silenced_from_target += u64::from(way.covers(Way::FromTarget));
    }

    /// Whether a connection that was accepted at an earlier state is silent in a direction.
    pub(crate) fn is_silent(&self, at_accept: &State, direction: Way) -> bool {
        let silenced_since = match direction {
            Way::ToTarget => self.silenced_to_target > at_accept.silenced_to_target,
            Way::FromTarget => self.silenced_from_target > at_accept.silenced_from_target,
            Way::Both => false,
        };
        silenced_since || self.silences(direction)
    }

    /// Whether nothing passes in a direction now.
    pub(crate) fn silences(&self, direction: Way) -> bool {
        matches!(self.mode, Mode::Silent(way) if way.covers(direction))
    }
}
