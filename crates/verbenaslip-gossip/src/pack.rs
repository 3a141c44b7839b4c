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
const UPDATES_BYTES: usize = crate::frame::MAX_FRAME_BYTES - 32;

/// How many bytes of loads go into one datagram, so that they never crowd out the rest.
const LOADS_BYTES: usize = 96;

/// The most bytes that a freshness mark takes.
const MARK_BYTES: usize = 15;

/// The most bytes that the news of a leaving upstream takes.
const DEPARTURE_BYTES: usize = 33;

/// The most bytes that one change of a stream takes.
const ENTRY_BYTES: usize = 15;

/// The most bytes that a delta takes besides its changes.
const DELTA_BYTES: usize = 24;

/// The most bytes that a rumor takes besides its names.
const STATUS_BYTES: usize = 44;

/// The most bytes that the checksum of a region takes.
const CHECKSUM_BYTES: usize = 14;

/// The most bytes that the silence of a region takes.
const CONTACT_BYTES: usize = 7;

/// Fills one datagram.
struct Packet {
    updates: Updates,
    free_bytes: usize,
    free_load_bytes: usize,
}

impl Packet {
    fn new() -> Self {
        Self {
            updates: Updates::default(),
            free_bytes: UPDATES_BYTES,
            free_load_bytes: LOADS_BYTES,
        }
    }

    fn reserve(&mut self, size: usize) -> bool {
        let fits = size <= self.free_bytes;
        if fits {
            self.free_bytes -= size;
        }
        fits
    }

    fn add(&mut self, subject: &Subject, from: &Source<'_>) -> AddOutcome {
        match subject {
            Subject::Departure(key) => self.add_departure(from.registry.departure(*key, from.now)),
            Subject::Mark(voucher) => self.add_mark(from.registry.mark_of(*voucher, from.now)),
            Subject::Member(name) => self.add_member(from.roster.status_of(name)),
            Subject::Delta(voucher, version) => {
                self.add_delta(from.registry.delta_to(*voucher, *version))
            }
            Subject::Announcement(key) => {
                self.add_announcement(from.registry.forwarded_announcement(*key, from.now))
            }
            Subject::Load(key) => self.add_load(from.registry.compact_load(*key, from.now)),
        }
    }

    fn add_load(&mut self, load: Option<CompactLoad>) -> AddOutcome {
        let Some(load) = load else { return AddOutcome::Gone };
        let size = encoded_size(&load);
        if self.free_load_bytes < size || !self.reserve(size) {
            return AddOutcome::LoadsFull;
        }
        self.free_load_bytes -= size;
        self.updates.loads.push(load);
        AddOutcome::Added
    }

    fn add_departure(&mut self, departure: Option<Departure>) -> AddOutcome {
        let Some(departure) = departure else { return AddOutcome::Gone };
        if !self.reserve(DEPARTURE_BYTES) {
            return AddOutcome::Full;
        }
        self.updates.departures.push(departure);
        AddOutcome::Added
    }

    fn add_mark(&mut self, mark: Option<FreshnessMark>) -> AddOutcome {
        let Some(mark) = mark else { return AddOutcome::Gone };
        if !self.reserve(MARK_BYTES) {
            return AddOutcome::Full;
        }
        self.updates.marks.push(mark);
        AddOutcome::Added
    }

    fn add_member(&mut self, status: Option<&MemberStatus>) -> AddOutcome {
        let Some(status) = status else { return AddOutcome::Gone };
        if !self.reserve(status_size(status)) {
            return AddOutcome::Full;
        }
        self.updates.members.push(status.clone());
        AddOutcome::Added
    }

    fn add_delta(&mut self, delta: Option<Delta>) -> AddOutcome {
        let Some(delta) = delta else { return AddOutcome::Gone };
        if !self.reserve(DELTA_BYTES + ENTRY_BYTES * delta.entries.len()) {
            return AddOutcome::Full;
        }
        self.updates.deltas.push(delta);
        AddOutcome::Added
    }

    fn add_announcement(&mut self, forwarded: Option<ForwardedAnnouncement>) -> AddOutcome {
        let Some(forwarded) = forwarded else { return AddOutcome::Gone };
        if !self.reserve(encoded_size(&forwarded)) {
            return AddOutcome::Full;
        }
        self.updates.announcements.push(forwarded);
        AddOutcome::Added
    }
}

