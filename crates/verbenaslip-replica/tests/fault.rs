//! Replicas stepped through faults by hand. The world checks its invariants after every step: one
//! leader a term, nothing committed lost or changed, at most one valid lease, reads that miss
//! nothing, each proposal applied and answered at most once.

mod simulation;

use verbenaslip_replica::config::{Change, Config};
use verbenaslip_replica::entry::Payload;
use verbenaslip_replica::message::{Body, Message};
use verbenaslip_replica::output::{Answer, Rejection};

use simulation::{Conditions, Simulation, instance, is_from_leader, ms};

/// Holds one fault: the world is formed and has committed a little, the fault happens, and then
/// everything must recover.
struct Case {
    name: &'static str,
    founders: usize,
    fault: fn(&mut Simulation, usize),
}

const CASES: &[Case] = &[
    Case { name: "leader crashes", founders: 3, fault: leader_crashes },
    Case { name: "every voter crashes at once", founders: 5, fault: all_crash },
    Case { name: "follower cut off for long", founders: 3, fault: follower_returns },
    Case { name: "leader cut off, believes on", founders: 3, fault: leader_returns },
    Case { name: "leader cut off, believes on", founders: 5, fault: leader_returns },
    Case { name: "leader hears nobody", founders: 3, fault: leader_is_deaf },
    Case { name: "leader is heard by nobody", founders: 3, fault: leader_is_mute },
    Case { name: "one link is cut", founders: 3, fault: link_is_cut },
    Case { name: "chain of links", founders: 5, fault: chain_of_links },
    Case { name: "leader frozen past its lease", founders: 3, fault: leader_freezes },
    Case { name: "voters frozen in turn", founders: 5, fault: voters_freeze },
    Case { name: "voter restarts within a lease", founders: 3, fault: voter_restarts_in_lease },
    Case { name: "storm of losses and doubles", founders: 3, fault: storm },
    Case { name: "storm of losses and doubles", founders: 5, fault: storm },
    Case { name: "slow disks", founders: 3, fault: slow_disks },
    Case { name: "disks hang", founders: 3, fault: disks_hang },
    Case { name: "old messages come late", founders: 3, fault: old_messages },
    Case { name: "power fails at every vote", founders: 3, fault: power_fails_at_votes },
    Case { name: "lost disk, then the leader dies", founders: 3, fault: disk_lost },
    Case { name: "second loss right after a repair", founders: 3, fault: second_loss },
    Case { name: "two losses and repairs of five", founders: 5, fault: two_repairs },
    Case { name: "repaired leader", founders: 3, fault: leader_loses_disk },
    Case { name: "change cut off half-way", founders: 3, fault: change_cut_off },
    Case { name: "follower far behind", founders: 3, fault: far_behind },
    Case { name: "snapshot interrupted", founders: 3, fault: snapshot_interrupted },
    Case { name: "racing proposals and resends", founders: 3, fault: racing },
    Case { name: "handing over", founders: 3, fault: hands_over },
    Case { name: "handing over to the deaf", founders: 3, fault: hands_over_to_the_deaf },
    Case { name: "handing over is held up", founders: 3, fault: hand_over_held_up },
    Case { name: "leader is removed", founders: 5, fault: leader_removed },
    Case { name: "removed voter comes back", founders: 5, fault: removed_returns },
    Case { name: "founders lose their disks", founders: 3, fault: founder_loses_disk },
];

