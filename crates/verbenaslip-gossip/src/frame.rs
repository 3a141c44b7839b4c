//! Datagrams between instances.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::name::Upstream;
use verbenaslip_base::{data, hash};

use crate::member::{Handle, MemberStatus, RegionId};
use crate::time::Age;

/// Maximum size of a frame in bytes; with its envelope it fits in 1,200 bytes.
pub const MAX_FRAME_BYTES: usize = 1_180;

/// One datagram.
#[data]
pub struct Frame {
    /// Handle of the sender.
    pub from: Handle,
    /// Content of the datagram.
    pub body: Body,
}

impl Frame {
    /// Decodes a frame; returns `None` unless the bytes are exactly one frame.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (frame, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(frame)
    }

    /// Encodes the frame; returns `None` if it is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).ok()?;
        (bytes.len() <= MAX_FRAME_BYTES).then_some(bytes)
    }
}

/// Content of a datagram.
#[data]
pub enum Body {
    /// Introduces the sender to an address that may not know it.
    Join(MemberStatus),
    /// Asks the target to answer with an ack.
    Ping {
        /// Handle of the target; another incarnation at the address sends a join instead of an ack.
        target: Handle,
        /// Number of the probe, repeated in the ack.
        probe: u32,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe that is answered.
        probe: u32,
    },
    /// Asks the receiver to ping the target on behalf of the sender.
    IndirectPing {
        /// Handle of the instance to ping.
        target: Handle,
        /// Number of the probe, repeated in the ack.
        probe: u32,
    },
    /// Updates to send on.
    Updates(Updates),
    /// Updates that answer a pull; other instances know the announcements in it already.
    PullResponse(Updates),
    /// Summary of the sender's state, for comparison with the receiver's.
    Digest(Digest),
    /// Members of one region, sent after the checksums of a digest differed.
    MemberList(MemberList),
    /// Request for what the sender lacks.
    Pull(Pull),
    /// Renewals for an instance that vouches for the upstreams.
    Renewals(Vec<Renewal>),
    /// The sender's own report.
    Report(Report),
}

/// Updates of all kinds; the receiver sends on those that are new to it.
#[data(default)]
pub struct Updates {
    /// Departures of upstreams.
    pub departures: Vec<Departure>,
    /// Changes of the streams of vouching instances.
    pub deltas: Vec<Delta>,
    /// Freshness marks.
    pub marks: Vec<FreshnessMark>,
    /// Changed members.
    pub members: Vec<MemberStatus>,
    /// New or changed upstreams.
    pub announcements: Vec<ForwardedAnnouncement>,
    /// Changed loads of upstreams.
    pub loads: Vec<CompactLoad>,
}

impl Updates {
    /// Returns whether there are no updates.
    pub(crate) fn is_empty(&self) -> bool {
        self.departures.is_empty()
            && self.deltas.is_empty()
            && self.marks.is_empty()
            && self.members.is_empty()
            && self.announcements.is_empty()
            && self.loads.is_empty()
    }
}

/// Hash that represents an upstream in datagrams.
///
/// An announcement of a new upstream is rejected if another upstream's name has the same key.
#[data(copy, ord, hash, default)]
pub struct Key(pub [u8; 6]);

impl Key {
    /// Returns the key of an upstream, derived from its name.
    pub fn of(upstream: &Upstream) -> Self {
        let [a, b, c, d, e, f, ..] = hash::narrow(&[upstream.as_str().as_bytes()]).to_le_bytes();
        Self([a, b, c, d, e, f])
    }
}

impl Key {
    /// Returns the first bytes of the key, which identify the upstream in a [`CompactLoad`].
    pub(crate) fn prefix(self) -> [u8; 4] {
        let [a, b, c, d, ..] = self.0;
        [a, b, c, d]
    }

    /// Returns the range of keys that start with the given bytes.
    pub(crate) fn with_prefix([a, b, c, d]: [u8; 4]) -> std::ops::RangeInclusive<Self> {
        Self([a, b, c, d, 0, 0])..=Self([a, b, c, d, u8::MAX, u8::MAX])
    }
}

/// Hash of an announcement's content without sequence number, notice and load.
#[data(copy, ord, hash)]
pub struct ContentHash(pub [u8; 3]);

impl ContentHash {
    /// Returns the hash of an announcement without its sequence number, notice and load.
    pub fn of(announcement: &Announcement) -> Self {
        let mut content = announcement.clone();
        content.sequence = 0;
        content.load = Load::default();
        if let Phase::Leaving { notice } = &mut content.phase {
            *notice = None;
        }
        let bytes = postcard::to_stdvec(&content).unwrap_or_default();
        let [a, b, c, ..] = hash::narrow(&[&bytes]).to_le_bytes();
        Self([a, b, c])
    }
}

/// Departure of an upstream, after which it takes no new work.
#[data(copy)]
pub struct Departure {
    /// Key of the upstream.
    pub key: Key,
    /// Incarnation for which the departure is final.
    pub incarnation: u64,
    /// Sequence number at which the upstream departed.
    pub sequence: u64,
    /// Time until the upstream is taken away, in milliseconds.
    pub notice: Option<u32>,
}

/// Announcement that one instance forwards to another.
#[data]
pub struct ForwardedAnnouncement {
    /// Announcement of the upstream.
    pub announcement: Announcement,
    /// Time since the announcement was made or last renewed.
    pub age: Age,
    /// Age of the load in the announcement, in milliseconds.
    pub load_age_ms: u32,
}

