//! Stable hash functions, which give the same result on every instance, and unpredictable numbers.

use std::hash::{BuildHasher, Hasher, RandomState};

use siphasher::sip128::{Hasher128, SipHasher13};

/// Number of bits by which number bases are shorter than 64: smaller numbers are encoded in fewer
/// bytes.
const NUMBER_BASE_SHIFT: u32 = 16;

/// Returns a 128-bit hash of the parts; each part is hashed together with its length.
pub fn wide(parts: &[&[u8]]) -> u128 {
    keyed(0, parts)
}

/// Returns a 128-bit hash of the parts that cannot be predicted without the key.
pub fn keyed(key: u128, parts: &[&[u8]]) -> u128 {
    let mut hasher = SipHasher13::new_with_key(&key.to_le_bytes());
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish128().as_u128()
}

/// Returns a 64-bit hash of the parts: the low half of [`wide`].
pub fn narrow(parts: &[&[u8]]) -> u64 {
    wide(parts) as u64
}

/// Returns an unpredictable number, from the system's random numbers as the standard library exposes
/// them.
pub fn unpredictable() -> u64 {
    RandomState::new().hash_one(0_u64)
}

/// Returns the number before the first one that a process gives out to others.
///
/// Others remember the numbers of a process beyond its end. With a different `seed` at each start,
/// no two processes give out the same ones.
pub fn number_base(seed: u64) -> u64 {
    mix(seed) >> NUMBER_BASE_SHIFT
}

/// Mixes the bits of a number with the finalizer of SplitMix64, the same on every instance.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
