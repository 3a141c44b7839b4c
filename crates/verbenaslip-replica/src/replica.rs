//! The state machine of one voter of the replicated log.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::election::Campaign;
use crate::entry::{Entry, Payload, Position};
use crate::founding::Founding;
use crate::input::Input;
use crate::leader::LeaderState;
use crate::log::Log;
use crate::message::{Body, Message};
use crate::outbox::Outbox;
use crate::output::{Answer, Output, ReplicaRole, RoleUpdate};
use crate::setup::Setup;
use crate::snapshot::IncomingSnapshot;
use crate::storage::{HardState, Recovered, Snapshot, Write};
use crate::voter::{Group, Identity, Voter};

/// Makes the decisions of one voter; the crate documentation describes how the parts work together.
#[derive(Debug)]
pub struct Replica {
    pub(crate) setup: Setup,
    pub(crate) identity: Identity,
    pub(crate) hard_state: HardState,
    /// Whether the hard state has changed since it was last written.
    pub(crate) hard_state_changed: bool,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// The bytes of log entries applied since a snapshot was last requested.
    pub(crate) applied_bytes: usize,
    /// The applied index at which a snapshot was last requested.
    pub(crate) requested_snapshot: u64,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<Instance>,
    /// When a message from a leader of any term was last received.
    pub(crate) leader_heard_at: Option<Duration>,
    /// When the next campaign starts.
    pub(crate) election_due_at: Duration,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) founding: Founding,
    pub(crate) outbox: Outbox,
    pub(crate) now: Duration,
    pub(crate) outputs: Vec<Output>,
    random: Pcg32,
    pub(crate) reported_role: RoleUpdate,
}

/// Holds the role of a replica in its term and the state of that role.
#[derive(Debug)]
pub(crate) enum State {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for pre-votes or votes.
    Candidate(Campaign),
    /// Is the leader.
    Leader(Box<LeaderState>),
}

impl Replica {
    /// Opens a replica on the content of its data directory.
    ///
    /// The first call of [`Replica::step`] returns [`Output::Install`] if there is a snapshot.
    pub fn open(setup: Setup, recovered: Recovered, now: Duration) -> Self {
        let recovered = recovered.without_stale_entries();
        let mut setup = setup;
        if setup.founders.is_empty() {
            setup.founders.clone_from(&recovered.founders);
        }
        let (base, config) = log_base(&recovered);
        let hard_state = if is_partially_founded(&recovered) {
            HardState::default()
        } else {
            recovered.hard_state
        };
        let mut log = Log::new(base, config);
        for entry in recovered.entries {
            if entry.position.index == log.last().index + 1 {
                log.push(entry);
            }
        }
        let mut random = Pcg32::seed_from_u64(setup.seed);
        let commit_index = recovered.snapshot.as_ref().map_or(base.index, |s| s.position.index);
        // The voter may have acknowledged a leader just before it stopped, and that leader's lease
        // relies on the acknowledgement. Granting a vote now could allow two valid leases and
        // therefore two leaders that give orders. So a restarted voter behaves as if it had just
        // heard a leader.
        let leader_heard_at = hard_state.group.map(|_| now);
        let election_due_at = now + random_election_timeout(&setup, &mut random);
        let reported_role =
            RoleUpdate { term: hard_state.term, leader: None, role: ReplicaRole::Follower };
        let outputs: Vec<Output> =
            recovered.snapshot.iter().cloned().map(Output::Install).collect();
        Self {
            setup,
            identity: recovered.identity,
            hard_state,
            hard_state_changed: false,
            outbox: Outbox::new(log.last().index),
            log,
            snapshot: recovered.snapshot,
            applied_bytes: 0,
            requested_snapshot: 0,
            commit_index,
            applied_index: commit_index,
            state: State::Follower,
            leader: None,
            leader_heard_at,
            election_due_at,
            incoming_snapshot: None,
            founding: Founding::new(now),
            now,
            outputs,
            random,
            reported_role,
        }
    }

