//! Keeps an instance in touch with the leader and its view of the fleet up to date.

mod merge;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::departure::Departures;
use crate::frame::{Frame, Heartbeat, Peer, Update};
use crate::history::History;
use crate::limit::{Limits, Sighting};
use crate::load::Work;
use crate::quarantine::Blocklist;
use crate::quota::Refund;
use crate::registry::{Record, Run};
use crate::rollout::report::Report as RolloutReport;
use crate::transition::Transitions;
use crate::usage::Count;
use crate::view::{Stamp, View};
use crate::voucher::Mark;

/// Time between two reports: a quarter of the time in which a limit's part must move between
/// entries, and 4 datagrams' worth of bytes a second.
pub const HEARTBEAT: Duration = Duration::from_millis(250);

/// After this silence of the leader every core is asked: three beats.
const PATIENCE: Duration = Duration::from_millis(750);

/// How long after a leader was heard its count of entries holds for the next one: an election that has to be held again.
const LATELY: Duration = Duration::from_secs(3);

/// How long after a report its answer still tells the time of day: within a tenth of the shortest window of
/// usage, and a hundred times the way to the leader and back.
const PROMPT: Duration = Duration::from_millis(500);

/// Time between the first two reports to every core while none answers.
const SEARCH: Duration = Duration::from_millis(200);

/// The longest time between two of them; each takes twice as long as the one before. A new leader tells whoever
/// has asked it lately; asked by 300 entries five times a second, five cores would read and answer 7,500 reports
/// a second while they elect it.
const SEARCH_MOST: Duration = Duration::from_millis(800);

/// Reports whose answers may still come.
const REPORTS: usize = 16;

/// The most cores that are remembered from others' words until the leader's own list comes.
const HEARSAY: usize = 32;

/// Names the cores that get a report.
pub type Targets = Vec<SocketAddr>;

/// What an entry reports besides what it has.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that began, by window and team.
    pub counts: Vec<Count>,
    /// Units of teams' limits that were lent and not used.
    pub refunds: Vec<Refund>,
    /// What engines were asked for, by service.
    pub work: Vec<Work>,
    /// Upstreams that a core vouches for.
    pub marks: Vec<Mark>,
    /// What requests met at the versions of services that are rolled out.
    pub rollouts: Vec<RolloutReport>,
    /// Limits that upstreams have named or ended, and the leader may not know.
    pub limits: Vec<Sighting>,
    /// Upstreams that have said in an answer that they go, and the leader may not know.
    pub leaving: Vec<Run>,
}

/// Holds what a core knew when it ceased to lead.
#[derive(Debug)]
pub(crate) struct Knowledge {
    /// Its last change.
    pub(crate) stamp: Stamp,
    /// The upstreams that are there.
    pub(crate) records: Vec<Record>,
    /// By which changes upstreams were told.
    pub(crate) history: History,
    /// Runs that go or have gone.
    pub(crate) departures: Departures,
    /// The requests that are suspected or held back.
    pub(crate) blocklist: Arc<Blocklist>,
    /// The limits that upstreams name.
    pub(crate) limits: Arc<Limits>,
}

/// Remembers when a report was sent.
#[derive(Clone, Copy, Debug)]
struct Reported {
    number: u64,
    at: Duration,
}

/// Reports to the leader and takes its updates.
#[derive(Debug)]
pub struct Link {
    own: Peer,
    seeds: Vec<SocketAddr>,
    /// Cores that others know of.
    hearsay: Vec<SocketAddr>,
    view: View,
    /// Runs that go, whoever leads.
    departures: Departures,
    /// By which change upstreams were told; entries don't need it.
    history: Option<History>,
    /// What has changed since it was last asked for.
    transitions: Transitions,
    clock: Clock,
    target: Option<SocketAddr>,
    since: Duration,
    due: Duration,
    /// The time from the next report to every core until the one after it.
    search: Duration,
    number: u64,
    /// When the last reports were sent.
    reported: VecDeque<Reported>,
}

impl Link {
    /// Starts without a view.
    pub fn open(own: Peer, seeds: Vec<SocketAddr>, now: Duration, unix: u64) -> Self {
        let clock = Clock::open(now, unix);
        let view = View { own: Some(own.address), ..View::default() };
        let history = own.voter.is_some().then(History::default);
        Self {
            own,
            history,
            seeds,
            hearsay: Vec::new(),
            view,
            departures: Departures::default(),
            transitions: Transitions::default(),
            clock,
            target: None,
            since: now,
            due: now,
            search: SEARCH,
            number: 0,
            reported: VecDeque::new(),
        }
    }

