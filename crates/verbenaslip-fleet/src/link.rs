//! Keeps an instance in touch with the leader and its view of the fleet up to date.

mod merge;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::changes::Changes;
use crate::clock::Clock;
use crate::departure::Departures;
use crate::frame::{Below, Frame, Heartbeat, Peer, Round, Update};
use crate::history::History;
use crate::hub;
use crate::limit::{Limits, Sighting};
use crate::load::Work;
use crate::parent::Site;
use crate::quarantine::Blocklist;
use crate::quota::Refund;
use crate::registry::{Record, Run};
use crate::rollout::Plans;
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

/// After this silence of the core that an entry reports to the leader is asked for another one: a missed beat, and time
/// for the answer. Meanwhile the leader goes on without this entry, which would not know of upstreams that leave.
const PATIENCE_BELOW: Duration = Duration::from_millis(500);

/// How long the leader is asked alone for another core, when the one that an entry reports to has fallen silent.
const ALONE: Duration = Duration::from_millis(300);

/// How long an entry reports to a core at least before it is sent to another one.
const SETTLED: Duration = Duration::from_secs(1);

/// How long after it was sent away by a core an entry asks the leader for another one.
const SENT_AWAY: Duration = Duration::from_millis(50);

/// How long a core that has fallen silent is passed over.
const AVOIDED: Duration = Duration::from_secs(3);

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
    /// At a core: what the entries below it have reported.
    pub below: Option<Below>,
    /// Up to when these have counted, where there are any.
    pub counted: Option<u64>,
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
    /// Which versions of services get requests.
    pub(crate) plans: Arc<Plans>,
    /// The limits that upstreams name.
    pub(crate) limits: Arc<Limits>,
    /// By which changes these three are so.
    pub(crate) changes: hub::Changes,
}

