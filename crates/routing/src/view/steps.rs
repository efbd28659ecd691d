//! Detects long prefills on an engine from the time between tokens.
//!
//! All streams of an engine advance by one token per step. A step that prefills
//! a full chunk of a prompt takes much longer than one that only decodes, so a
//! gateway can infer from its own streams that a replica is prefilling a long
//! prompt, well before the next load report arrives.

use linnethitch_protocol::ids::Timestamp;

use crate::costs::EngineCosts;

/// Moving-average weight of a step shorter than the typical step.
const SHORTER_STEP_WEIGHT: f64 = 0.2;

/// Moving-average weight of a step longer than the typical step; small, so that steps with a
/// prefill hardly change the average.
const LONGER_STEP_WEIGHT: f64 = 0.01;

/// A step is long if it exceeds the typical step by this share of a full prefill chunk's time.
const LONG_STEP_SHARE: f64 = 0.7;

/// Step times of one engine, observed in this gateway's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepTimes {
    typical_ms: Option<f64>,
    last_step_at: Option<Timestamp>,
    long_step_at: Option<Timestamp>,
    long_prefill_at: Option<Timestamp>,
}

impl StepTimes {
    /// Records the time between two tokens of a stream.
    pub fn on_gap(&mut self, now: Timestamp, gap_ms: f64, costs: &EngineCosts) {
        let same_step = self.last_step_at == Some(now);
        if same_step {
            return;
        }
        self.last_step_at = Some(now);
        let typical_ms = self.typical_ms.get_or_insert(gap_ms);
        let chunk_ms = costs.prefill_chunk_tokens * costs.prefill_token_ms;
        if gap_ms > *typical_ms + LONG_STEP_SHARE * chunk_ms {
            let is_consecutive = self
                .long_step_at
                .is_some_and(|at| (now.0.saturating_sub(at.0) as f64) < 2.0 * gap_ms);
            self.long_step_at = Some(now);
            if is_consecutive {
                self.long_prefill_at = Some(now);
            }
        }
        let weight = if gap_ms < *typical_ms {
            SHORTER_STEP_WEIGHT
        } else {
            LONGER_STEP_WEIGHT
        };
        *typical_ms += weight * (gap_ms - *typical_ms);
    }

    /// When a long step last followed another long step directly. A single long step is not
    /// reported, because its prefill is over by the time the step is observed.
    #[must_use]
    pub fn long_prefill_at(&self) -> Option<Timestamp> {
        self.long_prefill_at
    }
}
