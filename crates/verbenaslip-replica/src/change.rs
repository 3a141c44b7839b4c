//! Changes of the voter set, by a joint configuration.

use std::time::Duration;

use crate::config::{Change, Config};
use crate::entry::{Payload, Position};
use crate::output::{Answer, Output, Rejection};
use crate::peer::Peer;
use crate::replica::{Replica, State};

/// Entries by which a new voter may lag when it begins to count.
const SLACK: u64 = 64;

/// Holds the change that was asked for in this term.
#[derive(Debug)]
pub(crate) struct Changing {
    token: u64,
    change: Change,
    until: Duration,
    /// The first round that begins after the change was asked for.
    round: u64,
    stage: Stage,
}

/// Says how far a change is.
#[derive(Debug, PartialEq, Eq)]
enum Stage {
    /// The new voter catches up; nothing is in the log yet.
    CatchUp,
    /// The joint configuration is in the log.
    Joint,
    /// The new configuration is in the log at this index.
    Settled(u64),
}

impl Changing {
    /// Returns when the new voter must have caught up.
    pub(crate) fn until(&self) -> Duration {
        if self.stage == Stage::CatchUp { self.until } else { Duration::MAX }
    }

    /// Answers when the leadership is lost.
    pub(crate) fn abandoned(&self, rejection: Rejection) -> Output {
        let answer = match self.stage {
            Stage::CatchUp => Answer::Rejected(rejection),
            Stage::Joint | Stage::Settled(_) => Answer::Unknown,
        };
        Output::Answer { token: self.token, answer }
    }
}

impl Replica {
    /// Takes a change of the voter set.
    pub(crate) fn change(&mut self, token: u64, change: Change) {
        if let Some(answer) = self.change_answer(&change) {
            self.out.push(Output::Answer { token, answer });
            return;
        }
        let until = self.now + self.setup.timing.change;
        let next = self.log.last().index + 1;
        let State::Leader(leading) = &mut self.state else { return };
        if let Some(voter) = change.incoming() {
            let peer = || Peer::new(voter.clone(), next);
            leading.peers.entry(voter.identity).or_insert_with(peer);
        }
        let round = leading.rounds.number() + 1;
        leading.change = Some(Changing { token, change, until, round, stage: Stage::CatchUp });
    }

    /// Gives up on a new voter that does not catch up.
    pub(crate) fn tick_change(&mut self) {
        let State::Leader(leading) = &mut self.state else { return };
        let Some(change) = leading.change.take_if(|change| self.now >= change.until()) else {
            return;
        };
        self.out.push(change.abandoned(Rejection::Behind));
        self.drop_peers();
    }

    /// Goes on with a change as far as what is committed allows.
    pub(crate) fn advance_change(&mut self) {
        let State::Leader(leading) = &self.state else { return };
        // A leader that has not committed anything in its term may hold a configuration that a
        // newer one has replaced elsewhere; building on it could make two sets without overlap.
        let settled = self.commit >= leading.start && self.commit >= self.log.config_index();
        if !settled {
            return;
        }
        let config = self.log.config();
        if config.is_joint() {
            let next = config.settled();
            let index = self.append_config(next);
            self.note(Stage::Settled(index));
        } else if let Some(joint) = self.prepared() {
            self.append_config(joint);
            self.note(Stage::Joint);
        }
    }

    /// Answers a change whose new configuration is committed.
    pub(crate) fn answer_change(&mut self) {
        let (commit, term) = (self.commit, self.hard.term);
        let State::Leader(leading) = &mut self.state else { return };
        let ended = |change: &mut Changing| matches!(change.stage, Stage::Settled(index) if index <= commit);
        let Some(change) = leading.change.take_if(ended) else { return };
        let Stage::Settled(index) = change.stage else { return };
        let answer = Answer::Committed(Position { term, index });
        self.out.push(Output::Answer { token: change.token, answer });
    }

