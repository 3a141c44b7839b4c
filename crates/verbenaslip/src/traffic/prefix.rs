//! Hashes of a prompt's blocks, the same as the engines' own.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// The bytes of one block.
const BLOCK: usize = 64;

/// The bytes of text that are estimated as one token.
const TOKEN: usize = 4;

/// Hashes each whole block of a prompt's text, each hash covering all text before it.
pub fn blocks(text: &[u8]) -> Vec<u64> {
    let mut before = 0u64;
    let mut hashes = Vec::with_capacity(text.len() / BLOCK);
    for block in text.chunks_exact(BLOCK) {
        let mut hasher = SipHasher13::new();
        hasher.write(&before.to_le_bytes());
        hasher.write(block);
        before = hasher.finish();
        hashes.push(before);
    }
    hashes
}

/// Estimates the tokens of a text.
pub(crate) fn tokens(text: &[u8]) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN)).unwrap_or(u32::MAX)
}
