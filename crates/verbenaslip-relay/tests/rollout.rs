//! Rollouts in virtual time, with the real decisions of a leader and of entries, and simulated
//! upstreams.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::View;
use verbenaslip_fleet::rollout::verdict::{Fleet, Reason};
use verbenaslip_fleet::rollout::{Cohort, Controller, Order, Plan, Rollout, State};
use verbenaslip_relay::policy::upstream_state::Ending;
use verbenaslip_relay::policy::versions::{Ticket, Track, Versions};

const TICK_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 250;
const PUSH_DELAY_MS: u64 = 60;
/// Holds the name of a route, its fraction of the requests and its usual latency in milliseconds.
type Route = (&'static str, f64, f64);

const ROUTES: [Route; 3] =
    [("draft", 0.32, 130.0), ("check", 0.60, 100.0), ("explain", 0.08, 90.0)];

/// Describes how a candidate answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Version {
    Good,
    /// Fails a fraction of its requests.
    Failing(f64),
    /// Answers a fraction of its requests five times slower.
    Slow(f64),
    /// Fails a fraction of its requests from a time on, in milliseconds.
    Late(f64, u64),
    /// Fails a fraction of its requests on the route with the fewest requests.
    OneRoute(f64),
    /// Fails a fraction of its requests at upstreams with more than a fraction of the usual load.
    Loaded(f64, f64),
}

/// Describes other faults during a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Trouble {
    /// Fraction of the upstreams of both versions that fail two requests in five.
    grey: f64,
    /// When a third of all upstreams break off their requests and fail for a while, in
    /// milliseconds.
    crash: Option<u64>,
    /// When the leader is lost, in milliseconds; the next one starts three seconds later.
    leader: Option<u64>,
    /// Fraction of the requests that fail with any version.
    natural: f64,
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    entries: usize,
    /// Requests per second.
    rate: f64,
    upstreams: usize,
    duration: u64,
    version: Version,
    trouble: Trouble,
    seed: u64,
}

/// Describes the result of a rollout.
#[derive(Debug)]
struct Outcome {
    state: State,
    decided: u64,
    /// Requests between the order and its time limit, and those to the candidate among them.
    sent: (u64, u64),
    /// When the candidate gave its fiftieth bad answer.
    fiftieth: Option<u64>,
    /// When the last request was sent to the candidate.
    last: u64,
    bad: u64,
    reason: Option<Reason>,
}

impl Outcome {
    fn is_within_bounds(&self) -> bool {
        let (all, candidate) = self.sent;
        let late = self.fiftieth.is_some_and(|at| self.last > at + 5_000);
        candidate as f64 <= all as f64 * 0.1 + 50.0 && !late
    }
}

/// Holds a request in progress: its end, entry, number, latency, whether it fails, and whether the
/// version is the cause.
type Active = (u64, usize, u64, u64, bool, bool);

struct World {
    setup: Setup,
    now: u64,
    draw_count: u64,
    entries: Vec<Versions>,
    tickets: BTreeMap<u64, Ticket>,
    active: BinaryHeap<Reverse<Active>>,
    next: u64,
    candidates: usize,
    load: Vec<f64>,
}

impl World {
    fn draw(&mut self) -> f64 {
        self.draw_count += 1;
        let bits = hash::mix(
            self.setup.seed.wrapping_mul(0x9e37_79b9).wrapping_add(self.draw_count) << 20,
        );
        f64::from(u32::try_from(bits >> 32).expect("32 bits")) / f64::from(u32::MAX)
    }

    fn random_index(&mut self, count: usize) -> usize {
        let sample = (self.draw() * count as f64) as usize;
        sample.min(count - 1)
    }

    fn time(millis: u64) -> Duration {
        Duration::from_secs(60) + Duration::from_millis(millis)
    }

    /// Sends the requests that arrive within one tick.
    fn arrive(&mut self, plan: &Plan, outcome: &mut Outcome) {
        let mean = self.setup.rate * TICK_MS as f64 / 1_000.0;
        let mut count = mean as usize;
        if self.draw() < mean.fract() {
            count += 1;
        }
        for _ in 0..count {
            let sample = self.draw();
            let route = match sample {
                it if it < ROUTES[0].1 => 0,
                it if it < ROUTES[0].1 + ROUTES[1].1 => 1,
                _ => 2,
            };
            let entry = self.random_index(self.setup.entries);
            self.send(plan, entry, route, outcome);
        }
    }

