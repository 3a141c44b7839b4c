//! Connection of an instance to the leader or its parent core, and the view of the fleet that it
//! keeps current.

mod figures;
mod merge;
mod parent;
mod report;
mod update;

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::clock::Clock;
use crate::delta_map::DeltaMap;
use crate::departure::Departures;
use crate::frame::{Aggregate, Frame, Peer};
use crate::gateway::Gateway;
use crate::history::History;
use crate::hub;
use crate::limit::{Limits, Observation};
use crate::load::WorkReport;
use crate::measurement::reporter::Reporter;
use crate::measurement::{RunKey, Totals};
use crate::parent::ParentCore;
use crate::quarantine::Blocklist;
use crate::quota::Refund;
use crate::registry::{Record, Run};
use crate::rollout::Plans;
use crate::rollout::report::Report as RolloutReport;
use crate::transition::Transitions;
use crate::usage::Count;
use crate::version_history::VersionHistory;
use crate::view::{Version, View};
use crate::voucher::RenewalMark;

/// Interval between heartbeats: a quarter of the time within which unused shares of a rate limit
/// must move between entries, at a cost of 4 datagrams a second.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between heartbeats of a core that waits for its release.
const STOPPING_INTERVAL: Duration = Duration::from_millis(60);

/// Silence of the leader after which the instance asks every core; three heartbeats.
const LEADER_TIMEOUT: Duration = Duration::from_millis(750);

/// Silence of the parent core after which an entry asks the leader for another one: one missed
/// heartbeat, and time for the answer. The leader stops waiting for a silent entry, which then does
/// not learn of departures.
const PARENT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long only the leader is asked for a new parent core before all cores are asked.
const LEADER_ONLY_TIME: Duration = Duration::from_millis(300);

/// Minimum time for which an entry reports to a core before it may be reassigned.
const MIN_PARENT_TIME: Duration = Duration::from_secs(1);

/// Delay before an entry that a core has redirected asks the leader for another one.
const REDIRECT_DELAY: Duration = Duration::from_millis(50);

/// How long a core that has fallen silent is not chosen again.
const LOST_PARENT_AVOIDANCE: Duration = Duration::from_secs(3);

/// How long the last leader's entry count remains valid for the next leader; covers a repeated
/// election.
const ENTRY_COUNT_VALIDITY: Duration = Duration::from_secs(3);

/// Maximum delay of an answer that may set the clock or the age of figures: within a tenth of the
/// shortest usage window, and a hundred times the round trip to the leader.
const MAX_PROMPT_ANSWER_AGE: Duration = Duration::from_millis(500);

/// Initial interval between heartbeats to all cores while no leader answers.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum interval between heartbeats to all cores; the interval doubles with each attempt. A new
/// leader notifies the instances that have recently asked for it. If 300 entries asked five times a
/// second, five cores would read and answer 7,500 heartbeats a second during the election.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum number of remembered heartbeats whose answers may still arrive.
const MAX_TRACKED_REPORTS: usize = 16;

/// Maximum number of cores that are remembered from other instances until the leader sends its
/// list.
const MAX_LEARNED_CORES: usize = 32;

/// Addresses of the instances that receive a message.
pub type Targets = Vec<SocketAddr>;

/// Contains what an instance reports in a heartbeat, in addition to the state of its view.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that began, by usage window and team.
    pub counts: Vec<Count>,
    /// Granted units of teams' rate limits that were not used.
    pub refunds: Vec<Refund>,
    /// Engine work that requests have required, by service.
    pub engine_work: Vec<WorkReport>,
    /// Upstreams for which a core vouches.
    pub marks: Vec<RenewalMark>,
    /// Results of requests by version, for services with a rollout.
    pub rollouts: Vec<RolloutReport>,
    /// Rate limits that upstreams have requested or ended and that the leader may not know.
    pub limits: Vec<Observation>,
    /// Runs that have announced their departure in an answer and that the leader may not know to
    /// depart.
    pub departing: Vec<Run>,
    /// What this instance has measured at upstreams.
    pub measurements: Vec<Totals>,
    /// At a core: whether it is about to stop.
    pub is_stopping: bool,
    /// At an entry: number of time slots that it asks for under upstreams' rate limits; zero stands
    /// for one.
    pub slots: u32,
    /// At a core: the reports of the entries below it.
    pub aggregate: Option<Aggregate>,
    /// Time up to which the counts of those entries are complete, in Unix milliseconds; `None`
    /// without entries.
    pub counted_until: Option<u64>,
}

