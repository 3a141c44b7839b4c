//! What the traffic threads and the decisions say to each other about callers.

use std::sync::Arc;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Refusal, Unknown};

/// Names one caller's connection at this instance for as long as it waits for its answer.
#[data(copy, ord, hash)]
pub struct Ticket(pub u64);

/// Tells of one request that a caller has sent whole.
#[data]
pub struct Arrival {
    /// The connection that waits for the answer.
    pub ticket: Ticket,
    /// What decisions need to know.
    pub head: Head,
    /// What is sent to the upstream.
    pub body: Arc<Body>,
    /// The last token position that the caller has, when it comes back for the rest.
    pub after: Option<u32>,
}

/// Holds what a run sends to its upstream.
#[data]
pub struct Body {
    /// The path below the upstream's address.
    pub path: Arc<str>,
    /// The content type.
    pub content: Arc<str>,
    /// The bytes as they came.
    pub bytes: Vec<u8>,
}

impl Body {
    /// Hashes path and bytes, to tell another request under the same key.
    pub fn digest(&self) -> u128 {
        verbenaslip_base::hash::wide(&[self.path.as_bytes(), &self.bytes])
    }
}

/// Decides what a waiting caller gets.
#[data]
pub enum Verdict {
    /// Streams the answer that this instance assembles, from after the given position.
    Serve {
        /// The request whose answer it is.
        request: Request,
        /// The last position the caller has.
        after: u32,
    },
    /// Passes on the answer that another instance assembles.
    Relay {
        /// The request whose answer it is.
        request: Request,
        /// The last position the caller has.
        after: u32,
        /// The instance that assembles it.
        owner: Instance,
    },
    /// Ends: it was not run.
    Refused(Refusal),
    /// Ends: it may have run.
    Unknown(Unknown),
    /// Ends: the key belongs to another body.
    Conflict,
}
