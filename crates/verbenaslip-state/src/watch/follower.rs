//! The following side, which receives the table and holds the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_base::name::{AvailabilityZone, Instance};
use verbenaslip_table::{Revision, Table};

use super::hub::Output;
use super::message::{
    Fetch, Granted, MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES, Message, Offer, Part, Peer, Refusal,
    Renew,
};
use super::window::StepResult;
use crate::lease::{Lease, Nonce, RELAY_RENEWAL_INTERVAL, RENEWAL_INTERVAL};

/// How long to wait for an answer before the request is resent.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// How long a publisher may be silent before another one is chosen.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How long a publisher is avoided after it was silent.
const AVOID_AFTER_SILENCE: Duration = Duration::from_secs(5);

/// How long a publisher is avoided after it refused.
const AVOID_AFTER_REFUSAL: Duration = Duration::from_secs(1);

/// The minimum pause before the next publisher is asked.
///
/// Jitter, hashed from the instance name and the request count, adds up to the same time again.
const BASE_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of times that the pause doubles while no publisher grants a lease.
const MAX_DOUBLINGS: u32 = 4;

/// How often in a row a publisher without a lease is asked again before another one is chosen.
const MAX_LEASELESS_RETRIES: u32 = 2;

/// The minimum time between two reports of applied revisions.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Follows one publisher at a time and holds the lease that it grants.
#[derive(Clone, Debug)]
pub struct Follower {
    instance: Instance,
    zone: AvailabilityZone,
    boot: u64,
    request_count: u32,
    peers: Vec<Peer>,
    leader: Option<Instance>,
    suggested: Vec<Instance>,
    avoided_until: BTreeMap<Instance, Duration>,
    publisher: Option<FollowedPublisher>,
    path: Vec<Instance>,
    lease: Lease,
    fetch: Option<SnapshotFetch>,
    /// The number of publishers left in a row without a grant.
    leave_count: u32,
    resume_at: Duration,
}

impl Follower {
    pub(crate) fn new(instance: Instance, zone: AvailabilityZone, boot: u64) -> Self {
        Self {
            instance,
            zone,
            boot,
            request_count: 0,
            peers: Vec::new(),
            leader: None,
            suggested: Vec::new(),
            avoided_until: BTreeMap::new(),
            publisher: None,
            path: Vec::new(),
            lease: Lease::default(),
            fetch: None,
            leave_count: 0,
            resume_at: Duration::ZERO,
        }
    }

    /// Returns when the lease expires if the given revision is in use.
    pub(crate) fn lease_expiry(&self, applied: Revision) -> Option<Duration> {
        self.lease.expiry(applied)
    }

    /// Returns the instances through which the lease was granted.
    pub(crate) fn path(&self) -> &[Instance] {
        &self.path
    }

    /// Returns the followed publisher.
    pub(crate) fn publisher(&self) -> Option<&Instance> {
        self.publisher.as_ref().map(|publisher| &publisher.name)
    }

    pub(crate) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// Updates the leader; a new leader is asked at once, without any remaining pause.
    pub(crate) fn set_leader(&mut self, leader: Option<Instance>) {
        if leader.is_some() && leader != self.leader {
            self.leave_count = 0;
            self.resume_at = Duration::ZERO;
            self.avoided_until.clear();
        }
        self.leader = leader;
    }

    /// Stops following, since this instance leads.
    pub(crate) fn stop(&mut self) {
        self.publisher = None;
        self.fetch = None;
    }

    /// Sends the requests that are due.
    pub(crate) fn tick(&mut self, now: Duration, report: FollowerReport, out: &mut Vec<Output>) {
        self.avoided_until.retain(|_, until| *until > now);
        if let Some(publisher) = &self.publisher
            && publisher
                .unanswered_since
                .is_some_and(|since| now >= since.saturating_add(SILENCE_TIMEOUT))
        {
            self.leave(now, AVOID_AFTER_SILENCE);
        }
        if self.publisher.is_none() && now >= self.resume_at {
            let first_count = self.request_count.wrapping_add(1);
            self.publisher =
                self.choose_publisher().map(|name| FollowedPublisher::new(name, first_count));
        }
        let Some(publisher) = &self.publisher else { return };
        let interval = if report.has_followers { RELAY_RENEWAL_INTERVAL } else { RENEWAL_INTERVAL };
        let interval = if publisher.unanswered_since.is_some() { RETRY_INTERVAL } else { interval };
        let floor_rose =
            report.floor > publisher.reported_floor && publisher.unanswered_since.is_none();
        let interval =
            if floor_rose || publisher.report_soon { MIN_REPORT_INTERVAL } else { interval };
        if publisher.last_request_at.is_none_or(|at| now >= at.saturating_add(interval)) {
            self.request_lease(now, report, out);
        }
        self.fetch_again(now, out);
    }

