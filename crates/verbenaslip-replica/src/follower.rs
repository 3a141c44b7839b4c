//! What a follower does with its leader's messages.

use verbenaslip_base::name::Instance;

use crate::entry::{Entry, Position};
use crate::message::{Body, Message};
use crate::replica::Replica;
use crate::storage::Write;

impl Replica {
    /// Takes entries, a heartbeat or a part of a snapshot.
    pub(crate) fn lead_by(&mut self, from: &Instance, message: Message) {
        if message.term < self.hard.term {
            // The sender has been replaced; it steps down when it sees the newer term.
            let answer = Body::AppendResponse { match_index: 0, round: 0 };
            let answer = self.message(Some(message.sender), answer);
            self.hold(from, answer);
            return;
        }
        if self.is_leader() && message.term == self.hard.term {
            return;
        }
        self.hear(from, message.term);
        let answer = match message.body {
            Body::Append { previous, entries, commit_index, round } => {
                if !is_chain(previous, &entries, message.term) {
                    return;
                }
                self.append_from(previous, entries, commit_index, round)
            }
            Body::SnapshotChunk { header, offset, bytes, round } => {
                self.chunk(header, offset, &bytes, round)
            }
            _ => return,
        };
        let Some(answer) = answer else { return };
        let claimed = match &answer {
            Body::AppendResponse { match_index: matched, .. } => *matched,
            _ => 0,
        };
        let answer = self.message(Some(message.sender), answer);
        if claimed > self.outbox.index() {
            self.hold(from, answer);
        } else {
            self.hold_term(from, answer);
        }
    }

    /// Notes that the leader of a term is there.
    fn hear(&mut self, from: &Instance, term: u64) {
        self.follow(term, Some(from.clone()));
        self.heard = Some(self.now);
        self.rest();
    }

    /// Adds entries that follow the log, and returns the answer.
    fn append_from(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) -> Option<Body> {
        let known = previous.index < self.log.base().index
            || self.log.term(previous.index) == Some(previous.term);
        if !known {
            let hint = self.log.meet(previous);
            return Some(Body::AppendConflict { previous_index: previous.index, hint, round });
        }
        let mut matched = previous.index + entries.len() as u64;
        let heartbeat = entries.is_empty();
        self.merge(entries)?;
        self.commit = self.commit.max(commit.min(matched));
        if heartbeat {
            // What is not durable yet is answered with the append that brought it.
            matched = matched.min(self.outbox.index());
        }
        Some(Body::AppendResponse { match_index: matched, round })
    }

    /// Adds the entries that are not there yet, in place of those that differ.
    ///
    /// Returns none, and changes nothing, when a committed entry would have to go: no leader of
    /// this group can ask for that, so the message is broken.
    fn merge(&mut self, mut entries: Vec<Entry>) -> Option<()> {
        let base = self.log.base().index;
        let held = |entry: &Entry| {
            let Position { term, index } = entry.position;
            index <= base || self.log.term(index) == Some(term)
        };
        let there = entries.iter().take_while(|entry| held(entry)).count();
        let fresh = entries.split_off(there);
        let Some(first) = fresh.first().map(|entry| entry.position.index) else { return Some(()) };
        if first <= self.commit {
            return None;
        }
        if first <= self.log.last().index {
            self.save();
            self.log.truncate(first);
            self.outbox.store(Write::Truncate { from: first }, &mut self.out);
        }
        self.append(fresh);
        Some(())
    }
}

/// Tells whether entries follow a position without a gap, in terms that never fall.
fn is_chain(previous: Position, entries: &[Entry], term: u64) -> bool {
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
