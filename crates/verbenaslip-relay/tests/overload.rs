//! New connections at an entry that gets more than it can serve, without sockets.
//!
//! Guards against an entry that accepts whatever a load balancer hands it, and then serves nobody in time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_relay::policy::overload::{Change, Overload, Verdict};

/// Processor time of one step of a request, at an eighth of a core.
const STEP_TIME: Duration = Duration::from_micros(600);
/// Processor time in which a connection is accepted, or closed.
const ACCEPT_TIME: Duration = Duration::from_micros(100);
/// Steps of a request, and the one after which the upstream works.
const STEPS: (u32, u32) = (6, 3);
const UPSTREAM_TIME: Duration = Duration::from_millis(30);
/// Latency within which a request is served in time.
const OBJECTIVE: Duration = Duration::from_millis(600);
const SECOND: Duration = Duration::from_secs(1);

#[derive(Clone, Copy)]
struct Call {
    arrived_at: Duration,
    accepted_at: Duration,
    step: u32,
}

/// Results of the calls that arrived in a span of time.
#[derive(Debug, Default)]
struct Results {
    in_time: usize,
    late: usize,
    closed: usize,
    changes: usize,
}

impl Results {
    /// Returns the share of the calls that were read and served in time.
    fn served_share(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late).max(1) as f64
    }
}

/// Event loop of an entry that runs one step of one task at a time, in the order in which they became ready.
struct EventLoop {
    overload: Overload,
    now: Duration,
    rng: Pcg64,
    arriving: VecDeque<Duration>,
    ready: VecDeque<Call>,
    waiting: BTreeMap<(Duration, u64), Call>,
    number: u64,
}

impl EventLoop {
    fn new() -> Self {
        Self {
            overload: Overload::default(),
            now: SECOND,
            rng: Pcg64::seed_from_u64(82),
            arriving: VecDeque::new(),
            ready: VecDeque::new(),
            waiting: BTreeMap::new(),
            number: 0,
        }
    }

    /// Adds calls at a rate per second that arrive at random from now on.
    fn add_calls(&mut self, rate: u64, time: Duration) {
        let mut arrivals = Vec::new();
        for _ in 0..rate * time.as_secs() {
            arrivals.push(self.now + time.mul_f64(self.rng.random()));
        }
        arrivals.sort_unstable();
        self.arriving.extend(arrivals);
    }

    fn next_arrival(&mut self) -> Option<Duration> {
        let is_due = self.arriving.front().is_some_and(|at| *at <= self.now);
        if is_due { self.arriving.pop_front() } else { None }
    }

    /// Runs until nothing is left; counts the calls that arrived after `counted_from`.
    fn run(&mut self, counted_from: Duration) -> Results {
        let mut results = Results::default();
        loop {
            while let Some((key, call)) =
                self.waiting.first_key_value().map(|(it, call)| (*it, *call))
                && key.0 <= self.now
            {
                self.waiting.remove(&key);
                self.ready.push_back(call);
            }
            // Accepting is one of the tasks of the loop, and takes all that has arrived.
            while let Some(arrived_at) = self.next_arrival() {
                self.now += ACCEPT_TIME;
                self.ready.push_back(Call { arrived_at, accepted_at: self.now, step: 0 });
            }
            let round = self.ready.len();
            for _ in 0..round {
                let call = self.ready.pop_front().expect("the round is not longer");
                self.step(call, counted_from, &mut results);
            }
            if self.ready.is_empty() {
                let next = self.waiting.keys().next().map(|(at, _)| *at);
                let next = next.into_iter().chain(self.arriving.front().copied()).min();
                let Some(next) = next else { return results };
                self.now = self.now.max(next);
            }
        }
    }

    fn step(&mut self, mut call: Call, counted_from: Duration, results: &mut Results) {
        let counts = usize::from(call.arrived_at >= counted_from);
        if call.step == 0 {
            let delay = self.now - call.accepted_at;
            let (verdict, change) = self.overload.admit(self.now, delay);
            results.changes += usize::from(matches!(change, Some(Change::Began(_))));
            if verdict == Verdict::Closed {
                self.now += ACCEPT_TIME;
                results.closed += counts;
                return;
            }
        }
        self.now += STEP_TIME;
        call.step += 1;
        if call.step == STEPS.0 {
            let is_in_time = self.now - call.arrived_at <= OBJECTIVE;
            *(if is_in_time { &mut results.in_time } else { &mut results.late }) += counts;
        } else if call.step == STEPS.1 {
            self.number += 1;
            self.waiting.insert((self.now + UPSTREAM_TIME, self.number), call);
        } else {
            self.ready.push_back(call);
        }
    }
}

#[test]
fn an_entry_below_its_capacity_closes_nothing() {
    // 270 requests a second would take all of the processor time.
    for rate in [20, 130, 220] {
        let mut event_loop = EventLoop::new();
        event_loop.add_calls(rate, SECOND * 20);
        let results = event_loop.run(SECOND);
        println!("{rate} a second: {results:?}");
        assert_eq!((results.closed, results.late), (0, 0), "{rate} a second");
    }
}

#[test]
fn an_entry_that_gets_most_connections_serves_those_that_it_reads() {
    for rate in [300, 500, 1_000, 2_000] {
        let mut event_loop = EventLoop::new();
        event_loop.add_calls(30, SECOND * 4);
        event_loop.run(SECOND);
        let began_at = event_loop.now;
        event_loop.add_calls(rate, SECOND * 12);
        let results = event_loop.run(began_at + SECOND * 3);
        let served_rate = results.in_time as f64 / 9.0;
        println!("{rate} a second: {results:?}, {served_rate:.0} a second served in time");
        assert!(results.served_share() >= 0.95, "{rate} a second: {results:?}");
        assert!(served_rate >= 130.0, "{rate} a second: half of the capacity is used");
    }
}

#[test]
fn a_pause_of_the_processor_is_no_overload() {
    // Guards against an entry that turns callers away since its share of the processor comes in slices of 100 ms.
    let mut overload = Overload::default();
    for slice in 0..50 {
        let at = SECOND + Duration::from_millis(100) * slice;
        for (offset, delay) in [(0, 88), (2, 88), (4, 88), (6, 2), (8, 1)] {
            let now = at + Duration::from_millis(offset);
            let result = overload.admit(now, Duration::from_millis(delay));
            assert_eq!(result, (Verdict::Served, None));
        }
    }
}
