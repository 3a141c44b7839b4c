//! What a leader does: proposals, rounds, commit and reads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::change::Changing;
use crate::entry::{Entry, Payload, Position};
use crate::output::{Answer, Output, Rejection};
use crate::peer::Peer;
use crate::replica::{Replica, State};
use crate::round::Rounds;
use crate::setup::Timing;
use crate::transfer::Transfer;
use crate::voter::{Identity, Voter};

/// Holds what a leader keeps for one term.
#[derive(Debug)]
pub(crate) struct Leading {
    /// The followers, and voters that catch up.
    pub(crate) peers: BTreeMap<Identity, Peer>,
    /// The index of the first entry of the term.
    pub(crate) start: u64,
    /// When it was elected.
    pub(crate) since: Duration,
    /// The rounds of the term.
    pub(crate) rounds: Rounds,
    /// When the next heartbeats are due.
    pub(crate) beat: Duration,
    /// Whether a message must go to every follower in this step.
    pub(crate) beating: bool,
    /// Proposals that wait for a quorum, by index.
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    /// The bytes of these proposals.
    pub(crate) waiting: usize,
    /// Confirmations that wait for a round.
    pub(crate) confirms: Vec<Confirm>,
    /// The change of the voter set that was asked for in this term.
    pub(crate) change: Option<Changing>,
    /// The handing over of leadership.
    pub(crate) transfer: Option<Transfer>,
    /// Whether a lease may be held; not again in this term once an election was asked for.
    pub(crate) lease: bool,
    /// Whether a lease was held in this term.
    pub(crate) ready: bool,
    /// The other folders seen at voters' instances.
    pub(crate) strangers: BTreeMap<Instance, Identity>,
}

/// Holds one proposal that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proposal {
    pub(crate) token: u64,
    pub(crate) size: usize,
}

/// Holds one confirmation that waits.
#[derive(Debug)]
pub(crate) struct Confirm {
    token: u64,
    /// The first round that began after the question.
    round: u64,
}

impl Leading {
    /// Starts a term of leadership.
    pub(crate) fn new(now: Duration, start: u64, others: Vec<Voter>) -> Self {
        let peer = |voter: Voter| (voter.identity, Peer::new(voter, start));
        Self {
            peers: others.into_iter().map(peer).collect(),
            start,
            since: now,
            rounds: Rounds::default(),
            beat: now,
            beating: false,
            proposals: BTreeMap::new(),
            waiting: 0,
            confirms: Vec::new(),
            change: None,
            transfer: None,
            lease: true,
            ready: false,
            strangers: BTreeMap::new(),
        }
    }

    /// Returns when the next timer is due.
    pub(crate) fn wake(&self, timing: &Timing) -> Duration {
        let change = self.change.as_ref().map(Changing::until);
        let transfer = self.transfer.as_ref().map(Transfer::until);
        let deserted = Some(self.deserted(timing));
        [change, transfer, deserted].into_iter().flatten().fold(self.beat, Duration::min)
    }

    /// Tells whether a confirmation waits for a round that has not begun, and none is under way.
    pub(crate) fn is_round_asked_for(&self) -> bool {
        let newest = self.confirms.iter().map(|confirm| confirm.round).max().unwrap_or(0);
        newest > self.rounds.number() && !self.rounds.is_open()
    }

    /// Returns when this leader steps down unless a quorum answers.
    fn deserted(&self, timing: &Timing) -> Duration {
        let heard = self.rounds.confirmed().map_or(self.since, |round| round.began);
        heard + timing.election_timeout * 2
    }
}

impl Replica {
    /// Takes a proposal.
    pub(crate) fn propose(&mut self, token: u64, command: Arc<[u8]>) {
        if let Err(rejection) = self.takes(command.len()) {
            self.out.push(Output::Answer { token, answer: Answer::Rejected(rejection) });
            return;
        }
        let size = command.len();
        let index = self.append_own(Payload::Command(command));
        let State::Leader(leading) = &mut self.state else { return };
        leading.waiting += size;
        leading.proposals.insert(index, Proposal { token, size });
    }

    /// Takes the question whether this is still the leader.
    pub(crate) fn confirm(&mut self, token: u64) {
        let State::Leader(leading) = &mut self.state else {
            self.out.push(Output::ReadRejected { token, leader: self.leader.clone() });
            return;
        };
        let round = leading.rounds.number() + 1;
        leading.confirms.push(Confirm { token, round });
    }

