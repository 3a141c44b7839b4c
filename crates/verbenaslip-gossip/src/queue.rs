//! What is still to be passed on, and how often.

use std::collections::BTreeMap;

use verbenaslip_base::name::Instance;

use crate::frame::Key;
use crate::member::Handle;

/// The most subjects waiting; beyond, the least urgent are left to the comparisons.
const MAX_WAITING: usize = 8_192;

/// Names news, the most urgent kind first; what it says is looked up when it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// An upstream that takes no new work.
    Leaving(Key),
    /// The newest freshness mark of an instance.
    Mark(Handle),
    /// What is believed of a member.
    Member(Instance),
    /// A version of what an instance vouches for.
    Delta(Handle, u32),
    /// A new or changed upstream.
    Sheet(Key),
    /// A changed load.
    Gauge(Key),
}

impl Subject {
    /// Returns in how many datagrams it is passed on by each instance to which it is news.
    fn copies(&self) -> u8 {
        match self {
            Self::Leaving(_) => 8,
            Self::Mark(_) => 3,
            Self::Member(_) | Self::Delta(..) | Self::Sheet(_) => 6,
            Self::Gauge(_) => 2,
        }
    }
}

/// Holds what is still to be passed on.
#[derive(Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Subject, u8>,
    urgent: bool,
}

impl Queue {
    /// Passes a subject on from now, as often as its kind needs.
    pub(crate) fn push(&mut self, subject: Subject) {
        let copies = subject.copies();
        self.urgent |= matches!(subject, Subject::Leaving(_));
        self.waiting.insert(subject, copies);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_last();
        }
    }

    /// Tells whether there is news since the last burst that does not wait for a round.
    pub(crate) fn urgent(&self) -> bool {
        self.urgent
    }

    /// Notes that a burst was sent.
    pub(crate) fn calm(&mut self) {
        self.urgent = false;
    }

    /// Returns the subjects in the order of their urgency.
    pub(crate) fn subjects(&self) -> Vec<Subject> {
        self.waiting.keys().cloned().collect()
    }

    /// Notes that a subject was sent once.
    pub(crate) fn sent(&mut self, subject: &Subject) {
        let Some(copies) = self.waiting.get_mut(subject) else { return };
        *copies -= 1;
        if *copies == 0 {
            self.waiting.remove(subject);
        }
    }

    /// Drops a subject about which there is nothing to say any more.
    pub(crate) fn drop(&mut self, subject: &Subject) {
        self.waiting.remove(subject);
    }
}
