//! What an instance knows of the others' reports.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::limit::report::{Entry, Report, WHOLE};

/// The age from which another instance's last report counts as stale.
pub const STALE: Duration = Duration::from_millis(2500);
/// How long a part stays kept free for an instance that is a member no more.
pub const FORGET: Duration = Duration::from_secs(60);

/// The most instances known; bounds memory against wrong member lists.
const MOST_PEERS: usize = 4096;

/// Holds the newest report of each other instance.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: BTreeMap<Instance, Peer>,
}

/// Holds what is known of one other instance.
#[derive(Debug, Default)]
struct Peer {
    report: Report,
    heard: Option<Duration>,
    gone: Option<Duration>,
}

impl Peers {
    /// Takes over the list of members; who is missing is kept for a while as gone.
    pub(crate) fn members(&mut self, now: Duration, me: &Instance, members: &[Instance]) {
        for peer in members.iter().filter(|peer| *peer != me) {
            if self.known.len() < MOST_PEERS || self.known.contains_key(peer) {
                self.known.entry(peer.clone()).or_default().gone = None;
            }
        }
        for (name, peer) in &mut self.known {
            if peer.gone.is_none() && !members.contains(name) {
                peer.gone = Some(now);
            }
        }
    }

    /// Takes a report unless an older or equal one of the same instance came before.
    pub(crate) fn heard(&mut self, now: Duration, from: &Instance, report: &Report) {
        let Some(peer) = self.known.get_mut(from) else { return };
        let order = |report: &Report| (report.incarnation, report.sequence);
        if peer.heard.is_some() && order(report) <= order(&peer.report) {
            return;
        }
        peer.report = report.clone();
        peer.heard = Some(now);
    }

    /// Forgets those who are gone for long, unless most are: then this side may be the one cut off.
    pub(crate) fn forget(&mut self, now: Duration) {
        if !self.majority(now) {
            return;
        }
        let old = |gone: Duration| now.saturating_sub(gone) > FORGET;
        self.known.retain(|_, peer| !peer.gone.is_some_and(old));
    }

    /// Returns the number of known instances, with this one.
    pub(crate) fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Returns whether fresh reports came from most known instances, this one counted.
    pub(crate) fn majority(&self, now: Duration) -> bool {
        let fresh = self.known.values().filter(|peer| peer.fresh(now)).count();
        (fresh + 1) * 2 > self.count()
    }

    /// Returns whether fresh reports came from all who are members.
    pub(crate) fn complete(&self, now: Duration) -> bool {
        self.known.values().all(|peer| peer.gone.is_some() || peer.fresh(now))
    }

    /// Returns what the others hold of a row's shared rest.
    pub(crate) fn held(&self, row: u32) -> f64 {
        let parts = self.entries(row).map(|(_, entry)| f64::from(entry.part) / f64::from(WHOLE));
        parts.sum()
    }

    /// Returns the others' entries for a row.
    pub(crate) fn entries(&self, row: u32) -> impl Iterator<Item = (&Instance, &Entry)> {
        self.known.iter().filter_map(move |(name, peer)| {
            Some((name, peer.report.entries.iter().find(|entry| entry.row == row)?))
        })
    }
}

impl Peer {
    /// Returns whether its last report came a short while ago.
    fn fresh(&self, now: Duration) -> bool {
        self.heard.is_some_and(|heard| now.saturating_sub(heard) <= STALE)
    }
}
