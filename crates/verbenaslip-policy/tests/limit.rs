//! Tests the limits that instances share without a call per request.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::name::Instance;
use verbenaslip_policy::limit::{BASE_FRACTION, Limit, Limiter, MAX_ENTRIES, Report, ReportEntry};
use verbenaslip_policy::row::RowParams;
use verbenaslip_table::Key;

use crate::common::{instances, key, ms, params, rng};

mod common;

/// The limits of the row in most cases: requests at once, requests per second and burst.
const CONCURRENCY: u32 = 240;
const RATE: u32 = 200;
const BURST: u32 = 40;
/// The time that each request runs.
const RUN_TIME: Duration = Duration::from_millis(1_500);

/// The maximum delay of a report, in steps of 50 ms.
const MAX_DELAY_STEPS: usize = 24;

/// A report in transit: the sender, the receiver and the report.
type InFlightReport = (usize, usize, Rc<Report>);

/// Simulates many limiters whose reports arrive late, twice and out of order.
struct Fleet {
    now: Duration,
    names: Vec<Instance>,
    limiters: Vec<Limiter>,
    in_flight: VecDeque<Vec<InFlightReport>>,
    partitioned: Vec<bool>,
    paused: Vec<bool>,
    running: Vec<VecDeque<Duration>>,
    admitted: Vec<Duration>,
    max_running: u32,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(count: usize, params: &RowParams) -> Self {
        let names = instances(count);
        let mut limiters: Vec<Limiter> =
            names.iter().map(|name| Limiter::new(ms(0), name.clone(), 1)).collect();
        for limiter in &mut limiters {
            limiter.set_members(ms(0), &names);
            limiter.set_rows(ms(0), [(&row_key(), params)].into_iter());
        }
        Self {
            now: ms(0),
            names,
            limiters,
            in_flight: VecDeque::from(vec![Vec::new(); MAX_DELAY_STEPS]),
            partitioned: vec![false; count],
            paused: vec![false; count],
            running: vec![VecDeque::new(); count],
            admitted: Vec::new(),
            max_running: 0,
            rng: rng(count as u64),
        }
    }

    /// Advances time in steps of 50 ms. `demand` returns the requests per second offered to each
    /// instance.
    fn run(&mut self, time: Duration, limit: u32, demand: impl Fn(usize) -> f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(50);
            self.deliver();
            let tick = self.now.as_millis() as usize / 50;
            for index in 0..self.limiters.len() {
                if self.paused[index] {
                    continue;
                }
                self.offer(index, demand(index));
                if tick % 20 == index % 20 {
                    self.report(index);
                }
            }
            self.check(limit);
        }
    }

    fn deliver(&mut self) {
        let arrived = self.in_flight.pop_front().unwrap_or_default();
        self.in_flight.push_back(Vec::new());
        for (from, to, report) in arrived {
            // Reports for a paused instance wait in its socket.
            if self.paused[to] {
                self.in_flight[0].push((from, to, report));
                continue;
            }
            let name = &self.names[from];
            self.limiters[to].handle_report(self.now, name, &report);
        }
    }

    fn report(&mut self, from: usize) {
        let report = Rc::new(self.limiters[from].tick(self.now));
        for to in 0..self.limiters.len() {
            if to == from || self.partitioned[from] != self.partitioned[to] {
                continue;
            }
            let copies = if self.rng.random_range(0..20) == 0 { 2 } else { 1 };
            for _ in 0..copies {
                let delay = self.rng.random_range(0..MAX_DELAY_STEPS);
                self.in_flight[delay].push((from, to, report.clone()));
            }
        }
    }

    fn offer(&mut self, index: usize, demand: f64) {
        while self.running[index].front().is_some_and(|end| *end <= self.now) {
            self.running[index].pop_front();
            self.limiters[index].release(&row_key(), 0);
        }
        let expected = demand * 0.05;
        let count = expected as u32 + u32::from(self.rng.random_range(0.0..1.0) < expected.fract());
        for _ in 0..count {
            self.limiters[index].record_demand(self.now, &row_key());
            if self.limiters[index].acquire(self.now, &row_key(), 100).is_ok() {
                self.running[index].push_back(self.now + RUN_TIME);
                self.admitted.push(self.now);
            }
        }
    }

    /// Checks that the shares in use and the running requests are within the limit.
    fn check(&mut self, limit: u32) {
        let running = self.running.iter().map(|running| running.len() as u32).sum();
        self.max_running = self.max_running.max(running);
        assert!(running <= limit, "{running} running at {:?}, {limit} are allowed", self.now);
        let active = self.limiters.iter().zip(&self.paused).filter(|(_, paused)| !**paused);
        let shares: u32 = active.filter_map(|(l, _)| l.concurrency(self.now, &row_key())).sum();
        assert!(
            shares <= limit,
            "concurrency shares of {shares} at {:?}, {limit} are allowed",
            self.now
        );
    }

    /// Checks that no period admitted more requests than the documented bound.
    fn check_rate(&self, rate: u32, burst: u32) {
        let members = self.names.len() as f64;
        let mut start = 0;
        for span in [1.0, 5.0, 20.0] {
            let bound = f64::from(rate) * span + f64::from(burst) + members;
            let times: Vec<f64> = self.admitted.iter().map(Duration::as_secs_f64).collect();
            for (end, time) in times.iter().enumerate() {
                while times[start] <= time - span {
                    start += 1;
                }
                let count = (end - start + 1) as f64;
                assert!(
                    count <= bound,
                    "{count} admitted in the {span} s before {time}, at most {bound} allowed"
                );
            }
            start = 0;
        }
    }

    fn admitted_in(&self, from: Duration, to: Duration) -> usize {
        self.admitted.iter().filter(|at| **at > from && **at <= to).count()
    }
}