/// Holds the state of a core when it stopped leading.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Version of the last change.
    pub(crate) version: Version,
    /// Known upstreams, without those that are gone or lost.
    pub(crate) records: Vec<Record>,
    /// Change number of each upstream.
    pub(crate) history: History,
    /// Runs that are leaving or gone.
    pub(crate) departures: Departures,
    /// Suspected and quarantined requests.
    pub(crate) blocklist: Arc<Blocklist>,
    /// Which versions of services get requests.
    pub(crate) rollout_plans: Arc<Plans>,
    /// Rate limits requested by upstreams.
    pub(crate) limits: Arc<Limits>,
    /// When each version of each service came and left.
    pub(crate) version_history: Arc<VersionHistory>,
    /// Change with which each of these was last published.
    pub(crate) change_numbers: hub::ChangeNumbers,
}

/// Remembers when a heartbeat was sent.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    sequence: u64,
    sent_at: Duration,
    /// Whether the heartbeat contained all counts instead of only the changed ones.
    is_complete: bool,
}

/// Sends heartbeats to the leader or parent core, and applies its updates.
#[derive(Debug)]
pub struct Link {
    local_peer: Peer,
    seeds: Vec<SocketAddr>,
    /// Cores learned from other instances.
    learned_cores: Vec<SocketAddr>,
    view: View,
    /// Runs that are leaving or gone, remembered across leaders.
    departures: Departures,
    /// Change number of each upstream; only cores need it.
    history: Option<History>,
    /// Status changes since they were last taken.
    transitions: Transitions,
    clock: Clock,
    /// Instance to which heartbeats are sent.
    target: Option<SocketAddr>,
    /// Whether the target is an assigned parent core.
    target_is_parent: bool,
    /// Previous parent core, which is still to be told that this entry reports elsewhere.
    previous_parent: Option<SocketAddr>,
    /// When the parent core was assigned.
    assigned_at: Duration,
    /// Parent core that has fallen silent, and when that was noticed.
    lost_parent: Option<(SocketAddr, Duration)>,
    /// Address of the last known leader.
    last_leader: Option<SocketAddr>,
    /// When the target was last heard, or was chosen.
    last_contact: Duration,
    next_report: Duration,
    /// Interval after the next heartbeat that goes to all cores.
    search_interval: Duration,
    last_sequence: u64,
    /// The last heartbeats, oldest first.
    sent_reports: VecDeque<SentReport>,
    /// Requests that began, with the heartbeat that first contained each count.
    counts: DeltaMap<(u64, Team), u64>,
    /// Selects the measurements that heartbeats contain.
    measurements: Reporter,
    /// Number of the last heartbeat whose answer contained figures of upstreams.
    figures_sequence: u64,
    /// Keys of the runs in the view of this version; only kept while there are figures.
    known_runs: (Version, HashSet<RunKey>),
    /// Sender of the last answer, its incarnation, and the sequence number up to which it has all
    /// counts.
    last_answer: Option<(SocketAddr, u64, u64)>,
    /// Parent cores that entries may use; only cores receive them.
    parent_cores: Vec<ParentCore>,
    /// Whether the leader asks this core for the list of its entries.
    entry_list_requested: bool,
    /// Whether the leader has released this core, which is about to stop.
    is_released: bool,
    /// Change with which the blocklist, rollout plans and limits were each last received.
    change_numbers: hub::ChangeNumbers,
}

