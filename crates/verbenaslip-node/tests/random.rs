//! Instances under random faults from fixed seeds.
//!
//! The invariants are checked after every step and at the end. `VERBENASLIP_SEEDS=1000..3000` runs
//! other seeds than CI does.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::panic::{self, AssertUnwindSafe};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::{Announcement, Kind, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Team;
use verbenaslip_node::operator::{CallId, OperatorCall, Reply};
use verbenaslip_node::{Input, Node};
use verbenaslip_request::caller::Ticket;

use crate::world::disk::Disk;
use crate::world::{End, MS, World, upstream};

const INSTANCES: usize = 6;
const VOTERS: usize = 3;
/// Number of seeds of each of the tests that CI runs in parallel.
const SEEDS_PER_TEST: u64 = 25;
/// Time during which faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(8);
/// Time within which all instances must recover after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(60);
/// Longest time that a caller may wait beyond its deadline.
///
/// A relaying instance notices an unresponsive owner only after the relay timeout of one second.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_500);
/// Time within which a departure is known to all connected instances.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(2);
/// Time after a fault until all instances know each other again.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Smallest number of steps of a schedule.
const MIN_STEPS: u64 = 1_000;

/// Holds the state of one upstream.
struct TestUpstream {
    name: String,
    kind: Kind,
    incarnation: u64,
    sequence: u64,
    departure: Option<Departure>,
    dead: bool,
}

/// Describes when an upstream announced its departure, and whether the network was then healthy.
#[derive(Clone, Copy)]
struct Departure {
    at: Duration,
    no_recent_fault: bool,
}

/// Holds a request as it was sent by a caller.
struct SentRequest {
    ticket: Ticket,
    key: String,
    at: usize,
    due: Duration,
    sent: Duration,
}

/// Holds an edit and the calls that sent it.
struct SentEdit {
    id: String,
    base: u64,
    weight: u32,
    calls: Vec<CallId>,
}

/// Generates and runs one schedule of faults, requests and edits.
struct Schedule {
    world: World,
    rng: Pcg64Mcg,
    upstreams: Vec<TestUpstream>,
    calls: Vec<SentRequest>,
    edits: Vec<SentEdit>,
    restarts: BTreeMap<usize, Duration>,
    stopping: BTreeSet<usize>,
    heal_at: Option<Duration>,
    quiet_until: Duration,
    /// Last time at which a fault was present.
    last_fault: Duration,
    may_lose_disk: bool,
    checked_runs: usize,
    last_renewal: Duration,
}

impl Schedule {
    fn open(seed: u64) -> Self {
        let mut world = World::open(INSTANCES, VOTERS, seed);
        world.wait_until_ready();
        let test_upstream = |name: &str, kind| TestUpstream {
            name: name.to_owned(),
            kind,
            incarnation: 1,
            sequence: 0,
            departure: None,
            dead: false,
        };
        let engines =
            ["engine-0", "engine-1", "engine-2"].map(|name| test_upstream(name, Kind::Engine));
        let services = ["service-0", "service-1"].map(|name| test_upstream(name, Kind::Service));
        let mut schedule = Self {
            world,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            upstreams: engines.into_iter().chain(services).collect(),
            calls: Vec::new(),
            edits: Vec::new(),
            restarts: BTreeMap::new(),
            stopping: BTreeSet::new(),
            heal_at: None,
            quiet_until: Duration::ZERO,
            last_fault: Duration::ZERO,
            may_lose_disk: seed.is_multiple_of(2),
            checked_runs: 0,
            last_renewal: Duration::ZERO,
        };
        (0..schedule.upstreams.len()).for_each(|number| schedule.renew(number));
        schedule.world.run(MS(1_000));
        schedule
    }

    /// Runs the whole schedule.
    fn run(&mut self) {
        let end = self.world.now + FAULT_DURATION;
        while self.world.now < end {
            self.draw_action();
            self.advance();
        }
        self.end_faults();
        let end = self.world.now + RECOVERY_LIMIT;
        while !self.healed() {
            assert!(self.world.now < end, "not healed: {}", self.describe_instances());
            self.advance();
        }
        self.finish();
    }

