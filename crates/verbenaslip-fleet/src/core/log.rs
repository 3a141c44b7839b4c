//! The replicated log of a core.

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
    /// Passes an input to the log and handles its outputs.
    pub(crate) fn step_log(&mut self, input: replica::Input) {
        // A core whose state is unreadable must not vote, since it would acknowledge commands that
        // it can't apply.
        if self.state_unreadable {
            return;
        }
        let mut outputs = Vec::new();
        self.replica.step(self.now, input, &mut outputs);
        for output in outputs {
            self.handle_log_output(output);
        }
    }

    /// Proposes a command; returns the token of the answer.
    pub(crate) fn propose(&mut self, command: &Command) -> u64 {
        let token = self.next_token();
        self.step_log(replica::Input::Propose { token, command: command.encode() });
        token
    }

    /// Changes the voters, one change at a time.
    pub(crate) fn change_voters(&mut self, change: Change) {
        if self.voter_change.is_some() {
            return;
        }
        let token = self.next_token();
        self.voter_change = Some(token);
        self.emit(Event::VotersChanged { change: change.clone() });
        self.step_log(replica::Input::ChangeVoters { token, change });
    }

    fn handle_log_output(&mut self, output: LogOutput) {
        match output {
            LogOutput::Send { to, message } => {
                let from = self.replica.voter().instance;
                if let Some(to) = address_of(&to) {
                    self.send(to, Frame::Log { from, message: Box::new(message) });
                }
            }
            LogOutput::Store { sequence, write } => {
                self.outputs.push(Output::Store { sequence, write })
            }
            LogOutput::Apply { position, command } => self.apply(position, &command),
            LogOutput::Install(snapshot) => self.install_snapshot(&snapshot),
            LogOutput::Answer { token, answer } => self.handle_log_answer(token, &answer),
            LogOutput::RoleChanged(change) => {
                let (term, role, leader) = (change.term, change.role, change.leader);
                self.emit(Event::Role { term, role, leader });
            }
            LogOutput::RequestSnapshot { .. } => {
                let (index, state) =
                    (self.applied_index, Arc::from(self.replicated_state.snapshot()));
                self.step_log(replica::Input::Snapshot { index, state });
            }
            LogOutput::IdentityChanged(voter) => self.replace_wiped_voter(voter),
            LogOutput::ReadIndex { .. } | LogOutput::ReadRejected { .. } => {}
        }
    }

    fn apply(&mut self, position: Position, bytes: &[u8]) {
        self.applied_index = position.index;
        match Command::decode(bytes) {
            Ok(command) => {
                let before = self.replicated_state.revision();
                if let Command::CloseWindow(window) = &command {
                    self.closing_windows.remove(&window.number);
                }
                self.replicated_state.apply(command);
                if self.replicated_state.revision() != before {
                    self.emit_route_table();
                }
                if self.is_leading() {
                    self.publish_version_history();
                }
            }
            Err(error) => self.mark_unreadable(&format!("log entry {}: {error}", position.index)),
        }
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) {
        self.applied_index = snapshot.position.index;
        match ReplicatedState::restore(&snapshot.state) {
            Ok(state) => {
                self.replicated_state = state;
                self.emit_route_table();
            }
            Err(error) => self
                .mark_unreadable(&format!("snapshot at log index {}: {error}", self.applied_index)),
        }
    }

    fn handle_log_answer(&mut self, token: u64, answer: &Answer) {
        if self.voter_change == Some(token) {
            self.voter_change = None;
            return;
        }
        if self.joins_proposal == Some(token) {
            self.joins_proposal = None;
            self.propose_joins();
            return self.propose_versions();
        }
        if self.quarantine_proposal == Some(token) {
            self.quarantine_proposal = None;
            return;
        }
        if self.verdict_proposals.values().any(|proposal| *proposal == token) {
            return self.verdict_proposals.retain(|_, proposal| *proposal != token);
        }
        if self.departures_proposal == Some(token) {
            self.departures_proposal = None;
            self.propose_departures();
            return self.advance_calls();
        }
        self.handle_proposal_result(token, matches!(answer, Answer::Committed(_)));
    }

    /// Replaces a voter whose disk was lost: its instance runs with a new data directory.
    fn replace_wiped_voter(&mut self, voter: Voter) {
        if self.is_leading() {
            self.change_voters(Change::Replace { old: voter.instance.clone(), new: voter });
        }
    }

    fn emit_route_table(&mut self) {
        self.route_table_applied_at = self.now;
        let Some(current) = self.replicated_state.current_table() else { return };
        let (revision, routes) = (current.table.revision, current.table.routes.len());
        self.emit(Event::RouteTable { revision, routes });
        self.schedule_push();
    }

    fn mark_unreadable(&mut self, cause: &str) {
        self.state_unreadable = true;
        self.emit(Event::UnreadableLog(cause.into()));
    }
}
