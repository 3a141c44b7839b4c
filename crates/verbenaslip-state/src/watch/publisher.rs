//! The publishing side, which sends the table and grants leases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::name::Instance;
use verbenaslip_table::Revision;

use super::hub::Output;
use super::message::{Fetch, Granted, Message, Peer, Refusal, Renew, Step};
use super::window::Window;
use crate::lease::MAX_DURATION;
use crate::propagation::{Floor, Holder, Propagation, Tracker};

/// Maximum number of followers of one publisher, not counting voters that follow the leader.
///
/// Twice as many would double a publisher's messages and save at most one level of the tree.
pub const MAX_FOLLOWERS: usize = 8;

/// Maximum number of instances through which a lease passes, including the leader.
pub const MAX_DEPTH: usize = 6;

/// How long a silent follower is kept.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the publisher waits for the log to bring a voter its missing changes.
const MAX_LOG_LAG: Duration = Duration::from_secs(2);

/// How long sent changes may be in transit before they are resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Describes the right of a publisher to grant leases.
#[derive(Clone, Debug)]
pub struct Authority {
    /// The end of the leader's lease, or of the table lease of an instance that grants leases.
    pub until: Duration,
    /// Whether this instance leads, so that it grants leases of the full duration.
    pub leader: bool,
    /// The instances through which the lease was granted, without this one.
    pub path: Vec<Instance>,
}

/// Publishes the table to followers and grants them leases.
#[derive(Clone, Debug)]
pub struct Publisher {
    instance: Instance,
    voters: BTreeSet<Instance>,
    followers: BTreeMap<Instance, FollowerState>,
    tracker: Tracker,
    pub(crate) window: Window,
}

impl Publisher {
    pub(crate) fn new(instance: Instance) -> Self {
        Self {
            instance,
            voters: BTreeSet::new(),
            followers: BTreeMap::new(),
            tracker: Tracker::default(),
            window: Window::default(),
        }
    }

    pub(crate) fn start_leading(&mut self, now: Duration) {
        self.tracker.start_leading(now);
    }

    pub(crate) fn set_peers(&mut self, peers: &[Peer]) {
        let voters = peers.iter().filter(|peer| peer.voter);
        self.voters = voters.map(|peer| peer.instance.clone()).collect();
    }

    /// Returns whether there is any follower.
    pub(crate) fn serves(&self) -> bool {
        !self.followers.is_empty()
    }

    /// Returns the lowest revision by which any follower may serve.
    pub(crate) fn floor(&self, now: Duration) -> Option<Revision> {
        self.tracker.floor(now)
    }

    pub(crate) fn floors(&self, now: Duration) -> Vec<Floor> {
        self.tracker.floors(now)
    }

    pub(crate) fn propagation(&self, now: Duration, revision: Revision) -> Propagation {
        self.tracker.propagation(now, revision)
    }

    pub(crate) fn tick(&mut self, now: Duration) {
        self.followers
            .retain(|_, follower| now < follower.last_seen.saturating_add(FOLLOWER_TIMEOUT));
    }

    /// Answers a lease request.
    pub(crate) fn handle_renew(
        &mut self,
        now: Duration,
        from: &Instance,
        renew: &Renew,
        authority: Option<&Authority>,
        out: &mut Vec<Output>,
    ) {
        let holder = Holder { instance: from.clone(), boot: renew.nonce.boot };
        self.tracker.record_floor(&holder, renew.floor);
        let answer = match authority {
            Some(authority) if authority.until > now => authority,
            _ => return self.refuse(from, renew, Vec::new(), out),
        };
        // An instance that asked one of its own followers would be granted the rest of its own
        // lease.
        if answer.path.contains(from) || answer.path.len() + 1 >= MAX_DEPTH {
            return self.refuse(from, renew, Vec::new(), out);
        }
        if !self.admits(from, answer.leader) {
            let others = self.followers.keys().filter(|name| !self.voters.contains(*name));
            return self.refuse(from, renew, others.cloned().collect(), out);
        }
        let remaining = answer.until.saturating_sub(now);
        let duration = if answer.leader { MAX_DURATION } else { remaining.min(MAX_DURATION) };
        let duration_ms = u32::try_from(duration.as_millis()).unwrap_or_default();
        let revision = self.window.revision();
        self.tracker.grant(now, holder, revision, duration);
        let mut path = answer.path.clone();
        path.push(self.instance.clone());
        let granted = Granted { nonce: renew.nonce, revision, duration_ms, path };
        send(out, from, Message::Granted(granted));
        self.catch_up(now, from, renew.applied, out);
    }