#[test]
fn every_fault_passes_without_loss() {
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

// Symptom: edits answered as committed are gone after the leader died. Sequence: commit, crash with
// a part of the unsynced writes lost, new leader. Cause: counting copies that were not durable.
fn leader_crashes(simulation: &mut Simulation, leader: usize) {
    for _ in 0..10 {
        simulation.propose(leader);
    }
    simulation.run(ms(1));
    simulation.crash(leader);
    simulation.commit_many(3);
}

// Symptom: edits are gone after a power loss everywhere. Sequence: proposals on their way, all
// crash, all restart. Cause: an acknowledgement that left before its write was durable.
fn all_crash(simulation: &mut Simulation, leader: usize) {
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

// Symptom: an election after each healed cut. Sequence: a follower is cut off for long and comes
// back. Cause: without a pre-vote it raises its term all alone and deposes the leader with it.
fn follower_returns(simulation: &mut Simulation, leader: usize) {
    let term = simulation.replica(leader).term();
    let follower = simulation.others(leader)[0];
    simulation.isolate(follower);
    simulation.run(ms(20_000));
    assert_eq!(
        simulation.replica(follower).term(),
        term,
        "a voter that is cut off raised its term"
    );
    simulation.heal();
    simulation.run(ms(5_000));
    assert_eq!(simulation.replica(leader).term(), term, "a returning follower deposed the leader");
    assert!(simulation.holds_lease(leader));
}

// Symptom: callers of an old leader wait for ever, or its edits appear later. Sequence: the leader
// is cut off, others elect a new one, the old one comes back. Cause: it does not step down.
fn leader_returns(simulation: &mut Simulation, leader: usize) {
    simulation.isolate(leader);
    let token = simulation.propose(leader);
    let read = simulation.request_read(leader);
    simulation.run(ms(4_000));
    assert!(!simulation.replica(leader).is_leader(), "a leader without a quorum still leads");
    assert_eq!(simulation.answers.get(&token), Some(&Answer::Unknown));
    let read = simulation.reads.get(&read).expect("the read was answered");
    // Under the lease that was still valid a read may be answered; the world checked its index.
    assert!(read.is_none() || read.is_some_and(|index| index > 0));
    simulation.commit_many(50);
    assert!(simulation.leaseholder().is_some_and(|other| other != leader));
}

// Symptom: no edit can be made although all instances run. Sequence: the leader's messages arrive,
// the answers do not. Cause: a leader that does not step down without a quorum, and followers that
// keep following it.
fn leader_is_deaf(simulation: &mut Simulation, leader: usize) {
    for other in simulation.others(leader) {
        simulation.disconnect_one_way(other, leader);
    }
    assert!(simulation.run_until(ms(10_000), |simulation| {
        simulation.leaseholder().is_some_and(|new| new != leader)
    }));
    simulation.commit_many(3);
}

// Symptom and sequence as above, the other way round: answers would arrive, nothing is sent.
fn leader_is_mute(simulation: &mut Simulation, leader: usize) {
    for other in simulation.others(leader) {
        simulation.disconnect_one_way(leader, other);
    }
    assert!(simulation.run_until(ms(10_000), |simulation| {
        simulation.leaseholder().is_some_and(|new| new != leader)
    }));
    simulation.commit_many(3);
}

// Symptom: leadership flaps, or two leaders hold leases. Sequence: the link between the leader and
// one follower is cut; that follower asks the third for votes again and again. Cause: a voter that
// hears the leader gives its vote to somebody else.
fn link_is_cut(simulation: &mut Simulation, leader: usize) {
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

// Symptom: no progress although the instances are connected by way of each other. Sequence: a ring
// of five is cut so that each reaches two others. Cause: elections that end each other.
fn chain_of_links(simulation: &mut Simulation, _leader: usize) {
    for node in 0..5 {
        simulation.disconnect(node, (node + 2) % 5);
    }
    simulation.run(ms(10_000));
    simulation.commit_many(3);
}

// Symptom: an old leader's orders or reads come out after it was replaced. Sequence: it freezes for
// longer than its lease and goes on where it was. Cause: a lease counted from the answer.
fn leader_freezes(simulation: &mut Simulation, leader: usize) {
    for freeze in [300, 900, 1_000, 2_500, 20_000] {
        simulation.propose(leader);
        simulation.pause(leader);
        simulation.run(ms(freeze));
        simulation.request_read(leader);
        simulation.resume(leader);
        simulation.run(ms(100));
        simulation.commit_one();
    }
}

// Symptom: elections without end. Sequence: each voter in turn freezes for a while, with its clock
// going on. Cause: timers that fire before the messages that came meanwhile are read.
fn voters_freeze(simulation: &mut Simulation, _leader: usize) {
    for round in 0..10 {
        let node = round % 5;
        simulation.pause(node);
        simulation.run(ms(1_500));
        simulation.resume(node);
        simulation.commit_one();
    }
}

// Symptom: two leaders hold valid leases. Sequence: a voter acknowledges the leader's round, its
// process restarts at once, and it gives its vote to a follower that does not hear the leader.
// Cause: the promise not to vote within the lease lives in memory alone.
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

// Symptom: lost, doubled or mixed-up edits. Sequence: losses, doubles, long delays and reordering,
// while edits go on. Cause: answers taken for something else than they answer.
fn storm(simulation: &mut Simulation, _leader: usize) {
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

// Symptom: a leader's term falls apart under load. Sequence: each sync takes up to half a second.
// Cause: heartbeats that wait for the disk.
fn slow_disks(simulation: &mut Simulation, _leader: usize) {
    simulation.conditions.sync_micros = (100_000, 500_000);
    for _ in 0..20 {
        simulation.commit_one();
    }
}

// Symptom: all instances refuse work for want of a lease, although no edit is under way. Sequence:
// every disk hangs for three seconds with a write on it. Cause: answers to heartbeats that wait for
// writes which they do not speak of.
fn disks_hang(simulation: &mut Simulation, leader: usize) {
    simulation.conditions.sync_micros = (3_000_000, 3_000_000);
    let tokens = [simulation.propose(leader), simulation.propose(leader)];
    for _ in 0..100 {
        simulation.run(ms(100));
        assert!(simulation.holds_lease(leader), "the lease is gone: {:?}", simulation.summary());
    }
    for token in tokens {
        assert!(matches!(simulation.answers.get(&token), Some(Answer::Committed(_))));
    }
}

// Symptom: an old leader's edits replace newer ones. Sequence: appends of a cut-off leader are held
// up in the network for seconds and arrive when the group has moved on. Cause: terms not compared.
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

// Symptom: two leaders in a term. Sequence: during elections every voter's power fails again and
// again, with none to all of its writes durable. Cause: a vote that left before it was durable.
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

// Symptom: committed edits are gone although a single disk was lost. Sequence: an edit is on the
// leader and one follower; the follower's disk is lost; the leader dies; the empty folder and the
// follower that lacks the edit elect a leader. Cause: votes counted by name, not by folder.
fn disk_lost(simulation: &mut Simulation, leader: usize) {
    let [empty, behind] = simulation.others(leader)[..] else { panic!("three voters") };
    simulation.isolate(behind);
    simulation.commit_many(5);
    simulation.lose_disk(empty);
    simulation.crash(leader);
    simulation.heal();
    simulation.run(ms(20_000));
    assert_eq!(simulation.leaseholder(), None, "a leader was elected by a folder that is no voter");
    simulation.restart(leader);
    simulation.replace_lost_voter(empty);
}

// Symptom: committed edits are gone after a repair and one more loss. Sequence: a disk is lost, the
// new folder is made a voter, and at once another voter's disk is lost. Cause: a new voter counts
// before it holds everything.
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

// Symptom and cause as above, with two disks of five lost at once and a third after the repairs.
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

// Symptom: the group hangs after its leader's disk was lost. Sequence: the leader comes back with a
// new folder under the same name. Cause: others wait for the folder that is gone, and nobody says
// which one is there now.
fn leader_loses_disk(simulation: &mut Simulation, leader: usize) {
    simulation.lose_disk(leader);
    let new = simulation.wait_for_leader();
    simulation.run(ms(1_000));
    let reported = simulation.nodes[new].changed_identities.clone();
    assert_eq!(
        reported,
        [simulation.replica(leader).voter()],
        "the new leader tells of the new folder, once"
    );
    simulation.replace_lost_voter(leader);
}

// Symptom: a voter set that nobody agreed on stays in force. Sequence: a leader is cut off with a
// change in its log alone. Cause: the set is not taken back when the entry is cut off.
fn change_cut_off(simulation: &mut Simulation, leader: usize) {
    let new = simulation.join();
    simulation.run(ms(2_000));
    let before = simulation.replica(leader).voters().clone();
    simulation.hold_filter = Some(carries_change);
    let voter = simulation.replica(new).voter();
    let token = simulation.change(leader, Change::Add(voter));
    let joint = simulation
        .run_until(ms(1_500), |simulation| simulation.replica(leader).voters().is_joint());
    assert!(joint, "the change is in the leader's log");
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

// Symptom: a voter never catches up after a long absence. Sequence: it is down while the log is
// compacted past its end. Cause: entries that are gone are asked for again and again.
fn far_behind(simulation: &mut Simulation, leader: usize) {
    let follower = simulation.others(leader)[0];
    simulation.crash(follower);
    let installs = simulation.nodes[follower].installs;
    let index = simulation.commit_many(200);
    simulation.restart(follower);
    assert!(
        simulation.run_until(ms(5_000), |simulation| simulation.replica(follower).applied_index()
            >= index)
    );
    assert_eq!(simulation.nodes[follower].installs, installs + 1, "one snapshot came");
}

// Symptom: a snapshot never arrives, or arrives mixed from two. Sequence: the leader dies between
// chunks, the next one has a newer snapshot, chunks are lost and doubled. Cause: parts joined
// without looking at what they are parts of.
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

// Symptom: one edit twice, or an edit answered as refused that appears. Sequence: proposals at all
// voters at once, while the leader changes, and the same again. Cause: tokens answered twice or for
// another index.
fn racing(simulation: &mut Simulation, _leader: usize) {
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

// Symptom: a planned stop of the leader stops edits for seconds and leaves some unknown. Sequence:
// proposals, then the hand-over. Cause: no hand-over, or one before everything is replicated.
fn hands_over(simulation: &mut Simulation, leader: usize) {
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

// Symptom: a leader that can't hand over refuses edits for good. Sequence: the followers are gone
// when it begins. Cause: a hand-over without an end.
fn hands_over_to_the_deaf(simulation: &mut Simulation, leader: usize) {
    for other in simulation.others(leader) {
        simulation.disconnect_one_way(leader, other);
    }
    simulation.propose(leader);
    simulation.transfer(leader);
    simulation.run(ms(5_000));
    simulation.heal();
    simulation.commit_one();
}

// Symptom: two valid leases after a hand-over. Sequence: the request to campaign is held up in the
// network; the leader gives up waiting; then the request arrives. Cause: a lease taken up again
// after somebody was asked to campaign.
fn hand_over_held_up(simulation: &mut Simulation, leader: usize) {
    simulation.hold_filter = Some(|message| matches!(message.body, Body::Campaign));
    simulation.transfer(leader);
    simulation.run(ms(20));
    assert!(!simulation.held_messages.is_empty(), "a follower is asked to campaign");
    assert!(!simulation.holds_lease(leader), "the lease ends before the request arrives");
    simulation.hold_filter = None;
    simulation.run(ms(500));
    simulation.isolate(leader);
    simulation.release_held();
    simulation.run(ms(600));
    simulation.heal();
    simulation.run(ms(10_000));
}

// Symptom: a removed leader goes on leading. Sequence: it commits the set without itself. Cause: it
// counts itself, or never steps down.
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

// Symptom: a removed voter disturbs the group. Sequence: it is cut off while it is removed, and
// still believes that it is a voter. Cause: its campaigns raise the term.
fn removed_returns(simulation: &mut Simulation, leader: usize) {
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

// Symptom: a second group beside the first, and all edits gone. Sequence: the first founder's disk
// is lost, then another one's, and they ask each other whether they are new. Cause: founding
// without all founders.
fn founder_loses_disk(simulation: &mut Simulation, _leader: usize) {
    simulation.lose_disk(0);
    simulation.lose_disk(1);
    simulation.run(ms(20_000));
    assert_eq!(simulation.leaseholder(), None, "a quorum of empty folders formed a group");
    assert_eq!(simulation.replica(0).group(), None);
    // What is left can't serve; the world is begun anew so that the case ends as all others.
    *simulation = Simulation::with_leader(3, 77);
}

// Symptom: a leader waits for ever for a new voter that is not there. Sequence: a change adds an
// instance that is down. Cause: catching up without an end; meanwhile edits must go on.
#[test]
fn a_voter_that_does_not_catch_up_is_not_taken() {
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

// Symptom: a reader sees the state from before an edit that was answered. Sequence: the leader is cut
// off, another one is elected and commits, and the old one, which does not know, is asked. Cause: a
// read that is answered without asking a quorum.
#[test]
fn a_replaced_leader_confirms_no_read() {
    let mut stale = 0;
    for seed in 0..20 {
        let mut simulation = Simulation::with_leader(3, seed);
        let old_leader = simulation.wait_for_leader();
        simulation.isolate(old_leader);
        simulation.run_until(ms(5_000), |simulation| {
            simulation.leaseholder().is_some_and(|new| new != old_leader)
        });
        simulation.commit_one();
        stale += u32::from(simulation.replica(old_leader).is_leader());
        let read = simulation.request_read(old_leader);
        simulation.run(ms(3_000));
        assert_eq!(simulation.reads.get(&read), Some(&None), "seed {seed}");
    }
    assert!(stale > 3, "in {stale} of 20 runs the old leader still believed that it leads");
}

// Symptom: an operator's resent change is refused, or done twice. Sequence: the answer was lost, the
// same change is asked for again. Cause: changes that are not idempotent.
#[test]
fn changes_are_answered_by_what_is_there() {
    let mut simulation = Simulation::with_leader(3, 4);
    let new = simulation.join();
    let voter = simulation.replica(new).voter();
    let leader = simulation.wait_for_leader();
    let taken = Change::Add(simulation.replica(leader).voter());
    let unknown = Change::Remove(instance(9));
    let cases = [
        (Change::Add(voter.clone()), true),
        (Change::Add(voter.clone()), true),
        (taken, true),
        (unknown.clone(), true),
        (Change::Replace { old: instance(9), new: simulation.replica(leader).voter() }, true),
        (Change::Replace { old: instance(8), new: lost_voter() }, false),
        (Change::Remove(instance(new)), true),
        (Change::Remove(instance(new)), true),
    ];
    for (change, fits) in cases {
        let token = simulation.change(leader, change.clone());
        simulation.run(ms(3_000));
        let answer = simulation.answers.get(&token).expect("the change was answered");
        assert_eq!(matches!(answer, Answer::Committed(_)), fits, "{change:?}: {answer:?}");
    }
    assert_eq!(simulation.replica(leader).voters().voters.len(), 3);
    simulation.recover_and_verify();
}

// Symptom: the group hangs for good after a change of the voter set. Sequence: one of three voters is
// down; an operator removes another one, or the wrong one. Cause: a change to a set of which no quorum
// is there; its entry can never commit, and nobody can be elected without it.
#[test]
fn a_change_to_a_set_without_a_living_quorum_is_not_begun() {
    let mut simulation = Simulation::with_leader(3, 8);
    simulation.commit_many(3);
    let leader = simulation.wait_for_leader();
    let [down, living] = simulation.others(leader)[..] else { panic!("three voters") };
    simulation.crash(down);
    simulation.run(ms(3_000));
    let token = simulation.change(leader, Change::Remove(instance(living)));
    simulation.run(ms(100));
    simulation.commit_many(3);
    simulation.run(ms(20_000));
    assert_eq!(simulation.answers.get(&token), Some(&Answer::Rejected(Rejection::CatchUpFailed)));
    let token = simulation.change(leader, Change::Remove(instance(down)));
    simulation.run(ms(3_000));
    assert!(matches!(simulation.answers.get(&token), Some(Answer::Committed(_))));
    simulation.recover_and_verify();
}

// Symptom: no leader ever comes after a voter was removed. Sequence: of four voters the leader is
// removed; the entry with the set without it is in its log alone when it loses power, and another
// voter's disk is lost. Cause: it is no voter by its own log, so it does not campaign; the others need
// its vote, and it refuses them, since its log is newer.
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
    assert!(removed, "the set without the leader is in its log");
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

// Symptom: an operator can't get the service back after two of three disks are lost. Sequence: the
// folder that is left becomes a group of its own, the others join it with new folders; a voter of the
// old group that returns against all expectation must not disturb. Cause: no way out of a lost quorum.
#[test]
fn a_lost_quorum_is_left_by_the_folder_that_remains() {
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

/// Returns a voter that does not exist.
fn lost_voter() -> verbenaslip_replica::voter::Voter {
    let identity = verbenaslip_replica::voter::Identity(99);
    verbenaslip_replica::voter::Voter { instance: instance(7), identity }
}

// Symptom: after the very first start no leader ever comes. Sequence: the founder writes term and
// group, then the first entry; the power fails between the two. Cause: the group is there without
// its voters, so nobody campaigns, and the founder is no longer new, so nobody is asked again.
#[test]
fn founding_survives_a_power_loss_between_its_writes() {
    for kept in 0..=2 {
        let mut simulation = Simulation::new(3, 2);
        let has_started =
            simulation.run_until(ms(5_000), |simulation| simulation.nodes[0].pending.len() >= 2);
        assert!(has_started, "the founder writes term and first entry");
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

// Symptom: a group of one can't grow, or loses what it had. Sequence: one voter, then three, then
// five, then the first leaves. Cause: changes that need a majority that is not there.
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
