//! The leader's side of what it tells all other instances.

mod subscriber;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::clock;
use crate::frame::{Heartbeat, Peer, Round, Update};
use crate::hub::subscriber::Subscriber;
use crate::ledger::Ledger;
use crate::limit::{Limits, Turn};
use crate::load::{Loads, Work};
use crate::path::{self, Path};
use crate::quarantine::Blocklist;
use crate::quota::{Lent, Loan, Quotas};
use crate::registry::Registry;
use crate::rollout::Plans;
use crate::usage::{Collector, Origin};
use crate::view::Stamp;

/// After this silence an instance is not waited for: three beats.
pub const SILENCE: Duration = Duration::from_millis(800);

/// After this silence an entry falls back to an equal part of each limit by itself, and the leader keeps that part
/// for it.
pub const SHARE_LEASE: Duration = Duration::from_secs(1);

/// How long a new leader counts those entries as well that looked for a leader just before.
const EXPECTED: Duration = Duration::from_secs(2);

/// How long a silent entry keeps an equal part of each limit: it may be cut off and still serve.
const ENTRY_MEMORY: Duration = Duration::from_secs(30);

/// Keeps what each other instance has and reports.
#[derive(Debug, Default)]
pub struct Hub {
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    usage: Collector,
    quotas: Quotas,
    loads: Loads,
    /// Entries that looked for a leader just before this one began to lead.
    expected: usize,
    /// Until when those that have not reported count as well.
    expects: Duration,
    totals: Totals,
    /// The last change of the leader before that this one knows.
    before: Stamp,
    /// The median of all clocks when it was last made. Made for each report it would cost the square of the
    /// number of instances.
    time: Option<i64>,
}

/// Holds sums over all instances. Made for each message they would cost the square of the number of
/// instances; they need not be newer than the reports that they are made of.
#[derive(Debug, Default)]
struct Totals {
    /// Entries that serve or may serve.
    entries: usize,
    /// Those of them that have been silent for so long that their part is only an equal one.
    silent: usize,
}

/// Holds what the leader tells from.
pub struct Source<'a> {
    /// The leader.
    pub from: SocketAddr,
    /// The leader's term.
    pub term: u64,
    /// The upstreams.
    pub registry: &'a Registry,
    /// The route table.
    pub ledger: &'a Ledger,
    /// The requests that are suspected or held back.
    pub blocklist: &'a Arc<Blocklist>,
    /// The change by which they are so.
    pub blocklist_change: u64,
    /// Which versions of services get requests.
    pub plans: &'a Arc<Plans>,
    /// The change by which they do.
    pub planned: u64,
    /// The limits that upstreams name.
    pub limits: &'a Arc<Limits>,
    /// The change by which they do.
    pub limits_change: u64,
    /// Whether somebody waits for the word of all instances that they have the changes.
    pub urgent: bool,
    /// The agreed time of day, in Unix milliseconds.
    pub unix: u64,
}

/// Holds an update for several instances.
#[derive(Clone, Debug)]
pub struct Push {
    /// Where they go, and how.
    pub path: Path,
    /// What they say.
    pub update: Update,
}

/// Counts the instances that have a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// Those that are heard and have confirmed it.
    pub seen: usize,
    /// Those that are heard.
    pub heard: usize,
    /// Those that are not, and are not waited for.
    pub silent: usize,
}

/// Says what every instance that answers has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// The newest change of the list of upstreams.
    pub change: u64,
    /// The newest route table.
    pub revision: u64,
}

/// Says what an instance lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Lack {
    /// The change up to which it has the upstreams; none if it needs all of them.
    base: Option<Stamp>,
    /// Whether it needs the route table.
    sheet: bool,
    /// Whether its word is waited for.
    urgent: bool,
}

