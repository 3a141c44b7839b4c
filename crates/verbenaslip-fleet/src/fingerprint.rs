//! The content of a request, as far as it must be known again.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use verbenaslip_base::{data, hash};

/// Stands for what a request asks for, by whomever it is sent and under whatever identity.
///
/// It is made of all that upstreams do the same with each time: whose team asks, where, and the body. Two
/// requests that differ in one of these may fare differently, and a request that comes again is under a new
/// identity each time. Nothing of the content can be read from it.
#[data(copy, ord, hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Makes the fingerprint of a request, by the key that all entries share.
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
