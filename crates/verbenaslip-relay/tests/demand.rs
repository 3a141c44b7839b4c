//! How an entry notices that it gets far more requests than usual.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_relay::policy::demand::Demand;

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_secs(1);

/// Requests that arrive at random, reported four times a second.
struct Arrivals {
    demand: Demand,
    now: Duration,
    rng: Pcg64,
}

impl Arrivals {
    fn new(seed: u64) -> Self {
        Self { demand: Demand::default(), now: SECOND, rng: Pcg64::seed_from_u64(seed) }
    }

    /// Has requests arrive at a rate per second; returns the slots asked for at each report.
    fn run(&mut self, rate: f64, time: Duration) -> Vec<u32> {
        let until = self.now + time;
        let mut slots = Vec::new();
        while self.now < until {
            self.now += REPORT_INTERVAL;
            // Many small chances make up a Poisson process.
            let chance = rate * REPORT_INTERVAL.as_secs_f64() / 1_000.0;
            let requests = (0..1_000).filter(|_| self.rng.random::<f64>() < chance).count();
            self.demand.record(self.now, requests as u64);
            slots.push(self.demand.slots());
        }
        slots
    }
}

#[test]
fn a_usual_load_asks_for_one_slot() {
    // Guards against slots of all entries that are renumbered by chance.
    for (seed, rate) in [(1, 0.5), (2, 3.0), (3, 17.0), (4, 100.0)] {
        let mut arrivals = Arrivals::new(seed);
        let slots = arrivals.run(rate, SECOND * 3_600);
        let unusual = slots.iter().filter(|it| **it > 1).count();
        println!("{rate} a second: {unusual} of {} reports ask for more", slots.len());
        assert!(unusual <= slots.len() / 1_000, "{rate} a second: {unusual} of {}", slots.len());
    }
}

#[test]
fn a_rush_asks_for_as_many_slots_as_it_brings_and_ends() {
    for (usual, rush, least, most) in
        [(31.0, 62.0, 2, 4), (17.0, 42.0, 2, 4), (10.0, 54.0, 4, 8), (17.0, 140.0, 8, 16)]
    {
        let mut arrivals = Arrivals::new(5);
        arrivals.run(usual, SECOND * 40);
        let slots = arrivals.run(rush, SECOND * 8);
        // Half a second before the time at which requests must be served as before.
        let settled = &slots[10..];
        let range = settled.iter().min().zip(settled.iter().max());
        println!("{usual} to {rush} a second: {slots:?}");
        assert!(settled.iter().all(|it| (least..=most).contains(it)), "{range:?}");
        let after = arrivals.run(usual * 0.4, SECOND * 6);
        assert_eq!(after.last(), Some(&1), "{after:?}");
    }
}

#[test]
fn a_rush_soon_after_the_start_asks_for_more() {
    // Guards against a usual rate that follows a rush, which an entry with a short history takes for usual.
    for seed in 0..200 {
        let mut arrivals = Arrivals::new(seed);
        arrivals.run(30.0, SECOND * 13);
        let slots = arrivals.run(60.0, SECOND * 8);
        assert!(slots[10..].iter().all(|it| *it >= 2), "seed {seed}: {slots:?}");
    }
}

#[test]
fn an_entry_that_has_just_started_asks_for_one_slot() {
    let mut arrivals = Arrivals::new(6);
    assert!(arrivals.run(0.0, SECOND * 30).iter().all(|it| *it == 1));
    assert!(arrivals.run(200.0, SECOND * 9).iter().all(|it| *it == 1));
}
