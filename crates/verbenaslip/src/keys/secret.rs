//! One key as it is held: a salted digest, never the text.

use std::fmt;
use std::sync::Arc;

use subtle::{Choice, ConstantTimeEq};

use verbenaslip_base::hash;

/// Holds the digest of a key under a salt of this process.
///
/// A comparison of texts ends at the first different byte, or at once when lengths differ, so an
/// attacker who measures answers could find a key byte by byte. Digests have one length and are
/// compared as a whole, and the salt keeps their bytes from being chosen.
#[derive(Clone)]
pub(crate) struct Secret {
    owner: Arc<str>,
    digest: [u8; 16],
}

impl Secret {
    /// Keeps the digest of a key.
    pub(crate) fn new(owner: &str, key: &str, salt: &Salt) -> Self {
        Self { owner: owner.into(), digest: salt.digest(key) }
    }

    /// Returns the name that goes with the key.
    pub(crate) fn owner(&self) -> &Arc<str> {
        &self.owner
    }

    /// Compares with another digest in constant time.
    pub(crate) fn matches(&self, digest: &[u8; 16]) -> Choice {
        self.digest.ct_eq(digest)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: (hidden)", self.owner)
    }
}

/// Makes this process's digests unpredictable.
#[derive(Clone)]
pub(crate) struct Salt([u8; 16]);

impl fmt::Debug for Salt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}

impl Salt {
    /// Draws a salt from the randomness that the standard library keeps for hash maps.
    pub(crate) fn draw() -> Self {
        use std::hash::{BuildHasher, RandomState};
        let state = RandomState::new();
        let half = |part: u8| state.hash_one(part).to_le_bytes();
        let mut salt = [0; 16];
        salt[..8].copy_from_slice(&half(0));
        salt[8..].copy_from_slice(&half(1));
        Self(salt)
    }

    /// Returns the digest of a key.
    pub(crate) fn digest(&self, key: &str) -> [u8; 16] {
        hash::wide(&[&self.0, key.as_bytes()]).to_le_bytes()
    }
}

/// Finds the owner of a key, taking the same time wherever it stands in the list.
pub(crate) fn find(secrets: &[Secret], salt: &Salt, key: &str) -> Option<Arc<str>> {
    let digest = salt.digest(key);
    let mut owner = None;
    for secret in secrets {
        if bool::from(secret.matches(&digest)) {
            owner = Some(secret.owner().clone());
        }
    }
    owner
}
