//! State machine that combines membership and registry, and its rounds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_base::announce::Announcement;
use verbenaslip_base::name::{AvailabilityZone, Instance, Model, Upstream};
use verbenaslip_base::{data, hash};

use crate::frame::{Body, Digest, Frame, Key, Renewal};
use crate::member::{self, Handle, MemberStatus, Peer, State};
use crate::pack::{self, Source};
use crate::probe::{Outgoing, Prober, sample};
use crate::queue::{Queue, Subject};
use crate::record::{LeaseStatus, Record};
use crate::registry::{self, AnnouncementResult, PendingRenewal, PullRequest, Registry};
use crate::rendezvous::Homes;
use crate::report::Reports;
use crate::roster::{Member, Roster};
use crate::setup::{MAX_LEASE, Setup};
use crate::time::{Age, Clock};

/// Time between two rounds of updates.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of neighbours that receive updates in a round.
const FANOUT: usize = 2;

/// Maximum number of datagrams with updates for one neighbour in a round.
const MAX_DATAGRAMS: usize = 4;

/// Number of neighbours that receive urgent updates.
const URGENT_FANOUT: usize = 6;

/// Minimum time between two sends of urgent updates.
const URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of rounds between two marks and digests of this instance.
const DIGEST_ROUNDS: u64 = 4;

/// Number of rounds between two attempts to reach an instance that was declared dead.
const REJOIN_ROUNDS: u64 = 20;

/// Number of rounds between two joins through a seed while there are neighbours.
const SEED_ROUNDS: u64 = 120;

/// Time without a datagram of any neighbour after which an instance counts as isolated.
const ISOLATION_SILENCE: Duration = Duration::from_millis(2_500);

/// Time without a datagram of any neighbour after which expired leases count as doubtful.
const DOUBT_SILENCE: Duration = Duration::from_millis(1_200);

/// Percentage of missing neighbours above which an instance counts as isolated.
const ISOLATION_PERCENT: usize = 60;

/// Number of bytes of reports that an instance sends in a round.
const REPORT_BYTES_PER_ROUND: usize = 240;

/// Maximum number of datagrams with its report that an instance sends in a round.
const MAX_REPORTS_PER_ROUND: usize = 4;

/// Maximum number of renewals in one datagram.
const MAX_RENEWALS_PER_FRAME: usize = 50;

/// Maximum number of renewals that wait to be forwarded.
const MAX_PENDING_RENEWALS: usize = 16_384;

/// Input of the state machine.
#[data]
pub enum Input {
    /// Time has passed; due at [`Gossip::next_wakeup`] and harmless at any other time.
    Tick,
    /// A datagram has arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// Decoded datagram.
        frame: Box<Frame>,
    },
    /// An upstream has announced itself; an [`Output::AnnouncementResult`] follows in the same
    /// step.
    Announced(Box<Announcement>),
    /// The cloud takes an upstream away.
    Reclaimed {
        /// Name of the upstream.
        upstream: Upstream,
        /// Time until the upstream is taken away, in milliseconds.
        notice: u32,
    },
    /// This instance has a new report of at most [`crate::MAX_REPORT_BYTES`] bytes for its
    /// neighbours.
    Report(Vec<u8>),
    /// This instance drains: it takes no new duties but stays reachable. Final.
    Leave,
    /// This instance stops after this step. Final.
    Stop,
}

/// Output of the state machine.
#[data]
pub enum Output {
    /// A datagram to send.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Datagram to encode and send.
        frame: Box<Frame>,
    },
    /// Result of the announcement in this step.
    AnnouncementResult(AnnouncementResult),
    /// A member has changed.
    Member(member::Event),
    /// An upstream has changed.
    Upstream(registry::Event),
    /// A new report of the named neighbour has arrived.
    ReportReceived(Instance),
    /// This instance has started (true) or ceased (false) to count as isolated.
    Isolated(bool),
}

/// Membership and registry of one instance.
pub struct Gossip {
    pub(crate) clock: Clock,
    pub(crate) rng: Pcg64,
    /// Addresses of instances to join through.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) roster: Roster,
    pub(crate) prober: Prober,
    pub(crate) registry: Registry,
    pub(crate) reports: Reports,
    pub(crate) queue: Queue,
    /// Datagrams to members, converted to outputs at the end of a step.
    pub(crate) outbox: Vec<Outgoing>,
    /// Outputs of the current step.
    pub(crate) outputs: Vec<Output>,
    /// Renewals that wait to be forwarded, by home.
    pending_renewals: BTreeMap<Handle, BTreeMap<Key, PendingRenewal>>,
    /// Cached homes of upstreams, valid for `homes_revision` of the roster.
    homes: BTreeMap<Key, Homes>,
    homes_revision: u64,
    /// Number of the current round, starting at a random number.
    round: u64,
    next_round: Duration,
    /// Earliest time of the next urgent updates.
    next_urgent: Duration,
    /// Whether this instance's own links may have failed.
    isolated: bool,
}

