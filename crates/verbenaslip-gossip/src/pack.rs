//! Filling datagrams with news, the most urgent first.

use std::time::Duration;

use serde::Serialize;

use crate::frame::{
    CompactLoad, Delta, Departure, Digest, ForwardedAnnouncement, FreshnessMark, Pull, Updates,
};
use crate::member::MemberStatus;
use crate::queue::{Queue, Subject};
use crate::registry::Registry;
use crate::roster::Roster;

/// How many bytes of news fit a datagram: what a frame may take without its own head.
const ROOM: usize = crate::frame::MAX_FRAME_BYTES - 32;

/// How many bytes of loads go into one datagram, so that they never crowd out the rest.
const GAUGE_ROOM: usize = 96;

/// The most bytes that a freshness mark takes.
const MARK: usize = 15;

/// The most bytes that the news of a leaving upstream takes.
const LEAVING: usize = 33;

/// The most bytes that one change of a stream takes.
const ENTRY: usize = 15;

/// The most bytes that a delta takes besides its changes.
const DELTA: usize = 24;

/// The most bytes that a rumor takes besides its names.
const RUMOR: usize = 44;

/// The most bytes that the checksum of a region takes.
const SUM: usize = 14;

/// The most bytes that the silence of a region takes.
const HEARD: usize = 7;

/// Fills one datagram.
struct Parcel {
    spread: Updates,
    room: usize,
    gauges: usize,
}

impl Parcel {
    fn empty() -> Self {
        Self { spread: Updates::default(), room: ROOM, gauges: GAUGE_ROOM }
    }

    fn take(&mut self, size: usize) -> bool {
        let fits = size <= self.room;
        if fits {
            self.room -= size;
        }
        fits
    }

    fn add(&mut self, subject: &Subject, from: &Source<'_>) -> Added {
        match subject {
            Subject::Leaving(key) => self.add_leaving(from.registry.leaving(*key, from.now)),
            Subject::Mark(voucher) => self.add_mark(from.registry.marked(*voucher, from.now)),
            Subject::Member(name) => self.add_member(from.roster.rumor(name)),
            Subject::Delta(voucher, version) => {
                self.add_delta(from.registry.delta(*voucher, *version))
            }
            Subject::Sheet(key) => self.add_sheet(from.registry.said(*key, from.now)),
            Subject::Gauge(key) => self.add_gauge(from.registry.gauged(*key, from.now)),
        }
    }

    fn add_gauge(&mut self, gauge: Option<CompactLoad>) -> Added {
        let Some(gauge) = gauge else { return Added::Gone };
        let size = size(&gauge);
        if self.gauges < size || !self.take(size) {
            return Added::Enough;
        }
        self.gauges -= size;
        self.spread.loads.push(gauge);
        Added::Yes
    }

    fn add_leaving(&mut self, leaving: Option<Departure>) -> Added {
        let Some(leaving) = leaving else { return Added::Gone };
        if !self.take(LEAVING) {
            return Added::Full;
        }
        self.spread.departures.push(leaving);
        Added::Yes
    }

    fn add_mark(&mut self, mark: Option<FreshnessMark>) -> Added {
        let Some(mark) = mark else { return Added::Gone };
        if !self.take(MARK) {
            return Added::Full;
        }
        self.spread.marks.push(mark);
        Added::Yes
    }

    fn add_member(&mut self, rumor: Option<&MemberStatus>) -> Added {
        let Some(rumor) = rumor else { return Added::Gone };
        if !self.take(rumor_size(rumor)) {
            return Added::Full;
        }
        self.spread.members.push(rumor.clone());
        Added::Yes
    }

    fn add_delta(&mut self, delta: Option<Delta>) -> Added {
        let Some(delta) = delta else { return Added::Gone };
        if !self.take(DELTA + ENTRY * delta.entries.len()) {
            return Added::Full;
        }
        self.spread.deltas.push(delta);
        Added::Yes
    }

    fn add_sheet(&mut self, sheet: Option<ForwardedAnnouncement>) -> Added {
        let Some(sheet) = sheet else { return Added::Gone };
        if !self.take(size(&sheet)) {
            return Added::Full;
        }
        self.spread.announcements.push(sheet);
        Added::Yes
    }
}

