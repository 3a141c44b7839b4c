//! Claims of non-idempotent requests: crashes, resends, clock differences and expiry.

mod common;

use common::{Log, NOW, claim, release, settle};
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::refusal::Unknown;
use verbenaslip_state::claim::{Claim, Ending, Limits};
use verbenaslip_state::{Command, State};

const HOUR: u64 = 60 * 60 * 1_000;
const MINUTE: u64 = 60 * 1_000;

/// The case's name, and each command with its expected answer.
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

/// Returns the claim of the first attempt by instance a.
fn first_claim() -> Command {
    Command::Claim(claim(1, "a", 11))
}

fn done() -> Ending {
    Ending::Done { digest: 5, status: 200 }
}

/// Returns a claim with the given time of first use and time of proposal, in Unix milliseconds.
fn claim_at(issued: u64, at: u64) -> Command {
    Command::Claim(Claim { issued, at, nonce: at, ..claim(1, "b", 0) })
}

#[test]
fn one_run_at_every_crash_point() {
    let unknown = Ending::Unknown(Unknown::InstanceLost);
    run(&[
        // Guards against refusing a holder its own claim: the claim was granted, the answer was
        // lost and the claim is resent.
        ("lost answer", vec![(first_claim(), "granted"), (first_claim(), "granted")]),
        // Guards against a second run: the caller sends a granted request again through another
        // instance.
        (
            "two instances",
            vec![
                (first_claim(), "granted"),
                (Command::Claim(claim(1 << 16, "b", 22)), "held by attempt 1 of a"),
            ],
        ),
        // Guards against a second run: after the request was sent, the instance restarts with empty
        // memory and counts attempts from 1 again, and the caller resends to it. Attempt number and
        // instance alone do not distinguish the two claims.
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
        // Guards against a second run after the answer: the caller's connection broke, and the
        // caller asks again. The claim must outlive the run.
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
        // Guards against refusing a request for an hour although it never ran: the upstream reports
        // that it did not run, so the claim must be freed.
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
        // Guards against a key that no instance holds: a copy of a freed claim arrives late and
        // must not count as a new claim.
        (
            "late copy of a freed claim",
            vec![
                (first_claim(), "granted"),
                (settle(1, 11, Ending::NotRun), "freed"),
                (first_claim(), "given up before, up to attempt 1"),
                (Command::Claim(claim(2, "a", 12)), "granted"),
            ],
        ),
        // Guards against a key that is held or run after its caller was told "not run": the claim's
        // answer is late, the instance releases the claim, and the claim arrives after the release.
        (
            "release before the claim",
            vec![
                (release(claim(1, "a", 11)), "freed"),
                (first_claim(), "given up before, up to attempt 1"),
                (Command::Claim(claim(2, "b", 22)), "granted"),
                (release(claim(1, "a", 11)), "another attempt holds the claim"),
            ],
        ),
        // Guards against losing a run and making it again: a late release of another instance names
        // the same attempt number, so the number alone is not enough.
        (
            "release by another",
            vec![
                (first_claim(), "granted"),
                (release(claim(1, "b", 11)), "another attempt holds the claim"),
                (release(claim(2, "b", 22)), "another attempt holds the claim"),
                (release(claim(1, "a", 11)), "freed"),
            ],
        ),
        // Guards against a caller that gets the answer to another request: the same key is used
        // with a different body.
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
        // Guards against a second run of an old key: the request is resent after its claim was
        // dropped, and must not count as new.
        (
            "resend after the retention",
            vec![
                (claim_at(NOW, NOW), "granted"),
                (claim_at(NOW, NOW + HOUR + MINUTE), "held by attempt 1 of b"),
                (claim_at(NOW, NOW + HOUR + MINUTE + 1), "the key is older than the retention"),
            ],
        ),
        // Guards against a second run of an old key: the claim is dropped by the clock of a fast
        // instance, and the resend comes through a slow one whose time is lower.
        (
            "slow instance after a fast one",
            vec![
                (claim_at(NOW, NOW), "granted"),
                (claim_at(NOW, NOW + 2 * HOUR), "the key is older than the retention"),
                (claim_at(NOW, NOW), "the key is older than the retention"),
            ],
        ),
        // Guards against a second run: a resend names a later first use, the claim is dropped by
        // the earlier one, and another resend is not expired by the later one.
        (
            "later first use",
            vec![
                (claim_at(NOW, NOW), "granted"),
                (claim_at(NOW + HOUR / 2, NOW + HOUR / 2), "held by attempt 1 of b"),
                (claim_at(NOW + HOUR / 2, NOW + HOUR + HOUR / 4), "held by attempt 1 of b"),
            ],
        ),
        // Guards against a claim that is kept for days or runs twice because a caller's clock is
        // ahead and the first use lies in the future.
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

/// Guards against unbounded memory, and against a second run of a key whose claim was evicted:
/// there are more keys than fit, most of them from one team.
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
    assert_eq!(
        log.apply_to_text(&Command::Claim(later_claim)),
        "granted",
        "expired claims make room"
    );
    assert_eq!(log.state.claims(), 1);
}

/// Guards against refusing every key as expired: one instance's clock is a year ahead, its command
/// is committed, and the state's clock never goes backward.
#[test]
fn the_leader_rejects_wrong_clocks() {
    let command = claim_at(NOW, NOW + MINUTE);
    assert!(command.has_valid_time(NOW));
    assert!(!command.has_valid_time(NOW - 1));
    assert!(!command.has_valid_time(NOW + 2 * MINUTE + 1));
}

/// Guards against granting a claim twice: a restarted voter applies commands that its snapshot
/// already contains, so positions must be compared.
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
