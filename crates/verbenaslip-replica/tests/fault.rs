//! Simulations of specific faults. After every step the simulation checks that there is at most one
//! leader per term and one valid lease, that nothing committed is lost or changed, that reads are
//! current, and that each proposal is applied and answered at most once.

mod simulation;

use verbenaslip_replica::config::{Change, Config};
use verbenaslip_replica::entry::Payload;
use verbenaslip_replica::message::{Body, Message};
use verbenaslip_replica::output::{Answer, Rejection};

use simulation::{Conditions, Simulation, instance, is_from_leader, ms};

/// One fault. It happens after the group has committed some entries, and everything must recover
/// afterwards.
struct Case {
    name: &'static str,
    founders: usize,
    fault: fn(&mut Simulation, usize),
}

const CASES: &[Case] = &[
    Case { name: "leader crashes", founders: 3, fault: leader_crashes },
    Case { name: "every voter crashes at once", founders: 5, fault: all_voters_crash },
    Case { name: "long isolation of a follower", founders: 3, fault: isolated_follower_returns },
    Case { name: "long isolation of the leader", founders: 3, fault: isolated_leader_returns },
    Case { name: "long isolation of the leader", founders: 5, fault: isolated_leader_returns },
    Case { name: "leader receives nothing", founders: 3, fault: leader_receives_nothing },
    Case { name: "leader sends nothing", founders: 3, fault: leader_sends_nothing },
    Case { name: "one link is down", founders: 3, fault: link_is_down },
    Case { name: "ring of links", founders: 5, fault: ring_of_links },
    Case { name: "leader paused longer than its lease", founders: 3, fault: leader_pauses },
    Case { name: "voters paused in turn", founders: 5, fault: voters_pause },
    Case { name: "voter restarts within a lease", founders: 3, fault: voter_restarts_in_lease },
    Case { name: "lost and duplicated messages", founders: 3, fault: unreliable_network },
    Case { name: "lost and duplicated messages", founders: 5, fault: unreliable_network },
    Case { name: "slow disks", founders: 3, fault: slow_disks },
    Case { name: "disks hang", founders: 3, fault: disks_hang },
    Case { name: "old messages arrive late", founders: 3, fault: old_messages },
    Case { name: "power fails at every vote", founders: 3, fault: power_fails_at_votes },
    Case { name: "lost disk, then leader crash", founders: 3, fault: disk_is_lost },
    Case { name: "second disk loss right after a replacement", founders: 3, fault: second_loss },
    Case { name: "two disk losses and replacements", founders: 5, fault: two_repairs },
    Case { name: "leader loses its disk", founders: 3, fault: leader_loses_disk },
    Case { name: "voter change interrupted", founders: 3, fault: change_is_interrupted },
    Case { name: "follower lags far behind", founders: 3, fault: follower_lags },
    Case { name: "snapshot interrupted", founders: 3, fault: snapshot_interrupted },
    Case { name: "concurrent proposals", founders: 3, fault: concurrent_proposals },
    Case { name: "leadership transfer", founders: 3, fault: leadership_is_transferred },
    Case {
        name: "leadership transfer to unreachable followers",
        founders: 3,
        fault: transfer_to_unreachable_followers,
    },
    Case { name: "delayed leadership transfer", founders: 3, fault: transfer_is_delayed },
    Case { name: "leader is removed", founders: 5, fault: leader_removed },
    Case { name: "removed voter returns", founders: 5, fault: removed_voter_returns },
    Case { name: "founders lose their disks", founders: 3, fault: founder_loses_disk },
];

#[test]
fn every_fault_loses_nothing_committed() {
    for case in CASES {
        for seed in 0..5 {
            println!("{} ({} founders, seed {seed})", case.name, case.founders);
            let mut simulation = Simulation::with_leader(case.founders, seed);
            simulation.commit_many(5);
            let leader = simulation.wait_for_leader();
            (case.fault)(&mut simulation, leader);
            simulation.recover_and_verify();
        }
    }
}

// Guards against a leader that counts copies which are not durable: after a crash that loses some
// of the unsynced writes, a new leader would lack committed commands.
fn leader_crashes(simulation: &mut Simulation, leader: usize) {
    for _ in 0..10 {
        simulation.propose(leader);
    }
    simulation.run(ms(1));
    simulation.crash(leader);
    simulation.commit_many(3);
}