impl Link {
    /// Creates a link without a view; `unix_ms` is the machine's clock in Unix milliseconds.
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
            measurements: Reporter::default(),
            figures_sequence: 0,
            known_runs: Default::default(),
            last_answer: None,
            parent_cores: Vec::new(),
            entry_list_requested: false,
            is_released: false,
            change_numbers: hub::ChangeNumbers::default(),
        }
    }

    /// Returns the current view of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the departures that this instance knows.
    pub(crate) fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Takes the status changes of upstreams since the last call, for the event log.
    pub fn take_transitions(&mut self) -> Transitions {
        std::mem::take(&mut self.transitions)
    }

    /// Returns the change number of each upstream, at cores only.
    pub(crate) fn history(&self) -> Option<&History> {
        self.history.as_ref()
    }

    /// Restores the state of this core's own leadership.
    pub(crate) fn restore(&mut self, state: LeaderState) {
        let LeaderState { version, records, history, departures, .. } = state;
        let LeaderState { blocklist, rollout_plans, limits, change_numbers, .. } = state;
        (self.view.version, self.view.blocklist, self.view.limits) = (version, blocklist, limits);
        (self.view.rollout_plans, self.change_numbers) = (rollout_plans, change_numbers);
        self.view.version_history = state.version_history;
        let keyed = |record: Record| (record.announcement.run.upstream.clone(), record);
        self.view.upstreams = Arc::new(records.into_iter().map(keyed).collect());
        self.departures = departures;
        self.history = Some(history);
    }

    /// Returns the identity of this instance.
    pub fn local_peer(&self) -> &Peer {
        &self.local_peer
    }

    pub(crate) fn clock_mut(&mut self) -> &mut Clock {
        &mut self.clock
    }

    /// Returns when the next heartbeat is due.
    pub fn next_wakeup(&self) -> Duration {
        if self.target_is_parent {
            self.next_report.min(self.last_contact + self.silence_timeout())
        } else {
            self.next_report
        }
    }

    /// Makes the next heartbeat due.
    pub(crate) fn hasten_heartbeat(&mut self, now: Duration) {
        self.next_report = self.next_report.min(now);
    }

    /// Releases this core, which is about to stop.
    pub(crate) fn release(&mut self) {
        self.is_released = true;
    }

    /// Returns whether the leader has released this core, which is about to stop.
    pub(crate) fn is_released(&self) -> bool {
        self.is_released
    }

    /// Replaces the known gateways.
    pub(crate) fn set_gateways(&mut self, gateways: Arc<[Gateway]>) {
        self.view.gateways = gateways;
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Adds the address of a core that may know the leader.
    ///
    /// All seeds may be cores that do not know it: two may have lost their disks, and one may have
    /// been replaced as a voter while it was unreachable. An instance that starts then and asks
    /// only the seeds would not find the existing leader, and neither would the seeds.
    pub(crate) fn learn_core(&mut self, core: SocketAddr) {
        let known = core == self.local_peer.address || self.learned_cores.contains(&core);
        if !known && self.learned_cores.len() < MAX_LEARNED_CORES {
            self.learned_cores.push(core);
        }
    }

    /// Returns the known cores.
    pub(crate) fn cores(&self) -> Vec<SocketAddr> {
        let mut cores: Vec<SocketAddr> =
            self.view.cores.iter().chain(&self.learned_cores).copied().collect();
        cores.sort_unstable();
        cores.dedup();
        cores
    }

    /// Returns the leader, if it was recently heard.
    pub fn leader(&self, now: Duration) -> Option<SocketAddr> {
        let leader = if self.target_is_parent { self.last_leader } else { self.target };
        leader.filter(|_| self.view.leader_heard_at.is_some() && !self.is_silent(now))
    }

    /// Returns the instance to which heartbeats are sent, if it was recently heard.
    pub(crate) fn reachable_target(&self, now: Duration) -> Option<SocketAddr> {
        self.target.filter(|_| self.view.leader_heard_at.is_some() && !self.is_silent(now))
    }

    /// Returns the sequence number of the last heartbeat.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the last known leader.
    pub(crate) fn last_leader(&self) -> Option<SocketAddr> {
        self.last_leader
    }

    /// Returns the agreed time of day in Unix milliseconds.
    pub(crate) fn agreed_unix_ms(&self, now: Duration) -> u64 {
        self.clock.unix_ms(now)
    }

    /// Returns the cores that entries may report to.
    pub(crate) fn parent_cores(&self) -> &[ParentCore] {
        &self.parent_cores
    }

    /// Returns whether the leader asks for the list of entries that report here.
    pub(crate) fn entry_list_requested(&self) -> bool {
        self.entry_list_requested
    }

    /// Returns with which changes each of these parts was last received.
    pub(crate) fn change_numbers(&self) -> hub::ChangeNumbers {
        self.change_numbers
    }

    /// Returns the number of entries when the leader was last heard, if that was recent.
    pub(crate) fn recent_entry_count(&self, now: Duration) -> Option<usize> {
        let heard_at = self.view.leader_heard_at?;
        let is_recent = now.saturating_sub(heard_at) <= ENTRY_COUNT_VALIDITY;
        is_recent.then(|| usize::try_from(self.view.entry_count).unwrap_or(usize::MAX))
    }

    /// Returns whether the leader was heard within [`LEADER_TIMEOUT`].
    pub(crate) fn is_connected(&self, now: Duration) -> bool {
        self.view.leader_heard_at.is_some_and(|heard| now.saturating_sub(heard) <= LEADER_TIMEOUT)
    }

    /// Builds the acknowledgement of the current view.
    pub fn acknowledgement(&self) -> Frame {
        let (address, version, revision) =
            (self.local_peer.address, self.view.version, self.view.revision());
        Frame::Acknowledged { address, version, revision }
    }

    /// Returns when a heartbeat was sent, if it is one of the last.
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
