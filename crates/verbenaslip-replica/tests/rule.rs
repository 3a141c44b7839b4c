//! Tests of single rules on one replica with handcrafted messages.

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

/// Holds voter 0 of a group, whose other voters are simulated by messages.
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
    /// Opens voter 0 of a number of voters, in a term, with entries after the first configuration.
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

    /// Opens voter 0 and lets the others elect it.
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
        let mut outputs = Vec::new();
        self.replica.step(self.now, input, &mut outputs);
        for output in &outputs {
            if let Output::Store { sequence, .. } = output {
                self.last_sequence = *sequence;
            }
        }
        outputs
    }

    fn receive(&mut self, from: u128, term: u64, body: Body) -> Vec<Output> {
        let Voter { instance, identity: sender } = voter(from);
        let target = Some(Identity(1));
        let message = Message { group: Some(GROUP), sender, target, term, body };
        self.step(Input::Message { from: instance, message })
    }

    /// Starts the leader's next round.
    fn start_next_round(&mut self) {
        self.now += Timing::default().heartbeat_interval;
        self.step(Input::Tick);
    }

    fn complete_writes(&mut self) -> Vec<Output> {
        self.step(Input::Stored { sequence: self.last_sequence })
    }
}

fn count_messages(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::Send { .. })).count()
}

fn count_writes(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::Store { .. })).count()
}

// Guards against a vote or an acknowledgement that is sent before its write is durable. After a
// power loss, a term could have two leaders, or a committed command could be lost.
#[test]
fn answers_wait_for_durable_writes() {
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
        ("entries that replace others", append(vec![command(4, 2), command(4, 3)])),
        ("last part of a snapshot", chunk),
    ];
    for (name, body) in cases {
        let mut harness = Harness::open(3, 2, vec![command(2, 2)]);
        if name == "vote" {
            harness = Harness::open(3, 2, Vec::new());
        }
        let outputs = harness.receive(1, 4, body);
        assert_eq!(
            count_messages(&outputs),
            0,
            "{name}: an answer was sent before the write was durable"
        );
        assert!(count_writes(&outputs) > 0, "{name}: nothing was written");
        let early_answer = harness.step(Input::Stored { sequence: harness.last_sequence - 1 });
        assert_eq!(
            count_messages(&early_answer),
            0,
            "{name}: an answer was sent before the last write was durable"
        );
        assert_eq!(count_messages(&harness.complete_writes()), 1, "{name}: expected one answer");
    }
}

// Entries are not durable yet when a heartbeat after them is answered. Guards against an answer
// that acknowledges these entries as well: a power loss would lose a committed command.
#[test]
fn heartbeats_acknowledge_only_durable_entries() {
    let mut harness = Harness::open(3, 4, Vec::new());
    let append =
        |previous, entries, round| Body::Append { previous, entries, commit_index: 1, round };
    let outputs = harness.receive(1, 4, append(position(1, 1), vec![command(4, 2)], 1));
    assert_eq!(count_messages(&outputs), 0);
    let outputs = harness.receive(1, 4, append(position(4, 2), Vec::new(), 2));
    let [Output::Send { message, .. }] = &outputs[..] else {
        panic!("expected one answer: {outputs:?}")
    };
    assert_eq!(message.body, Body::AppendResponse { match_index: 1, round: 2 });
    let outputs = harness.complete_writes();
    let [Output::Send { message, .. }] = &outputs[..] else {
        panic!("expected one answer: {outputs:?}")
    };
    assert_eq!(message.body, Body::AppendResponse { match_index: 2, round: 1 });
}

// A follower receives entries of term 3, learns of term 4 before they are durable, and removes
// them. Guards against sending the acknowledgement for term 3 afterwards: the old leader could
// commit a command that no longer exists.
#[test]
fn answers_of_an_older_term_are_discarded() {
    let mut harness = Harness::open(3, 2, Vec::new());
    let append = |entries, previous| Body::Append { previous, entries, commit_index: 1, round: 1 };
    harness.receive(1, 3, append(vec![command(3, 2)], position(1, 1)));
    harness.receive(2, 4, append(vec![command(4, 2)], position(1, 1)));
    let outputs = harness.complete_writes();
    let terms = outputs.iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message.term),
        _ => None,
    });
    assert_eq!(terms.collect::<Vec<_>>(), [4]);
}

