//! What must hold after every step, over all replicas and their whole history.

use std::collections::BTreeMap;

use verbenaslip_replica::Replica;
use verbenaslip_replica::entry::Position;
use verbenaslip_replica::output::Answer;
use verbenaslip_replica::voter::Identity;

/// Keeps the history of all replicas.
#[derive(Default)]
pub struct InvariantChecker {
    /// Who led each term.
    leaders: BTreeMap<u64, Identity>,
    /// Every index at which a command was applied, with the term and the chain after it.
    applied: BTreeMap<u64, (u64, u64)>,
    /// Where each proposal was applied.
    proposal_positions: BTreeMap<u64, Position>,
    /// The proposals that were refused.
    rejected: BTreeMap<u64, ()>,
    /// The last index that each node has applied in this life.
    last_applied: BTreeMap<usize, u64>,
    /// The commit index that each node has shown in this life.
    commit_indices: BTreeMap<usize, u64>,
    /// The greatest commit index that anybody has shown, and the term of who showed it first.
    pub max_commit_index: u64,
    /// The terms in which a leader has committed something of its own.
    ready_commit_indices: BTreeMap<u64, u64>,
    /// What was committed when each read was asked for.
    reads: BTreeMap<u64, u64>,
}

impl InvariantChecker {
    /// Notes that a node begins a life.
    pub fn node_started(&mut self, node: usize) {
        self.last_applied.insert(node, 0);
        self.commit_indices.insert(node, 0);
    }

    /// Notes a proposal.
    pub fn proposed(&mut self, token: u64) {
        assert!(!self.proposal_positions.contains_key(&token), "a token is used twice by the test");
    }

    /// Notes a question for a read.
    pub fn read_requested(&mut self, token: u64) {
        self.reads.insert(token, self.max_commit_index);
    }

    /// Checks a confirmed read: it misses nothing that was committed when it was asked for.
    pub fn check_read(&mut self, token: u64, index: u64) {
        let min_index = self.reads.get(&token).copied().expect("the read was asked for");
        assert!(
            index >= min_index,
            "read {token} at {index} misses what was committed at {min_index}"
        );
    }

    /// Checks an answer: what is answered as committed is what everybody applies there.
    pub fn check_answer(&mut self, token: u64, answer: &Answer) {
        match answer {
            Answer::Committed(position) => {
                if let Some(known_position) = self.proposal_positions.get(&token) {
                    assert_eq!(
                        known_position, position,
                        "proposal {token} is answered at another place"
                    );
                }
                assert!(position.index <= self.max_commit_index.max(position.index));
            }
            Answer::Rejected(_) => {
                assert!(
                    !self.proposal_positions.contains_key(&token),
                    "refused proposal {token} was applied"
                );
                self.rejected.insert(token, ());
            }
            Answer::Unknown => {}
        }
    }

    /// Checks an applied command: in order, equal everywhere, and each proposal once.
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
            assert!(position.index > newest_index, "a command appeared between applied ones");
            (position.term, state_hash)
        });
        let actual = (position.term, state_hash);
        assert_eq!(*known, actual, "node {node} applied something else at {}", position.index);
        let token =
            u64::from_le_bytes(*command.first_chunk().expect("commands begin with a token"));
        let known_position = *self.proposal_positions.entry(token).or_insert(position);
        assert_eq!(known_position, position, "proposal {token} was applied twice");
        assert!(!self.rejected.contains_key(&token), "refused proposal {token} was applied");
    }

    /// Checks an installed snapshot: it is what applying would have led to.
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
            "node {node}'s commit fell from {previous_commit} to {commit}"
        );
        if replica.is_leader() {
            let term = replica.term();
            let leader = *self.leaders.entry(term).or_insert(replica.identity());
            assert_eq!(leader, replica.identity(), "two leaders in term {term}");
        }
        self.max_commit_index = self.max_commit_index.max(commit);
        self.check_leader(replica);
    }

    /// Checks that a leader that is ready has everything that was ever committed.
    fn check_leader(&mut self, replica: &Replica) {
        let status = replica.status(std::time::Duration::ZERO);
        if status.role != verbenaslip_replica::output::ReplicaRole::Leader {
            return;
        }
        let (committed, commit) = (self.max_commit_index, replica.commit_index());
        self.ready_commit_indices.entry(replica.term()).or_insert_with(|| {
            assert!(commit >= committed, "a leader is ready at {commit}, {committed} is committed");
            commit
        });
    }
}
