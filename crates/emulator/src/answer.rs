//! The text that an emulated engine generates.
//!
//! Token `k` of the answer to a prompt depends only on the prompt and on `k`.
//! Every engine generates the same text, so a caller can check an answer that was
//! resumed on another engine for lost and repeated tokens and for tokens of other answers.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 64;
/// Bytes of one block of the prefix cache.
pub const BLOCK_BYTES: usize = BYTES_PER_TOKEN * BLOCK_TOKENS as usize;
/// Minimum length of an answer without token limits, in tokens.
pub const SHORTEST_ANSWER_TOKENS: u32 = 16;
/// Maximum length of an answer without token limits, in tokens.
pub const LONGEST_ANSWER_TOKENS: u32 = 271;

/// Seed of the hash that sets the answer length; differs from the seeds of the tokens,
/// which are their indexes.
const LENGTH_SEED: u64 = 0x006c_656e_6774_6821;

/// Hash of the complete prompt, which determines the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptKey(pub u64);

impl PromptKey {
    /// Computes the key of a prompt in its canonical text form.
    #[must_use]
    pub fn of(prompt: &str) -> PromptKey {
        PromptKey(xxh3_64(prompt.as_bytes()))
    }

    /// The length of the answer without token limits, in tokens.
    #[must_use]
    pub fn natural_length(self) -> u32 {
        let span = u64::from(LONGEST_ANSWER_TOKENS - SHORTEST_ANSWER_TOKENS + 1);
        let offset = xxh3_64_with_seed(&self.0.to_le_bytes(), LENGTH_SEED) % span;
        SHORTEST_ANSWER_TOKENS + u32::try_from(offset).unwrap_or(0)
    }

    /// The text of token `index` of the answer, with a leading space unless it is the first.
    #[must_use]
    pub fn token_text(self, index: u32) -> String {
        let hash = xxh3_64_with_seed(&self.0.to_le_bytes(), u64::from(index));
        let word = hash & 0xffff;
        if index == 0 {
            format!("w{word:04x}")
        } else {
            format!(" w{word:04x}")
        }
    }

    /// The first `tokens` tokens of the answer.
    #[must_use]
    pub fn text(self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token_text(index)).collect()
    }
}

/// The canonical prompt text of chat messages, given as pairs of role and content.
#[must_use]
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        prompt.push_str(role);
        prompt.push('\n');
        prompt.push_str(content);
        prompt.push('\n');
    }
    prompt
}

/// The number of tokens in a text, at [`BYTES_PER_TOKEN`] per token; at least one.
#[must_use]
pub fn count_tokens(text: &str) -> u32 {
    let tokens = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// The chained hashes of the complete blocks of a prompt: equal hashes at a
/// position mean equal prompts up to the end of that block.
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut previous = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}
