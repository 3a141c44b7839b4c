//! What instances lack, and who has what.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::frame::{Round, Update};
use crate::hub::source::Lack;
use crate::hub::subscriber::Subscriber;
use crate::hub::{Hub, Known, Push, SHARE_LEASE, SILENCE, Source, Spread};
use crate::limit::Turn;
use crate::view::Stamp;

impl Hub {
    /// Lists the instances that are heard and have not been sent everything.
    pub fn behind(&self, now: Duration, change: u64, revision: u64) -> Vec<SocketAddr> {
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
    pub fn answer(&self, to: SocketAddr, source: &Source<'_>, round: Round) -> Option<Update> {
        let subscriber = self.subscribers.get(&to)?;
        let turn = round.turn.zip(subscriber.place).map(|(all, place)| Turn { place, ..all });
        let round = Round { number: subscriber.number, turn, ..round };
        Some(Update { round: Some(round), ..source.nothing(subscriber.seen) })
    }

    /// Makes the update that instances lack, and counts them as sent.
    ///
    /// Most instances lack the same. Made and written for each of them, a push at a time when upstreams
    /// come and go would take all of the leader's time: one would notice reports without an answer and
    /// routes that come into force seconds late.
    pub fn push(&mut self, now: Duration, to: &[SocketAddr], source: &Source<'_>) -> Vec<Push> {
        let mut groups: BTreeMap<Lack, Vec<SocketAddr>> = BTreeMap::new();
        for to in to {
            if let Some(lack) = self.lack(now, *to, source) {
                groups.entry(lack).or_default().push(*to);
            }
        }
        let groups = groups.into_iter();
        groups.map(|(lack, to)| Push { to, update: source.update(&lack) }).collect()
    }

    /// Finds what an instance lacks, and counts it as sent.
    fn lack(&mut self, now: Duration, to: SocketAddr, source: &Source<'_>) -> Option<Lack> {
        let subscriber = self.subscribers.get_mut(&to)?;
        let newest = source.stamp();
        let sent = Stamp { term: subscriber.sent_term, change: subscriber.sent };
        let reaches = |it: &Stamp| it.change > 0 && source.records.reaches(it.change);
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
        Some(Lack { base, sheet, urgent: source.urgent && lacks })
    }

    /// Counts who has a change.
    pub fn spread(&self, now: Duration, change: u64) -> Spread {
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE));
        let live: Vec<&Subscriber> = live.collect();
        let seen = live.iter().filter(|it| it.covered.change >= change).count();
        Spread { seen, heard: live.len(), silent: self.subscribers.len() - live.len() }
    }

    /// Returns what every instance that answers has.
    pub fn known_to_all(&self, now: Duration) -> Known {
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE));
        let all = Known { change: u64::MAX, revision: u64::MAX };
        live.fold(all, |all, it| all.min(it.covered))
    }
}
