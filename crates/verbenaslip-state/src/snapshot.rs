//! Encoding of the replicated state as bytes.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::hash;

use crate::audit::Trail;
use crate::claim::{Limits, Record, Store};
use crate::history::History;
use crate::order::Registry;
use crate::state::State;

/// Describes why bytes are not a valid snapshot; the current state is not affected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// state snapshot: wrong magic bytes; check which file or peer it came from
    Foreign,
    /// state snapshot: version {0} is not supported; upgrade this instance
    Version(u16),
    /// state snapshot: it is damaged; fetch it again from another voter
    Damaged,
    /// state snapshot: its parts contradict each other; fetch it again from another voter
    Inconsistent,
}

impl std::error::Error for Error {}

impl State {
    /// Returns the encoded state.
    pub fn snapshot(&self) -> Vec<u8> {
        let encoded = Encoded {
            position: self.position,
            clock: self.clock,
            history: &self.history,
            limit: self.claims.limit(),
            claims: self.claims.records().collect(),
            orders: &self.orders,
            trail: &self.trail,
        };
        // Encoding these types to memory cannot fail.
        let body = postcard::to_stdvec(&encoded).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&hash::narrow(&[&body]).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Decodes a state that [`snapshot`](Self::snapshot) encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid snapshot; none of them is used then.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let rest = bytes.strip_prefix(MAGIC).ok_or(Error::Foreign)?;
        let (version, rest) = rest.split_first_chunk().ok_or(Error::Damaged)?;
        let version = u16::from_le_bytes(*version);
        if version != VERSION {
            return Err(Error::Version(version));
        }
        let (sum, body) = rest.split_first_chunk().ok_or(Error::Damaged)?;
        if u64::from_le_bytes(*sum) != hash::narrow(&[body]) {
            return Err(Error::Damaged);
        }
        let (decoded, left) =
            postcard::take_from_bytes::<Decoded>(body).map_err(|_| Error::Damaged)?;
        if !left.is_empty() {
            return Err(Error::Damaged);
        }
        decoded.check()
    }
}

/// Holds the parts of a state to be encoded.
#[derive(Serialize)]
struct Encoded<'a> {
    position: Fence,
    clock: u64,
    history: &'a History,
    limit: Limits,
    claims: Vec<&'a Record>,
    orders: &'a Registry,
    trail: &'a Trail,
}

/// Holds the decoded parts of a state before they are checked.
#[derive(Deserialize)]
struct Decoded {
    position: Fence,
    clock: u64,
    history: History,
    limit: Limits,
    claims: Vec<Record>,
    orders: Registry,
    trail: Trail,
}

impl Decoded {
    fn check(self) -> Result<State, Error> {
        let ascending = self.claims.is_sorted_by(|a, b| a.request() < b.request());
        let bounded = self.claims.len() <= self.limit.count as usize;
        let consistent = self.history.is_consistent()
            && self.orders.is_consistent()
            && self.trail.is_consistent();
        if !(ascending && bounded && consistent) {
            return Err(Error::Inconsistent);
        }
        Ok(State {
            position: self.position,
            clock: self.clock,
            history: self.history,
            claims: Store::restore(self.limit, self.claims),
            orders: self.orders,
            trail: self.trail,
        })
    }
}

/// The bytes at the start of every snapshot.
const MAGIC: &[u8] = b"VSTA";

/// The version of the format; a reader refuses every other version.
const VERSION: u16 = 1;

/// The length of magic bytes, version and checksum, in bytes.
const HEADER_BYTES: usize = 4 + 2 + 8;
