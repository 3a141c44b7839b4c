//! How a follower handles the messages of its leader.

use verbenaslip_base::name::Instance;

use crate::entry::{Entry, Position};
use crate::message::{Body, Message};
use crate::replica::Replica;
use crate::storage::Write;

impl Replica {
    /// Handles log entries, a heartbeat or a snapshot chunk.
    pub(crate) fn handle_leader_message(&mut self, from: &Instance, message: Message) {
        if message.term < self.hard_state.term {
            // The sender is a former leader, which steps down when it sees the newer term in the
            // answer.
            let answer = Body::AppendResponse { match_index: 0, round: 0 };
            let answer = self.new_message(Some(message.sender), answer);
            self.send_after_writes(from, answer);
            return;
        }
        if self.is_leader() && message.term == self.hard_state.term {
            return;
        }
        self.record_leader(from, message.term);
        let answer = match message.body {
            Body::Append { previous, entries, commit_index, round } => {
                if !is_contiguous(previous, &entries, message.term) {
                    return;
                }
                self.append_from_leader(previous, entries, commit_index, round)
            }
            Body::SnapshotChunk { header, offset, bytes, round } => {
                self.receive_chunk(header, offset, &bytes, round)
            }
            _ => return,
        };
        let Some(answer) = answer else { return };
        let claimed_index = match &answer {
            Body::AppendResponse { match_index, .. } => *match_index,
            _ => 0,
        };
        let answer = self.new_message(Some(message.sender), answer);
        if claimed_index > self.outbox.durable_index() {
            self.send_after_writes(from, answer);
        } else {
            self.send_after_hard_state(from, answer);
        }
    }

    /// Records the leader of a term and when it was heard.
    fn record_leader(&mut self, from: &Instance, term: u64) {
        self.become_follower(term, Some(from.clone()));
        self.leader_heard_at = Some(self.now);
        self.reset_election_timer();
    }

    /// Appends log entries from the leader and returns the answer.
    fn append_from_leader(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) -> Option<Body> {
        let is_known = previous.index < self.log.base().index
            || self.log.term(previous.index) == Some(previous.term);
        if !is_known {
            let hint = self.log.last_possible_match(previous);
            return Some(Body::AppendConflict { previous_index: previous.index, hint, round });
        }
        let mut match_index = previous.index + entries.len() as u64;
        let heartbeat = entries.is_empty();
        self.merge_entries(entries)?;
        self.commit_index = self.commit_index.max(commit.min(match_index));
        if heartbeat {
            // Entries that are not durable yet are acknowledged by the answer to the append that
            // sent them.
            match_index = match_index.min(self.outbox.durable_index());
        }
        Some(Body::AppendResponse { match_index, round })
    }

    /// Appends the entries that are missing, and replaces those that differ.
    ///
    /// Returns `None` and changes nothing if a committed entry would be replaced. No leader of this
    /// group can request that, so the message is invalid.
    fn merge_entries(&mut self, mut entries: Vec<Entry>) -> Option<()> {
        let base = self.log.base().index;
        let is_held = |entry: &Entry| {
            let Position { term, index } = entry.position;
            index <= base || self.log.term(index) == Some(term)
        };
        let known_count = entries.iter().take_while(|entry| is_held(entry)).count();
        let new_entries = entries.split_off(known_count);
        let Some(first) = new_entries.first().map(|entry| entry.position.index) else {
            return Some(());
        };
        if first <= self.commit_index {
            return None;
        }
        if first <= self.log.last().index {
            self.save_hard_state();
            self.log.truncate(first);
            self.outbox.write(Write::Truncate { from: first }, &mut self.outputs);
        }
        self.append_entries(new_entries);
        Some(())
    }
}

/// Returns whether entries follow a position without a gap and with terms that never decrease.
fn is_contiguous(previous: Position, entries: &[Entry], term: u64) -> bool {
    let mut last = previous;
    for entry in entries {
        let Position { term, index } = entry.position;
        if Some(index) != last.index.checked_add(1) || term < last.term {
            return false;
        }
        last = entry.position;
    }
    last.term <= term
}
