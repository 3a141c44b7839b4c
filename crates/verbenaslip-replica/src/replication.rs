//! How a leader sends to each follower, and takes its answers.

use std::collections::VecDeque;

use crate::entry::{Entry, Position};
use crate::message::{Body, Message};
use crate::peer::{Flow, Peer};
use crate::replica::{Replica, State};

impl Replica {
    /// Sends to each follower what is due.
    pub(crate) fn replicate(&mut self) {
        let State::Leader(leading) = &mut self.state else { return };
        let asked = leading.is_round_asked_for();
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
        let (Body::AppendResponse { round, .. }
        | Body::AppendConflict { round, .. }
        | Body::SnapshotChunkResponse { round, .. }) = &message.body
        else {
            return;
        };
        peer.round = peer.round.max((*round).min(newest));
        match message.body {
            Body::AppendResponse { match_index: matched, .. }
                if matched <= self.log.last().index =>
            {
                peer.matches(matched);
                settle(peer, matched);
            }
            Body::AppendConflict { previous_index: previous, hint, .. }
                if is_current(peer, previous) =>
            {
                let meet = self.log.meet(hint);
                peer.probe(meet.index + 1);
            }
            Body::SnapshotChunkResponse { position, received_bytes: received, .. } => {
                advance(peer, position, received)
            }
            _ => {}
        }
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
        let size = self.setup.limits;
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
        self.send_to(peer, Body::Append { previous, entries, commit_index: self.commit, round });
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
