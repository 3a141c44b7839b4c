//! Compaction, and snapshots that travel in chunks.

use std::sync::Arc;

use crate::entry::Position;
use crate::log::Log;
use crate::message::{Body, SnapshotHeader};
use crate::output::Output;
use crate::peer::{Flow, Peer};
use crate::replica::Replica;
use crate::storage::{Snapshot, Write};

/// Heartbeats without an answer after which a chunk is sent again.
const RESEND: u32 = 4;

/// Holds the part of a snapshot that has arrived.
#[derive(Debug)]
pub(crate) struct Receiving {
    head: SnapshotHeader,
    bytes: Vec<u8>,
}

impl Replica {
    /// Asks for a snapshot when enough has been applied since the last one.
    pub(crate) fn want_snapshot(&mut self) {
        let size = self.setup.limits;
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        let since = self.applied.saturating_sub(covered.max(self.wanted));
        let many = since >= size.entries;
        let large = self.grown >= size.bytes;
        if since > 0 && (many || large) {
            self.wanted = self.applied;
            self.grown = 0;
            self.out.push(Output::RequestSnapshot { index: self.applied });
        }
    }

    /// Keeps the state machine's state and drops the log before it, but for a tail.
    pub(crate) fn compact(&mut self, index: u64, state: Arc<[u8]>) {
        let covered = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        if index <= covered || index > self.applied {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let Some(config) = self.log.config_at(index).cloned() else { return };
        let snapshot = Arc::new(Snapshot { position: Position { term, index }, config, state });
        let through =
            self.log.before_tail(index, self.setup.limits.tail, self.setup.limits.tail_bytes);
        self.save();
        self.log.compact(through);
        self.snapshot = Some(snapshot.clone());
        let write = Write::Compact { snapshot, first: through + 1 };
        self.outbox.store(write, &mut self.out);
    }

    /// Takes a part of a snapshot, and returns the answer.
    pub(crate) fn chunk(
        &mut self,
        head: SnapshotHeader,
        offset: u64,
        bytes: &[u8],
        round: u64,
    ) -> Option<Body> {
        let position = head.position;
        if self.log.term(position.index) == Some(position.term) {
            self.commit = self.commit.max(position.index);
        }
        if position.index <= self.commit {
            self.receiving = None;
            return Some(Body::AppendResponse { match_index: position.index, round });
        }
        if head.total_bytes > self.setup.limits.snapshot {
            return None;
        }
        let mut receiving = self
            .receiving
            .take()
            .filter(|receiving| receiving.head == head)
            .unwrap_or(Receiving { head, bytes: Vec::new() });
        let received = receiving.bytes.len() as u64;
        let fits = received + bytes.len() as u64 <= receiving.head.total_bytes;
        if offset == received && fits {
            receiving.bytes.extend_from_slice(bytes);
        }
        let received = receiving.bytes.len() as u64;
        if received == receiving.head.total_bytes {
            self.install(receiving);
            return Some(Body::AppendResponse { match_index: position.index, round });
        }
        self.receiving = Some(receiving);
        Some(Body::SnapshotChunkResponse { position, received_bytes: received, round })
    }

    /// Starts sending a follower the snapshot, since the entries it lacks are gone.
    pub(crate) fn begin_snapshot(&mut self, peer: &mut Peer) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        peer.flow = Flow::Snapshot { snapshot, offset: 0, sent: None };
    }

    /// Sends the next chunk, the last one again, or a bare heartbeat.
    pub(crate) fn feed_snapshot(&mut self, peer: &mut Peer, round: u64, beat: bool) {
        let resend = self.setup.timing.heartbeat_interval * RESEND;
        let Flow::Snapshot { snapshot, offset, sent } = &mut peer.flow else { return };
        if sent.is_some_and(|sent| self.now < sent + resend) {
            if beat {
                let previous = Position::default();
                let entries = Vec::new();
                self.send_to(peer, Body::Append { previous, entries, commit_index: 0, round });
            }
            return;
        }
        // A follower that was away would first get the snapshot from when it left, and then another.
        if let Some(newest) = self.snapshot.as_ref().filter(|_| *offset == 0) {
            *snapshot = newest.clone();
        }
        *sent = Some(self.now);
        let total = snapshot.state.len();
        let from = usize::try_from(*offset).map_or(total, |offset| offset.min(total));
        let to = total.min(from.saturating_add(self.setup.limits.message));
        let body = Body::SnapshotChunk {
            header: SnapshotHeader {
                position: snapshot.position,
                config: snapshot.config.clone(),
                total_bytes: total as u64,
            },
            offset: *offset,
            bytes: snapshot.state[from..to].into(),
            round,
        };
        self.send_to(peer, body);
    }

    /// Replaces log and state by a snapshot that has arrived whole.
    fn install(&mut self, receiving: Receiving) {
        let Receiving { head, bytes } = receiving;
        let SnapshotHeader { position, config, .. } = head;
        let snapshot = Arc::new(Snapshot { position, config: config.clone(), state: bytes.into() });
        self.save();
        self.outbox.store(Write::Install(snapshot.clone()), &mut self.out);
        self.log = Log::new(position, config);
        self.commit = position.index;
        self.applied = position.index;
        self.grown = 0;
        self.wanted = position.index;
        self.snapshot = Some(snapshot.clone());
        self.out.push(Output::Install(snapshot));
    }
}
