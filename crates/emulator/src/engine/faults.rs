//! Faults that can be switched on in an engine.

use serde::{Deserialize, Serialize};

/// One fault switch. Switches add up until [`Fault::Recover`].
///
/// As JSON: `{"fault":"slow","percent":300}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Stops at once; all requests are lost and no connection is answered.
    Die,
    /// Answers nothing any more, but keeps its connections.
    Hang,
    /// Steps take this many times as long.
    Slow {
        /// The factor, in percent; 100 is the normal speed.
        percent: u32,
    },
    /// Refuses all new work before it starts.
    Refuse,
    /// Breaks each stream's connection after this many tokens of a run.
    DropMidStream {
        /// How many.
        after_tokens: u32,
    },
    /// Ends each stream after this many tokens of a run as if that were all,
    /// without a finish reason.
    EndEarly {
        /// How many.
        after_tokens: u32,
    },
    /// Holds each token back.
    Late {
        /// How long, in milliseconds.
        millis: u64,
    },
    /// Sends the tokens of a stream pairwise swapped.
    OutOfOrder,
    /// Puts a token of another request's answer into each stream.
    Stray,
    /// Switches all faults off.
    Recover,
}

/// The switches that are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultSwitches {
    pub(crate) dead: bool,
    pub(crate) hung: bool,
    pub(crate) slow_percent: u32,
    pub(crate) refusing: bool,
    pub(crate) drop_after_tokens: Option<u32>,
    pub(crate) drop_cleanly: bool,
    pub(crate) late_millis: u64,
    pub(crate) out_of_order: bool,
    pub(crate) stray: bool,
}

/// Percent of the normal step time without a fault.
const NORMAL_PERCENT: u32 = 100;

impl Default for FaultSwitches {
    fn default() -> Self {
        FaultSwitches {
            dead: false,
            hung: false,
            slow_percent: NORMAL_PERCENT,
            refusing: false,
            drop_after_tokens: None,
            drop_cleanly: false,
            late_millis: 0,
            out_of_order: false,
            stray: false,
        }
    }
}

impl FaultSwitches {
    /// Sets one switch.
    pub(crate) fn set(&mut self, fault: Fault) {
        match fault {
            Fault::Die => self.dead = true,
            Fault::Hang => self.hung = true,
            Fault::Slow { percent } => self.slow_percent = percent.max(1),
            Fault::Refuse => self.refusing = true,
            Fault::DropMidStream { after_tokens } => {
                self.drop_after_tokens = Some(after_tokens);
                self.drop_cleanly = false;
            }
            Fault::EndEarly { after_tokens } => {
                self.drop_after_tokens = Some(after_tokens);
                self.drop_cleanly = true;
            }
            Fault::Late { millis } => self.late_millis = millis,
            Fault::OutOfOrder => self.out_of_order = true,
            Fault::Stray => self.stray = true,
            Fault::Recover => *self = FaultSwitches::default(),
        }
    }

    /// Whether no work advances.
    pub(crate) fn stopped(&self) -> bool {
        self.dead || self.hung
    }

    /// A step's duration under these faults, in microseconds.
    pub(crate) fn stretch(&self, micros: u64) -> u64 {
        micros * u64::from(self.slow_percent) / u64::from(NORMAL_PERCENT)
    }
}
