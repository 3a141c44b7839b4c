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
const UNREACHED: u64 = 1 << 60;

impl Replica {
    /// Takes a message.
    pub(crate) fn receive(&mut self, from: &Instance, message: Message) {
        if !is_plausible(&message) || !self.admits(from, &message) {
            return;
        }
        match &message.body {
            Body::PreVote { last_position: last } => self.pre_vote(from, &message, *last),
            Body::PreVoteResponse { granted } => self.pre_voted(&message, *granted),
            Body::Vote { last_position: last, transfer } => {
                self.vote(from, &message, *last, *transfer)
            }
            Body::VoteResponse { granted } => self.voted(&message, *granted),
            Body::Append { .. } | Body::SnapshotChunk { .. } => self.lead_by(from, message),
            Body::AppendResponse { .. }
            | Body::AppendConflict { .. }
            | Body::SnapshotChunkResponse { .. } => {
                self.answered(&message);
            }
            Body::Campaign => self.asked_to_campaign(&message),
            Body::FoundingQuery => self.asked_to_found(from, message.sender),
            Body::FoundingResponse => self.told_fresh(from, message.sender),
            Body::IdentityChanged => self.told_stranger(from, &message),
        }
    }

    /// Tells whether a message is for this folder and from its group.
    fn admits(&mut self, from: &Instance, message: &Message) -> bool {
        if matches!(
            message.body,
            Body::FoundingQuery | Body::FoundingResponse | Body::IdentityChanged
        ) {
            return message.target.is_none_or(|target| target == self.identity);
        }
        let Some(group) = message.group else { return false };
        if self.hard.group.is_some_and(|own| own != group) {
            return false;
        }
        if message.target != Some(self.identity) {
            // A leader that still counts on a folder that was lost here would wait forever for its
            // acknowledgements. It learns of the new folder, and an operator or a plan replaces it.
            if matches!(message.body, Body::Append { .. } | Body::SnapshotChunk { .. }) {
                let answer = self.message(Some(message.sender), Body::IdentityChanged);
                self.send(from, answer);
            }
            return false;
        }
        // A group that addresses this very folder counts it among its members, or is about to.
        let joins = matches!(
            message.body,
            Body::PreVote { .. }
                | Body::Vote { .. }
                | Body::Append { .. }
                | Body::SnapshotChunk { .. }
        );
        if self.hard.group.is_none() && joins {
            self.hard.group = Some(group);
            self.unsaved = true;
        }
        true
    }

    /// Takes the news that a voter's instance runs another folder.
    fn told_stranger(&mut self, from: &Instance, message: &Message) {
        let voter = Voter { instance: from.clone(), identity: message.sender };
        let config = self.log.config();
        let counts = config.members().any(|member| member.instance == *from);
        let State::Leader(leading) = &mut self.state else { return };
        if !counts || config.contains(voter.identity) {
            return;
        }
        if leading.strangers.insert(from.clone(), voter.identity) != Some(voter.identity) {
            self.out.push(Output::IdentityChanged(voter));
        }
    }
}

/// Tells whether a message's numbers are such as a group may reach.
fn is_plausible(message: &Message) -> bool {
    let chunk = match &message.body {
        Body::SnapshotChunk { header: head, .. } => Some(head.position),
        _ => None,
    };
    message.term < UNREACHED
        && chunk.is_none_or(|end| end.index < UNREACHED && end.term <= message.term)
}
