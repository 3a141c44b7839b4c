//! The state under random commands, and its snapshot under random damage.

mod common;

use common::{Log, NOW, claim, edit, row};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::refusal::Unknown;
use verbenaslip_state::claim::{Claim, Ending, Limits, Release, Settle, Verdict};
use verbenaslip_state::command::{Drain, VoterChange, Voters};
use verbenaslip_state::order::{Order, OrderEnd, Result, Task};
use verbenaslip_state::snapshot::Error;
use verbenaslip_state::{Command, Outcome, State};
use verbenaslip_table::{Change, Key};

/// Generates a command from few keys, bases and numbers, so that commands often conflict.
fn random_command(rng: &mut Pcg64, clock: &mut u64, state: &State) -> Command {
    let at = *clock + rng.random_range(0..2_000) - 1_000;
    *clock += rng.random_range(0..400);
    // Each key has one time of first use, and keys of the last 50 s are used again.
    let first = *clock / 10_000 - rng.random_range(0..5);
    let key = rng.random_range(0..4);
    let issued = first * 10_000 + key * 100;
    let request = Request(u128::from(first * 4 + key));
    let attempt = Attempt { request, number: rng.random_range(1..4) };
    let instance = ["a", "b", "c"][rng.random_range(0..3)];
    let nonce = rng.random_range(0..3);
    let claim = Claim { attempt, nonce, issued, at, ..claim(1, instance, 0) };
    let task = Task::Load("m".into());
    let upstream = ["u", "v"][rng.random_range(0..2)];
    match rng.random_range(0..10) {
        0 | 1 => {
            let base = state.revision().0.saturating_sub(rng.random_range(0..2));
            let id = format!("e{}", rng.random_range(0..500));
            edit(&id, base, instance, &[row("check", rng.random_range(1..4))])
        }
        2..=4 => Command::Claim(claim),
        5 => Command::Settle(Settle {
            attempt,
            nonce,
            by: instance.into(),
            ending: [
                Ending::NotRun,
                Ending::Unknown(Unknown::Deadline),
                Ending::Done { digest: 1, status: 200 },
            ][rng.random_range(0..3)]
            .clone(),
            at,
        }),
        6 => Command::Release(Release { claim, at }),
        7 => Command::Order(Order {
            by: "plan".into(),
            upstream: upstream.into(),
            task,
            lifetime: rng.random_range(0..11_000),
            at,
        }),
        8 => {
            let pending = state.orders().next();
            let fence = pending.map(|pending| pending.fence).unwrap_or_default();
            let by = instance.into();
            let upstream = upstream.into();
            Command::Ordered(OrderEnd { by, fence, upstream, result: Result::Applied, at })
        }
        _ if rng.random() => Command::Drain(Drain { by: "ann".into(), instance: "a".into(), at }),
        _ => Command::Voters(Voters { by: "ann".into(), change: VoterChange::Add("d".into()), at }),
    }
}

/// The holder of a granted claim: attempt number, instance and nonce.
type Run = (u32, String, u64);

/// Tracks, from the outcomes alone, which runs of each key may have been sent to an upstream.
#[derive(Default)]
struct RunTracker {
    runs: BTreeMap<u128, Vec<Run>>,
}

impl RunTracker {
    fn observe(&mut self, command: &Command, outcome: &Outcome) {
        match (command, outcome) {
            (Command::Claim(claim), Outcome::Claim(Verdict::Granted)) => {
                let run = (claim.attempt.number, claim.instance.to_string(), claim.nonce);
                let runs = self.runs.entry(claim.attempt.request.0).or_default();
                if !runs.contains(&run) {
                    runs.push(run);
                }
                assert_eq!(runs.len(), 1, "two runs of {}", claim.attempt.request);
            }
            // The run released the claim, so nothing ran.
            (Command::Settle(settle), Outcome::Closed(_))
                if outcome.accepted() && settle.ending == Ending::NotRun =>
            {
                self.runs.remove(&settle.attempt.request.0);
            }
            (Command::Release(release), Outcome::Closed(_)) if outcome.accepted() => {
                self.runs.remove(&release.claim.attempt.request.0);
            }
            _ => {}
        }
    }
}

