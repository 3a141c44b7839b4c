//! Identifiers of requests and of their runs.

use std::fmt;

use crate::data;
use crate::hash;
use crate::name::Team;

/// Identifies a request on all instances: derived from the team and the idempotency key, or random
/// when the caller sent no key.
#[data(copy, ord, hash)]
pub struct Request(pub u128);

impl Request {
    /// Returns the identifier for a team's idempotency key, which is the same on every instance.
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
    /// The run number, counted from 1; its high 16 bits distinguish the successive instances that
    /// own the request.
    pub number: u32,
}