    /// Handles a granted lease.
    pub(crate) fn handle_granted(&mut self, now: Duration, from: &Instance, granted: Granted) {
        let duration = Duration::from_millis(granted.duration_ms.into());
        if !self.lease.accept_grant(now, granted.nonce, granted.revision, duration) {
            return;
        }
        if let Some(publisher) = &mut self.publisher
            && publisher.name == *from
        {
            publisher.unanswered_since = None;
            self.path = granted.path;
            self.path.truncate(super::publisher::MAX_DEPTH);
            self.suggested.clear();
            self.leave_count = 0;
        }
    }

    /// Leaves a publisher that refuses, preferring the instances that it names.
    pub(crate) fn handle_refusal(&mut self, now: Duration, from: &Instance, refusal: Refusal) {
        let Some(publisher) = &self.publisher else { return };
        let is_current =
            refusal.nonce.boot == self.boot && refusal.nonce.count >= publisher.first_count;
        if publisher.name != *from || !is_current {
            return;
        }
        if !refusal.others.is_empty() {
            // Other instances can grant leases, so the pause need not grow.
            self.leave_count = 0;
        }
        // A publisher in the same availability zone that has just started will soon have a lease. A
        // follower that left for another zone at once would stay there.
        let retry_same = refusal.others.is_empty() && self.leave_count < MAX_LEASELESS_RETRIES;
        self.leave(now, if retry_same { Duration::ZERO } else { AVOID_AFTER_REFUSAL });
        self.suggested = refusal.others;
        self.suggested.truncate(super::publisher::MAX_FOLLOWERS);
    }

    /// Handles changes that could not be applied.
    pub(crate) fn handle_unapplied(
        &mut self,
        now: Duration,
        applied: Revision,
        result: StepResult,
        out: &mut Vec<Output>,
    ) {
        let Some(publisher) = &mut self.publisher else { return };
        match result {
            StepResult::Applied | StepResult::Known => {}
            StepResult::Gap => publisher.report_soon = true,
            StepResult::Mismatch if self.fetch.is_none() => {
                // No snapshot has this part, so the publisher answers with an offer.
                let wanted = Offer { revision: applied.next(), bytes: 0, digest: 0 };
                let fetch = SnapshotFetch {
                    next: u32::MAX,
                    requested_at: now,
                    ..SnapshotFetch::new(wanted)
                };
                out.push(fetch.request(publisher.name.clone()));
                self.fetch = Some(fetch);
            }
            StepResult::Mismatch => {}
        }
    }

    /// Starts fetching an offered snapshot.
    pub(crate) fn handle_offer(
        &mut self,
        now: Duration,
        from: &Instance,
        offer: Offer,
        applied: Revision,
        out: &mut Vec<Output>,
    ) {
        let current = self.fetch.as_ref().is_some_and(|fetch| fetch.offer == offer);
        let fits = offer.revision > applied && offer.bytes <= MAX_SNAPSHOT_BYTES;
        if self.publisher() != Some(from) || current || !fits {
            return;
        }
        let fetch = SnapshotFetch::new(offer);
        out.push(fetch.request(from.clone()));
        self.fetch = Some(SnapshotFetch { requested_at: now, ..fetch });
    }

    /// Handles a part of a snapshot; returns the table once the snapshot is complete.
    pub(crate) fn handle_part(
        &mut self,
        now: Duration,
        from: &Instance,
        part: &Part,
        out: &mut Vec<Output>,
    ) -> Option<Snapshot> {
        if self.publisher() != Some(from) {
            return None;
        }
        let fetch = self.fetch.as_mut()?;
        if !fetch.accept_part(now, part) {
            return None;
        }
        if !fetch.is_complete() {
            out.push(fetch.request(from.clone()));
            return None;
        }
        let fetch = self.fetch.take()?;
        if let Some(publisher) = &mut self.publisher {
            publisher.report_soon = true;
        }
        fetch.decode()
    }

    /// Requests the lease.
    fn request_lease(&mut self, now: Duration, report: FollowerReport, out: &mut Vec<Output>) {
        self.request_count = self.request_count.wrapping_add(1);
        let nonce = Nonce { boot: self.boot, count: self.request_count };
        let Some(publisher) = &mut self.publisher else { return };
        publisher.unanswered_since.get_or_insert(now);
        publisher.last_request_at = Some(now);
        publisher.reported_floor = report.floor;
        publisher.report_soon = false;
        self.lease.record_request(now, nonce);
        let renew = Renew { nonce, applied: report.applied, floor: report.floor };
        out.push(Output::Send { to: publisher.name.clone(), message: Message::Renew(renew) });
    }

