//! Replication from the leader to each follower.

use std::collections::VecDeque;

use crate::entry::{Entry, Position};
use crate::message::{Body, Message};
use crate::peer::{Peer, ReplicationMode};
use crate::replica::{Replica, State};

impl Replica {
    /// Sends log entries, snapshot chunks or heartbeats to every follower as needed.
    pub(crate) fn replicate(&mut self) {
        let State::Leader(leader_state) = &mut self.state else { return };
        let needs_round = leader_state.needs_round();
        let is_heartbeat = std::mem::take(&mut leader_state.heartbeat_due) || needs_round;
        if is_heartbeat {
            leader_state.rounds.begin(self.now);
        }
        let round = leader_state.rounds.number();
        let mut peers = std::mem::take(&mut leader_state.peers);
        for peer in peers.values_mut() {
            self.replicate_to(peer, round, is_heartbeat);
        }
        let State::Leader(leader_state) = &mut self.state else { return };
        leader_state.peers = peers;
        if is_heartbeat && leader_state.peers.is_empty() {
            // A single voter is its own quorum.
            leader_state.rounds.acknowledge(round);
        }
    }

    /// Handles a follower's answer to an append or a snapshot chunk.
    pub(crate) fn handle_replication_response(&mut self, message: &Message) {
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
            return;
        }
        let State::Leader(leader_state) = &mut self.state else { return };
        let Some(peer) = leader_state.peers.get_mut(&message.sender) else { return };
        if message.term < self.hard_state.term {
            return;
        }
        peer.last_heard = Some(self.now);
        let newest_round = leader_state.rounds.number();
        let (Body::AppendResponse { round, .. }
        | Body::AppendConflict { round, .. }
        | Body::SnapshotChunkResponse { round, .. }) = &message.body
        else {
            return;
        };
        peer.acknowledged_round = peer.acknowledged_round.max((*round).min(newest_round));
        match message.body {
            Body::AppendResponse { match_index, .. } if match_index <= self.log.last().index => {
                peer.record_match(match_index);
                start_stream_if_matched(peer, match_index);
            }
            Body::AppendConflict { previous_index, hint, .. }
                if is_current_conflict(peer, previous_index) =>
            {
                let possible_match = self.log.last_possible_match(hint);
                peer.start_probe(possible_match.index + 1);
            }
            Body::SnapshotChunkResponse { position, received_bytes, .. } => {
                record_received_bytes(peer, position, received_bytes)
            }
            _ => {}
        }
    }

    /// Sends the next message to one follower, if there is one to send.
    fn replicate_to(&mut self, peer: &mut Peer, round: u64, is_heartbeat: bool) {
        if !matches!(peer.mode, ReplicationMode::Snapshot { .. })
            && self.log.term(peer.next_index - 1).is_none()
        {
            self.begin_snapshot(peer);
        }
        match &mut peer.mode {
            ReplicationMode::Probe { waiting } => {
                if !std::mem::replace(waiting, true) || is_heartbeat {
                    self.send_append(peer, round, Vec::new());
                }
            }
            ReplicationMode::Stream { .. } => self.stream_entries(peer, round, is_heartbeat),
            ReplicationMode::Snapshot { .. } => self.send_snapshot(peer, round, is_heartbeat),
        }
    }

    /// Sends log entries until the in-flight limit is reached, or a heartbeat if one is due.
    fn stream_entries(&mut self, peer: &mut Peer, round: u64, is_heartbeat: bool) {
        let limits = self.setup.limits;
        let mut heartbeat_due = is_heartbeat;
        loop {
            let ReplicationMode::Stream { in_flight } = &mut peer.mode else { return };
            if in_flight.len() >= limits.max_in_flight_appends {
                break;
            }
            let entries = self.log.entries_from(peer.next_index, limits.max_message_bytes);
            let Some(last) = entries.last().map(|entry| entry.position.index) else { break };
            in_flight.push_back(last);
            self.send_append(peer, round, entries);
            peer.next_index = last + 1;
            heartbeat_due = false;
        }
        if heartbeat_due {
            self.send_append(peer, round, Vec::new());
        }
    }

    /// Sends log entries, which start at the follower's next index.
    fn send_append(&mut self, peer: &Peer, round: u64, entries: Vec<Entry>) {
        let index = peer.next_index - 1;
        let previous = Position { term: self.log.term(index).unwrap_or(0), index };
        self.send_to(
            peer,
            Body::Append { previous, entries, commit_index: self.commit_index, round },
        );
    }

    /// Sends a message of the current term to a follower.
    pub(crate) fn send_to(&mut self, peer: &Peer, body: Body) {
        let message = self.new_message(Some(peer.voter.identity), body);
        self.send(&peer.voter.instance, message);
    }
}

/// Switches to streaming once the follower's log is known to match.
fn start_stream_if_matched(peer: &mut Peer, match_index: u64) {
    let is_matched = match &peer.mode {
        ReplicationMode::Probe { .. } => match_index + 1 == peer.next_index,
        ReplicationMode::Snapshot { snapshot, .. } => match_index >= snapshot.position.index,
        ReplicationMode::Stream { .. } => false,
    };
    if is_matched {
        peer.mode = ReplicationMode::Stream { in_flight: VecDeque::new() };
    }
}

/// Returns whether a conflict refers to the latest append and not to one that is already resolved.
fn is_current_conflict(peer: &Peer, previous_index: u64) -> bool {
    let is_last_sent = match &peer.mode {
        ReplicationMode::Probe { .. } => previous_index == peer.next_index - 1,
        ReplicationMode::Stream { .. } => previous_index < peer.next_index,
        ReplicationMode::Snapshot { .. } => false,
    };
    is_last_sent && previous_index > peer.match_index
}

/// Records how much of a snapshot a follower has received.
fn record_received_bytes(peer: &mut Peer, position: Position, received_bytes: u64) {
    let ReplicationMode::Snapshot { snapshot, offset, sent_at } = &mut peer.mode else {
        return;
    };
    if snapshot.position == position && received_bytes <= snapshot.state.len() as u64 {
        *offset = received_bytes;
        *sent_at = None;
    }
}