    /// Returns what is known of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the departures that this instance has heard of.
    pub(crate) fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Takes what has changed of the upstreams since it was last asked for, for the log.
    pub fn take_transitions(&mut self) -> Transitions {
        std::mem::take(&mut self.transitions)
    }

    /// Returns by which changes upstreams were told.
    pub(crate) fn history(&self) -> Option<&History> {
        self.history.as_ref()
    }

    /// Takes over what this instance knew while it led.
    pub(crate) fn keep(&mut self, knowledge: Knowledge) {
        let Knowledge { stamp, records, history, departures, blocklist, limits } = knowledge;
        (self.view.stamp, self.view.blocklist, self.view.limits) = (stamp, blocklist, limits);
        let named = |it: Record| (it.announcement.run.upstream.clone(), it);
        self.view.upstreams = Arc::new(records.into_iter().map(named).collect());
        self.departures = departures;
        self.history = Some(history);
    }

    /// Returns this instance as the leader knows it.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    pub(crate) fn clock_mut(&mut self) -> &mut Clock {
        &mut self.clock
    }

    /// Returns when the next report is due.
    pub fn wake(&self) -> Duration {
        self.due
    }

    /// Takes other addresses to join through.
    pub fn reseed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes the address of a core that may know the leader.
    ///
    /// All seeds may be cores that don't: two that have lost their disks, and one that was replaced as a
    /// voter while it was away. Asked for nobody else, an instance that starts then finds no leader
    /// although there is one, and neither do the seeds.
    pub(crate) fn meet(&mut self, core: SocketAddr) {
        let known = core == self.own.address || self.hearsay.contains(&core);
        if !known && self.hearsay.len() < HEARSAY {
            self.hearsay.push(core);
        }
    }

    /// Lists the cores that this instance knows.
    pub(crate) fn cores(&self) -> Vec<SocketAddr> {
        let mut cores: Vec<SocketAddr> =
            self.view.cores.iter().chain(&self.hearsay).copied().collect();
        cores.sort_unstable();
        cores.dedup();
        cores
    }

    /// Returns the leader, if it was heard lately.
    pub fn leader(&self, now: Duration) -> Option<SocketAddr> {
        self.target.filter(|_| self.view.heard.is_some() && !self.quiet(now))
    }

    /// Returns how many entries there were when the leader was last heard, if that was lately.
    pub(crate) fn entries(&self, now: Duration) -> Option<usize> {
        let heard = self.view.heard?;
        let lately = now.saturating_sub(heard) <= LATELY;
        lately.then(|| usize::try_from(self.view.entries).unwrap_or(usize::MAX))
    }

    /// Tells whether the view is as fresh as a leader's updates make it.
    pub(crate) fn is_in_touch(&self, now: Duration) -> bool {
        self.view.heard.is_some_and(|heard| now.saturating_sub(heard) <= PATIENCE)
    }

    /// Reports to a leader that is known from elsewhere, such as the log.
    pub fn aim(&mut self, leader: SocketAddr, now: Duration) {
        if self.target != Some(leader) {
            self.target = Some(leader);
            self.since = now;
            self.due = now;
        }
    }

    /// Makes the report that is due, with whom to tell: the leader, or every core while none
    /// answers.
    ///
    /// Asked one after the other, the new leader would be found only after a timeout for each core
    /// that is not it. Meanwhile it would acknowledge that upstreams leave, and this instance would
    /// go on sending requests there.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        unix: u64,
        report: Report,
    ) -> Option<(Targets, Heartbeat)> {
        if now < self.due {
            return None;
        }
        self.clock.hint(now, unix);
        let targets = self.targets(now);
        self.due = now + self.pause(targets.len());
        let Report { counts, refunds, work, marks, rollouts, limits, leaving } = report;
        self.number += 1;
        self.reported.push_back(Reported { number: self.number, at: now });
        if self.reported.len() > REPORTS {
            self.reported.pop_front();
        }
        let heartbeat = Heartbeat {
            peer: self.own.clone(),
            seen: self.view.stamp,
            revision: self.view.revision(),
            unix,
            counted: self.clock.unix(now),
            counts,
            number: self.number,
            refunds,
            work,
            marks,
            rollouts,
            limits,
            leaving,
        };
        (!targets.is_empty()).then_some((targets, heartbeat))
    }

    /// Returns the time until the next report, after one to so many cores.
    fn pause(&mut self, targets: usize) -> Duration {
        if targets <= 1 {
            self.search = SEARCH;
            return HEARTBEAT;
        }
        let next = (self.search * 2).min(SEARCH_MOST);
        std::mem::replace(&mut self.search, next)
    }

    /// Takes the word of a core that it leads since a moment ago; it may have been asked just before.
    pub fn called(&mut self, now: Duration, leader: SocketAddr) {
        self.aim(leader, now);
        self.due = now;
    }

    /// Takes the word of a core that it does not lead.
    pub fn elsewhere(&mut self, now: Duration, leader: Option<SocketAddr>, cores: &[SocketAddr]) {
        cores.iter().for_each(|core| self.meet(*core));
        let own = self.own.address;
        if let Some(leader) = leader.filter(|leader| *leader != own) {
            self.aim(leader, now);
        }
    }

    /// Takes a leader's update; returns whether its sender waits to hear that they are here.
    pub fn update(&mut self, now: Duration, update: Update) -> bool {
        let Update { from, stamp, base, records, sheet, blocklist, plans, .. } = update;
        let Update { limits, round, unix, urgent, via, .. } = update;
        // A leader that was cut off and does not know it yet says what is no longer so.
        if stamp.term < self.view.stamp.term {
            return false;
        }
        if via.is_none() {
            self.since = now;
            self.target = Some(from);
            self.view.heard = Some(now);
            let sent = round.as_ref().and_then(|round| self.sent(round.number));
            self.tell_time(now, sent, unix);
        } else if stamp.term > self.view.stamp.term {
            // An update that was passed on says nothing of the way to the leader itself, or of the time.
            self.aim(from, now);
        }
        if let Some(sheet) = sheet {
            self.view.take_sheet(&sheet);
        }
        let held = self.view.stamp;
        let fits = match base {
            None => true,
            Some(base) if base.term == stamp.term => held.term == stamp.term && held >= base,
            // Of the leader before, only what the new one knows that this instance has is gone on from.
            Some(base) => held == base,
        };
        if fits && stamp >= held {
            if base.is_none() && self.history.is_some() {
                self.history = Some(History::open(stamp.change));
            }
            self.merge(now, base.is_none(), stamp.change, records);
            self.view.blocklist = blocklist.unwrap_or_else(|| self.view.blocklist.clone());
            self.view.plans = plans.unwrap_or_else(|| self.view.plans.clone());
            self.view.limits = limits.unwrap_or_else(|| self.view.limits.clone());
            self.view.stamp = stamp;
        }
        if let Some(round) = round {
            self.view.cores = round.cores;
            self.hearsay.clear();
            self.confirm_plans(round.number, Stamp { term: stamp.term, change: round.plans });
            self.view.entries = round.entries;
            self.view.turn = round.turn.or(self.view.turn);
        }
        urgent || via.is_some()
    }

    /// Says how new the list of upstreams is here.
    pub fn seen(&self) -> Frame {
        let (address, stamp, revision) = (self.own.address, self.view.stamp, self.view.revision());
        Frame::Seen { address, stamp, revision }
    }

    /// Takes the time of day that a leader told in answer to a report that was sent at a time.
    ///
    /// What a machine that stood still finds in its connections tells a time that has passed; taken for the
    /// present one, requests would be counted into earlier windows of usage.
    fn tell_time(&mut self, now: Duration, sent: Option<Duration>, unix: u64) {
        let prompt = sent.is_some_and(|sent| now.saturating_sub(sent) <= PROMPT);
        if prompt || !self.clock.is_agreed() {
            self.clock.agree(now, unix);
            self.view.time = crate::clock::offset(now, unix);
        }
    }

    /// Returns when a report was sent, if it is one of the last.
    fn sent(&self, number: u64) -> Option<Duration> {
        self.reported.iter().find(|it| it.number == number).map(|it| it.at)
    }

    /// Takes up to which change the leader's plans go, as it answers a report.
    ///
    /// An answer may come before the plans themselves: just after a machine stood still, or from a new leader. Taken
    /// for a sign that those known here hold, requests would go to a version that has been rolled back.
    fn confirm_plans(&mut self, number: u64, newest: Stamp) {
        if self.view.stamp >= newest {
            self.view.confirmed = self.view.confirmed.max(self.sent(number));
        }
    }

    /// Returns whom to report to.
    fn targets(&self, now: Duration) -> Targets {
        if let Some(target) = self.target.filter(|_| !self.quiet(now)) {
            return vec![target];
        }
        let own = self.own.address;
        let mut known: Targets = self.cores();
        known.extend(&self.seeds);
        known.sort_unstable();
        known.dedup();
        known.retain(|address| *address != own);
        known
    }

    fn quiet(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) > PATIENCE
    }
}
