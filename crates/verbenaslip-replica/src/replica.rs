//! One voter of the replicated log.

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

/// Decides for one voter; see the crate's page for how the parts follow each other.
#[derive(Debug)]
pub struct Replica {
    pub(crate) setup: Setup,
    pub(crate) identity: Identity,
    pub(crate) hard_state: HardState,
    /// Whether the term, vote or group has changed since it was last written.
    pub(crate) hard_state_changed: bool,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Bytes of entries applied since a snapshot was last asked for.
    pub(crate) applied_bytes: usize,
    /// The index for which a snapshot was last asked.
    pub(crate) requested_snapshot: u64,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<Instance>,
    /// When a leader was last heard, of whatever term.
    pub(crate) leader_heard_at: Option<Duration>,
    /// When the next campaign begins.
    pub(crate) election_due_at: Duration,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) founding: Founding,
    pub(crate) outbox: Outbox,
    pub(crate) now: Duration,
    pub(crate) outputs: Vec<Output>,
    random: Pcg32,
    pub(crate) reported_role: RoleUpdate,
}

/// Holds what a replica does in its term.
#[derive(Debug)]
pub(crate) enum State {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes or pre-votes.
    Candidate(Campaign),
    /// Leads.
    Leader(Box<LeaderState>),
}

impl Replica {
    /// Opens a replica on what its folder holds.
    ///
    /// A snapshot in it comes out as `Install` at the first step.
    pub fn open(setup: Setup, recovered: Recovered, now: Duration) -> Self {
        let recovered = recovered.without_stale_entries();
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
        // The voter may have acknowledged a leader just before it stopped, and that leader counts on
        // it for its lease. Granting a vote now would allow two valid leases, noticed as two leaders
        // that both give orders. So a restarted voter behaves as if it had just heard a leader.
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

    /// Takes an input at a time on the local clock, and adds what is to be done to `out`, in order.
    ///
    /// Time never runs backwards here: an earlier `now` counts as the last one.
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
        // The state machine's answer is a step of its own, whose writes must follow all of this one's.
        self.request_snapshot();
        outputs.append(&mut self.outputs);
    }

    /// Returns when the next `Tick` is due.
    pub fn next_tick(&self) -> Duration {
        match &self.state {
            State::Leader(leader_state) => leader_state.next_tick(&self.setup.timing),
            _ if self.may_campaign() => self.election_due_at,
            _ => self.founding.next_tick(),
        }
    }