    /// Requests a part again that did not arrive.
    fn fetch_again(&mut self, now: Duration, out: &mut Vec<Output>) {
        let (Some(fetch), Some(publisher)) = (&mut self.fetch, &self.publisher) else { return };
        if now >= fetch.requested_at.saturating_add(RETRY_INTERVAL) {
            fetch.requested_at = now;
            out.push(fetch.request(publisher.name.clone()));
        }
    }

    fn leave(&mut self, now: Duration, avoid_for: Duration) {
        let Some(publisher) = self.publisher.take() else { return };
        self.fetch = None;
        self.avoided_until.insert(publisher.name, now.saturating_add(avoid_for));
        // Otherwise all followers of a lost publisher would ask the next one at the same moment.
        // While there is no quorum, no instance has a lease to grant, however often it is asked.
        let pause = BASE_PAUSE * (1 << self.leave_count.min(MAX_DOUBLINGS));
        self.leave_count = self.leave_count.saturating_add(1);
        let parts = [self.instance.as_str().as_bytes(), &self.request_count.to_le_bytes()];
        let jitter_range = (pause.as_millis() as u64).max(1);
        let jitter = Duration::from_millis(hash::narrow(&parts) % jitter_range);
        self.resume_at = now.saturating_add(pause).saturating_add(jitter);
    }

    /// Chooses the next publisher to ask: first the instances that a full publisher named, then
    /// voters, then any other; within each group, the same availability zone first. A voter asks
    /// the leader first.
    fn choose_publisher(&self) -> Option<Instance> {
        let voter = self.peers.iter().any(|peer| peer.voter && peer.instance == self.instance);
        let rank = |peer: &&Peer| {
            let leader = voter && self.leader.as_ref() == Some(&peer.instance);
            let named = self.suggested.contains(&peer.instance);
            let same_zone = peer.zone == self.zone;
            let parts = [self.instance.as_str().as_bytes(), peer.instance.as_str().as_bytes()];
            (!leader, !named, !peer.voter, !same_zone, hash::narrow(&parts))
        };
        let fits = |peer: &&Peer| {
            peer.instance != self.instance && !self.avoided_until.contains_key(&peer.instance)
        };
        let chosen = self.peers.iter().filter(fits).min_by_key(rank);
        chosen.map(|peer| peer.instance.clone())
    }
}

/// Holds the state that a follower reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowerReport {
    pub(crate) applied: Revision,
    pub(crate) floor: Revision,
    /// Whether other instances follow this one.
    pub(crate) has_followers: bool,
}

/// Holds the decoded table of a fetched snapshot.
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) table: Table,
}

/// Holds the state of the exchange with the followed publisher.
#[derive(Clone, Debug)]
struct FollowedPublisher {
    name: Instance,
    /// The time at which the oldest unanswered request was sent.
    unanswered_since: Option<Duration>,
    /// The count of the first request to this publisher.
    first_count: u32,
    last_request_at: Option<Duration>,
    reported_floor: Revision,
    report_soon: bool,
}

impl FollowedPublisher {
    fn new(name: Instance, first_count: u32) -> Self {
        Self {
            name,
            unanswered_since: None,
            first_count,
            last_request_at: None,
            reported_floor: Revision(0),
            report_soon: false,
        }
    }
}

/// Collects the parts of a snapshot in order.
#[derive(Clone, Debug)]
struct SnapshotFetch {
    offer: Offer,
    bytes: Vec<u8>,
    next: u32,
    requested_at: Duration,
}

impl SnapshotFetch {
    fn new(offer: Offer) -> Self {
        Self { offer, bytes: Vec::new(), next: 0, requested_at: Duration::ZERO }
    }

    fn request(&self, to: Instance) -> Output {
        let fetch = Fetch { revision: self.offer.revision, part: self.next };
        Output::Send { to, message: Message::Fetch(fetch) }
    }

    /// Accepts a part if it is the next one; returns whether it was.
    fn accept_part(&mut self, now: Duration, part: &Part) -> bool {
        let expected = part.revision == self.offer.revision && part.part == self.next;
        let remaining = (self.offer.bytes as usize).saturating_sub(self.bytes.len());
        if !expected
            || part.bytes.len() != remaining.min(MAX_MESSAGE_BYTES)
            || part.bytes.is_empty()
        {
            return false;
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.next += 1;
        self.requested_at = now;
        true
    }

    fn is_complete(&self) -> bool {
        self.bytes.len() >= self.offer.bytes as usize
    }

    /// Decodes the table if the bytes match the offered digest.
    fn decode(self) -> Option<Snapshot> {
        if hash::wide(&[&self.bytes]) != self.offer.digest {
            return None;
        }
        let table = postcard::from_bytes(&self.bytes).ok()?;
        Some(Snapshot { revision: self.offer.revision, table })
    }
}
