//! Membership of instances and the registry of upstreams.
//!
//! [`Gossip`] combines both in one state machine without sockets, threads or a clock. A driver
//! calls [`Gossip::step`] with each [`Input`] and the current time, sends every [`Output::Send`],
//! and calls it again at [`Gossip::next_wakeup`]. The same inputs and the same seed give the same
//! outputs.
//!
//! Modules:
//!
//! - `time` attaches an age to every fact that is sent, because instances share no clock. It also
//!   detects when the process was paused, because data that was buffered meanwhile is older than
//!   its age says.
//! - `member` and `roster` hold the members, merged from the statuses that all instances send: a
//!   higher incarnation overrides, then a higher refutation count, then the later state. `probe`
//!   detects members that do not answer. It probes one neighbour per second, directly and then
//!   through other instances. An instance probes only its own region; contact instances compare
//!   the members of whole regions.
//! - `rendezvous` assigns each key two homes in two availability zones, identically on all
//!   instances.
//! - `record` and `registry` hold the upstreams. An instance that receives an announcement forwards
//!   a renewal of a few bytes to the upstream's two homes. Each home vouches for its upstreams in a
//!   `stream`: a versioned set that changes rarely, and one freshness mark per second that renews
//!   the whole set everywhere. A record is usable while direct evidence or such a mark is younger
//!   than the lease.
//! - `queue` and `pack` choose what the datagrams of a round carry, most urgent first. Each
//!   instance that did not know an update sends it on a fixed number of times. Digests (`Digest`)
//!   and requests (`Pull`) repair losses. Departures of upstreams are sent before the next round.
//! - `report` exchanges opaque reports between neighbours at a bounded rate.
//!
//! Bounds: each instance sends a fixed number of datagrams per second, whatever the size of its
//! region, plus the renewals of the upstreams that announce themselves to it. No datagram is longer
//! than [`MAX_FRAME_BYTES`]. The numbers of members, upstreams, streams and queued items are
//! capped.

mod frame;
mod gossip;
mod member;
mod pack;
mod probe;
mod queue;
mod receive;
mod record;
mod registry;
mod rendezvous;
mod report;
mod roster;
mod setup;
mod stream;
mod time;

pub use frame::{
    Body, CompactLoad, ContentHash, Delta, DeltaEntry, Departure, Digest, ForwardedAnnouncement,
    Frame, FreshnessMark, Key, MAX_FRAME_BYTES, MemberList, MemberSummary, Pull, RegionChecksum,
    RegionContact, Renewal, Report, StreamPosition, Updates,
};
pub use gossip::{Gossip, Input, Output, PeerReport};
pub use member::{Event as MemberEvent, Handle, MemberStatus, Peer, RegionId, State};
pub use record::{LeaseStatus, Record};
pub use registry::{AnnouncementResult, Event as UpstreamEvent, Rejection};
pub use rendezvous::Homes;
pub use report::MAX_REPORT_BYTES;
pub use roster::Member;
pub use setup::{MAX_LEASE, Setup};
pub use time::Age;
