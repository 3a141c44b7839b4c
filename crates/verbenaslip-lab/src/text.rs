//! The text that stand-ins generate: a function of the prompt, so that any answer can be verified.

use serde_json::Value;
use siphasher::sip::SipHasher13;
use std::fmt::Write;
use std::hash::Hasher;
use verbenaslip_base::hash;

/// Bytes of prompt text in one cache block.
pub const BLOCK: usize = 64;

/// Bytes of text that count as one token.
pub const TOKEN: usize = 4;

/// How many different words are generated.
const WORDS: u64 = 10_000;

/// Returns the whole answer of `tokens` tokens to a prompt's text.
pub fn expect(prompt: &str, tokens: u32) -> String {
    span(seed(prompt), 0, tokens)
}

/// Returns the whole answer of a plain service to a body.
pub fn reply(body: &[u8]) -> String {
    format!("s{:016x}", body_seed(body))
}

/// Returns the number that stands for a plain service's body.
pub fn body_seed(body: &[u8]) -> u64 {
    hash::narrow(&[body])
}

/// Returns the text of a prompt as model engines see it.
pub fn prompt(body: &Value) -> String {
    let mut text = String::new();
    for message in body["messages"].as_array().into_iter().flatten() {
        text.push_str(message["role"].as_str().unwrap_or_default());
        text.push('\n');
        match &message["content"] {
            Value::String(content) => text.push_str(content),
            Value::Array(parts) => {
                parts.iter().filter_map(|part| part["text"].as_str()).for_each(|part| {
                    text.push_str(part);
                });
            }
            _ => (),
        }
        text.push('\n');
    }
    text
}

/// Returns the number that stands for a prompt's text.
pub fn seed(prompt: &str) -> u64 {
    hash::narrow(&[prompt.as_bytes()])
}

/// Returns the token at a position, counted from 1.
pub fn token(seed: u64, position: u32) -> String {
    format!("w{} ", word(seed, position))
}

/// Returns the tokens after position `from` up to and with `to`.
pub fn span(seed: u64, from: u32, to: u32) -> String {
    let mut text = String::new();
    for position in from.saturating_add(1)..=to {
        write!(text, "w{} ", word(seed, position)).expect("writing to a string does not fail");
    }
    text
}

/// Returns how many tokens a text counts as.
pub fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the hashes of a text's whole blocks, each covering all before it.
pub fn blocks(text: &str) -> Vec<u64> {
    let mut last = 0u64;
    let mut blocks = Vec::with_capacity(text.len() / BLOCK);
    for block in text.as_bytes().chunks_exact(BLOCK) {
        let mut hasher = SipHasher13::new();
        hasher.write(&last.to_le_bytes());
        hasher.write(block);
        last = hasher.finish();
        blocks.push(last);
    }
    blocks
}

fn word(seed: u64, position: u32) -> u64 {
    hash::narrow(&[&seed.to_le_bytes(), &position.to_le_bytes()]) % WORDS
}