// Guards against acknowledgements that are sent before their writes are durable: committed commands
// would be lost when all voters crash and restart.
fn all_voters_crash(simulation: &mut Simulation, leader: usize) {
    for round in 0..10 {
        for _ in 0..round {
            simulation.propose(leader);
        }
        simulation.run(ms(round));
        for node in 0..5 {
            simulation.crash(node);
        }
        for node in 0..5 {
            simulation.restart(node);
        }
        simulation.wait_for_leader();
    }
}

// Guards against an election after each network partition. Without pre-votes, an isolated follower
// would raise its term and depose the leader when it returns.
fn isolated_follower_returns(simulation: &mut Simulation, leader: usize) {
    let term = simulation.replica(leader).term();
    let follower = simulation.others(leader)[0];
    simulation.isolate(follower);
    simulation.run(ms(20_000));
    assert_eq!(simulation.replica(follower).term(), term, "an isolated voter raised its term");
    simulation.heal();
    simulation.run(ms(5_000));
    assert_eq!(simulation.replica(leader).term(), term, "a returning follower deposed the leader");
    assert!(simulation.holds_lease(leader));
}

// Guards against an isolated leader that does not step down: its callers would wait forever, or its
// proposals would be committed later, after others have elected a new leader.
fn isolated_leader_returns(simulation: &mut Simulation, leader: usize) {
    simulation.isolate(leader);
    let token = simulation.propose(leader);
    let read = simulation.request_read(leader);
    simulation.run(ms(4_000));
    assert!(!simulation.replica(leader).is_leader(), "a leader without a quorum still leads");
    assert_eq!(simulation.answers.get(&token), Some(&Answer::Unknown));
    let read = simulation.reads.get(&read).expect("the read was answered");
    // The read may be answered while the lease is still valid; the simulation has checked its
    // index.
    assert!(read.is_none() || read.is_some_and(|index| index > 0));
    simulation.commit_many(50);
    assert!(simulation.leaseholder().is_some_and(|other| other != leader));
}

// The leader's messages arrive, but the answers don't. Guards against a leader that does not step
// down without a quorum while its followers keep following it, so that nothing can be committed.
fn leader_receives_nothing(simulation: &mut Simulation, leader: usize) {
    for other in simulation.others(leader) {
        simulation.disconnect_one_way(other, leader);
    }
    assert!(simulation.run_until(ms(10_000), |simulation| {
        simulation.leaseholder().is_some_and(|new| new != leader)
    }));
    simulation.commit_many(3);
}

// The opposite of the case above: the leader receives messages, but can't send any.
fn leader_sends_nothing(simulation: &mut Simulation, leader: usize) {
    for other in simulation.others(leader) {
        simulation.disconnect_one_way(leader, other);
    }
    assert!(simulation.run_until(ms(10_000), |simulation| {
        simulation.leaseholder().is_some_and(|new| new != leader)
    }));
    simulation.commit_many(3);
}

// The link between the leader and one follower is down, and that follower keeps asking the third
// voter for votes. Guards against a voter that hears the leader but grants the vote: leadership
// would keep changing, or two leaders would hold leases.
fn link_is_down(simulation: &mut Simulation, leader: usize) {
    let term = simulation.replica(leader).term();
    let follower = simulation.others(leader)[0];
    simulation.disconnect(leader, follower);
    for _ in 0..30 {
        simulation.run(ms(500));
        assert!(
            simulation.holds_lease(leader),
            "the leader lost its lease: {:?}",
            simulation.summary()
        );
    }
    assert_eq!(simulation.replica(leader).term(), term);
}

// Each of five voters reaches only two others. Guards against elections that keep interrupting each
// other, so that nothing is committed although all instances are connected through others.
fn ring_of_links(simulation: &mut Simulation, _leader: usize) {
    for node in 0..5 {
        simulation.disconnect(node, (node + 2) % 5);
    }
    simulation.run(ms(10_000));
    simulation.commit_many(3);
}

