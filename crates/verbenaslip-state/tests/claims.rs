//! Claims of non-idempotent requests at every crash point, under resends, skewed clocks and age.

mod common;

use common::{Log, NOW, claim, release, settle};
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::refusal::Unknown;
use verbenaslip_state::claim::{Claim, Ending, Limits};
use verbenaslip_state::{Command, State};

const HOUR: u64 = 60 * 60 * 1_000;
const MINUTE: u64 = 60 * 1_000;

/// A name, and each command with what it is answered.
type Case = (&'static str, Vec<(Command, &'static str)>);

fn run(cases: &[Case]) {
    for (case, steps) in cases {
        let mut log = Log::default();
        for (number, (command, expected)) in steps.iter().enumerate() {
            assert_eq!(log.apply_to_text(command), *expected, "{case}, step {number}");
            let restored = State::restore(&log.state.snapshot());
            assert_eq!(restored.as_ref(), Ok(&log.state), "{case}, step {number}");
        }
    }
}

/// The claim of the first attempt by instance a.
fn first_claim() -> Command {
    Command::Claim(claim(1, "a", 11))
}

fn done() -> Ending {
    Ending::Done { digest: 5, status: 200 }
}

/// Returns a claim of another time.
fn claim_at(issued: u64, at: u64) -> Command {
    Command::Claim(Claim { issued, at, nonce: at, ..claim(1, "b", 0) })
}

#[test]
fn one_run_at_every_crash_point() {
    let unknown = Ending::Unknown(Unknown::InstanceLost);
    run(&[
        // Symptom: a claim's holder never runs it. Sequence: granted, answer lost, sent again.
        // Cause: the holder is refused its own claim.
        ("lost answer", vec![(first_claim(), "granted"), (first_claim(), "granted")]),
        // Symptom: a second run. Sequence: granted, the caller comes back through another
        // instance. Cause: each instance decides alone.
        (
            "two instances",
            vec![
                (first_claim(), "granted"),
                (Command::Claim(claim(1 << 16, "b", 22)), "held by attempt 1 of a"),
            ],
        ),
        // Symptom: a second run. Sequence: granted and sent, the instance dies and restarts with
        // nothing in memory, the caller comes back to it. Cause: the claim is told by attempt and
        // instance alone, and a restarted instance counts from 1 again.
        (
            "restarted holder",
            vec![
                (first_claim(), "granted"),
                (Command::Claim(claim(1, "a", 12)), "held by attempt 1 of a"),
                (settle(1, 12, Ending::NotRun), "another attempt holds the claim"),
                (settle(1, 12, unknown.clone()), "kept"),
                (Command::Claim(claim(2, "a", 13)), "settled by attempt 1"),
            ],
        ),
        // Symptom: a second run after the answer. Sequence: done, and the caller, whose connection
        // broke, asks again. Cause: the claim ends with the run.
        (
            "resend after the end",
            vec![
                (first_claim(), "granted"),
                (settle(1, 11, done()), "kept"),
                (settle(1, 11, done()), "kept"),
                (settle(1, 11, Ending::NotRun), "another ending is kept"),
                (settle(1, 11, unknown.clone()), "another ending is kept"),
                (Command::Claim(claim(2, "b", 22)), "settled by attempt 1"),
            ],
        ),
        // Symptom: a request is refused for an hour though it never ran. Sequence: the upstream
        // says that it did not run. Cause: the claim stays.
        (
            "not run",
            vec![
                (first_claim(), "granted"),
                (settle(1, 11, Ending::NotRun), "freed"),
                (settle(1, 11, Ending::NotRun), "freed"),
                (Command::Claim(claim(2, "b", 22)), "granted"),
                (settle(1, 11, done()), "another attempt holds the claim"),
                (settle(1, 11, Ending::NotRun), "another attempt holds the claim"),
                (settle(2, 22, done()), "kept"),
            ],
        ),
    ]);
}

#[test]
fn late_messages_cause_no_second_run() {
    run(&[
        // Symptom: a key is held by nobody. Sequence: a claim is freed, then a copy of it comes
        // late. Cause: the copy counts as new.
        (
            "late copy of a freed claim",
            vec![
                (first_claim(), "granted"),
                (settle(1, 11, Ending::NotRun), "freed"),
                (first_claim(), "given up before, up to attempt 1"),
                (Command::Claim(claim(2, "a", 12)), "granted"),
            ],
        ),
        // Symptom: a caller was told "not run", and the key is held or run later. Sequence: the
        // claim's answer does not come in time, the instance gives up and releases, and the claim
        // comes after the release. Cause: the release leaves no trace.
        (
            "release before the claim",
            vec![
                (release(claim(1, "a", 11)), "freed"),
                (first_claim(), "given up before, up to attempt 1"),
                (Command::Claim(claim(2, "b", 22)), "granted"),
                (release(claim(1, "a", 11)), "another attempt holds the claim"),
            ],
        ),
        // Symptom: a run is lost from memory and made again. Sequence: another instance's late
        // release names the same attempt number. Cause: the number alone is compared.
        (
            "release by another",
            vec![
                (first_claim(), "granted"),
                (release(claim(1, "b", 11)), "another attempt holds the claim"),
                (release(claim(2, "b", 22)), "another attempt holds the claim"),
                (release(claim(1, "a", 11)), "freed"),
            ],
        ),
        // Symptom: a caller gets the answer to another request. Sequence: the same key with another
        // body. Cause: the key alone is compared.
        (
            "other body",
            vec![
                (first_claim(), "granted"),
                (
                    Command::Claim(Claim { body: 2, ..claim(1, "a", 11) }),
                    "the key belongs to another body",
                ),
            ],
        ),
        ("no claim", vec![(settle(1, 11, done()), "no such claim")]),
    ]);
}

