//! Which requests are found to end upstreams, by what entries tell of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::{
    Answer, Cause, Crash, Finding, PersistedState, Quarantine, QuarantinePolicy,
};
use verbenaslip_fleet::registry::Run;

const SECOND: Duration = Duration::from_secs(1);
/// How long after it has begun to run a bad request an upstream ends.
const CRASH: u64 = 80;
/// The agreed time of day at the start, in Unix milliseconds.
const EPOCH: u64 = 1_800_000_000_000;

/// Plays a leader to whom entries tell things as they happen.
struct Leader {
    quarantine: Quarantine,
    now: Duration,
    findings: Vec<Finding>,
    entries: Vec<SocketAddr>,
}

impl Leader {
    fn open(rule: QuarantinePolicy) -> Self {
        let quarantine = Quarantine::new(rule, &PersistedState::default(), &Default::default());
        let entries = (1..=3).map(|host| ([10, 2, 0, host], 7_000).into()).collect();
        Self { quarantine, now: SECOND, findings: Vec::new(), entries }
    }

    fn unix(&self) -> u64 {
        EPOCH + u64::try_from(self.now.as_millis()).expect("small")
    }

    fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(100).min(until - self.now);
            let (now, unix) = (self.now, self.unix());
            self.quarantine.tick(now, unix, &self.entries);
            self.findings.extend(self.quarantine.take_findings().0);
        }
    }

    /// Has an upstream end now, with what it was sent so long ago.
    fn crash(&mut self, upstream: u32, requests: &[(Fingerprint, u64)]) {
        for (fingerprint, sent) in requests {
            let crash = Crash {
                fingerprint: *fingerprint,
                run: run(upstream),
                sent_ms_ago: *sent,
                ended_ms_ago: 0,
            };
            let (now, unix) = (self.now, self.unix());
            self.quarantine.handle_crash(now, unix, &crash);
        }
        self.findings.extend(self.quarantine.take_findings().0);
    }

    fn answer(&mut self, fingerprint: Fingerprint) {
        let (now, unix) = (self.now, self.unix());
        self.quarantine.handle_answer(now, unix, &Answer { fingerprint, ms_ago: 0 });
        self.findings.extend(self.quarantine.take_findings().0);
    }

    /// Has a request end one upstream after the other, until it is held back.
    fn find(&mut self, fingerprint: Fingerprint, from: u32) {
        for upstream in from..from + 3 {
            self.wait(Duration::from_millis(CRASH));
            self.crash(upstream, &[(fingerprint, CRASH)]);
        }
        self.wait(SECOND);
        assert!(self.holds(fingerprint), "{:?}", self.findings);
    }

    fn holds(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.blocklist().quarantined.contains_key(&fingerprint)
    }

    fn cleared(&self, fingerprint: Fingerprint) -> Option<Cause> {
        self.findings.iter().rev().find_map(|finding| match finding {
            Finding::Cleared { fingerprint: it, cause } if *it == fingerprint => Some(*cause),
            _ => None,
        })
    }
}

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of(7, "red", "h", "/safe/x", name.as_bytes())
}

fn run(number: u32) -> Run {
    Run { upstream: Upstream::new(format!("i-{number}")), incarnation: 0 }
}

#[test]
fn a_request_under_which_three_upstreams_end_one_after_the_other_is_held_back() {
    let mut leader = Leader::open(QuarantinePolicy::default());
    let bad = fingerprint("bad");
    for upstream in 1..=3 {
        assert!(!leader.holds(bad));
        leader.wait(SECOND / 2);
        leader.crash(upstream, &[(bad, CRASH)]);
    }
    leader.wait(SECOND / 2);
    assert!(leader.holds(bad));
    let held = leader.findings.iter().find_map(|finding| match finding {
        Finding::Quarantined { runs, .. } => Some(runs.clone()),
        _ => None,
    });
    assert_eq!(held, Some(vec![run(1), run(2), run(3)]), "with the evidence");
}

