//! What the time between tokens tells of an engine's steps.
//!
//! All streams of an engine advance by one token a step. A step that prefills
//! a full chunk of a prompt takes much longer than one that only decodes, so a
//! gateway sees in its own streams that a long prompt has come to a replica,
//! long before a load report tells.

use linnethitch_protocol::ids::Timestamp;

use crate::costs::EngineCosts;

/// Weight of a step below the usual one.
const FALL_WEIGHT: f64 = 0.2;

/// Weight of a step above the usual one: steps with a prefill hardly count.
const RISE_WEIGHT: f64 = 0.01;

/// Share of a full chunk of prefill that makes a step a long one.
const LONG_STEP_SHARE: f64 = 0.7;

/// The steps of one engine as its streams show them.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepWatch {
    usual_ms: Option<f64>,
    seen_at: Option<Timestamp>,
    long_step_at: Option<Timestamp>,
    long_prefill_at: Option<Timestamp>,
}

impl StepWatch {
    /// Takes in the time between two tokens of a stream.
    pub fn on_gap(&mut self, now: Timestamp, gap_ms: f64, costs: &EngineCosts) {
        let same_step = self.seen_at == Some(now);
        if same_step {
            return;
        }
        self.seen_at = Some(now);
        let usual_ms = self.usual_ms.get_or_insert(gap_ms);
        let chunk_ms = costs.prefill_chunk_tokens * costs.prefill_token_ms;
        if gap_ms > *usual_ms + LONG_STEP_SHARE * chunk_ms {
            let follows = self
                .long_step_at
                .is_some_and(|at| (now.0.saturating_sub(at.0) as f64) < 2.0 * gap_ms);
            self.long_step_at = Some(now);
            if follows {
                self.long_prefill_at = Some(now);
            }
        }
        let weight = if gap_ms < *usual_ms {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        *usual_ms += weight * (gap_ms - *usual_ms);
    }

    /// When the second or a later of consecutive steps last took as long as one
    /// with a full chunk of prefill. After a single one there is no more to spare.
    #[must_use]
    pub fn long_prefill_at(&self) -> Option<Timestamp> {
        self.long_prefill_at
    }
}