    /// Returns the leader, where known.
    pub fn leader(&self) -> Option<&Instance> {
        self.leader.as_ref()
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the identity of the folder.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns this replica as a voter, for a change that adds it.
    pub fn voter(&self) -> Voter {
        Voter { instance: self.setup.instance.clone(), identity: self.identity }
    }

    /// Returns the group, none before the first contact with it.
    pub fn group(&self) -> Option<Group> {
        self.hard_state.group
    }

    /// Tells whether this replica was elected and has not stepped down; without a lease that proves
    /// nothing about other instances.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// Returns until when, on this instance's clock, no other replica can lead; none when not
    /// leading, or when the state does not yet cover everything committed before.
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

    /// Returns the last index handed out to be applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the voter set in force, committed or not.
    pub fn voters(&self) -> &Config {
        self.log.config()
    }

    /// Runs the timers.
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

    /// Runs the timers of a replica that is no voter: new, catching up, or removed.
    fn tick_non_voter(&mut self) {
        if self.now >= self.election_due_at {
            self.leader = None;
        }
        self.tick_founding();
    }

    /// Commits, applies, answers and sends what the last input made possible.
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

    /// Takes the news that writes are durable.
    fn handle_stored(&mut self, sequence: u64) {
        self.outbox.mark_durable(sequence, &mut self.outputs);
        self.count_own_vote();
    }

    /// Hands out what is committed and not yet applied.
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

    /// Answers the proposal at a position that is now committed and applied.
    fn answer_proposal(&mut self, position: Position) {
        let State::Leader(leader_state) = &mut self.state else { return };
        let Some(proposal) = leader_state.proposals.remove(&position.index) else { return };
        leader_state.pending_bytes -= proposal.size;
        let answer = Answer::Committed(position);
        self.outputs.push(Output::Answer { token: proposal.token, answer });
    }

    /// Takes up a term, newer or the same, as a follower.
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

    /// Draws the next election timeout.
    pub(crate) fn reset_election_timer(&mut self) {
        self.election_due_at = self.now + random_election_timeout(&self.setup, &mut self.random);
    }

    /// Tells whether this replica is a voter of a group, or was when the last known commit was made.
    ///
    /// A leader that removed itself may alone have the entry that says so, and lose power. The others
    /// can't be elected without its vote, which goes to no shorter log; so it must campaign itself.
    pub(crate) fn may_campaign(&self) -> bool {
        self.hard_state.group.is_some() && self.log.is_voter_since(self.identity, self.commit_index)
    }

    /// Writes the term, vote and group if they have changed.
    pub(crate) fn save_hard_state(&mut self) {
        if std::mem::take(&mut self.hard_state_changed) {
            self.outbox.write(Write::HardState(self.hard_state), &mut self.outputs);
        }
    }

    /// Appends entries to the log and writes them.
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

    /// Makes a message in the present term.
    pub(crate) fn new_message(&self, target: Option<Identity>, body: Body) -> Message {
        let (group, sender, term) = (self.hard_state.group, self.identity, self.hard_state.term);
        Message { group, sender, target, term, body }
    }

    /// Sends a message that promises nothing.
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        self.outputs.push(Output::Send { to: to.clone(), message });
    }

    /// Sends a message that promises nothing but the term once that is durable.
    pub(crate) fn send_after_hard_state(&mut self, to: &Instance, message: Message) {
        self.save_hard_state();
        self.outbox
            .send_after_hard_state(Output::Send { to: to.clone(), message }, &mut self.outputs);
    }

    /// Sends a message once everything written so far is durable.
    pub(crate) fn send_after_writes(&mut self, to: &Instance, message: Message) {
        self.save_hard_state();
        self.outbox.send_after_writes(Output::Send { to: to.clone(), message }, &mut self.outputs);
    }
}

/// Returns the position before the first entry held in memory, and the voter set in force there.
fn log_base(recovered: &Recovered) -> (Position, Config) {
    let Some(snapshot) = &recovered.snapshot else {
        return (Position::default(), Config::default());
    };
    // The tail before the snapshot's end serves followers that lag. The term before its first entry
    // is not known, so that entry becomes the base. The set in force there is not known either, but
    // nobody asks for it: what is committed is never cut off.
    let first = recovered.entries.first().map(|entry| entry.position);
    let base = first.filter(|first| first.index <= snapshot.position.index);
    (base.unwrap_or(snapshot.position), snapshot.config.clone())
}

/// Tells whether the power failed between the two writes that found a group.
///
/// Then the term says that there is a group, and the log does not say who is in it: no founder would
/// ever campaign, nor ask the others again. Nobody else has heard of that group, since no message
/// leaves before both writes are durable; so the folder counts as new.
fn is_partially_founded(recovered: &Recovered) -> bool {
    let own = Some(Group(recovered.identity.0));
    let empty = recovered.entries.is_empty() && recovered.snapshot.is_none();
    empty && recovered.hard_state.group == own && recovered.hard_state.term == 1
}

/// Draws an election timeout between once and twice the shortest one.
fn random_election_timeout(setup: &Setup, random: &mut Pcg32) -> Duration {
    let shortest = setup.timing.election_timeout;
    let nanos = u64::try_from(shortest.as_nanos()).unwrap_or(u64::MAX).max(1);
    shortest + Duration::from_nanos(random.random_range(0..nanos))
}