    fn send(&mut self, plan: &Plan, entry: usize, route: usize, outcome: &mut Outcome) {
        let (now, draw) = (Self::time(self.now), self.draw());
        let (name, _, usual) = ROUTES[route];
        let tracks = self.entries[entry].choose_tracks(now, "pool", name, false, draw);
        let canaries = plan.canaries.as_ref().map_or(self.candidates, BTreeSet::len);
        let candidate = tracks.preferred == Track::Candidate && canaries > 0;
        let (cohort, at) = match (candidate, &plan.canaries) {
            (true, None) => (Cohort::Candidate, self.random_index(self.candidates)),
            (true, Some(canaries)) => {
                let at = self.random_index(canaries.len());
                let name = canaries.iter().nth(at).expect("the index is in range").as_str();
                let cohort = if plan.shifting { Cohort::Candidate } else { Cohort::Canary };
                (cohort, name[1..].parse().expect("a number"))
            }
            (false, _) => (Cohort::Stable, self.random_index(self.setup.upstreams)),
        };
        let limit = self.setup.duration;
        if self.now <= limit {
            outcome.sent.0 += 1;
            outcome.sent.1 += u64::from(candidate);
        }
        if candidate {
            outcome.last = self.now;
            self.load[at] += 1.0;
        }
        let (bad, slow, own) = self.sample_outcome(candidate, at, route);
        let spread = 0.6 + self.draw() * 0.9;
        let took = (usual * spread * if slow { 5.0 } else { 1.0 }) as u64;
        let name: Arc<str> = name.into();
        let ticket = self.entries[entry].record_sent(now, "pool", &name, cohort, at as u64);
        let Some(ticket) = ticket else { return };
        self.next += 1;
        self.tickets.insert(self.next, ticket);
        self.active.push(Reverse((self.now + took, entry, self.next, took, bad, own)));
    }

    /// Returns whether an answer is bad, whether it is slow, and whether the version is the cause.
    fn sample_outcome(&mut self, candidate: bool, at: usize, route: usize) -> (bool, bool, bool) {
        let trouble = self.setup.trouble;
        let (sample, other) = (self.draw(), self.draw());
        let crashed = trouble.crash.is_some_and(|it| (it..it + 300).contains(&self.now))
            && at.is_multiple_of(3);
        let grey = trouble.grey > 0.0
            && (hash::mix(self.setup.seed ^ (at as u64 * 2 + u64::from(candidate)) << 7) % 1_000)
                as f64
                <= trouble.grey * 1_000.0;
        let other = crashed || (grey && other < 0.4) || sample < trouble.natural;
        let version = self.draw();
        let (bad, slow) = match self.setup.version {
            _ if !candidate => (false, false),
            Version::Good => (false, false),
            Version::Failing(part) => (version < part, false),
            Version::Slow(part) => (false, version < part),
            Version::Late(part, from) => (self.now >= from && version < part, false),
            Version::OneRoute(part) => (route == 2 && version < part, false),
            Version::Loaded(part, load) => {
                let usual = self.setup.rate / self.setup.upstreams as f64;
                (self.load[at] > usual * load && version < part, false)
            }
        };
        (bad || other, slow, bad || slow)
    }

    fn finish(&mut self, outcome: &mut Outcome) {
        while let Some(Reverse((at, ..))) = self.active.peek()
            && *at <= self.now
        {
            let Some(Reverse((at, entry, number, took, bad, own))) = self.active.pop() else {
                return;
            };
            let Some(ticket) = self.tickets.remove(&number) else { continue };
            let ending = if bad { Ending::Failed } else { Ending::Complete };
            self.entries[entry].record_first_event("pool", ticket, Duration::from_millis(took));
            self.entries[entry].record_end(Self::time(at), "pool", ticket, ending);
            outcome.bad += u64::from(own);
            if outcome.bad >= 50 && outcome.fiftieth.is_none() {
                outcome.fiftieth = Some(at);
            }
        }
    }
}

fn rollout(setup: &Setup) -> Rollout {
    let duration = Duration::from_millis(setup.duration);
    let order = Order { service: "pool".into(), version: "v2".into(), time_limit: duration };
    Rollout { id: 1, order, started: 0, state: State::Serving, decided: None }
}

