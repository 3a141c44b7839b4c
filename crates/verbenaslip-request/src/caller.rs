//! Callers, as exchanged with the traffic threads.

use std::sync::Arc;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Refusal, Unknown};

/// Identifies a caller's connection at this instance while it waits for its answer.
#[data(copy, ord, hash)]
pub struct Ticket(pub u64);

/// Complete request that a caller has sent.
#[data]
pub struct Arrival {
    /// Connection that waits for the answer.
    pub ticket: Ticket,
    /// Properties of the request on which decisions depend.
    pub head: Head,
    /// Request body for the upstream.
    pub body: Arc<Body>,
    /// Last token position that the caller has, if it comes back for the rest.
    pub after: Option<u32>,
}

/// Request body that a run sends to its upstream.
#[data]
pub struct Body {
    /// Path below the upstream's address.
    pub path: Arc<str>,
    /// Content type.
    pub content: Arc<str>,
    /// Unmodified bytes of the body.
    pub bytes: Vec<u8>,
}

impl Body {
    /// Returns a hash of path and bytes, which reveals a different request under the same key.
    pub fn digest(&self) -> u128 {
        verbenaslip_base::hash::wide(&[self.path.as_bytes(), &self.bytes])
    }
}

/// What a waiting caller gets.
#[data]
pub enum Verdict {
    /// Streams the answer that this instance assembles, starting after the given position.
    Serve {
        /// Request that is answered.
        request: Request,
        /// Last position that the caller has.
        after: u32,
    },
    /// Relays the answer that another instance assembles.
    Relay {
        /// Request that is answered.
        request: Request,
        /// Last position that the caller has.
        after: u32,
        /// Instance that assembles the answer.
        owner: Instance,
    },
    /// Ends the request, which did not run.
    Refused(Refusal),
    /// Ends the request, which may have run.
    Unknown(Unknown),
    /// Ends the request, because its key was used with another body.
    Conflict,
}
