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
use crate::leader::Leading;
use crate::log::Log;
use crate::message::{Body, Message};
use crate::outbox::Outbox;
use crate::output::{Answer, Output, ReplicaRole, RoleUpdate};
use crate::setup::Setup;
use crate::snapshot::Receiving;
use crate::storage::{HardState, Recovered, Snapshot, Write};
use crate::voter::{Group, Identity, Voter};

/// Decides for one voter; see the crate's page for how the parts follow each other.
#[derive(Debug)]
pub struct Replica {
    pub(crate) setup: Setup,
    pub(crate) identity: Identity,
    pub(crate) hard: HardState,
    /// Whether the term, vote or group has changed since it was last written.
    pub(crate) unsaved: bool,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Bytes of entries applied since a snapshot was last asked for.
    pub(crate) grown: usize,
    /// The index for which a snapshot was last asked.
    pub(crate) wanted: u64,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<Instance>,
    /// When a leader was last heard, of whatever term.
    pub(crate) heard: Option<Duration>,
    /// When the next campaign begins.
    pub(crate) election: Duration,
    pub(crate) receiving: Option<Receiving>,
    pub(crate) founding: Founding,
    pub(crate) outbox: Outbox,
    pub(crate) now: Duration,
    pub(crate) out: Vec<Output>,
    generator: Pcg32,
    pub(crate) shown: RoleUpdate,
}

/// Holds what a replica does in its term.
#[derive(Debug)]
pub(crate) enum State {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes or pre-votes.
    Candidate(Campaign),
    /// Leads.
    Leader(Box<Leading>),
}

impl Replica {
    /// Opens a replica on what its folder holds.
    ///
    /// A snapshot in it comes out as `Install` at the first step.
    pub fn open(setup: Setup, recovered: Recovered, now: Duration) -> Self {
        let recovered = recovered.without_stale_entries();
        let (base, config) = base(&recovered);
        let hard =
            if is_half_founded(&recovered) { HardState::default() } else { recovered.hard_state };
        let mut log = Log::new(base, config);
        for entry in recovered.entries {
            if entry.position.index == log.last().index + 1 {
                log.push(entry);
            }
        }
        let mut generator = Pcg32::seed_from_u64(setup.seed);
        let commit = recovered.snapshot.as_ref().map_or(base.index, |s| s.position.index);
        // The voter may have acknowledged a leader just before it stopped, and that leader counts on
        // it for its lease. Granting a vote now would allow two valid leases, noticed as two leaders
        // that both give orders. So a restarted voter behaves as if it had just heard a leader.
        let heard = hard.group.map(|_| now);
        let election = now + timeout(&setup, &mut generator);
        let shown = RoleUpdate { term: hard.term, leader: None, role: ReplicaRole::Follower };
        let out: Vec<Output> = recovered.snapshot.iter().cloned().map(Output::Install).collect();
        Self {
            setup,
            identity: recovered.identity,
            hard,
            unsaved: false,
            outbox: Outbox::new(log.last().index),
            log,
            snapshot: recovered.snapshot,
            grown: 0,
            wanted: 0,
            commit,
            applied: commit,
            state: State::Follower,
            leader: None,
            heard,
            election,
            receiving: None,
            founding: Founding::new(now),
            now,
            out,
            generator,
            shown,
        }
    }