fn address(entry: usize) -> SocketAddr {
    let [high, low] = u16::try_from(entry).expect("few").to_be_bytes();
    ([10, 2, high, low], 7_000).into()
}

/// Runs a rollout at a leader that may be lost.
struct Leader {
    rollout: Rollout,
    controller: Option<Controller>,
    began: u64,
    /// The leader's current plan, and when entries get it.
    newest: (u64, Plan),
    /// The plan that entries follow.
    shown: Plan,
}

impl Leader {
    fn new(setup: &Setup) -> Self {
        let rollout = rollout(setup);
        let controller = Controller::new(rollout.clone(), BTreeSet::new());
        let plan = controller.plan();
        let newest = (0, plan.clone());
        Self { rollout, controller: Some(controller), began: 0, newest, shown: plan }
    }

    /// Removes the leader, or starts the next one.
    fn change(&mut self, now: u64, lost: Option<u64>) {
        if lost == Some(now) {
            self.controller = None;
        }
        if lost.is_some_and(|at| now == at + 3_000) {
            self.controller = Some(Controller::new(self.rollout.clone(), BTreeSet::new()));
            self.began = now;
        }
    }

    fn report(&mut self, world: &mut World, entry: usize) {
        let reports = world.entries[entry].report(World::time(world.now));
        let Some(controller) = &mut self.controller else { return };
        for report in &reports {
            controller.handle_report(address(entry), 1, world.now, report);
        }
        show(world, entry, &self.shown);
    }

    fn decide(&mut self, world: &World, outcome: &mut Outcome) {
        let Some(controller) = &mut self.controller else { return };
        let fleet = Fleet {
            candidates: (0..world.candidates).map(candidate).collect(),
            stable: world.setup.upstreams,
            entries: (0..world.setup.entries).map(address).collect(),
            all_reported: world.now - self.began >= 700 || self.began == 0,
        };
        controller.tick(World::time(world.now), world.now, &fleet);
        if let Some(verdict) = controller.verdict()
            && self.rollout.decided.is_none()
        {
            self.rollout.state = verdict.state;
            self.rollout.decided = Some(world.now);
            outcome.state = verdict.state;
            outcome.reason = Some(verdict.reason.clone());
            outcome.decided = world.now;
        }
        controller.update_rollout(&self.rollout, &BTreeSet::new());
        let plan = controller.plan();
        if self.newest.1 != plan {
            self.newest = (world.now + PUSH_DELAY_MS, plan);
        }
    }

    fn push(&mut self, world: &mut World) {
        let (due, plan) = &self.newest;
        if *due != world.now {
            return;
        }
        self.shown = plan.clone();
        for entry in 0..world.setup.entries {
            show(world, entry, &self.shown);
        }
    }
}

/// Simulates a rollout until four seconds after its time limit or its verdict, whichever is later.
fn play(setup: Setup) -> Outcome {
    let mut world = World {
        setup,
        now: 0,
        draw_count: 0,
        entries: (0..setup.entries).map(|_| Versions::default()).collect(),
        tickets: BTreeMap::new(),
        active: BinaryHeap::new(),
        next: 0,
        candidates: 0,
        load: vec![0.0; setup.upstreams],
    };
    let (state, sent) = (State::Serving, (0, 0));
    let mut outcome =
        Outcome { state, decided: 0, sent, fiftieth: None, last: 0, bad: 0, reason: None };
    let mut leader = Leader::new(&setup);
    while world.now < outcome.decided.max(setup.duration) + 4_000 {
        world.now += TICK_MS;
        leader.change(world.now, setup.trouble.leader);
        let booted = world.now.saturating_sub(4_000) / 50;
        world.candidates = usize::try_from(booted).expect("few").min(setup.upstreams);
        world.load.iter_mut().for_each(|load| *load *= 0.99);
        world.arrive(&leader.shown, &mut outcome);
        world.finish(&mut outcome);
        for entry in 0..setup.entries {
            let phase = entry as u64 * 7 % (REPORT_INTERVAL_MS / TICK_MS) * TICK_MS;
            if world.now % REPORT_INTERVAL_MS == phase {
                leader.report(&mut world, entry);
            }
        }
        if world.now.is_multiple_of(100) {
            leader.decide(&world, &mut outcome);
        }
        leader.push(&mut world);
    }
    outcome
}

