//! Cost model of engine steps, used to estimate waits.

use crate::profile::Class;

/// Coefficients of an engine's step time.
///
/// One step takes `base + prefill tokens × prefill + sequences × decode`. The
/// values only need to be correct relative to each other, because a replica's
/// measured step time ratio scales them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCosts {
    /// Fixed time of a step, in milliseconds.
    pub step_base_ms: f64,
    /// Time of a step per prompt token in it, in milliseconds.
    pub prefill_token_ms: f64,
    /// Time of a step per decoding sequence in it, in milliseconds.
    pub decode_sequence_ms: f64,
    /// Maximum prompt tokens per step.
    pub prefill_chunk_tokens: f64,
}

impl Default for EngineCosts {
    fn default() -> Self {
        EngineCosts {
            step_base_ms: 12.0,
            prefill_token_ms: 0.05,
            decode_sequence_ms: 0.25,
            prefill_chunk_tokens: 512.0,
        }
    }
}

impl EngineCosts {
    /// Time of a step that decodes `sequences` sequences, in milliseconds.
    #[must_use]
    pub fn decode_step_ms(&self, sequences: f64) -> f64 {
        self.step_base_ms + self.decode_sequence_ms * sequences
    }

    /// Prompt tokens prefilled per millisecond while `sequences` sequences decode.
    #[must_use]
    pub fn prefill_tokens_per_ms(&self, sequences: f64) -> f64 {
        self.prefill_chunk_tokens / self.prefill_ms(self.prefill_chunk_tokens, sequences)
    }

    /// Time to prefill `tokens` tokens while `sequences` sequences decode, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64, sequences: f64) -> f64 {
        let steps = tokens / self.prefill_chunk_tokens;
        tokens * self.prefill_token_ms + steps * self.decode_step_ms(sequences)
    }
}

/// Work of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Scheduling class of the request.
    pub class: Class,
    /// Prompt tokens to prefill, without those expected in the prefix cache.
    pub prefill_tokens: u32,
    /// Tokens expected to be generated.
    pub output_tokens: u32,
}
