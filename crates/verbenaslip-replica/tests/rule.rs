//! Single rules, shown on one replica that is handed its messages.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use verbenaslip_base::name::Instance;
use verbenaslip_replica::Replica;
use verbenaslip_replica::config::{Change, Config};
use verbenaslip_replica::entry::{Entry, Payload, Position};
use verbenaslip_replica::input::Input;
use verbenaslip_replica::message::{Body, Message, SnapshotHeader};
use verbenaslip_replica::output::{Answer, Output, Rejection};
use verbenaslip_replica::setup::{Setup, Timing};
use verbenaslip_replica::storage::{HardState, Recovered, Write};
use verbenaslip_replica::voter::{Group, Identity, Voter};

const GROUP: Group = Group(1);

/// Holds voter 0 of several and what it has put out.
struct Harness {
    replica: Replica,
    now: Duration,
    last_sequence: u64,
}

fn voter(number: u128) -> Voter {
    let instance = Instance::from(format!("n{number}").as_str());
    Voter { instance, identity: Identity(number + 1) }
}

fn position(term: u64, index: u64) -> Position {
    Position { term, index }
}

fn command(term: u64, index: u64) -> Entry {
    let payload = Payload::Command(Arc::from([7].as_slice()));
    Entry { position: position(term, index), payload }
}

impl Harness {
    /// Opens voter 0 of so many, in a term, with entries after the first configuration.
    fn open(voters: u128, term: u64, entries: Vec<Entry>) -> Self {
        let config = Config::new((0..voters).map(voter).collect());
        let first = Entry { position: position(1, 1), payload: Payload::Config(config) };
        let hard_state = HardState { group: Some(GROUP), term, voted: None };
        let entries = [vec![first], entries].concat();
        let recovered = Recovered { hard_state, entries, ..Recovered::empty(Identity(1)) };
        let replica = Replica::open(Setup::new("n0", Vec::new(), 1), recovered, Duration::ZERO);
        let now = Timing::default().election_timeout * 3;
        Self { replica, now, last_sequence: 0 }
    }

    /// Opens voter 0 and has it elected.
    fn elected(voters: u128, term: u64, entries: Vec<Entry>) -> Self {
        let mut harness = Self::open(voters, term - 1, entries);
        harness.step(Input::Tick);
        for number in 1..voters {
            harness.receive(number, term, Body::PreVoteResponse { granted: true });
        }
        harness.complete_writes();
        for number in 1..voters {
            harness.receive(number, term, Body::VoteResponse { granted: true });
        }
        assert!(harness.replica.is_leader());
        harness
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.replica.step(self.now, input, &mut out);
        for output in &out {
            if let Output::Store { sequence, .. } = output {
                self.last_sequence = *sequence;
            }
        }
        out
    }

    fn receive(&mut self, from: u128, term: u64, body: Body) -> Vec<Output> {
        let Voter { instance, identity: sender } = voter(from);
        let target = Some(Identity(1));
        let message = Message { group: Some(GROUP), sender, target, term, body };
        self.step(Input::Message { from: instance, message })
    }

    /// Lets the leader begin its next round.
    fn start_next_round(&mut self) {
        self.now += Timing::default().heartbeat_interval;
        self.step(Input::Tick);
    }

    fn complete_writes(&mut self) -> Vec<Output> {
        self.step(Input::Stored { sequence: self.last_sequence })
    }
}

fn count_messages(out: &[Output]) -> usize {
    out.iter().filter(|output| matches!(output, Output::Send { .. })).count()
}

fn count_writes(out: &[Output]) -> usize {
    out.iter().filter(|output| matches!(output, Output::Store { .. })).count()
}