fn row_key() -> Key {
    key("a", "class")
}

fn limited_params() -> RowParams {
    params(|row| {
        row.concurrency = CONCURRENCY;
        row.rate = Some(RATE);
        row.burst = BURST;
    })
}

#[test]
fn shares_never_exceed_the_limit_with_6_instances() {
    check_moving_demand(6, ms(15_000));
}

#[test]
fn shares_never_exceed_the_limit_with_40_instances() {
    check_moving_demand(40, ms(15_000));
}

#[test]
fn shares_never_exceed_the_limit_with_320_instances() {
    check_moving_demand(320, ms(4_000));
}

/// Moves demand between instances and checks the bound after every step.
fn check_moving_demand(count: usize, time: Duration) {
    // Guards against a team that runs more requests than its row allows after its demand moved.
    // This happens when new shares are used before the old ones are known to be given up. Here
    // callers move between instances several times while reports arrive up to 1.2 s late, twice and
    // out of order.
    let mut fleet = Fleet::new(count, &limited_params());
    let demand_each = 900.0 / count as f64;
    fleet.run(time, CONCURRENCY, |_| demand_each);
    fleet.run(time, CONCURRENCY, |index| if index % 3 == 0 { demand_each * 3.0 } else { 0.0 });
    fleet.run(time, CONCURRENCY, |index| if index % 3 == 1 { demand_each * 3.0 } else { 0.0 });
    let before = fleet.now;
    fleet.run(ms(15_000), CONCURRENCY, |index| if index < 2 { 450.0 } else { 0.0 });
    fleet.check_rate(RATE, BURST);
    let served = fleet.admitted_in(before + ms(10_000), fleet.now);
    // With all demand at two instances, the demand-based part of the limit must have moved to them
    // within 10 s.
    let fastest = f64::from(RATE).min(f64::from(CONCURRENCY) / RUN_TIME.as_secs_f64());
    let min_served = fastest * 5.0 * (1.0 - BASE_FRACTION) * 0.9;
    assert!(
        served as f64 >= min_served,
        "{count}: {served} served, at least {min_served} expected"
    );
}

#[test]
fn partitioned_instances_use_only_their_base_share() {
    // Guards against both sides of a network partition using the whole limit. This happens when a
    // partitioned instance assumes that it still holds its old share. Here a third of the instances
    // is partitioned for a long time, the others count them as dead, and then the partition heals.
    for count in [6, 40] {
        let mut fleet = Fleet::new(count, &limited_params());
        let demand_each = 900.0 / count as f64;
        fleet.run(ms(10_000), CONCURRENCY, |_| demand_each);
        let minority = count / 3;
        (0..minority).for_each(|index| fleet.partitioned[index] = true);
        let others = fleet.names[minority..].to_vec();
        // As long as the shares of the partitioned instances are reserved, the limit itself must
        // hold.
        fleet.run(ms(5_000), CONCURRENCY, |_| demand_each);
        for index in minority..count {
            fleet.limiters[index].set_members(fleet.now, &others);
        }
        fleet.run(ms(50_000), CONCURRENCY, |_| demand_each);
        let excess = 1.0 + BASE_FRACTION * minority as f64 / count as f64;
        let bound = (f64::from(CONCURRENCY) * excess).ceil() as u32;
        fleet.run(ms(30_000), bound, |_| demand_each);
        (0..minority).for_each(|index| fleet.partitioned[index] = false);
        let names = fleet.names.clone();
        for limiter in &mut fleet.limiters {
            limiter.set_members(fleet.now, &names);
        }
        fleet.run(ms(5_000), bound, |_| demand_each);
        fleet.run(ms(10_000), CONCURRENCY, |_| demand_each);
    }
}

