//! The very first start: how new folders form a group.
//!
//! If the founding folder is lost before its first entry is committed, the others wait for it with
//! empty logs and for good: they may have voted, so they are not new. Nothing was accepted then; an
//! operator moves these folders away and starts the instances again.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Instance;

use crate::config::Config;
use crate::entry::{Entry, Payload, Position};
use crate::message::Body;
use crate::replica::Replica;
use crate::voter::{Group, Identity, Voter};

/// Time between two questions to the other founders.
const INTERVAL: Duration = Duration::from_secs(1);

/// Holds which founders have said that their folder is new.
#[derive(Debug)]
pub(crate) struct Founding {
    ask: Duration,
    fresh: BTreeMap<Instance, Identity>,
}

impl Founding {
    /// Starts with the first question due at once.
    pub(crate) fn new(now: Duration) -> Self {
        Self { ask: now, fresh: BTreeMap::new() }
    }

    /// Returns when the next question is due.
    pub(crate) fn wake(&self) -> Duration {
        self.ask
    }
}

impl Replica {
    /// Asks the other founders whether they are new, if it is this one that founds.
    ///
    /// If a founder whose disk was lost could found alone or with a part of the others, a second
    /// group would stand beside the first, and edits would be gone. So all founders must be new, and
    /// must say so to this very folder; a folder that is in a group never says it.
    pub(crate) fn tick_founding(&mut self) {
        if self.now < self.founding.ask {
            return;
        }
        self.founding.ask = self.now + INTERVAL;
        if !self.is_founder() {
            return;
        }
        self.founding.fresh.clear();
        for instance in self.setup.founders.clone() {
            if instance != self.setup.instance {
                let message = self.message(None, Body::FoundingQuery);
                self.send(&instance, message);
            }
        }
        self.found();
    }

    /// Answers the question whether this folder is new.
    pub(crate) fn asked_to_found(&mut self, from: &Instance, sender: Identity) {
        if self.is_new() && self.setup.founders.contains(from) {
            let answer = self.message(Some(sender), Body::FoundingResponse);
            self.send(from, answer);
        }
    }

    /// Takes the news that another founder's folder is new.
    pub(crate) fn told_fresh(&mut self, from: &Instance, sender: Identity) {
        if self.is_founder() && self.setup.founders.contains(from) {
            self.founding.fresh.insert(from.clone(), sender);
            self.found();
        }
    }

    /// Forms the group once all founders are known to be new.
    fn found(&mut self) {
        let fresh = &self.founding.fresh;
        let voter = |instance: &Instance| {
            let own = *instance == self.setup.instance;
            let identity = if own { Some(self.identity) } else { fresh.get(instance).copied() };
            identity.map(|identity| Voter { instance: instance.clone(), identity })
        };
        let Some(voters) = self.setup.founders.iter().map(voter).collect::<Option<Vec<_>>>() else {
            return;
        };
        self.hard.group = Some(Group(self.identity.0));
        self.hard.term = 1;
        self.hard.voted = Some(self.identity);
        self.unsaved = true;
        let payload = Payload::Config(Config::of(voters));
        self.append(vec![Entry { position: Position { term: 1, index: 1 }, payload }]);
        self.election = self.now;
    }

    /// Tells whether it falls to this replica to form the group.
    fn is_founder(&self) -> bool {
        self.is_new() && self.setup.founders.iter().min() == Some(&self.setup.instance)
    }

    /// Tells whether this folder has never been in a group.
    fn is_new(&self) -> bool {
        self.hard.group.is_none() && self.hard.term == 0 && self.log.last().index == 0
    }
}
