//! Packing of updates into datagrams, the most urgent first.

use std::time::Duration;

use serde::Serialize;

use crate::frame::{
    CompactLoad, Delta, Departure, Digest, ForwardedAnnouncement, FreshnessMark, Pull, Updates,
};
use crate::member::MemberStatus;
use crate::queue::{Queue, Subject};
use crate::registry::Registry;
use crate::roster::Roster;

/// Maximum size of the updates in a datagram, in bytes; the rest is the frame's own header.
const UPDATES_BYTES: usize = crate::frame::MAX_FRAME_BYTES - 32;

/// Maximum size of the loads in a datagram, in bytes, so that they leave room for other updates.
const LOADS_BYTES: usize = 96;

/// Maximum encoded size of a freshness mark, in bytes.
const MARK_BYTES: usize = 15;

/// Maximum encoded size of a departure, in bytes.
const DEPARTURE_BYTES: usize = 33;

/// Maximum encoded size of a delta entry, in bytes.
const ENTRY_BYTES: usize = 15;

/// Maximum encoded size of a delta without its entries, in bytes.
const DELTA_BYTES: usize = 24;

/// Maximum encoded size of a member status without its names, in bytes.
const STATUS_BYTES: usize = 44;

/// Maximum encoded size of a region checksum, in bytes.
const CHECKSUM_BYTES: usize = 14;

/// Maximum encoded size of a region contact, in bytes.
const CONTACT_BYTES: usize = 7;

/// One datagram that is being filled.
struct Packet {
    updates: Updates,
    /// Bytes left for updates of any kind.
    free_bytes: usize,
    /// Bytes left for loads.
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

/// Result of adding an update to a packet.
enum AddOutcome {
    /// The update was added.
    Added,
    /// The packet has no room for the update.
    Full,
    /// The packet has no room for more loads, which are the last kind of update.
    LoadsFull,
    /// There is no content for the subject any more.
    Gone,
}

/// Provides the content of updates.
pub(crate) struct Source<'a> {
    /// Members of the deployment.
    pub(crate) roster: &'a Roster,
    /// Upstreams of the region.
    pub(crate) registry: &'a Registry,
    /// Current internal time.
    pub(crate) now: Duration,
}

impl Source<'_> {
    /// Packs the most urgent updates for one receiver into at most `max_packets` datagrams.
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

    /// Packs the response to a pull into as many datagrams as needed.
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

    /// Packs member statuses into as many datagrams as needed.
    pub(crate) fn pack_statuses(&self, statuses: &[MemberStatus]) -> Vec<Updates> {
        let mut packets = Packets::default();
        for status in statuses {
            packets.add(|packet| packet.add_member(Some(status)));
        }
        packets.finish()
    }

    /// Packs marks into as many datagrams as needed.
    pub(crate) fn pack_marks(&self, marks: Vec<FreshnessMark>) -> Vec<Updates> {
        let mut packets = Packets::default();
        for mark in marks {
            packets.add(|packet| packet.add_mark(Some(mark)));
        }
        packets.finish()
    }
}

/// Sequence of packets, of which the last one is being filled.
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

/// Returns the encoded size of a value, in bytes.
fn encoded_size(value: &impl Serialize) -> usize {
    postcard::to_stdvec(value).map_or(usize::MAX, |bytes| bytes.len())
}

/// Returns the number of marks that fit in a digest beside its other content.
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