#[test]
fn a_paused_instance_causes_no_burst() {
    // Guards against an instance that floods the upstreams after a pause of its process. This
    // happens when token buckets keep filling during the pause and old shares are still used. Here
    // an instance is paused for two minutes while the others take over its share. It resumes, reads
    // reports that waited in its socket, and all its callers send requests at once.
    let count = 6;
    let mut fleet = Fleet::new(count, &limited_params());
    fleet.run(ms(10_000), CONCURRENCY, |index| if index == 0 { 300.0 } else { 50.0 });
    fleet.paused[0] = true;
    fleet.running[0].clear();
    fleet.run(ms(5_000), CONCURRENCY, |_| 300.0);
    let others = fleet.names[1..].to_vec();
    for index in 1..count {
        fleet.limiters[index].set_members(fleet.now, &others);
    }
    fleet.run(ms(120_000), CONCURRENCY, |_| 300.0);
    fleet.paused[0] = false;
    let resumed_at = fleet.now;
    fleet.run(ms(2_000), CONCURRENCY, |_| 300.0);
    let names = fleet.names.clone();
    for limiter in &mut fleet.limiters {
        limiter.set_members(fleet.now, &names);
    }
    fleet.run(ms(10_000), CONCURRENCY, |_| 300.0);
    fleet.check_rate(RATE, BURST);
    let after = fleet.admitted_in(resumed_at, resumed_at + ms(1_000));
    assert!(
        after <= (RATE + BURST) as usize + count,
        "{after} admitted in the second after the pause"
    );
}

#[test]
fn a_changed_limit_applies_at_once() {
    // Guards against a lowered limit that has no effect on shares that are already held. This
    // happens when shares are stored as absolute numbers. Here all shares are held, and the limit
    // is lowered to a quarter and raised again.
    let mut fleet = Fleet::new(6, &limited_params());
    fleet.run(ms(10_000), CONCURRENCY, |_| 150.0);
    let lower = params(|row| {
        row.concurrency = CONCURRENCY / 4;
        row.rate = Some(RATE);
        row.burst = BURST;
    });
    for limiter in &mut fleet.limiters {
        limiter.set_rows(fleet.now, [(&row_key(), &lower)].into_iter());
    }
    // Requests that run at the change end within 1.5 s.
    fleet.run(ms(1_550), CONCURRENCY, |_| 150.0);
    fleet.run(ms(5_000), CONCURRENCY / 4, |_| 150.0);
    for limiter in &mut fleet.limiters {
        limiter.set_rows(fleet.now, [(&row_key(), &limited_params())].into_iter());
    }
    fleet.run(ms(5_000), CONCURRENCY, |_| 150.0);
}

#[test]
fn a_small_limit_is_split_into_whole_slots() {
    // Guards against a row with a limit of three that runs no request because every instance holds
    // a share of less than one. Here 40 instances have demand for the row.
    let small = params(|row| row.concurrency = 3);
    let mut fleet = Fleet::new(40, &small);
    fleet.run(ms(20_000), 3, |index| if index % 4 == 0 { 1.0 } else { 0.0 });
    assert!(fleet.max_running >= 2, "at most {} ran at once", fleet.max_running);
}

#[test]
fn a_new_instance_has_no_share_before_others_know_it() {
    let mut limiter = Limiter::new(ms(0), "new".into(), 1);
    limiter.set_members(ms(0), &instances(5));
    limiter.set_rows(ms(0), [(&row_key(), &limited_params())].into_iter());
    let refused =
        limiter.acquire(ms(100), &row_key(), 10).expect_err("no other instance knows this one");
    assert_eq!(refused.limit, Limit::Concurrency);
}

#[test]
fn a_report_fits_into_200_bytes() {
    let full = ReportEntry { row: u32::MAX, demand: u16::MAX, share: 16_000 };
    let report = Report {
        incarnation: u64::from(u32::MAX),
        sequence: u32::MAX,
        entries: vec![full; MAX_ENTRIES],
    };
    let bytes = postcard::to_stdvec(&report).expect("reports can be encoded");
    assert!(bytes.len() <= 200, "{} bytes", bytes.len());
}