impl Source<'_> {
    /// Makes the update for those that lack the same.
    fn update(&self, lack: &Lack) -> Update {
        let base = lack.base.map(|base| base.change);
        let changed = base.and_then(|base| self.registry.since(base));
        let records = changed.unwrap_or_else(|| self.registry.records().cloned().collect());
        let sheet = self.ledger.edition().filter(|_| lack.sheet).map(|it| it.sheet.clone());
        let stamp = Stamp { term: self.term, change: self.registry.stamp() };
        let lacks = |change: u64| base.is_none_or(|base| base < change);
        let blocklist = lacks(self.blocklist_change);
        let plans = lacks(self.planned);
        let limits = lacks(self.limits_change);
        Update {
            from: self.from,
            stamp,
            base: lack.base,
            records,
            sheet,
            blocklist: blocklist.then(|| self.blocklist.clone()),
            plans: plans.then(|| self.plans.clone()),
            limits: limits.then(|| self.limits.clone()),
            round: None,
            unix: self.unix,
            urgent: lack.urgent,
            via: None,
        }
    }
}

impl Hub {
    /// Starts to lead so many entries; `restarted` tells whether all of them have just started, as after
    /// a power loss of all.
    pub fn open(now: Duration, expected: usize, restarted: bool) -> Self {
        let expects = now + EXPECTED;
        Self { expected, expects, quotas: Quotas::open(restarted), ..Self::default() }
    }

    /// Goes on from the last change of the leader before: instances that have it, or an earlier one of that leader, are
    /// told what has changed since.
    pub fn follow(&mut self, before: Stamp) {
        self.before = before;
    }

    /// Takes a report.
    pub fn take(&mut self, now: Duration, term: u64, heartbeat: Heartbeat) {
        let Heartbeat { peer, seen, revision, unix, counted, counts, number, refunds, work, .. } =
            heartbeat;
        let origin = Origin { address: peer.address, incarnation: peer.incarnation };
        self.usage.take(origin, counts);
        let goes_on = seen.term == self.before.term && seen <= self.before;
        let seen = if seen.term == term || goes_on { seen } else { Stamp { term, change: 0 } };
        let known = seen.change;
        let subscriber = self
            .subscribers
            .entry(peer.address)
            .or_insert_with(|| Subscriber::open(peer.clone(), now));
        let restarted = subscriber.peer.incarnation != peer.incarnation;
        if restarted {
            subscriber.sheet_sent = None;
            subscriber.work.clear();
        }
        subscriber.confirm(now, known);
        let patience = subscriber.patience();
        if restarted || now.saturating_sub(subscriber.pushed) > patience {
            // One that has started again has lost what it had, not what was on its way.
            subscriber.avoid_relay(now, !restarted && known < subscriber.sent);
            (subscriber.sent, subscriber.sent_term) = (known, seen.term);
        }
        if subscriber.sheet_sent.is_some_and(|(_, at)| now.saturating_sub(at) > patience) {
            subscriber.avoid_relay(now, revision < subscriber.revision_sent());
            subscriber.sheet_sent = None;
        }
        subscriber.peer = peer;
        subscriber.heard = now;
        subscriber.seen = known;
        if known > subscriber.sent {
            (subscriber.sent, subscriber.sent_term) = (known, seen.term);
        }
        subscriber.revision = revision;
        subscriber.offset = clock::offset(now, unix);
        subscriber.counted = counted;
        subscriber.number = number;
        refunds.iter().for_each(|refund| self.quotas.refund(refund));
        for Work { service, total } in work {
            // The first report tells of all the time before.
            let before = subscriber.work.insert(service.clone(), total).unwrap_or(total);
            self.loads.take(now, &service, total - before);
        }
    }

    /// Returns how many instances have reported.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Tells whether none has.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Returns how many engines of a service would be busy all the time; none before that is known.
    pub fn busy(&self, now: Duration, service: &str) -> Option<f64> {
        self.loads.busy(now, service)
    }

    /// Takes the word of an instance that it has taken a change of this term.
    pub fn seen(&mut self, now: Duration, address: SocketAddr, change: u64, revision: u64) {
        let Some(subscriber) = self.subscribers.get_mut(&address) else { return };
        subscriber.heard = now;
        subscriber.confirm(now, change);
        subscriber.seen = subscriber.seen.max(change);
        subscriber.revision = subscriber.revision.max(revision);
    }

