//! What a core answers upstreams by itself, and how it tells the leader of that.
//!
//! Upstreams announce themselves about once a second, and hardly ever with anything new. A core whose
//! view of the fleet is fresh answers such an announcement at once and notes a [`Mark`]; its next report
//! gives the leader the marks of all upstreams that have called it. So the leader takes one message from
//! each core, however many upstreams there are.
//!
//! What makes that safe: an answer to an upstream that stays promises nothing, and a mark only says that a
//! run was heard. It makes no upstream known, ready again after it has said that it goes, or different
//! from what the leader holds. Whatever says anything new, above all that an upstream goes, is passed on.
//!
//! An upstream that goes says so again with each announcement. Once that was acknowledged, all instances
//! and the log have it for good, so a core that has given the answer gives it again by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

use crate::departure::{Departure, Departures};
use crate::upstream::{Announcement, Record, Run, Status, differs_for_others};

/// Marks that are older than this are dropped: a core that stood still would tell the leader that upstreams
/// are there which have ended meanwhile. Marks usually leave with the next report, within 250 ms.
const MAX_MARK_AGE: Duration = Duration::from_secs(1);

/// How long a core repeats the acknowledgement of a leaving. The leader hears of the upstream again well within
/// the minute after which it counts one that goes and is silent as gone.
const ACKNOWLEDGMENT_LIFETIME: Duration = Duration::from_secs(10);

/// Acknowledgements that are remembered before old ones are looked for.
const PRUNE_THRESHOLD: usize = 1_024;

/// Says that a run has announced itself, and nothing about it has changed.
#[data]
pub struct RenewalMark {
    /// The run.
    pub run: Run,
    /// The number of its announcement.
    pub sequence: u64,
}

/// Keeps the marks that the leader has not been told yet.
#[derive(Debug, Default)]
pub(crate) struct Voucher {
    pending: BTreeMap<Upstream, ReceivedAnnouncement>,
    /// Departures that were acknowledged here, and when.
    acknowledged: BTreeMap<Upstream, (Departure, Duration)>,
}

#[derive(Debug)]
struct ReceivedAnnouncement {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
}

impl Voucher {
    /// Notes that a run was heard.
    pub(crate) fn record(&mut self, now: Duration, announcement: &Announcement) {
        let Run { upstream, incarnation } = &announcement.run;
        let received = ReceivedAnnouncement {
            incarnation: *incarnation,
            sequence: announcement.sequence,
            received_at: now,
        };
        match self.pending.get_mut(upstream) {
            Some(last) => *last = received,
            None => {
                self.pending.insert(upstream.clone(), received);
            }
        }
    }

    /// Remembers that a departure was acknowledged here.
    pub(crate) fn acknowledge(&mut self, now: Duration, departure: Departure) {
        if self.acknowledged.len() >= PRUNE_THRESHOLD {
            self.acknowledged
                .retain(|_, (_, at)| now.saturating_sub(*at) <= ACKNOWLEDGMENT_LIFETIME);
        }
        self.acknowledged.insert(departure.run.upstream.clone(), (departure, now));
    }

    /// Tells whether a departure was acknowledged here lately, and as surely.
    pub(crate) fn has_acknowledged(&self, now: Duration, departure: &Departure) -> bool {
        let known = self.acknowledged.get(&departure.run.upstream);
        known.is_some_and(|(known, at)| {
            known.run == departure.run
                && known.status >= departure.status
                && now.saturating_sub(*at) <= ACKNOWLEDGMENT_LIFETIME
        })
    }

    /// Takes the marks for the leader.
    pub(crate) fn take_marks(&mut self, now: Duration) -> Vec<RenewalMark> {
        let pending = std::mem::take(&mut self.pending).into_iter();
        let fresh = pending.filter(|(_, it)| now.saturating_sub(it.received_at) <= MAX_MARK_AGE);
        let mark = |(upstream, it): (Upstream, ReceivedAnnouncement)| {
            let run = Run { upstream, incarnation: it.incarnation };
            RenewalMark { run, sequence: it.sequence }
        };
        fresh.map(mark).collect()
    }
}

/// Tells whether an announcement says nothing but that its run is still there, by what a core knows.
///
/// A late or doubled one says nothing new either, but is passed on: the leader tells of it in its log.
pub(crate) fn is_unchanged_renewal(
    known: Option<&Record>,
    departures: &Departures,
    announcement: &Announcement,
) -> bool {
    known.is_some_and(|known| {
        known.status == Status::Ready
            && known.announcement.run == announcement.run
            && known.announcement.sequence < announcement.sequence
            && !announcement.draining
            && !differs_for_others(&known.announcement, announcement)
            && departures.status(&announcement.run).is_none()
    })
}
