//! The composition of membership and registry, and their rounds.

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

/// How often news is passed on.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// How many neighbours get news in a round.
const FANOUT: usize = 2;

/// How many datagrams a neighbour gets at most in a round while much has changed.
const MAX_DATAGRAMS: usize = 4;

/// How many neighbours get urgent news at once.
const URGENT_FANOUT: usize = 6;

/// The least time between two bursts of urgent news.
const URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Every how many rounds this instance makes a mark and compares itself with a neighbour.
const DIGEST_ROUNDS: u64 = 4;

/// Every how many rounds it looks for instances it has lost.
const REJOIN_ROUNDS: u64 = 20;

/// Every how many rounds it greets a seed although it has neighbours.
const SEED_ROUNDS: u64 = 120;

/// After which silence of all neighbours an instance doubts its own links.
const ISOLATION_SILENCE: Duration = Duration::from_millis(2_500);

/// After which silence it takes leases that run out as doubtful rather than lapsed.
const DOUBT_SILENCE: Duration = Duration::from_millis(1_200);

/// Which share of its neighbours, in hundredths, must be missing for an instance to doubt itself.
const ISOLATION_PERCENT: usize = 60;

/// How many bytes of reports an instance sends in a round.
const REPORT_BYTES_PER_ROUND: usize = 240;

/// The most datagrams with its report that an instance sends in a round.
const MAX_REPORTS_PER_ROUND: usize = 4;

/// The most renewals in one datagram.
const MAX_RENEWALS_PER_FRAME: usize = 50;

/// The most renewals that wait to be passed on.
const MAX_PENDING_RENEWALS: usize = 16_384;

/// What happens to the machine.
#[data]
pub enum Input {
    /// Time has passed; due when [`Gossip::wake`] says so, harmless at any other time.
    Tick,
    /// A datagram has arrived.
    Received {
        /// The address it came from.
        from: SocketAddr,
        /// What it says.
        frame: Box<Frame>,
    },
    /// An upstream has announced itself here; an [`Output::Answer`] follows in the same step.
    Announced(Box<Announcement>),
    /// The cloud takes an upstream away.
    Reclaimed {
        /// The upstream.
        upstream: Upstream,
        /// In how many milliseconds.
        notice: u32,
    },
    /// This instance has a new report for its neighbours, of at most [`crate::MAX_REPORT_BYTES`] bytes.
    Report(Vec<u8>),
    /// This instance drains: it takes no new duties and stays reachable. Final.
    Leave,
    /// This instance stops: this is its last step. Final.
    Stop,
}

/// What the machine wants done or known.
#[data]
pub enum Output {
    /// A datagram is to be sent.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        frame: Box<Frame>,
    },
    /// Answers the announcement of this step.
    AnnouncementResult(AnnouncementResult),
    /// A member has changed.
    Member(member::Event),
    /// An upstream has changed.
    Upstream(registry::Event),
    /// A neighbour has a new report.
    ReportReceived(Instance),
    /// This instance has begun or ceased to doubt its own links.
    Isolated(bool),
}

/// Runs membership and registry of one instance.
pub struct Gossip {
    pub(crate) clock: Clock,
    pub(crate) rng: Pcg64,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) roster: Roster,
    pub(crate) prober: Prober,
    pub(crate) registry: Registry,
    pub(crate) reports: Reports,
    pub(crate) queue: Queue,
    pub(crate) outbox: Vec<Outgoing>,
    pub(crate) outputs: Vec<Output>,
    pending_renewals: BTreeMap<Handle, BTreeMap<Key, PendingRenewal>>,
    homes: BTreeMap<Key, Homes>,
    homes_revision: u64,
    round: u64,
    next_round: Duration,
    next_urgent: Duration,
    isolated: bool,
}

impl Gossip {
    /// Starts at a monotonic time; the seed should differ between instances.
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

    /// Takes one input and appends what follows from it.
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

    /// Returns when [`Input::Tick`] is due next.
    pub fn next_wakeup(&self) -> Duration {
        let mut due = self.next_round.min(self.prober.next_wakeup());
        if self.is_urgent() {
            due = due.min(self.next_urgent);
        }
        Clock::to_external(due)
    }

    /// Returns this instance.
    pub fn own(&self) -> &Peer {
        &self.roster.own().peer
    }