// The leader's process is paused for longer than its lease. Guards against a lease that is measured
// from the answer: the old leader would still send orders or answer reads after it was replaced.
fn leader_pauses(simulation: &mut Simulation, leader: usize) {
    for pause_ms in [300, 900, 1_000, 2_500, 20_000] {
        simulation.propose(leader);
        simulation.pause(leader);
        simulation.run(ms(pause_ms));
        simulation.request_read(leader);
        simulation.resume(leader);
        simulation.run(ms(100));
        simulation.commit_one();
    }
}

// Each voter's process is paused in turn while its clock advances. Guards against election timers
// that fire before the messages received in the meantime are read, which would cause endless
// elections.
fn voters_pause(simulation: &mut Simulation, _leader: usize) {
    for round in 0..10 {
        let node = round % 5;
        simulation.pause(node);
        simulation.run(ms(1_500));
        simulation.resume(node);
        simulation.commit_one();
    }
}

// A voter acknowledges the leader's round, restarts at once, and is asked for its vote by a
// follower that does not hear the leader. Guards against a restart that forgets to refuse votes
// during the lease: two leaders would hold valid leases.
fn voter_restarts_in_lease(simulation: &mut Simulation, leader: usize) {
    let [voter, candidate] = simulation.others(leader)[..] else { panic!("three voters") };
    for _ in 0..10 {
        simulation.heal();
        simulation.run(ms(5_000));
        if simulation.wait_for_leader() != leader {
            return;
        }
        simulation.disconnect(leader, candidate);
        simulation.hold_filter = Some(|message| matches!(message.body, Body::PreVote { .. }));
        assert!(
            simulation.run_until(ms(10_000), |simulation| !simulation.held_messages.is_empty())
        );
        simulation.hold_filter = None;
        simulation.run(ms(250));
        simulation.isolate(leader);
        simulation.crash(voter);
        simulation.restart(voter);
        simulation.release_held();
        simulation.run(ms(3_000));
    }
}

// Messages are lost, duplicated, delayed and reordered while commands are proposed. Guards against
// answers that are matched to the wrong request, which would lose, duplicate or mix up commands.
fn unreliable_network(simulation: &mut Simulation, _leader: usize) {
    simulation.conditions = Conditions {
        loss_per_mille: 150,
        duplicated_per_mille: 150,
        delay_micros: (200, 60_000),
        delayed_per_mille: 100,
        sync_micros: (100, 30_000),
    };
    for round in 0..100 {
        if let Some(leader) = simulation.leaseholder() {
            simulation.propose_sized(leader, 8 + round);
        }
        simulation.run(ms(40));
    }
}

// Each sync takes up to half a second. Guards against heartbeats that wait for the disk, which
// would end the leader's term under load.
fn slow_disks(simulation: &mut Simulation, _leader: usize) {
    simulation.conditions.sync_micros = (100_000, 500_000);
    for _ in 0..20 {
        simulation.commit_one();
    }
}

// Every disk hangs for three seconds with a pending write. Guards against answers to heartbeats
// that wait for unrelated writes: the lease would end and all instances would refuse work.
fn disks_hang(simulation: &mut Simulation, leader: usize) {
    simulation.conditions.sync_micros = (3_000_000, 3_000_000);
    let tokens = [simulation.propose(leader), simulation.propose(leader)];
    for _ in 0..100 {
        simulation.run(ms(100));
        assert!(
            simulation.holds_lease(leader),
            "the leader lost its lease: {:?}",
            simulation.summary()
        );
    }
    for token in tokens {
        assert!(matches!(simulation.answers.get(&token), Some(Answer::Committed(_))));
    }
}

// Appends of an isolated leader are delayed for seconds and arrive after the group has moved on.
// Guards against missing term checks: old entries would replace newer ones.
fn old_messages(simulation: &mut Simulation, leader: usize) {
    simulation.hold_filter = Some(is_from_leader);
    for _ in 0..5 {
        simulation.propose(leader);
    }
    simulation.run(ms(1_500));
    simulation.hold_filter = None;
    simulation.isolate(leader);
    simulation.commit_many(10);
    simulation.heal();
    simulation.release_held();
    simulation.run(ms(2_000));
}

// The power of each voter fails repeatedly during elections, with any part of its writes durable.
// Guards against a vote that is sent before it is durable: a term would have two leaders.
fn power_fails_at_votes(simulation: &mut Simulation, leader: usize) {
    simulation.conditions.sync_micros = (5_000, 40_000);
    simulation.crash(leader);
    for round in 0..60 {
        let node = round % 3;
        simulation.run(ms(370));
        simulation.crash(node);
        simulation.run(ms(10));
        simulation.restart(node);
    }
}