/// Guards against two runs of a key, a revision that decreases and diverging voters, under random
/// commands and restarts from a snapshot.
#[test]
fn invariants_hold_under_random_commands() {
    let limit = Limits { retention: 20_000, skew: 2_000, count: 10 };
    for seed in 0..100 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut log = Log { state: State::new(limit), ..Log::default() };
        let mut other = log.clone();
        let mut tracker = RunTracker::default();
        let mut clock = NOW;
        for step in 0..1_000 {
            let command = random_command(&mut rng, &mut clock, &log.state);
            let (revision, time) = (log.state.revision(), log.state.clock());
            let outcome = log.apply(&command);
            tracker.observe(&command, &outcome);
            assert_eq!(other.apply(&command), outcome, "seed {seed}, step {step}");
            assert!(log.state.revision() >= revision && log.state.clock() >= time);
            assert!(log.state.claims() <= 10);
            if rng.random_range(0..50) == 0 {
                let restored = State::restore(&log.state.snapshot()).expect("snapshot is valid");
                assert_eq!(restored, other.state, "seed {seed}, step {step}");
                log.state = restored;
            }
        }
        let runs: usize = tracker.runs.values().map(Vec::len).sum();
        assert!(runs > 0, "seed {seed} granted nothing");
    }
}

fn snapshot() -> Vec<u8> {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut log = Log::default();
    let mut clock = NOW;
    for _ in 0..200 {
        let command = random_command(&mut rng, &mut clock, &log.state);
        log.apply(&command);
    }
    log.state.snapshot()
}

