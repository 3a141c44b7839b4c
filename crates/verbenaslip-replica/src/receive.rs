//! Takes messages in, and turns away those that are meant for somebody else.

use verbenaslip_base::name::Instance;

use crate::message::{Body, Message};
use crate::output::Output;
use crate::replica::{Replica, State};
use crate::voter::Voter;

/// The first term or index that no group ever reaches.
///
/// A broken message with a number near the end of its range would leave no later term or index, and
/// the group could never elect or append again.
const TERM_AND_INDEX_LIMIT: u64 = 1 << 60;

impl Replica {
    /// Takes a message.
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
        }
    }

    /// Tells whether a message is for this folder and from its group.
    fn accepts(&mut self, from: &Instance, message: &Message) -> bool {
        if matches!(
            message.body,
            Body::FoundingQuery | Body::FoundingResponse | Body::IdentityChanged
        ) {
            return message.target.is_none_or(|target| target == self.identity);
        }
        let Some(group) = message.group else { return false };
        if self.hard_state.group.is_some_and(|own| own != group) {
            return false;
        }
        if message.target != Some(self.identity) {
            // A leader that still counts on a folder that was lost here would wait forever for its
            // acknowledgements. It learns of the new folder, and an operator or a plan replaces it.
            if matches!(message.body, Body::Append { .. } | Body::SnapshotChunk { .. }) {
                let answer = self.new_message(Some(message.sender), Body::IdentityChanged);
                self.send(from, answer);
            }
            return false;
        }
        // A group that addresses this very folder counts it among its members, or is about to.
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

    /// Takes the news that a voter's instance runs another folder.
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

/// Tells whether a message's numbers are such as a group may reach.
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
