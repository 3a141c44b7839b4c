//! The stable hash that every instance computes alike.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// Hashes parts, each with its length, to 128 bits.
pub fn wide(parts: &[&[u8]]) -> u128 {
    keyed(0, parts)
}

/// Hashes parts to 128 bits that nobody can foresee who doesn't know the key.
pub fn keyed(key: u128, parts: &[&[u8]]) -> u128 {
    let mut hasher = SipHasher13::new_with_key(&key.to_le_bytes());
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish128().as_u128()
}

/// Hashes parts to 64 bits.
pub fn narrow(parts: &[&[u8]]) -> u64 {
    wide(parts) as u64
}

/// Spreads a number over all bits (the finalizer of SplitMix64), the same on every instance.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