// A command is stored by the leader and one follower. The follower loses its disk and the leader
// crashes. Guards against votes that are counted by name instead of identity: the empty data
// directory and the follower without the command would elect a leader, and the command would be
// lost.
fn disk_is_lost(simulation: &mut Simulation, leader: usize) {
    let [empty, behind] = simulation.others(leader)[..] else { panic!("three voters") };
    simulation.isolate(behind);
    simulation.commit_many(5);
    simulation.lose_disk(empty);
    simulation.crash(leader);
    simulation.heal();
    simulation.run(ms(20_000));
    assert_eq!(
        simulation.leaseholder(),
        None,
        "a data directory that is not a voter elected a leader"
    );
    simulation.restart(leader);
    simulation.replace_lost_voter(empty);
}

// A voter loses its disk and is replaced, and at once another voter loses its disk. Guards against
// a new voter that counts before it stores everything: committed commands would be lost.
fn second_loss(simulation: &mut Simulation, leader: usize) {
    let [first, second] = simulation.others(leader)[..] else { panic!("three voters") };
    simulation.commit_many(60);
    simulation.lose_disk(first);
    simulation.replace_lost_voter(first);
    simulation.lose_disk(leader);
    simulation.commit_many(5);
    simulation.replace_lost_voter(leader);
    simulation.lose_disk(second);
    simulation.commit_many(5);
    simulation.replace_lost_voter(second);
}

// As above, with five voters: two lose their disks at once, and two more after the replacements.
fn two_repairs(simulation: &mut Simulation, leader: usize) {
    let others = simulation.others(leader);
    simulation.commit_many(30);
    simulation.lose_disk(others[0]);
    simulation.lose_disk(others[1]);
    simulation.commit_many(10);
    simulation.replace_lost_voter(others[0]);
    simulation.replace_lost_voter(others[1]);
    simulation.lose_disk(leader);
    simulation.lose_disk(others[2]);
    simulation.commit_many(10);
    simulation.replace_lost_voter(leader);
    simulation.replace_lost_voter(others[2]);
}

// The leader loses its disk and returns with a new data directory under the same name. Guards
// against voters that wait forever for the lost identity without a report of the new one.
fn leader_loses_disk(simulation: &mut Simulation, leader: usize) {
    simulation.lose_disk(leader);
    let new = simulation.wait_for_leader();
    simulation.run(ms(1_000));
    let reported = simulation.nodes[new].changed_identities.clone();
    assert_eq!(
        reported,
        [simulation.replica(leader).voter()],
        "the new leader reports the new identity once"
    );
    simulation.replace_lost_voter(leader);
}

// A leader is isolated while only its own log contains a voter change. Guards against a voter set
// that stays in force after its log entry is truncated.
fn change_is_interrupted(simulation: &mut Simulation, leader: usize) {
    let new = simulation.join();
    simulation.run(ms(2_000));
    let before = simulation.replica(leader).voters().clone();
    simulation.hold_filter = Some(carries_change);
    let voter = simulation.replica(new).voter();
    let token = simulation.change(leader, Change::Add(voter));
    let joint = simulation
        .run_until(ms(1_500), |simulation| simulation.replica(leader).voters().is_joint());
    assert!(joint, "the leader's log does not have the change");
    for other in simulation.others(leader) {
        if other != new {
            simulation.disconnect(leader, other);
            assert_eq!(simulation.replica(other).voters(), &before);
        }
    }
    simulation.hold_filter = None;
    simulation.run(ms(3_000));
    assert_eq!(simulation.answers.get(&token), Some(&Answer::Unknown));
    simulation.disconnect(leader, new);
    simulation.commit_one();
    simulation.heal();
    simulation.run(ms(5_000));
    assert_eq!(simulation.replica(leader).voters(), &before);
    assert!(!simulation.replica(new).is_leader());
}

fn carries_change(message: &Message) -> bool {
    let Body::Append { entries, .. } = &message.body else { return false };
    entries
        .iter()
        .any(|entry| matches!(&entry.payload, Payload::Config(config) if config.is_joint()))
}

