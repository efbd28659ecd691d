//! Hashes of a prompt's prefixes, used to find engines that have the prefix in their cache.

use linnethitch_routing::profile::PREFIX_BLOCK_TOKENS;
use serde_json::{Map, Value};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of text that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of one hashed block.
const BLOCK_BYTES: usize = PREFIX_BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
/// Maximum blocks hashed; longer prefixes do not improve the choice of a replica.
const MAX_BLOCKS: usize = 64;

/// The hash of the prompt's first block, of its first two, and so on.
pub(super) fn prefix_hashes(body: &Map<String, Value>) -> Vec<u64> {
    let mut hasher = PrefixHasher::default();
    if let Some(prompt) = body.get("prompt") {
        hasher.add_value(prompt);
    }
    for message in body
        .get("messages")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
    {
        if let Some(role) = message.get("role") {
            hasher.add_value(role);
        }
        if let Some(content) = message.get("content") {
            hasher.add_value(content);
        }
    }
    hasher.hashes
}

struct PrefixHasher {
    state: Xxh3,
    block_bytes: usize,
    hashes: Vec<u64>,
}

impl Default for PrefixHasher {
    fn default() -> Self {
        PrefixHasher {
            state: Xxh3::new(),
            block_bytes: 0,
            hashes: Vec::new(),
        }
    }
}

impl PrefixHasher {
    fn add_value(&mut self, value: &Value) {
        match value {
            Value::String(text) => self.add(text.as_bytes()),
            Value::Array(parts) => {
                for part in parts {
                    match part.get("text") {
                        Some(text) => self.add_value(text),
                        None => self.add_value(part),
                    }
                }
            }
            _ => {}
        }
    }

    fn add(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.hashes.len() < MAX_BLOCKS {
            let free_bytes = BLOCK_BYTES - self.block_bytes;
            let (now, later) = bytes.split_at(free_bytes.min(bytes.len()));
            self.state.update(now);
            self.block_bytes += now.len();
            if self.block_bytes == BLOCK_BYTES {
                self.hashes.push(self.state.digest());
                self.block_bytes = 0;
            }
            bytes = later;
        }
    }
}
