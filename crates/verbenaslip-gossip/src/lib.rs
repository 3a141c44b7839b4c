//! Membership between instances and the registry of upstreams.
//!
//! [`Gossip`] composes both as one machine without sockets, threads or a clock. A driver hands it
//! what happens as [`Input`] with the time, sends what it puts out as [`Output::Send`], and calls
//! it again at [`Gossip::wake`]. Same inputs and same seed give the same outputs.
//!
//! The parts follow each other like this:
//!
//! - `time` gives every piece of news an age that travels with it, because instances share no
//!   clock, and notices when the process was frozen, because what waited meanwhile is older than it
//!   says.
//! - `member` and `roster` hold who takes part, merged from what all say of each other: a higher
//!   incarnation overrides, then a higher refutation, then the later state. `probe` finds out who
//!   does not answer, by one neighbour a period, directly and then through others. Only the own
//!   region is probed; contacts compare the members of whole regions.
//! - `rendezvous` gives each key two homes in two availability zones, alike at all instances.
//! - `record` and `registry` hold the upstreams. Whoever receives an announcement passes a renewal
//!   of a few bytes on to the upstream's two homes. Each home vouches for its upstreams in a
//!   `stream`: a versioned set that changes seldom, and one freshness mark a second that renews all
//!   of the set everywhere. A record is usable while own evidence or such a mark is younger than
//!   the lease.
//! - `queue` and `pack` choose what goes into the datagrams of a round, most urgent first; each
//!   receiver to which it was news passes it on a fixed number of times. Comparisons (`Digest`) and
//!   questions (`Pull`) mend what was lost. Leaving upstreams do not wait for a round.
//! - `report` carries opaque reports between neighbours, at a bounded rate.
//!
//! Bounds: every instance sends a fixed number of datagrams a second whatever the size of its
//! region, but for the renewals of the upstreams that announce themselves to it. No datagram is
//! longer than [`MAX_FRAME_BYTES`]. Members, upstreams, streams and everything that waits have caps.

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
