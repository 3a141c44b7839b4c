//! Messages and bytes between instances at several deployment sizes: the counts are checked, the
//! slopes are printed for docs/CAPACITY.md
//! (`cargo test -p verbenaslip-node --test count -- --nocapture`).

mod world;

use std::time::Duration;

use verbenaslip_base::announce::Kind;

use crate::world::{MS, Sent, World, upstream};

/// Bytes per second that an instance may send to other instances.
const MAX_BYTES_PER_SECOND: f64 = 12_000.0;

/// Holds what one instance sends per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    messages: f64,
    bytes: f64,
}

/// Returns the mean rate of all instances and the rate of the busiest one over a time span.
fn rates(world: &mut World, time: Duration, mut each: impl FnMut(&mut World, u64)) -> (Rate, Rate) {
    let before: Vec<Sent> = world.instances.iter().map(|instance| instance.sent).collect();
    for second in 0..time.as_secs() {
        each(world, second);
        world.run(MS(1_000));
    }
    let seconds = time.as_secs_f64();
    let rate = |after: &Sent, before: &Sent| Rate {
        messages: (after.messages - before.messages) as f64 / seconds,
        bytes: (after.bytes - before.bytes) as f64 / seconds,
    };
    let all: Vec<Rate> = world
        .instances
        .iter()
        .zip(&before)
        .map(|(instance, before)| rate(&instance.sent, before))
        .collect();
    let count = all.len() as f64;
    let mean = Rate {
        messages: all.iter().map(|rate| rate.messages).sum::<f64>() / count,
        bytes: all.iter().map(|rate| rate.bytes).sum::<f64>() / count,
    };
    let most = all.into_iter().max_by(|a, b| a.bytes.total_cmp(&b.bytes)).unwrap_or_default();
    (mean, most)
}

fn show(size: usize, what: &str, (mean, most): (Rate, Rate)) {
    println!(
        "{size:>4} {what:<28} mean {:>7.1} messages/s {:>8.0} B/s   most {:>7.1} messages/s {:>8.0} B/s",
        mean.messages, mean.bytes, most.messages, most.bytes
    );
}

#[test]
fn idle_instances_stay_within_their_byte_limits() {
    // Bounds in bytes per second of the mean and of the busiest instance. They are tight, so that a
    // change that makes instances send more is noticed.
    for (size, mean_bound, most_bound) in [
        (3, 3_000.0, 3_500.0),
        (9, 3_500.0, 4_500.0),
        (27, 3_500.0, 5_000.0),
        (81, 3_500.0, 6_500.0),
    ] {
        let mut world = World::open(size, 3, 1);
        world.wait_until_ready();
        world.run(MS(3_000));
        let rate = rates(&mut world, Duration::from_secs(5), |_, _| {});
        show(size, "idle", rate);
        assert!(rate.0.bytes < mean_bound, "{size}: {:?}", rate.0);
        assert!(rate.1.bytes < most_bound, "{size}: {:?}", rate.1);
    }
}

#[test]
fn an_edit_costs_each_instance_a_few_messages() {
    for size in [3, 9, 27] {
        let mut world = World::open(size, 3, 2);
        world.wait_until_ready();
        world.run(MS(3_000));
        let idle = rates(&mut world, Duration::from_secs(5), |_, _| {}).0;
        let mut revision = 1;
        let edits = rates(&mut world, Duration::from_secs(5), |world, second| {
            let leader = world.leader().expect("a leader");
            let id = format!("edit-{second}");
            let call = world.apply(leader, revision, &id, 200 + second as u32, Duration::ZERO);
            world.run(MS(100));
            revision = world.accepted_revision(call).map_or(revision, |it| it.0);
        });
        show(size, "one edit a second", edits);
        assert_eq!(revision, 6, "{size}: all edits are accepted");
        let each = edits.0.messages - idle.messages;
        assert!(each < 12.0, "{size}: an edit costs {each} messages an instance");
    }
}

#[test]
fn upstreams_cost_little_each() {
    let mut rows = Vec::new();
    for upstreams in [6, 24, 96] {
        let mut world = World::open(9, 3, 3);
        world.wait_until_ready();
        let rate = rates(&mut world, Duration::from_secs(8), |world, second| {
            for number in 0..upstreams {
                let name = format!("engine-{number}");
                let at = (number + second as usize * 7) % 9;
                world.announce(at, &upstream(&name, Kind::Engine, second + 1));
            }
        });
        show(upstreams, "upstreams at 9 instances", rate);
        rows.push(rate.0.bytes);
        assert!(rate.1.bytes < MAX_BYTES_PER_SECOND, "{upstreams}: {:?}", rate.1);
    }
    let slope = (rows[2] - rows[1]) / 72.0;
    println!("{slope:.1} B/s an upstream and instance");
    assert!(slope < 80.0, "an upstream costs {slope} B/s at each instance");
}
