//! Dispatches incoming messages and rejects those for another identity or group.

use verbenaslip_base::name::Instance;

use crate::message::{Body, Message};
use crate::output::Output;
use crate::replica::{Replica, State};
use crate::voter::Voter;

/// Terms and indices must be below this limit, which no group reaches.
///
/// An invalid message with a number close to `u64::MAX` would leave no later term or index, so the
/// group could never elect a leader or append an entry again.
const TERM_AND_INDEX_LIMIT: u64 = 1 << 60;

impl Replica {
    /// Handles a message from another replica.
    pub(crate) fn handle_message(&mut self, from: &Instance, message: Message) {
        if !is_plausible(&message) || !self.accepts(from, &message) {
            return;
        }
        match &message.body {
            Body::PreVote { last_position: last } => self.handle_pre_vote(from, &message, *last),
            Body::PreVoteResponse { granted } => self.handle_pre_vote_response(&message, *granted),
            Body::Vote { last_position: last, transfer } => {
                self.handle_vote(from, &message, *last, *transfer)
            }
            Body::VoteResponse { granted } => self.handle_vote_response(&message, *granted),
            Body::Append { .. } | Body::SnapshotChunk { .. } => {
                self.handle_leader_message(from, message)
            }
            Body::AppendResponse { .. }
            | Body::AppendConflict { .. }
            | Body::SnapshotChunkResponse { .. } => {
                self.handle_replication_response(&message);
            }
            Body::Campaign => self.handle_campaign(&message),
            Body::FoundingQuery => self.handle_founding_query(from, message.sender),
            Body::FoundingResponse => self.handle_founding_response(from, message.sender),
            Body::IdentityChanged => self.handle_identity_changed(from, &message),
            Body::Founders(founders) => self.handle_founders(from, founders),
        }
    }

    /// Returns whether a message is addressed to this identity and comes from its group.
    fn accepts(&mut self, from: &Instance, message: &Message) -> bool {
        if matches!(
            message.body,
            Body::FoundingQuery
                | Body::FoundingResponse
                | Body::Founders(_)
                | Body::IdentityChanged
        ) {
            return message.target.is_none_or(|target| target == self.identity);
        }
        let Some(group) = message.group else { return false };
        if self.hard_state.group.is_some_and(|own| own != group) {
            return false;
        }
        if message.target != Some(self.identity) {
            // A leader that still counts on the lost data directory would wait for its
            // acknowledgements forever. The answer tells the leader the new identity, so that an
            // operator or a plan can replace the voter.
            if matches!(message.body, Body::Append { .. } | Body::SnapshotChunk { .. }) {
                let answer = self.new_message(Some(message.sender), Body::IdentityChanged);
                self.send(from, answer);
            }
            return false;
        }
        // A group that addresses this identity has it as a member or is about to add it.
        let joins_group = matches!(
            message.body,
            Body::PreVote { .. }
                | Body::Vote { .. }
                | Body::Append { .. }
                | Body::SnapshotChunk { .. }
        );
        if self.hard_state.group.is_none() && joins_group {
            self.hard_state.group = Some(group);
            self.hard_state_changed = true;
        }
        true
    }

    /// Handles the report that a voter's instance now has another data directory.
    fn handle_identity_changed(&mut self, from: &Instance, message: &Message) {
        let voter = Voter { instance: from.clone(), identity: message.sender };
        let config = self.log.config();
        let is_member = config.members().any(|member| member.instance == *from);
        let State::Leader(leader_state) = &mut self.state else { return };
        if !is_member || config.contains(voter.identity) {
            return;
        }
        if leader_state.changed_identities.insert(from.clone(), voter.identity)
            != Some(voter.identity)
        {
            self.outputs.push(Output::IdentityChanged(voter));
        }
    }
}

/// Returns whether the numbers in a message are within the limits that a group can reach.
fn is_plausible(message: &Message) -> bool {
    let snapshot_position = match &message.body {
        Body::SnapshotChunk { header: head, .. } => Some(head.position),
        _ => None,
    };
    message.term < TERM_AND_INDEX_LIMIT
        && snapshot_position.is_none_or(|position| {
            position.index < TERM_AND_INDEX_LIMIT && position.term <= message.term
        })
}