// A voter is down while the log is compacted past its last entry. Guards against repeated requests
// for entries that are no longer there, so that the voter would never catch up.
fn follower_lags(simulation: &mut Simulation, leader: usize) {
    let follower = simulation.others(leader)[0];
    simulation.crash(follower);
    let installs = simulation.nodes[follower].installs;
    let index = simulation.commit_many(200);
    simulation.restart(follower);
    assert!(
        simulation.run_until(ms(5_000), |simulation| simulation.replica(follower).applied_index()
            >= index)
    );
    assert_eq!(simulation.nodes[follower].installs, installs + 1, "expected exactly one snapshot");
}

// The leader crashes between chunks, the next leader has a newer snapshot, and chunks are lost and
// duplicated. Guards against chunks of different snapshots that are joined, and against a snapshot
// that never arrives.
fn snapshot_interrupted(simulation: &mut Simulation, leader: usize) {
    let follower = simulation.others(leader)[0];
    simulation.crash(follower);
    simulation.commit_many(120);
    simulation.conditions.loss_per_mille = 200;
    simulation.conditions.duplicated_per_mille = 200;
    simulation.restart(follower);
    simulation.run_until(ms(20_000), |simulation| simulation.traffic.messages % 7 == 3);
    simulation.crash(leader);
    simulation.conditions.loss_per_mille = 0;
    simulation.run(ms(8_000));
    simulation.restart(leader);
    simulation.commit_many(60);
}

// All voters receive proposals while the leader changes. Guards against tokens that are answered
// twice or for another index: a command would be applied twice, or applied although it was
// rejected.
fn concurrent_proposals(simulation: &mut Simulation, _leader: usize) {
    for round in 0..30 {
        for node in 0..3 {
            simulation.propose(node);
        }
        if round % 10 == 9 {
            let leader = simulation.wait_for_leader();
            simulation.isolate(leader);
            simulation.run(ms(3_000));
            simulation.heal();
        }
        simulation.run(ms(50));
    }
}

// Guards against a planned stop of the leader that interrupts commits for seconds or leaves
// proposals with an unknown outcome, because leadership is not transferred or is transferred before
// everything is replicated.
fn leadership_is_transferred(simulation: &mut Simulation, leader: usize) {
    let tokens: Vec<u64> = (0..10).map(|_| simulation.propose(leader)).collect();
    simulation.transfer(leader);
    let late = simulation.propose(leader);
    assert_eq!(
        simulation.answers.get(&late),
        Some(&Answer::Rejected(Rejection::TransferInProgress))
    );
    assert!(simulation.run_until(ms(500), |simulation| {
        simulation.leaseholder().is_some_and(|new| new != leader)
    }));
    for token in tokens {
        let answer = simulation.answers.get(&token);
        assert!(matches!(answer, Some(Answer::Committed(_))), "proposal {token}: {answer:?}");
    }
}

// The followers are unreachable when the transfer starts. Guards against a transfer without a time
// limit, during which the leader would reject all proposals.
fn transfer_to_unreachable_followers(simulation: &mut Simulation, leader: usize) {
    for other in simulation.others(leader) {
        simulation.disconnect_one_way(leader, other);
    }
    simulation.propose(leader);
    simulation.transfer(leader);
    simulation.run(ms(5_000));
    simulation.heal();
    simulation.commit_one();
}

// The request to campaign is delayed in the network, and the leader gives up the transfer before it
// arrives. Guards against a leader that holds a lease again after it sent that request: there would
// be two valid leases.
fn transfer_is_delayed(simulation: &mut Simulation, leader: usize) {
    simulation.hold_filter = Some(|message| matches!(message.body, Body::Campaign));
    simulation.transfer(leader);
    simulation.run(ms(20));
    assert!(!simulation.held_messages.is_empty(), "no follower was asked to campaign");
    assert!(!simulation.holds_lease(leader), "the lease is still valid after the request");
    simulation.hold_filter = None;
    simulation.run(ms(500));
    simulation.isolate(leader);
    simulation.release_held();
    simulation.run(ms(600));
    simulation.heal();
    simulation.run(ms(10_000));
}

