//! Invariants over all replicas and their whole history, checked after every step.

use std::collections::BTreeMap;

use verbenaslip_replica::Replica;
use verbenaslip_replica::entry::Position;
use verbenaslip_replica::output::Answer;
use verbenaslip_replica::voter::Identity;

/// Checks the invariants against the recorded history of all replicas.
#[derive(Default)]
pub struct InvariantChecker {
    /// The leader of each term.
    leaders: BTreeMap<u64, Identity>,
    /// The term and the resulting state hash of the command applied at each index.
    applied: BTreeMap<u64, (u64, u64)>,
    /// The position at which each proposal was applied.
    proposal_positions: BTreeMap<u64, Position>,
    /// The rejected proposals.
    rejected: BTreeMap<u64, ()>,
    /// The last index that each node has applied since its start.
    last_applied: BTreeMap<usize, u64>,
    /// The last commit index of each node since its start.
    commit_indices: BTreeMap<usize, u64>,
    /// The greatest commit index of any node.
    pub max_commit_index: u64,
    /// The commit index of the leader of each term when it became ready.
    ready_commit_indices: BTreeMap<u64, u64>,
    /// The greatest commit index at the time of each read request.
    reads: BTreeMap<u64, u64>,
}

impl InvariantChecker {
    /// Records that a node has started.
    pub fn node_started(&mut self, node: usize) {
        self.last_applied.insert(node, 0);
        self.commit_indices.insert(node, 0);
    }

    /// Records a proposal.
    pub fn proposed(&mut self, token: u64) {
        assert!(!self.proposal_positions.contains_key(&token), "the test used a token twice");
    }

    /// Records a read request.
    pub fn read_requested(&mut self, token: u64) {
        self.reads.insert(token, self.max_commit_index);
    }

    /// Checks a confirmed read: its index includes everything committed before the request.
    pub fn check_read(&mut self, token: u64, index: u64) {
        let min_index = self.reads.get(&token).copied().expect("the read was requested");
        assert!(
            index >= min_index,
            "read {token} at {index} misses what was committed at {min_index}"
        );
    }

    /// Checks an answer against the position at which the proposal was applied.
    pub fn check_answer(&mut self, token: u64, answer: &Answer) {
        match answer {
            Answer::Committed(position) => {
                if let Some(known_position) = self.proposal_positions.get(&token) {
                    assert_eq!(
                        known_position, position,
                        "proposal {token} was answered with another position"
                    );
                }
                assert!(position.index <= self.max_commit_index.max(position.index));
            }
            Answer::Rejected(_) => {
                assert!(
                    !self.proposal_positions.contains_key(&token),
                    "rejected proposal {token} was applied"
                );
                self.rejected.insert(token, ());
            }
            Answer::Unknown => {}
        }
    }

    /// Checks an applied command: in order, the same on all nodes, and each proposal only once.
    pub fn check_applied(
        &mut self,
        node: usize,
        position: Position,
        command: &[u8],
        state_hash: u64,
    ) {
        let previous_index = self.last_applied.insert(node, position.index).unwrap_or(0);
        assert!(
            position.index > previous_index,
            "node {node} applied {} after {previous_index}",
            position.index
        );
        let skipped = self.applied.range(previous_index + 1..position.index).next();
        assert_eq!(skipped, None, "node {node} skipped a command before {}", position.index);
        let newest_index = self.applied.last_key_value().map_or(0, |(index, _)| *index);
        let known = self.applied.entry(position.index).or_insert_with(|| {
            assert!(position.index > newest_index, "a command was inserted between applied ones");
            (position.term, state_hash)
        });
        let actual = (position.term, state_hash);
        assert_eq!(*known, actual, "node {node} applied another command at {}", position.index);
        let token =
            u64::from_le_bytes(*command.first_chunk().expect("commands begin with a token"));
        let known_position = *self.proposal_positions.entry(token).or_insert(position);
        assert_eq!(known_position, position, "proposal {token} was applied twice");
        assert!(!self.rejected.contains_key(&token), "rejected proposal {token} was applied");
    }

    /// Checks an installed snapshot: its state equals that from applying the commands.
    pub fn check_installed(&mut self, node: usize, position: Position, state_hash: u64) {
        self.last_applied.insert(node, position.index);
        let expected = self.applied.range(..=position.index).next_back().map_or(0, |last| last.1.1);
        assert_eq!(
            state_hash, expected,
            "node {node} installed another state at {}",
            position.index
        );
    }

    /// Checks one replica after a step.
    pub fn check_replica(&mut self, node: usize, replica: &Replica) {
        let commit = replica.commit_index();
        let previous_commit = self.commit_indices.insert(node, commit).unwrap_or(0);
        assert!(
            commit >= previous_commit,
            "the commit index of node {node} decreased from {previous_commit} to {commit}"
        );
        if replica.is_leader() {
            let term = replica.term();
            let leader = *self.leaders.entry(term).or_insert(replica.identity());
            assert_eq!(leader, replica.identity(), "two leaders in term {term}");
        }
        self.max_commit_index = self.max_commit_index.max(commit);
        self.check_leader(replica);
    }

    /// Checks that a ready leader has everything that was ever committed.
    fn check_leader(&mut self, replica: &Replica) {
        let status = replica.status(std::time::Duration::ZERO);
        if status.role != verbenaslip_replica::output::ReplicaRole::Leader {
            return;
        }
        let (committed, commit) = (self.max_commit_index, replica.commit_index());
        self.ready_commit_indices.entry(replica.term()).or_insert_with(|| {
            assert!(
                commit >= committed,
                "a leader is ready at {commit}, but {committed} is committed"
            );
            commit
        });
    }
}
