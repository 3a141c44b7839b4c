//! Following the table under partitions, pauses, restarts, message loss and clock drift.

mod net;

use std::time::Duration;

use net::{Net, rows, weight};
use verbenaslip_table::Revision;

const SECOND: Duration = Duration::from_secs(1);

/// Starts instances with a leader and a table of a few rows, and waits until all are ready.
fn started(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, 3, seed);
    net.elect(0);
    net.commit(&rows(10));
    let elapsed = net.until(10 * SECOND, |net| net.all_ready() && net.is_in_force());
    assert!(elapsed.is_some(), "not all are ready");
    net
}

/// Commits an edit; returns how long it took until the leader knew it was in force everywhere.
fn commit_until_in_force(net: &mut Net) -> Duration {
    let number = u32::try_from(net.revision.0).expect("small") % 999 + 1;
    net.commit(&[weight("check", number)]);
    net.until(20 * SECOND, Net::is_in_force).expect("the edit comes into force")
}

#[test]
fn an_edit_reaches_everyone_at_once() {
    for count in [3, 9, 27] {
        let mut net = started(count, 1);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < SECOND, "{count} instances: {elapsed:?}");
        assert!(net.nodes.iter().all(|node| node.hub.revision() == net.revision));
        assert!(net.all_ready());
    }
}

/// Guards against reporting an edit as in force while an isolated instance serves by the old table.
/// The leader must wait at least as long as the instance's lease lasts.
#[test]
fn an_isolated_instance_stops_within_its_lease() {
    for seed in 0..10 {
        let mut net = started(9, seed);
        net.run(Duration::from_millis(100 * seed));
        net.isolate(8);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed > 2 * SECOND && elapsed < 6 * SECOND, "{elapsed:?}");
        assert!(!net.ready(8));
        net.cuts.clear();
        let elapsed =
            net.until(6 * SECOND, Net::all_ready).expect("the instance becomes ready again");
        assert!(elapsed <= 6 * SECOND);
    }
}

/// Guards against the same failure if the process, not the network, stops for longer than a lease:
/// the lease must not be counted from when its grant is read.
#[test]
fn a_paused_instance_does_not_serve_when_it_resumes() {
    for seed in 0..10 {
        let mut net = started(9, seed);
        // Long delays, so that an answer is in transit when the process is paused, and is read
        // late.
        net.delay = Duration::from_millis(350);
        net.run(Duration::from_millis(100 * seed));
        net.pause(8);
        // The answer waits to be read; the later edit does not arrive.
        net.run(SECOND);
        net.isolate(8);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < 6 * SECOND, "{elapsed:?}");
        net.run(SECOND);
        net.resume(8);
        // The network checks at every step that each ready instance has the revision in force.
        net.run(10 * SECOND);
        assert!(!net.ready(8));
        net.cuts.clear();
        net.until(6 * SECOND, Net::all_ready).expect("the instance becomes ready again");
    }
}

/// Guards against the same failure with clock drift: the holder's clock is slow, the leader's is
/// fast, and the holder is isolated. Waiting for exactly the granted duration would be too short.
#[test]
fn clocks_with_different_rates_are_tolerated() {
    for seed in 0..10 {
        let mut net = started(9, seed);
        for number in 0..9 {
            net.set_clock_rate(number, if number == 0 { 1_010 } else { 990 });
        }
        net.run(10 * SECOND + Duration::from_millis(130 * seed));
        net.isolate(7);
        net.isolate(8);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < 6 * SECOND, "{elapsed:?}");
        net.run(3 * SECOND);
    }
}

/// Guards against the same failure below a relay: a relay fails or is isolated together with its
/// followers. They must get the rest of the relay's lease only, and the leader must wait for them.
#[test]
fn followers_leases_end_with_a_lost_relay() {
    for seed in 0..10 {
        let mut net = started(81, seed);
        let relay = net.relay();
        let name = net.nodes[relay].name.clone();
        let relay_followers: Vec<usize> = (0..net.nodes.len())
            .filter(|number| net.nodes[*number].hub.followed_publisher() == Some(&name))
            .collect();
        assert!(!relay_followers.is_empty());
        let inside = |number: usize| number == relay || relay_followers.contains(&number);
        net.run(Duration::from_millis(100 * seed));
        net.partition(inside);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < 6 * SECOND, "{elapsed:?}");
        net.cuts.clear();
        net.until(10 * SECOND, Net::all_ready).expect("all become ready again");

        let relay = net.relay();
        net.isolate(relay);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < 6 * SECOND, "{elapsed:?}");
        net.run(2 * SECOND);
        let lost = (0..net.nodes.len()).filter(|number| !net.ready(*number)).count();
        assert_eq!(lost, 1, "its followers have found another publisher");
    }
}