    /// Advances the time a little, with renewals, restarts and checks.
    fn advance(&mut self) {
        let time = MS(self.rng.random_range(5..120));
        self.world.run(time);
        let now = self.world.now;
        if self.heal_at.is_some_and(|heal| heal <= now) {
            self.heal_at = None;
            self.world.cuts.clear();
            self.world.loss_rate = 0.0;
        }
        for number in std::mem::take(&mut self.stopping) {
            if self.world.stopped.contains(&number) {
                self.kill(number);
            } else if self.world.instances[number].node.is_some() {
                self.stopping.insert(number);
            }
        }
        let due: Vec<usize> =
            self.restarts.iter().filter(|(_, at)| **at <= now).map(|(number, _)| *number).collect();
        for number in due {
            self.restarts.remove(&number);
            self.world.start(number);
        }
        if now >= self.last_renewal + MS(800) {
            self.last_renewal = now;
            (0..self.upstreams.len()).for_each(|number| self.renew(number));
        }
        self.record_faults();
        self.check_runs();
        self.check_callers();
    }

    fn record_faults(&mut self) {
        let instance = |instance: &world::TestInstance| {
            instance.paused_until.is_some() || instance.node.is_none()
        };
        let has_fault = self.world.instances.iter().any(instance)
            || !self.world.cuts.is_empty()
            || self.world.loss_rate > 0.0;
        if has_fault || !self.stopping.is_empty() {
            self.last_fault = self.world.now;
        }
    }

    /// Performs a random action.
    fn draw_action(&mut self) {
        let busy = self.world.now >= self.quiet_until;
        match self.rng.random_range(0..100) {
            0..4 if busy => self.cut(),
            4..8 if busy => self.isolate(),
            8..11 if busy => self.drop_messages(),
            11..15 if busy => self.pause(),
            15..20 if busy => self.crash(),
            20..22 if busy => self.stop(),
            22..24 if busy => self.lose_disk(),
            24..26 if busy => {
                self.end_faults();
                self.quiet_until = self.world.now + MS(5_500);
            }
            26..30 => self.announce_departure(),
            30..33 => self.crash_upstream(),
            33..38 => self.restart_upstreams(),
            38..48 => self.edit(),
            48..54 => self.resend_edit(),
            54..70 => self.resend(),
            _ => self.request(),
        }
    }

    fn random_instance(&mut self) -> usize {
        self.rng.random_range(0..INSTANCES)
    }

    fn heal_later(&mut self) {
        let later = self.world.now + MS(self.rng.random_range(50..5_000));
        self.heal_at = Some(self.heal_at.map_or(later, |heal| heal.min(later)));
    }

    fn cut(&mut self) {
        for _ in 0..self.rng.random_range(1..5) {
            let (from, to) = (self.random_instance(), self.random_instance());
            self.world.cuts.insert((from, to));
            if self.rng.random_bool(0.3) {
                self.world.cuts.insert((to, from));
            }
        }
        self.heal_later();
    }

    fn isolate(&mut self) {
        let first = self.random_instance();
        let apart = match self.rng.random_range(0..3) {
            0 => vec![first],
            1 => vec![first, (first + 3) % INSTANCES],
            _ => vec![first, (first + 1) % INSTANCES, (first + 2) % INSTANCES],
        };
        self.world.isolate(&apart);
        self.heal_later();
    }

    fn drop_messages(&mut self) {
        self.world.loss_rate = self.rng.random_range(0.01..0.3);
        self.heal_later();
    }

    fn pause(&mut self) {
        let number = self.random_instance();
        if self.world.instances[number].node.is_some() {
            let time = MS(self.rng.random_range(100..6_000));
            self.world.instances[number].paused_until = Some(self.world.now + time);
        }
    }

    fn crash(&mut self) {
        let number = self.random_instance();
        if self.world.instances[number].node.is_some() {
            self.kill(number);
        }
    }

    fn kill(&mut self, number: usize) {
        self.world.kill(number);
        self.stopping.remove(&number);
        // Half of the restarts come so soon that the others may not have noticed the failure.
        let most = if self.rng.random_bool(0.5) { 60 } else { 4_000 };
        let at = self.world.now + MS(self.rng.random_range(1..most));
        self.restarts.insert(number, at);
        self.last_fault = self.world.now;
    }

