//! Connects the replicated log to the instance and sends the proposals of all instances to it.

use std::time::Duration;

use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_replica::config::Change;
use verbenaslip_replica::input as log;
use verbenaslip_replica::output::{ReplicaRole, RoleUpdate};
use verbenaslip_replica::setup::{Setup, Timing};
use verbenaslip_state::{Command, Outcome, order, watch};
use verbenaslip_table::{Edit, Revision, change, edit};

use crate::message::{Message, ProposalAnswer};
use crate::node::{Node, Pending};
use crate::notice::Notice;
use crate::proposal::{Content, Proposal, Purpose, RESEND_INTERVAL, RETRY_DELAY};
use crate::voter::{Event, Voter};

/// Time limit for a proposal that no call waits for.
const UNATTENDED_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for a proposal of another instance, which sends the proposal again itself.
const FORWARDED_TIMEOUT: Duration = Duration::from_secs(5);

impl Node {
    /// Opens the replicated log if this instance has a data directory.
    pub(crate) fn open_voter(&mut self) {
        let Some(recovered) = self.setup.recovered.take() else { return };
        let founders = self.setup.voters.iter().map(|founder| founder.instance.clone()).collect();
        let mut setup = Setup::new(self.setup.instance.clone(), founders, self.setup.seed);
        setup.timing = Timing {
            heartbeat_interval: self.setup.timing.heartbeat_interval,
            election_timeout: self.setup.timing.election_timeout,
            ..Timing::default()
        };
        let mut events = Vec::new();
        self.voter = Some(Voter::open(setup, recovered, self.now, &mut events));
        self.pending.extend(events.into_iter().map(Pending::LogEvent));
    }

    /// Returns whether this instance is a member of the voter set.
    pub(crate) fn is_voter(&self) -> bool {
        let Some(voter) = &self.voter else { return false };
        voter.replica().voters().contains(voter.replica().identity())
    }

    /// Returns whether this instance leads the log and holds the leader's lease.
    pub(crate) fn leads(&self) -> bool {
        self.leader_lease().is_some_and(|until| until > self.now)
    }

    /// Tells the watch hub whether this instance leads, and until when its lease lasts.
    pub(crate) fn update_watch_leadership(&mut self) {
        if self.voter.is_none() {
            return;
        }
        let until = self.leader_lease().filter(|until| *until > self.now);
        self.enqueue(Pending::Watch(watch::Input::Leading(until)));
    }

    pub(crate) fn step_log(&mut self, input: log::Input) {
        let Some(voter) = &mut self.voter else { return };
        let mut events = Vec::new();
        voter.step(self.now, input, &mut events);
        self.pending.extend(events.into_iter().map(Pending::LogEvent));
    }

    pub(crate) fn handle_log_event(&mut self, event: Event) {
        match event {
            Event::Send { to, message } => self.send(&to, Message::Log(message)),
            Event::Store { sequence, write } => {
                self.out.push(crate::output::Output::Store { sequence, write });
            }
            Event::Committed { revision, command, table } => {
                let Command::Edit(edit) = command else { return };
                let changes = edit.changes.into();
                self.enqueue(Pending::Watch(watch::Input::Committed { revision, changes, table }));
            }
            Event::Restored { revision, table } => {
                self.enqueue(Pending::Watch(watch::Input::Restored { revision, table }));
            }
            Event::Answered { token, answer } => self.handle_proposal_answer(token, answer),
            Event::Role(role) => self.handle_role_change(role),
            Event::IdentityChanged(voter) => self.replace_voter(voter),
            Event::Unreadable(reason) => self.notify(Notice::Unreadable(reason)),
        }
    }

    /// Proposes a command and retries it until the timeout.
    pub(crate) fn propose(&mut self, command: Command, purpose: Purpose, timeout: Duration) {
        self.submit(Content::Command(Box::new(command)), purpose, timeout);
    }

    /// Proposes a command or a change of the voter set and retries it until the timeout.
    pub(crate) fn submit(&mut self, content: Content, purpose: Purpose, timeout: Duration) {
        let deadline = self.now + timeout;
        let proposal = Proposal {
            content,
            purpose,
            deadline,
            resend_at: self.now,
            sent: false,
            maybe_accepted: false,
            tries: 0,
        };
        let token = self.tokens.next();
        self.proposals.insert(token, proposal);
        self.send_proposal(token);
    }