    /// Processes an input at the given time of the local clock, and appends the actions that the
    /// driver has to take, in order, to `outputs`.
    ///
    /// A `now` before that of an earlier call is treated as the latest time seen.
    pub fn step(&mut self, now: Duration, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.handle_message(&from, message),
            Input::Propose { token, command } => self.propose(token, command),
            Input::ReadIndex { token } => self.read_index(token),
            Input::Stored { sequence } => self.handle_stored(sequence),
            Input::Snapshot { index, state } => self.compact(index, state),
            Input::TransferLeadership => self.transfer_leadership(),
            Input::ChangeVoters { token, change } => self.change_voters(token, change),
        }
        self.tick();
        self.advance();
        self.report_role();
        // The state machine's answer is a separate step. Its writes must follow all writes of this
        // step.
        self.request_snapshot();
        outputs.append(&mut self.outputs);
    }

    /// Returns when the next [`Input::Tick`] is due, on the local clock.
    pub fn next_tick(&self) -> Duration {
        match &self.state {
            State::Leader(leader_state) => leader_state.next_tick(&self.setup.timing),
            _ if self.may_campaign() => self.election_due_at,
            _ => self.founding.next_tick(),
        }
    }

    /// Returns the instance of the leader, if known.
    pub fn leader(&self) -> Option<&Instance> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the identity of the data directory.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns this replica as a voter, for use in a change that adds it.
    pub fn voter(&self) -> Voter {
        Voter { instance: self.setup.instance.clone(), identity: self.identity }
    }

    /// Returns the group, or `None` before the first contact with one.
    pub fn group(&self) -> Option<Group> {
        self.hard_state.group
    }

    /// Returns whether this replica was elected and has not stepped down. Without a lease, another
    /// replica may have been elected since.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// Returns the time on the local clock until which no other replica can hold a lease. Returns
    /// `None` if this replica holds no lease, or if it has not committed a log entry of its term
    /// yet.
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        let State::Leader(leader_state) = &self.state else { return None };
        if !leader_state.may_hold_lease || self.commit_index < leader_state.first_index {
            return None;
        }
        let expires_at =
            leader_state.rounds.confirmed()?.started_at + self.setup.timing.lease_duration();
        (now < expires_at).then_some(expires_at)
    }

    /// Returns the last index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the last index that was output to be applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the voter set in force, whether committed or not.
    pub fn voters(&self) -> &Config {
        self.log.config()
    }

    /// Runs the timers of the current role.
    fn tick(&mut self) {
        match self.state {
            State::Leader(_) => self.tick_leader(),
            _ if self.may_campaign() => {
                if self.now >= self.election_due_at {
                    self.start_pre_vote();
                }
            }
            _ => self.tick_non_voter(),
        }
    }

    /// Runs the timers of a replica that is not a voter: new, catching up, or removed.
    fn tick_non_voter(&mut self) {
        if self.now >= self.election_due_at {
            self.leader = None;
        }
        self.tick_founding();
    }

    /// Commits, applies, answers and sends whatever the last input made possible.
    fn advance(&mut self) {
        self.count_acknowledgements();
        self.record_lease();
        self.advance_change();
        self.save_hard_state();
        self.apply_committed();
        self.answer_change();
        self.answer_reads();
        self.advance_transfer();
        self.replicate();
        self.remove_former_voters();
        self.save_hard_state();
    }

    /// Handles the report that writes are durable.
    fn handle_stored(&mut self, sequence: u64) {
        self.outbox.mark_durable(sequence, &mut self.outputs);
        self.count_own_vote();
    }

    /// Outputs the committed commands that have not been applied yet.
    fn apply_committed(&mut self) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.entry(self.applied_index + 1) else { return };
            self.applied_index += 1;
            self.applied_bytes += entry.size();
            let position = entry.position;
            if let Payload::Command(command) = &entry.payload {
                self.outputs.push(Output::Apply { position, command: command.clone() });
            }
            self.answer_proposal(position);
        }
    }

    /// Answers the proposal at a position that has been committed and applied.
    fn answer_proposal(&mut self, position: Position) {
        let State::Leader(leader_state) = &mut self.state else { return };
        let Some(proposal) = leader_state.proposals.remove(&position.index) else { return };
        leader_state.pending_bytes -= proposal.size;
        let answer = Answer::Committed(position);
        self.outputs.push(Output::Answer { token: proposal.token, answer });
    }

    /// Becomes a follower in the given term, which is the current one or a newer one.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<Instance>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted = None;
            self.hard_state_changed = true;
            self.outbox.discard_held();
            self.leader = None;
            self.incoming_snapshot = None;
        }
        if leader.is_some() {
            self.leader = leader;
        }
        let state = std::mem::replace(&mut self.state, State::Follower);
        if let State::Leader(leader_state) = state {
            self.leader = self.leader.take().filter(|leader| *leader != self.setup.instance);
            self.end_leadership(*leader_state);
        }
    }

    /// Chooses the next random election timeout.
    pub(crate) fn reset_election_timer(&mut self) {
        self.election_due_at = self.now + random_election_timeout(&self.setup, &mut self.random);
    }

    /// Returns whether this replica may campaign: it is in a voter set that is in force at the
    /// commit index or later.
    ///
    /// A leader that removes itself can lose power while it is the only voter with that log entry.
    /// The others can't be elected without its vote, and it grants no vote to a candidate with a
    /// shorter log. So it has to campaign itself until its removal is committed.
    pub fn may_campaign(&self) -> bool {
        self.hard_state.group.is_some() && self.log.is_voter_since(self.identity, self.commit_index)
    }

    /// Writes the hard state if it has changed.
    pub(crate) fn save_hard_state(&mut self) {
        if std::mem::take(&mut self.hard_state_changed) {
            self.outbox.write(Write::HardState(self.hard_state), &mut self.outputs);
        }
    }

    /// Appends log entries in memory and writes them.
    pub(crate) fn append_entries(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.save_hard_state();
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.outbox.write(Write::Append(entries), &mut self.outputs);
    }

    /// Builds a message in the current term.
    pub(crate) fn new_message(&self, target: Option<Identity>, body: Body) -> Message {
        let (group, sender, term) = (self.hard_state.group, self.identity, self.hard_state.term);
        Message { group, sender, target, term, body }
    }

    /// Sends a message at once, for messages that depend on no write.
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        self.outputs.push(Output::Send { to: to.clone(), message });
    }

    /// Sends a message as soon as the hard state is durable.
    pub(crate) fn send_after_hard_state(&mut self, to: &Instance, message: Message) {
        self.save_hard_state();
        self.outbox
            .send_after_hard_state(Output::Send { to: to.clone(), message }, &mut self.outputs);
    }

    /// Sends a message as soon as all writes so far are durable.
    pub(crate) fn send_after_writes(&mut self, to: &Instance, message: Message) {
        self.save_hard_state();
        self.outbox.send_after_writes(Output::Send { to: to.clone(), message }, &mut self.outputs);
    }
}