    /// Goes through all other instances that are remembered, gone ones included, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.roster.members()
    }

    /// Finds another instance.
    pub fn member(&self, instance: &Instance) -> Option<&Member> {
        self.roster.get(instance)
    }

    /// Goes through the live instances of an availability zone, this one included.
    pub fn alive_in(&self, zone: &AvailabilityZone) -> impl Iterator<Item = &Peer> {
        let own = Some(self.roster.own()).filter(|own| own.state == State::Alive);
        let others = self.members().map(Member::status).filter(|it| it.state == State::Alive);
        own.into_iter().chain(others).map(|status| &status.peer).filter(move |it| it.zone == *zone)
    }

    /// Returns the homes of a key: alike at all instances of the region that see the same members.
    pub fn homes(&self, key: u128) -> Homes {
        self.roster.homes(key)
    }

    /// Tells whether this instance doubts its own links.
    pub fn isolated(&self) -> bool {
        self.isolated
    }

    /// Goes through the upstreams that may get new work at the given time.
    pub fn usable(&self, now: Duration) -> impl Iterator<Item = &Record> {
        self.registry.usable(Clock::to_internal(now))
    }

    /// Goes through the upstreams that offer a model and may get new work at the given time.
    pub fn usable_for_model<'a>(
        &'a self,
        now: Duration,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a Record> {
        self.registry.usable_for_model(Clock::to_internal(now), model)
    }

    /// Goes through all upstreams that are remembered, lapsed and leaving ones included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.registry.records()
    }

    /// Finds an upstream.
    pub fn record(&self, upstream: &Upstream) -> Option<&Record> {
        let record = self.registry.record(Key::of(upstream))?;
        (record.announcement().upstream == *upstream).then_some(record)
    }

    /// Goes through the availability zones of which some upstreams are in doubt.
    pub fn doubtful_zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.registry.doubtful_zones()
    }

    /// Goes through the upstreams in doubt: they get no new work, but are not known to be lost.
    pub fn doubtful_upstreams(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.lease_status() == LeaseStatus::Doubtful)
    }

    /// Goes through the newest report of each other instance of the region.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = PeerReport<'_>> {
        let now = Clock::to_internal(now);
        self.reports.others().map(move |(instance, held)| PeerReport {
            instance,
            age: now.saturating_sub(held.created_at()),
            bytes: held.bytes(),
        })
    }

    fn handle_announcement(&mut self, announcement: &Announcement) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let key = Key::of(&announcement.upstream);
        let before = self.registry.renewal(key).map(|it| it.content_hash);
        let answer = self.registry.handle_announcement(now, lag, announcement, &mut self.queue);
        if matches!(answer, AnnouncementResult::Accepted { .. }) {
            self.forward_renewal(key, &announcement.upstream);
        }
        if self.registry.renewal(key).map(|it| it.content_hash) != before {
            self.flush_renewals(now);
            self.queue.set_urgent();
        }
        self.outputs.push(Output::AnnouncementResult(answer));
    }

    /// Has the homes of an upstream vouch for it, wherever it announced itself.
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
        let rank = || self.roster.homes(hash::wide(&[upstream.as_str().as_bytes()]));
        self.homes.entry(key).or_insert_with(rank).clone()
    }

    fn set_own_state(&mut self, state: State) {
        if !self.roster.set_own_state(state) {
            return;
        }
        let own = self.roster.own().peer.instance.clone();
        self.queue.push(Subject::Member(own.clone()));
        self.send_urgent(|subject| *subject == Subject::Member(own.clone()));
    }

    /// Starts over with what a freeze of this instance has spoilt.
    ///
    /// After a freeze all neighbours seem to have been silent. One would notice a woken instance
    /// declare healthy ones dead. So its probes start over and suspects get their full time.
    fn resume_after_pause(&mut self, now: Duration) {
        self.roster.resume_after_pause(now);
        self.prober.resume_after_pause(now);
        self.registry.commit_changes(now, &mut self.queue);
        self.registry.expire_leases(now, true);
    }

    /// Does what is due.
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

    /// Does one round.
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

    /// Doubts its own links when most neighbours look dead at once, and buries nobody meanwhile.
    ///
    /// An instance that is cut off sees everybody else fall silent. One would notice it declare
    /// all others dead, take over their duties, and spread that when it is back. The survivor of
    /// two can't tell the one from the other: it doubts itself until the other is back or another
    /// joins, and goes on with the upstreams that announce themselves to it.
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

    /// Passes waiting renewals on to the homes, at once when the content of one has changed.
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

    /// Writes news to neighbours drawn at random, also where there is none: it shows that this
    /// instance lives.
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

    /// Sends urgent news to more neighbours than a round does.
    fn send_urgent(&mut self, wanted: impl Fn(&Subject) -> bool) {
        let mut outbox = self.pack_updates(URGENT_FANOUT, wanted);
        outbox.retain(|outgoing| !matches!(&outgoing.body, Body::Updates(it) if it.is_empty()));
        self.outbox.append(&mut outbox);
    }

    fn sample_neighbours(&mut self, count: usize) -> Vec<Handle> {
        sample(self.roster.present().to_vec(), count, &mut self.rng)
    }

    /// Compares itself with a neighbour and, as a contact, with another region.
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

    /// Sends its report to the next neighbours in turn, as many as the room for reports allows.
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

    /// Looks for instances to join, and for ones that were lost and may be back.
    ///
    /// After a long cut both sides hold each other dead and would never talk again. One would
    /// notice two halves of a deployment that each believe to be the whole. So each greets one of
    /// the dead, and a seed, now and then.
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

    /// Tells a rumor to an address.
    pub(crate) fn send_statuses(&mut self, to: SocketAddr, statuses: &[MemberStatus]) {
        let now = self.clock.now();
        let source = Source { roster: &self.roster, registry: &self.registry, now };
        for updates in source.pack_statuses(statuses) {
            self.send(to, Body::Updates(updates));
        }
    }

    /// Turns what the parts have left into outputs.
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

/// Shows a neighbour's newest report.
pub struct PeerReport<'a> {
    /// The neighbour.
    pub instance: &'a Instance,
    /// How long ago the report was made.
    pub age: Duration,
    /// What it says.
    pub bytes: &'a [u8],
}
