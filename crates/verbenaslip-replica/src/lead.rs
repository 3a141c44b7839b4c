//! What a leader does: proposals, rounds, commit, and sending to each follower.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::change::Changing;
use crate::entry::{Entry, Payload, Position};
use crate::message::{Body, Message};
use crate::output::{Answer, Output, Rejection};
use crate::peer::{Flow, Peer};
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

    /// Returns when this leader steps down unless a quorum answers.
    fn deserted(&self, timing: &Timing) -> Duration {
        let heard = self.rounds.confirmed().map_or(self.since, |round| round.began);
        heard + timing.election * 2
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
            self.out.push(Output::Unconfirmed { token, leader: self.leader.clone() });
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
            leading.beat = self.now + self.setup.timing.heartbeat;
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
                out.push(Output::Confirmed { token: confirm.token, index });
            }
            waits
        });
    }

    /// Sends to each follower what is due.
    pub(crate) fn replicate(&mut self) {
        let State::Leader(leading) = &mut self.state else { return };
        let newest = leading.confirms.iter().map(|confirm| confirm.round).max().unwrap_or(0);
        let asked = newest > leading.rounds.number() && !leading.rounds.is_open();
        let beat = std::mem::take(&mut leading.beating) || asked;
        if beat {
            leading.rounds.begin(self.now);
        }
        let round = leading.rounds.number();
        let mut peers = std::mem::take(&mut leading.peers);
        for peer in peers.values_mut() {
            self.feed(peer, round, beat);
        }
        let State::Leader(leading) = &mut self.state else { return };
        leading.peers = peers;
        if beat && leading.peers.is_empty() {
            // A single voter is its own quorum.
            leading.rounds.acknowledge(round);
        }
    }

    /// Takes a follower's answer.
    pub(crate) fn answered(&mut self, message: &Message) {
        if message.term > self.hard.term {
            self.follow(message.term, None);
            return;
        }
        let State::Leader(leading) = &mut self.state else { return };
        let Some(peer) = leading.peers.get_mut(&message.sender) else { return };
        if message.term < self.hard.term {
            return;
        }
        peer.heard = Some(self.now);
        let newest = leading.rounds.number();
        let (Body::Appended { round, .. }
        | Body::Diverged { round, .. }
        | Body::Chunked { round, .. }) = &message.body
        else {
            return;
        };
        peer.round = peer.round.max((*round).min(newest));
        match message.body {
            Body::Appended { matched, .. } if matched <= self.log.last().index => {
                peer.matches(matched);
                settle(peer, matched);
            }
            Body::Diverged { previous, hint, .. } if is_current(peer, previous) => {
                let meet = self.log.meet(hint);
                peer.probe(meet.index + 1);
            }
            Body::Chunked { position, received, .. } => advance(peer, position, received),
            _ => {}
        }
    }

    /// Ends a leadership: whoever waits is answered.
    pub(crate) fn resign(&mut self, leading: Leading) {
        self.rest();
        for Proposal { token, .. } in leading.proposals.into_values() {
            self.out.push(Output::Answer { token, answer: Answer::Unknown });
        }
        for confirm in leading.confirms {
            let leader = self.leader.clone();
            self.out.push(Output::Unconfirmed { token: confirm.token, leader });
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
            return Err(Rejection::Transferring);
        }
        let limit = self.setup.size.command;
        if size > limit {
            return Err(Rejection::TooLarge { size: size as u64, limit: limit as u64 });
        }
        let pending = leading.proposals.len();
        let full = leading.waiting + size > self.setup.size.waiting;
        if pending >= self.setup.size.pending || (full && pending > 0) {
            return Err(Rejection::Busy { pending: pending as u64 });
        }
        Ok(())
    }

    /// Sends one follower what is due.
    fn feed(&mut self, peer: &mut Peer, round: u64, beat: bool) {
        if !matches!(peer.flow, Flow::Snapshot { .. }) && self.log.term(peer.next - 1).is_none() {
            self.begin_snapshot(peer);
        }
        match &mut peer.flow {
            Flow::Probe { waiting } => {
                if !std::mem::replace(waiting, true) || beat {
                    self.send_append(peer, round, Vec::new());
                }
            }
            Flow::Stream { .. } => self.stream(peer, round, beat),
            Flow::Snapshot { .. } => self.feed_snapshot(peer, round, beat),
        }
    }

    /// Sends entries as far as the window allows, or a heartbeat when one is due.
    fn stream(&mut self, peer: &mut Peer, round: u64, beat: bool) {
        let size = self.setup.size;
        let mut due = beat;
        loop {
            let Flow::Stream { flight } = &mut peer.flow else { return };
            if flight.len() >= size.window {
                break;
            }
            let entries = self.log.slice(peer.next, size.message);
            let Some(last) = entries.last().map(|entry| entry.position.index) else { break };
            flight.push_back(last);
            self.send_append(peer, round, entries);
            peer.next = last + 1;
            due = false;
        }
        if due {
            self.send_append(peer, round, Vec::new());
        }
    }

    /// Sends entries that begin at the follower's next index.
    fn send_append(&mut self, peer: &Peer, round: u64, entries: Vec<Entry>) {
        let index = peer.next - 1;
        let previous = Position { term: self.log.term(index).unwrap_or(0), index };
        self.send_to(peer, Body::Append { previous, entries, commit: self.commit, round });
    }

    /// Sends a follower a message of the present term.
    pub(crate) fn send_to(&mut self, peer: &Peer, body: Body) {
        let message = self.message(Some(peer.voter.identity), body);
        self.send(&peer.voter.instance, message);
    }
}

/// Goes over to streaming when the place where the logs meet is found.
fn settle(peer: &mut Peer, matched: u64) {
    let found = match &peer.flow {
        Flow::Probe { .. } => matched + 1 == peer.next,
        Flow::Snapshot { snapshot, .. } => matched >= snapshot.position.index,
        Flow::Stream { .. } => false,
    };
    if found {
        peer.flow = Flow::Stream { flight: VecDeque::new() };
    }
}

/// Tells whether a divergence is about the last thing sent, not about something long settled.
fn is_current(peer: &Peer, previous: u64) -> bool {
    let sent = match &peer.flow {
        Flow::Probe { .. } => previous == peer.next - 1,
        Flow::Stream { .. } => previous < peer.next,
        Flow::Snapshot { .. } => false,
    };
    sent && previous > peer.matched
}

/// Takes the news how much of a snapshot has arrived.
fn advance(peer: &mut Peer, position: Position, received: u64) {
    let Flow::Snapshot { snapshot, offset, sent } = &mut peer.flow else { return };
    if snapshot.position == position && received <= snapshot.state.len() as u64 {
        *offset = received;
        *sent = None;
    }
}
