//! The side that follows a publisher and holds the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_base::name::{AvailabilityZone, Instance};
use verbenaslip_table::{Revision, Table};

use super::hub::Output;
use super::message::{
    Fetch, Granted, MAX_BYTES, MAX_SNAPSHOT, Message, Offer, Part, Peer, Refusal, Renew,
};
use super::window::Progress;
use crate::lease::{Lease, Nonce, RELAY_RENEWAL_INTERVAL, RENEWAL_INTERVAL};

/// How long a publisher may leave a request unanswered before it is asked again.
const RETRY: Duration = Duration::from_millis(400);

/// How long a publisher may be silent before another is chosen.
const SILENCE: Duration = Duration::from_millis(1_200);

/// How long a publisher that was silent is not chosen again.
const AVOID_SILENT: Duration = Duration::from_secs(5);

/// How long a publisher that refused is not chosen again.
const AVOID_AWAY: Duration = Duration::from_secs(1);

/// The pause before the next publisher is asked, to which up to as much again is added by hash.
const PAUSE: Duration = Duration::from_millis(50);

/// How often the pause doubles while no publisher grants.
const MAX_DOUBLINGS: u32 = 4;

/// How often in a row a publisher without a lease is asked again before another is chosen.
const PATIENCE: u32 = 2;

/// The least time between two reports of applied revisions.
const REPORT: Duration = Duration::from_millis(100);

/// Follows one publisher at a time, and holds the lease that it grants.
#[derive(Clone, Debug)]
pub struct Follower {
    me: Instance,
    zone: AvailabilityZone,
    boot: u64,
    count: u32,
    peers: Vec<Peer>,
    leader: Option<Instance>,
    others: Vec<Instance>,
    avoid: BTreeMap<Instance, Duration>,
    parent: Option<Parent>,
    path: Vec<Instance>,
    lease: Lease,
    fetching: Option<Fetching>,
    /// How often in a row a publisher was left before it granted.
    left: u32,
    resume: Duration,
}

impl Follower {
    pub(crate) fn new(me: Instance, zone: AvailabilityZone, boot: u64) -> Self {
        Self {
            me,
            zone,
            boot,
            count: 0,
            peers: Vec::new(),
            leader: None,
            others: Vec::new(),
            avoid: BTreeMap::new(),
            parent: None,
            path: Vec::new(),
            lease: Lease::default(),
            fetching: None,
            left: 0,
            resume: Duration::ZERO,
        }
    }

    /// Returns when the lease runs out for the revision in use.
    pub(crate) fn until(&self, applied: Revision) -> Option<Duration> {
        self.lease.until(applied)
    }

    /// Returns the instances through which the lease came.
    pub(crate) fn path(&self) -> &[Instance] {
        &self.path
    }

    /// Returns whom this instance follows.
    pub(crate) fn parent(&self) -> Option<&Instance> {
        self.parent.as_ref().map(|parent| &parent.name)
    }

    pub(crate) fn peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// Learns who leads, and asks that one at once, however long nobody could grant.
    pub(crate) fn leader(&mut self, leader: Option<Instance>) {
        if leader.is_some() && leader != self.leader {
            self.left = 0;
            self.resume = Duration::ZERO;
            self.avoid.clear();
        }
        self.leader = leader;
    }

    /// Stops following, because this instance leads.
    pub(crate) fn pause(&mut self) {
        self.parent = None;
        self.fetching = None;
    }

    /// Sends what is due.
    pub(crate) fn tick(&mut self, now: Duration, report: Report, out: &mut Vec<Output>) {
        self.avoid.retain(|_, until| *until > now);
        if let Some(parent) = &self.parent
            && parent.asked.is_some_and(|asked| now >= asked.saturating_add(SILENCE))
        {
            self.leave(now, AVOID_SILENT);
        }
        if self.parent.is_none() && now >= self.resume {
            let first = self.count.wrapping_add(1);
            self.parent = self.choose().map(|name| Parent::new(name, first));
        }
        let Some(parent) = &self.parent else { return };
        let every = if report.relay { RELAY_RENEWAL_INTERVAL } else { RENEWAL_INTERVAL };
        let every = if parent.asked.is_some() { RETRY } else { every };
        let news = report.floor > parent.reported && parent.asked.is_none();
        let every = if news || parent.hurry { REPORT } else { every };
        if parent.last.is_none_or(|last| now >= last.saturating_add(every)) {
            self.ask(now, report, out);
        }
        self.fetch_again(now, out);
    }