// Symptom: two leaders in a term, or an edit gone, after a power loss. Sequence: a vote or an
// acknowledgement leaves, then the power fails before its write is durable. Cause: not waiting.
#[test]
fn what_promises_something_waits_for_the_disk() {
    let append = |entries: Vec<Entry>| Body::Append {
        previous: position(1, 1),
        entries,
        commit_index: 1,
        round: 1,
    };
    let config = Config::new((0..3).map(voter).collect());
    let header = SnapshotHeader { position: position(4, 50), config, total_bytes: 3 };
    let chunk =
        Body::SnapshotChunk { header, offset: 0, bytes: Arc::from([1, 2, 3].as_slice()), round: 1 };
    let cases = [
        ("vote", Body::Vote { last_position: position(1, 1), transfer: false }),
        ("entries", append(vec![command(4, 2)])),
        ("heartbeat of a new term", append(Vec::new())),
        ("entries in place of others", append(vec![command(4, 2), command(4, 3)])),
        ("last part of a snapshot", chunk),
    ];
    for (name, body) in cases {
        let mut harness = Harness::open(3, 2, vec![command(2, 2)]);
        if name == "vote" {
            harness = Harness::open(3, 2, Vec::new());
        }
        let out = harness.receive(1, 4, body);
        assert_eq!(count_messages(&out), 0, "{name}: an answer left before the write was durable");
        assert!(count_writes(&out) > 0, "{name}: nothing is written");
        let early_answer = harness.step(Input::Stored { sequence: harness.last_sequence - 1 });
        assert_eq!(
            count_messages(&early_answer),
            0,
            "{name}: an answer left before its last write was durable"
        );
        assert_eq!(count_messages(&harness.complete_writes()), 1, "{name}: no answer came");
    }
}

// Symptom: an edit answered as committed is gone after a power loss. Sequence: entries are on their way
// to the disk, a heartbeat behind them is answered at once. Cause: an answer that claims them as well.
#[test]
fn a_heartbeat_is_answered_at_once_for_what_is_durable() {
    let mut harness = Harness::open(3, 4, Vec::new());
    let append =
        |previous, entries, round| Body::Append { previous, entries, commit_index: 1, round };
    let out = harness.receive(1, 4, append(position(1, 1), vec![command(4, 2)], 1));
    assert_eq!(count_messages(&out), 0);
    let out = harness.receive(1, 4, append(position(4, 2), Vec::new(), 2));
    let [Output::Send { message, .. }] = &out[..] else { panic!("one answer: {out:?}") };
    assert_eq!(message.body, Body::AppendResponse { match_index: 1, round: 2 });
    let out = harness.complete_writes();
    let [Output::Send { message, .. }] = &out[..] else { panic!("one answer: {out:?}") };
    assert_eq!(message.body, Body::AppendResponse { match_index: 2, round: 1 });
}

// Symptom: an old leader commits an edit that is gone. Sequence: a follower stores entries of term 3,
// learns of term 4 before the disk is done, and drops the entries; then the answer for term 3 leaves.
// Cause: answers that are kept over a change of term.
#[test]
fn answers_of_an_older_term_never_leave() {
    let mut harness = Harness::open(3, 2, Vec::new());
    let append = |entries, previous| Body::Append { previous, entries, commit_index: 1, round: 1 };
    harness.receive(1, 3, append(vec![command(3, 2)], position(1, 1)));
    harness.receive(2, 4, append(vec![command(4, 2)], position(1, 1)));
    let out = harness.complete_writes();
    let terms = out.iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message.term),
        _ => None,
    });
    assert_eq!(terms.collect::<Vec<_>>(), [4]);
}

// Symptom: an edit answered as committed is replaced. Sequence: a leader of term 4 finds its entry of
// term 2 on a quorum; it dies, and a voter with an entry of term 3 is elected. Cause: counting copies
// of older terms.
#[test]
fn an_entry_of_an_older_term_commits_only_with_one_of_the_own() {
    let mut harness = Harness::elected(5, 4, vec![command(2, 2)]);
    harness.complete_writes();
    for number in 1..4 {
        harness.receive(number, 4, Body::AppendResponse { match_index: 2, round: 1 });
    }
    assert_eq!(
        harness.replica.commit_index(),
        0,
        "an entry of term 2 was committed by counting copies"
    );
    for number in 1..3 {
        harness.receive(number, 4, Body::AppendResponse { match_index: 3, round: 1 });
    }
    assert_eq!(harness.replica.commit_index(), 3);
}

// Symptom: an edit answered as committed is gone after the leader and one follower lost power.
// Sequence: the leader counts itself before its own disk is done. Cause: own copy taken for stored.
#[test]
fn the_own_copy_counts_once_it_is_stored() {
    let mut harness = Harness::elected(3, 4, Vec::new());
    let out = harness.step(Input::Propose { token: 5, command: Arc::from([1].as_slice()) });
    assert_eq!(count_writes(&out), 1);
    harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 1 });
    assert_eq!(harness.replica.commit_index(), 0, "one durable copy of three is no quorum");
    let out = harness.complete_writes();
    let answer = Output::Answer { token: 5, answer: Answer::Committed(position(4, 3)) };
    assert!(out.contains(&answer), "{out:?}");
}