impl Gossip {
    /// Creates the state machine at a monotonic time; the seed should differ between instances.
    pub fn new(setup: Setup, seed: u64, now: Duration) -> Self {
        let clock = Clock::new(now);
        let mut rng = Pcg64::seed_from_u64(seed);
        let first = clock.now() + ROUND_INTERVAL * rng.random_range(0..1_000) / 1_000;
        let handle = setup.own.handle();
        let mut queue = Queue::default();
        queue.push(Subject::Member(setup.own.instance.clone()));
        Self {
            roster: Roster::new(setup.own),
            prober: Prober::new(first + ROUND_INTERVAL),
            registry: Registry::new(handle, setup.lease.min(MAX_LEASE)),
            reports: Reports::default(),
            seeds: setup.seeds,
            outbox: Vec::new(),
            outputs: Vec::new(),
            pending_renewals: BTreeMap::new(),
            homes: BTreeMap::new(),
            homes_revision: 0,
            round: rng.random_range(0..SEED_ROUNDS),
            next_round: first,
            next_urgent: Duration::ZERO,
            isolated: false,
            queue,
            rng,
            clock,
        }
    }

    /// Handles one input and appends the resulting outputs.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        let step = self.clock.advance(now);
        if step.paused_for.is_some() {
            self.resume_after_pause(step.now);
        }
        match input {
            Input::Tick => {}
            Input::Received { from, frame } => self.handle_frame(from, *frame),
            Input::Announced(announcement) => self.handle_announcement(&announcement),
            Input::Reclaimed { upstream, notice } => {
                let now = self.clock.now();
                self.registry.handle_reclaim(now, &upstream, notice, &mut self.queue);
            }
            Input::Report(bytes) => {
                self.reports.publish(self.clock.now(), bytes);
            }
            Input::Leave => self.set_own_state(State::Leaving),
            Input::Stop => self.set_own_state(State::Left),
        }
        self.roster.refresh();
        self.run_due();
        self.roster.refresh();
        self.collect_outputs();
        out.append(&mut self.outputs);
    }

    /// Returns the time at which the next [`Input::Tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        let mut due = self.next_round.min(self.prober.next_wakeup());
        if self.is_urgent() {
            due = due.min(self.next_urgent);
        }
        Clock::to_external(due)
    }

    /// Returns the identity of this instance.
    pub fn own(&self) -> &Peer {
        &self.roster.own().peer
    }

    /// Iterates over all other known instances by name, including those that are gone.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.roster.members()
    }

    /// Returns another instance by its name.
    pub fn member(&self, instance: &Instance) -> Option<&Member> {
        self.roster.get(instance)
    }

    /// Iterates over the live instances of an availability zone, including this one.
    pub fn alive_in(&self, zone: &AvailabilityZone) -> impl Iterator<Item = &Peer> {
        let own = Some(self.roster.own()).filter(|own| own.state == State::Alive);
        let others = self.members().map(Member::status).filter(|it| it.state == State::Alive);
        own.into_iter().chain(others).map(|status| &status.peer).filter(move |it| it.zone == *zone)
    }

    /// Returns the homes of a key.
    ///
    /// All instances of the region that see the same members return the same homes.
    pub fn homes(&self, key: u128) -> Homes {
        self.roster.homes(key)
    }

    /// Returns whether this instance counts as isolated, so that its own links may have failed.
    pub fn isolated(&self) -> bool {
        self.isolated
    }

    /// Iterates over the upstreams that may get new work at the given time.
    pub fn usable(&self, now: Duration) -> impl Iterator<Item = &Record> {
        self.registry.usable(Clock::to_internal(now))
    }

    /// Iterates over the upstreams that offer a model and may get new work at the given time.
    pub fn usable_for_model<'a>(
        &'a self,
        now: Duration,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a Record> {
        self.registry.usable_for_model(Clock::to_internal(now), model)
    }

    /// Iterates over all known upstreams, including lapsed and leaving ones.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.registry.records()
    }

    /// Returns what is known of an upstream.
    pub fn record(&self, upstream: &Upstream) -> Option<&Record> {
        let record = self.registry.record(Key::of(upstream))?;
        (record.announcement().upstream == *upstream).then_some(record)
    }

    /// Iterates over the availability zones that have doubtful upstreams.
    pub fn doubtful_zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.registry.doubtful_zones()
    }

    /// Iterates over the doubtful upstreams, which get no new work but are not known to be lost.
    pub fn doubtful_upstreams(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.lease_status() == LeaseStatus::Doubtful)
    }

    /// Iterates over the latest report of each other instance of the region.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = PeerReport<'_>> {
        let now = Clock::to_internal(now);
        self.reports.others().map(move |(instance, report)| PeerReport {
            instance,
            age: now.saturating_sub(report.created_at()),
            bytes: report.bytes(),
        })
    }

    fn handle_announcement(&mut self, announcement: &Announcement) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let key = Key::of(&announcement.upstream);
        let before = self.registry.renewal(key).map(|it| it.content_hash);
        let result = self.registry.handle_announcement(now, lag, announcement, &mut self.queue);
        if matches!(result, AnnouncementResult::Accepted { .. }) {
            self.forward_renewal(key, &announcement.upstream);
        }
        if self.registry.renewal(key).map(|it| it.content_hash) != before {
            self.flush_renewals(now);
            self.queue.set_urgent();
        }
        self.outputs.push(Output::AnnouncementResult(result));
    }

    /// Queues the latest renewal of an upstream for its homes.
    fn forward_renewal(&mut self, key: Key, upstream: &Upstream) {
        let Some(pending) = self.registry.renewal(key) else { return };
        let homes = self.upstream_homes(key, upstream);
        for home in homes.iter() {
            if *home == self.roster.own().peer.instance {
                self.registry.vouch(key, pending.content_hash, pending.renewed_at);
                continue;
            }
            let Some(handle) = self.roster.get(home).map(Member::handle) else { continue };
            let waiting: usize = self.pending_renewals.values().map(BTreeMap::len).sum();
            if waiting < MAX_PENDING_RENEWALS {
                self.pending_renewals.entry(handle).or_default().insert(key, pending);
            }
        }
    }

    fn upstream_homes(&mut self, key: Key, upstream: &Upstream) -> Homes {
        if self.homes_revision != self.roster.revision() {
            self.homes_revision = self.roster.revision();
            self.homes.clear();
        }
        let compute = || self.roster.homes(hash::wide(&[upstream.as_str().as_bytes()]));
        self.homes.entry(key).or_insert_with(compute).clone()
    }

    fn set_own_state(&mut self, state: State) {
        if !self.roster.set_own_state(state) {
            return;
        }
        let own = self.roster.own().peer.instance.clone();
        self.queue.push(Subject::Member(own.clone()));
        self.send_urgent(|subject| *subject == Subject::Member(own.clone()));
    }

    /// Resets what a pause of the process has made unreliable.
    ///
    /// After a pause all neighbours seem to have been silent, and this instance would declare
    /// healthy ones dead. Its probes therefore start over, and suspicions get their full timeout
    /// again.
    fn resume_after_pause(&mut self, now: Duration) {
        self.roster.resume_after_pause(now);
        self.prober.resume_after_pause(now);
        self.registry.commit_changes(now, &mut self.queue);
        self.registry.expire_leases(now, true);
    }

    /// Runs everything that is due.
    fn run_due(&mut self) {
        let now = self.clock.now();
        if self.is_urgent() && now >= self.next_urgent {
            self.next_urgent = now + URGENT_INTERVAL;
            self.send_urgent(|it| matches!(it, Subject::Departure(_) | Subject::Announcement(_)));
            self.queue.clear_urgent();
        }
        if now >= self.prober.next_wakeup() {
            self.probe(now);
        }
        if now >= self.next_round {
            self.next_round = now + ROUND_INTERVAL;
            self.round += 1;
            self.run_round(now);
        }
    }

    fn is_urgent(&self) -> bool {
        self.queue.is_urgent()
    }

    fn probe(&mut self, now: Duration) {
        let failed = self.prober.tick(now, &self.roster, &mut self.rng, &mut self.outbox);
        let Some(failed) = failed else { return };
        if self.roster.handle_probe_failure(now, &failed) {
            self.queue.push(Subject::Member(failed));
        }
    }

    /// Runs one round.
    fn run_round(&mut self, now: Duration) {
        self.update_isolation(now);
        self.roster.update_regions(now);
        self.queue.set_neighbour_count(self.roster.present().len());
        self.flush_renewals(now);
        self.registry.commit_changes(now, &mut self.queue);
        if self.round.is_multiple_of(DIGEST_ROUNDS) {
            self.registry.advance_mark(now, &mut self.queue);
            self.send_digests(now);
        }
        let mut outbox = self.pack_updates(FANOUT, |_| true);
        self.outbox.append(&mut outbox);
        self.send_reports(now);
        self.find_instances();
        let silent = self.is_silent(now, DOUBT_SILENCE);
        self.registry.expire_leases(now, self.isolated || silent);
        self.reports.remove_expired(now);
        for PullRequest { voucher, pull } in self.registry.missing_announcements(now, self.round) {
            self.outbox.push(Outgoing { to: voucher, body: Body::Pull(pull) });
        }
    }

    /// Updates whether this instance counts as isolated; while it does, it declares no one dead.
    ///
    /// An instance that is cut off sees all others fall silent. It would declare them dead, take
    /// over their duties, and send this to the others once it is reconnected. With two instances,
    /// the survivor cannot tell a dead peer from a broken link. It counts as isolated until the
    /// peer is back or another instance joins, and still uses the upstreams that announce
    /// themselves to it.
    fn update_isolation(&mut self, now: Duration) {
        let (missing, all) = self.roster.count_missing(now);
        let most = missing >= 2 && missing * 100 > all * ISOLATION_PERCENT;
        let isolated = most || self.is_silent(now, ISOLATION_SILENCE) || self.prober.most_failed();
        if isolated != self.isolated {
            self.isolated = isolated;
            self.outputs.push(Output::Isolated(isolated));
        }
        if isolated {
            self.roster.restart_suspicions(now);
        }
        for name in self.roster.expire(now) {
            self.queue.push(Subject::Member(name));
        }
    }

    fn is_silent(&self, now: Duration, limit: Duration) -> bool {
        self.roster.last_heard().is_some_and(|heard| now.saturating_sub(heard) > limit)
    }

    /// Sends the waiting renewals to the homes of their upstreams.
    ///
    /// It runs in each round, and immediately when the content of an announcement has changed.
    fn flush_renewals(&mut self, now: Duration) {
        for (to, renewals) in std::mem::take(&mut self.pending_renewals) {
            let renewal = |(key, it): (&Key, &PendingRenewal)| Renewal {
                key: *key,
                content_hash: it.content_hash,
                sequence: it.sequence,
                age: Age::since(now, it.renewed_at),
            };
            let renewals: Vec<Renewal> = renewals.iter().map(renewal).collect();
            for chunk in renewals.chunks(MAX_RENEWALS_PER_FRAME) {
                self.outbox.push(Outgoing { to, body: Body::Renewals(chunk.to_vec()) });
            }
        }
    }

    /// Builds datagrams with updates for randomly chosen neighbours.
    ///
    /// An empty datagram is built when there are no updates, to show that this instance is alive.
    fn pack_updates(&mut self, fanout: usize, wanted: impl Fn(&Subject) -> bool) -> Vec<Outgoing> {
        let neighbours = self.sample_neighbours(fanout);
        let source =
            Source { roster: &self.roster, registry: &self.registry, now: self.clock.now() };
        let mut outbox = Vec::new();
        for to in neighbours {
            let updates = source.pack_queue(&mut self.queue, MAX_DATAGRAMS, &wanted);
            outbox.extend(updates.into_iter().map(|it| Outgoing { to, body: Body::Updates(it) }));
        }
        outbox
    }

    /// Sends urgent updates to more neighbours than a round does.
    fn send_urgent(&mut self, wanted: impl Fn(&Subject) -> bool) {
        let mut outbox = self.pack_updates(URGENT_FANOUT, wanted);
        outbox.retain(|outgoing| !matches!(&outgoing.body, Body::Updates(it) if it.is_empty()));
        self.outbox.append(&mut outbox);
    }

    fn sample_neighbours(&mut self, count: usize) -> Vec<Handle> {
        sample(self.roster.present().to_vec(), count, &mut self.rng)
    }

    /// Sends a digest to a neighbour and, if this instance is a contact, to another region.
    fn send_digests(&mut self, now: Duration) {
        let mut digest = Digest {
            checksums: self.roster.checksums().to_vec(),
            contacts: self.roster.region_contacts(now),
            marks: Vec::new(),
        };
        if let Some(to) = self.sample_contact() {
            self.outbox.push(Outgoing { to, body: Body::Digest(digest.clone()) });
        }
        let Some(to) = self.sample_neighbours(1).pop() else { return };
        let marks = self.registry.marks(now);
        let capacity = pack::digest_mark_capacity(&digest);
        digest.marks = sample(marks, capacity, &mut self.rng);
        self.outbox.push(Outgoing { to, body: Body::Digest(digest) });
    }

    fn sample_contact(&mut self) -> Option<Handle> {
        let own = &self.roster.own().peer;
        let contacts = self.roster.contacts(&own.region);
        if !contacts.iter().any(|name| *name == own.instance) {
            return None;
        }
        let region = sample(self.roster.regions(), 1, &mut self.rng).pop()?;
        let theirs: Vec<Instance> = self.roster.contacts(&region).iter().cloned().collect();
        let name = sample(theirs, 1, &mut self.rng).pop()?;
        self.roster.get(&name).map(Member::handle)
    }

    /// Sends this instance's report to the next neighbours, limited by [`REPORT_BYTES_PER_ROUND`].
    fn send_reports(&mut self, now: Duration) {
        let Some(report) = self.reports.own(now) else { return };
        let present = self.roster.present();
        let size = report.bytes.len().max(1);
        let count =
            (REPORT_BYTES_PER_ROUND / size).clamp(1, MAX_REPORTS_PER_ROUND).min(present.len());
        for _ in 0..count {
            let index = self.reports.next_index(present.len());
            self.outbox.push(Outgoing { to: present[index], body: Body::Report(report.clone()) });
        }
    }

    /// Sends joins to seeds and to instances that were declared dead.
    ///
    /// After a long network partition both sides consider each other dead and would never contact
    /// each other again, so a deployment would stay split in two halves. Each instance therefore
    /// sends a join to a dead instance and to seeds from time to time.
    fn find_instances(&mut self) {
        let alone = self.roster.present().is_empty();
        let join = Body::Join(self.roster.own().clone());
        let contact_seeds = self.round.is_multiple_of(SEED_ROUNDS)
            || (self.isolated && self.round.is_multiple_of(DIGEST_ROUNDS))
            || (alone && self.round.is_multiple_of(DIGEST_ROUNDS));
        if contact_seeds {
            for to in sample(self.seeds.clone(), FANOUT, &mut self.rng) {
                self.send(to, join.clone());
            }
        }
        if !self.round.is_multiple_of(REJOIN_ROUNDS) {
            return;
        }
        let dead = self.roster.members().filter(|member| member.state() == State::Dead);
        let dead: Vec<SocketAddr> = dead.map(|member| member.peer().address).collect();
        if let Some(to) = sample(dead, 1, &mut self.rng).pop() {
            self.send(to, join);
        }
    }

    /// Sends a body to an address.
    pub(crate) fn send(&mut self, to: SocketAddr, body: Body) {
        let frame = Box::new(Frame { from: self.roster.handle(), body });
        self.outputs.push(Output::Send { to, frame });
    }

    /// Sends statuses of members to an address.
    pub(crate) fn send_statuses(&mut self, to: SocketAddr, statuses: &[MemberStatus]) {
        let now = self.clock.now();
        let source = Source { roster: &self.roster, registry: &self.registry, now };
        for updates in source.pack_statuses(statuses) {
            self.send(to, Body::Updates(updates));
        }
    }

    /// Collects the events and datagrams of the components as outputs.
    fn collect_outputs(&mut self) {
        for handle in self.roster.take_retired() {
            self.registry.remove_stream(handle);
            self.pending_renewals.remove(&handle);
        }
        for event in self.roster.take_events() {
            if let member::Event::Lost(name) | member::Event::Left(name) = &event {
                self.reports.remove(name);
            }
            self.outputs.push(Output::Member(event));
        }
        self.outputs.extend(self.registry.take_events().into_iter().map(Output::Upstream));
        for outgoing in std::mem::take(&mut self.outbox) {
            if let Some(to) = self.roster.by_handle(outgoing.to).map(|member| member.peer().address)
            {
                self.send(to, outgoing.body);
            }
        }
    }
}

/// Latest report of a neighbour.
pub struct PeerReport<'a> {
    /// Name of the neighbour.
    pub instance: &'a Instance,
    /// Time since the report was created.
    pub age: Duration,
    /// Content of the report.
    pub bytes: &'a [u8],
}
