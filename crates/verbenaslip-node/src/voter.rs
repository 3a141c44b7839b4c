//! The replicated log and its state on an instance with a data directory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::Instance;
use verbenaslip_replica::config::Change;
use verbenaslip_replica::entry::Position;
use verbenaslip_replica::output::{self as log, RoleUpdate};
use verbenaslip_replica::setup::Setup;
use verbenaslip_replica::storage::{Recovered, Snapshot, Write};
use verbenaslip_replica::voter;
use verbenaslip_replica::{Replica, input, message};
use verbenaslip_state::claim::Limits;
use verbenaslip_state::{Command, Outcome, State};
use verbenaslip_table::{Revision, Table};

use crate::message::ProposalAnswer;

/// Largest number of outcomes that are kept until their proposals are answered.
const MAX_KEPT_OUTCOMES: usize = 4_096;

/// Holds a result of a voter's step.
pub(crate) enum Event {
    /// Sends a message to another voter.
    Send { to: Instance, message: message::Message },
    /// Writes to storage and syncs.
    Store { sequence: u64, write: Write },
    /// Reports a committed edit.
    Committed { revision: Revision, command: Command, table: Arc<Table> },
    /// Reports that the whole state was replaced by a snapshot.
    Restored { revision: Revision, table: Arc<Table> },
    /// Answers a proposal or a change of the voter set.
    Answered { token: u64, answer: ProposalAnswer },
    /// Reports a change of role, term or known leader.
    Role(RoleUpdate),
    /// Reports that a voter's instance runs with another data directory.
    IdentityChanged(voter::Voter),
    /// Reports that the state can't be read.
    Unreadable(String),
}

/// Runs the replicated log and applies its entries to the state.
pub(crate) struct Voter {
    replica: Replica,
    state: State,
    applied: u64,
    change_tokens: BTreeSet<u64>,
    outcomes: BTreeMap<u64, Outcome>,
    waiting_tokens: BTreeMap<u64, u64>,
    outputs: Vec<log::Output>,
    is_unreadable: bool,
}

impl Voter {
    /// Starts from the recovered content of the data directory.
    pub(crate) fn open(
        setup: Setup,
        recovered: Recovered,
        now: Duration,
        out: &mut Vec<Event>,
    ) -> Self {
        let snapshot = recovered.snapshot.clone();
        let mut voter = Self {
            replica: Replica::open(setup, recovered, now),
            state: State::new(Limits::default()),
            applied: 0,
            change_tokens: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            waiting_tokens: BTreeMap::new(),
            outputs: Vec::new(),
            is_unreadable: false,
        };
        if let Some(snapshot) = snapshot {
            voter.install(&snapshot, out);
        }
        voter
    }

    /// Handles one input of the log.
    pub(crate) fn step(&mut self, now: Duration, input: input::Input, out: &mut Vec<Event>) {
        // A voter that can't read the state must not vote: it would acknowledge entries it can't
        // apply.
        if self.is_unreadable {
            return;
        }
        if let input::Input::ChangeVoters { token, .. } = &input {
            self.change_tokens.insert(*token);
        }
        let mut outputs = std::mem::take(&mut self.outputs);
        self.replica.step(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.handle_output(now, output, out);
        }
        self.outputs = outputs;
    }

    /// Proposes a command.
    pub(crate) fn propose(
        &mut self,
        now: Duration,
        token: u64,
        command: &Command,
        out: &mut Vec<Event>,
    ) {
        let Ok(bytes) = postcard::to_stdvec(command) else {
            let answer = ProposalAnswer::Refused("the command can't be written".into());
            return out.push(Event::Answered { token, answer });
        };
        self.step(now, input::Input::Propose { token, command: bytes.into() }, out);
    }

    /// Proposes a change of the voter set.
    pub(crate) fn change_voters(
        &mut self,
        now: Duration,
        token: u64,
        change: Change,
        out: &mut Vec<Event>,
    ) {
        self.step(now, input::Input::ChangeVoters { token, change }, out);
    }