/// Says whether something went into a datagram.
enum AddOutcome {
    /// It did.
    Added,
    /// It did not: the datagram is full.
    Full,
    /// It did not: there are enough of its kind, which is the last one.
    LoadsFull,
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
    pub(crate) fn pack_queue(
        &self,
        queue: &mut Queue,
        max_packets: usize,
        wanted: impl Fn(&Subject) -> bool,
    ) -> Vec<Updates> {
        let mut full = Vec::new();
        let mut packet = Packet::new();
        for subject in queue.subjects().iter().filter(|subject| wanted(subject)) {
            let mut added = packet.add(subject, self);
            if matches!(added, AddOutcome::Full) && full.len() + 1 < max_packets {
                full.push(std::mem::replace(&mut packet, Packet::new()).updates);
                added = packet.add(subject, self);
            }
            match added {
                AddOutcome::Added => queue.record_sent(subject),
                AddOutcome::Gone => queue.remove(subject),
                AddOutcome::Full | AddOutcome::LoadsFull => break,
            }
        }
        full.push(packet.updates);
        full
    }

    /// Answers what another instance lacks, in as many datagrams as it takes.
    pub(crate) fn pack_pull_response(&self, pull: &Pull) -> Vec<Updates> {
        let mut packets = Packets::default();
        for handle in &pull.members {
            let status = self.roster.status_by_handle(*handle);
            packets.add(|packet| packet.add_member(status));
        }
        for key in &pull.announcements {
            packets.add(|packet| {
                packet.add_announcement(self.registry.forwarded_announcement(*key, self.now))
            });
        }
        for delta in pull.streams.iter().flat_map(|position| self.registry.deltas_since(position)) {
            packets.add(|packet| packet.add_delta(Some(delta.clone())));
        }
        packets.finish()
    }

    /// Puts rumors into as many datagrams as it takes.
    pub(crate) fn pack_statuses(&self, statuses: &[MemberStatus]) -> Vec<Updates> {
        let mut packets = Packets::default();
        for status in statuses {
            packets.add(|packet| packet.add_member(Some(status)));
        }
        packets.finish()
    }

    /// Puts marks into as many datagrams as it takes.
    pub(crate) fn pack_marks(&self, marks: Vec<FreshnessMark>) -> Vec<Updates> {
        let mut packets = Packets::default();
        for mark in marks {
            packets.add(|packet| packet.add_mark(Some(mark)));
        }
        packets.finish()
    }
}

/// Fills datagrams one after the other.
#[derive(Default)]
struct Packets {
    full: Vec<Updates>,
    current: Option<Packet>,
}

impl Packets {
    fn add(&mut self, add: impl Fn(&mut Packet) -> AddOutcome) {
        let packet = self.current.get_or_insert_with(Packet::new);
        if !matches!(add(packet), AddOutcome::Full) {
            return;
        }
        self.full.push(std::mem::take(&mut packet.updates));
        *packet = Packet::new();
        add(packet);
    }

    fn finish(mut self) -> Vec<Updates> {
        self.full.extend(self.current.map(|packet| packet.updates));
        self.full.retain(|updates| !updates.is_empty());
        self.full
    }
}

/// Returns how many bytes a piece of news takes.
fn encoded_size(value: &impl Serialize) -> usize {
    postcard::to_stdvec(value).map_or(usize::MAX, |bytes| bytes.len())
}

/// Returns how many marks fit a comparison beside the rest of it.
pub(crate) fn digest_mark_capacity(digest: &Digest) -> usize {
    UPDATES_BYTES.saturating_sub(
        CHECKSUM_BYTES * digest.checksums.len() + CONTACT_BYTES * digest.contacts.len(),
    ) / MARK_BYTES
}

fn status_size(status: &MemberStatus) -> usize {
    let peer = &status.peer;
    let names = [peer.instance.as_str(), peer.zone.as_str(), peer.region.as_str()];
    STATUS_BYTES + names.iter().map(|name| name.len()).sum::<usize>()
}
