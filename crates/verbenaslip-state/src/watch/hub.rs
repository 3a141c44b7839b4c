//! The parts of one instance that follow, hold and publish the table.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance};
use verbenaslip_table::{Change, Revision, Table};

use super::follower::{Follower, FollowerReport};
use super::message::{Message, Peer, Step};
use super::publisher::{Authority, Publisher};
use super::window::StepResult;
use crate::propagation::{Floor, Propagation};

/// Tells the hub what happened.
#[data]
pub enum Input {
    /// Time passes; due at least every 100 ms.
    Tick,
    /// The instances known now, with or without this one; replaces the list before.
    Peers(Vec<Peer>),
    /// Who leads, as far as this instance knows; only voters need it.
    Leader(Option<Instance>),
    /// This instance leads until the given time, or no longer.
    ///
    /// May come only once the leader has applied all that earlier leaders committed, and with a time
    /// before which no other instance can lead.
    Leading(Option<Duration>),
    /// The log committed an edit; voters only.
    Committed {
        /// The revision that it made.
        revision: Revision,
        /// Its changes.
        changes: Arc<[Change]>,
        /// The table that they led to.
        table: Arc<Table>,
    },
    /// The log took up a snapshot, or was read at the start; voters only.
    Restored {
        /// The newest revision.
        revision: Revision,
        /// The table.
        table: Arc<Table>,
    },
    /// Another instance sent a message.
    Receive {
        /// The sender.
        from: Instance,
        /// The message.
        message: Message,
    },
}

/// Asks for something to be done.
#[data]
pub enum Output {
    /// Sends a message; it may be lost, doubled or overtaken.
    Send {
        /// The receiver.
        to: Instance,
        /// The message.
        message: Message,
    },
    /// The table in use is a newer one.
    Table {
        /// Its revision.
        revision: Revision,
        /// The table.
        table: Arc<Table>,
    },
}

/// Follows, holds and publishes the table at one instance.
#[derive(Clone, Debug)]
pub struct Hub {
    follower: Follower,
    publisher: Publisher,
    leads_until: Option<Duration>,
}

impl Hub {
    /// Starts without a table; the number must differ at each start of the instance.
    pub fn new(me: Instance, zone: AvailabilityZone, boot: u64) -> Self {
        Self {
            follower: Follower::new(me.clone(), zone, boot),
            publisher: Publisher::new(me),
            leads_until: None,
        }
    }