// Symptom: a panic, or a committed entry changed, on a message from a broken or hostile peer.
// Sequence: any of these messages. Cause: numbers taken on trust.
#[test]
fn broken_messages_change_nothing_committed() {
    let out_of_range = position(u64::MAX, u64::MAX);
    let config = Config::new((0..3).map(voter).collect());
    let header = SnapshotHeader { position: out_of_range, config, total_bytes: u64::MAX };
    let append =
        |previous, entries| Body::Append { previous, entries, commit_index: u64::MAX, round: 9 };
    let bodies = [
        append(position(1, 1), vec![command(1, 2), command(9, 4)]),
        append(position(0, 0), vec![command(4, 1)]),
        append(out_of_range, vec![command(9, 1)]),
        append(out_of_range, Vec::new()),
        append(position(4, 2), vec![command(3, 3)]),
        Body::AppendResponse { match_index: u64::MAX, round: u64::MAX },
        Body::AppendConflict { previous_index: u64::MAX, hint: out_of_range, round: u64::MAX },
        Body::AppendConflict { previous_index: 0, hint: position(0, 0), round: 0 },
        Body::SnapshotChunk { header, offset: u64::MAX, bytes: Arc::from([].as_slice()), round: 1 },
        Body::SnapshotChunkResponse {
            position: out_of_range,
            received_bytes: u64::MAX,
            round: u64::MAX,
        },
        Body::VoteResponse { granted: true },
        Body::PreVoteResponse { granted: true },
        Body::Campaign,
        Body::FoundingResponse,
        Body::FoundingQuery,
        Body::IdentityChanged,
    ];
    for terms in [[4, 4], [4, u64::MAX], [u64::MAX, u64::MAX], [0, 4]] {
        for body in &bodies {
            let mut harness = Harness::elected(3, 4, vec![command(2, 2)]);
            harness.complete_writes();
            harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 1 });
            assert_eq!(harness.replica.commit_index(), 3);
            for term in terms {
                harness.receive(2, term, body.clone());
                harness.now += Duration::from_secs(5);
                harness.step(Input::Tick);
                harness.complete_writes();
            }
            assert_eq!(harness.replica.commit_index(), 3, "{body:?}");
            assert!(harness.replica.term() < 1 << 60, "no terms are left after {body:?}");
            assert!(harness.replica.applied_index() <= harness.replica.commit_index());
        }
    }
}

// Symptom: two leaders in a term. Sequence: a voter learns of a term, then gives its vote in it, loses
// power, and gives it again to somebody else. Cause: only the new term is written, not the vote.
#[test]
fn a_vote_is_written_also_when_the_term_is_known() {
    let mut harness = Harness::open(3, 4, Vec::new());
    let out = harness.receive(1, 4, Body::Vote { last_position: position(1, 1), transfer: false });
    let voted = HardState { group: Some(GROUP), term: 4, voted: Some(voter(1).identity) };
    let writes = out.iter().filter_map(|output| match output {
        Output::Store { write, .. } => Some(write),
        _ => None,
    });
    assert_eq!(writes.collect::<Vec<_>>(), [&Write::HardState(voted)]);
    assert_eq!(count_messages(&harness.complete_writes()), 1);
    let out = harness.receive(2, 4, Body::Vote { last_position: position(1, 1), transfer: false });
    let [Output::Send { message, .. }] = &out[..] else { panic!("one answer: {out:?}") };
    assert_eq!(message.body, Body::VoteResponse { granted: false });
}

// Symptom: committed edits are gone after an election. Sequence: a voter that lacks them asks one that
// has them. Cause: votes given without looking at the logs.
#[test]
fn votes_go_to_logs_that_lack_nothing() {
    let cases = [
        (position(1, 1), false),
        (position(2, 2), false),
        (position(3, 2), true),
        (position(3, 3), true),
        (position(4, 1), true),
        (position(2, 9), false),
    ];
    for (last_position, expected) in cases {
        for transfer in [false, true] {
            let mut harness = Harness::open(3, 3, vec![command(3, 2)]);
            harness.receive(1, 4, Body::Vote { last_position, transfer });
            let out = harness.complete_writes();
            let granted = out.iter().any(|output| {
                let Output::Send { message, .. } = output else { return false };
                matches!(message.body, Body::VoteResponse { granted: true })
            });
            assert_eq!(granted, expected, "{last_position:?}");
        }
        let mut harness = Harness::open(3, 3, vec![command(3, 2)]);
        let out = harness.receive(1, 4, Body::PreVote { last_position });
        let granted = out.iter().any(|output| {
            let Output::Send { message, .. } = output else { return false };
            matches!(message.body, Body::PreVoteResponse { granted: true })
        });
        assert_eq!(granted, expected, "pre-vote, {last_position:?}");
    }
}

