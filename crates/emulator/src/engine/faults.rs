//! Faults that can be switched on in an engine.

/// One fault switch. Switches add up until [`Fault::Recover`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// Breaks each stream after this many tokens of a run.
    DropMidStream {
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
    pub(super) dead: bool,
    pub(super) hung: bool,
    pub(super) slow_percent: u32,
    pub(super) refusing: bool,
    pub(super) drop_after_tokens: Option<u32>,
    pub(super) late_millis: u64,
    pub(super) out_of_order: bool,
    pub(super) stray: bool,
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
            late_millis: 0,
            out_of_order: false,
            stray: false,
        }
    }
}

impl FaultSwitches {
    /// Sets one switch.
    pub(super) fn set(&mut self, fault: Fault) {
        match fault {
            Fault::Die => self.dead = true,
            Fault::Hang => self.hung = true,
            Fault::Slow { percent } => self.slow_percent = percent.max(1),
            Fault::Refuse => self.refusing = true,
            Fault::DropMidStream { after_tokens } => self.drop_after_tokens = Some(after_tokens),
            Fault::Late { millis } => self.late_millis = millis,
            Fault::OutOfOrder => self.out_of_order = true,
            Fault::Stray => self.stray = true,
            Fault::Recover => *self = FaultSwitches::default(),
        }
    }

    /// Whether no work advances.
    pub(super) fn stopped(&self) -> bool {
        self.dead || self.hung
    }

    /// A step's duration under these faults, in microseconds.
    pub(super) fn stretch(&self, micros: u64) -> u64 {
        micros * u64::from(self.slow_percent) / u64::from(NORMAL_PERCENT)
    }
}