    /// Takes what happened and adds what is to be done.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Peers(peers) => {
                self.publisher.set_peers(&peers);
                self.follower.set_peers(peers);
            }
            Input::Leader(leader) => self.follower.set_leader(leader),
            Input::Leading(until) => self.update_leadership(now, until),
            Input::Committed { revision, changes, table } => {
                self.commit(now, &Step { revision, changes }, table, out);
            }
            Input::Restored { revision, table } => self.replace(revision, table, out),
            Input::Receive { from, message } => self.handle_message(now, &from, message, out),
        }
        self.tick(now, out);
    }

    /// Returns when the lease runs out that lets this instance take work; the time may have passed.
    pub fn lease(&self) -> Option<Duration> {
        let followed = self.follower.lease_expiry(self.publisher.window.revision());
        self.leads_until.max(followed)
    }

    /// Says whether this instance may take work by its table.
    pub fn ready(&self, now: Duration) -> bool {
        self.lease().is_some_and(|until| until > now)
    }

    /// Returns the revision in use.
    pub fn revision(&self) -> Revision {
        self.publisher.window.revision()
    }

    /// Returns the table in use.
    pub fn table(&self) -> &Arc<Table> {
        self.publisher.window.table()
    }

    /// Returns whom this instance follows; none when it leads or looks for one.
    pub fn followed_publisher(&self) -> Option<&Instance> {
        self.follower.publisher()
    }

    /// Returns who holds a lease of this instance, to see who is behind.
    pub fn floors(&self, now: Duration) -> Vec<Floor> {
        self.publisher.floors(now)
    }

    /// Says whether a revision is in force everywhere; none when this instance does not lead.
    pub fn propagation(&self, now: Duration, revision: Revision) -> Option<Propagation> {
        let leads = self.leads_until.is_some_and(|until| until > now);
        let has = self.publisher.window.revision() >= revision;
        (leads && has).then(|| self.publisher.propagation(now, revision))
    }

    fn update_leadership(&mut self, now: Duration, until: Option<Duration>) {
        let led = self.leads_until.is_some_and(|until| until > now);
        self.leads_until = until;
        if until.is_some() {
            self.follower.stop();
            // Another may have led in a gap, however short, and granted leases unknown here.
            if !led {
                self.publisher.start_leading(now);
            }
        }
    }

    fn handle_message(
        &mut self,
        now: Duration,
        from: &Instance,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Renew(renew) => {
                let authority = self.authority(now);
                self.publisher.handle_renew(now, from, &renew, authority.as_ref(), out);
            }
            Message::Fetch(fetch) => self.publisher.handle_fetch(from, fetch, out),
            Message::Granted(granted) => self.follower.handle_granted(now, from, granted),
            Message::Away(refusal) => self.follower.handle_refusal(now, from, refusal),
            Message::Changes(steps) => self.handle_changes(now, &steps, out),
            Message::Offer(offer) => {
                let applied = self.publisher.window.revision();
                self.follower.handle_offer(now, from, offer, applied, out);
            }
            Message::Part(part) => {
                if let Some(snapshot) = self.follower.handle_part(now, from, &part, out) {
                    self.replace(snapshot.revision, Arc::new(snapshot.table), out);
                }
            }
        }
    }

    fn handle_changes(&mut self, now: Duration, steps: &[Step], out: &mut Vec<Output>) {
        let before = self.publisher.window.revision();
        for step in steps {
            let result = self.publisher.window.advance(step);
            if result == StepResult::Applied {
                self.publisher.push(now, step, out);
            } else {
                let applied = self.publisher.window.revision();
                self.follower.handle_unapplied(now, applied, result, out);
            }
        }
        self.emit_if_newer(before, out);
    }

    fn commit(&mut self, now: Duration, step: &Step, table: Arc<Table>, out: &mut Vec<Output>) {
        let before = self.publisher.window.revision();
        if step.revision == before.next() {
            self.publisher.window.push(step, table);
            self.publisher.push(now, step, out);
        } else {
            self.publisher.window.replace(step.revision, table);
        }
        self.emit_if_newer(before, out);
    }

    fn replace(&mut self, revision: Revision, table: Arc<Table>, out: &mut Vec<Output>) {
        let before = self.publisher.window.revision();
        self.publisher.window.replace(revision, table);
        self.emit_if_newer(before, out);
    }

    fn emit_if_newer(&self, before: Revision, out: &mut Vec<Output>) {
        let revision = self.publisher.window.revision();
        if revision > before {
            out.push(Output::Table { revision, table: self.publisher.window.table().clone() });
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.publisher.tick(now);
        if self.leads_until.is_some_and(|until| until > now) {
            return;
        }
        let applied = self.publisher.window.revision();
        let floor = self.publisher.floor(now).map_or(applied, |floor| floor.min(applied));
        let report = FollowerReport { applied, floor, has_followers: self.publisher.serves() };
        self.follower.tick(now, report, out);
    }

    /// Returns what lets this instance grant leases now.
    fn authority(&self, now: Duration) -> Option<Authority> {
        if let Some(until) = self.leads_until.filter(|until| *until > now) {
            return Some(Authority { until, leader: true, path: Vec::new() });
        }
        let until = self.follower.lease_expiry(self.publisher.window.revision())?;
        Some(Authority { until, leader: false, path: self.follower.path().to_vec() })
    }
}
