//! The replicated log within the instance: its events, and proposals of every instance.

use std::time::Duration;

use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_replica::config::Change;
use verbenaslip_replica::input as log;
use verbenaslip_replica::output::{ReplicaRole, RoleUpdate};
use verbenaslip_replica::setup::{Setup, Timing};
use verbenaslip_state::{Command, Outcome, order, watch};
use verbenaslip_table::{Edit, Revision, change, edit};

use crate::message::{Message, ProposalAnswer};
use crate::node::{Node, Todo};
use crate::notice::Notice;
use crate::proposal::{NEXT, Proposal, Purpose, RESEND, Work};
use crate::voter::{Event, Voter};

/// How long a proposal that nobody waits for is tried.
const QUIET: Duration = Duration::from_secs(10);

/// How long another instance's proposal may take; its sender asks again.
const FORWARDED: Duration = Duration::from_secs(5);

impl Node {
    /// Opens the log where there is a data folder.
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
        self.todo.extend(events.into_iter().map(Todo::Logged));
    }

    /// Says whether this instance counts in the voter set.
    pub(crate) fn is_voter(&self) -> bool {
        let Some(voter) = &self.voter else { return false };
        voter.replica().voters().contains(voter.replica().identity())
    }

    /// Says whether this instance leads the log under a lease.
    pub(crate) fn leads(&self) -> bool {
        self.lease().is_some_and(|until| until > self.now)
    }

    /// Tells the watch whether, and until when, this instance leads.
    pub(crate) fn lead(&mut self) {
        if self.voter.is_none() {
            return;
        }
        let until = self.lease().filter(|until| *until > self.now);
        self.push(Todo::Watch(watch::Input::Leading(until)));
    }

    pub(crate) fn step_log(&mut self, input: log::Input) {
        let Some(voter) = &mut self.voter else { return };
        let mut events = Vec::new();
        voter.step(self.now, input, &mut events);
        self.todo.extend(events.into_iter().map(Todo::Logged));
    }

    pub(crate) fn logged(&mut self, event: Event) {
        match event {
            Event::Send { to, message } => self.send(&to, Message::Log(message)),
            Event::Store { mark, write } => {
                self.out.push(crate::output::Output::Store { sequence: mark, write });
            }
            Event::Committed { revision, command, table } => {
                let Command::Edit(edit) = command else { return };
                let changes = edit.changes.into();
                self.push(Todo::Watch(watch::Input::Committed { revision, changes, table }));
            }
            Event::Restored { revision, table } => {
                self.push(Todo::Watch(watch::Input::Restored { revision, table }));
            }
            Event::Answered { token, answer } => self.proposed(token, answer),
            Event::Role(role) => self.role(role),
            Event::Stranger(voter) => self.replace(voter),
            Event::Unreadable(what) => self.note(Notice::Unreadable(what)),
        }
    }

    /// Has a command committed, however long its patience lasts.
    pub(crate) fn propose(&mut self, command: Command, purpose: Purpose, patience: Duration) {
        self.submit(Work::Command(Box::new(command)), purpose, patience);
    }

    /// Has work committed, however long its patience lasts.
    pub(crate) fn submit(&mut self, work: Work, purpose: Purpose, patience: Duration) {
        let deadline = self.now + patience;
        let proposal = Proposal {
            work,
            purpose,
            deadline,
            due: self.now,
            sent: false,
            doubtful: false,
            tries: 0,
        };
        let token = self.tokens.draw();
        self.proposals.insert(token, proposal);
        self.launch(token);
    }

    /// Takes another instance's command, if this one leads.
    pub(crate) fn forwarded(&mut self, from: Instance, token: u64, command: Command) {
        if !command.has_valid_time(self.unix()) {
            let text = "the clocks of the two instances differ too much; check both";
            let answer = ProposalAnswer::Refused(text.into());
            return self.send(&from, Message::ProposalResult { token, answer });
        }
        self.forward(from, token, Work::Command(Box::new(command)));
    }

    /// Takes another instance's change of the voter set, if this one leads.
    pub(crate) fn forwarded_change(&mut self, from: Instance, token: u64, change: Change) {
        self.forward(from, token, Work::Change(change));
    }

    /// Takes what became of a proposal.
    pub(crate) fn proposed(&mut self, token: u64, answer: ProposalAnswer) {
        let now = self.now;
        let Some(proposal) = self.proposals.get_mut(token) else { return };
        if matches!(proposal.purpose, Purpose::Forwarded { .. }) {
            return self.conclude(token, answer);
        }
        match answer {
            ProposalAnswer::NotLeader { leader } => {
                proposal.sent = false;
                proposal.due = now + NEXT;
                proposal.tries += 1;
                self.leader = leader;
            }
            ProposalAnswer::Unknown => {
                proposal.doubtful = true;
                proposal.due = now + NEXT;
            }
            ProposalAnswer::Done(_) | ProposalAnswer::Changed | ProposalAnswer::Refused(_) => {
                self.conclude(token, answer)
            }
        }
    }

    /// Sends again, or gives up, what has waited long enough.
    pub(crate) fn resend(&mut self) {
        for token in self.proposals.due(self.now) {
            let now = self.now;
            let Some(proposal) = self.proposals.get_mut(token) else { continue };
            proposal.doubtful |= std::mem::take(&mut proposal.sent);
            if proposal.deadline <= now {
                let doubtful = proposal.doubtful;
                let nobody = ProposalAnswer::NotLeader { leader: None };
                self.conclude(token, if doubtful { ProposalAnswer::Unknown } else { nobody });
                continue;
            }
            self.launch(token);
        }
    }

    /// Makes the first table of an empty log.
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
            unix_ms: self.unix(),
            changes,
        };
        self.propose(Command::Edit(edit), Purpose::Nobody, QUIET);
    }

    fn role(&mut self, role: RoleUpdate) {
        self.leader.clone_from(&role.leader);
        self.push(Todo::Watch(watch::Input::Leader(role.leader.clone())));
        // A leadership that ended must not serve until the next beat.
        self.lead();
        if role.role == ReplicaRole::Leader {
            self.bootstrap();
        }
        self.note(Notice::Leader { term: role.term, leader: role.leader });
    }

    /// Replaces a voter whose disk was lost: its instance already runs another folder.
    fn replace(&mut self, voter: verbenaslip_replica::voter::Voter) {
        if !self.leads() {
            return;
        }
        self.note(Notice::ReplacingVoter(voter.instance.clone()));
        let change = Change::Replace { old: voter.instance.clone(), new: voter };
        self.submit(Work::Change(change), Purpose::Nobody, QUIET);
    }

    fn forward(&mut self, from: Instance, token: u64, work: Work) {
        let leads = self.voter.as_ref().is_some_and(|voter| voter.replica().is_leader());
        if !leads {
            // Asked by the leader this instance believes in, it would send the asker in a circle.
            let leader = self.leader.clone().filter(|leader| *leader != from);
            let answer = ProposalAnswer::NotLeader { leader };
            return self.send(&from, Message::ProposalResult { token, answer });
        }
        self.submit(work, Purpose::Forwarded { from, token }, FORWARDED);
    }

    /// Gives a proposal to the log here, or to whoever is likely to lead.
    fn launch(&mut self, token: u64) {
        let now = self.now;
        let target = self.target(token);
        let Some(proposal) = self.proposals.get_mut(token) else { return };
        proposal.due = now + RESEND;
        let work = proposal.work.clone();
        match (&mut self.voter, target) {
            (Some(voter), None) if voter.replica().is_leader() => {
                // The log answers each proposal once; the deadline bounds the wait for it.
                proposal.due = proposal.deadline;
                let mut events = Vec::new();
                match work {
                    Work::Command(command) => voter.propose(now, token, &command, &mut events),
                    Work::Change(change) => voter.change(now, token, change, &mut events),
                }
                proposal.sent = true;
                self.todo.extend(events.into_iter().map(Todo::Logged));
            }
            (_, Some(target)) => {
                proposal.sent = true;
                proposal.tries += 1;
                let message = match work {
                    Work::Command(command) => Message::Propose { token, command },
                    Work::Change(change) => Message::Change { token, change },
                };
                self.send(&target, message);
            }
            _ => proposal.due = now + NEXT,
        }
    }

    /// Chooses whom to give a proposal: none means the log here.
    fn target(&mut self, token: u64) -> Option<Instance> {
        if self.voter.as_ref().is_some_and(|voter| voter.replica().is_leader()) {
            return None;
        }
        let tries = self.proposals.get_mut(token).map_or(0, |proposal| proposal.tries);
        self.likely_leader(tries)
    }

    /// Returns the leader as far as it is known, else one voter after the other.
    pub(crate) fn likely_leader(&self, tries: u32) -> Option<Instance> {
        let own = &self.setup.instance;
        // A believed leader that does not answer may be lost; every other try goes elsewhere.
        if let Some(leader) =
            self.leader.as_ref().filter(|it| *it != own && tries.is_multiple_of(2))
        {
            return Some(leader.clone());
        }
        let others: Vec<&Instance> = self.voters.iter().filter(|it| *it != own).collect();
        let index = (tries as usize / 2).checked_rem(others.len())?;
        others.get(index).map(|instance| (*instance).clone())
    }

    fn lease(&self) -> Option<Duration> {
        self.voter.as_ref()?.replica().lease_until(self.now)
    }

    /// Ends a proposal and tells whoever waits.
    fn conclude(&mut self, token: u64, answer: ProposalAnswer) {
        let Some(proposal) = self.proposals.remove(token) else { return };
        match proposal.purpose {
            Purpose::Edit { call, made, wait } => self.edited(call, *made, wait, &answer),
            Purpose::Claim { request, claimant, claim } => {
                self.claimed(request, claimant, *claim, &answer);
            }
            Purpose::Drain { call, instance, by } => self.drained(call, &instance, by, &answer),
            Purpose::Voters { call } => self.voted(call, &answer),
            Purpose::Order { order } => self.numbered(*order, &answer),
            Purpose::Ordered { upstream, fence } => {
                if outcome(&answer).is_some() {
                    self.step_orders(order::Input::Ended { upstream, fence });
                }
            }
            Purpose::Forwarded { from, token } => {
                self.send(&from, Message::ProposalResult { token, answer });
            }
            Purpose::Nobody => {}
        }
    }
}

/// Returns the outcome of a committed command.
pub(crate) fn outcome(answer: &ProposalAnswer) -> Option<&Outcome> {
    match answer {
        ProposalAnswer::Done(outcome) => Some(outcome),
        _ => None,
    }
}
