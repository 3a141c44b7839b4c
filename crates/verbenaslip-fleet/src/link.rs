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
const LEADER_TIMEOUT: Duration = Duration::from_millis(750);

/// After this silence of the core that an entry reports to the leader is asked for another one: a missed beat, and time
/// for the answer. Meanwhile the leader goes on without this entry, which would not know of upstreams that leave.
const PARENT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the leader is asked alone for another core, when the one that an entry reports to has fallen silent.
const LEADER_ONLY_TIME: Duration = Duration::from_millis(300);

/// How long an entry reports to a core at least before it is sent to another one.
const MIN_PARENT_TIME: Duration = Duration::from_secs(1);

/// How long after it was sent away by a core an entry asks the leader for another one.
const REDIRECT_DELAY: Duration = Duration::from_millis(50);

/// How long a core that has fallen silent is passed over.
const LOST_PARENT_AVOIDANCE: Duration = Duration::from_secs(3);

/// How long after a leader was heard its count of entries holds for the next one: an election that has to be held again.
const ENTRY_COUNT_VALIDITY: Duration = Duration::from_secs(3);

/// How long after a report its answer still tells the time of day: within a tenth of the shortest window of
/// usage, and a hundred times the way to the leader and back.
const MAX_CLOCK_ANSWER_AGE: Duration = Duration::from_millis(500);

/// Time between the first two reports to every core while none answers.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time between two of them; each takes twice as long as the one before. A new leader tells whoever
/// has asked it lately; asked by 300 entries five times a second, five cores would read and answer 7,500 reports
/// a second while they elect it.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(800);

/// Reports whose answers may still come.
const MAX_TRACKED_REPORTS: usize = 16;

/// The most cores that are remembered from others' words until the leader's own list comes.
const MAX_LEARNED_CORES: usize = 32;

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
pub(crate) struct LeaderState {
    /// Its last change.
    pub(crate) version: Version,
    /// The upstreams that are there.
    pub(crate) records: Vec<Record>,
    /// By which changes upstreams were told.
    pub(crate) history: History,
    /// Runs that go or have gone.
    pub(crate) departures: Departures,
    /// The requests that are suspected or held back.
    pub(crate) blocklist: Arc<Blocklist>,
    /// Which versions of services get requests.
    pub(crate) rollout_plans: Arc<Plans>,
    /// The limits that upstreams name.
    pub(crate) limits: Arc<Limits>,
    /// By which changes these three are so.
    pub(crate) change_numbers: hub::ChangeNumbers,
}

/// Remembers when a report was sent.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    sequence: u64,
    sent_at: Duration,
    /// Whether it told everything.
    is_complete: bool,
}

/// Reports to the leader and takes its updates.
#[derive(Debug)]
pub struct Link {
    local_peer: Peer,
    seeds: Vec<SocketAddr>,
    /// Cores that others know of.
    learned_cores: Vec<SocketAddr>,
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
    target_is_parent: bool,
    /// The core that it has reported to before, to be told that it does so no more.
    previous_parent: Option<SocketAddr>,
    /// When it was told to report there.
    assigned_at: Duration,
    /// The core that it has reported to and that has fallen silent, and when.
    lost_parent: Option<(SocketAddr, Duration)>,
    /// The leader, as it was heard last.
    last_leader: Option<SocketAddr>,
    last_contact: Duration,
    next_report: Duration,
    /// The time from the next report to every core until the one after it.
    search_interval: Duration,
    last_sequence: u64,
    /// When the last reports were sent.
    sent_reports: VecDeque<SentReport>,
    /// Requests that began, with the report that told of them first.
    counts: DeltaMap<(u64, Team), u64>,
    /// The last report that was answered, by whom and by which incarnation of it.
    last_answer: Option<(SocketAddr, u64, u64)>,
    /// Cores that entries may report to, as a core is told.
    parent_cores: Vec<ParentCore>,
    /// Whether the leader asks a core for its entries.
    entry_list_requested: bool,
    /// By which changes the list of requests, the plans and the limits were told.
    change_numbers: hub::ChangeNumbers,
}