/// Remembers when a report was sent.
#[derive(Clone, Copy, Debug)]
struct Reported {
    number: u64,
    at: Duration,
    /// Whether it told everything.
    whole: bool,
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
    /// Whom this instance reports to.
    target: Option<SocketAddr>,
    /// Whether that is a core that it was told to report to.
    is_parent: bool,
    /// The core that it has reported to before, to be told that it does so no more.
    farewell: Option<SocketAddr>,
    /// When it was told to report there.
    moved: Duration,
    /// The core that it has reported to and that has fallen silent, and when.
    lost: Option<(SocketAddr, Duration)>,
    /// The leader, as it was heard last.
    leading: Option<SocketAddr>,
    since: Duration,
    due: Duration,
    /// The time from the next report to every core until the one after it.
    search: Duration,
    number: u64,
    /// When the last reports were sent.
    reported: VecDeque<Reported>,
    /// Requests that began, with the report that told of them first.
    counts: Changes<(u64, Team), u64>,
    /// The last report that was answered, by whom and by which incarnation of it.
    answered: Option<(SocketAddr, u64, u64)>,
    /// Cores that entries may report to, as a core is told.
    sites: Vec<Site>,
    /// Whether the leader asks a core for its entries.
    lists: bool,
    /// By which changes the list of requests, the plans and the limits were told.
    changes: hub::Changes,
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
            is_parent: false,
            farewell: None,
            moved: Duration::ZERO,
            lost: None,
            leading: None,
            since: now,
            due: now,
            search: SEARCH,
            number: 0,
            reported: VecDeque::new(),
            counts: Changes::default(),
            answered: None,
            sites: Vec::new(),
            lists: false,
            changes: hub::Changes::default(),
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
        let Knowledge { stamp, records, history, departures, .. } = knowledge;
        let Knowledge { blocklist, plans, limits, changes, .. } = knowledge;
        (self.view.stamp, self.view.blocklist, self.view.limits) = (stamp, blocklist, limits);
        (self.view.plans, self.changes) = (plans, changes);
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
        if self.is_parent { self.due.min(self.since + self.patience()) } else { self.due }
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
        let leading = if self.is_parent { self.leading } else { self.target };
        leading.filter(|_| self.view.heard.is_some() && !self.quiet(now))
    }

    /// Returns whom this instance reports to, if that was heard lately.
    pub(crate) fn target(&self, now: Duration) -> Option<SocketAddr> {
        self.target.filter(|_| self.view.heard.is_some() && !self.quiet(now))
    }

    /// Returns the number of the last report.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns up to which report whoever is reported to knows all; zero where that has answered none.
    pub(crate) fn told(&mut self, now: Duration) -> u64 {
        let targets = self.targets(now);
        let known = self.answered.filter(|(by, ..)| targets == [*by]);
        known.map_or(0, |(.., number)| number)
    }

    /// Returns the leader as it was heard last.
    pub(crate) fn leading(&self) -> Option<SocketAddr> {
        self.leading
    }

    /// Returns the agreed time of day.
    pub(crate) fn unix(&self, now: Duration) -> u64 {
        self.clock.unix(now)
    }

    /// Returns the cores that entries may report to.
    pub(crate) fn sites(&self) -> &[Site] {
        &self.sites
    }

    /// Tells whether the leader asks for the entries that report here.
    pub(crate) fn lists(&self) -> bool {
        self.lists
    }

    /// Returns by which changes what is told whole was told last.
    pub(crate) fn changes(&self) -> hub::Changes {
        self.changes
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
            self.is_parent = false;
            self.since = now;
            self.due = now;
        }
    }

    /// Reports to a core from now on.
    ///
    /// Cores that know different ones to choose from would send an entry back and forth between them.
    pub(crate) fn report_to(&mut self, now: Duration, core: SocketAddr) {
        if self.is_parent && now.saturating_sub(self.moved) < SETTLED {
            return;
        }
        self.moved = now;
        let before = self.target.replace(core).filter(|it| self.is_parent && *it != core);
        self.farewell = before.or(self.farewell);
        self.is_parent = true;
        self.since = now;
        self.due = now;
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
        if self.is_parent && self.quiet(now) {
            self.lose_parent(now);
        }
        if now < self.due {
            return None;
        }
        self.clock.hint(now, unix);
        let told = self.told(now);
        let mut targets = self.targets(now);
        self.due = now + self.pause(targets.len());
        let parent = self.target.filter(|_| self.is_parent);
        targets.extend(self.farewell.take());
        let Report { counts, refunds, work, marks, rollouts, limits, leaving, .. } = report;
        let Report { below, counted, .. } = report;
        self.number += 1;
        let counts = self.changed(told, counts);
        self.reported.push_back(Reported { number: self.number, at: now, whole: told == 0 });
        if self.reported.len() > REPORTS {
            self.reported.pop_front();
        }
        let heartbeat = Heartbeat {
            peer: self.own.clone(),
            parent,
            lost: self.lost.map(|(core, _)| core),
            seen: self.view.stamp,
            revision: self.view.revision(),
            unix,
            counted: counted.unwrap_or_else(|| self.clock.unix(now)),
            counts,
            number: self.number,
            refunds,
            work,
            marks,
            rollouts,
            limits,
            leaving,
            below,
        };
        (!targets.is_empty()).then_some((targets, heartbeat))
    }

    /// Returns the counts that were told first after a report.
    fn changed(&mut self, told: u64, counts: Vec<Count>) -> Vec<Count> {
        let oldest = counts.iter().map(|count| count.window).min();
        self.counts.retain(|(window, _)| oldest.is_some_and(|oldest| *window >= oldest));
        for Count { window, team, requests } in counts {
            self.counts.put(self.number, (window, team), requests);
        }
        let count = |((window, team), requests): (&(u64, Team), &u64)| Count {
            window: *window,
            team: team.clone(),
            requests: *requests,
        };
        self.counts.since(told).map(count).collect()
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
        if self.target(now).is_none() || !self.is_parent {
            self.aim(leader, now);
            self.due = now;
        }
    }

    /// Takes the word of a core that it does not lead, and hears no reports.
    pub fn elsewhere(
        &mut self,
        now: Duration,
        from: SocketAddr,
        leader: Option<SocketAddr>,
        cores: &[SocketAddr],
    ) {
        cores.iter().for_each(|core| self.meet(*core));
        if self.is_parent && self.target == Some(from) {
            self.lose_parent(now);
            self.due = now + SENT_AWAY;
        }
        let own = self.own.address;
        if let Some(leader) = leader.filter(|leader| *leader != own && !self.is_parent) {
            self.aim(leader, now);
        }
    }

    /// Asks the leader for another core.
    fn lose_parent(&mut self, now: Duration) {
        self.lost = self.target.map(|core| (core, now));
        self.is_parent = false;
        self.target = self.leading.filter(|leader| Some(*leader) != self.target);
        self.since = (now + ALONE).saturating_sub(PATIENCE);
        self.due = now;
    }

    /// Takes a leader's update; returns whether its sender waits to hear that they are here.
    pub fn update(&mut self, now: Duration, update: Update) -> bool {
        let Update { from, leader, heard, stamp, base, records, sheet, blocklist, .. } = update;
        let Update { plans, limits, round, unix, urgent, .. } = update;
        // A leader that was cut off and does not know it yet says what is no longer so.
        if stamp.term < self.view.stamp.term {
            return false;
        }
        // A core that entries don't report to any more says nothing of the one that they do report to.
        if self.target == Some(from) || !self.is_parent {
            self.since = now;
            self.target = Some(from);
            self.leading = Some(leader);
            self.view.heard = self.view.heard.max(Some(now.saturating_sub(heard)));
            let sent = round.as_ref().and_then(|round| self.sent(round.number));
            self.tell_time(now, sent, unix);
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
            self.take_whole(stamp.change, blocklist, plans, limits);
            self.view.stamp = stamp;
        }
        if let Some(round) = round {
            self.take_round(from, stamp.term, round);
        }
        urgent
    }

    /// Takes what is told whole, as far as it is told.
    fn take_whole(
        &mut self,
        change: u64,
        blocklist: Option<Arc<Blocklist>>,
        plans: Option<Arc<Plans>>,
        limits: Option<Arc<Limits>>,
    ) {
        if let Some(blocklist) = blocklist {
            (self.view.blocklist, self.changes.blocklist) = (blocklist, change);
        }
        if let Some(plans) = plans {
            (self.view.plans, self.changes.plans) = (plans, change);
        }
        if let Some(limits) = limits {
            (self.view.limits, self.changes.limits) = (limits, change);
        }
    }

    /// Takes the answer to a report.
    fn take_round(&mut self, from: SocketAddr, term: u64, round: Round) {
        self.confirm_plans(&round, term);
        let known = self.answered.filter(|it| (it.0, it.1) == (from, round.incarnation));
        let whole = self.reported.iter().any(|it| it.number == round.number && it.whole);
        let first = if whole { round.number } else { 0 };
        let number = known.map_or(
            first,
            |(.., number)| {
                if number > 0 { number.max(round.number) } else { first }
            },
        );
        self.answered = Some((from, round.incarnation, number));
        self.view.cores = round.cores;
        self.hearsay.clear();
        self.view.entries = round.entries;
        self.view.turn = round.turn.or(self.view.turn);
        (self.sites, self.lists) = (round.sites, round.list);
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
    fn confirm_plans(&mut self, round: &Round, term: u64) {
        let newest = Stamp { term, change: round.plans };
        let Some((sent, age)) = self.sent(round.number).zip(round.confirmed) else { return };
        if self.view.stamp >= newest {
            self.view.confirmed = self.view.confirmed.max(sent.checked_sub(age));
        }
    }

    /// Returns whom to report to.
    fn targets(&mut self, now: Duration) -> Targets {
        if self.lost.is_some_and(|(_, at)| now.saturating_sub(at) > AVOIDED) {
            self.lost = None;
        }
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
        now.saturating_sub(self.since) >= self.patience()
    }

    fn patience(&self) -> Duration {
        if self.is_parent { PATIENCE_BELOW } else { PATIENCE }
    }
}