// Guards against a leader that commits its own removal and continues as the leader, because it
// counts itself or does not step down.
fn leader_removed(simulation: &mut Simulation, leader: usize) {
    let token = simulation.change(leader, Change::Remove(instance(leader)));
    simulation.run(ms(2_000));
    assert!(matches!(simulation.answers.get(&token), Some(Answer::Committed(_))));
    assert!(!simulation.replica(leader).is_leader());
    assert!(simulation.run_until(ms(5_000), |simulation| {
        simulation.leaseholder().is_some_and(|new| new != leader)
    }));
    simulation.commit_many(3);
    simulation.run(ms(10_000));
    assert!(!simulation.replica(leader).is_leader());
}

// A voter is isolated while it is removed, and still considers itself a voter. Guards against a
// removed voter whose campaigns raise the group's term.
fn removed_voter_returns(simulation: &mut Simulation, leader: usize) {
    let removed = simulation.others(leader)[0];
    simulation.isolate(removed);
    let token = simulation.change(leader, Change::Remove(instance(removed)));
    simulation.run(ms(2_000));
    assert!(matches!(simulation.answers.get(&token), Some(Answer::Committed(_))));
    let term = simulation.replica(leader).term();
    simulation.heal();
    simulation.run(ms(20_000));
    assert_eq!(simulation.replica(leader).term(), term);
    assert!(simulation.holds_lease(leader));
}

// Two founders lose their disks and ask each other whether they are new. Guards against forming a
// second group without all founders, which would lose all committed commands.
fn founder_loses_disk(simulation: &mut Simulation, _leader: usize) {
    simulation.lose_disk(0);
    simulation.lose_disk(1);
    simulation.run(ms(20_000));
    assert_eq!(simulation.leaseholder(), None, "empty data directories formed a group");
    assert_eq!(simulation.replica(0).group(), None);
    // The remaining voter has no quorum. A new simulation lets this case end like all others.
    *simulation = Simulation::with_leader(3, 77);
}

// The added instance is down. Guards against a leader that waits forever for a new voter; proposals
// must be committed in the meantime.
#[test]
fn a_voter_that_does_not_catch_up_is_not_added() {
    let mut simulation = Simulation::with_leader(3, 3);
    let new = simulation.join();
    let voter = simulation.replica(new).voter();
    simulation.crash(new);
    let leader = simulation.wait_for_leader();
    let token = simulation.change(leader, Change::Add(voter.clone()));
    let second = simulation.change(leader, Change::Add(voter));
    assert_eq!(
        simulation.answers.get(&second),
        Some(&Answer::Rejected(Rejection::ChangeInProgress))
    );
    simulation.commit_many(10);
    simulation.run(ms(20_000));
    assert_eq!(simulation.answers.get(&token), Some(&Answer::Rejected(Rejection::CatchUpFailed)));
    simulation.restart(new);
    simulation.recover_and_verify();
}

// Guards against a spare that dies while it copies the log and blocks the replacement of a lost
// voter by another spare until the time for catching up has passed.
#[test]
fn a_new_voter_that_falls_silent_makes_way_for_another() {
    let mut simulation = Simulation::with_leader(3, 5);
    let (silent, spare) = (simulation.join(), simulation.join());
    let leader = simulation.wait_for_leader();
    let lost = simulation.others(leader)[0];
    let [first, second] = [silent, spare]
        .map(|new| Change::Replace { old: instance(lost), new: simulation.replica(new).voter() });
    simulation.crash(lost);
    simulation.crash(silent);
    let first = simulation.change(leader, first);
    simulation.run(ms(6_000));
    assert_eq!(simulation.answers.get(&first), Some(&Answer::Rejected(Rejection::CatchUpFailed)));
    let second = simulation.change(leader, second);
    simulation.run(ms(3_000));
    assert!(matches!(simulation.answers.get(&second), Some(Answer::Committed(_))));
    simulation.recover_and_verify();
}

// The leader is isolated, another one is elected and commits, and the old one is asked for a read
// before it notices. Guards against a stale read that is answered without a quorum.
#[test]
fn a_replaced_leader_confirms_no_read() {
    let mut stale_leaders = 0;
    for seed in 0..20 {
        let mut simulation = Simulation::with_leader(3, seed);
        let old_leader = simulation.wait_for_leader();
        simulation.isolate(old_leader);
        simulation.run_until(ms(5_000), |simulation| {
            simulation.leaseholder().is_some_and(|new| new != old_leader)
        });
        simulation.commit_one();
        stale_leaders += u32::from(simulation.replica(old_leader).is_leader());
        let read = simulation.request_read(old_leader);
        simulation.run(ms(3_000));
        assert_eq!(simulation.reads.get(&read), Some(&None), "seed {seed}");
    }
    assert!(
        stale_leaders > 3,
        "the old leader was still the leader in only {stale_leaders} of 20 runs"
    );
}