    fn stop(&mut self) {
        let number = self.random_instance();
        let instance = &self.world.instances[number];
        if instance.node.is_some()
            && instance.paused_until.is_none()
            && self.stopping.insert(number)
        {
            let remaining = MS(self.rng.random_range(500..8_000));
            self.world.step(number, Input::Stop { remaining });
        }
    }

    /// Loses the disk of one voter, at most once: two lost disks would not be a minority of voters.
    fn lose_disk(&mut self) {
        if std::mem::take(&mut self.may_lose_disk) {
            let number = self.rng.random_range(0..VOTERS);
            self.kill(number);
            self.world.instances[number].disk = Some(Disk::new(100 + number));
        }
    }

    fn announce_departure(&mut self) {
        let number = self.rng.random_range(0..self.upstreams.len());
        let at = self.random_instance();
        let instance = &self.world.instances[at];
        let test_upstream = &mut self.upstreams[number];
        if test_upstream.dead
            || test_upstream.departure.is_some()
            || instance.node.is_none()
            || instance.paused_until.is_some()
        {
            return;
        }
        let no_recent_fault = self.world.now >= self.last_fault + SETTLE_TIME;
        test_upstream.departure = Some(Departure { at: self.world.now, no_recent_fault });
        test_upstream.sequence += 1;
        let mut announcement = test_upstream.announcement();
        announcement.phase = Phase::Leaving { notice: Some(10_000) };
        self.world.announce(at, &announcement);
    }

    fn crash_upstream(&mut self) {
        let number = self.rng.random_range(0..self.upstreams.len());
        let test_upstream = &mut self.upstreams[number];
        test_upstream.dead = true;
        self.world.upstreams.crash(&test_upstream.name.as_str().into());
    }

    fn restart_upstreams(&mut self) {
        for number in 0..self.upstreams.len() {
            let test_upstream = &mut self.upstreams[number];
            if test_upstream.dead || test_upstream.departure.is_some() {
                test_upstream.restart();
                self.world.upstreams.dead.remove(test_upstream.name.as_str());
                self.renew(number);
            }
        }
    }

    /// Announces an upstream through a random instance, sometimes with a stale announcement.
    fn renew(&mut self, number: usize) {
        let (at, late) = (self.random_instance(), self.rng.random_bool(0.1));
        let test_upstream = &mut self.upstreams[number];
        if test_upstream.dead || (test_upstream.departure.is_some() && !late) {
            return;
        }
        if !late {
            test_upstream.sequence += 1;
        }
        let mut announcement = test_upstream.announcement();
        if late {
            announcement.sequence = announcement.sequence.saturating_sub(1);
            announcement.incarnation = 1;
        }
        self.world.announce(at, &announcement);
    }

    fn request(&mut self) {
        let idempotent = self.rng.random_bool(0.4);
        let key = format!("{}-{}", if idempotent { "chat" } else { "order" }, self.calls.len());
        self.send(key);
    }

    fn resend(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let from = self.calls.len().saturating_sub(8);
        let number = self.rng.random_range(from..self.calls.len());
        let key = self.calls[number].key.clone();
        for _ in 0..self.rng.random_range(1..3) {
            self.send(key.clone());
        }
    }

    fn send(&mut self, key: String) {
        let at = self.random_instance();
        if self.world.instances[at].node.is_none() {
            return;
        }
        let due = MS(self.rng.random_range(1_000..5_000));
        let ticket = self.world.send_request_with_timeout(at, &key, key.starts_with("chat"), due);
        self.calls.push(SentRequest { ticket, key, at, due, sent: self.world.now });
    }

    fn edit(&mut self) {
        let base = self.revision();
        for _ in 0..self.rng.random_range(1..4) {
            let number = self.edits.len();
            let (id, weight) = (format!("edit-{number}"), 200 + number as u32);
            self.edits.push(SentEdit { id, base, weight, calls: Vec::new() });
            self.send_edit(number);
        }
    }

    fn resend_edit(&mut self) {
        if !self.edits.is_empty() {
            let number = self.rng.random_range(0..self.edits.len());
            self.send_edit(number);
        }
    }

    fn send_edit(&mut self, number: usize) {
        let at = self.random_instance();
        let edit = &mut self.edits[number];
        let wait = MS(self.rng.random_range(0..6_000));
        let call = self.world.apply(at, edit.base, &edit.id, edit.weight, wait);
        edit.calls.push(call);
    }