// A leader of term 4 finds its entry of term 2 on a quorum. It crashes, and a voter with an entry
// of term 3 is elected. Guards against committing an entry of an older term by counting copies: the
// committed entry would be replaced.
#[test]
fn an_entry_of_an_older_term_commits_only_with_one_of_the_current_term() {
    let mut harness = Harness::elected(5, 4, vec![command(2, 2)]);
    harness.complete_writes();
    for number in 1..4 {
        harness.receive(number, 4, Body::AppendResponse { match_index: 2, round: 1 });
    }
    assert_eq!(harness.replica.commit_index(), 0, "counting copies committed an entry of term 2");
    for number in 1..3 {
        harness.receive(number, 4, Body::AppendResponse { match_index: 3, round: 1 });
    }
    assert_eq!(harness.replica.commit_index(), 3);
}

// Guards against a leader that counts its own copy before it is durable: a committed command would
// be lost if the leader and one follower lose power.
#[test]
fn the_leaders_copy_counts_once_it_is_durable() {
    let mut harness = Harness::elected(3, 4, Vec::new());
    let outputs = harness.step(Input::Propose { token: 5, command: Arc::from([1].as_slice()) });
    assert_eq!(count_writes(&outputs), 1);
    harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 1 });
    assert_eq!(harness.replica.commit_index(), 0, "one durable copy of three is not a quorum");
    let outputs = harness.complete_writes();
    let answer = Output::Answer { token: 5, answer: Answer::Committed(position(4, 3)) };
    assert!(outputs.contains(&answer), "{outputs:?}");
}

// Guards against panics and changes of committed entries caused by the numbers in messages of a
// broken or hostile peer.
#[test]
fn invalid_messages_change_nothing_committed() {
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
            assert!(harness.replica.term() < 1 << 60, "the term is too large after {body:?}");
            assert!(harness.replica.applied_index() <= harness.replica.commit_index());
        }
    }
}

// A voter learns of a term, votes in it, loses power, and is asked for a vote again. Guards against
// writing only the new term and not the vote: the term could have two leaders.
#[test]
fn a_vote_is_written_even_if_the_term_is_known() {
    let mut harness = Harness::open(3, 4, Vec::new());
    let outputs =
        harness.receive(1, 4, Body::Vote { last_position: position(1, 1), transfer: false });
    let voted = HardState { group: Some(GROUP), term: 4, voted: Some(voter(1).identity) };
    let writes = outputs.iter().filter_map(|output| match output {
        Output::Store { write, .. } => Some(write),
        _ => None,
    });
    assert_eq!(writes.collect::<Vec<_>>(), [&Write::HardState(voted)]);
    assert_eq!(count_messages(&harness.complete_writes()), 1);
    let outputs =
        harness.receive(2, 4, Body::Vote { last_position: position(1, 1), transfer: false });
    let [Output::Send { message, .. }] = &outputs[..] else {
        panic!("expected one answer: {outputs:?}")
    };
    assert_eq!(message.body, Body::VoteResponse { granted: false });
}

// Guards against votes that are granted without comparing the logs: a voter that lacks committed
// commands could be elected.
#[test]
fn votes_go_only_to_up_to_date_logs() {
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
            let outputs = harness.complete_writes();
            let granted = outputs.iter().any(|output| {
                let Output::Send { message, .. } = output else { return false };
                matches!(message.body, Body::VoteResponse { granted: true })
            });
            assert_eq!(granted, expected, "{last_position:?}");
        }
        let mut harness = Harness::open(3, 3, vec![command(3, 2)]);
        let outputs = harness.receive(1, 4, Body::PreVote { last_position });
        let granted = outputs.iter().any(|output| {
            let Output::Send { message, .. } = output else { return false };
            matches!(message.body, Body::PreVoteResponse { granted: true })
        });
        assert_eq!(granted, expected, "pre-vote, {last_position:?}");
    }
}

// The log of a new leader has an older voter set than the group. Guards against a change that
// starts from a configuration that may be replaced: two voter sets without a common member could
// decide.
#[test]
fn a_change_waits_for_an_entry_of_the_current_term() {
    let mut harness = Harness::elected(3, 4, vec![command(2, 2)]);
    harness.complete_writes();
    let change = Change::Remove(voter(2).instance);
    assert_eq!(count_writes(&harness.step(Input::ChangeVoters { token: 1, change })), 0);
    harness.start_next_round();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(
        !harness.replica.voters().is_joint(),
        "the change began before an entry of the current term was committed"
    );
    harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 2 });
    assert!(harness.replica.voters().is_joint());
}

