//! The datagrams between instances.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::name::Upstream;
use verbenaslip_base::{data, hash};

use crate::member::{Handle, MemberStatus, RegionId};
use crate::time::Age;

/// The most bytes that a frame takes, so that with its envelope it fits 1,200 bytes.
pub const MAX_FRAME_BYTES: usize = 1_180;

/// One datagram.
#[data]
pub struct Frame {
    /// Who sends it.
    pub from: Handle,
    /// What it says.
    pub body: Body,
}

impl Frame {
    /// Reads a frame; none when the bytes are not exactly one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (frame, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(frame)
    }

    /// Writes the frame; none when it does not fit a datagram.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).ok()?;
        (bytes.len() <= MAX_FRAME_BYTES).then_some(bytes)
    }
}

/// What a datagram says.
#[data]
pub enum Body {
    /// Introduces the sender to an address that may not know it.
    Join(MemberStatus),
    /// Asks the target to answer.
    Ping {
        /// Who is meant; another one that lives at the address now introduces itself instead.
        target: Handle,
        /// Comes back in the answer.
        probe: u32,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        probe: u32,
    },
    /// Asks the receiver to ping the target in the sender's place.
    IndirectPing {
        /// Who is to answer.
        target: Handle,
        /// Comes back in the answer.
        probe: u32,
    },
    /// Passes on news.
    Updates(Updates),
    /// Answers a question; what it says is no news to others.
    PullResponse(Updates),
    /// Compares what the sender holds with what the receiver holds.
    Digest(Digest),
    /// Lists the members of one region, after a comparison had differed.
    MemberList(MemberList),
    /// Asks for what the sender found that it lacks.
    Pull(Pull),
    /// Passes renewals on to an instance that vouches for the upstreams.
    Renewals(Vec<Renewal>),
    /// Carries the sender's own report.
    Report(Report),
}

/// News of all kinds; the receiver passes on what was new to it.
#[data(default)]
pub struct Updates {
    /// Upstreams that take no new work.
    pub departures: Vec<Departure>,
    /// Changes of what instances vouch for.
    pub deltas: Vec<Delta>,
    /// Freshness marks.
    pub marks: Vec<FreshnessMark>,
    /// Changes of members.
    pub members: Vec<MemberStatus>,
    /// New or changed upstreams.
    pub announcements: Vec<ForwardedAnnouncement>,
    /// Changed loads of upstreams.
    pub loads: Vec<CompactLoad>,
}

impl Updates {
    /// Tells whether there is no news.
    pub(crate) fn is_empty(&self) -> bool {
        self.departures.is_empty()
            && self.deltas.is_empty()
            && self.marks.is_empty()
            && self.members.is_empty()
            && self.announcements.is_empty()
            && self.loads.is_empty()
    }
}

/// Stands for an upstream in datagrams.
///
/// A new upstream whose name gives a key in use by another name is refused when it announces.
#[data(copy, ord, hash, default)]
pub struct Key(pub [u8; 6]);

impl Key {
    /// Derives it from the upstream's name.
    pub fn of(upstream: &Upstream) -> Self {
        let [a, b, c, d, e, f, ..] = hash::narrow(&[upstream.as_str().as_bytes()]).to_le_bytes();
        Self([a, b, c, d, e, f])
    }
}

impl Key {
    /// Returns the first bytes, by which loads mean it.
    pub(crate) fn prefix(self) -> [u8; 4] {
        let [a, b, c, d, ..] = self.0;
        [a, b, c, d]
    }

    /// Returns the range of keys that begin with such bytes.
    pub(crate) fn with_prefix([a, b, c, d]: [u8; 4]) -> std::ops::RangeInclusive<Self> {
        Self([a, b, c, d, 0, 0])..=Self([a, b, c, d, u8::MAX, u8::MAX])
    }
}

/// Tells one content of an announcement from another; sequence and load are no part of it.
#[data(copy, ord, hash)]
pub struct ContentHash(pub [u8; 3]);