#[test]
fn rows_beyond_the_report_size_give_up_the_smallest_shares() {
    // Guards against shares that are given out twice because their rows do not fit into a report
    // and count as unassigned. Here 30 rows have demand at once.
    let names = instances(2);
    let mut limiter = Limiter::new(ms(0), names[0].clone(), 1);
    limiter.set_members(ms(0), &names);
    let rows: Vec<(Key, RowParams)> =
        (0..30).map(|index| (key(&format!("t{index}"), "class"), limited_params())).collect();
    limiter.set_rows(ms(0), rows.iter().map(|(key, params)| (key, params)));
    for second in 0..12 {
        let now = ms(second * 1000);
        let report = Report { incarnation: 1, sequence: second as u32 + 1, entries: Vec::new() };
        limiter.handle_report(now, &names[1], &report);
        for (index, (key, _)) in rows.iter().enumerate() {
            (0..=index).for_each(|_| limiter.record_demand(now, key));
        }
        limiter.tick(now);
    }
    let base_concurrency = (f64::from(CONCURRENCY) * BASE_FRACTION / 2.0) as u32;
    let above = rows
        .iter()
        .filter(|(key, _)| limiter.concurrency(ms(11_000), key) > Some(base_concurrency));
    assert_eq!(above.count(), MAX_ENTRIES);
}

/// Returns the limiter of the first instance after some seconds with fresh reports of the others.
fn settled_limiter(names: &[Instance], entries: &[ReportEntry], seconds: u64) -> Limiter {
    let mut limiter = Limiter::new(ms(0), names[0].clone(), 1);
    limiter.set_members(ms(0), names);
    limiter.set_rows(ms(0), [(&row_key(), &limited_params())].into_iter());
    for second in 0..=seconds {
        let sequence = second as u32 + 1;
        let report = Report { incarnation: 1, sequence, entries: entries.to_vec() };
        let now = ms(second * 1_000);
        names[1..].iter().for_each(|name| limiter.handle_report(now, name, &report));
        limiter.tick(now);
    }
    limiter
}

#[test]
fn idle_time_accumulates_at_most_the_burst() {
    let mut limiter = settled_limiter(&instances(1), &[], 120);
    let taken = (0..500).filter(|_| limiter.acquire(ms(120_000), &row_key(), 1).is_ok()).count();
    assert!((BURST as usize - 2..=BURST as usize).contains(&taken), "{taken} acquired at once");
}

#[test]
fn the_share_of_running_requests_is_kept() {
    // Guards against more running requests than a row allows after demand moved. This happens when
    // an instance gives up a share that running requests still use. Here one instance runs nearly
    // all allowed requests, and then all demand moves to the other.
    let names = instances(2);
    let mut limiter = settled_limiter(&names, &[], 10);
    let full_concurrency = params(|row| row.concurrency = CONCURRENCY);
    limiter.set_rows(ms(10_000), [(&row_key(), &full_concurrency)].into_iter());
    while limiter.acquire(ms(10_000), &row_key(), 1).is_ok() {}
    let running = f64::from(limiter.running(&row_key()));
    assert!(running >= f64::from(CONCURRENCY) * 0.5, "{running}");
    for second in 11..30 {
        let own = limiter.tick(ms(second * 1_000)).entries[0];
        let demand = u16::MAX;
        let report = Report {
            incarnation: 1,
            sequence: second as u32 + 100,
            entries: vec![ReportEntry { row: own.row, demand, share: 0 }],
        };
        limiter.handle_report(ms(second * 1_000), &names[1], &report);
        let concurrency =
            limiter.concurrency(ms(second * 1_000), &row_key()).expect("the row exists");
        let announced_share =
            f64::from(own.share) / 16_000.0 * (1.0 - BASE_FRACTION) + BASE_FRACTION / 2.0;
        assert!(f64::from(concurrency) >= running, "{concurrency} allowed, {running} running");
        assert!(
            announced_share * f64::from(CONCURRENCY) >= running - 1.0,
            "{announced_share} announced, {running} running"
        );
    }
}

#[test]
fn a_minority_never_removes_the_majority() {
    // Guards against an instance that uses the whole limit after an hour of network partition. This
    // happens when a partitioned instance also removes the others as dead. Here an instance
    // receives no reports, membership counts the others as dead, and minutes pass.
    let names = instances(6);
    let mut limiter = settled_limiter(&names, &[], 10);
    limiter.set_members(ms(11_000), &names[..1]);
    for second in 11..400 {
        limiter.record_demand(ms(second * 1_000), &row_key());
        limiter.tick(ms(second * 1_000));
    }
    let base_concurrency = (f64::from(CONCURRENCY) * BASE_FRACTION / 6.0) as u32;
    assert_eq!(limiter.concurrency(ms(399_500), &row_key()), Some(base_concurrency));
}
