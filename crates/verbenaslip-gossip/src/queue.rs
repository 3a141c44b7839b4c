//! What is still to be passed on, and how often.

use std::collections::BTreeMap;
use std::ops::Bound;

use verbenaslip_base::name::Instance;

use crate::frame::Key;
use crate::member::Handle;

/// The most subjects waiting; beyond, the least urgent are left to the comparisons.
const MAX_SUBJECTS: usize = 8_192;

/// How many subjects wait while much changes at once.
const CONGESTED_SUBJECTS: usize = 120;

/// Names news, the most urgent kind first; what it says is looked up when it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// An upstream that takes no new work.
    Departure(Key),
    /// The newest freshness mark of an instance.
    Mark(Handle),
    /// What is believed of a member.
    Member(Instance),
    /// A version of what an instance vouches for.
    Delta(Handle, u32),
    /// A new or changed upstream.
    Announcement(Key),
    /// A changed load.
    Load(Key),
}

impl Subject {
    /// Returns in how many datagrams it is passed on by each instance to which it is news.
    ///
    /// When much changes at once, such as a whole region that starts, new upstreams sent several
    /// times would delay all the rest; who lacks one learns so from what instances vouch for.
    ///
    /// What a comparison mends soon, or what the next one replaces, goes to each neighbour once at
    /// the most. What must not be missed is repeated also among few.
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

/// Holds what is still to be passed on.
#[derive(Default)]
pub(crate) struct Queue {
    remaining: BTreeMap<Subject, u8>,
    urgent: bool,
    neighbour_count: usize,
    last_load: Key,
}

impl Queue {
    /// Sets among how many news is passed on.
    pub(crate) fn set_neighbour_count(&mut self, neighbours: usize) {
        self.neighbour_count = neighbours;
    }

    /// Passes a subject on from now, as often as its kind needs.
    pub(crate) fn push(&mut self, subject: Subject) {
        let copies = subject.copies(self);
        self.urgent |= matches!(subject, Subject::Departure(_));
        self.remaining.insert(subject, copies);
        if self.remaining.len() > MAX_SUBJECTS {
            self.remaining.pop_last();
        }
    }

    /// Tells whether so much has changed that the rest is better asked for than sent unasked.
    fn is_congested(&self) -> bool {
        self.remaining.len() > CONGESTED_SUBJECTS
    }

    /// Tells whether there is news since the last burst that does not wait for a round.
    pub(crate) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Has what an upstream has just said here for the first time not wait for a round either.
    pub(crate) fn set_urgent(&mut self) {
        self.urgent |= !self.is_congested();
    }

    /// Notes that a burst was sent.
    pub(crate) fn clear_urgent(&mut self) {
        self.urgent = false;
    }

    /// Returns the subjects in the order of their urgency, the loads in turn.
    ///
    /// There may always be more changed loads than fit. One would notice loads of the same
    /// upstreams that never change. So they begin where the last datagram ended.
    pub(crate) fn subjects(&self) -> Vec<Subject> {
        let first = Subject::Load(Key([0; 6]));
        let next = Subject::Load(self.last_load);
        let urgent = self.remaining.range(..first.clone());
        let after = (Bound::Excluded(next.clone()), Bound::Unbounded);
        let loads = self.remaining.range(after).chain(self.remaining.range(first..=next));
        urgent.chain(loads).map(|(subject, _)| subject.clone()).collect()
    }

    /// Notes that a subject was sent once.
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

    /// Drops a subject about which there is nothing to say any more.
    pub(crate) fn remove(&mut self, subject: &Subject) {
        self.remaining.remove(subject);
    }
}