    /// Returns the newest revision that any instance has.
    fn revision(&self) -> u64 {
        let nodes = self.world.instances.iter().filter_map(|instance| instance.node.as_ref());
        nodes.map(|node| node.revision().0).max().unwrap_or_default()
    }

    /// Ends all faults.
    fn end_faults(&mut self) {
        self.world.cuts.clear();
        self.world.loss_rate = 0.0;
        self.heal_at = None;
        for number in std::mem::take(&mut self.stopping) {
            self.kill(number);
        }
        for number in std::mem::take(&mut self.restarts).into_keys() {
            self.world.start(number);
        }
        for instance in &mut self.world.instances {
            instance.paused_until =
                instance.paused_until.map(|until| until.min(self.world.now + MS(1)));
        }
        self.restart_upstreams();
    }

    fn healed(&self) -> bool {
        let newest = self.revision();
        let whole = |node: &Node| node.is_ready() && node.revision().0 == newest;
        let open = |call: &SentRequest| !self.world.ended.contains_key(&call.ticket);
        self.world.instances.iter().all(|instance| instance.node.as_ref().is_some_and(whole))
            && !self.calls.iter().any(open)
    }

    fn describe_instances(&self) -> String {
        let nodes = self.world.instances.iter().map(|instance| instance.node.as_ref());
        let lines: Vec<String> = nodes
            .map(|node| {
                node.map_or_else(
                    || "gone".to_owned(),
                    |it| {
                        format!(
                            "{} leads {} {:?}",
                            it.revision(),
                            it.is_leader(),
                            it.readiness_problems()
                        )
                    },
                )
            })
            .collect();
        lines.join("; ")
    }

    /// Checks that no upstream gets work after its departure is known to all.
    fn check_runs(&mut self) {
        let new = &self.world.upstreams.recorded_runs[self.checked_runs..];
        for run in new {
            let test_upstream = self
                .upstreams
                .iter()
                .find(|test_upstream| test_upstream.name == run.upstream.as_str());
            let Some(departure) = test_upstream.and_then(|test_upstream| test_upstream.departure)
            else {
                continue;
            };
            let no_recent_fault = departure.no_recent_fault && self.last_fault <= departure.at;
            assert!(
                !no_recent_fault || run.at <= departure.at + DEPARTURE_LIMIT,
                "instance {} runs at {} at {:?}, which left at {:?}",
                run.instance,
                run.upstream,
                run.at,
                departure.at,
            );
        }
        self.checked_runs = self.world.upstreams.recorded_runs.len();
    }

    /// Checks that no caller waits beyond the latest deadline of all requests with its key.
    ///
    /// A request that joins another one in progress gets the answer of that request.
    fn check_callers(&self) {
        let now = self.world.now;
        for call in self.calls.iter().filter(|call| !self.world.ended.contains_key(&call.ticket)) {
            let instance = &self.world.instances[call.at];
            let alike = self.calls.iter().filter(|other| other.key == call.key);
            let due = alike.filter_map(|it| Some(*self.world.arrived_at.get(&it.ticket)? + it.due));
            let due = due.max().unwrap_or(now).max(instance.resumed_at);
            assert!(
                instance.paused_until.is_some() || now <= due + DEADLINE_MARGIN,
                "{:?} with key {} of {} has waited from {:?} to {now:?}, due {due:?}, told {:?}",
                call.ticket,
                call.key,
                call.at,
                call.sent,
                self.world.last_verdict(call.ticket),
            );
        }
    }

    fn finish(&mut self) {
        self.check_refusals();
        self.check_edits();
        assert!(self.world.steps >= MIN_STEPS, "only {} steps", self.world.steps);
    }

    /// Checks that a request did not run if all its answers were refusals.
    fn check_refusals(&self) {
        let mut keys: BTreeMap<&str, Vec<End>> = BTreeMap::new();
        for call in &self.calls {
            let end = self.world.ended[&call.ticket].0;
            keys.entry(&call.key).or_default().push(end);
        }
        for (key, ends) in keys {
            let refused = ends.iter().all(|end| *end == End::Refused);
            let runs = self.world.upstreams.runs(Request::of_key(&Team::from("office"), key));
            assert!(!refused || runs == 0, "{key} was refused as not run and ran {runs} times");
        }
    }

