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
use crate::probe::{Letter, Prober, draw};
use crate::queue::{Queue, Subject};
use crate::record::{LeaseStatus, Record};
use crate::registry::{self, AnnouncementResult, Pending, Question, Registry};
use crate::rendezvous::Homes;
use crate::report::Reports;
use crate::roster::{Member, Roster};
use crate::setup::{MAX_LEASE, Setup};
use crate::time::{Age, Clock};

/// How often news is passed on.
const ROUND: Duration = Duration::from_millis(250);

/// How many neighbours get news in a round.
const FANOUT: usize = 2;

/// How many datagrams a neighbour gets at most in a round while much has changed.
const BURST: usize = 4;

/// How many neighbours get urgent news at once.
const URGENT_FANOUT: usize = 6;

/// The least time between two bursts of urgent news.
const URGENT_GAP: Duration = Duration::from_millis(50);

/// Every how many rounds this instance makes a mark and compares itself with a neighbour.
const SYNC_ROUNDS: u64 = 4;

/// Every how many rounds it looks for instances it has lost.
const SEARCH_ROUNDS: u64 = 20;

/// Every how many rounds it greets a seed although it has neighbours.
const GREET_ROUNDS: u64 = 120;

/// After which silence of all neighbours an instance doubts its own links.
const SILENCE: Duration = Duration::from_millis(2_500);

/// After which silence it takes leases that run out as doubtful rather than lapsed.
const HUSH: Duration = Duration::from_millis(1_200);

/// Which share of its neighbours, in hundredths, must be missing for an instance to doubt itself.
const MOST: usize = 60;

/// How many bytes of reports an instance sends in a round.
const REPORT_ROOM: usize = 240;

/// The most datagrams with its report that an instance sends in a round.
const REPORTS: usize = 4;

/// The most renewals in one datagram.
const MAX_RENEWALS: usize = 50;

/// The most renewals that wait to be passed on.
const MAX_PENDING: usize = 16_384;

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
    pub(crate) letters: Vec<Letter>,
    pub(crate) out: Vec<Output>,
    pending: BTreeMap<Handle, BTreeMap<Key, Pending>>,
    homes: BTreeMap<Key, Homes>,
    homes_revision: u64,
    round: u64,
    due: Duration,
    burst: Duration,
    isolated: bool,
}

impl Gossip {
    /// Starts at a monotonic time; the seed should differ between instances.
    pub fn new(setup: Setup, seed: u64, now: Duration) -> Self {
        let clock = Clock::open(now);
        let mut rng = Pcg64::seed_from_u64(seed);
        let first = clock.now() + ROUND * rng.random_range(0..1_000) / 1_000;
        let handle = setup.own.handle();
        let mut queue = Queue::default();
        queue.push(Subject::Member(setup.own.instance.clone()));
        Self {
            roster: Roster::open(setup.own),
            prober: Prober::open(first + ROUND),
            registry: Registry::open(handle, setup.lease.min(MAX_LEASE)),
            reports: Reports::default(),
            seeds: setup.seeds,
            letters: Vec::new(),
            out: Vec::new(),
            pending: BTreeMap::new(),
            homes: BTreeMap::new(),
            homes_revision: 0,
            round: rng.random_range(0..GREET_ROUNDS),
            due: first,
            burst: Duration::ZERO,
            isolated: false,
            queue,
            rng,
            clock,
        }
    }

