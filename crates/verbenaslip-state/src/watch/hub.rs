//! Combines the parts of one instance that follow, hold and publish the table.

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

/// Describes an input of the hub.
#[data]
pub enum Input {
    /// Time has passed; required at least every 100 ms.
    Tick,
    /// The known instances, with or without this one; replaces the previous list.
    Peers(Vec<Peer>),
    /// The leader as far as this instance knows; needed by voters only.
    Leader(Option<Instance>),
    /// The time until which this instance leads, or `None` if it does not lead.
    ///
    /// Sent only after the leader has applied everything that earlier leaders committed; no other
    /// instance can lead before the given time.
    Leading(Option<Duration>),
    /// The log committed an edit; for voters only.
    Committed {
        /// The revision that the edit created.
        revision: Revision,
        /// The changes of the edit.
        changes: Arc<[Change]>,
        /// The resulting table.
        table: Arc<Table>,
    },
    /// The log restored a snapshot or was read at startup; for voters only.
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

/// Describes an output of the hub.
#[data]
pub enum Output {
    /// Sends a message, which may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: Instance,
        /// The message.
        message: Message,
    },
    /// A newer table is in use.
    Table {
        /// The table's revision.
        revision: Revision,
        /// The table.
        table: Arc<Table>,
    },
}

/// Follows, holds and publishes the table on one instance.
#[derive(Clone, Debug)]
pub struct Hub {
    follower: Follower,
    publisher: Publisher,
    leads_until: Option<Duration>,
}

impl Hub {
    /// Creates a hub without a table; `boot` must differ at each start of the instance.
    pub fn new(instance: Instance, zone: AvailabilityZone, boot: u64) -> Self {
        Self {
            follower: Follower::new(instance.clone(), zone, boot),
            publisher: Publisher::new(instance),
            leads_until: None,
        }
    }

    /// Handles an input and appends the resulting outputs.
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

    /// Returns when the lease expires that allows this instance to accept work; may be in the past.
    pub fn lease(&self) -> Option<Duration> {
        let followed = self.follower.lease_expiry(self.publisher.window.revision());
        self.leads_until.max(followed)
    }

    /// Returns whether this instance may accept work by its table.
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

    /// Returns the followed publisher; `None` if this instance leads or has no publisher yet.
    pub fn followed_publisher(&self) -> Option<&Instance> {
        self.follower.publisher()
    }

    /// Returns the lease holders of this instance with their floors, to show which ones lag.
    pub fn floors(&self, now: Duration) -> Vec<Floor> {
        self.publisher.floors(now)
    }

    /// Returns how far a revision is in force; `None` if this instance does not lead or lacks it.
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
            // Another instance may have led in a gap, however short, and granted leases unknown
            // here.
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
            self.publisher.window.append(step, table);
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

    /// Returns the current right of this instance to grant leases, if it has one.
    fn authority(&self, now: Duration) -> Option<Authority> {
        if let Some(until) = self.leads_until.filter(|until| *until > now) {
            return Some(Authority { until, leader: true, path: Vec::new() });
        }
        let until = self.follower.lease_expiry(self.publisher.window.revision())?;
        Some(Authority { until, leader: false, path: self.follower.path().to_vec() })
    }
}