    /// Lets go of followers that no longer count, and of leadership if this is one of them.
    pub(crate) fn retire(&mut self) {
        let State::Leader(leading) = &self.state else { return };
        let config = self.log.config();
        let settled = self.commit >= leading.start && self.commit >= self.log.config_index();
        if !settled || config.is_joint() {
            return;
        }
        if config.contains(self.identity) {
            self.drop_peers();
            return;
        }
        self.hand_over();
        self.follow(self.hard.term, None);
    }

    /// Answers a change that needs no work or can't be taken.
    fn change_answer(&self, change: &Change) -> Option<Answer> {
        let State::Leader(leading) = &self.state else {
            let leader = self.leader.clone();
            return Some(Answer::Rejected(Rejection::NotLeader { leader }));
        };
        let config = self.log.config();
        if leading.transfer.is_some() {
            return Some(Answer::Rejected(Rejection::TransferInProgress));
        }
        if leading.change.is_some() || config.is_joint() {
            return Some(Answer::Rejected(Rejection::Changing));
        }
        let index = self.log.config_index();
        if change.is_done(&config.voters) {
            // It is what an earlier leader appended; whether that stays is not known before it commits.
            if index > self.commit {
                return Some(Answer::Rejected(Rejection::Changing));
            }
            let term = self.log.term(index).unwrap_or(0);
            return Some(Answer::Committed(Position { term, index }));
        }
        let fits = change.applied(&config.voters).is_some();
        (!fits).then_some(Answer::Rejected(Rejection::Unfit))
    }

    /// Returns the joint configuration of a change whose new voter has caught up.
    fn prepared(&self) -> Option<Config> {
        let State::Leader(leading) = &self.state else { return None };
        let change = leading.change.as_ref().filter(|change| change.stage == Stage::CatchUp)?;
        if let Some(voter) = change.change.incoming() {
            let peer = leading.peers.get(&voter.identity)?;
            let near = peer.matched + SLACK >= self.log.last().index;
            let answered = peer.round >= change.round;
            if peer.matched < leading.start || !near || !answered {
                return None;
            }
        }
        let config = self.log.config();
        let joint = config.joint(change.change.applied(&config.voters)?);
        self.is_reachable(&joint, change.round).then_some(joint)
    }

    /// Tells whether a quorum of each set has answered since a round began.
    ///
    /// An entry with a set of which no quorum lives can never commit, and whoever holds it can never
    /// be elected by the others: the group would hang until an operator rescues it.
    fn is_reachable(&self, config: &Config, round: u64) -> bool {
        let State::Leader(leading) = &self.state else { return false };
        let answered = |identity| match leading.peers.get(&identity) {
            Some(peer) => peer.round,
            None if identity == self.identity => round,
            None => 0,
        };
        config.quorum(answered) >= round
    }

    /// Appends a configuration, which is in force at once.
    fn append_config(&mut self, config: Config) -> u64 {
        let index = self.append_own(Payload::Config(config));
        let others = self.others();
        let State::Leader(leading) = &mut self.state else { return index };
        for voter in others {
            let peer = || Peer::new(voter.clone(), index);
            leading.peers.entry(voter.identity).or_insert_with(peer);
        }
        index
    }

    /// Notes how far the change that was asked for is.
    fn note(&mut self, stage: Stage) {
        let State::Leader(leading) = &mut self.state else { return };
        if let Some(change) = &mut leading.change {
            change.stage = stage;
        }
    }

    /// Drops followers that are neither voters nor catching up.
    fn drop_peers(&mut self) {
        let config = self.log.config();
        let State::Leader(leading) = &mut self.state else { return };
        let incoming = leading.change.as_ref().and_then(|change| change.change.incoming());
        let incoming = incoming.map(|voter| voter.identity);
        leading
            .peers
            .retain(|identity, _| config.contains(*identity) || incoming == Some(*identity));
    }
}