    /// Handles a command that another instance sent to this one as the leader.
    pub(crate) fn handle_forwarded_command(
        &mut self,
        from: Instance,
        token: u64,
        command: Command,
    ) {
        if !command.has_valid_time(self.unix_ms()) {
            let text = "the clocks of the two instances differ too much; check both";
            let answer = ProposalAnswer::Refused(text.into());
            return self.send(&from, Message::ProposalResult { token, answer });
        }
        self.accept_forwarded(from, token, Content::Command(Box::new(command)));
    }

    /// Handles a change of the voter set that another instance sent to this one as the leader.
    pub(crate) fn handle_forwarded_change(&mut self, from: Instance, token: u64, change: Change) {
        self.accept_forwarded(from, token, Content::Change(change));
    }

    /// Handles the answer to a proposal.
    pub(crate) fn handle_proposal_answer(&mut self, token: u64, answer: ProposalAnswer) {
        let now = self.now;
        let Some(proposal) = self.proposals.get_mut(token) else { return };
        if matches!(proposal.purpose, Purpose::Forwarded { .. }) {
            return self.finish_proposal(token, answer);
        }
        match answer {
            ProposalAnswer::NotLeader { leader } => {
                proposal.sent = false;
                proposal.resend_at = now + RETRY_DELAY;
                proposal.tries += 1;
                self.leader = leader;
            }
            ProposalAnswer::Unknown => {
                proposal.maybe_accepted = true;
                proposal.resend_at = now + RETRY_DELAY;
            }
            ProposalAnswer::Done(_) | ProposalAnswer::Changed | ProposalAnswer::Refused(_) => {
                self.finish_proposal(token, answer)
            }
        }
    }

    /// Sends unanswered proposals again, and gives up those whose time limit has passed.
    pub(crate) fn resend_proposals(&mut self) {
        for token in self.proposals.due_tokens(self.now) {
            let now = self.now;
            let Some(proposal) = self.proposals.get_mut(token) else { continue };
            proposal.maybe_accepted |= std::mem::take(&mut proposal.sent);
            if proposal.deadline <= now {
                let maybe_accepted = proposal.maybe_accepted;
                let not_leader = ProposalAnswer::NotLeader { leader: None };
                self.finish_proposal(
                    token,
                    if maybe_accepted { ProposalAnswer::Unknown } else { not_leader },
                );
                continue;
            }
            self.send_proposal(token);
        }
    }

    /// Proposes the initial table if the log is empty.
    fn bootstrap(&mut self) {
        let empty = self.voter.as_ref().is_some_and(|voter| {
            let state = voter.state();
            state.revision() == Revision::default() && state.history().next().is_none()
        });
        let (Some(table), true) = (self.setup.table.clone(), empty) else { return };
        let Some(id) = edit::Id::new("initial-table") else { return };
        let changes = change::diff(&verbenaslip_table::Table::default(), &table);
        let edit = Edit {
            id,
            base: Revision::default(),
            operator: Operator::from("settings"),
            unix_ms: self.unix_ms(),
            changes,
        };
        self.propose(Command::Edit(edit), Purpose::Unattended, UNATTENDED_TIMEOUT);
    }

    fn handle_role_change(&mut self, role: RoleUpdate) {
        self.leader.clone_from(&role.leader);
        self.enqueue(Pending::Watch(watch::Input::Leader(role.leader.clone())));
        // A leadership that has ended must not be used until the next tick.
        self.update_watch_leadership();
        if role.role == ReplicaRole::Leader {
            self.bootstrap();
        }
        self.notify(Notice::Leader { term: role.term, leader: role.leader });
    }

    /// Replaces a voter that lost its disk and whose instance now runs with a new data directory.
    fn replace_voter(&mut self, voter: verbenaslip_replica::voter::Voter) {
        if !self.leads() {
            return;
        }
        self.notify(Notice::ReplacingVoter(voter.instance.clone()));
        let change = Change::Replace { old: voter.instance.clone(), new: voter };
        self.submit(Content::Change(change), Purpose::Unattended, UNATTENDED_TIMEOUT);
    }

