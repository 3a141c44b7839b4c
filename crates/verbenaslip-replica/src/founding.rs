//! Forming a group from new data directories at the first start.
//!
//! If the data directory of the founder that forms the group is lost before its first log entry is
//! committed, the other founders wait for it forever with empty logs: they may have voted, so they
//! are not new. No command has been accepted at that time. An operator has to move their data
//! directories away and restart the instances.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::entry::{Entry, Payload, Position};
use crate::message::Body;
use crate::replica::Replica;
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
            return;
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

    /// Answers the query whether this data directory is new.
    pub(crate) fn handle_founding_query(&mut self, from: &Instance, sender: Identity) {
        if self.is_new() && self.setup.founders.contains(from) {
            let answer = self.new_message(Some(sender), Body::FoundingResponse);
            self.send(from, answer);
        }
    }

    /// Handles the report that another founder's data directory is new.
    pub(crate) fn handle_founding_response(&mut self, from: &Instance, sender: Identity) {
        if self.is_group_founder() && self.setup.founders.contains(from) {
            self.founding.new_founders.insert(from.clone(), sender);
            self.form_group();
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
        self.hard_state.group.is_none() && self.hard_state.term == 0 && self.log.last().index == 0
    }
}
