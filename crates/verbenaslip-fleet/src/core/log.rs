//! The replicated log within a core.

use std::sync::Arc;

use verbenaslip_replica::config::Change;
use verbenaslip_replica::entry::Position;
use verbenaslip_replica::input as replica;
use verbenaslip_replica::output::{Answer, Output as LogOutput};
use verbenaslip_replica::storage::Snapshot;
use verbenaslip_replica::voter::Voter;

use crate::core::{Core, Event, Output, address_of};
use crate::frame::Frame;
use crate::replicated_state::{Command, ReplicatedState};

impl Core {
    /// Gives the log an input, and does what it wants done.
    pub(crate) fn step_log(&mut self, input: replica::Input) {
        // A state that can't be read must not vote on: it would acknowledge what it can't apply.
        if self.broken {
            return;
        }
        let mut outputs = Vec::new();
        self.replica.step(self.now, input, &mut outputs);
        for output in outputs {
            self.logged(output);
        }
    }

    /// Has a command committed; returns the token of its answer.
    pub(crate) fn propose(&mut self, command: &Command) -> u64 {
        let token = self.token();
        self.step_log(replica::Input::Propose { token, command: command.encode() });
        token
    }

    /// Changes the voters, one change at a time.
    pub(crate) fn change(&mut self, change: Change) {
        if self.changing.is_some() {
            return;
        }
        let token = self.token();
        self.changing = Some(token);
        self.note(Event::VotersChanged { change: change.clone() });
        self.step_log(replica::Input::ChangeVoters { token, change });
    }

    fn logged(&mut self, output: LogOutput) {
        match output {
            LogOutput::Send { to, message } => {
                let from = self.replica.voter().instance;
                if let Some(to) = address_of(&to) {
                    self.send(to, Frame::Log { from, message: Box::new(message) });
                }
            }
            LogOutput::Store { sequence: mark, write } => {
                self.out.push(Output::Store { sequence: mark, write })
            }
            LogOutput::Apply { position, command } => self.apply(position, &command),
            LogOutput::Install(snapshot) => self.install(&snapshot),
            LogOutput::Answer { token, answer } => self.proposed(token, &answer),
            LogOutput::RoleChanged(role) => {
                let (term, duty, leader) = (role.term, role.role, role.leader);
                self.note(Event::Role { term, role: duty, leader });
            }
            LogOutput::RequestSnapshot { .. } => {
                let (index, state) = (self.applied, Arc::from(self.ledger.snapshot()));
                self.step_log(replica::Input::Snapshot { index, state });
            }
            LogOutput::IdentityChanged(voter) => self.stranger(voter),
            LogOutput::ReadIndex { .. } | LogOutput::ReadRejected { .. } => {}
        }
    }

    fn apply(&mut self, position: Position, bytes: &[u8]) {
        self.applied = position.index;
        match Command::decode(bytes) {
            Ok(command) => {
                let before = self.ledger.revision();
                if let Command::CloseWindow(window) = &command {
                    self.closing.remove(&window.number);
                }
                self.ledger.apply(command);
                if self.ledger.revision() != before {
                    self.note_sheet();
                }
            }
            Err(error) => self.unreadable(&format!("entry {}: {error}", position.index)),
        }
    }

    fn install(&mut self, snapshot: &Snapshot) {
        self.applied = snapshot.position.index;
        match ReplicatedState::restore(&snapshot.state) {
            Ok(ledger) => {
                self.ledger = ledger;
                self.note_sheet();
            }
            Err(error) => self.unreadable(&format!("snapshot at {}: {error}", self.applied)),
        }
    }

    fn proposed(&mut self, token: u64, answer: &Answer) {
        if self.changing == Some(token) {
            self.changing = None;
            return;
        }
        if self.noting_joins == Some(token) {
            self.noting_joins = None;
            return;
        }
        if self.noting_quarantine == Some(token) {
            self.noting_quarantine = None;
            return;
        }
        if self.deciding.values().any(|it| *it == token) {
            return self.deciding.retain(|_, it| *it != token);
        }
        if self.noting_departures == Some(token) {
            self.noting_departures = None;
            self.note_departures();
            return self.advance_calls();
        }
        self.adopted(token, matches!(answer, Answer::Committed(_)));
    }

    /// Replaces a voter whose disk was lost: its instance already runs another folder.
    fn stranger(&mut self, voter: Voter) {
        if self.is_leading() {
            self.change(Change::Replace { old: voter.instance.clone(), new: voter });
        }
    }

    fn note_sheet(&mut self) {
        self.adopted = self.now;
        let Some(edition) = self.ledger.current_table() else { return };
        let (revision, routes) = (edition.table.revision, edition.table.routes.len());
        self.note(Event::RouteTable { revision, routes });
        self.push_soon();
    }

    fn unreadable(&mut self, what: &str) {
        self.broken = true;
        self.note(Event::UnreadableLog(what.into()));
    }
}
