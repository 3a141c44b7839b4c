//! Processor time and memory of whole instances at several sizes, for docs/CAPACITY.md.
//!
//! Steps all instances of a deployment in one process. Run with
//! `cargo bench -p verbenaslip-node --bench size`; it prints one line a size and gates nothing.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Instant;

use verbenaslip_base::announce::Kind;

use crate::world::{MS, World, upstream};

const SECONDS: u64 = 10;

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
}

fn measure(instances: usize, upstreams: usize) {
    let before = resident();
    let mut world = World::open(instances, 3, 1);
    world.settle();
    for second in 0..3 {
        renew(&mut world, upstreams, second);
        world.run(MS(1_000));
    }
    let sent: Vec<u64> = world.places.iter().map(|place| place.sent.bytes).collect();
    let begun = Instant::now();
    for second in 3..3 + SECONDS {
        renew(&mut world, upstreams, second);
        world.run(MS(1_000));
    }
    let spent = begun.elapsed();
    let after: Vec<u64> =
        world.places.iter().zip(&sent).map(|(place, sent)| place.sent.bytes - sent).collect();
    let count = instances as u64;
    println!(
        "{instances:>9} {upstreams:>9} {:>14} {:>14} {:>12} {:>12}",
        spent.as_micros() as u64 / SECONDS / count,
        resident().saturating_sub(before) / count,
        after.iter().sum::<u64>() / SECONDS / count,
        after.iter().max().copied().unwrap_or(0) / SECONDS,
    );
}

fn renew(world: &mut World, upstreams: usize, second: u64) {
    let instances = world.places.len();
    for number in 0..upstreams {
        let at = (number * 13 + second as usize * 7) % instances;
        let announcement = upstream(&format!("engine-{number}"), Kind::Engine, second + 1);
        world.announce(at, &announcement);
    }
}

/// Returns this process's memory in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
