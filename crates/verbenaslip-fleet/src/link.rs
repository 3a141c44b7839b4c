//! Keeps an instance in touch with the leader and its view of the fleet up to date.

mod merge;
mod parent;
mod report;
mod update;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::clock::Clock;
use crate::delta_map::DeltaMap;
use crate::departure::Departures;
use crate::frame::{Aggregate, Frame, Peer};
use crate::history::History;
use crate::hub;
use crate::limit::{Limits, Observation};
use crate::load::WorkReport;
use crate::parent::ParentCore;
use crate::quarantine::Blocklist;
use crate::quota::Refund;
use crate::registry::{Record, Run};
use crate::rollout::Plans;
use crate::rollout::report::Report as RolloutReport;
use crate::transition::Transitions;
use crate::usage::Count;
use crate::view::{Version, View};
use crate::voucher::RenewalMark;

/// Time between two reports: a quarter of the time in which a limit's part must move between
/// entries, and 4 datagrams' worth of bytes a second.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

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
    pub engine_work: Vec<WorkReport>,
    /// Upstreams that a core vouches for.
    pub marks: Vec<RenewalMark>,
    /// What requests met at the versions of services that are rolled out.
    pub rollouts: Vec<RolloutReport>,
    /// Limits that upstreams have named or ended, and the leader may not know.
    pub limits: Vec<Observation>,
    /// Upstreams that have said in an answer that they go, and the leader may not know.
    pub departing: Vec<Run>,
    /// At a core: what the entries below it have reported.
    pub aggregate: Option<Aggregate>,
    /// Up to when these have counted, where there are any.
    pub counted_until: Option<u64>,
}

/// Holds what a core knew when it ceased to lead.
#[derive(Debug)]
pub(crate) struct Knowledge {
    /// Its last change.
    pub(crate) stamp: Version,
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
    local_peer: Peer,
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
    counts: DeltaMap<(u64, Team), u64>,
    /// The last report that was answered, by whom and by which incarnation of it.
    answered: Option<(SocketAddr, u64, u64)>,
    /// Cores that entries may report to, as a core is told.
    sites: Vec<ParentCore>,
    /// Whether the leader asks a core for its entries.
    lists: bool,
    /// By which changes the list of requests, the plans and the limits were told.
    changes: hub::Changes,
}

impl Link {
    /// Starts without a view.
    pub fn new(own: Peer, seeds: Vec<SocketAddr>, now: Duration, unix: u64) -> Self {
        let clock = Clock::new(now, unix);
        let view = View { own_address: Some(own.address), ..View::default() };
        let history = own.voter.is_some().then(History::default);
        Self {
            local_peer: own,
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
            counts: DeltaMap::default(),
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
        (self.view.version, self.view.blocklist, self.view.limits) = (stamp, blocklist, limits);
        (self.view.rollout_plans, self.changes) = (plans, changes);
        let named = |it: Record| (it.announcement.run.upstream.clone(), it);
        self.view.upstreams = Arc::new(records.into_iter().map(named).collect());
        self.departures = departures;
        self.history = Some(history);
    }

    /// Returns this instance as the leader knows it.
    pub fn own(&self) -> &Peer {
        &self.local_peer
    }

    pub(crate) fn clock_mut(&mut self) -> &mut Clock {
        &mut self.clock
    }

    /// Returns when the next report is due.
    pub fn next_wakeup(&self) -> Duration {
        if self.is_parent { self.due.min(self.since + self.patience()) } else { self.due }
    }

    /// Takes other addresses to join through.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes the address of a core that may know the leader.
    ///
    /// All seeds may be cores that don't: two that have lost their disks, and one that was replaced as a
    /// voter while it was away. Asked for nobody else, an instance that starts then finds no leader
    /// although there is one, and neither do the seeds.
    pub(crate) fn meet(&mut self, core: SocketAddr) {
        let known = core == self.local_peer.address || self.hearsay.contains(&core);
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
        leading.filter(|_| self.view.leader_heard_at.is_some() && !self.quiet(now))
    }

    /// Returns whom this instance reports to, if that was heard lately.
    pub(crate) fn target(&self, now: Duration) -> Option<SocketAddr> {
        self.target.filter(|_| self.view.leader_heard_at.is_some() && !self.quiet(now))
    }

    /// Returns the number of the last report.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the leader as it was heard last.
    pub(crate) fn leading(&self) -> Option<SocketAddr> {
        self.leading
    }

    /// Returns the agreed time of day.
    pub(crate) fn unix(&self, now: Duration) -> u64 {
        self.clock.unix_ms(now)
    }

    /// Returns the cores that entries may report to.
    pub(crate) fn sites(&self) -> &[ParentCore] {
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
        let heard = self.view.leader_heard_at?;
        let lately = now.saturating_sub(heard) <= LATELY;
        lately.then(|| usize::try_from(self.view.entry_count).unwrap_or(usize::MAX))
    }

    /// Tells whether the view is as fresh as a leader's updates make it.
    pub(crate) fn is_in_touch(&self, now: Duration) -> bool {
        self.view.leader_heard_at.is_some_and(|heard| now.saturating_sub(heard) <= PATIENCE)
    }

    /// Says how new the list of upstreams is here.
    pub fn acknowledgement(&self) -> Frame {
        let (address, stamp, revision) =
            (self.local_peer.address, self.view.version, self.view.revision());
        Frame::Acknowledged { address, version: stamp, revision }
    }

    /// Returns when a report was sent, if it is one of the last.
    fn sent(&self, number: u64) -> Option<Duration> {
        self.reported.iter().find(|it| it.number == number).map(|it| it.at)
    }

    fn quiet(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) >= self.patience()
    }

    fn patience(&self) -> Duration {
        if self.is_parent { PATIENCE_BELOW } else { PATIENCE }
    }
}