#[test]
fn one_that_comes_every_few_minutes_is_found_as_well() {
    let mut leader = Leader::open(QuarantinePolicy::default());
    let bad = fingerprint("bad");
    for upstream in 1..=3 {
        leader.wait(SECOND * 120);
        leader.crash(upstream, &[(bad, CRASH)]);
    }
    leader.wait(SECOND / 2);
    assert!(leader.holds(bad));
}

#[test]
fn upstreams_that_end_at_one_moment_are_no_sign_against_what_ran_on_them() {
    // Symptom, if each counted: after a zone has lost power, what all callers ask for is refused. Sequence: it
    // runs on eight upstreams of the zone when all of them end.
    let mut leader = Leader::open(QuarantinePolicy::default());
    let popular = fingerprint("popular");
    for upstream in 1..=8 {
        leader.crash(upstream, &[(popular, 100)]);
    }
    leader.wait(SECOND);
    assert!(leader.quarantine.blocklist().watched.is_empty());
    assert!(!leader.holds(popular));
}

#[test]
fn a_popular_request_is_cleared_by_its_answers_however_many_upstreams_end() {
    // The upstreams end one after the other for reasons of their own, each with the popular request on it.
    // Answers to it come all the time; entries tell of them as long as it is watched.
    let mut leader = Leader::open(QuarantinePolicy::default());
    let popular = fingerprint("popular");
    let (mut refused, mut asked) = (0, 0);
    for upstream in 0..100 {
        for _ in 0..8 {
            leader.wait(Duration::from_millis(30));
            asked += 1;
            refused += u32::from(leader.holds(popular));
            if leader.quarantine.blocklist().watched.contains(&popular) {
                leader.answer(popular);
            }
        }
        leader.crash(upstream, &[(popular, 25)]);
    }
    assert_eq!((refused, asked), (0, 800));
    assert_eq!(leader.cleared(popular), Some(Cause::Answered));
}

#[test]
fn three_ends_within_a_moment_wait_for_the_word_of_an_answer() {
    // Symptom, if they did not: what all callers ask for is refused for a moment, at all entries, when upstreams
    // end quickly one after the other. Sequence: three end within 60 ms; entries hear that it is suspected, and
    // the next answer comes 100 ms later.
    let mut leader = Leader::open(QuarantinePolicy::default());
    let popular = fingerprint("popular");
    for upstream in 1..=3 {
        leader.wait(Duration::from_millis(30));
        leader.crash(upstream, &[(popular, 25)]);
    }
    leader.wait(Duration::from_millis(100));
    leader.answer(popular);
    leader.wait(SECOND);
    let held = |it: &Finding| matches!(it, Finding::Quarantined { .. });
    assert!(!leader.findings.iter().any(held), "{:?}", leader.findings);
}

#[test]
fn what_ran_beside_a_bad_request_is_cleared_when_that_is_found() {
    let mut leader = Leader::open(QuarantinePolicy::default());
    let (bad, beside) = (fingerprint("bad"), fingerprint("beside"));
    // The other one is sent again each time, and happens to run on two of the upstreams that end.
    for upstream in 1..=3 {
        leader.wait(SECOND / 4);
        let both = [(beside, CRASH), (bad, CRASH)];
        leader.crash(upstream, if upstream == 1 { &both[1..] } else { &both });
    }
    leader.wait(SECOND / 2);
    assert!(leader.holds(bad) && !leader.holds(beside));
    assert_eq!(leader.cleared(beside), Some(Cause::Explained));
    // What is still on its way goes on ending upstreams.
    for upstream in 4..=7 {
        leader.wait(SECOND / 4);
        leader.crash(upstream, &[(bad, CRASH), (beside, CRASH)]);
    }
    leader.wait(SECOND);
    assert!(!leader.holds(beside), "an upstream that ends under what is held back says nothing");
    assert_eq!(
        leader.quarantine.blocklist().quarantined[&bad].failed_trials,
        0,
        "nor was it let through yet"
    );
}