    /// Makes the sums anew, and lets the teams' limits fill up.
    pub fn refresh(&mut self, now: Duration, ledger: &Ledger) {
        self.loads.refresh(now);
        let entries: Vec<&Subscriber> = self.entries(now).collect();
        let heard = entries.iter().filter(|it| it.is_heard(now, SHARE_LEASE)).count();
        let expected = if now < self.expects { self.expected } else { 0 };
        let there = entries.len().max(expected);
        self.totals = Totals { entries: there, silent: entries.len() - heard };
        self.place_entries(now);
        let Some(edition) = ledger.edition() else { return };
        // An entry that is cut off may still spend an equal part of each limit.
        let entries = as_f64(self.totals.entries.max(1));
        let free = 1.0 - as_f64(self.totals.silent) / entries;
        self.quotas.refill(now, &edition.sheet, free);
    }

    /// Lends units of teams' limits.
    pub fn lend(&mut self, loans: &[Loan]) -> Vec<Lent> {
        loans.iter().map(|loan| self.quotas.lend(loan)).collect()
    }

    /// Numbers the entries that may serve, so that each has its turn under an upstream's limit.
    fn place_entries(&mut self, now: Duration) {
        let entries = self.subscribers.values_mut().filter(|it| it.peer.voter.is_none());
        let there = entries.filter(|it| it.is_heard(now, ENTRY_MEMORY));
        for (place, subscriber) in (0..).zip(there) {
            subscriber.place = Some(place);
        }
    }

    /// Lists the instances that have not been sent everything.
    pub fn behind(&self, change: u64, revision: u64) -> Vec<SocketAddr> {
        let behind = self.subscribers.values().filter(|it| it.is_behind(change, revision));
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
    pub fn answer(
        &mut self,
        to: SocketAddr,
        source: &Source<'_>,
        cores: Vec<SocketAddr>,
    ) -> Option<Update> {
        let round = self.round(to, cores, source.planned);
        let seen = self.subscribers.get(&to)?.seen;
        Some(Update {
            from: source.from,
            stamp: Stamp { term: source.term, change: seen },
            base: Some(Stamp { term: source.term, change: seen }),
            records: Vec::new(),
            sheet: None,
            blocklist: None,
            plans: None,
            limits: None,
            round: Some(round),
            unix: source.unix,
            urgent: false,
            via: None,
        })
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
        let mut pushes = Vec::new();
        for (lack, to) in groups {
            let update = source.update(&lack);
            let paths = self.paths(now, source.from, &to).into_iter();
            pushes.extend(paths.map(|path| Push { path, update: update.clone() }));
        }
        pushes
    }

    /// Chooses the paths by which instances get the same update.
    fn paths(&mut self, now: Duration, own: SocketAddr, to: &[SocketAddr]) -> Vec<Path> {
        let lossy = |it: &SocketAddr| self.subscribers.get(it).is_some_and(|it| now < it.direct);
        let (direct, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            to.iter().partition(|it| lossy(it));
        let cores: Vec<&Peer> = self.cores(now).filter(|core| core.address != own).collect();
        let peers: Vec<&Peer> =
            others.iter().filter_map(|it| self.subscribers.get(it)).map(|it| &it.peer).collect();
        let mut paths = path::plan(&cores, peers.into_iter());
        if !direct.is_empty() {
            paths.push(Path { via: None, to: direct });
        }
        for path in &paths {
            for to in &path.to {
                if let Some(subscriber) = self.subscribers.get_mut(to) {
                    subscriber.relayed = path.via.is_some();
                }
            }
        }
        paths
    }

    /// Finds what an instance lacks, and counts it as sent.
    fn lack(&mut self, now: Duration, to: SocketAddr, source: &Source<'_>) -> Option<Lack> {
        let subscriber = self.subscribers.get_mut(&to)?;
        let change = source.registry.stamp();
        let sent = Stamp { term: subscriber.sent_term, change: subscriber.sent };
        let reaches = |it: &Stamp| it.change > 0 && source.registry.reaches(it.change);
        let base = Some(sent).filter(reaches);
        // What was confirmed lately shows that the way works, however much is under way.
        let newest = Stamp { term: source.term, change };
        if base != Some(newest) && subscriber.seen >= subscriber.sent {
            subscriber.pushed = now;
            subscriber.whole = base.is_none();
        }
        (subscriber.sent, subscriber.sent_term) = (change, source.term);
        let revision = source.ledger.revision();
        let sheet = subscriber.revision.max(subscriber.revision_sent()) < revision;
        if sheet {
            subscriber.sheet_sent = Some((revision, now));
        }
        let lacks = subscriber.seen < change || subscriber.revision < revision;
        Some(Lack { base, sheet, urgent: source.urgent && lacks })
    }

    /// Counts who has a change.
    pub fn spread(&self, now: Duration, change: u64) -> Spread {
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE));
        let live: Vec<&Subscriber> = live.collect();
        let seen = live.iter().filter(|it| it.seen >= change).count();
        Spread { seen, heard: live.len(), silent: self.subscribers.len() - live.len() }
    }