// Symptom: two voter sets without a common member decide at once. Sequence: a new leader, whose log
// has an older set than the group's, begins a change at once. Cause: building on what may be replaced.
#[test]
fn a_change_waits_for_an_entry_of_the_own_term() {
    let mut harness = Harness::elected(3, 4, vec![command(2, 2)]);
    harness.complete_writes();
    let change = Change::Remove(voter(2).instance);
    assert_eq!(count_writes(&harness.step(Input::ChangeVoters { token: 1, change })), 0);
    harness.start_next_round();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(
        !harness.replica.voters().is_joint(),
        "the change began before an entry of the own term"
    );
    harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 2 });
    assert!(harness.replica.voters().is_joint());
}

// Symptom: after an addition one more loss stops the group. Sequence: the new voter caught up and died
// before it was made one. Cause: a voter taken for living by what it once answered.
#[test]
fn a_new_voter_must_have_answered_just_now() {
    let mut harness = Harness::elected(3, 4, Vec::new());
    harness.complete_writes();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 1 });
    harness.step(Input::ChangeVoters { token: 1, change: Change::Add(voter(3)) });
    harness.receive(3, 4, Body::AppendResponse { match_index: 2, round: 1 });
    harness.start_next_round();
    for number in [1, 2] {
        harness.receive(number, 4, Body::AppendResponse { match_index: 2, round: 2 });
    }
    assert!(!harness.replica.voters().is_joint(), "the new voter was not heard since the question");
    harness.receive(3, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(harness.replica.voters().is_joint());
}

// Symptom: an operator who resends a change after a leader change is told that it does not fit.
// Sequence: the new leader holds the change of the old one, not yet committed. Cause: a resend that is
// checked like a new change.
#[test]
fn a_resent_change_is_told_to_wait_for_the_first() {
    let config = Config::new((0..3).map(voter).collect());
    let committed_config = Entry { position: position(3, 2), payload: Payload::Config(config) };
    let mut harness = Harness::elected(3, 4, vec![committed_config]);
    harness.complete_writes();
    let change = || Change::Add(voter(2));
    let answer = |out: Vec<Output>| {
        out.into_iter().find_map(|output| match output {
            Output::Answer { answer, .. } => Some(answer),
            _ => None,
        })
    };
    let early_answer = answer(harness.step(Input::ChangeVoters { token: 1, change: change() }));
    assert_eq!(early_answer, Some(Answer::Rejected(Rejection::ChangeInProgress)));
    harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 1 });
    let late_answer = answer(harness.step(Input::ChangeVoters { token: 2, change: change() }));
    assert_eq!(late_answer, Some(Answer::Committed(position(3, 2))));
}

// Symptom: committed edits are gone after a repair. Sequence: voter 2 is replaced by voter 3; the
// leader and voter 3 alone would be a quorum of the new set, voters 1 and 2 one of the old. Cause: a
// change that asks the new set alone.
#[test]
fn a_replacement_asks_a_quorum_of_both_sets() {
    let mut harness = Harness::elected(3, 4, Vec::new());
    harness.complete_writes();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 1 });
    let change = Change::Replace { old: voter(2).instance, new: voter(3) };
    harness.step(Input::ChangeVoters { token: 1, change });
    harness.start_next_round();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 1 });
    harness.receive(3, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(!harness.replica.voters().is_joint(), "the old set was not heard since the question");
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(harness.replica.voters().is_joint());
    harness.complete_writes();
    harness.receive(3, 4, Body::AppendResponse { match_index: 3, round: 1 });
    assert_eq!(
        harness.replica.commit_index(),
        2,
        "one voter of three of the old set has the change"
    );
    harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 1 });
    assert_eq!(harness.replica.commit_index(), 3);
    assert!(!harness.replica.voters().is_joint());
}

