//! The identity of a request and of each of its runs.

use std::fmt;

use crate::data;
use crate::hash;
use crate::name::Team;

/// Identifies a request everywhere: derived from team and idempotency key, or drawn when none came.
#[data(copy, ord, hash)]
pub struct Request(pub u128);

impl Request {
    /// Derives the identity that every instance computes alike for a team's idempotency key.
    pub fn of_key(team: &Team, key: &str) -> Self {
        Self(hash::wide(&[team.as_str().as_bytes(), key.as_bytes()]))
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one run of a request; a later run has a higher number.
#[data(copy, ord, hash)]
pub struct Attempt {
    /// The request that is run.
    pub request: Request,
    /// Counts runs from 1; the high 16 bits tell apart the instances that own the request in turn.
    pub number: u32,
}
