//! The cost of following the table, in messages and bytes, at several fleet sizes.
//!
//! Bytes are those of the encoded message plus 8 for the frame's length and checksum and 40 for the
//! TCP and IP headers, as if each message had its own packet; sent and received bytes are added.

mod net;

use std::time::Duration;

use net::{Counts, Net, rows, weight};

const SECOND: Duration = Duration::from_secs(1);

/// How long the idle network is measured, and the number of edits spread over the same time.
const IDLE_SECONDS: usize = 20;
const EDITS: u32 = 10;

/// Upper bounds at one fleet size, for the busiest instance and for the mean, in bytes.
struct Bound {
    instances: usize,
    voters: usize,
    idle_max: usize,
    idle_mean: usize,
    edit_max: usize,
    edit_mean: usize,
}

/// The mean over all instances and the maximum of any instance.
struct Load {
    mean: Counts,
    max: Counts,
}

fn load(net: &Net) -> Load {
    let per_node =
        |count: fn(&Counts) -> usize| net.nodes.iter().map(move |node| count(&node.counts));
    let messages = per_node(|counts| counts.messages);
    let bytes = per_node(|counts| counts.bytes);
    let count = net.nodes.len();
    Load {
        mean: Counts {
            messages: messages.clone().sum::<usize>() / count,
            bytes: bytes.clone().sum::<usize>() / count,
        },
        max: Counts {
            messages: messages.max().unwrap_or_default(),
            bytes: bytes.max().unwrap_or_default(),
        },
    }
}

/// Measures a network of one size and returns a line of results.
fn measure(bound: &Bound) -> String {
    let mut net = Net::new(bound.instances, bound.voters, 1);
    net.elect(0);
    net.commit(&rows(50));
    let ready = net.until(3 * SECOND, Net::all_ready).expect("all get ready");
    net.until(6 * SECOND, Net::is_in_force).expect("the first table comes into force");
    net.run(10 * SECOND);
    net.reset_counts();
    net.run(SECOND * IDLE_SECONDS as u32);
    let idle = load(&net);

    net.reset_counts();
    let mut time_to_force = Duration::ZERO;
    for number in 1..=EDITS {
        let next = net.now + SECOND * IDLE_SECONDS as u32 / EDITS;
        net.commit(&[weight("check", number)]);
        time_to_force =
            time_to_force.max(net.until(SECOND, Net::is_in_force).expect("it comes into force"));
        net.run(next - net.now);
        assert!(net.all_ready());
    }
    let edits = load(&net);

    let second = |counts: Counts| counts.bytes / IDLE_SECONDS;
    let edit =
        |with: Counts, without: Counts| with.bytes.saturating_sub(without.bytes) / EDITS as usize;
    let (edit_max, edit_mean) = (edit(edits.max, idle.max), edit(edits.mean, idle.mean));
    let size = bound.instances;
    assert!(second(idle.max) <= bound.idle_max, "{size}: {} B/s idle", second(idle.max));
    assert!(second(idle.mean) <= bound.idle_mean, "{size}: {} B/s idle, mean", second(idle.mean));
    assert!(edit_max <= bound.edit_max, "{size}: {edit_max} B an edit");
    assert!(edit_mean <= bound.edit_mean, "{size}: {edit_mean} B an edit, mean");
    format!(
        "{size:>9} {:>10} {:>13} {:>13} {:>11} {:>11} {edit_max:>12} {edit_mean:>12} {:>8}",
        ready.as_millis(),
        idle.max.messages / IDLE_SECONDS,
        idle.mean.messages / IDLE_SECONDS,
        second(idle.max),
        second(idle.mean),
        time_to_force.as_millis(),
    )
}

/// Guards against control traffic that exceeds the budget of 12 KB per second per instance or grows
/// with the number of instances, for example if all of them ask the voters or fetch whole tables.
#[test]
fn costs_stay_within_their_bounds_at_every_size() {
    let bound = |instances, voters, idle_max, idle_mean, edit_max, edit_mean| Bound {
        instances,
        voters,
        idle_max,
        idle_mean,
        edit_max,
        edit_mean,
    };
    let bounds = [
        bound(3, 3, 300, 200, 150, 100),
        bound(9, 3, 900, 300, 400, 200),
        bound(27, 5, 2_000, 350, 1_000, 250),
        bound(81, 5, 2_400, 400, 1_500, 250),
        bound(320, 5, 2_400, 400, 1_500, 250),
    ];
    println!("instances, ready after ms, messages/s most and mean, bytes/s most and mean,");
    println!("bytes an edit most and mean, in force after ms");
    for bound in &bounds {
        println!("{}", measure(bound));
    }
}