#[test]
fn an_expired_key_is_never_new() {
    run(&[
        // Symptom: an old key runs a second time. Sequence: a resend after its claim is forgotten.
        // Cause: a key without a claim counts as new.
        (
            "resend after the retention",
            vec![
                (claim_at(NOW, NOW), "granted"),
                (claim_at(NOW, NOW + HOUR + MINUTE), "held by attempt 1 of b"),
                (claim_at(NOW, NOW + HOUR + MINUTE + 1), "the key is older than the retention"),
            ],
        ),
        // Symptom: an old key runs a second time. Sequence: the claim is forgotten by the clock of
        // a fast instance, and the resend comes through a slow one. Cause: each command is judged
        // by its own time, which falls.
        (
            "slow instance after a fast one",
            vec![
                (claim_at(NOW, NOW), "granted"),
                (claim_at(NOW, NOW + 2 * HOUR), "the key is older than the retention"),
                (claim_at(NOW, NOW), "the key is older than the retention"),
            ],
        ),
        // Symptom: a key runs a second time. Sequence: a resend names a later first use, the claim
        // is forgotten by the earlier one, and a resend comes that is not expired by the later one.
        // Cause: the claim keeps the time of the first copy.
        (
            "later first use",
            vec![
                (claim_at(NOW, NOW), "granted"),
                (claim_at(NOW + HOUR / 2, NOW + HOUR / 2), "held by attempt 1 of b"),
                (claim_at(NOW + HOUR / 2, NOW + HOUR + HOUR / 4), "held by attempt 1 of b"),
            ],
        ),
        // Symptom: a claim stays for days, or runs twice. Sequence: a caller's clock is ahead.
        // Cause: a first use in the future is taken as it is.
        (
            "first use ahead",
            vec![
                (claim_at(NOW, NOW), "granted"),
                (
                    claim_at(NOW + MINUTE + 1, NOW),
                    "the key's first use lies in the future; check the clocks",
                ),
                (claim_at(NOW + MINUTE, NOW + 1), "held by attempt 1 of b"),
            ],
        ),
    ]);
}

/// Symptom: memory grows, or a key runs twice because its claim made room for another's. Sequence:
/// more keys than fit, most of one team. Cause: no bound, or one that evicts.
#[test]
fn refuses_beyond_its_bound_and_evicts_nothing() {
    let mut log =
        Log { state: State::new(Limits { count: 8, ..Limits::default() }), ..Log::default() };
    let claim_for = |key: u128, team: &str| {
        let attempt = Attempt { request: Request(key), number: 1 };
        Command::Claim(Claim { attempt, team: team.into(), ..claim(1, "a", 1) })
    };
    let outcomes: Vec<String> =
        (0..6).map(|key| log.apply_to_text(&claim_for(key, "agents"))).collect();
    let full = "no room for another claim";
    assert_eq!(outcomes, ["granted", "granted", "granted", "granted", full, full]);
    let outcomes: Vec<String> =
        (10..15).map(|key| log.apply_to_text(&claim_for(key, "owners"))).collect();
    assert_eq!(outcomes, ["granted", "granted", "granted", "granted", full]);
    assert_eq!(
        log.apply_to_text(&claim_for(0, "agents")),
        "granted",
        "the first claim is still kept"
    );
    assert_eq!(log.state.claims(), 8);

    let later_claim = Claim { at: NOW + 2 * HOUR, issued: NOW + 2 * HOUR, ..claim(1, "a", 1) };
    assert_eq!(log.apply_to_text(&Command::Claim(later_claim)), "granted", "age makes room");
    assert_eq!(log.state.claims(), 1);
}

/// Symptom: every key is refused as expired. Sequence: one instance's clock is a year ahead and its
/// command is committed. Cause: the state's clock takes any time, and it never falls.
#[test]
fn the_leader_rejects_wrong_clocks() {
    let command = claim_at(NOW, NOW + MINUTE);
    assert!(command.has_valid_time(NOW));
    assert!(!command.has_valid_time(NOW - 1));
    assert!(!command.has_valid_time(NOW + 2 * MINUTE + 1));
}

/// Symptom: a claim is granted to two. Sequence: after a restart a voter applies commands that its
/// snapshot holds already. Cause: positions are not compared.
#[test]
fn a_command_is_applied_once() {
    let mut log = Log { term: 2, ..Log::default() };
    log.apply(&first_claim());
    let before = log.state.clone();
    for position in [Fence { term: 2, index: 1 }, Fence { term: 1, index: 2 }] {
        let outcome = log.state.apply(position, &settle(1, 11, Ending::NotRun));
        assert_eq!(outcome.to_string(), "applied before");
        assert_eq!(log.state, before);
    }
}
