//! The replicated state as bytes.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::hash;

use crate::audit::Trail;
use crate::claim::{Ledger, Limits, Record};
use crate::history::History;
use crate::order::Book;
use crate::state::State;

/// Says why bytes are no snapshot; the state is as it was.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// snapshot of the state: it does not begin as one; check which file or peer it came from
    Foreign,
    /// snapshot of the state: version {0} is not known here; upgrade this instance
    Version(u16),
    /// snapshot of the state: it is damaged; fetch it again from another voter
    Damaged,
    /// snapshot of the state: its parts contradict each other; fetch it again from another voter
    Inconsistent,
}

impl std::error::Error for Error {}

impl State {
    /// Writes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        let image = Image {
            position: self.position,
            clock: self.clock,
            history: &self.history,
            limit: self.claims.limit(),
            claims: self.claims.records().collect(),
            orders: &self.orders,
            trail: &self.trail,
        };
        // Encoding to memory fails for no value of these types.
        let body = postcard::to_stdvec(&image).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&hash::narrow(&[&body]).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Reads a state that [`snapshot`](Self::snapshot) wrote.
    ///
    /// # Errors
    ///
    /// Returns why the bytes can't be trusted; nothing of them is used then.
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
        let (loaded, left) =
            postcard::take_from_bytes::<Loaded>(body).map_err(|_| Error::Damaged)?;
        if !left.is_empty() {
            return Err(Error::Damaged);
        }
        loaded.check()
    }
}

/// Holds the parts of a state that are written.
#[derive(Serialize)]
struct Image<'a> {
    position: Fence,
    clock: u64,
    history: &'a History,
    limit: Limits,
    claims: Vec<&'a Record>,
    orders: &'a Book,
    trail: &'a Trail,
}

/// Holds the parts of a state as they are read.
#[derive(Deserialize)]
struct Loaded {
    position: Fence,
    clock: u64,
    history: History,
    limit: Limits,
    claims: Vec<Record>,
    orders: Book,
    trail: Trail,
}

impl Loaded {
    fn check(self) -> Result<State, Error> {
        let rising = self.claims.is_sorted_by(|a, b| a.request() < b.request());
        let bounded = self.claims.len() <= self.limit.count as usize;
        let whole = self.history.is_whole() && self.orders.is_whole() && self.trail.is_whole();
        if !(rising && bounded && whole) {
            return Err(Error::Inconsistent);
        }
        Ok(State {
            position: self.position,
            clock: self.clock,
            history: self.history,
            claims: Ledger::restore(self.limit, self.claims),
            orders: self.orders,
            trail: self.trail,
        })
    }
}

/// Marks a snapshot of this state.
const MAGIC: &[u8] = b"VSTA";

/// Counts the formats; a reader refuses all but its own.
const VERSION: u16 = 1;

/// The length of mark, version and checksum, in bytes.
const HEAD: usize = 4 + 2 + 8;
