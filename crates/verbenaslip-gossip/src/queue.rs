//! Queue of updates to send on.

use std::collections::BTreeMap;
use std::ops::Bound;

use verbenaslip_base::name::Instance;

use crate::frame::Key;
use crate::member::Handle;

/// Maximum number of queued subjects; beyond it, the least urgent are left to the digests.
const MAX_SUBJECTS: usize = 8_192;

/// Queue length above which the queue counts as congested.
const CONGESTED_SUBJECTS: usize = 120;

/// Subject of an update, in order of urgency; its content is looked up when it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// Departure of an upstream.
    Departure(Key),
    /// Latest freshness mark of an instance.
    Mark(Handle),
    /// Status of a member.
    Member(Instance),
    /// Version of an instance's stream.
    Delta(Handle, u32),
    /// New or changed upstream.
    Announcement(Key),
    /// Changed load of an upstream.
    Load(Key),
}

impl Subject {
    /// Returns how many datagrams of this instance carry the subject.
    ///
    /// While the queue is congested, for example when a whole region starts, sending new upstreams
    /// several times would delay all other updates. Instances that lack such an upstream find out
    /// from the streams of its homes.
    ///
    /// An update that a digest soon repairs or that its successor replaces is sent at most once per
    /// neighbour. Updates that must not be missed are repeated even with few neighbours.
    fn copies(&self, queue: &Queue) -> u8 {
        let few =
            |copies: u8| copies.min(u8::try_from(queue.neighbour_count).unwrap_or(u8::MAX)).max(1);
        match self {
            Self::Departure(_) => 8,
            Self::Member(_) => 6,
            Self::Announcement(_) if queue.is_congested() => 1,
            Self::Announcement(_) => few(4),
            Self::Mark(_) | Self::Delta(..) | Self::Load(_) => few(3),
        }
    }
}

/// Updates that are still to be sent.
#[derive(Default)]
pub(crate) struct Queue {
    /// Number of datagrams that are still to carry each subject.
    remaining: BTreeMap<Subject, u8>,
    /// Whether updates should be sent before the next round.
    urgent: bool,
    neighbour_count: usize,
    /// Key of the load that was sent last.
    last_load: Key,
}

impl Queue {
    /// Sets the number of neighbours to which updates are sent.
    pub(crate) fn set_neighbour_count(&mut self, neighbours: usize) {
        self.neighbour_count = neighbours;
    }

    /// Queues a subject, to be sent as often as its kind needs.
    pub(crate) fn push(&mut self, subject: Subject) {
        let copies = subject.copies(self);
        self.urgent |= matches!(subject, Subject::Departure(_));
        self.remaining.insert(subject, copies);
        if self.remaining.len() > MAX_SUBJECTS {
            self.remaining.pop_last();
        }
    }

    /// Returns whether so many updates are queued that some are better requested than sent unasked.
    fn is_congested(&self) -> bool {
        self.remaining.len() > CONGESTED_SUBJECTS
    }

    /// Returns whether updates are queued that should be sent before the next round.
    pub(crate) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Requests that updates are sent before the next round, unless the queue is congested.
    pub(crate) fn set_urgent(&mut self) {
        self.urgent |= !self.is_congested();
    }

    /// Clears the request for sending before the next round.
    pub(crate) fn clear_urgent(&mut self) {
        self.urgent = false;
    }

    /// Returns the subjects in order of urgency, with the loads in round-robin order.
    ///
    /// More loads may change than fit in the datagrams, so the loads start after the one that was
    /// sent last. Otherwise the loads of some upstreams would never be sent.
    pub(crate) fn subjects(&self) -> Vec<Subject> {
        let first = Subject::Load(Key([0; 6]));
        let next = Subject::Load(self.last_load);
        let urgent = self.remaining.range(..first.clone());
        let after = (Bound::Excluded(next.clone()), Bound::Unbounded);
        let loads = self.remaining.range(after).chain(self.remaining.range(first..=next));
        urgent.chain(loads).map(|(subject, _)| subject.clone()).collect()
    }

    /// Records that a subject was sent once.
    pub(crate) fn record_sent(&mut self, subject: &Subject) {
        if let Subject::Load(key) = subject {
            self.last_load = *key;
        }
        let Some(copies) = self.remaining.get_mut(subject) else { return };
        *copies -= 1;
        if *copies == 0 {
            self.remaining.remove(subject);
        }
    }

    /// Removes a subject for which there is no content any more.
    pub(crate) fn remove(&mut self, subject: &Subject) {
        self.remaining.remove(subject);
    }
}