#[test]
fn one_that_was_taken_for_bad_is_let_go_when_another_explains_all_of_it() {
    let mut leader = Leader::open(QuarantinePolicy::default());
    let (bad, unlucky) = (fingerprint("bad"), fingerprint("unlucky"));
    for upstream in 1..=3 {
        leader.wait(SECOND / 4);
        leader.crash(upstream, &[(unlucky, CRASH), (bad, CRASH)]);
    }
    leader.wait(SECOND / 2);
    assert!(leader.holds(bad) || leader.holds(unlucky));
    // Both ran on all three. The bad one, if it is still sent, goes on ending upstreams alone.
    for upstream in 4..=8 {
        leader.wait(SECOND / 4);
        if !leader.holds(bad) {
            leader.crash(upstream, &[(bad, CRASH)]);
        }
    }
    leader.wait(SECOND);
    assert!(leader.holds(bad) && !leader.holds(unlucky), "{:?}", leader.findings);
}

#[test]
fn a_flood_of_requests_that_break_off_pushes_no_finding_out() {
    // A third of 3,000 upstreams end at once with 16 requests on each, twice, and each request is another one.
    let mut leader = Leader::open(QuarantinePolicy::default());
    let (found, close) = (fingerprint("found"), fingerprint("close"));
    leader.find(found, 1);
    for upstream in 11..=12 {
        leader.wait(SECOND / 2);
        leader.crash(upstream, &[(close, CRASH)]);
    }
    for flood in 0..2_000_u32 {
        let requests: Vec<(Fingerprint, u64)> =
            (0..16).map(|it| (fingerprint(&format!("{flood}-{it}")), 50)).collect();
        leader.crash(100 + flood, &requests);
    }
    leader.wait(SECOND / 2);
    assert!(leader.holds(found));
    leader.crash(13, &[(close, CRASH)]);
    leader.wait(SECOND / 2);
    assert!(leader.holds(close), "its third upstream");
    assert!(leader.quarantine.blocklist().watched.len() <= 256);
}

#[test]
fn one_entry_lets_one_through_after_the_time_and_ever_less_often() {
    let hold = SECOND * 60;
    let mut leader =
        Leader::open(QuarantinePolicy { hold_time: hold, ..QuarantinePolicy::default() });
    let bad = fingerprint("bad");
    leader.find(bad, 1);
    let chosen = |leader: &Leader| leader.quarantine.blocklist().quarantined[&bad].trial_entry;
    leader.wait(hold / 2);
    assert_eq!(chosen(&leader), None);
    for (tries, wait) in [(1, hold), (2, hold * 6), (3, hold * 36)] {
        leader.wait(wait);
        let entry = chosen(&leader);
        assert!(entry.is_some_and(|it| leader.entries.contains(&it)), "one entry, not all");
        leader.wait(SECOND * 40);
        assert_ne!(chosen(&leader), entry, "where none came to that one, another one");
        leader.crash(100 + tries, &[(bad, CRASH)]);
        leader.wait(SECOND);
        assert_eq!(chosen(&leader), None);
        assert_eq!(u32::from(leader.quarantine.blocklist().quarantined[&bad].failed_trials), tries);
    }
    leader.wait(hold * 1_000);
    assert_eq!(chosen(&leader), None, "after three only an operator lets it through");
}

#[test]
fn one_that_upstreams_survive_by_now_is_let_through_for_good() {
    let hold = SECOND * 60;
    let mut leader =
        Leader::open(QuarantinePolicy { hold_time: hold, ..QuarantinePolicy::default() });
    let bad = fingerprint("bad");
    leader.find(bad, 1);
    leader.wait(hold + SECOND);
    leader.answer(bad);
    assert!(!leader.holds(bad));
    assert_eq!(leader.cleared(bad), Some(Cause::Answered));
    assert!(leader.quarantine.persisted(7).quarantined.is_empty());
}

