//! Prompts of the online requests.

use linnethitch_emulator::answer::{PromptKey, chat_prompt};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::tally::Kind;

/// Different documents that long prompts begin with.
const DOCUMENTS: u32 = 12;
/// Sentences of a document.
const DOCUMENT_SENTENCES: u32 = 160;

/// Shares of the kinds of requests, in percent.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptMix {
    pub(super) long_percent: u32,
    pub(super) whole_percent: u32,
}

/// A user's message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Prompt {
    pub(super) text: String,
    /// Whether the prompt begins with a long document; such prompts are counted separately.
    pub(super) long: bool,
    /// Whether a stream is requested.
    pub(super) stream: bool,
}

impl Prompt {
    /// The kind under which the request is counted.
    pub(super) fn kind(&self) -> Kind {
        match (self.stream, self.long) {
            (false, _) => Kind::Whole,
            (true, false) => Kind::Short,
            (true, true) => Kind::Long,
        }
    }

    /// The answer's key.
    pub(super) fn key(&self) -> PromptKey {
        user_key(&self.text)
    }
}

/// The answer's key of a single user message.
pub(super) fn user_key(text: &str) -> PromptKey {
    PromptKey::of(&chat_prompt([("user", text)]))
}

/// An endless sequence of distinct prompts, determined by the seed.
pub(super) struct Prompts {
    mix: PromptMix,
    seed: u64,
    generator: Pcg64Mcg,
    count: u64,
}

impl Prompts {
    pub(super) fn new(mix: PromptMix, seed: u64) -> Prompts {
        Prompts {
            mix,
            seed,
            generator: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            count: 0,
        }
    }

    fn chance_percent(&mut self, percent: u32) -> bool {
        self.generator.random_range(0..100) < percent
    }

    pub(super) fn next(&mut self) -> Prompt {
        self.count += 1;
        let long = self.chance_percent(self.mix.long_percent);
        let stream = !self.chance_percent(self.mix.whole_percent);
        let question = format!(
            "Question {} of series {}: what does it cost?",
            self.count, self.seed
        );
        let text = if long {
            let number = self.generator.random_range(0..DOCUMENTS);
            format!("{}{question}", document(number))
        } else {
            question
        };
        Prompt { text, long, stream }
    }
}

fn document(number: u32) -> String {
    (0..DOCUMENT_SENTENCES)
        .map(|sentence| format!("Clause {sentence} of contract {number} holds for every lane. "))
        .collect()
}