/// Returns the position before the first log entry held in memory, and the voter set in force
/// there.
fn log_base(recovered: &Recovered) -> (Position, Config) {
    let Some(snapshot) = &recovered.snapshot else {
        return (Position::default(), Config::default());
    };
    // The log entries before the end of the snapshot serve followers that lag. The term before the
    // first of them is not known, so that entry itself becomes the base. The voter set at the base
    // is not known either, but it is never needed, because committed entries are never truncated.
    let first = recovered.entries.first().map(|entry| entry.position);
    let base = first.filter(|first| first.index <= snapshot.position.index);
    (base.unwrap_or(snapshot.position), snapshot.config.clone())
}

/// Returns whether the power failed between the two writes that form a group.
///
/// In that state the hard state names a group, but the log does not contain its voters: no founder
/// would campaign or query the other founders again. No other instance knows of the group, because
/// no message is sent before both writes are durable. So the data directory is treated as new.
fn is_partially_founded(recovered: &Recovered) -> bool {
    let own = Some(Group(recovered.identity.0));
    let empty = recovered.entries.is_empty() && recovered.snapshot.is_none();
    empty && recovered.hard_state.group == own && recovered.hard_state.term == 1
}

/// Returns a random election timeout between one and two times the configured timeout.
fn random_election_timeout(setup: &Setup, random: &mut Pcg32) -> Duration {
    let shortest = setup.timing.election_timeout;
    let nanos = u64::try_from(shortest.as_nanos()).unwrap_or(u64::MAX).max(1);
    shortest + Duration::from_nanos(random.random_range(0..nanos))
}