    /// Sends a part of a snapshot, or offers a new snapshot if the requested one is not kept.
    pub(crate) fn handle_fetch(&mut self, from: &Instance, fetch: Fetch, out: &mut Vec<Output>) {
        if !self.followers.contains_key(from) {
            return;
        }
        let message = match self.window.part(fetch.revision, fetch.part) {
            Some(part) => Message::Part(part),
            None => Message::Offer(self.window.offer(fetch.revision)),
        };
        send(out, from, message);
    }

    /// Sends the changes of the newest revision to every follower that has the previous one.
    pub(crate) fn push(&mut self, now: Duration, step: &Step, out: &mut Vec<Output>) {
        let changes = self.window.changes_after(Revision(step.revision.0.saturating_sub(1)));
        for (name, follower) in &mut self.followers {
            if self.voters.contains(name) || follower.sent.next() != step.revision {
                continue;
            }
            follower.sent = step.revision;
            follower.sent_at = now;
            let message = match &changes {
                Some(_) => Message::Changes(vec![step.clone()]),
                None => Message::Offer(self.window.offer(step.revision)),
            };
            send(out, name, message);
        }
    }

    /// Sends the changes that a follower lacks, unless they are in transit.
    fn catch_up(
        &mut self,
        now: Duration,
        from: &Instance,
        applied: Revision,
        out: &mut Vec<Output>,
    ) {
        let initial = FollowerState {
            last_seen: now,
            sent: applied,
            sent_at: Duration::ZERO,
            behind_since: None,
        };
        let follower = self.followers.entry(from.clone()).or_insert(initial);
        follower.last_seen = now;
        if applied >= self.window.revision() {
            follower.behind_since = None;
            follower.sent = follower.sent.max(applied);
            return;
        }
        // A voter gets its changes from the log. If it has left the voter set and this list is
        // outdated, it would wait for changes that no instance sends and never become ready.
        let behind_since = *follower.behind_since.get_or_insert(now);
        let from_log = self.voters.contains(from) && now < behind_since.saturating_add(MAX_LOG_LAG);
        let in_transit =
            follower.sent > applied && now < follower.sent_at.saturating_add(RESEND_INTERVAL);
        if from_log || in_transit {
            return;
        }
        follower.sent = self.window.revision();
        follower.sent_at = now;
        match self.window.changes_after(applied) {
            Some(messages) => {
                messages.into_iter().for_each(|steps| send(out, from, Message::Changes(steps)));
            }
            None => send(out, from, Message::Offer(self.window.offer(applied.next()))),
        }
    }

    /// Returns whether an instance is a follower or may become one.
    ///
    /// The leader reserves places for the other voters, which follow it rather than one another.
    fn admits(&self, from: &Instance, leader: bool) -> bool {
        let others = self.followers.keys().filter(|name| !self.voters.contains(*name)).count();
        let reserved = if leader { self.voters.len().saturating_sub(1) } else { 0 };
        let known = self.followers.contains_key(from) || self.voters.contains(from);
        known || others < MAX_FOLLOWERS.saturating_sub(reserved)
    }

    fn refuse(
        &mut self,
        from: &Instance,
        renew: &Renew,
        others: Vec<Instance>,
        out: &mut Vec<Output>,
    ) {
        self.followers.remove(from);
        send(out, from, Message::Away(Refusal { nonce: renew.nonce, others }));
    }
}

/// Holds the state of one follower.
#[derive(Clone, Debug)]
struct FollowerState {
    last_seen: Duration,
    sent: Revision,
    sent_at: Duration,
    /// The time since which the follower has reported older revisions.
    behind_since: Option<Duration>,
}

fn send(out: &mut Vec<Output>, to: &Instance, message: Message) {
    out.push(Output::Send { to: to.clone(), message });
}