    /// Takes a grant.
    pub(crate) fn granted(&mut self, now: Duration, from: &Instance, granted: Granted) {
        let duration = Duration::from_millis(granted.duration_ms.into());
        if !self.lease.take(now, granted.nonce, granted.revision, duration) {
            return;
        }
        if let Some(parent) = &mut self.parent
            && parent.name == *from
        {
            parent.asked = None;
            self.path = granted.path;
            self.path.truncate(super::publisher::MAX_DEPTH);
            self.others.clear();
            self.left = 0;
        }
    }

    /// Leaves a publisher that refuses, for one of those that it names.
    pub(crate) fn away(&mut self, now: Duration, from: &Instance, away: Refusal) {
        let Some(parent) = &self.parent else { return };
        let ours = away.nonce.boot == self.boot && away.nonce.count >= parent.first;
        if parent.name != *from || !ours {
            return;
        }
        if !away.others.is_empty() {
            // Leases are to be had, so there is no need to wait longer and longer.
            self.left = 0;
        }
        // One that has just started, in the own availability zone, will have a lease in a moment;
        // whoever goes elsewhere at once stays there.
        let soon = away.others.is_empty() && self.left < PATIENCE;
        self.leave(now, if soon { Duration::ZERO } else { AVOID_AWAY });
        self.others = away.others;
        self.others.truncate(super::publisher::FAN_OUT);
    }

    /// Does what is needed after changes that could not be applied.
    pub(crate) fn stumble(
        &mut self,
        now: Duration,
        applied: Revision,
        progress: Progress,
        out: &mut Vec<Output>,
    ) {
        let Some(parent) = &mut self.parent else { return };
        match progress {
            Progress::Applied | Progress::Known => {}
            Progress::Gap => parent.hurry = true,
            Progress::Misfit if self.fetching.is_none() => {
                // No snapshot has such a part, so the publisher answers with an offer.
                let wanted = Offer { revision: applied.next(), bytes: 0, digest: 0 };
                let fetching = Fetching { next: u32::MAX, asked: now, ..Fetching::new(wanted) };
                out.push(fetching.ask(parent.name.clone()));
                self.fetching = Some(fetching);
            }
            Progress::Misfit => {}
        }
    }

    /// Begins to fetch an offered snapshot.
    pub(crate) fn offer(
        &mut self,
        now: Duration,
        from: &Instance,
        offer: Offer,
        applied: Revision,
        out: &mut Vec<Output>,
    ) {
        let current = self.fetching.as_ref().is_some_and(|fetching| fetching.offer == offer);
        let fits = offer.revision > applied && offer.bytes <= MAX_SNAPSHOT;
        if self.parent() != Some(from) || current || !fits {
            return;
        }
        let fetching = Fetching::new(offer);
        out.push(fetching.ask(from.clone()));
        self.fetching = Some(Fetching { asked: now, ..fetching });
    }

    /// Takes the next part of a snapshot; returns the table when it is whole.
    pub(crate) fn part(
        &mut self,
        now: Duration,
        from: &Instance,
        part: &Part,
        out: &mut Vec<Output>,
    ) -> Option<Snapshot> {
        if self.parent() != Some(from) {
            return None;
        }
        let fetching = self.fetching.as_mut()?;
        if !fetching.take(now, part) {
            return None;
        }
        if !fetching.is_whole() {
            out.push(fetching.ask(from.clone()));
            return None;
        }
        let fetching = self.fetching.take()?;
        if let Some(parent) = &mut self.parent {
            parent.hurry = true;
        }
        fetching.open()
    }

    /// Asks for the lease.
    fn ask(&mut self, now: Duration, report: Report, out: &mut Vec<Output>) {
        self.count = self.count.wrapping_add(1);
        let nonce = Nonce { boot: self.boot, count: self.count };
        let Some(parent) = &mut self.parent else { return };
        parent.asked.get_or_insert(now);
        parent.last = Some(now);
        parent.reported = report.floor;
        parent.hurry = false;
        self.lease.ask(now, nonce);
        let renew = Renew { nonce, applied: report.applied, floor: report.floor };
        out.push(Output::Send { to: parent.name.clone(), message: Message::Renew(renew) });
    }

