//! Tracks the reports of the other instances.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::limit::report::{FULL_SHARE, Report, ReportEntry};

/// The maximum age of an instance's last report; an older report counts as stale.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(2500);
/// How long the share of an instance that is no longer a member stays reserved.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of known instances; bounds memory if member lists are wrong.
const MAX_PEERS: usize = 4096;

/// Holds the newest report of each other instance.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_name: BTreeMap<Instance, Peer>,
}

/// Holds the state of one other instance.
#[derive(Debug, Default)]
struct Peer {
    report: Report,
    heard_at: Option<Duration>,
    departed_at: Option<Duration>,
}

impl Peers {
    /// Sets the members. Known instances that are missing from the list are marked as departed and
    /// kept for a while.
    pub(crate) fn set_members(&mut self, now: Duration, own_name: &Instance, members: &[Instance]) {
        for peer in members.iter().filter(|peer| *peer != own_name) {
            if self.by_name.len() < MAX_PEERS || self.by_name.contains_key(peer) {
                self.by_name.entry(peer.clone()).or_default().departed_at = None;
            }
        }
        for (name, peer) in &mut self.by_name {
            if peer.departed_at.is_none() && !members.contains(name) {
                peer.departed_at = Some(now);
            }
        }
    }

    /// Stores a report, unless a newer or equal report of the same instance was already received.
    pub(crate) fn handle_report(&mut self, now: Duration, from: &Instance, report: &Report) {
        let Some(peer) = self.by_name.get_mut(from) else { return };
        let order = |report: &Report| (report.incarnation, report.sequence);
        if peer.heard_at.is_some() && order(report) <= order(&peer.report) {
            return;
        }
        peer.report = report.clone();
        peer.heard_at = Some(now);
    }

    /// Removes instances that departed long ago. Without recent reports from a majority nothing is
    /// removed, because this instance may be the partitioned one.
    pub(crate) fn remove_departed(&mut self, now: Duration) {
        if !self.hears_majority(now) {
            return;
        }
        let is_expired = |departed: Duration| now.saturating_sub(departed) > DEPARTED_RETENTION;
        self.by_name.retain(|_, peer| !peer.departed_at.is_some_and(is_expired));
    }

    /// Returns the number of known instances, including this one.
    pub(crate) fn count(&self) -> usize {
        self.by_name.len() + 1
    }

    /// Returns whether a majority of the known instances, including this one, sent recent reports.
    pub(crate) fn hears_majority(&self, now: Duration) -> bool {
        let fresh = self.by_name.values().filter(|peer| peer.is_fresh(now)).count();
        (fresh + 1) * 2 > self.count()
    }

    /// Returns whether all members sent recent reports.
    pub(crate) fn hears_all_members(&self, now: Duration) -> bool {
        self.by_name.values().all(|peer| peer.departed_at.is_some() || peer.is_fresh(now))
    }

    /// Returns the sum of the other instances' demand shares of a row.
    pub(crate) fn total_share(&self, row: u32) -> f64 {
        let shares =
            self.entries(row).map(|(_, entry)| f64::from(entry.share) / f64::from(FULL_SHARE));
        shares.sum()
    }

    /// Returns the other instances' report entries for a row.
    pub(crate) fn entries(&self, row: u32) -> impl Iterator<Item = (&Instance, &ReportEntry)> {
        self.by_name.iter().filter_map(move |(name, peer)| {
            Some((name, peer.report.entries.iter().find(|entry| entry.row == row)?))
        })
    }
}

impl Peer {
    /// Returns whether the last report is recent.
    fn is_fresh(&self, now: Duration) -> bool {
        self.heard_at.is_some_and(|heard| now.saturating_sub(heard) <= REPORT_MAX_AGE)
    }
}
