//! What instances lack, and who has what.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::frame::{FleetStatus, Update};
use crate::hub::source::Lack;
use crate::hub::subscriber::Subscriber;
use crate::hub::{
    AckCounts, Hub, PendingPush, Progress, SHARE_LEASE, SILENCE_TIMEOUT, UpdateSource,
};
use crate::limit::TimeSlot;
use crate::view::Version;

impl Hub {
    /// Lists the instances that are heard and have not been sent everything.
    pub fn lagging_subscribers(
        &self,
        now: Duration,
        change: u64,
        revision: u64,
    ) -> Vec<SocketAddr> {
        let heard = self.subscribers.values().filter(|it| it.is_heard(now, SHARE_LEASE));
        let behind = heard.filter(|it| it.is_behind(change, revision));
        behind.map(|it| it.peer.address).collect()
    }

    /// Tells whether an instance has not been sent anything by the leader of a term.
    pub fn is_new(&self, instance: SocketAddr, term: u64) -> bool {
        let new = |it: &Subscriber| it.sent == 0 || it.sent_term != term;
        self.subscribers.get(&instance).is_some_and(new)
    }

    /// Tells whether an instance has not been sent everything.
    pub fn is_behind(&self, instance: SocketAddr, change: u64, revision: u64) -> bool {
        self.subscribers.get(&instance).is_some_and(|it| it.is_behind(change, revision))
    }

    /// Makes the answer to an instance's report.
    ///
    /// It brings no upstreams and no route table: these come with the next push, made once for all that lack
    /// the same. Made for each that asks, the list of 3,000 upstreams would take a new leader of 300 entries
    /// seconds, and callers would wait for all that time.
    pub fn heartbeat_answer(
        &self,
        to: SocketAddr,
        source: &UpdateSource<'_>,
        round: FleetStatus,
    ) -> Option<Update> {
        let subscriber = self.subscribers.get(&to)?;
        let turn = round
            .time_slot
            .zip(subscriber.place)
            .map(|(all, place)| TimeSlot { index: place, ..all });
        let round = FleetStatus { sequence: subscriber.number, time_slot: turn, ..round };
        Some(Update { fleet_status: Some(round), ..source.nothing(subscriber.seen) })
    }

    /// Makes the update that instances lack, and counts them as sent.
    ///
    /// Most instances lack the same. Made and written for each of them, a push at a time when upstreams
    /// come and go would take all of the leader's time: one would notice reports without an answer and
    /// routes that come into force seconds late.
    pub fn push_updates(
        &mut self,
        now: Duration,
        to: &[SocketAddr],
        source: &UpdateSource<'_>,
    ) -> Vec<PendingPush> {
        let mut groups: BTreeMap<Lack, Vec<SocketAddr>> = BTreeMap::new();
        for to in to {
            if let Some(lack) = self.lack(now, *to, source) {
                groups.entry(lack).or_default().push(*to);
            }
        }
        let groups = groups.into_iter();
        groups.map(|(lack, to)| PendingPush { to, update: source.update(&lack) }).collect()
    }

    /// Finds what an instance lacks, and counts it as sent.
    fn lack(&mut self, now: Duration, to: SocketAddr, source: &UpdateSource<'_>) -> Option<Lack> {
        let subscriber = self.subscribers.get_mut(&to)?;
        let newest = source.stamp();
        let sent = Version { term: subscriber.sent_term, change: subscriber.sent };
        let reaches = |it: &Version| it.change > 0 && source.records.has_changes_since(it.change);
        let base = Some(sent).filter(reaches);
        // What was confirmed lately shows that the way works, however much is under way.
        if base != Some(newest) && subscriber.seen >= subscriber.sent {
            subscriber.pushed = now;
            subscriber.whole = base.is_none();
        }
        (subscriber.sent, subscriber.sent_term) = (newest.change, newest.term);
        let revision = source.revision();
        let sheet = subscriber.revision.max(subscriber.revision_sent()) < revision;
        if sheet {
            subscriber.sheet_sent = Some((revision, now));
        }
        let covered = subscriber.covered;
        let lacks = covered.change < newest.change || covered.revision < revision;
        Some(Lack { base, sheet, urgent: source.ack_requested && lacks })
    }

    /// Counts who has a change.
    pub fn ack_counts(&self, now: Duration, change: u64) -> AckCounts {
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE_TIMEOUT));
        let live: Vec<&Subscriber> = live.collect();
        let seen = live.iter().filter(|it| it.covered.change >= change).count();
        AckCounts {
            acknowledged: seen,
            reachable: live.len(),
            silent: self.subscribers.len() - live.len(),
        }
    }

    /// Returns what every instance that answers has.
    pub fn acknowledged_by_all(&self, now: Duration) -> Progress {
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE_TIMEOUT));
        let all = Progress { change: u64::MAX, revision: u64::MAX };
        live.fold(all, |all, it| all.min(it.covered))
    }
}