    /// Takes one input and appends what follows from it.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        let reading = self.clock.advance(now);
        if reading.frozen.is_some() {
            self.thaw(reading.now);
        }
        match input {
            Input::Tick => {}
            Input::Received { from, frame } => self.receive(from, *frame),
            Input::Announced(announcement) => self.announced(&announcement),
            Input::Reclaimed { upstream, notice } => {
                let now = self.clock.now();
                self.registry.reclaim(now, &upstream, notice, &mut self.queue);
            }
            Input::Report(bytes) => {
                self.reports.publish(self.clock.now(), bytes);
            }
            Input::Leave => self.declare(State::Leaving),
            Input::Stop => self.declare(State::Left),
        }
        self.roster.arrange();
        self.run();
        self.roster.arrange();
        self.settle();
        out.append(&mut self.out);
    }

    /// Returns when [`Input::Tick`] is due next.
    pub fn next_wakeup(&self) -> Duration {
        let mut due = self.due.min(self.prober.wake());
        if self.urgent() {
            due = due.min(self.burst);
        }
        Clock::outer(due)
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
        let others = self.members().map(Member::rumor).filter(|it| it.state == State::Alive);
        own.into_iter().chain(others).map(|rumor| &rumor.peer).filter(move |it| it.zone == *zone)
    }

    /// Returns the homes of a key: alike at all instances of the region that see the same members.
    pub fn homes(&self, key: u128) -> Homes {
        self.roster.rank(key)
    }

    /// Tells whether this instance doubts its own links.
    pub fn isolated(&self) -> bool {
        self.isolated
    }

    /// Goes through the upstreams that may get new work at the given time.
    pub fn usable(&self, now: Duration) -> impl Iterator<Item = &Record> {
        self.registry.usable(Clock::inner(now))
    }

    /// Goes through the upstreams that offer a model and may get new work at the given time.
    pub fn usable_for_model<'a>(
        &'a self,
        now: Duration,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a Record> {
        self.registry.usable_for_model(Clock::inner(now), model)
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
        let now = Clock::inner(now);
        self.reports.others().map(move |(instance, held)| PeerReport {
            instance,
            age: now.saturating_sub(held.made()),
            bytes: held.bytes(),
        })
    }

    fn announced(&mut self, announcement: &Announcement) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let key = Key::of(&announcement.upstream);
        let before = self.registry.renewal(key).map(|it| it.check);
        let answer = self.registry.announce(now, lag, announcement, &mut self.queue);
        if matches!(answer, AnnouncementResult::Accepted { .. }) {
            self.forward(key, &announcement.upstream);
        }
        if self.registry.renewal(key).map(|it| it.check) != before {
            self.flush(now);
            self.queue.hurry();
        }
        self.out.push(Output::AnnouncementResult(answer));
    }

    /// Has the homes of an upstream vouch for it, wherever it announced itself.
    fn forward(&mut self, key: Key, upstream: &Upstream) {
        let Some(pending) = self.registry.renewal(key) else { return };
        let homes = self.homes_of(key, upstream);
        for home in homes.iter() {
            if *home == self.roster.own().peer.instance {
                self.registry.vouch(key, pending.check, pending.at);
                continue;
            }
            let Some(handle) = self.roster.get(home).map(Member::handle) else { continue };
            let waiting: usize = self.pending.values().map(BTreeMap::len).sum();
            if waiting < MAX_PENDING {
                self.pending.entry(handle).or_default().insert(key, pending);
            }
        }
    }

    fn homes_of(&mut self, key: Key, upstream: &Upstream) -> Homes {
        if self.homes_revision != self.roster.revision() {
            self.homes_revision = self.roster.revision();
            self.homes.clear();
        }
        let rank = || self.roster.rank(hash::wide(&[upstream.as_str().as_bytes()]));
        self.homes.entry(key).or_insert_with(rank).clone()
    }

    fn declare(&mut self, state: State) {
        if !self.roster.declare(state) {
            return;
        }
        let own = self.roster.own().peer.instance.clone();
        self.queue.push(Subject::Member(own.clone()));
        self.hasten(|subject| *subject == Subject::Member(own.clone()));
    }

    /// Starts over with what a freeze of this instance has spoilt.
    ///
    /// After a freeze all neighbours seem to have been silent. One would notice a woken instance
    /// declare healthy ones dead. So its probes start over and suspects get their full time.
    fn thaw(&mut self, now: Duration) {
        self.roster.thaw(now);
        self.prober.thaw(now);
        self.registry.commit(now, &mut self.queue);
        self.registry.sweep(now, true);
    }

    /// Does what is due.
    fn run(&mut self) {
        let now = self.clock.now();
        if self.urgent() && now >= self.burst {
            self.burst = now + URGENT_GAP;
            self.hasten(|it| matches!(it, Subject::Leaving(_) | Subject::Sheet(_)));
            self.queue.calm();
        }
        if now >= self.prober.wake() {
            self.probe(now);
        }
        if now >= self.due {
            self.due = now + ROUND;
            self.round += 1;
            self.turn(now);
        }
    }

    fn urgent(&self) -> bool {
        self.queue.urgent()
    }

    fn probe(&mut self, now: Duration) {
        let failed = self.prober.step(now, &self.roster, &mut self.rng, &mut self.letters);
        let Some(failed) = failed else { return };
        if self.roster.fail(now, &failed) {
            self.queue.push(Subject::Member(failed));
        }
    }

    /// Does one round.
    fn turn(&mut self, now: Duration) {
        self.doubt(now);
        self.roster.watch_areas(now);
        self.queue.suit(self.roster.near().len());
        self.flush(now);
        self.registry.commit(now, &mut self.queue);
        if self.round.is_multiple_of(SYNC_ROUNDS) {
            self.registry.mark(now, &mut self.queue);
            self.compare(now);
        }
        let mut letters = self.write(FANOUT, |_| true);
        self.letters.append(&mut letters);
        self.send_reports(now);
        self.search();
        let hush = self.quiet(now, HUSH);
        self.registry.sweep(now, self.isolated || hush);
        self.reports.age(now);
        for Question { voucher, pull } in self.registry.repair(now, self.round) {
            self.letters.push(Letter { to: voucher, body: Body::Pull(pull) });
        }
    }

    /// Doubts its own links when most neighbours look dead at once, and buries nobody meanwhile.
    ///
    /// An instance that is cut off sees everybody else fall silent. One would notice it declare
    /// all others dead, take over their duties, and spread that when it is back. The survivor of
    /// two can't tell the one from the other: it doubts itself until the other is back or another
    /// joins, and goes on with the upstreams that announce themselves to it.
    fn doubt(&mut self, now: Duration) {
        let (missing, all) = self.roster.missing(now);
        let most = missing >= 2 && missing * 100 > all * MOST;
        let isolated = most || self.quiet(now, SILENCE) || self.prober.doubtful();
        if isolated != self.isolated {
            self.isolated = isolated;
            self.out.push(Output::Isolated(isolated));
        }
        if isolated {
            self.roster.hold(now);
        }
        for name in self.roster.bury(now) {
            self.queue.push(Subject::Member(name));
        }
    }

    fn quiet(&self, now: Duration, limit: Duration) -> bool {
        self.roster.last_heard().is_some_and(|heard| now.saturating_sub(heard) > limit)
    }

    /// Passes waiting renewals on to the homes, at once when the content of one has changed.
    fn flush(&mut self, now: Duration) {
        for (to, renewals) in std::mem::take(&mut self.pending) {
            let told = |(key, it): (&Key, &Pending)| Renewal {
                key: *key,
                content_hash: it.check,
                sequence: it.sequence,
                age: Age::of(now, it.at),
            };
            let renewals: Vec<Renewal> = renewals.iter().map(told).collect();
            for part in renewals.chunks(MAX_RENEWALS) {
                self.letters.push(Letter { to, body: Body::Renewals(part.to_vec()) });
            }
        }
    }

    /// Writes news to neighbours drawn at random, also where there is none: it shows that this
    /// instance lives.
    fn write(&mut self, fanout: usize, wanted: impl Fn(&Subject) -> bool) -> Vec<Letter> {
        let neighbours = self.draw_neighbours(fanout);
        let source =
            Source { roster: &self.roster, registry: &self.registry, now: self.clock.now() };
        let mut letters = Vec::new();
        for to in neighbours {
            let news = source.news(&mut self.queue, BURST, &wanted);
            letters.extend(news.into_iter().map(|it| Letter { to, body: Body::Updates(it) }));
        }
        letters
    }

    /// Sends urgent news to more neighbours than a round does.
    fn hasten(&mut self, wanted: impl Fn(&Subject) -> bool) {
        let mut letters = self.write(URGENT_FANOUT, wanted);
        letters.retain(|letter| !matches!(&letter.body, Body::Updates(it) if it.is_empty()));
        self.letters.append(&mut letters);
    }

    fn draw_neighbours(&mut self, count: usize) -> Vec<Handle> {
        draw(self.roster.near().to_vec(), count, &mut self.rng)
    }

    /// Compares itself with a neighbour and, as a contact, with another region.
    fn compare(&mut self, now: Duration) {
        let mut sync = Digest {
            checksums: self.roster.sums().to_vec(),
            contacts: self.roster.areas(now),
            marks: Vec::new(),
        };
        if let Some(to) = self.draw_contact() {
            self.letters.push(Letter { to, body: Body::Digest(sync.clone()) });
        }
        let Some(to) = self.draw_neighbours(1).pop() else { return };
        let marks = self.registry.marks(now);
        let room = pack::marks_beside(&sync);
        sync.marks = draw(marks, room, &mut self.rng);
        self.letters.push(Letter { to, body: Body::Digest(sync) });
    }

    fn draw_contact(&mut self) -> Option<Handle> {
        let own = &self.roster.own().peer;
        let contacts = self.roster.contacts(&own.region);
        if !contacts.iter().any(|name| *name == own.instance) {
            return None;
        }
        let region = draw(self.roster.regions(), 1, &mut self.rng).pop()?;
        let theirs: Vec<Instance> = self.roster.contacts(&region).iter().cloned().collect();
        let name = draw(theirs, 1, &mut self.rng).pop()?;
        self.roster.get(&name).map(Member::handle)
    }

    /// Sends its report to the next neighbours in turn, as many as the room for reports allows.
    fn send_reports(&mut self, now: Duration) {
        let Some(report) = self.reports.own(now) else { return };
        let present = self.roster.near();
        let size = report.bytes.len().max(1);
        let count = (REPORT_ROOM / size).clamp(1, REPORTS).min(present.len());
        for _ in 0..count {
            let turn = self.reports.next(present.len());
            self.letters.push(Letter { to: present[turn], body: Body::Report(report.clone()) });
        }
    }

    /// Looks for instances to join, and for ones that were lost and may be back.
    ///
    /// After a long cut both sides hold each other dead and would never talk again. One would
    /// notice two halves of a deployment that each believe to be the whole. So each greets one of
    /// the dead, and a seed, now and then.
    fn search(&mut self) {
        let alone = self.roster.near().is_empty();
        let join = Body::Join(self.roster.own().clone());
        let greets = self.round.is_multiple_of(GREET_ROUNDS)
            || (self.isolated && self.round.is_multiple_of(SYNC_ROUNDS))
            || (alone && self.round.is_multiple_of(SYNC_ROUNDS));
        if greets {
            for to in draw(self.seeds.clone(), FANOUT, &mut self.rng) {
                self.send(to, join.clone());
            }
        }
        if !self.round.is_multiple_of(SEARCH_ROUNDS) {
            return;
        }
        let dead = self.roster.members().filter(|member| member.state() == State::Dead);
        let dead: Vec<SocketAddr> = dead.map(|member| member.peer().address).collect();
        if let Some(to) = draw(dead, 1, &mut self.rng).pop() {
            self.send(to, join);
        }
    }

    /// Sends a body to an address.
    pub(crate) fn send(&mut self, to: SocketAddr, body: Body) {
        let frame = Box::new(Frame { from: self.roster.handle(), body });
        self.out.push(Output::Send { to, frame });
    }

    /// Tells a rumor to an address.
    pub(crate) fn tell(&mut self, to: SocketAddr, rumors: &[MemberStatus]) {
        let now = self.clock.now();
        let source = Source { roster: &self.roster, registry: &self.registry, now };
        for spread in source.tell(rumors) {
            self.send(to, Body::Updates(spread));
        }
    }

    /// Turns what the parts have left into outputs.
    fn settle(&mut self) {
        for handle in self.roster.retired() {
            self.registry.retire(handle);
            self.pending.remove(&handle);
        }
        for event in self.roster.events() {
            if let member::Event::Lost(name) | member::Event::Left(name) = &event {
                self.reports.forget(name);
            }
            self.out.push(Output::Member(event));
        }
        self.out.extend(self.registry.events().into_iter().map(Output::Upstream));
        for letter in std::mem::take(&mut self.letters) {
            if let Some(to) = self.roster.find(letter.to).map(|member| member.peer().address) {
                self.send(to, letter.body);
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
