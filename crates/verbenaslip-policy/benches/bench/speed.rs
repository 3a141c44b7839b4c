//! Measures how long the decisions of one instance take at several sizes.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_policy::dispatch::Dispatcher;
use verbenaslip_policy::limit::Limiter;
use verbenaslip_policy::row::RowParams;
use verbenaslip_table::{Row, Table};

/// The number of requests in one measurement.
const REQUESTS: u32 = 2_000;
/// The number of measurements of which the median is reported.
const ROUNDS: usize = 5;

/// Prints the time of the decisions for one request for several numbers of upstreams.
pub fn requests() {
    println!("\nDecisions for one request (offer, choice, end), microseconds, median of {ROUNDS}");
    println!("| upstreams | median | least to most | beside 12 |\n|---|---|---|---|");
    let mut first = None;
    for upstreams in [12, 120, 1_000] {
        let mut times: Vec<f64> = (0..ROUNDS).map(|_| time_request(upstreams)).collect();
        times.sort_by(f64::total_cmp);
        let median = times[ROUNDS / 2];
        let base = *first.get_or_insert(median);
        let (least, most) = (times[0], times[ROUNDS - 1]);
        println!("| {upstreams} | {median:.1} | {least:.1} to {most:.1} | {:.1} |", median / base);
    }
}

/// Prints the time of one limiter tick for several numbers of instances.
pub fn limits() {
    println!("\nLimits of 20 rows: one second of reports heard and one step, microseconds");
    println!("| instances | median | least to most | beside 6 |\n|---|---|---|---|");
    let mut first = None;
    for instances in [6, 40, 320] {
        let mut times: Vec<f64> = (0..ROUNDS).map(|_| time_limiter_tick(instances)).collect();
        times.sort_by(f64::total_cmp);
        let median = times[ROUNDS / 2];
        let base = *first.get_or_insert(median);
        let (least, most) = (times[0], times[ROUNDS - 1]);
        println!("| {instances} | {median:.0} | {least:.0} to {most:.0} | {:.1} |", median / base);
    }
}

fn time_request(upstreams: u32) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut dispatcher = Dispatcher::new(Duration::ZERO, "i0".into(), "z0".into(), 1);
    dispatcher.set_members(Duration::ZERO, &["i0".into()]);
    dispatcher.set_table(Duration::ZERO, &table(1));
    for second in 0..8 {
        dispatcher.tick_limits(Duration::from_secs(second));
    }
    let now = Duration::from_secs(7);
    for number in 0..upstreams {
        dispatcher.handle_announcement(now, &announcement(number));
    }
    let begin = Instant::now();
    for id in 0..REQUESTS {
        let head = head(u128::from(id), now + Duration::from_secs(30));
        dispatcher.offer(now, head, now, &mut rng);
        dispatcher.mark_ready(Request(u128::from(id)));
        for dispatch in dispatcher.next_dispatches(now, &mut rng) {
            dispatcher.record_completion(now, dispatch.head.request, 40);
        }
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

fn time_limiter_tick(count: usize) -> f64 {
    let names: Vec<Instance> = (0..count).map(|i| Instance::new(format!("i{i:03}"))).collect();
    let table = table(20);
    let rows: Vec<_> = table.rows().iter().map(|row| (row.key(), RowParams::from(row))).collect();
    let start = |name: &Instance| {
        let mut limiter = Limiter::new(Duration::ZERO, name.clone(), 1);
        limiter.set_members(Duration::ZERO, &names);
        limiter.set_rows(Duration::ZERO, rows.iter().map(|(key, params)| (key, params)));
        limiter
    };
    let (mut receiver, mut sender) = (start(&names[0]), start(&names[1]));
    let mut total = Duration::ZERO;
    for second in 0..20 {
        let now = Duration::from_secs(second);
        rows.iter().for_each(|(key, _)| sender.record_demand(now, key));
        let report = sender.tick(now);
        let begin = Instant::now();
        names[1..].iter().for_each(|name| receiver.handle_report(now, name, &report));
        receiver.tick(now);
        total += begin.elapsed();
    }
    total.as_secs_f64() * 1e6 / 20.0
}

fn table(rows: usize) -> Table {
    let rows = (0..rows).map(|index| Row::new(format!("t{index}").as_str(), "class"));
    Table::new(rows).expect("the rows are valid")
}

fn head(id: u128, deadline: Duration) -> Head {
    Head {
        request: Request(id),
        team: "t0".into(),
        class: "class".into(),
        model: "model".into(),
        idempotent: true,
        keyed: true,
        issued: None,
        deadline,
        prompt: 1_600,
        output: 100,
        prefix: (0..100).map(|block| id as u64 / 4 * 1_000 + block).collect(),
    }
}

fn announcement(number: u32) -> Announcement {
    Announcement {
        upstream: format!("e{number:04}").as_str().into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("z{}", number % 3).as_str().into(),
        kind: Kind::Engine,
        incarnation: 1,
        sequence: 1,
        phase: Phase::Ready,
        models: vec!["model".into()],
        market: Market::Reclaimable,
        price: 1_000_000,
        fenced: true,
        slots: 16,
        load: Load::default(),
    }
}
