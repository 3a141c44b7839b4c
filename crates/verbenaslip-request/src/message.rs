//! What instances say to each other about requests.
//!
//! Every message is idempotent by request, epoch and sequence, so that lost ones are sent again and
//! duplicated, late and reordered ones do no harm.

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

/// Says something about one request to another instance.
#[data]
pub enum Message {
    /// Asks a home whether it knows the key, and reserves it for the asker if not.
    Reserve(Reserve),
    /// Answers a reservation.
    Reserved {
        /// The request asked about.
        request: Request,
        /// What the home knows.
        found: KeyStatus,
    },
    /// Gives a home the whole request to hold.
    Put(Box<RequestCopy>),
    /// Tells the second holder how far its owner has got.
    Note(Progress),
    /// Answers a put or a note.
    Kept(Ack),
    /// Answers a put: the home has no room.
    Full {
        /// The request that was not kept.
        request: Request,
        /// The owner's epoch.
        epoch: u16,
    },
    /// Tells a former owner that it no longer owns the request.
    Taken(Takeover),
    /// Answers that the former owner has given the request up.
    Yielded {
        /// The request.
        request: Request,
        /// The epoch to which it yielded.
        epoch: u16,
    },
    /// Asks the second holder to take the request over at once, because its owner stops.
    HandOver(Progress),
    /// Tells a home to forget the request: it was surely not run, or nobody wants it any more.
    Drop {
        /// The request.
        request: Request,
        /// The owner's epoch.
        epoch: u16,
        /// Whether the key is free as well; else only the copy is, and another instance holds it.
        key: bool,
    },
}

impl Message {
    /// Returns the request that it is about.
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
    /// The digest of its body.
    pub digest: u128,
    /// The asker's start, so that a restarted one is told from the one that held it before.
    pub boot: u64,
    /// The asker's epoch when it owns the request; zero while it only asks.
    pub epoch: u16,
    /// How long the reservation stands.
    pub remaining: Duration,
}

/// Says what a home knows of a key.
#[data]
pub enum KeyStatus {
    /// It was unknown and is now reserved for the asker.
    Free,
    /// Another instance owns it.
    Held {
        /// The owner.
        owner: Instance,
        /// The owner's epoch; zero while it has only reserved the key.
        epoch: u16,
        /// The digest of the body it came with.
        digest: u128,
    },
    /// Its owner is lost and another will take it over soon; ask again.
    Between {
        /// The digest of the body it came with.
        digest: u128,
    },
    /// It was held by an instance that was lost before it told that the request was accepted, and
    /// is now reserved for the asker; nobody knows whether it ran.
    Doubtful,
    /// It is unknown, and there is no room to reserve it.
    Full,
}

/// Holds all that a second holder needs to take a request over.
#[data]
pub struct RequestCopy {
    /// The request; its deadline counts from zero as the time that remains.
    pub head: Head,
    /// What is sent to the upstream; none when the request is finished.
    pub body: Option<Arc<Body>>,
    /// The digest of the body.
    pub digest: u128,
    /// The owner's start.
    pub boot: u64,
    /// How far the owner has got.
    pub note: Progress,
}

/// Says how far an owner has got with a request.
#[data]
pub struct Progress {
    /// The request.
    pub request: Request,
    /// The owner's epoch.
    pub epoch: u16,
    /// Rises with each note of one epoch.
    pub sequence: u32,
    /// The run that goes on, if any.
    pub live: Option<ActiveRun>,
    /// The highest attempt number given so far.
    pub number: u32,
    /// Whether any attempt may have run.
    pub ran: bool,
    /// How many upstreams have ended while they ran it.
    pub crashes: u8,
    /// Whether its homes had all said that they did not know it, so that nobody else has run it.
    pub complete: bool,
    /// The ownership from whose answer this one goes on.
    pub lineage: u64,
    /// How it ended, if it did.
    pub outcome: Option<Outcome>,
}

/// Says where a run goes on, so that a new owner can join it.
#[data]
pub struct ActiveRun {
    /// The run.
    pub attempt: Attempt,
    /// The upstream.
    pub upstream: Upstream,
    /// Its address.
    pub address: SocketAddr,
    /// What kind of back end it is.
    pub kind: Kind,
    /// The priority it was given.
    pub priority: i32,
}

/// Answers that a copy is held up to a note.
#[data(copy)]
pub struct Ack {
    /// The request.
    pub request: Request,
    /// The owner's epoch.
    pub epoch: u16,
    /// The newest note held.
    pub sequence: u32,
}

/// Says who owns a request from now on.
#[data]
pub struct Takeover {
    /// The request.
    pub request: Request,
    /// The new owner.
    pub owner: Instance,
    /// The new owner's epoch.
    pub epoch: u16,
    /// The run that the new owner follows, which must not be cancelled.
    pub attempt: Option<Attempt>,
    /// The ownership from whose answer the new owner goes on.
    pub lineage: u64,
}