    /// Appends the first entry of a term.
    pub(crate) fn append_empty(&mut self) {
        self.append_own(Payload::Empty);
    }

    /// Appends an entry of the own term and returns its index.
    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let position = Position { term: self.hard.term, index: self.log.last().index + 1 };
        self.append(vec![Entry { position, payload }]);
        position.index
    }

    /// Runs a leader's timers.
    pub(crate) fn tick_leader(&mut self) {
        let State::Leader(leading) = &mut self.state else { return };
        // A leader that is cut off would keep its callers waiting while others elect a new one.
        if self.now >= leading.deserted(&self.setup.timing) {
            self.follow(self.hard.term, None);
            return;
        }
        if self.now >= leading.beat {
            leading.beat = self.now + self.setup.timing.heartbeat_interval;
            leading.beating = true;
        }
        self.tick_change();
        self.tick_transfer();
    }

    /// Takes what a quorum has acknowledged: rounds and entries.
    pub(crate) fn acknowledge(&mut self) {
        let State::Leader(leading) = &mut self.state else { return };
        let (own, config) = (self.identity, self.log.config());
        let newest = leading.rounds.number();
        let round = config.quorum(|identity| match leading.peers.get(&identity) {
            Some(peer) => peer.round,
            None => {
                if identity == own {
                    newest
                } else {
                    0
                }
            }
        });
        leading.rounds.acknowledge(round);
        let stored = self.outbox.index();
        let matched = config.quorum(|identity| match leading.peers.get(&identity) {
            Some(peer) => peer.matched,
            None => {
                if identity == own {
                    stored
                } else {
                    0
                }
            }
        });
        // An entry of an older term may be on a quorum and still be replaced by a leader that has a
        // newer one; only an entry of the own term commits it for good.
        if matched > self.commit && self.log.term(matched) == Some(self.hard.term) {
            self.commit = matched;
        }
    }

    /// Notes that the first lease has begun.
    ///
    /// An answer that comes late may confirm a first round that is older than a lease, when others
    /// already have a newer leader; only a valid lease shows that this one's state is current.
    pub(crate) fn note_ready(&mut self) {
        let leased = self.lease_until(self.now).is_some();
        let State::Leader(leading) = &mut self.state else { return };
        leading.ready |= leased;
    }

    /// Answers the confirmations whose round, or the lease, allows it.
    pub(crate) fn answer_confirms(&mut self) {
        let leased = self.lease_until(self.now).is_some();
        let State::Leader(leading) = &mut self.state else { return };
        if leading.confirms.is_empty() || self.commit < leading.start {
            return;
        }
        let confirmed = leading.rounds.confirmed().map_or(0, |round| round.number);
        let index = self.commit;
        let out = &mut self.out;
        leading.confirms.retain(|confirm| {
            let waits = !leased && confirm.round > confirmed;
            if !waits {
                out.push(Output::ReadIndex { token: confirm.token, index });
            }
            waits
        });
    }

    /// Ends a leadership: whoever waits is answered.
    pub(crate) fn resign(&mut self, leading: Leading) {
        self.rest();
        for Proposal { token, .. } in leading.proposals.into_values() {
            self.out.push(Output::Answer { token, answer: Answer::Unknown });
        }
        for confirm in leading.confirms {
            let leader = self.leader.clone();
            self.out.push(Output::ReadRejected { token: confirm.token, leader });
        }
        let Some(change) = leading.change else { return };
        let rejection = Rejection::NotLeader { leader: self.leader.clone() };
        self.out.push(change.abandoned(rejection));
    }

    /// Says why a proposal can't be taken.
    fn takes(&self, size: usize) -> Result<(), Rejection> {
        let State::Leader(leading) = &self.state else {
            return Err(Rejection::NotLeader { leader: self.leader.clone() });
        };
        if leading.transfer.is_some() {
            return Err(Rejection::TransferInProgress);
        }
        let limit = self.setup.limits.max_command_bytes;
        if size > limit {
            return Err(Rejection::TooLarge { size: size as u64, limit: limit as u64 });
        }
        let pending = leading.proposals.len();
        let full = leading.waiting + size > self.setup.limits.max_pending_bytes;
        if pending >= self.setup.limits.pending || (full && pending > 0) {
            return Err(Rejection::Busy { pending: pending as u64 });
        }
        Ok(())
    }
}
