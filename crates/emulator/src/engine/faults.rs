//! Faults that can be injected into an engine or an application replica.

use serde::{Deserialize, Serialize};

/// A fault to inject. Faults accumulate until [`Fault::Recover`].
///
/// As JSON: `{"fault":"slow","percent":300}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Stops at once; all requests are lost and connections are refused.
    Die,
    /// Stops answering, but keeps its connections open.
    Hang,
    /// Computation takes longer by a factor.
    Slow {
        /// The factor, in percent; 100 is the normal speed.
        percent: u32,
    },
    /// Refuses all new work before it starts.
    Refuse,
    /// Breaks the connection of each stream after a number of tokens generated in this run.
    DropMidStream {
        /// The number of tokens.
        after_tokens: u32,
    },
    /// Ends each stream after a number of tokens generated in this run as if the answer
    /// were complete, but without a finish reason.
    EndEarly {
        /// The number of tokens.
        after_tokens: u32,
    },
    /// Delays each token.
    Late {
        /// The delay, in milliseconds.
        millis: u64,
    },
    /// Swaps each two consecutive tokens of a stream.
    OutOfOrder,
    /// Inserts a token of another request's answer into each stream.
    Stray,
    /// Clears all faults.
    Recover,
}

/// The injected faults.
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

/// Duration of a step without a fault, in percent of the normal duration.
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
    /// Injects a fault, or clears all faults for [`Fault::Recover`].
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

    /// Whether a fault stops all work.
    pub(crate) fn stopped(&self) -> bool {
        self.dead || self.hung
    }

    /// A duration under the injected slow-down, in microseconds.
    pub(crate) fn slowed_micros(&self, micros: u64) -> u64 {
        micros * u64::from(self.slow_percent) / u64::from(NORMAL_PERCENT)
    }
}