/// Guards against the same failure after a relay restarts: it reports the newest revision while the
/// instances that it granted a lease before the restart are isolated.
#[test]
fn a_restarted_relay_does_not_report_for_earlier_grants() {
    for seed in 0..10 {
        let mut net = started(81, seed);
        let relay = net.relay();
        let name = net.nodes[relay].name.clone();
        let relay_followers: Vec<usize> = (0..net.nodes.len())
            .filter(|number| net.nodes[*number].hub.followed_publisher() == Some(&name))
            .collect();
        for number in relay_followers {
            net.isolate(number);
        }
        net.restart(relay);
        net.until(6 * SECOND, |net| net.ready(relay)).expect("the relay is ready");
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < 6 * SECOND, "{elapsed:?}");
        net.run(2 * SECOND);
    }
}

/// Guards against two tables in use at once: the leader is isolated with some instances, a new
/// leader commits an edit, and the old one comes back. An old leader must not grant leases without
/// its quorum, and a new one must wait for leases that it did not grant.
#[test]
fn an_isolated_leader_and_its_return() {
    for seed in 0..10 {
        let mut net = started(9, seed);
        net.run(Duration::from_millis(100 * seed));
        net.partition(|number| number == 0 || number >= 6);
        net.run(net::QUORUM_LEASE);
        net.elect(1);
        net.run(net::TICK);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed > 3 * SECOND && elapsed < 6 * SECOND, "{elapsed:?}");
        for number in [0, 6, 7, 8] {
            assert!(!net.ready(number), "{number} serves without the quorum");
        }
        net.run(10 * SECOND);
        net.cuts.clear();
        net.sync_from_log(0);
        net.until(8 * SECOND, Net::all_ready).expect("all become ready again");
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < SECOND, "{elapsed:?}");
    }
}

/// Guards against an instance that serves by a table from before hundreds of edits, or never
/// becomes ready: it restarts or is isolated during the edits, so the changes no longer reach back.
#[test]
fn restarts_and_cuts_during_hundreds_of_edits() {
    for edits in [0, 1, 20, 500, 2_000] {
        let mut net = started(9, u64::from(edits));
        net.isolate(7);
        net.commit_many(edits);
        net.restart(8);
        net.run(SECOND);
        net.cuts.clear();
        // The restarted instance has no older lease that would let it serve by the older table.
        net.until(6 * SECOND, |net| net.ready(8)).expect("the instance becomes ready again");
        assert_eq!(net.nodes[8].hub.revision(), net.revision);
        net.until(8 * SECOND, |net| net.all_ready() && net.is_in_force())
            .expect("both become ready again");
        assert!(net.nodes.iter().all(|node| node.hub.revision() == net.revision));
    }
}

/// Guards against a large table that never arrives or delays everything else: it is put by one
/// edit, an instance restarts, and one message cannot hold the table.
#[test]
fn the_largest_table_arrives_in_parts() {
    let mut net = started(9, 1);
    net.commit(&rows(4_000));
    net.until(6 * SECOND, Net::is_in_force).expect("it comes into force");
    net.run(SECOND);
    net.loss = 100;
    net.restart(8);
    net.until(20 * SECOND, |net| net.ready(8)).expect("the instance becomes ready again");
    assert_eq!(net.nodes[8].hub.revision(), Revision(2));
}

