//! The leader: proposals, rounds, commits and reads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::change::PendingChange;
use crate::entry::{Entry, Payload, Position};
use crate::output::{Answer, Output, Rejection};
use crate::peer::Peer;
use crate::replica::{Replica, State};
use crate::round::Rounds;
use crate::setup::Timing;
use crate::transfer::Transfer;
use crate::voter::{Identity, Voter};

/// Holds the state of a leader during one term.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// The followers and the voters that catch up.
    pub(crate) peers: BTreeMap<Identity, Peer>,
    /// The index of the first log entry of the term.
    pub(crate) first_index: u64,
    /// When this replica was elected.
    pub(crate) elected_at: Duration,
    /// The rounds of the term.
    pub(crate) rounds: Rounds,
    /// When the next heartbeats are due.
    pub(crate) next_heartbeat: Duration,
    /// Whether this step must send a message to every follower.
    pub(crate) heartbeat_due: bool,
    /// The proposals that wait for a quorum, by index.
    pub(crate) proposals: BTreeMap<u64, PendingProposal>,
    /// The total size of the pending proposals, in bytes.
    pub(crate) pending_bytes: usize,
    /// The reads that wait for a round to be confirmed.
    pub(crate) pending_reads: Vec<PendingRead>,
    /// The voter change that was requested in this term.
    pub(crate) voter_change: Option<PendingChange>,
    /// The leadership transfer in progress.
    pub(crate) transfer: Option<Transfer>,
    /// Whether this leader may hold a lease. Stays false for the rest of the term once a follower
    /// was asked to campaign.
    pub(crate) may_hold_lease: bool,
    /// Whether this leader has held a lease in this term.
    pub(crate) had_lease: bool,
    /// The new identities seen on instances of voters.
    pub(crate) changed_identities: BTreeMap<Instance, Identity>,
}

/// Holds a proposal that waits for a quorum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProposal {
    pub(crate) token: u64,
    pub(crate) size: usize,
}

/// Holds a read that waits for its round to be confirmed.
#[derive(Debug)]
pub(crate) struct PendingRead {
    token: u64,
    /// The first round that began after the read was requested.
    round: u64,
}

impl LeaderState {
    /// Returns the state of a newly elected leader.
    pub(crate) fn new(now: Duration, first_index: u64, others: Vec<Voter>) -> Self {
        let peer = |voter: Voter| (voter.identity, Peer::new(voter, first_index));
        Self {
            peers: others.into_iter().map(peer).collect(),
            first_index,
            elected_at: now,
            rounds: Rounds::default(),
            next_heartbeat: now,
            heartbeat_due: false,
            proposals: BTreeMap::new(),
            pending_bytes: 0,
            pending_reads: Vec::new(),
            voter_change: None,
            transfer: None,
            may_hold_lease: true,
            had_lease: false,
            changed_identities: BTreeMap::new(),
        }
    }

    /// Returns when the next timer is due.
    pub(crate) fn next_tick(&self, timing: &Timing) -> Duration {
        let change = self.voter_change.as_ref().map(PendingChange::deadline);
        let transfer = self.transfer.as_ref().map(Transfer::deadline);
        let quorum_deadline = Some(self.quorum_deadline(timing));
        [change, transfer, quorum_deadline]
            .into_iter()
            .flatten()
            .fold(self.next_heartbeat, Duration::min)
    }

    /// Returns whether a pending read needs a round that has not begun, while no other round is
    /// open.
    pub(crate) fn needs_round(&self) -> bool {
        let newest_round = self.pending_reads.iter().map(|read| read.round).max().unwrap_or(0);
        newest_round > self.rounds.number() && !self.rounds.is_open()
    }

    /// Returns when this leader steps down unless a quorum confirms another round.
    fn quorum_deadline(&self, timing: &Timing) -> Duration {
        let last_confirmed_at =
            self.rounds.confirmed().map_or(self.elected_at, |round| round.started_at);
        last_confirmed_at + timing.election_timeout * 2
    }
}

impl Replica {
    /// Handles a proposal.
    pub(crate) fn propose(&mut self, token: u64, command: Arc<[u8]>) {
        if let Err(rejection) = self.check_proposal(command.len()) {
            self.outputs.push(Output::Answer { token, answer: Answer::Rejected(rejection) });
            return;
        }
        let size = command.len();
        let index = self.append_payload(Payload::Command(command));
        let State::Leader(leader_state) = &mut self.state else { return };
        leader_state.pending_bytes += size;
        leader_state.proposals.insert(index, PendingProposal { token, size });
    }

    /// Handles a request for a read index.
    pub(crate) fn read_index(&mut self, token: u64) {
        let State::Leader(leader_state) = &mut self.state else {
            self.outputs.push(Output::ReadRejected { token, leader: self.leader.clone() });
            return;
        };
        let round = leader_state.rounds.number() + 1;
        leader_state.pending_reads.push(PendingRead { token, round });
    }