    /// Checks the history and the tables against the accepted edits.
    ///
    /// Every accepted edit must be in the history at its revision, and every table must be the one
    /// that the accepted edits produce.
    fn check_edits(&mut self) {
        let tables: Vec<Reply> = (0..INSTANCES)
            .map(|at| self.call_and_wait(at, OperatorCall::Table { revision: None }))
            .collect();
        let history = self.call_and_wait(0, OperatorCall::History);
        let Reply::History(entries) = history else { panic!("no history: {history:?}") };
        let made = |revision: u64| {
            let entry = entries.iter().find(|entry| entry.revision.0 == revision);
            entry.map(|entry| entry.edit.to_string())
        };
        let mut newest = 1;
        for edit in &self.edits {
            for (revision, _) in
                edit.calls.iter().filter_map(|call| self.world.accepted_revision(*call))
            {
                assert_eq!(made(revision).as_ref(), Some(&edit.id), "accepted as {revision}");
                newest = newest.max(revision);
            }
        }
        for (number, reply) in tables.into_iter().enumerate() {
            let Reply::Table(version) = reply else { panic!("no table: {reply:?}") };
            let revision = version.revision.0;
            assert!(revision >= newest, "{number} has {revision}, {newest} was accepted");
            let made = made(revision);
            let edit = self.edits.iter().find(|edit| Some(&edit.id) == made.as_ref());
            let weight = edit.map_or(100, |edit| edit.weight);
            assert_eq!(*version.table, world::table(weight), "{number} at {revision}");
        }
    }

    fn call_and_wait(&mut self, at: usize, request: OperatorCall) -> Reply {
        let call = self.world.call(at, request);
        self.world.run_until(MS(5_000), "an answer", |world| world.replies.contains_key(&call));
        self.world.replies[&call].clone()
    }
}

impl TestUpstream {
    fn announcement(&self) -> Announcement {
        let mut announcement = upstream(&self.name, self.kind, self.sequence);
        announcement.incarnation = self.incarnation;
        announcement
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.departure = None;
        self.dead = false;
    }
}

/// Runs schedules and reports every seed that fails.
fn run(seeds: Range<u64>) {
    let mut failed = Vec::new();
    let (mut steps, mut runs) = (0, 0);
    for seed in seeds.clone() {
        let outcome = panic::catch_unwind(AssertUnwindSafe(|| {
            let mut schedule = Schedule::open(seed);
            schedule.run();
            (schedule.world.steps, schedule.world.upstreams.recorded_runs.len())
        }));
        match outcome {
            Ok(counts) => (steps, runs) = (steps + counts.0, runs + counts.1),
            Err(_) => {
                eprintln!("the line above is of seed {seed}");
                failed.push(seed);
            }
        }
    }
    println!("{seeds:?}: {steps} steps, {runs} runs at upstreams");
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

/// Returns the seeds of one test, which are those of CI or those that the environment sets.
fn seed_range(number: u64) -> Range<u64> {
    let Some((from, to)) = seeds_from_environment() else {
        return number * SEEDS_PER_TEST..(number + 1) * SEEDS_PER_TEST;
    };
    let each = (to - from).div_ceil(4);
    (from + number * each).min(to)..(from + (number + 1) * each).min(to)
}

fn seeds_from_environment() -> Option<(u64, u64)> {
    let text = std::env::var("VERBENASLIP_SEEDS").ok()?;
    let (from, to) = text.split_once("..")?;
    Some((from.parse().ok()?, to.parse().ok()?))
}

// These tests guard against any violated invariant. Partitions, lost messages, pauses, kills, lost
// disks, stops, departures and crashes of upstreams, racing edits and repeated keys come in random
// order. The four tests run in parallel.

#[test]
fn nothing_is_broken_by_random_faults_1() {
    run(seed_range(0));
}

#[test]
fn nothing_is_broken_by_random_faults_2() {
    run(seed_range(1));
}

#[test]
fn nothing_is_broken_by_random_faults_3() {
    run(seed_range(2));
}

#[test]
fn nothing_is_broken_by_random_faults_4() {
    run(seed_range(3));
}
