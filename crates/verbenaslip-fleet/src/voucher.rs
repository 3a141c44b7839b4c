//! Announcements that a core acknowledges by itself, and how it reports them to the leader.
//!
//! Upstreams announce themselves about once a second, and hardly ever with anything new. A core
//! whose view of the fleet is up to date acknowledges such an announcement at once and stores a
//! [`RenewalMark`]. Its next heartbeat carries the marks of all upstreams that have contacted it.
//! The leader therefore handles one message per core, however many upstreams there are.
//!
//! This is safe because the acknowledgment promises nothing to an upstream that stays, and a mark
//! only says that a run was heard. A mark does not register an upstream, does not make a run ready
//! again that has announced its departure, and does not change what the leader knows of it. An
//! announcement that says anything new, above all a departure, is passed on to the leader.
//!
//! A leaving upstream repeats its departure with each announcement. Once the departure was
//! acknowledged, all instances and the log know it for good, so the core that acknowledged it can
//! acknowledge the repetitions by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Upstream;

use crate::departure::{Departure, Departures};
use crate::upstream::{Announcement, Record, Run, Status, differs_for_others};

/// Maximum age of a mark that is sent: a core that was paused would otherwise tell the leader that
/// upstreams are running which have ended meanwhile. Marks are usually sent with the next
/// heartbeat, within 250 ms.
const MAX_MARK_AGE: Duration = Duration::from_secs(1);

/// How long a core repeats the acknowledgment of a departure. After that the leader hears of the
/// upstream again, well within the minute of silence after which it counts a leaving upstream as
/// gone.
const ACKNOWLEDGMENT_LIFETIME: Duration = Duration::from_secs(10);

/// Number of remembered acknowledgments from which on expired ones are removed.
const PRUNE_THRESHOLD: usize = 1_024;

/// Says that a run has announced itself and that nothing about it has changed.
#[data]
pub struct RenewalMark {
    /// The run.
    pub run: Run,
    /// The sequence number of the announcement.
    pub sequence: u64,
}

/// Collects the marks that the leader has not received yet.
#[derive(Debug, Default)]
pub(crate) struct Voucher {
    pending: BTreeMap<Upstream, ReceivedAnnouncement>,
    /// The departures that this core has acknowledged, and when.
    acknowledged: BTreeMap<Upstream, (Departure, Duration)>,
}

/// Holds the last unchanged announcement of an upstream, and when it was received.
#[derive(Debug)]
struct ReceivedAnnouncement {
    incarnation: u64,
    sequence: u64,
    received_at: Duration,
}

impl Voucher {
    /// Stores a mark for a run that has announced itself.
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

    /// Remembers that this core has acknowledged a departure.
    pub(crate) fn acknowledge(&mut self, now: Duration, departure: Departure) {
        if self.acknowledged.len() >= PRUNE_THRESHOLD {
            self.acknowledged
                .retain(|_, (_, at)| now.saturating_sub(*at) <= ACKNOWLEDGMENT_LIFETIME);
        }
        self.acknowledged.insert(departure.run.upstream.clone(), (departure, now));
    }

    /// Returns whether this core has recently acknowledged this departure or a more final one of
    /// the run.
    pub(crate) fn has_acknowledged(&self, now: Duration, departure: &Departure) -> bool {
        let known = self.acknowledged.get(&departure.run.upstream);
        known.is_some_and(|(known, at)| {
            known.run == departure.run
                && known.status >= departure.status
                && now.saturating_sub(*at) <= ACKNOWLEDGMENT_LIFETIME
        })
    }

    /// Removes and returns the marks for the leader.
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

/// Returns whether an announcement only says that its run is still there, by what a core knows.
///
/// A stale or duplicate announcement says nothing new either, but is passed on, because the leader
/// writes it to its event log.
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