// The answer to a change is lost and the same change is requested again. Guards against changes
// that are not idempotent: the resent change would be rejected, or applied twice.
#[test]
fn changes_are_idempotent() {
    let mut simulation = Simulation::with_leader(3, 4);
    let new = simulation.join();
    let voter = simulation.replica(new).voter();
    let leader = simulation.wait_for_leader();
    let existing = Change::Add(simulation.replica(leader).voter());
    let unknown = Change::Remove(instance(9));
    let cases = [
        (Change::Add(voter.clone()), true),
        (Change::Add(voter.clone()), true),
        (existing, true),
        (unknown.clone(), true),
        (Change::Replace { old: instance(9), new: simulation.replica(leader).voter() }, true),
        (Change::Replace { old: instance(8), new: unknown_voter() }, false),
        (Change::Remove(instance(new)), true),
        (Change::Remove(instance(new)), true),
    ];
    for (change, is_accepted) in cases {
        let token = simulation.change(leader, change.clone());
        simulation.run(ms(3_000));
        let answer = simulation.answers.get(&token).expect("the change was answered");
        assert_eq!(matches!(answer, Answer::Committed(_)), is_accepted, "{change:?}: {answer:?}");
    }
    assert_eq!(simulation.replica(leader).voters().voters.len(), 3);
    simulation.recover_and_verify();
}

// One of three voters is down, and an operator removes another one. Guards against a change to a
// voter set without a live quorum: its entry could never commit, nobody could be elected without
// it, and the group would hang forever.
#[test]
fn a_change_to_a_set_without_a_live_quorum_is_rejected() {
    let mut simulation = Simulation::with_leader(3, 8);
    simulation.commit_many(3);
    let leader = simulation.wait_for_leader();
    let [down, live] = simulation.others(leader)[..] else { panic!("three voters") };
    simulation.crash(down);
    simulation.run(ms(3_000));
    let token = simulation.change(leader, Change::Remove(instance(live)));
    simulation.run(ms(100));
    simulation.commit_many(3);
    simulation.run(ms(20_000));
    assert_eq!(simulation.answers.get(&token), Some(&Answer::Rejected(Rejection::CatchUpFailed)));
    let token = simulation.change(leader, Change::Remove(instance(down)));
    simulation.run(ms(3_000));
    assert!(matches!(simulation.answers.get(&token), Some(Answer::Committed(_))));
    simulation.recover_and_verify();
}

// A leader of four voters is removed. It loses power while only its log contains the new voter set,
// and another voter loses its disk. By its own log the removed leader is not a voter, but the
// others need its vote, which it refuses because its log is newer. Guards against a removed leader
// that does not campaign: no leader could ever be elected.
#[test]
fn a_removed_leader_campaigns_until_its_removal_is_committed() {
    let mut simulation = Simulation::with_leader(4, 9);
    simulation.commit_many(3);
    let leader = simulation.wait_for_leader();
    let lost = simulation.others(leader)[0];
    simulation.hold_filter = Some(carries_removal);
    simulation.change(leader, Change::Remove(instance(leader)));
    let removed = simulation.run_until(ms(2_000), |simulation| {
        let identity = simulation.replica(leader).identity();
        !simulation.replica(leader).voters().contains(identity)
    });
    assert!(removed, "the leader's log does not have the set without it");
    simulation.run(ms(1));
    simulation.hold_filter = None;
    simulation.crash_after_writes(leader, 9);
    simulation.lose_disk(lost);
    simulation.restart(leader);
    simulation.commit_many(3);
    simulation.run(ms(5_000));
    assert!(!simulation.replica(leader).is_leader());
    simulation.replace_lost_voter(lost);
    simulation.recover_and_verify();
}

fn carries_removal(message: &Message) -> bool {
    let Body::Append { entries, .. } = &message.body else { return false };
    let has_three_voters = |config: &Config| !config.is_joint() && config.voters.len() == 3;
    entries
        .iter()
        .any(|entry| matches!(&entry.payload, Payload::Config(config) if has_three_voters(config)))
}