// Symptom: edits end as unknown although the stop was planned. Sequence: one of four followers has
// everything, no quorum does, and that follower is told to campaign. Cause: a hand-over too early.
#[test]
fn a_hand_over_waits_until_all_is_committed() {
    let campaigns = |out: &[Output]| {
        let is_campaign = |output: &&Output| matches!(output, Output::Send { message, .. } if message.body == Body::Campaign);
        out.iter().filter(is_campaign).count()
    };
    let mut harness = Harness::elected(5, 4, Vec::new());
    harness.complete_writes();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 1 });
    assert_eq!(campaigns(&harness.step(Input::TransferLeadership)), 0);
    assert_eq!(
        campaigns(&harness.receive(2, 4, Body::AppendResponse { match_index: 2, round: 1 })),
        1
    );
}

// Symptom: a panic, or a commit index that falls, after a peer with a broken build sends nonsense.
// Sequence: any messages in any order, between ticks, proposals and syncs. Cause: states that only
// make sense together, checked apart.
#[test]
fn nonsense_in_any_order_never_panics() {
    for seed in 0..400 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut harness = match seed % 2 {
            0 => Harness::elected(3, 4, vec![command(2, 2)]),
            _ => Harness::open(3, 3, vec![command(2, 2), command(3, 3)]),
        };
        let mut commit = 0;
        for token in 0..150 {
            match random.random_range(0..10) {
                0 => harness.now += Duration::from_millis(random.random_range(0..3_000)),
                1 => drop(harness.complete_writes()),
                2 => {
                    drop(harness.step(Input::Propose { token, command: Arc::from([1].as_slice()) }))
                }
                3 => {
                    let index = random.random_range(0..20);
                    harness.step(Input::Snapshot { index, state: Arc::from([2].as_slice()) });
                }
                4 => drop(harness.step(Input::TransferLeadership)),
                _ => {
                    let body = random_body(&mut random);
                    let (from, term) = (random.random_range(0..4), random_number(&mut random));
                    harness.receive(from, term, body);
                }
            }
            harness.step(Input::Tick);
            assert!(harness.replica.commit_index() >= commit, "seed {seed}: the commit index fell");
            assert!(harness.replica.applied_index() <= harness.replica.commit_index());
            commit = harness.replica.commit_index();
        }
    }
}

/// Draws a number that is small most of the time.
fn random_number(random: &mut Pcg32) -> u64 {
    match random.random_range(0..20) {
        0 => u64::MAX - random.random_range(0..3),
        1 => (1 << 60) - random.random_range(0..3),
        _ => random.random_range(0..12),
    }
}

fn random_body(random: &mut Pcg32) -> Body {
    let random_position =
        |random: &mut Pcg32| position(random_number(random), random_number(random));
    let granted = random.random_range(0..2) == 0;
    match random.random_range(0..12) {
        0 => Body::PreVote { last_position: random_position(random) },
        1 => Body::PreVoteResponse { granted },
        2 => Body::Vote { last_position: random_position(random), transfer: granted },
        3 => Body::VoteResponse { granted },
        4 => Body::AppendResponse {
            match_index: random_number(random),
            round: random_number(random),
        },
        5 => Body::AppendConflict {
            previous_index: random_number(random),
            hint: random_position(random),
            round: random_number(random),
        },
        6 => Body::SnapshotChunkResponse {
            position: random_position(random),
            received_bytes: random_number(random),
            round: random_number(random),
        },
        7 => Body::Campaign,
        8 | 9 => {
            let previous = random_position(random);
            let count = random.random_range(0..4);
            let next = |n: u64| {
                command(random_number(&mut random.clone()), previous.index.wrapping_add(n))
            };
            let entries = (1..=count).map(next).collect();
            Body::Append {
                previous,
                entries,
                commit_index: random_number(random),
                round: random_number(random),
            }
        }
        _ => {
            let config = Config::new((0..random.random_range(0..4)).map(voter).collect());
            let header = SnapshotHeader {
                position: random_position(random),
                config,
                total_bytes: random.random_range(0..5),
            };
            let bytes = vec![1; random.random_range(0..5)].into();
            Body::SnapshotChunk { header, offset: random.random_range(0..3), bytes, round: 1 }
        }
    }
}

#[test]
fn a_lease_is_shorter_than_a_refusal_by_the_drift_of_two_clocks() {
    let timing = Timing::default();
    let slow = timing.lease_duration() * 1000 / (1000 - timing.clock_drift_per_mille);
    let fast = timing.election_timeout * 1000 / (1000 + timing.clock_drift_per_mille);
    assert!(slow <= fast, "a lease of {slow:?} true time, a refusal of {fast:?}");
    assert!(timing.lease_duration() > timing.heartbeat_interval * 3);
}
