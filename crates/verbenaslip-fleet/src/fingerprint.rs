//! Fingerprints by which requests with the same content, and prompts with the same part, are
//! recognized.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use verbenaslip_base::{data, hash};

/// The upper bits of all fingerprints of prompt parts.
///
/// They tell parts from contents without another field, so that instances and logs of builds that
/// know no parts can hold, forward and block them.
const PART_TAG: u128 = 0x7061_7274 << 96;

/// The bits of a part's fingerprint that depend on the part.
const PART_MASK: u128 = u128::MAX >> 32;

/// Identifies the content of a request, whichever caller sends it and under whatever request ID, or
/// a part of prompts.
///
/// A content covers everything that determines how upstreams process the request: the team, the
/// host, the target and the body. Requests that differ in any of these may end differently. A
/// repeated request has a new ID each time. A part covers one part of the prompt, whatever else the
/// request contains, and the service, since its upstreams run the same software. Nothing can be
/// recovered from a fingerprint.
#[data(copy, ord, hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a prompt part at the upstreams of a service, with the key that
    /// all entries share.
    pub fn of_part(key: u128, service: &str, part: u64) -> Self {
        let hash = hash::keyed(key, &[service.as_bytes(), &part.to_le_bytes()]);
        Self(PART_TAG | (hash & PART_MASK))
    }

    /// Returns whether this is the fingerprint of a prompt part.
    pub fn is_part(self) -> bool {
        self.0 & !PART_MASK == PART_TAG
    }

    /// Computes the fingerprint of a request with the key that all entries share.
    pub fn of(key: u128, team: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let parts = [team.as_bytes(), host.as_bytes(), target.as_bytes(), body];
        Self(hash::keyed(key, &parts))
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
