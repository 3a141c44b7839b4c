//! Processor time and memory of instances at several deployment sizes, for docs/CAPACITY.md.
//!
//! Steps all instances of a deployment in one process. Run it with
//! `cargo bench -p verbenaslip-node --bench size`; it prints one line per size and checks nothing.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Instant;

use verbenaslip_base::announce::Kind;

use crate::world::{MS, World, upstream};

const MEASURED_SECONDS: u64 = 10;

fn main() {
    println!(
        "{:>9} {:>9} {:>14} {:>14} {:>12} {:>12}",
        "instances", "upstreams", "us/s/instance", "KiB/instance", "mean B/s", "most B/s"
    );
    for (instances, upstreams) in [(3, 0), (9, 0), (27, 0), (81, 0), (320, 0)] {
        measure(instances, upstreams);
    }
    for (instances, upstreams) in [(9, 15), (9, 60), (9, 240), (40, 240), (40, 975)] {
        measure(instances, upstreams);
    }
    println!(
        "\n{:>14} {:>9} {:>12} {:>12} {:>12} {:>14}",
        "work", "a second", "messages/it", "bytes/it", "us/it", "leader B/s"
    );
    work("edit", 10, |world, number| {
        let leader = world.leader().unwrap_or(0);
        let base = world.instances[leader].node.as_ref().map_or(0, |node| node.revision().0);
        let weight = 200 + number as u32 % 2;
        world.apply(leader, base, &format!("edit-{number}"), weight, MS(0));
    });
    work("request", 100, |world, number| {
        world.send_request(number as usize % 9, &format!("chat-{number}"), true);
    });
    work("claimed request", 100, |world, number| {
        world.send_request(number as usize % 9, &format!("order-{number}"), false);
    });
}

/// Measures the cost of one operation for nine instances together, compared with idle instances.
fn work(name: &str, rate: u64, each: impl Fn(&mut World, u64)) {
    let mut world = World::open(9, 3, 1);
    world.check_invariants = false;
    world.wait_until_ready();
    let mut number = 0;
    let mut costs = [Cost::default(); 2];
    for (phase, cost) in costs.iter_mut().enumerate() {
        let (before, begun) = (Cost::of(&world), Instant::now());
        for second in 0..MEASURED_SECONDS {
            renew(&mut world, 48, phase as u64 * MEASURED_SECONDS + second);
            for service in 0..4 {
                let name = format!("service-{service}");
                let sequence = phase as u64 * MEASURED_SECONDS + second + 1;
                world.announce(service, &upstream(&name, Kind::Service, sequence));
            }
            for _ in 0..rate {
                if phase == 1 {
                    each(&mut world, number);
                    number += 1;
                }
                world.run(MS(1_000 / rate));
            }
        }
        *cost = Cost::of(&world).minus(&before);
        cost.micros = begun.elapsed().as_micros() as f64;
    }
    let [idle, busy] = costs;
    let count = (rate * MEASURED_SECONDS) as f64;
    println!(
        "{name:>14} {rate:>9} {:>12.1} {:>12.0} {:>12.0} {:>14.0}",
        (busy.messages - idle.messages) / count,
        (busy.bytes - idle.bytes) / count,
        (busy.micros - idle.micros) / count,
        busy.most / MEASURED_SECONDS as f64,
    );
}

/// Holds the totals of what all instances have sent.
#[derive(Clone, Copy, Default)]
struct Cost {
    messages: f64,
    bytes: f64,
    micros: f64,
    most: f64,
}

impl Cost {
    fn of(world: &World) -> Self {
        let sent = || world.instances.iter().map(|instance| instance.sent);
        Self {
            messages: sent().map(|sent| sent.messages).sum::<u64>() as f64,
            bytes: sent().map(|sent| sent.bytes).sum::<u64>() as f64,
            micros: 0.0,
            most: sent().map(|sent| sent.bytes).max().unwrap_or(0) as f64,
        }
    }

    fn minus(self, before: &Self) -> Self {
        Self {
            messages: self.messages - before.messages,
            bytes: self.bytes - before.bytes,
            micros: 0.0,
            most: self.most - before.most,
        }
    }
}

fn measure(instances: usize, upstreams: usize) {
    let before = resident();
    let mut world = World::open(instances, 3, 1);
    world.check_invariants = false;
    world.wait_until_ready();
    for second in 0..3 {
        renew(&mut world, upstreams, second);
        world.run(MS(1_000));
    }
    let sent: Vec<u64> = world.instances.iter().map(|instance| instance.sent.bytes).collect();
    let begun = Instant::now();
    for second in 3..3 + MEASURED_SECONDS {
        renew(&mut world, upstreams, second);
        world.run(MS(1_000));
    }
    let spent = begun.elapsed();
    let after: Vec<u64> = world
        .instances
        .iter()
        .zip(&sent)
        .map(|(instance, sent)| instance.sent.bytes - sent)
        .collect();
    let count = instances as u64;
    println!(
        "{instances:>9} {upstreams:>9} {:>14} {:>14} {:>12} {:>12}",
        spent.as_micros() as u64 / MEASURED_SECONDS / count,
        resident().saturating_sub(before) / count,
        after.iter().sum::<u64>() / MEASURED_SECONDS / count,
        after.iter().max().copied().unwrap_or(0) / MEASURED_SECONDS,
    );
}

fn renew(world: &mut World, upstreams: usize, second: u64) {
    let instances = world.instances.len();
    for number in 0..upstreams {
        let at = (number * 13 + second as usize * 7) % instances;
        let announcement = upstream(&format!("engine-{number}"), Kind::Engine, second + 1);
        world.announce(at, &announcement);
    }
}

/// Returns the memory of this process in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
