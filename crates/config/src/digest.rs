//! Digests of texts and the format of key hashes.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// Length of a SHA-256 in hexadecimal, in characters.
pub const KEY_HASH_CHARACTERS: usize = 64;

/// Digest of a configuration text (XXH3, 64 bits), for checking that two
/// processes have the same text. It does not prove that the text is authentic.
#[must_use]
pub fn content_digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// SHA-256 of a bearer key in lower-case hexadecimal, as the fleet file and
/// the control settings store it.
#[must_use]
pub fn key_sha256(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Whether a text has the format of a key hash: 64 lower-case hexadecimal characters.
#[must_use]
pub fn is_key_hash(text: &str) -> bool {
    text.len() == KEY_HASH_CHARACTERS
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