    /// Appends the first log entry of a term.
    pub(crate) fn append_empty(&mut self) {
        self.append_payload(Payload::Empty);
    }

    /// Appends a log entry of the current term and returns its index.
    pub(crate) fn append_payload(&mut self, payload: Payload) -> u64 {
        let position = Position { term: self.hard_state.term, index: self.log.last().index + 1 };
        self.append_entries(vec![Entry { position, payload }]);
        position.index
    }

    /// Runs the timers of a leader.
    pub(crate) fn tick_leader(&mut self) {
        let State::Leader(leader_state) = &mut self.state else { return };
        // Without this, an isolated leader would keep its callers waiting while others elect a new
        // leader.
        if self.now >= leader_state.quorum_deadline(&self.setup.timing) {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if self.now >= leader_state.next_heartbeat {
            leader_state.next_heartbeat = self.now + self.setup.timing.heartbeat_interval;
            leader_state.heartbeat_due = true;
        }
        self.tick_change();
        self.tick_transfer();
    }

    /// Updates the confirmed round and the commit index from the acknowledgements of a quorum.
    pub(crate) fn count_acknowledgements(&mut self) {
        let State::Leader(leader_state) = &mut self.state else { return };
        let (own_identity, config) = (self.identity, self.log.config());
        let newest_round = leader_state.rounds.number();
        let round = config.quorum_value(|identity| match leader_state.peers.get(&identity) {
            Some(peer) => peer.acknowledged_round,
            None => {
                if identity == own_identity {
                    newest_round
                } else {
                    0
                }
            }
        });
        leader_state.rounds.acknowledge(round);
        let own_match_index = self.outbox.durable_index();
        let match_index = config.quorum_value(|identity| match leader_state.peers.get(&identity) {
            Some(peer) => peer.match_index,
            None => {
                if identity == own_identity {
                    own_match_index
                } else {
                    0
                }
            }
        });
        // A log entry of an older term can be replaced even if a quorum stores it, namely by a
        // leader whose log ends with a newer term. Only an entry of the current term commits the
        // entries before it.
        if match_index > self.commit_index
            && self.log.term(match_index) == Some(self.hard_state.term)
        {
            self.commit_index = match_index;
        }
    }

    /// Records that this leader has held a lease.
    ///
    /// A late answer can confirm a first round that is older than the lease duration, when a newer
    /// leader may already exist. Only a valid lease proves that the state of this leader is
    /// current.
    pub(crate) fn record_lease(&mut self) {
        let has_lease = self.lease_until(self.now).is_some();
        let State::Leader(leader_state) = &mut self.state else { return };
        leader_state.had_lease |= has_lease;
    }

    /// Answers the pending reads whose round is confirmed, or all of them while the lease is valid.
    pub(crate) fn answer_reads(&mut self) {
        let has_lease = self.lease_until(self.now).is_some();
        let State::Leader(leader_state) = &mut self.state else { return };
        if leader_state.pending_reads.is_empty() || self.commit_index < leader_state.first_index {
            return;
        }
        let confirmed = leader_state.rounds.confirmed().map_or(0, |round| round.number);
        let index = self.commit_index;
        let outputs = &mut self.outputs;
        leader_state.pending_reads.retain(|read| {
            let is_waiting = !has_lease && read.round > confirmed;
            if !is_waiting {
                outputs.push(Output::ReadIndex { token: read.token, index });
            }
            is_waiting
        });
    }

    /// Ends this replica's leadership and answers everything that is pending.
    pub(crate) fn end_leadership(&mut self, leader_state: LeaderState) {
        self.reset_election_timer();
        for PendingProposal { token, .. } in leader_state.proposals.into_values() {
            self.outputs.push(Output::Answer { token, answer: Answer::Unknown });
        }
        for read in leader_state.pending_reads {
            let leader = self.leader.clone();
            self.outputs.push(Output::ReadRejected { token: read.token, leader });
        }
        let Some(change) = leader_state.voter_change else { return };
        let rejection = Rejection::NotLeader { leader: self.leader.clone() };
        self.outputs.push(change.abort_answer(rejection));
    }

    /// Returns an error if a proposal of the given size can't be accepted.
    fn check_proposal(&self, size: usize) -> Result<(), Rejection> {
        let State::Leader(leader_state) = &self.state else {
            return Err(Rejection::NotLeader { leader: self.leader.clone() });
        };
        if leader_state.transfer.is_some() {
            return Err(Rejection::TransferInProgress);
        }
        let limit = self.setup.limits.max_command_bytes;
        if size > limit {
            return Err(Rejection::TooLarge { size: size as u64, limit: limit as u64 });
        }
        let pending = leader_state.proposals.len();
        let exceeds_bytes = leader_state.pending_bytes + size > self.setup.limits.max_pending_bytes;
        if pending >= self.setup.limits.max_pending_proposals || (exceeds_bytes && pending > 0) {
            return Err(Rejection::Busy { pending: pending as u64 });
        }
        Ok(())
    }
}