impl ContentHash {
    /// Derives it from all that an announcement says but sequence, notice and load.
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

/// Says that an upstream takes no new work.
#[data(copy)]
pub struct Departure {
    /// The upstream.
    pub key: Key,
    /// The incarnation for which this is final.
    pub incarnation: u64,
    /// The sequence at which it said so.
    pub sequence: u64,
    /// Milliseconds that are left until it is taken away.
    pub notice: Option<u32>,
}

/// Passes on an announcement.
#[data]
pub struct ForwardedAnnouncement {
    /// The announcement.
    pub announcement: Announcement,
    /// How long ago it was made.
    pub age: Age,
    /// How old its load report is, in milliseconds.
    pub load_age_ms: u32,
}

/// Passes on the load of an upstream, coarsely.
///
/// Loads are the most frequent news, so all is cut short; one that is taken for another upstream's
/// or incarnation's does no harm beyond a worse choice until the next.
#[data(copy)]
pub struct CompactLoad {
    /// The first bytes of the upstream's key.
    pub key: [u8; 4],
    /// The low bits of the incarnation.
    pub incarnation: u8,
    /// The low bits of the sequence of the announcement that said so.
    pub sequence: [u8; 2],
    /// Requests being run.
    pub running: u32,
    /// Requests waiting in the upstream.
    pub waiting: u32,
    /// Share of KV cache memory in use, in units of 1/250.
    pub memory: u8,
    /// How long ago it was measured, in tenths of a second.
    pub age_tenths: u8,
}

/// Changes what one instance vouches for.
#[data]
pub struct Delta {
    /// The instance that vouches.
    pub voucher: Handle,
    /// The version that it changes; zero replaces all.
    pub base: u32,
    /// The version that it leads to.
    pub version: u32,
    /// The newest version that the sender holds; marks do not count until it is reached.
    pub latest: u32,
    /// The changes.
    pub entries: Vec<DeltaEntry>,
}

/// Changes what an instance vouches for about one upstream.
#[data(copy)]
pub struct DeltaEntry {
    /// The upstream.
    pub key: Key,
    /// The content that it vouches for; none when it no longer does.
    pub content_hash: Option<ContentHash>,
    /// By how many versions after the delta's base the voucher made this change.
    ///
    /// Every holder must know exactly which version a change belongs to. Else one receiver could
    /// combine two holders' deltas into one with a change missing, which no later one repeats.
    pub version_offset: u32,
}

/// Says that all upstreams that an instance vouches for were renewed not longer ago than an age.
#[data(copy)]
pub struct FreshnessMark {
    /// The instance that vouches.
    pub voucher: Handle,
    /// Rises with each mark of the voucher.
    pub sequence: u32,
    /// The version of what it vouches for.
    pub version: u32,
    /// The age of the oldest renewal among them.
    pub age: Age,
}

/// Compares what two instances hold.
#[data(default)]
pub struct Digest {
    /// A checksum over the members of each region.
    pub checksums: Vec<RegionChecksum>,
    /// How long ago each other region was last heard.
    pub contacts: Vec<RegionContact>,
    /// All freshness marks, when both are in one region.
    pub marks: Vec<FreshnessMark>,
}

/// A checksum over the members of one region.
#[data(copy)]
pub struct RegionChecksum {
    /// The region.
    pub region_id: RegionId,
    /// Covers all who are present.
    pub checksum: u64,
}

/// Says how long ago a region was heard by anybody of the sender's region.
#[data(copy)]
pub struct RegionContact {
    /// The region.
    pub region_id: RegionId,
    /// Tenths of a second.
    pub age_tenths: u16,
}

impl RegionContact {
    /// Measures how long ago a region was heard.
    pub(crate) fn of(region_id: RegionId, now: Duration, then: Duration) -> Self {
        let tenths = now.saturating_sub(then).as_millis() / 100 + 1;
        Self { region_id, age_tenths: u16::try_from(tenths).unwrap_or(u16::MAX) }
    }
}

/// Lists members of one region whose handles lie in a range.
#[data]
pub struct MemberList {
    /// The region.
    pub region_id: RegionId,
    /// The first handle of the range.
    pub first: Handle,
    /// The first handle after the range; none when it has no end.
    pub end: Option<Handle>,
    /// All of them who are present, by handle.
    pub members: Vec<MemberSummary>,
}

/// Lists one member.
#[data(copy)]
pub struct MemberSummary {
    /// The member.
    pub handle: Handle,
    /// How often it has refuted a suspicion.
    pub refutations: u32,
    /// What is believed of it.
    pub state: crate::member::State,
}

/// Asks for what the sender lacks.
#[data(default)]
pub struct Pull {
    /// What instances vouch for, from a version on.
    pub streams: Vec<StreamPosition>,
    /// Announcements.
    pub announcements: Vec<Key>,
    /// Members.
    pub members: Vec<Handle>,
}

impl Pull {
    /// Tells whether nothing is asked.
    pub(crate) fn is_empty(&self) -> bool {
        self.streams.is_empty() && self.announcements.is_empty() && self.members.is_empty()
    }
}

/// Names the version of a stream that the sender holds.
#[data(copy)]
pub struct StreamPosition {
    /// The instance that vouches.
    pub voucher: Handle,
    /// The version held; zero for nothing.
    pub version: u32,
}

/// Passes on that an upstream has announced itself with unchanged content.
#[data(copy)]
pub struct Renewal {
    /// The upstream.
    pub key: Key,
    /// The content it announced.
    pub content_hash: ContentHash,
    /// The sequence of the announcement.
    pub sequence: u64,
    /// How long ago that was.
    pub age: Age,
}

/// Carries an opaque report of its sender.
#[data]
pub struct Report {
    /// Rises with each report of the sender's incarnation.
    pub version: u64,
    /// How long ago it was made.
    pub age: Age,
    /// What it says.
    pub bytes: Vec<u8>,
}