fn runner() -> TestRunner {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Returns a snapshot with a valid checksum, so that the checks after the checksum are reached.
fn with_checksum(body: &[u8]) -> Vec<u8> {
    let sum = verbenaslip_base::hash::narrow(&[body]).to_le_bytes();
    [b"VSTA".as_slice(), &1_u16.to_le_bytes(), &sum, body].concat()
}

/// Guards against a voter that crashes or restores a wrong state because a snapshot was damaged on
/// disk or in transit.
#[test]
fn a_damaged_snapshot_is_an_error() {
    let intact = snapshot();
    assert!(State::restore(&intact).is_ok());
    let at = any::<prop::sample::Index>();
    let flip = (at.clone(), 1_u8..).prop_map(|(at, bits)| {
        let mut bytes = snapshot();
        let at = at.index(bytes.len());
        bytes[at] ^= bits;
        bytes
    });
    let cut = at.prop_map(|at| {
        let mut bytes = snapshot();
        bytes.truncate(at.index(bytes.len()));
        bytes
    });
    let random_bytes = proptest::collection::vec(any::<u8>(), 0..300);
    let check = |bytes: Vec<u8>| {
        prop_assert!(State::restore(&bytes).is_err());
        Ok(())
    };
    runner().run(&prop_oneof![flip, cut, random_bytes], check).expect("damage is detected");
    assert_eq!(State::restore(&[intact.as_slice(), &[0]].concat()), Err(Error::Damaged));
}

#[test]
fn no_bytes_with_a_valid_checksum_make_restoring_panic() {
    let body = snapshot()[14..].to_vec();
    let flip = (any::<prop::sample::Index>(), any::<u8>()).prop_map(move |(at, byte)| {
        let mut body = body.clone();
        let at = at.index(body.len());
        body[at] = byte;
        body
    });
    let random_bytes = proptest::collection::vec(any::<u8>(), 0..300);
    let check = |body: Vec<u8>| {
        if let Ok(mut state) = State::restore(&with_checksum(&body)) {
            let index = state.position().index.saturating_add(1);
            let position = Fence { term: state.position().term, index };
            let _ = state.apply(position, &Command::Claim(claim(1, "a", 1)));
            prop_assert_eq!(State::restore(&state.snapshot()), Ok(state));
        }
        Ok(())
    };
    runner().run(&prop_oneof![flip, random_bytes], check).expect("any body is read or refused");
}

#[test]
fn errors_tell_why_a_snapshot_is_refused() {
    let mut newer = snapshot();
    newer[4] = 9;
    let mut damaged = snapshot();
    damaged[20] ^= 1;
    let all = [Vec::new(), newer, damaged, with_checksum(b"")];
    let messages = all.map(|bytes| match State::restore(&bytes) {
        Ok(_) => "restored".to_owned(),
        Err(error) => error.to_string(),
    });
    insta::assert_snapshot!(messages.join("\n"), @r#"
    state snapshot: wrong magic bytes; check which file or peer it came from
    state snapshot: version 9 is not supported; upgrade this instance
    state snapshot: it is damaged; fetch it again from another voter
    state snapshot: it is damaged; fetch it again from another voter
    "#);
}

#[test]
fn every_command_leaves_an_entry() {
    let mut log = Log { term: 3, ..Log::default() };
    let order = Order {
        by: "plan".into(),
        upstream: "gpu-1".into(),
        task: Task::Load("m".into()),
        lifetime: 5_000,
        at: NOW,
    };
    let ordered = OrderEnd {
        by: "a".into(),
        fence: Fence { term: 3, index: 4 },
        upstream: "gpu-1".into(),
        result: Result::Applied,
        at: NOW,
    };
    let voter_change = VoterChange::Replace { old: "b".into(), new: "d".into() };
    let commands = [
        edit("e1", 0, "ann", &[row("check", 1)]),
        edit("e2", 0, "bo", &[row("check", 2)]),
        Command::Claim(claim(1, "a", 1)),
        Command::Order(order.clone()),
        Command::Order(Order { task: Task::Unload("m".into()), ..order }),
        Command::Ordered(ordered.clone()),
        Command::Ordered(ordered),
        Command::Drain(Drain { by: "ann".into(), instance: "c".into(), at: NOW }),
        Command::Voters(Voters { by: "ann".into(), change: voter_change, at: NOW }),
    ];
    for command in &commands {
        log.apply(command);
    }
    let page = log.state.audit(0, 5);
    assert_eq!(page.next, 6);
    let rest = log.state.audit(page.next, 100);
    let entries = page.entries.iter().chain(&rest.entries);
    let lines: Vec<String> = entries.map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    1 1800000000000 ann: edit e1 of agents/check from revision 0; accepted: accepted as revision 1
    2 1800000000000 bo: edit e2 of agents/check from revision 0; refused: stale: revision 1 is the newest, by ann; changed since: agents/check
    3 1800000000000 a: claim 00000000000000000000000000000007 1; accepted: granted
    4 1800000000000 plan: order gpu-1 to load m; accepted: numbered 3.4
    5 1800000000000 plan: order gpu-1 to unload m; refused: order 3.4 has not ended
    6 1800000000000 a: order 3.4 to gpu-1 ended: applied; accepted: noted
    7 1800000000000 a: order 3.4 to gpu-1 ended: applied; refused: no such order is waiting for its end
    8 1800000000000 ann: drain c; accepted: noted
    9 1800000000000 ann: replace voter b by d; accepted: noted
    "#);
    assert_eq!(log.state.audit(rest.next, 100).entries, []);
    let history: Vec<_> = log.state.history().map(|entry| entry.by.to_string()).collect();
    assert_eq!(history, ["ann"]);
}

/// Guards against a command with a name of one megabyte that occupies memory for as long as the
/// history is kept. Names must be checked in every command, not just in rows that are put.
#[test]
fn overlong_names_are_refused() {
    let long = "x".repeat(1 << 20);
    let removed = Key { team: long.as_str().into(), class: "*".into() };
    let operator = || verbenaslip_base::name::Operator::from(long.as_str());
    let order = Order {
        by: "plan".into(),
        upstream: "u".into(),
        task: Task::Unload(long.as_str().into()),
        lifetime: 1,
        at: NOW,
    };
    let voter_change = VoterChange::Remove(long.as_str().into());
    let commands = [
        (edit("e", 0, "ann", &[Change::Remove(removed)]), "team"),
        (edit("e", 0, &long, &[row("check", 1)]), "operator"),
        (Command::Claim(claim(1, &long, 1)), "instance"),
        (Command::Order(order), "model"),
        (Command::Drain(Drain { by: operator(), instance: "a".into(), at: NOW }), "operator"),
        (Command::Voters(Voters { by: "ann".into(), change: voter_change, at: NOW }), "instance"),
    ];
    let mut log = Log::default();
    for (command, what) in commands {
        assert_eq!(log.apply_to_text(&command), format!("the {what} is longer than 128 bytes"));
    }
    assert!(log.state.snapshot().len() < 100);
}

/// Guards against unbounded memory after thousands of edits, claims and drains: the history, the
/// answers and the audit trail must all be bounded.
#[test]
fn stored_data_is_bounded() {
    let mut log = Log::default();
    for number in 0..5_000_u64 {
        let id = format!("e{number}");
        let weight = u32::try_from(number % 2).expect("small") + 1;
        log.apply(&edit(&id, number, "ann", &[row("check", weight)]));
    }
    assert_eq!(log.state.revision().0, 5_000);
    assert_eq!(log.state.history().count(), 4_096);
    let first = log.state.audit(0, usize::MAX);
    assert_eq!(first.entries.len(), 256);
    assert_eq!(first.entries[0].number, 905);
    let stale = log.apply_to_text(&edit("e0", 0, "ann", &[row("check", 1)]));
    assert!(stale.ends_with("changed since: agents/check and maybe more"), "{stale}");
}