    /// Takes an input at a time on the local clock, and adds what is to be done to `out`, in order.
    ///
    /// Time never runs backwards here: an earlier `now` counts as the last one.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.receive(&from, message),
            Input::Propose { token, command } => self.propose(token, command),
            Input::Confirm { token } => self.confirm(token),
            Input::Stored { sequence: mark } => self.stored(mark),
            Input::Snapshot { index, state } => self.compact(index, state),
            Input::TransferLeadership => self.transfer(),
            Input::ChangeVoters { token, change } => self.change(token, change),
        }
        self.tick();
        self.advance();
        self.show();
        // The state machine's answer is a step of its own, whose writes must follow all of this one's.
        self.want_snapshot();
        out.append(&mut self.out);
    }

    /// Returns when the next `Tick` is due.
    pub fn next_tick(&self) -> Duration {
        match &self.state {
            State::Leader(leading) => leading.wake(&self.setup.timing),
            _ if self.may_campaign() => self.election,
            _ => self.founding.wake(),
        }
    }

    /// Returns the leader, where known.
    pub fn leader(&self) -> Option<&Instance> {
        self.leader.as_ref()
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.hard.term
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
        self.hard.group
    }

    /// Tells whether this replica was elected and has not stepped down; without a lease that proves
    /// nothing about other instances.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// Returns until when, on this instance's clock, no other replica can lead; none when not
    /// leading, or when the state does not yet cover everything committed before.
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        let State::Leader(leading) = &self.state else { return None };
        if !leading.lease || self.commit < leading.start {
            return None;
        }
        let until = leading.rounds.confirmed()?.began + self.setup.timing.lease();
        (now < until).then_some(until)
    }

    /// Returns the last index known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the last index handed out to be applied.
    pub fn applied(&self) -> u64 {
        self.applied
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
                if self.now >= self.election {
                    self.campaign();
                }
            }
            _ => self.tick_outsider(),
        }
    }

    /// Runs the timers of a replica that is no voter: new, catching up, or removed.
    fn tick_outsider(&mut self) {
        if self.now >= self.election {
            self.leader = None;
        }
        self.tick_founding();
    }

    /// Commits, applies, answers and sends what the last input made possible.
    fn advance(&mut self) {
        self.acknowledge();
        self.note_ready();
        self.advance_change();
        self.save();
        self.apply();
        self.answer_change();
        self.answer_confirms();
        self.advance_transfer();
        self.replicate();
        self.retire();
        self.save();
    }

    /// Takes the news that writes are durable.
    fn stored(&mut self, mark: u64) {
        self.outbox.stored(mark, &mut self.out);
        self.count_own_vote();
    }

    /// Hands out what is committed and not yet applied.
    fn apply(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else { return };
            self.applied += 1;
            self.grown += entry.size();
            let position = entry.position;
            if let Payload::Command(command) = &entry.payload {
                self.out.push(Output::Apply { position, command: command.clone() });
            }
            self.settle(position);
        }
    }

    /// Answers the proposal at a position that is now committed and applied.
    fn settle(&mut self, position: Position) {
        let State::Leader(leading) = &mut self.state else { return };
        let Some(proposal) = leading.proposals.remove(&position.index) else { return };
        leading.waiting -= proposal.size;
        let answer = Answer::Committed(position);
        self.out.push(Output::Answer { token: proposal.token, answer });
    }

    /// Takes up a term, newer or the same, as a follower.
    pub(crate) fn follow(&mut self, term: u64, leader: Option<Instance>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted = None;
            self.unsaved = true;
            self.outbox.forget();
            self.leader = None;
            self.receiving = None;
        }
        if leader.is_some() {
            self.leader = leader;
        }
        let state = std::mem::replace(&mut self.state, State::Follower);
        if let State::Leader(leading) = state {
            self.leader = self.leader.take().filter(|leader| *leader != self.setup.instance);
            self.resign(*leading);
        }
    }

    /// Draws the next election timeout.
    pub(crate) fn rest(&mut self) {
        self.election = self.now + timeout(&self.setup, &mut self.generator);
    }

    /// Tells whether this replica is a voter of a group, or was when the last known commit was made.
    ///
    /// A leader that removed itself may alone have the entry that says so, and lose power. The others
    /// can't be elected without its vote, which goes to no shorter log; so it must campaign itself.
    pub(crate) fn may_campaign(&self) -> bool {
        self.hard.group.is_some() && self.log.may_count(self.identity, self.commit)
    }

    /// Writes the term, vote and group if they have changed.
    pub(crate) fn save(&mut self) {
        if std::mem::take(&mut self.unsaved) {
            self.outbox.store(Write::HardState(self.hard), &mut self.out);
        }
    }

    /// Appends entries to the log and writes them.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.save();
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.outbox.store(Write::Append(entries), &mut self.out);
    }

    /// Makes a message in the present term.
    pub(crate) fn message(&self, target: Option<Identity>, body: Body) -> Message {
        let (group, sender, term) = (self.hard.group, self.identity, self.hard.term);
        Message { group, sender, target, term, body }
    }

    /// Sends a message that promises nothing.
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        self.out.push(Output::Send { to: to.clone(), message });
    }

    /// Sends a message that promises nothing but the term once that is durable.
    pub(crate) fn hold_term(&mut self, to: &Instance, message: Message) {
        self.save();
        self.outbox.hold_term(Output::Send { to: to.clone(), message }, &mut self.out);
    }

    /// Sends a message once everything written so far is durable.
    pub(crate) fn hold(&mut self, to: &Instance, message: Message) {
        self.save();
        self.outbox.hold(Output::Send { to: to.clone(), message }, &mut self.out);
    }
}

/// Returns the position before the first entry held in memory, and the voter set in force there.
fn base(recovered: &Recovered) -> (Position, Config) {
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
fn is_half_founded(recovered: &Recovered) -> bool {
    let own = Some(Group(recovered.identity.0));
    let empty = recovered.entries.is_empty() && recovered.snapshot.is_none();
    empty && recovered.hard_state.group == own && recovered.hard_state.term == 1
}

/// Draws an election timeout between once and twice the shortest one.
fn timeout(setup: &Setup, generator: &mut Pcg32) -> Duration {
    let shortest = setup.timing.election_timeout;
    let nanos = u64::try_from(shortest.as_nanos()).unwrap_or(u64::MAX).max(1);
    shortest + Duration::from_nanos(generator.random_range(0..nanos))
}