/// Load of an upstream in a compact form.
///
/// Loads are the most frequent updates, so all fields are truncated. A load that is taken for that
/// of another upstream or incarnation only leads to a worse choice until the next one arrives.
#[data(copy)]
pub struct CompactLoad {
    /// First bytes of the upstream's key.
    pub key: [u8; 4],
    /// Low bits of the incarnation.
    pub incarnation: u8,
    /// Low bits of the sequence number of the announcement that contained the load.
    pub sequence: [u8; 2],
    /// Number of requests that the upstream runs.
    pub running: u32,
    /// Number of requests queued in the upstream.
    pub waiting: u32,
    /// Share of KV cache memory in use, in units of 1/250.
    pub memory: u8,
    /// Time since the load was measured, in tenths of a second.
    pub age_tenths: u8,
}

/// Change of one instance's stream.
#[data]
pub struct Delta {
    /// Handle of the vouching instance.
    pub voucher: Handle,
    /// Version to which the delta applies; a delta from version zero replaces the whole stream.
    pub base: u32,
    /// Version that the delta leads to.
    pub version: u32,
    /// Latest version that the sender holds; marks are not applied before it is reached.
    pub latest: u32,
    /// Changed upstreams.
    pub entries: Vec<DeltaEntry>,
}

/// Change of a stream for one upstream.
#[data(copy)]
pub struct DeltaEntry {
    /// Key of the upstream.
    pub key: Key,
    /// Hash of the content that is vouched for; `None` when it is no longer vouched for.
    pub content_hash: Option<ContentHash>,
    /// Version of the change relative to the delta's base.
    ///
    /// Each holder must know the exact version of a change. Otherwise a receiver could combine the
    /// deltas of two holders and miss a change that no later delta repeats.
    pub version_offset: u32,
}

/// Confirms that all upstreams of a stream were renewed within the given age.
#[data(copy)]
pub struct FreshnessMark {
    /// Handle of the vouching instance.
    pub voucher: Handle,
    /// Number that is increased with each mark of the voucher.
    pub sequence: u32,
    /// Version of the stream that the mark covers.
    pub version: u32,
    /// Age of the oldest renewal in the stream.
    pub age: Age,
}

/// Summary of an instance's state.
#[data(default)]
pub struct Digest {
    /// Checksums over the members of each region.
    pub checksums: Vec<RegionChecksum>,
    /// Time since each other region was last heard from.
    pub contacts: Vec<RegionContact>,
    /// Freshness marks, chosen at random if not all fit; empty for a receiver in another region.
    pub marks: Vec<FreshnessMark>,
}

/// Checksum over the members of one region.
#[data(copy)]
pub struct RegionChecksum {
    /// Identifier of the region.
    pub region_id: RegionId,
    /// Checksum over all members that are present.
    pub checksum: u64,
}

/// Time since an instance of the sender's region last heard from another region.
#[data(copy)]
pub struct RegionContact {
    /// Identifier of the other region.
    pub region_id: RegionId,
    /// Time since the last contact, in tenths of a second.
    pub age_tenths: u16,
}

impl RegionContact {
    /// Creates an entry for a region that was last heard from at `then`.
    pub(crate) fn of(region_id: RegionId, now: Duration, then: Duration) -> Self {
        let tenths = now.saturating_sub(then).as_millis() / 100 + 1;
        Self { region_id, age_tenths: u16::try_from(tenths).unwrap_or(u16::MAX) }
    }
}

/// Members of one region whose handles lie in a range.
#[data]
pub struct MemberList {
    /// Identifier of the region.
    pub region_id: RegionId,
    /// First handle of the range.
    pub first: Handle,
    /// First handle after the range; `None` when the range is unbounded.
    pub end: Option<Handle>,
    /// All members of the range that are present, sorted by handle.
    pub members: Vec<MemberSummary>,
}

/// Status of one member without its identity.
#[data(copy)]
pub struct MemberSummary {
    /// Handle of the member.
    pub handle: Handle,
    /// Number of suspicions that the member has refuted.
    pub refutations: u32,
    /// State of the member.
    pub state: crate::member::State,
}

/// Request for what the sender lacks.
#[data(default)]
pub struct Pull {
    /// Streams, each from the version that the sender holds.
    pub streams: Vec<StreamPosition>,
    /// Upstreams whose announcements are requested.
    pub announcements: Vec<Key>,
    /// Members whose statuses are requested.
    pub members: Vec<Handle>,
}

impl Pull {
    /// Returns whether nothing is requested.
    pub(crate) fn is_empty(&self) -> bool {
        self.streams.is_empty() && self.announcements.is_empty() && self.members.is_empty()
    }
}

/// Version of a stream that the sender holds.
#[data(copy)]
pub struct StreamPosition {
    /// Handle of the vouching instance.
    pub voucher: Handle,
    /// Version that is held; zero if none is held.
    pub version: u32,
}

/// Repeated announcement of an upstream whose content has not changed.
#[data(copy)]
pub struct Renewal {
    /// Key of the upstream.
    pub key: Key,
    /// Hash of the announced content.
    pub content_hash: ContentHash,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Time since the announcement was made.
    pub age: Age,
}

/// Opaque report of the sender.
#[data]
pub struct Report {
    /// Number that is increased with each report of the sender's incarnation.
    pub version: u64,
    /// Time since the report was created.
    pub age: Age,
    /// Content of the report.
    pub bytes: Vec<u8>,
}
