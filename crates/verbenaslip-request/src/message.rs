//! Messages about requests between instances.
//!
//! Every message is idempotent by request, epoch and sequence: lost messages are sent again, and
//! duplicated, late or reordered messages are harmless.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Upstream};

use crate::caller::Body;
use crate::output::Outcome;

/// Message about one request to another instance.
#[data]
pub enum Message {
    /// Asks a home instance whether it knows the key, and reserves the key for the sender if not.
    Reserve(Reserve),
    /// Answers a reservation.
    Reserved {
        /// Request that was asked about.
        request: Request,
        /// What the home instance knows.
        found: KeyStatus,
    },
    /// Gives an instance the complete request to store.
    Put(Box<RequestCopy>),
    /// Tells the second holder about the owner's progress.
    Note(Progress),
    /// Acknowledges a `Put` or a `Note`.
    Kept(Ack),
    /// Answers a `Put` that the instance has no room for, or a `Note` about a copy that it no
    /// longer holds.
    Full {
        /// Request that is not stored.
        request: Request,
        /// Epoch of the owner.
        epoch: u16,
    },
    /// Tells a former owner that it no longer owns the request.
    Taken(Takeover),
    /// Confirms that the former owner has given the request up.
    Yielded {
        /// The request.
        request: Request,
        /// Epoch of the new owner.
        epoch: u16,
    },
    /// Asks the second holder to take the request over at once, because its owner stops.
    HandOver(Progress),
    /// Tells an instance to forget the request: it certainly did not run, or no caller needs it any
    /// more.
    Drop {
        /// The request.
        request: Request,
        /// Epoch of the owner.
        epoch: u16,
        /// Whether the key is released as well. If not, only the copy is dropped, because another
        /// instance holds it.
        key: bool,
    },
}

impl Message {
    /// Returns the request that the message is about.
    pub fn request(&self) -> Request {
        match self {
            Self::Reserve(reserve) => reserve.request,
            Self::Put(copy) => copy.head.request,
            Self::Note(note) | Self::HandOver(note) => note.request,
            Self::Kept(kept) => kept.request,
            Self::Taken(taken) => taken.request,
            Self::Reserved { request, .. }
            | Self::Full { request, .. }
            | Self::Yielded { request, .. }
            | Self::Drop { request, .. } => *request,
        }
    }
}

/// Asks whether a key is known, and reserves it.
#[data]
pub struct Reserve {
    /// The request.
    pub request: Request,
    /// Digest of the request body.
    pub digest: u128,
    /// Boot number of the sender, which tells a restarted sender from its former incarnation.
    pub boot: u64,
    /// Epoch of the sender if it owns the request; zero while it only asks.
    pub epoch: u16,
    /// Time for which the request still runs; the reservation lasts a little longer.
    pub remaining: Duration,
}

/// Tells what a home instance knows of a key.
#[data]
pub enum KeyStatus {
    /// The key was unknown and is now reserved for the sender.
    Free,
    /// Another instance owns the key.
    Held {
        /// Owner of the key.
        owner: Instance,
        /// Epoch of the owner; zero while it has only reserved the key.
        epoch: u16,
        /// Digest of the body for which the key was used.
        digest: u128,
    },
    /// The owner is lost, and another instance will take the request over soon; ask again.
    Between {
        /// Digest of the body for which the key was used.
        digest: u128,
    },
    /// The key was held by an instance that was lost before it reported that the request was
    /// accepted. The key is now reserved for the sender; it is unknown whether the request ran.
    Doubtful,
    /// The key is unknown, and there is no room to reserve it.
    Full,
}

/// Everything that a second holder needs to take a request over.
#[data]
pub struct RequestCopy {
    /// Request; its deadline is the time that remains.
    pub head: Head,
    /// Request body for the upstream; `None` if the request is finished.
    pub body: Option<Arc<Body>>,
    /// Digest of the body.
    pub digest: u128,
    /// Boot number of the owner.
    pub boot: u64,
    /// Progress of the owner.
    pub note: Progress,
}

/// Progress of an owner with a request.
#[data]
pub struct Progress {
    /// The request.
    pub request: Request,
    /// Epoch of the owner.
    pub epoch: u16,
    /// Number that rises with each progress message of one epoch.
    pub sequence: u32,
    /// Run in progress, if any.
    pub live: Option<ActiveRun>,
    /// Highest attempt number so far.
    pub number: u32,
    /// Whether any attempt may have run.
    pub ran: bool,
    /// How many upstreams have crashed while they ran the request.
    pub crashes: u8,
    /// Whether all home instances reported that they did not know the key, so that no other
    /// instance has run the request.
    pub complete: bool,
    /// Ownership that began the answer which this one continues.
    pub lineage: u64,
    /// How the request ended, if it did.
    pub outcome: Option<Outcome>,
}

/// Run in progress, as a new owner needs it to rejoin the run.
#[data]
pub struct ActiveRun {
    /// The run.
    pub attempt: Attempt,
    /// The upstream.
    pub upstream: Upstream,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Kind of back end.
    pub kind: Kind,
    /// Priority of the request at the upstream.
    pub priority: i32,
}

/// Acknowledges that a copy is stored up to a progress message.
#[data(copy)]
pub struct Ack {
    /// The request.
    pub request: Request,
    /// Epoch of the owner.
    pub epoch: u16,
    /// Sequence of the newest progress message stored.
    pub sequence: u32,
}

/// Tells which instance owns a request from now on.
#[data]
pub struct Takeover {
    /// The request.
    pub request: Request,
    /// New owner.
    pub owner: Instance,
    /// Epoch of the new owner.
    pub epoch: u16,
    /// Run that the new owner continues and that must not be canceled.
    pub attempt: Option<Attempt>,
    /// Ownership that began the answer which the new owner continues.
    pub lineage: u64,
}