#[test]
fn the_next_leader_begins_with_what_is_held_back_though_the_log_lacks_it() {
    // The leader is lost in the moment in which entries know of a finding and the log does not.
    let mut leader = Leader::open(QuarantinePolicy::default());
    let bad = fingerprint("bad");
    leader.find(bad, 1);
    let blocklist = leader.quarantine.blocklist().clone();
    let next = Quarantine::new(QuarantinePolicy::default(), &PersistedState::default(), &blocklist);
    assert!(next.blocklist().quarantined.contains_key(&bad));
    assert!(next.persisted(7).quarantined.contains_key(&bad), "and has the log hold it");
}

#[test]
fn an_answer_from_before_it_was_found_clears_nothing() {
    // Symptom: a request that was fine until a new version of the service came is let through over and over.
    // Sequence: it is held back; an entry that has just started to watch tells of an answer from before.
    let mut leader = Leader::open(QuarantinePolicy::default());
    let bad = fingerprint("bad");
    leader.find(bad, 1);
    let before = Answer { fingerprint: bad, ms_ago: 30_000 };
    let (now, unix) = (leader.now, leader.unix());
    leader.quarantine.handle_answer(now, unix, &before);
    leader.wait(SECOND);
    assert!(leader.holds(bad));
    let (kept, blocklist) = (leader.quarantine.persisted(7), leader.quarantine.blocklist().clone());
    leader.quarantine = Quarantine::new(QuarantinePolicy::default(), &kept, &blocklist);
    leader.quarantine.handle_answer(now, unix, &before);
    leader.wait(SECOND);
    assert!(leader.holds(bad), "neither at a leader that knows no evidence");
}

#[test]
fn operators_lift_and_forbid_single_requests() {
    let mut leader = Leader::open(QuarantinePolicy::default());
    let (bad, other) = (fingerprint("bad"), fingerprint("other"));
    leader.find(bad, 1);
    let lifted = BTreeSet::from([bad]);
    leader.quarantine.set_policy(QuarantinePolicy { lifted, ..QuarantinePolicy::default() });
    leader.wait(SECOND);
    assert!(!leader.holds(bad));
    assert_eq!(leader.cleared(bad), Some(Cause::Lifted));
    for upstream in 11..=16 {
        leader.wait(SECOND);
        leader.crash(upstream, &[(bad, CRASH)]);
    }
    assert!(!leader.holds(bad));
    let forbidden = BTreeSet::from([other]);
    leader.quarantine.set_policy(QuarantinePolicy { forbidden, ..QuarantinePolicy::default() });
    leader.wait(SECOND);
    leader.answer(other);
    assert!(leader.holds(other), "whatever became of it");
    leader.quarantine.set_policy(QuarantinePolicy::default());
    leader.wait(SECOND);
    assert!(!leader.holds(other), "until it is forbidden no more");
}

#[test]
fn the_order_in_which_entries_tell_does_not_matter() {
    // A new leader hears of the last minute from one entry after the other.
    let bad = fingerprint("bad");
    let crashes: Vec<Crash> = (0..6)
        .map(|it| {
            let ended = 3_000 - u64::from(it) * 400;
            Crash {
                fingerprint: bad,
                run: run(it),
                sent_ms_ago: ended + CRASH,
                ended_ms_ago: ended,
            }
        })
        .collect();
    for order in [[0, 2, 4, 1, 3, 5], [5, 4, 3, 2, 1, 0], [1, 3, 5, 0, 2, 4]] {
        let mut leader = Leader::open(QuarantinePolicy::default());
        for index in order {
            let (now, unix) = (leader.now, leader.unix());
            leader.quarantine.handle_crash(now, unix, &crashes[index]);
        }
        leader.wait(SECOND / 2);
        assert!(leader.holds(bad), "{order:?}");
    }
}