impl Link {
    /// Starts without a view.
    pub fn new(local_peer: Peer, seeds: Vec<SocketAddr>, now: Duration, unix_ms: u64) -> Self {
        let clock = Clock::new(now, unix_ms);
        let view = View { own_address: Some(local_peer.address), ..View::default() };
        let history = local_peer.voter.is_some().then(History::default);
        Self {
            local_peer,
            history,
            seeds,
            learned_cores: Vec::new(),
            view,
            departures: Departures::default(),
            transitions: Transitions::default(),
            clock,
            target: None,
            target_is_parent: false,
            previous_parent: None,
            assigned_at: Duration::ZERO,
            lost_parent: None,
            last_leader: None,
            last_contact: now,
            next_report: now,
            search_interval: MIN_SEARCH_INTERVAL,
            last_sequence: 0,
            sent_reports: VecDeque::new(),
            counts: DeltaMap::default(),
            last_answer: None,
            parent_cores: Vec::new(),
            entry_list_requested: false,
            change_numbers: hub::ChangeNumbers::default(),
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
    pub(crate) fn restore(&mut self, state: LeaderState) {
        let LeaderState { version, records, history, departures, .. } = state;
        let LeaderState { blocklist, rollout_plans, limits, change_numbers, .. } = state;
        (self.view.version, self.view.blocklist, self.view.limits) = (version, blocklist, limits);
        (self.view.rollout_plans, self.change_numbers) = (rollout_plans, change_numbers);
        let keyed = |record: Record| (record.announcement.run.upstream.clone(), record);
        self.view.upstreams = Arc::new(records.into_iter().map(keyed).collect());
        self.departures = departures;
        self.history = Some(history);
    }

    /// Returns this instance as the leader knows it.
    pub fn local_peer(&self) -> &Peer {
        &self.local_peer
    }

    pub(crate) fn clock_mut(&mut self) -> &mut Clock {
        &mut self.clock
    }

    /// Returns when the next report is due.
    pub fn next_wakeup(&self) -> Duration {
        if self.target_is_parent {
            self.next_report.min(self.last_contact + self.silence_timeout())
        } else {
            self.next_report
        }
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
    pub(crate) fn learn_core(&mut self, core: SocketAddr) {
        let known = core == self.local_peer.address || self.learned_cores.contains(&core);
        if !known && self.learned_cores.len() < MAX_LEARNED_CORES {
            self.learned_cores.push(core);
        }
    }

    /// Lists the cores that this instance knows.
    pub(crate) fn cores(&self) -> Vec<SocketAddr> {
        let mut cores: Vec<SocketAddr> =
            self.view.cores.iter().chain(&self.learned_cores).copied().collect();
        cores.sort_unstable();
        cores.dedup();
        cores
    }

    /// Returns the leader, if it was heard lately.
    pub fn leader(&self, now: Duration) -> Option<SocketAddr> {
        let leader = if self.target_is_parent { self.last_leader } else { self.target };
        leader.filter(|_| self.view.leader_heard_at.is_some() && !self.is_silent(now))
    }

    /// Returns whom this instance reports to, if that was heard lately.
    pub(crate) fn reachable_target(&self, now: Duration) -> Option<SocketAddr> {
        self.target.filter(|_| self.view.leader_heard_at.is_some() && !self.is_silent(now))
    }

    /// Returns the number of the last report.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the leader as it was heard last.
    pub(crate) fn last_leader(&self) -> Option<SocketAddr> {
        self.last_leader
    }

    /// Returns the agreed time of day.
    pub(crate) fn agreed_unix_ms(&self, now: Duration) -> u64 {
        self.clock.unix_ms(now)
    }

    /// Returns the cores that entries may report to.
    pub(crate) fn parent_cores(&self) -> &[ParentCore] {
        &self.parent_cores
    }

    /// Tells whether the leader asks for the entries that report here.
    pub(crate) fn entry_list_requested(&self) -> bool {
        self.entry_list_requested
    }

    /// Returns by which changes what is told whole was told last.
    pub(crate) fn change_numbers(&self) -> hub::ChangeNumbers {
        self.change_numbers
    }

    /// Returns how many entries there were when the leader was last heard, if that was lately.
    pub(crate) fn recent_entry_count(&self, now: Duration) -> Option<usize> {
        let heard_at = self.view.leader_heard_at?;
        let is_recent = now.saturating_sub(heard_at) <= ENTRY_COUNT_VALIDITY;
        is_recent.then(|| usize::try_from(self.view.entry_count).unwrap_or(usize::MAX))
    }

    /// Tells whether the view is as fresh as a leader's updates make it.
    pub(crate) fn is_connected(&self, now: Duration) -> bool {
        self.view.leader_heard_at.is_some_and(|heard| now.saturating_sub(heard) <= LEADER_TIMEOUT)
    }

    /// Says how new the list of upstreams is here.
    pub fn acknowledgement(&self) -> Frame {
        let (address, version, revision) =
            (self.local_peer.address, self.view.version, self.view.revision());
        Frame::Acknowledged { address, version, revision }
    }

    /// Returns when a report was sent, if it is one of the last.
    fn report_sent_at(&self, sequence: u64) -> Option<Duration> {
        self.sent_reports.iter().find(|it| it.sequence == sequence).map(|it| it.sent_at)
    }

    fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_contact) >= self.silence_timeout()
    }

    fn silence_timeout(&self) -> Duration {
        if self.target_is_parent { PARENT_TIMEOUT } else { LEADER_TIMEOUT }
    }
}
