//! Which prompt parts a replica probably has in its cache.

use std::collections::HashMap;

/// A part of a prompt. A replica can reuse it only if it has all preceding parts in its cache too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content and position.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Parts that were sent to one replica; the least recently used are removed first.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedParts {
    /// Part → (tokens, time of last use).
    parts: HashMap<u64, (u32, u64)>,
    tokens: u64,
}

impl CachedParts {
    /// Tokens at the start of the prompt that need no prefill.
    pub(crate) fn reusable_tokens(&self, prompt: &[PromptPart]) -> u32 {
        let cached = prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Records that a prompt was sent, within a bound in tokens.
    pub(crate) fn record(&mut self, prompt: &[PromptPart], max_tokens: u64, now_ms: u64) {
        for part in prompt {
            let before = self.parts.insert(part.id, (part.tokens, now_ms));
            self.tokens += u64::from(part.tokens);
            self.tokens -= before.map_or(0, |(tokens, _)| u64::from(tokens));
        }
        while self.tokens > max_tokens {
            let oldest = self.parts.iter().min_by_key(|(_, (_, used_ms))| *used_ms);
            let Some((id, tokens)) = oldest.map(|(id, (tokens, _))| (*id, *tokens)) else {
                return;
            };
            self.parts.remove(&id);
            self.tokens -= u64::from(tokens);
        }
    }
}