// The new voter caught up and then crashed before it became a voter. Guards against treating a
// voter as live because of an old answer: after the change, one more loss would stop the group.
#[test]
fn a_new_voter_must_answer_after_the_request() {
    let mut harness = Harness::elected(3, 4, Vec::new());
    harness.complete_writes();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 1 });
    harness.step(Input::ChangeVoters { token: 1, change: Change::Add(voter(3)) });
    harness.receive(3, 4, Body::AppendResponse { match_index: 2, round: 1 });
    harness.start_next_round();
    for number in [1, 2] {
        harness.receive(number, 4, Body::AppendResponse { match_index: 2, round: 2 });
    }
    assert!(
        !harness.replica.voters().is_joint(),
        "the new voter has not answered since the request"
    );
    harness.receive(3, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(harness.replica.voters().is_joint());
}

// The new leader's log has the change of the old leader, which is not committed. Guards against
// validating a resent change like a new one: the operator would be told that it is invalid.
#[test]
fn a_resent_change_waits_for_the_first() {
    let config = Config::new((0..3).map(voter).collect());
    let committed_config = Entry { position: position(3, 2), payload: Payload::Config(config) };
    let mut harness = Harness::elected(3, 4, vec![committed_config]);
    harness.complete_writes();
    let change = || Change::Add(voter(2));
    let answer = |outputs: Vec<Output>| {
        outputs.into_iter().find_map(|output| match output {
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

// Voter 2 is replaced by voter 3. The leader and voter 3 would be a quorum of the new set, and
// voters 1 and 2 one of the old set. Guards against a change that needs only the new set: committed
// commands could be lost.
#[test]
fn a_replacement_needs_a_quorum_of_both_sets() {
    let mut harness = Harness::elected(3, 4, Vec::new());
    harness.complete_writes();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 1 });
    let change = Change::Replace { old: voter(2).instance, new: voter(3) };
    harness.step(Input::ChangeVoters { token: 1, change });
    harness.start_next_round();
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 1 });
    harness.receive(3, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(!harness.replica.voters().is_joint(), "the old set has not answered since the request");
    harness.receive(1, 4, Body::AppendResponse { match_index: 2, round: 2 });
    assert!(harness.replica.voters().is_joint());
    harness.complete_writes();
    harness.receive(3, 4, Body::AppendResponse { match_index: 3, round: 1 });
    assert_eq!(
        harness.replica.commit_index(),
        2,
        "only one of three voters of the old set has the change"
    );
    harness.receive(1, 4, Body::AppendResponse { match_index: 3, round: 1 });
    assert_eq!(harness.replica.commit_index(), 3);
    assert!(!harness.replica.voters().is_joint());
}

// One of four followers has everything, but no quorum does. Guards against telling that follower to
// campaign too early: proposals would end as unknown although the stop was planned.
#[test]
fn a_transfer_waits_until_everything_is_committed() {
    let campaigns = |outputs: &[Output]| {
        let is_campaign = |output: &&Output| matches!(output, Output::Send { message, .. } if message.body == Body::Campaign);
        outputs.iter().filter(is_campaign).count()
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

// A peer with a broken build sends invalid messages in any order, between ticks, proposals and
// syncs. Guards against panics and a decreasing commit index.
#[test]
fn random_messages_never_panic() {
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
            assert!(
                harness.replica.commit_index() >= commit,
                "seed {seed}: the commit index decreased"
            );
            assert!(harness.replica.applied_index() <= harness.replica.commit_index());
            commit = harness.replica.commit_index();
        }
    }
}

/// Returns a random number that is small most of the time.
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
fn a_lease_ends_before_votes_are_granted_despite_clock_drift() {
    let timing = Timing::default();
    let max_lease = timing.lease_duration() * 1000 / (1000 - timing.clock_drift_per_mille);
    let min_refusal = timing.election_timeout * 1000 / (1000 + timing.clock_drift_per_mille);
    assert!(
        max_lease <= min_refusal,
        "the lease lasts {max_lease:?}, but votes are refused for only {min_refusal:?}"
    );
    assert!(timing.lease_duration() > timing.heartbeat_interval * 3);
}
