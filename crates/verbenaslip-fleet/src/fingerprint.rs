//! Fingerprints by which requests with the same content are recognized.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use verbenaslip_base::{data, hash};

/// Identifies the content of a request, whichever caller sends it and under whatever request ID.
///
/// It covers everything that determines how upstreams process the request: the team, the host, the
/// target and the body. Requests that differ in any of these may end differently. A repeated
/// request has a new ID each time. Nothing of the content can be recovered from the fingerprint.
#[data(copy, ord, hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
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