    /// Returns the time of the next tick.
    pub(crate) fn next_wakeup(&self) -> Duration {
        self.replica.next_tick()
    }

    /// Returns the replica, for its status.
    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the replicated state.
    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    fn handle_output(&mut self, now: Duration, output: log::Output, out: &mut Vec<Event>) {
        match output {
            log::Output::Send { to, message } => out.push(Event::Send { to, message }),
            log::Output::Store { sequence, write } => out.push(Event::Store { sequence, write }),
            log::Output::Apply { position, command } => self.apply(position, &command, out),
            log::Output::Install(snapshot) => self.install(&snapshot, out),
            log::Output::Answer { token, answer } => self.answer(token, answer, out),
            log::Output::RoleChanged(role) => out.push(Event::Role(role)),
            log::Output::RequestSnapshot { .. } => self.compact(now, out),
            log::Output::IdentityChanged(voter) => out.push(Event::IdentityChanged(voter)),
            log::Output::ReadIndex { .. } | log::Output::ReadRejected { .. } => {}
        }
    }

    fn apply(&mut self, position: Position, bytes: &[u8], out: &mut Vec<Event>) {
        self.applied = position.index;
        let Ok(command) = postcard::from_bytes::<Command>(bytes) else {
            // Skipping the entry would let this voter's state silently diverge from the others.
            self.is_unreadable = true;
            let reason = format!("entry {} can't be read by this version", position.index);
            return out.push(Event::Unreadable(reason));
        };
        let before = self.state.revision();
        let at = Fence { term: position.term, index: position.index };
        let outcome = self.state.apply(at, &command);
        let revision = self.state.revision();
        if revision > before {
            let table = self.state.table().clone();
            out.push(Event::Committed { revision, command, table });
        }
        if let Some(token) = self.waiting_tokens.remove(&position.index) {
            return out.push(Event::Answered { token, answer: ProposalAnswer::Done(outcome) });
        }
        if self.replica.is_leader() {
            self.outcomes.insert(position.index, outcome);
        }
        while self.outcomes.len() > MAX_KEPT_OUTCOMES {
            self.outcomes.pop_first();
        }
    }

    fn install(&mut self, snapshot: &Snapshot, out: &mut Vec<Event>) {
        self.applied = snapshot.position.index;
        match State::restore(&snapshot.state) {
            Ok(state) => {
                self.state = state;
                let (revision, table) = (self.state.revision(), self.state.table().clone());
                out.push(Event::Restored { revision, table });
            }
            Err(error) => {
                self.is_unreadable = true;
                out.push(Event::Unreadable(format!("snapshot at {}: {error}", self.applied)));
            }
        }
    }

    fn compact(&mut self, now: Duration, out: &mut Vec<Event>) {
        let (index, state) = (self.applied, self.state.snapshot().into());
        let mut outputs = Vec::new();
        self.replica.step(now, input::Input::Snapshot { index, state }, &mut outputs);
        for output in outputs {
            self.handle_output(now, output, out);
        }
    }

    fn answer(&mut self, token: u64, answer: log::Answer, out: &mut Vec<Event>) {
        let change = self.change_tokens.remove(&token);
        let answer = match answer {
            log::Answer::Committed(_) if change => ProposalAnswer::Changed,
            log::Answer::Committed(position) => match self.outcomes.remove(&position.index) {
                Some(outcome) => ProposalAnswer::Done(outcome),
                None if position.index > self.applied => {
                    self.waiting_tokens.insert(position.index, token);
                    return;
                }
                None => ProposalAnswer::Unknown,
            },
            log::Answer::Rejected(log::Rejection::NotLeader { leader }) => {
                ProposalAnswer::NotLeader { leader }
            }
            log::Answer::Rejected(
                log::Rejection::TransferInProgress | log::Rejection::Busy { .. },
            ) => ProposalAnswer::NotLeader { leader: None },
            log::Answer::Rejected(rejection) => {
                ProposalAnswer::Refused(rejection.to_string().into())
            }
            log::Answer::Unknown => ProposalAnswer::Unknown,
        };
        out.push(Event::Answered { token, answer });
    }
}
