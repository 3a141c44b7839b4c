//! Log compaction, and snapshots sent in chunks.

use std::sync::Arc;

use crate::entry::Position;
use crate::log::Log;
use crate::message::{Body, SnapshotHeader};
use crate::output::Output;
use crate::peer::{Peer, ReplicationMode};
use crate::replica::Replica;
use crate::storage::{Snapshot, Write};

/// The number of heartbeat intervals without an answer after which a chunk is sent again.
const RESEND_AFTER_HEARTBEATS: u32 = 4;

/// Holds the received part of a snapshot.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    header: SnapshotHeader,
    bytes: Vec<u8>,
}

impl Replica {
    /// Requests a snapshot if enough has been applied since the last one.
    pub(crate) fn request_snapshot(&mut self) {
        let limits = self.setup.limits;
        let covered_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        let entries_since =
            self.applied_index.saturating_sub(covered_index.max(self.requested_snapshot));
        let enough_entries = entries_since >= limits.snapshot_after_entries;
        let enough_bytes = self.applied_bytes >= limits.snapshot_after_bytes;
        if entries_since > 0 && (enough_entries || enough_bytes) {
            self.requested_snapshot = self.applied_index;
            self.applied_bytes = 0;
            self.outputs.push(Output::RequestSnapshot { index: self.applied_index });
        }
    }

    /// Stores the state machine's state as a snapshot, and drops the log before it except for a
    /// tail.
    pub(crate) fn compact(&mut self, index: u64, state: Arc<[u8]>) {
        let covered_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        if index <= covered_index || index > self.applied_index {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let Some(config) = self.log.config_at(index).cloned() else { return };
        let snapshot = Arc::new(Snapshot { position: Position { term, index }, config, state });
        let through = self.log.base_for_retention(
            index,
            self.setup.limits.retained_entries,
            self.setup.limits.retained_bytes,
        );
        self.save_hard_state();
        self.log.compact(through);
        self.snapshot = Some(snapshot.clone());
        let write = Write::Compact { snapshot, first: through + 1 };
        self.outbox.write(write, &mut self.outputs);
    }

    /// Handles a snapshot chunk and returns the answer.
    pub(crate) fn receive_chunk(
        &mut self,
        header: SnapshotHeader,
        offset: u64,
        bytes: &[u8],
        round: u64,
    ) -> Option<Body> {
        let position = header.position;
        if self.log.term(position.index) == Some(position.term) {
            self.commit_index = self.commit_index.max(position.index);
        }
        if position.index <= self.commit_index {
            self.incoming_snapshot = None;
            return Some(Body::AppendResponse { match_index: position.index, round });
        }
        if header.total_bytes > self.setup.limits.max_snapshot_bytes {
            return None;
        }
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(|incoming| incoming.header == header)
            .unwrap_or(IncomingSnapshot { header, bytes: Vec::new() });
        let received_bytes = incoming.bytes.len() as u64;
        let fits_total = received_bytes + bytes.len() as u64 <= incoming.header.total_bytes;
        if offset == received_bytes && fits_total {
            incoming.bytes.extend_from_slice(bytes);
        }
        let received_bytes = incoming.bytes.len() as u64;
        if received_bytes == incoming.header.total_bytes {
            self.install(incoming);
            return Some(Body::AppendResponse { match_index: position.index, round });
        }
        self.incoming_snapshot = Some(incoming);
        Some(Body::SnapshotChunkResponse { position, received_bytes, round })
    }

    /// Starts sending the snapshot to a follower that needs entries no longer in the log.
    pub(crate) fn begin_snapshot(&mut self, peer: &mut Peer) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        peer.mode = ReplicationMode::Snapshot { snapshot, offset: 0, sent_at: None };
    }

    /// Sends the next chunk, repeats the last one, or sends a heartbeat.
    pub(crate) fn send_snapshot(&mut self, peer: &mut Peer, round: u64, is_heartbeat: bool) {
        let resend_after = self.setup.timing.heartbeat_interval * RESEND_AFTER_HEARTBEATS;
        let ReplicationMode::Snapshot { snapshot, offset, sent_at } = &mut peer.mode else {
            return;
        };
        if sent_at.is_some_and(|sent_at| self.now < sent_at + resend_after) {
            if is_heartbeat {
                let previous = Position::default();
                let entries = Vec::new();
                self.send_to(peer, Body::Append { previous, entries, commit_index: 0, round });
            }
            return;
        }
        // If the snapshot is replaced before its first chunk was received, the follower gets the
        // newest one instead of two snapshots in a row.
        if let Some(newest) = self.snapshot.as_ref().filter(|_| *offset == 0) {
            *snapshot = newest.clone();
        }
        *sent_at = Some(self.now);
        let total = snapshot.state.len();
        let from = usize::try_from(*offset).map_or(total, |offset| offset.min(total));
        let to = total.min(from.saturating_add(self.setup.limits.max_message_bytes));
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

    /// Replaces the log and the state by a completely received snapshot.
    fn install(&mut self, incoming: IncomingSnapshot) {
        let IncomingSnapshot { header, bytes } = incoming;
        let SnapshotHeader { position, config, .. } = header;
        let snapshot = Arc::new(Snapshot { position, config: config.clone(), state: bytes.into() });
        self.save_hard_state();
        self.outbox.write(Write::Install(snapshot.clone()), &mut self.outputs);
        self.log = Log::new(position, config);
        self.commit_index = position.index;
        self.applied_index = position.index;
        self.applied_bytes = 0;
        self.requested_snapshot = position.index;
        self.snapshot = Some(snapshot.clone());
        self.outputs.push(Output::Install(snapshot));
    }
}
