//! Forming a group from new data directories at the first start.
//!
//! A founder's data directory names all founders, so that one which restarts before the group is
//! formed still takes part. One whose data directory is lost by then has a new one without them: it
//! confirms that it is new to whoever counts it among the founders, and if it is the one that forms
//! the group, another founder tells it who they are.
//!
//! If the data directory of the founder that forms the group is lost before its first log entry is
//! committed, the others may have voted in a group that no longer exists. While their logs are empty,
//! nothing was committed in it, so they leave it for the one that the new data directory forms.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::entry::{Entry, Payload, Position};
use crate::message::Body;
use crate::replica::{Replica, State};
use crate::storage::HardState;
use crate::voter::{Group, Identity, Voter};

/// The time between two queries to the other founders.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Holds the founders that have reported a new data directory.
#[derive(Debug)]
pub(crate) struct Founding {
    next_query: Duration,
    new_founders: BTreeMap<Instance, Identity>,
}

impl Founding {
    /// Returns a state in which the first query is due at once.
    pub(crate) fn new(now: Duration) -> Self {
        Self { next_query: now, new_founders: BTreeMap::new() }
    }

    /// Returns when the next query is due.
    pub(crate) fn next_tick(&self) -> Duration {
        self.next_query
    }
}

impl Replica {
    /// Queries the other founders whether they are new, if this replica is the one that forms the
    /// group.
    ///
    /// If a founder that lost its disk could form a group alone or with some of the others, there
    /// would be a second group, without the committed commands of the first. So all founders must
    /// be new, and must confirm that to this identity. A replica that is in a group never confirms
    /// it.
    pub(crate) fn tick_founding(&mut self) {
        if self.now < self.founding.next_query {
            return;
        }
        self.founding.next_query = self.now + QUERY_INTERVAL;
        if !self.is_group_founder() {
            return self.query_group_founder();
        }
        self.founding.new_founders.clear();
        for instance in self.setup.founders.clone() {
            if instance != self.setup.instance {
                let message = self.new_message(None, Body::FoundingQuery);
                self.send(&instance, message);
            }
        }
        self.form_group();
    }

    /// Queries the founder that forms the group, which may have lost its data directory and not know
    /// that it does.
    fn query_group_founder(&mut self) {
        let first = self.setup.founders.iter().min();
        let Some(first) = first.filter(|_| self.has_empty_log()) else { return };
        let (first, query) = (first.clone(), self.new_message(None, Body::FoundingQuery));
        self.send(&first, query);
    }

    /// Answers the query whether this data directory is new.
    ///
    /// A data directory that names no founders may be the new one of a founder. No group can exist
    /// then: the one founder that forms it asks only while its own data directory is new.
    pub(crate) fn handle_founding_query(&mut self, from: &Instance, sender: Identity) {
        let founders = &self.setup.founders;
        let is_asked_as_founder = founders.is_empty() || founders.contains(from);
        if !is_asked_as_founder || !self.has_empty_log() {
            return;
        }
        if !self.is_new() {
            // The query may be a late one of the founder that has formed this group meanwhile.
            let is_own_group = self.hard_state.group == Some(Group(sender.0));
            if founders.is_empty() || is_own_group || founders.iter().min() != Some(from) {
                return;
            }
            self.outbox.discard_held();
            self.hard_state = HardState::default();
            self.hard_state_changed = true;
            (self.state, self.leader) = (State::Follower, None);
        }
        let answer = self.new_message(Some(sender), Body::FoundingResponse);
        self.send_after_hard_state(from, answer);
    }

    /// Handles the report that another founder's data directory is new.
    pub(crate) fn handle_founding_response(&mut self, from: &Instance, sender: Identity) {
        if self.is_group_founder() && self.setup.founders.contains(from) {
            self.founding.new_founders.insert(from.clone(), sender);
            self.form_group();
        } else if self.has_empty_log() && self.setup.founders.iter().min() == Some(from) {
            let founders = Body::Founders(self.setup.founders.clone());
            let message = self.new_message(Some(sender), founders);
            self.send(from, message);
        }
    }

    /// Handles the founders that another one names to this replica, whose data directory was lost.
    pub(crate) fn handle_founders(&mut self, from: &Instance, founders: &[Instance]) {
        let names_both = founders.contains(from) && founders.contains(&self.setup.instance);
        if self.is_new() && self.setup.founders.is_empty() && names_both {
            self.setup.founders = founders.to_vec();
            self.founding.next_query = self.now;
        }
    }

    /// Forms the group once all founders are known to be new.
    fn form_group(&mut self) {
        let new_founders = &self.founding.new_founders;
        let voter = |instance: &Instance| {
            let is_own = *instance == self.setup.instance;
            let identity =
                if is_own { Some(self.identity) } else { new_founders.get(instance).copied() };
            identity.map(|identity| Voter { instance: instance.clone(), identity })
        };
        let Some(voters) = self.setup.founders.iter().map(voter).collect::<Option<Vec<_>>>() else {
            return;
        };
        self.hard_state.group = Some(Group(self.identity.0));
        self.hard_state.term = 1;
        self.hard_state.voted = Some(self.identity);
        self.hard_state_changed = true;
        let payload = Payload::Config(Config::new(voters));
        self.append_entries(vec![Entry { position: Position { term: 1, index: 1 }, payload }]);
        self.election_due_at = self.now;
    }

    /// Returns whether this replica is the founder that forms the group: the first one by name.
    fn is_group_founder(&self) -> bool {
        self.is_new() && self.setup.founders.iter().min() == Some(&self.setup.instance)
    }

    /// Returns whether this data directory has never been in a group.
    fn is_new(&self) -> bool {
        self.hard_state.group.is_none() && self.hard_state.term == 0 && self.has_empty_log()
    }

    fn has_empty_log(&self) -> bool {
        self.log.last().index == 0
    }
}
