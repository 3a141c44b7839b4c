//! Selection of the changes that instances lack, and of what they have acknowledged.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::frame::{FleetStatus, LaterUpdateExtension, Trailing, Update, UpdateExtension};
use crate::hub::source::Missing;
use crate::hub::subscriber::Subscriber;
use crate::hub::{
    AckCounts, Hub, PendingPush, Progress, SHARE_LEASE, SILENCE_TIMEOUT, UpdateSource,
};
use crate::limit::TimeSlot;
use crate::view::Version;

impl Hub {
    /// Returns the reachable instances that have not been sent everything.
    pub fn lagging_subscribers(
        &self,
        now: Duration,
        change: u64,
        revision: u64,
    ) -> Vec<SocketAddr> {
        let reachable = self.subscribers.values().filter(|it| it.is_heard_within(now, SHARE_LEASE));
        let lagging = reachable.filter(|it| it.is_behind(change, revision));
        lagging.map(|it| it.peer.address).collect()
    }

    /// Returns whether an instance has not been sent anything by the leader of `term`.
    pub fn is_new(&self, instance: SocketAddr, term: u64) -> bool {
        let new = |it: &Subscriber| it.sent_change == 0 || it.sent_term != term;
        self.subscribers.get(&instance).is_some_and(new)
    }

    /// Returns whether an instance has not been sent everything.
    pub fn is_behind(&self, instance: SocketAddr, change: u64, revision: u64) -> bool {
        self.subscribers.get(&instance).is_some_and(|it| it.is_behind(change, revision))
    }

    /// Builds the answer to an instance's heartbeat.
    ///
    /// The answer contains no upstreams and no route table. These follow with the next push, which
    /// is built once for all instances that lack the same. Building the list of 3,000 upstreams for
    /// each of 300 entries would take a new leader seconds while callers wait.
    pub fn heartbeat_answer(
        &self,
        to: SocketAddr,
        source: &UpdateSource<'_>,
        status: FleetStatus,
    ) -> Option<Update> {
        let subscriber = self.subscribers.get(&to)?;
        let time_slot = status
            .time_slot
            .zip(subscriber.slot_index)
            .map(|(slots, index)| TimeSlot { index, ..slots });
        let status = FleetStatus { sequence: subscriber.last_sequence, time_slot, ..status };
        let is_entry = subscriber.peer.voter.is_none();
        let extra_slots = if is_entry { subscriber.slot_width.saturating_sub(1) } else { 0 };
        let later = LaterUpdateExtension { extra_slots, ..LaterUpdateExtension::default() };
        let extension = UpdateExtension { later: Trailing(later), ..UpdateExtension::default() };
        Some(Update {
            fleet_status: Some(status),
            extension: Trailing(extension),
            ..source.empty_update(subscriber.acknowledged_change)
        })
    }

    /// Builds the updates that instances lack, and records them as sent.
    ///
    /// Most instances lack the same changes. Building and encoding each update separately would
    /// take all of the leader's time while upstreams come and go: heartbeats would remain
    /// unanswered and routes would come into force seconds late.
    pub fn push_updates(
        &mut self,
        now: Duration,
        to: &[SocketAddr],
        source: &UpdateSource<'_>,
    ) -> Vec<PendingPush> {
        let mut groups: BTreeMap<Missing, Vec<SocketAddr>> = BTreeMap::new();
        for to in to {
            if let Some(missing) = self.find_missing(now, *to, source) {
                groups.entry(missing).or_default().push(*to);
            }
        }
        let groups = groups.into_iter();
        groups
            .map(|(missing, to)| PendingPush { to, update: source.build_update(&missing) })
            .collect()
    }

    /// Finds what an instance lacks, and records it as sent.
    fn find_missing(
        &mut self,
        now: Duration,
        to: SocketAddr,
        source: &UpdateSource<'_>,
    ) -> Option<Missing> {
        let subscriber = self.subscribers.get_mut(&to)?;
        let newest = source.version();
        let sent = Version { term: subscriber.sent_term, change: subscriber.sent_change };
        let is_covered = |version: &Version| {
            version.change > 0 && source.records.has_changes_since(version.change)
        };
        let base = Some(sent).filter(is_covered);
        // A recent acknowledgement shows that delivery works, whatever else is in transit.
        if base != Some(newest) && subscriber.acknowledged_change >= subscriber.sent_change {
            subscriber.delivery_confirmed_at = now;
            subscriber.full_list_pending = base.is_none();
        }
        (subscriber.sent_change, subscriber.sent_term) = (newest.change, newest.term);
        let revision = source.revision();
        let needs_route_table = subscriber.revision.max(subscriber.sent_revision()) < revision;
        if needs_route_table {
            subscriber.route_table_sent = Some((revision, now));
        }
        let progress = subscriber.progress;
        let is_behind = progress.change < newest.change || progress.revision < revision;
        Some(Missing {
            base,
            route_table: needs_route_table,
            ack_requested: source.ack_requested && is_behind,
        })
    }

    /// Counts the instances that have acknowledged a change.
    pub fn ack_counts(&self, now: Duration, change: u64) -> AckCounts {
        let reachable =
            self.subscribers.values().filter(|it| it.is_heard_within(now, SILENCE_TIMEOUT));
        let reachable: Vec<&Subscriber> = reachable.collect();
        let acknowledged = reachable.iter().filter(|it| it.progress.change >= change).count();
        AckCounts {
            acknowledged,
            reachable: reachable.len(),
            silent: self.subscribers.len() - reachable.len(),
        }
    }

    /// Returns the progress that all reachable instances have acknowledged.
    pub fn acknowledged_by_all(&self, now: Duration) -> Progress {
        let reachable =
            self.subscribers.values().filter(|it| it.is_heard_within(now, SILENCE_TIMEOUT));
        let progress = Progress { change: u64::MAX, revision: u64::MAX };
        reachable.fold(progress, |progress, it| progress.min(it.progress))
    }
}