/// Guards against revisions that decrease, instances that stay behind and instances that serve by
/// an old table, under random message loss, duplication, reordering, restarts, pauses, partitions
/// and leader changes.
#[test]
fn invariants_hold_under_random_schedules() {
    use rand::{RngExt, SeedableRng};
    for seed in 0..60 {
        let mut rng = rand_pcg::Pcg64::seed_from_u64(seed);
        let mut net = started(20, seed);
        net.loss = rng.random_range(0..100);
        net.duplicates = rng.random_range(0..100);
        net.delay = Duration::from_millis(rng.random_range(10..400));
        for number in 0..20 {
            net.set_clock_rate(number, rng.random_range(990..=1_010));
        }
        for _ in 0..60 {
            let number = rng.random_range(0..20);
            match rng.random_range(0..9) {
                0 => net.isolate(number),
                1 => net.cuts.clear(),
                2 => net.pause(number),
                3 | 4 => net.resume(number),
                5 if number != 0 => net.restart(number),
                6 => {
                    let to = rng.random_range(0..20);
                    net.cuts.insert((number, to));
                }
                _ if net.propagation().is_some() => {
                    net.commit(&[weight("check", rng.random_range(1..999))]);
                }
                _ => {}
            }
            net.run(Duration::from_millis(rng.random_range(20..2_000)));
        }
        net.cuts.clear();
        (0..20).for_each(|number| net.resume(number));
        net.loss = 0;
        net.run(net::TICK);
        net.commit(&[weight("check", 1)]);
        (0..3).for_each(|voter| net.sync_from_log(voter));
        let elapsed = net.until(20 * SECOND, |net| net.all_ready() && net.is_in_force());
        assert!(elapsed.is_some(), "seed {seed}: not all are ready in the end");
    }
}

/// Guards against instances that serve for longer than a lease without a quorum by granting each
/// other leases, and against a flood of requests: no voter leads for a while, then one does.
#[test]
fn nobody_serves_without_the_quorum() {
    let mut net = started(81, 1);
    net.leader = None;
    net.run(net::QUORUM_LEASE + verbenaslip_state::lease::MAX_DURATION + net::TICK);
    let ready = (0..81).filter(|number| net.ready(*number)).count();
    assert_eq!(ready, 0);
    net.reset_counts();
    net.run(20 * SECOND);
    let max = net.nodes.iter().map(|node| node.counts.bytes / 20).max().unwrap_or_default();
    println!("{max} bytes a second at the busiest instance without a quorum");
    assert!(max < 12_000, "{max} bytes a second");
    net.elect(1);
    let elapsed = net.until(5 * SECOND, Net::all_ready).expect("all become ready again");
    println!("all ready {elapsed:?} after the quorum");
}

/// Guards against many instances refusing work when one voter is lost: its followers must notice in
/// time to find another publisher within their leases.
#[test]
fn followers_of_a_lost_voter_recover_quickly() {
    let mut ticks = 0;
    for seed in 0..10 {
        let mut net = started(81, seed);
        net.run(5 * SECOND + Duration::from_millis(77 * seed));
        net.isolate(1);
        for _ in 0..500 {
            net.run(net::TICK);
            ticks += (0..81).filter(|number| *number != 1 && !net.ready(*number)).count();
        }
    }
    let unready = net::TICK * u32::try_from(ticks).expect("small") / 10;
    println!("{unready:?} of not being ready in all 80 instances together");
    assert!(unready < 10 * SECOND, "{unready:?}");
}

/// Guards against needless traffic between availability zones: with a voter and followers in each
/// zone, followers must choose a publisher in their own.
#[test]
fn followers_prefer_their_own_zone() {
    let net = started(15, 1);
    for number in 3..15 {
        let publisher = net.nodes[number].hub.followed_publisher().expect("it follows one");
        assert_eq!(net.number(publisher) % 3, number % 3, "{number} follows {publisher}");
    }
}

/// Guards against an instance that never becomes ready after leaving the voter set: the others'
/// lists still call it a voter, and publishers send no changes to voters.
#[test]
fn a_voter_without_the_log_is_caught_up() {
    let mut net = started(9, 1);
    net.nodes[2].voter = false;
    let elapsed = commit_until_in_force(&mut net);
    assert!(elapsed < 6 * SECOND, "{elapsed:?}");
    net.run(3 * SECOND);
    assert_eq!(net.nodes[2].hub.revision(), net.revision);
    assert!(net.all_ready());
}