    fn accept_forwarded(&mut self, from: Instance, token: u64, content: Content) {
        let leads = self.voter.as_ref().is_some_and(|voter| voter.replica().is_leader());
        if !leads {
            // Without the filter, the sender would be redirected to itself if this instance takes
            // it for the leader.
            let leader = self.leader.clone().filter(|leader| *leader != from);
            let answer = ProposalAnswer::NotLeader { leader };
            return self.send(&from, Message::ProposalResult { token, answer });
        }
        self.submit(content, Purpose::Forwarded { from, token }, FORWARDED_TIMEOUT);
    }

    /// Gives a proposal to the local log, or sends it to the instance that probably leads.
    fn send_proposal(&mut self, token: u64) {
        let now = self.now;
        let target = self.proposal_target(token);
        let Some(proposal) = self.proposals.get_mut(token) else { return };
        proposal.resend_at = now + RESEND_INTERVAL;
        let content = proposal.content.clone();
        match (&mut self.voter, target) {
            (Some(voter), None) if voter.replica().is_leader() => {
                // The log answers each proposal exactly once, so only the deadline limits the wait.
                proposal.resend_at = proposal.deadline;
                let mut events = Vec::new();
                match content {
                    Content::Command(command) => voter.propose(now, token, &command, &mut events),
                    Content::Change(change) => voter.change_voters(now, token, change, &mut events),
                }
                proposal.sent = true;
                self.pending.extend(events.into_iter().map(Pending::LogEvent));
            }
            (_, Some(target)) => {
                proposal.sent = true;
                proposal.tries += 1;
                let message = match content {
                    Content::Command(command) => Message::Propose { token, command },
                    Content::Change(change) => Message::Change { token, change },
                };
                self.send(&target, message);
            }
            _ => proposal.resend_at = now + RETRY_DELAY,
        }
    }

    /// Returns the instance to which a proposal is sent, or none for the local log.
    fn proposal_target(&mut self, token: u64) -> Option<Instance> {
        if self.voter.as_ref().is_some_and(|voter| voter.replica().is_leader()) {
            return None;
        }
        let tries = self.proposals.get_mut(token).map_or(0, |proposal| proposal.tries);
        self.likely_leader(tries)
    }

    /// Returns the known leader, or else the voters in turn.
    pub(crate) fn likely_leader(&self, tries: u32) -> Option<Instance> {
        let own = &self.setup.instance;
        // The known leader may be lost if it does not answer, so every other attempt uses a voter.
        if let Some(leader) =
            self.leader.as_ref().filter(|it| *it != own && tries.is_multiple_of(2))
        {
            return Some(leader.clone());
        }
        let others: Vec<&Instance> = self.voters.iter().filter(|it| *it != own).collect();
        let index = (tries as usize / 2).checked_rem(others.len())?;
        others.get(index).map(|instance| (*instance).clone())
    }

    fn leader_lease(&self) -> Option<Duration> {
        self.voter.as_ref()?.replica().lease_until(self.now)
    }

    /// Removes a proposal and delivers its answer to the component that waits for it.
    fn finish_proposal(&mut self, token: u64, answer: ProposalAnswer) {
        let Some(proposal) = self.proposals.remove(token) else { return };
        match proposal.purpose {
            Purpose::Edit { call, edit, wait } => {
                self.handle_edit_answer(call, *edit, wait, &answer)
            }
            Purpose::Claim { request, claimant, claim } => {
                self.handle_claim_answer(request, claimant, *claim, &answer);
            }
            Purpose::Drain { call, instance, operator } => {
                self.handle_drain_answer(call, &instance, operator, &answer)
            }
            Purpose::Voters { call } => self.handle_voter_change_answer(call, &answer),
            Purpose::OrderNumber { order } => self.handle_order_number(*order, &answer),
            Purpose::OrderEnd { upstream, fence } => {
                if committed_outcome(&answer).is_some() {
                    self.step_orders(order::Input::Ended { upstream, fence });
                }
            }
            Purpose::Forwarded { from, token } => {
                self.send(&from, Message::ProposalResult { token, answer });
            }
            Purpose::Unattended => {}
        }
    }
}

/// Returns the outcome of a committed command, or none if the command was not committed.
pub(crate) fn committed_outcome(answer: &ProposalAnswer) -> Option<&Outcome> {
    match answer {
        ProposalAnswer::Done(outcome) => Some(outcome),
        _ => None,
    }
}