    /// Returns what every instance that answers has.
    pub fn known_to_all(&self, now: Duration) -> Known {
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE));
        let all = Known { change: u64::MAX, revision: u64::MAX };
        live.fold(all, |all, it| Known {
            change: all.change.min(it.seen),
            revision: all.revision.min(it.revision),
        })
    }

    /// Goes through the cores that are heard, other than the leader.
    pub fn cores(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let live = self.subscribers.values().filter(move |it| it.is_heard(now, SILENCE));
        live.map(|it| &it.peer).filter(|peer| peer.voter.is_some())
    }

    /// Goes through the entries that are heard.
    pub fn entries_heard(&self, now: Duration) -> impl Iterator<Item = SocketAddr> {
        let live = self.subscribers.values().filter(move |it| it.is_heard(now, SILENCE));
        live.map(|it| &it.peer).filter(|peer| peer.voter.is_none()).map(|peer| peer.address)
    }

    /// Makes the median of all clocks anew.
    pub fn set_time(&mut self, now: Duration, own: i64) {
        self.time = None;
        self.time = Some(self.offset(now, own));
    }

    /// Returns the agreed time of day less the steady clock: the median of all clocks.
    pub fn offset(&self, now: Duration, own: i64) -> i64 {
        if let Some(time) = self.time {
            return time;
        }
        let live = self.subscribers.values().filter(|it| it.is_heard(now, SILENCE));
        let offsets = live.map(|it| it.offset).chain([own]).collect();
        clock::median(offsets).unwrap_or(own)
    }

    /// Tells whether the counts of every entry that may still report are complete up to a time.
    pub fn counted(&self, now: Duration, unix: u64) -> bool {
        self.entries(now).all(|it| it.counted >= unix)
    }

    /// Returns the counts of a window.
    pub fn sum(&self, window: u64) -> BTreeMap<Team, u64> {
        self.usage.sum(window)
    }

    fn round(&mut self, to: SocketAddr, cores: Vec<SocketAddr>, plans: u64) -> Round {
        let entries = u32::try_from(self.totals.entries.max(1)).unwrap_or(u32::MAX);
        let mut round = Round { cores, number: 0, entries, plans, turn: None };
        let own = self.subscribers.get_mut(&to).filter(|it| it.peer.voter.is_none());
        let Some(own) = own else { return round };
        round.number = own.number;
        round.turn = own.place.map(|place| Turn { place, of: entries.max(place + 1) });
        round
    }

    /// Goes through the entries that serve or may serve.
    fn entries(&self, now: Duration) -> impl Iterator<Item = &Subscriber> {
        let entries = self.subscribers.values().filter(|it| it.peer.voter.is_none());
        entries.filter(move |it| it.is_heard(now, ENTRY_MEMORY))
    }
}

/// Counts of instances are far below the precision of a float.
fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