/// Says whether something went into a datagram.
enum Added {
    /// It did.
    Yes,
    /// It did not: the datagram is full.
    Full,
    /// It did not: there are enough of its kind, which is the last one.
    Enough,
    /// There is nothing to say about it any more.
    Gone,
}

/// Knows what the news say.
pub(crate) struct Source<'a> {
    /// The members.
    pub(crate) roster: &'a Roster,
    /// The upstreams.
    pub(crate) registry: &'a Registry,
    /// The time.
    pub(crate) now: Duration,
}

impl Source<'_> {
    /// Takes the most urgent news for one receiver, in at most so many datagrams.
    pub(crate) fn news(
        &self,
        queue: &mut Queue,
        most: usize,
        wanted: impl Fn(&Subject) -> bool,
    ) -> Vec<Updates> {
        let mut full = Vec::new();
        let mut parcel = Parcel::empty();
        for subject in queue.subjects().iter().filter(|subject| wanted(subject)) {
            let mut added = parcel.add(subject, self);
            if matches!(added, Added::Full) && full.len() + 1 < most {
                full.push(std::mem::replace(&mut parcel, Parcel::empty()).spread);
                added = parcel.add(subject, self);
            }
            match added {
                Added::Yes => queue.sent(subject),
                Added::Gone => queue.drop(subject),
                Added::Full | Added::Enough => break,
            }
        }
        full.push(parcel.spread);
        full
    }

    /// Answers what another instance lacks, in as many datagrams as it takes.
    pub(crate) fn answer(&self, pull: &Pull) -> Vec<Updates> {
        let mut parcels = Parcels::default();
        for handle in &pull.members {
            let rumor = self.roster.named(*handle);
            parcels.add(|parcel| parcel.add_member(rumor));
        }
        for key in &pull.announcements {
            parcels.add(|parcel| parcel.add_sheet(self.registry.said(*key, self.now)));
        }
        for delta in pull.streams.iter().flat_map(|since| self.registry.since(since)) {
            parcels.add(|parcel| parcel.add_delta(Some(delta.clone())));
        }
        parcels.done()
    }

    /// Puts rumors into as many datagrams as it takes.
    pub(crate) fn tell(&self, rumors: &[MemberStatus]) -> Vec<Updates> {
        let mut parcels = Parcels::default();
        for rumor in rumors {
            parcels.add(|parcel| parcel.add_member(Some(rumor)));
        }
        parcels.done()
    }

    /// Puts marks into as many datagrams as it takes.
    pub(crate) fn show(&self, marks: Vec<FreshnessMark>) -> Vec<Updates> {
        let mut parcels = Parcels::default();
        for mark in marks {
            parcels.add(|parcel| parcel.add_mark(Some(mark)));
        }
        parcels.done()
    }
}

/// Fills datagrams one after the other.
#[derive(Default)]
struct Parcels {
    full: Vec<Updates>,
    open: Option<Parcel>,
}

impl Parcels {
    fn add(&mut self, add: impl Fn(&mut Parcel) -> Added) {
        let parcel = self.open.get_or_insert_with(Parcel::empty);
        if !matches!(add(parcel), Added::Full) {
            return;
        }
        self.full.push(std::mem::take(&mut parcel.spread));
        *parcel = Parcel::empty();
        add(parcel);
    }

    fn done(mut self) -> Vec<Updates> {
        self.full.extend(self.open.map(|parcel| parcel.spread));
        self.full.retain(|spread| !spread.is_empty());
        self.full
    }
}

/// Returns how many bytes a piece of news takes.
fn size(news: &impl Serialize) -> usize {
    postcard::to_stdvec(news).map_or(usize::MAX, |bytes| bytes.len())
}

/// Returns how many marks fit a comparison beside the rest of it.
pub(crate) fn marks_beside(sync: &Digest) -> usize {
    ROOM.saturating_sub(SUM * sync.checksums.len() + HEARD * sync.contacts.len()) / MARK
}

fn rumor_size(rumor: &MemberStatus) -> usize {
    let peer = &rumor.peer;
    let names = [peer.instance.as_str(), peer.zone.as_str(), peer.region.as_str()];
    RUMOR + names.iter().map(|name| name.len()).sum::<usize>()
}