// Two of three disks are lost. The remaining data directory becomes a group of its own, and the
// others join it with new data directories. A voter of the old group that returns unexpectedly must
// not disturb the new group.
#[test]
fn the_remaining_voter_recovers_from_a_lost_quorum() {
    let mut simulation = Simulation::with_leader(3, 6);
    let index = simulation.commit_many(60);
    let leader = simulation.wait_for_leader();
    let [first, second] = simulation.others(leader)[..] else { panic!("three voters") };
    simulation.run(ms(1_000));
    let returning = simulation.nodes[second].disk.clone();
    for node in 0..3 {
        simulation.crash(node);
    }
    let group = verbenaslip_replica::voter::Group(1234);
    let disk = &mut simulation.nodes[leader].disk;
    assert!(disk.content.last_position().index >= index);
    for write in
        verbenaslip_replica::rescue::force_single_voter(&disk.content, instance(leader), group)
    {
        disk.apply(write);
    }
    simulation.nodes[second].disk = returning;
    simulation.restart(leader);
    simulation.restart(second);
    let later_index = simulation.commit_many(5);
    assert!(later_index > index);
    assert_eq!(simulation.replica(leader).group(), Some(group));
    simulation.run(ms(10_000));
    assert!(
        simulation.replica(second).group() != Some(group)
            && !simulation.replica(second).is_leader()
    );
    for node in [first, second] {
        simulation.lose_disk(node);
        let voter = simulation.replica(node).voter();
        let token = simulation.change(leader, Change::Add(voter));
        simulation.run(ms(3_000));
        assert!(matches!(simulation.answers[&token], Answer::Committed(_)));
    }
    simulation.recover_and_verify();
}

/// Returns a voter that no instance runs.
fn unknown_voter() -> verbenaslip_replica::voter::Voter {
    let identity = verbenaslip_replica::voter::Identity(99);
    verbenaslip_replica::voter::Voter { instance: instance(7), identity }
}

// The power fails between the two writes that form a group: the hard state and the first entry.
// Guards against a group without voters: nobody would campaign, and the founder would no longer be
// new, so it would not query the other founders again.
#[test]
fn founding_survives_a_power_loss_between_its_writes() {
    for kept in 0..=2 {
        let mut simulation = Simulation::new(3, 2);
        let has_started =
            simulation.run_until(ms(5_000), |simulation| simulation.nodes[0].pending.len() >= 2);
        assert!(has_started, "the founder wrote no hard state and first entry");
        simulation.crash_after_writes(0, kept);
        simulation.run(ms(500));
        simulation.restart(0);
        simulation.commit_one();
    }
}

#[test]
fn founders_form_a_group_and_commit() {
    for founders in [1, 3, 5] {
        let mut simulation = Simulation::with_leader(founders, 1);
        let index = simulation.commit_many(100);
        assert!(simulation.run_until(ms(1_000), |simulation| {
            (0..founders).all(|node| simulation.replica(node).applied_index() >= index)
        }));
    }
}

// A group grows from one voter to five, and then removes its founder. Guards against changes that
// need a majority which does not exist, and against loss of the commands of the first voter.
#[test]
fn a_group_grows_from_one_to_five_and_loses_its_founder() {
    let mut simulation = Simulation::with_leader(1, 5);
    simulation.commit_many(60);
    for _ in 0..4 {
        let new = simulation.join();
        let voter = simulation.replica(new).voter();
        let leader = simulation.wait_for_leader();
        let token = simulation.change(leader, Change::Add(voter));
        simulation.run(ms(3_000));
        let answer = &simulation.answers[&token];
        assert!(matches!(answer, Answer::Committed(_)), "adding node {new}: {answer:?}");
        simulation.commit_many(3);
    }
    let leader = simulation.wait_for_leader();
    let token = simulation.change(leader, Change::Remove(instance(0)));
    simulation.run(ms(5_000));
    assert!(matches!(simulation.answers[&token], Answer::Committed(_)));
    simulation.recover_and_verify();
    assert_eq!(
        simulation.replica(simulation.leaseholder().expect("a leader")).voters().voters.len(),
        4
    );
}