    /// Asks again for a part that did not come.
    fn fetch_again(&mut self, now: Duration, out: &mut Vec<Output>) {
        let (Some(fetching), Some(parent)) = (&mut self.fetching, &self.parent) else { return };
        if now >= fetching.asked.saturating_add(RETRY) {
            fetching.asked = now;
            out.push(fetching.ask(parent.name.clone()));
        }
    }

    fn leave(&mut self, now: Duration, avoid: Duration) {
        let Some(parent) = self.parent.take() else { return };
        self.fetching = None;
        self.avoid.insert(parent.name, now.saturating_add(avoid));
        // Followers of a lost publisher would otherwise all ask the next one in the same instant,
        // and while the quorum is away nobody has a lease to pass on, however often one asks.
        let pause = PAUSE * (1 << self.left.min(MAX_DOUBLINGS));
        self.left = self.left.saturating_add(1);
        let parts = [self.me.as_str().as_bytes(), &self.count.to_le_bytes()];
        let spread = (pause.as_millis() as u64).max(1);
        let jitter = Duration::from_millis(hash::narrow(&parts) % spread);
        self.resume = now.saturating_add(pause).saturating_add(jitter);
    }

    /// Chooses whom to ask next: first those that a full publisher named, then voters, then any;
    /// of each the own availability zone first. A voter asks the leader first.
    fn choose(&self) -> Option<Instance> {
        let voter = self.peers.iter().any(|peer| peer.voter && peer.instance == self.me);
        let rank = |peer: &&Peer| {
            let leader = voter && self.leader.as_ref() == Some(&peer.instance);
            let named = self.others.contains(&peer.instance);
            let near = peer.zone == self.zone;
            let parts = [self.me.as_str().as_bytes(), peer.instance.as_str().as_bytes()];
            (!leader, !named, !peer.voter, !near, hash::narrow(&parts))
        };
        let fits =
            |peer: &&Peer| peer.instance != self.me && !self.avoid.contains_key(&peer.instance);
        let chosen = self.peers.iter().filter(fits).min_by_key(rank);
        chosen.map(|peer| peer.instance.clone())
    }
}

/// Says what a follower has to report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) applied: Revision,
    pub(crate) floor: Revision,
    /// Whether others follow this instance.
    pub(crate) relay: bool,
}

/// Holds the table of a snapshot that was fetched.
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) table: Table,
}

/// Holds the state of the conversation with the publisher.
#[derive(Clone, Debug)]
struct Parent {
    name: Instance,
    /// When the oldest request was sent that is not answered.
    asked: Option<Duration>,
    /// The count of the first request.
    first: u32,
    last: Option<Duration>,
    reported: Revision,
    hurry: bool,
}

impl Parent {
    fn new(name: Instance, first: u32) -> Self {
        Self { name, asked: None, first, last: None, reported: Revision(0), hurry: false }
    }
}

/// Gathers the parts of a snapshot in order.
#[derive(Clone, Debug)]
struct Fetching {
    offer: Offer,
    bytes: Vec<u8>,
    next: u32,
    asked: Duration,
}

impl Fetching {
    fn new(offer: Offer) -> Self {
        Self { offer, bytes: Vec::new(), next: 0, asked: Duration::ZERO }
    }

    fn ask(&self, to: Instance) -> Output {
        let fetch = Fetch { revision: self.offer.revision, part: self.next };
        Output::Send { to, message: Message::Fetch(fetch) }
    }

    /// Takes the part that is due; says whether it was.
    fn take(&mut self, now: Duration, part: &Part) -> bool {
        let due = part.revision == self.offer.revision && part.part == self.next;
        let rest = (self.offer.bytes as usize).saturating_sub(self.bytes.len());
        if !due || part.bytes.len() != rest.min(MAX_BYTES) || part.bytes.is_empty() {
            return false;
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.next += 1;
        self.asked = now;
        true
    }

    fn is_whole(&self) -> bool {
        self.bytes.len() >= self.offer.bytes as usize
    }

    /// Reads the table, if the bytes are those that were offered.
    fn open(self) -> Option<Snapshot> {
        if hash::wide(&[&self.bytes]) != self.offer.digest {
            return None;
        }
        let table = postcard::from_bytes(&self.bytes).ok()?;
        Some(Snapshot { revision: self.offer.revision, table })
    }
}
