//! Following the table through cuts, freezes, restarts, loss and clocks of different pace.

mod net;

use std::time::Duration;

use net::{Net, rows, weight};
use verbenaslip_table::Revision;

const SECOND: Duration = Duration::from_secs(1);

/// Starts instances with a leader, a table of a few rows, and everybody ready.
fn started(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, 3, seed);
    net.elect(0);
    net.commit(&rows(10));
    let elapsed = net.until(10 * SECOND, |net| net.all_ready() && net.is_in_force());
    assert!(elapsed.is_some(), "not all are ready");
    net
}

/// Commits an edit and says how long it took until the leader knew it to be in force everywhere.
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

/// Symptom: an operator is told that an edit is in force, and an instance serves by the old table.
/// Sequence: an instance is cut off, the edit comes, time passes. Cause: the lease is not counted,
/// or outlasts what the leader waits for.
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
        let elapsed = net.until(6 * SECOND, Net::all_ready).expect("it comes back");
        assert!(elapsed <= 6 * SECOND);
    }
}

/// Symptom: as above. Sequence: the process, not the network, stops for longer than a lease, and
/// goes on where it was. Cause: the lease is counted from when its answer is read.
#[test]
fn a_paused_instance_does_not_serve_when_it_resumes() {
    for seed in 0..10 {
        let mut net = started(9, seed);
        // Long delays, so that an answer is on its way when the process freezes, and is read late.
        net.delay = Duration::from_millis(350);
        net.run(Duration::from_millis(100 * seed));
        net.pause(8);
        // The answer waits to be read; the edit, which comes later, does not get through.
        net.run(SECOND);
        net.isolate(8);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < 6 * SECOND, "{elapsed:?}");
        net.run(SECOND);
        net.resume(8);
        // The network checks at every step that whoever is ready has what is in force.
        net.run(10 * SECOND);
        assert!(!net.ready(8));
        net.cuts.clear();
        net.until(6 * SECOND, Net::all_ready).expect("it comes back");
    }
}

/// Symptom: as above. Sequence: the holder's clock runs slow and the leader's fast, and the holder is
/// cut off. Cause: the leader waits for exactly the granted time.
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

/// Symptom: as above, below an instance that passes leases on. Sequence: such an instance dies, or is
/// cut off together with those that follow it. Cause: those below get a lease of their own length
/// instead of the rest of the one above, or the leader does not wait for them.
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
        net.until(10 * SECOND, Net::all_ready).expect("all come back");

        let relay = net.relay();
        net.isolate(relay);
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < 6 * SECOND, "{elapsed:?}");
        net.run(2 * SECOND);
        let lost = (0..net.nodes.len()).filter(|number| !net.ready(*number)).count();
        assert_eq!(lost, 1, "those below it have found another");
    }
}

/// Symptom: as above. Sequence: an instance that passes leases on restarts at once, and reports the
/// newest revision while those that it granted a lease before are cut off. Cause: the restarted
/// process's word is taken for what it granted before.
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

/// Symptom: two tables at once. Sequence: the leader is cut off with some instances, another leads,
/// an edit is committed there; the old one comes back. Cause: the old leader grants leases without
/// its quorum, or the new one does not wait for leases that it did not grant.
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
        net.until(8 * SECOND, Net::all_ready).expect("all come back");
        let elapsed = commit_until_in_force(&mut net);
        assert!(elapsed < SECOND, "{elapsed:?}");
    }
}

/// Symptom: an instance serves by a table from before hundreds of edits, or never gets ready.
/// Sequence: it restarts, or is cut off, while the edits pass. Cause: a lease without the revision,
/// or changes that no longer reach back.
#[test]
fn restarts_and_cuts_during_hundreds_of_edits() {
    for edits in [0, 1, 20, 500, 2_000] {
        let mut net = started(9, u64::from(edits));
        net.isolate(7);
        net.commit_many(edits);
        net.restart(8);
        net.run(SECOND);
        net.cuts.clear();
        // The restarted one has no older lease by which it might serve the older table.
        net.until(6 * SECOND, |net| net.ready(8)).expect("it comes back");
        assert_eq!(net.nodes[8].hub.revision(), net.revision);
        net.until(8 * SECOND, |net| net.all_ready() && net.is_in_force()).expect("both come back");
        assert!(net.nodes.iter().all(|node| node.hub.revision() == net.revision));
    }
}

/// Symptom: a large table never arrives, or holds up everything. Sequence: a table of the greatest
/// size, put by one edit; a restart. Cause: one message for it all.
#[test]
fn the_largest_table_arrives_in_parts() {
    let mut net = started(9, 1);
    net.commit(&rows(4_000));
    net.until(6 * SECOND, Net::is_in_force).expect("it comes into force");
    net.run(SECOND);
    net.loss = 100;
    net.restart(8);
    net.until(20 * SECOND, |net| net.ready(8)).expect("it comes back");
    assert_eq!(net.nodes[8].hub.revision(), Revision(2));
}

/// Symptom: revisions fall, an instance stays behind, or one serves by an old table. Sequence:
/// messages are lost, doubled and overtaken, instances restart, freeze and are cut off, leaders
/// change. Cause: whatever the cases above do not think of.
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

/// Symptom: while the quorum is away, instances serve on for longer than a lease, or flood each other
/// with questions. Sequence: no voter leads for a while; then one does. Cause: leases passed around
/// among instances without an end, or questions without a pause.
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
    let elapsed = net.until(5 * SECOND, Net::all_ready).expect("all come back");
    println!("all ready {elapsed:?} after the quorum");
}

/// Symptom: many instances refuse work when one voter is lost. Sequence: a voter that does not lead
/// is cut off for good. Cause: its followers notice it too late to find another within their leases.
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

/// Symptom: traffic for the table crosses availability zones without need. Sequence: a voter in each
/// zone, followers in each. Cause: the publisher is chosen without regard to its zone.
#[test]
fn followers_prefer_their_own_zone() {
    let net = started(15, 1);
    for number in 3..15 {
        let publisher = net.nodes[number].hub.followed_publisher().expect("it follows one");
        assert_eq!(net.number(publisher) % 3, number % 3, "{number} follows {publisher}");
    }
}

/// Symptom: an instance that no longer votes never gets ready. Sequence: it left the voter set, and
/// the others' lists still say that it votes. Cause: nobody sends changes to voters.
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