fn show(world: &mut World, entry: usize, plan: &Plan) {
    let plans = BTreeMap::from([(Arc::from("pool"), plan.clone())]);
    let confirmed = Some(World::time(world.now));
    let view =
        View { rollout_plans: Arc::new(plans), plans_confirmed_at: confirmed, ..View::default() };
    world.entries[entry].update(&view);
}

fn candidate(at: usize) -> (Upstream, AvailabilityZone) {
    let zone = ["north", "south", "west"][at % 3];
    (Upstream::new(format!("c{at}")), AvailabilityZone::from(zone))
}

fn setup(version: Version, seed: u64) -> Setup {
    let trouble = Trouble::default();
    Setup { entries: 54, rate: 620.0, upstreams: 45, duration: 12_000, version, trouble, seed }
}

const BAD_VERSIONS: [Version; 9] = [
    Version::Failing(1.0),
    Version::Failing(0.5),
    Version::Failing(0.2),
    Version::Slow(1.0),
    Version::Slow(0.4),
    Version::Late(0.4, 7_000),
    Version::Late(0.5, 9_500),
    Version::OneRoute(0.5),
    Version::Loaded(0.5, 0.5),
];

#[test]
fn a_good_version_is_completed_in_time() {
    for duration in [10_000, 12_000, 20_000, 30_000] {
        for seed in 0..8 {
            let outcome = play(Setup { duration, ..setup(Version::Good, seed) });
            assert_eq!(outcome.state, State::Completed, "{duration} {seed} {outcome:?}");
            assert!(outcome.decided <= duration, "{duration} {seed} {outcome:?}");
        }
    }
}

#[test]
fn a_bad_version_is_rolled_back_before_too_many_requests_reach_it() {
    for version in BAD_VERSIONS {
        for duration in [12_000, 24_000] {
            for seed in 0..6 {
                let outcome = play(Setup { duration, ..setup(version, seed) });
                let context = format!("{version:?} {duration} {seed} {outcome:?}");
                assert_eq!(outcome.state, State::RolledBack, "{context}");
                assert!(outcome.is_within_bounds(), "{context}");
            }
        }
    }
}

#[test]
fn a_bad_version_is_rolled_back_at_few_and_at_hundreds_of_entries() {
    for (entries, rate) in [(5, 150.0), (300, 3_000.0)] {
        for version in BAD_VERSIONS {
            let upstreams = if entries == 5 { 12 } else { 160 };
            let outcome = play(Setup { entries, rate, upstreams, ..setup(version, 1) });
            let context = format!("{entries} {version:?} {outcome:?}");
            assert_eq!(outcome.state, State::RolledBack, "{context}");
            assert!(outcome.is_within_bounds(), "{context}");
        }
    }
}

#[test]
fn a_bad_version_stays_within_its_bounds_when_the_leader_is_lost() {
    for version in BAD_VERSIONS {
        for at in [5_000, 7_500, 9_000] {
            let trouble = Trouble { leader: Some(at), ..Trouble::default() };
            let outcome = play(Setup { trouble, duration: 20_000, ..setup(version, 3) });
            let context = format!("{version:?} {at} {outcome:?}");
            assert_eq!(outcome.state, State::RolledBack, "{context}");
            assert!(outcome.is_within_bounds(), "{context}");
        }
    }
}

#[test]
fn a_good_version_is_not_rolled_back_while_upstreams_of_both_fail() {
    let troubles = [
        Trouble { grey: 0.15, ..Trouble::default() },
        Trouble { crash: Some(7_000), ..Trouble::default() },
        Trouble { natural: 0.14, ..Trouble::default() },
        Trouble { leader: Some(6_000), natural: 0.05, ..Trouble::default() },
    ];
    let seeds = std::env::var("ROLLOUT_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(12);
    let mut rolled_back = Vec::new();
    for trouble in troubles {
        for seed in 0..seeds {
            let outcome = play(Setup { trouble, duration: 16_000, ..setup(Version::Good, seed) });
            if outcome.state == State::RolledBack {
                rolled_back.push((trouble, seed, outcome));
            }
        }
    }
    // At most one rollback in a thousand runs is allowed; the short run allows none.
    assert!(rolled_back.len() <= seeds as usize * troubles.len() / 1_000, "{rolled_back:?}");
}
