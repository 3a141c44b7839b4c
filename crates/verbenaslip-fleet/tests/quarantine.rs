//! Detection of poison requests from the reports of entries.

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
/// Time after which an upstream that runs a poison request crashes, in milliseconds.
const CRASH_DELAY_MS: u64 = 80;
/// The agreed time of day at the start, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Simulates a leader that receives the reports of entries immediately.
struct Leader {
    quarantine: Quarantine,
    now: Duration,
    findings: Vec<Finding>,
    entries: Vec<SocketAddr>,
}

impl Leader {
    fn new(policy: QuarantinePolicy) -> Self {
        let quarantine = Quarantine::new(policy, &PersistedState::default(), &Default::default());
        let entries = (1..=3).map(|host| ([10, 2, 0, host], 7_000).into()).collect();
        Self { quarantine, now: SECOND, findings: Vec::new(), entries }
    }

    fn unix(&self) -> u64 {
        START_UNIX_MS + u64::try_from(self.now.as_millis()).expect("the time fits")
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(100).min(until - self.now);
            let (now, unix) = (self.now, self.unix());
            self.quarantine.tick(now, unix, &self.entries);
            self.findings.extend(self.quarantine.take_findings().0);
        }
    }

    /// Crashes an upstream now that was sent the requests the given number of milliseconds ago.
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

    /// Has a request crash one upstream after the other, until it is quarantined.
    fn quarantine_by_crashes(&mut self, fingerprint: Fingerprint, from: u32) {
        for upstream in from..from + 3 {
            self.advance(Duration::from_millis(CRASH_DELAY_MS));
            self.crash(upstream, &[(fingerprint, CRASH_DELAY_MS)]);
        }
        self.advance(SECOND);
        assert!(self.is_quarantined(fingerprint), "{:?}", self.findings);
    }

    fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.blocklist().quarantined.contains_key(&fingerprint)
    }

    fn clearing_cause(&self, fingerprint: Fingerprint) -> Option<Cause> {
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
fn three_consecutive_crashes_quarantine_a_request() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    let poison = fingerprint("bad");
    for upstream in 1..=3 {
        assert!(!leader.is_quarantined(poison));
        leader.advance(SECOND / 2);
        leader.crash(upstream, &[(poison, CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND / 2);
    assert!(leader.is_quarantined(poison));
    let runs = leader.findings.iter().find_map(|finding| match finding {
        Finding::Quarantined { runs, .. } => Some(runs.clone()),
        _ => None,
    });
    assert_eq!(runs, Some(vec![run(1), run(2), run(3)]), "the finding names the upstreams");
}

#[test]
fn a_poison_request_every_few_minutes_is_found() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    let poison = fingerprint("bad");
    for upstream in 1..=3 {
        leader.advance(SECOND * 120);
        leader.crash(upstream, &[(poison, CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND / 2);
    assert!(leader.is_quarantined(poison));
}

#[test]
fn simultaneous_crashes_do_not_count_against_a_request() {
    // If each of these crashes counted, a popular request would be refused after a zone has lost
    // power: it runs on eight upstreams of the zone when all of them end.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let popular = fingerprint("popular");
    for upstream in 1..=8 {
        leader.crash(upstream, &[(popular, 100)]);
    }
    leader.advance(SECOND);
    assert!(leader.quarantine.blocklist().watched.is_empty());
    assert!(!leader.is_quarantined(popular));
}

#[test]
fn answers_clear_a_popular_request_despite_many_crashes() {
    // The upstreams end one after the other for other reasons, each while it runs the popular
    // request. The request is answered all the time, and entries report the answers as long as it
    // is watched.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let popular = fingerprint("popular");
    let (mut refused, mut asked) = (0, 0);
    for upstream in 0..100 {
        for _ in 0..8 {
            leader.advance(Duration::from_millis(30));
            asked += 1;
            refused += u32::from(leader.is_quarantined(popular));
            if leader.quarantine.blocklist().watched.contains(&popular) {
                leader.answer(popular);
            }
        }
        leader.crash(upstream, &[(popular, 25)]);
    }
    assert_eq!((refused, asked), (0, 800));
    assert_eq!(leader.clearing_cause(popular), Some(Cause::Answered));
}

#[test]
fn three_crashes_in_quick_succession_wait_for_an_answer() {
    // If they did not wait, a popular request would be refused for a moment at all entries when
    // upstreams end in quick succession: three end within 60 ms, entries learn that the request is
    // suspected, and the next answer comes 100 ms later.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let popular = fingerprint("popular");
    for upstream in 1..=3 {
        leader.advance(Duration::from_millis(30));
        leader.crash(upstream, &[(popular, 25)]);
    }
    leader.advance(Duration::from_millis(100));
    leader.answer(popular);
    leader.advance(SECOND);
    let is_quarantined = |it: &Finding| matches!(it, Finding::Quarantined { .. });
    assert!(!leader.findings.iter().any(is_quarantined), "{:?}", leader.findings);
}

#[test]
fn a_request_beside_a_poison_request_is_cleared_when_that_is_found() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    let (poison, beside) = (fingerprint("bad"), fingerprint("beside"));
    // The other request is sent again each time, and happens to run on two of the upstreams that
    // crash.
    for upstream in 1..=3 {
        leader.advance(SECOND / 4);
        let both = [(beside, CRASH_DELAY_MS), (poison, CRASH_DELAY_MS)];
        leader.crash(upstream, if upstream == 1 { &both[1..] } else { &both });
    }
    leader.advance(SECOND / 2);
    assert!(leader.is_quarantined(poison) && !leader.is_quarantined(beside));
    assert_eq!(leader.clearing_cause(beside), Some(Cause::Explained));
    // Poison requests that were already sent continue to crash upstreams.
    for upstream in 4..=7 {
        leader.advance(SECOND / 4);
        leader.crash(upstream, &[(poison, CRASH_DELAY_MS), (beside, CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND);
    assert!(
        !leader.is_quarantined(beside),
        "crashes under a quarantined request count against no other request"
    );
    assert_eq!(
        leader.quarantine.blocklist().quarantined[&poison].failed_trials,
        0,
        "no trial was made yet"
    );
}

#[test]
fn a_wrongly_quarantined_request_is_released_when_another_explains_its_crashes() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    let (poison, unlucky) = (fingerprint("bad"), fingerprint("unlucky"));
    for upstream in 1..=3 {
        leader.advance(SECOND / 4);
        leader.crash(upstream, &[(unlucky, CRASH_DELAY_MS), (poison, CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND / 2);
    assert!(leader.is_quarantined(poison) || leader.is_quarantined(unlucky));
    // Both requests ran on all three upstreams. The poison request, if it is still sent, continues
    // to crash upstreams alone.
    for upstream in 4..=8 {
        leader.advance(SECOND / 4);
        if !leader.is_quarantined(poison) {
            leader.crash(upstream, &[(poison, CRASH_DELAY_MS)]);
        }
    }
    leader.advance(SECOND);
    assert!(
        leader.is_quarantined(poison) && !leader.is_quarantined(unlucky),
        "{:?}",
        leader.findings
    );
}

#[test]
fn a_flood_of_broken_requests_displaces_no_finding() {
    // A third of 3,000 upstreams end at once with 16 requests on each, twice, and each request is
    // different.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let (found, close) = (fingerprint("found"), fingerprint("close"));
    leader.quarantine_by_crashes(found, 1);
    for upstream in 11..=12 {
        leader.advance(SECOND / 2);
        leader.crash(upstream, &[(close, CRASH_DELAY_MS)]);
    }
    for flood in 0..2_000_u32 {
        let requests: Vec<(Fingerprint, u64)> =
            (0..16).map(|it| (fingerprint(&format!("{flood}-{it}")), 50)).collect();
        leader.crash(100 + flood, &requests);
    }
    leader.advance(SECOND / 2);
    assert!(leader.is_quarantined(found));
    leader.crash(13, &[(close, CRASH_DELAY_MS)]);
    leader.advance(SECOND / 2);
    assert!(leader.is_quarantined(close), "the third upstream crashed");
    assert!(leader.quarantine.blocklist().watched.len() <= 256);
}

#[test]
fn one_entry_at_a_time_runs_trials_ever_less_often() {
    let hold = SECOND * 60;
    let mut leader =
        Leader::new(QuarantinePolicy { hold_time: hold, ..QuarantinePolicy::default() });
    let poison = fingerprint("bad");
    leader.quarantine_by_crashes(poison, 1);
    let trial_entry =
        |leader: &Leader| leader.quarantine.blocklist().quarantined[&poison].trial_entry;
    leader.advance(hold / 2);
    assert_eq!(trial_entry(&leader), None);
    for (tries, wait) in [(1, hold), (2, hold * 6), (3, hold * 36)] {
        leader.advance(wait);
        let entry = trial_entry(&leader);
        assert!(entry.is_some_and(|it| leader.entries.contains(&it)), "one entry runs the trial");
        leader.advance(SECOND * 40);
        assert_ne!(
            trial_entry(&leader),
            entry,
            "another entry is chosen if the first one received no request"
        );
        leader.crash(100 + tries, &[(poison, CRASH_DELAY_MS)]);
        leader.advance(SECOND);
        assert_eq!(trial_entry(&leader), None);
        assert_eq!(
            u32::from(leader.quarantine.blocklist().quarantined[&poison].failed_trials),
            tries
        );
    }
    leader.advance(hold * 1_000);
    assert_eq!(
        trial_entry(&leader),
        None,
        "after three trials only an operator releases the request"
    );
}

#[test]
fn a_request_that_upstreams_survive_is_released() {
    let hold = SECOND * 60;
    let mut leader =
        Leader::new(QuarantinePolicy { hold_time: hold, ..QuarantinePolicy::default() });
    let poison = fingerprint("bad");
    leader.quarantine_by_crashes(poison, 1);
    leader.advance(hold + SECOND);
    leader.answer(poison);
    assert!(!leader.is_quarantined(poison));
    assert_eq!(leader.clearing_cause(poison), Some(Cause::Answered));
    assert!(leader.quarantine.persisted(7).quarantined.is_empty());
}

#[test]
fn the_next_leader_keeps_a_quarantine_that_the_log_lacks() {
    // The leader is lost at the moment at which entries know of a quarantine and the log does not.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let poison = fingerprint("bad");
    leader.quarantine_by_crashes(poison, 1);
    let blocklist = leader.quarantine.blocklist().clone();
    let next = Quarantine::new(QuarantinePolicy::default(), &PersistedState::default(), &blocklist);
    assert!(next.blocklist().quarantined.contains_key(&poison));
    assert!(
        next.persisted(7).quarantined.contains_key(&poison),
        "the log is to hold the quarantine as well"
    );
}

#[test]
fn an_answer_from_before_the_quarantine_clears_nothing() {
    // Guards against a request that is released over and over because it was fine until a new
    // version of the service came: it is quarantined, and an entry that has just started to watch
    // reports an answer from before.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let poison = fingerprint("bad");
    leader.quarantine_by_crashes(poison, 1);
    let before = Answer { fingerprint: poison, ms_ago: 30_000 };
    let (now, unix) = (leader.now, leader.unix());
    leader.quarantine.handle_answer(now, unix, &before);
    leader.advance(SECOND);
    assert!(leader.is_quarantined(poison));
    let (kept, blocklist) = (leader.quarantine.persisted(7), leader.quarantine.blocklist().clone());
    leader.quarantine = Quarantine::new(QuarantinePolicy::default(), &kept, &blocklist);
    leader.quarantine.handle_answer(now, unix, &before);
    leader.advance(SECOND);
    assert!(leader.is_quarantined(poison), "also at a leader without evidence");
}

#[test]
fn operators_lift_and_forbid_individual_requests() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    let (poison, other) = (fingerprint("bad"), fingerprint("other"));
    leader.quarantine_by_crashes(poison, 1);
    let lifted = BTreeSet::from([poison]);
    leader.quarantine.set_policy(QuarantinePolicy { lifted, ..QuarantinePolicy::default() });
    leader.advance(SECOND);
    assert!(!leader.is_quarantined(poison));
    assert_eq!(leader.clearing_cause(poison), Some(Cause::Lifted));
    for upstream in 11..=16 {
        leader.advance(SECOND);
        leader.crash(upstream, &[(poison, CRASH_DELAY_MS)]);
    }
    assert!(!leader.is_quarantined(poison));
    let forbidden = BTreeSet::from([other]);
    leader.quarantine.set_policy(QuarantinePolicy { forbidden, ..QuarantinePolicy::default() });
    leader.advance(SECOND);
    leader.answer(other);
    assert!(leader.is_quarantined(other), "an answer does not release a forbidden request");
    leader.quarantine.set_policy(QuarantinePolicy::default());
    leader.advance(SECOND);
    assert!(!leader.is_quarantined(other), "released once it is no longer forbidden");
}

#[test]
fn the_order_of_reports_does_not_matter() {
    // A new leader receives the reports of the last minute from one entry after the other.
    let poison = fingerprint("bad");
    let crashes: Vec<Crash> = (0..6)
        .map(|it| {
            let ended = 3_000 - u64::from(it) * 400;
            Crash {
                fingerprint: poison,
                run: run(it),
                sent_ms_ago: ended + CRASH_DELAY_MS,
                ended_ms_ago: ended,
            }
        })
        .collect();
    for order in [[0, 2, 4, 1, 3, 5], [5, 4, 3, 2, 1, 0], [1, 3, 5, 0, 2, 4]] {
        let mut leader = Leader::new(QuarantinePolicy::default());
        for index in order {
            let (now, unix) = (leader.now, leader.unix());
            leader.quarantine.handle_crash(now, unix, &crashes[index]);
        }
        leader.advance(SECOND / 2);
        assert!(leader.is_quarantined(poison), "{order:?}");
    }
}

fn part(number: u64) -> Fingerprint {
    Fingerprint::of_part(7, "model", number)
}

#[test]
fn parts_are_told_from_contents() {
    assert!(part(1).is_part() && !fingerprint("bad").is_part());
    assert_ne!(part(1), part(2));
    assert_ne!(part(1), Fingerprint::of_part(7, "other", 1), "upstreams of a service are alike");
    assert_ne!(part(1), Fingerprint::of_part(8, "model", 1));
    assert_eq!(part(1).to_string().parse(), Ok(part(1)));
}

#[test]
fn a_part_is_quarantined_and_no_other_part_of_its_prompts() {
    // All prompts begin with the same part, and nothing was answered yet.
    let mut leader = Leader::new(QuarantinePolicy::default());
    for upstream in 1..=4_u32 {
        leader.advance(SECOND / 4);
        let content = fingerprint(&format!("request {upstream}"));
        let own = part(100 + u64::from(upstream));
        let crashed = [content, part(1), own, part(2)].map(|it| (it, CRASH_DELAY_MS));
        leader.crash(upstream, &crashed);
    }
    leader.advance(SECOND);
    let quarantined = &leader.quarantine.blocklist().quarantined;
    assert_eq!(quarantined.keys().copied().collect::<Vec<_>>(), [part(2)], "{:?}", leader.findings);
    assert_eq!(leader.clearing_cause(part(1)), Some(Cause::Explained));
}

#[test]
fn an_answered_part_is_not_quarantined_before_one_that_never_was() {
    // The part that all share crashed more upstreams, and was answered five seconds ago.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let (shared, poison) = (part(9), part(2));
    for upstream in 1..=3_u32 {
        leader.crash(upstream, &[(shared, CRASH_DELAY_MS)]);
    }
    leader.answer(shared);
    leader.advance(SECOND * 5);
    for upstream in 4..=7_u32 {
        leader.crash(upstream, &[(poison, CRASH_DELAY_MS), (shared, CRASH_DELAY_MS)]);
    }
    leader.crash(8, &[(shared, CRASH_DELAY_MS)]);
    leader.advance(SECOND);
    assert!(leader.is_quarantined(poison) && !leader.is_quarantined(shared));
}

#[test]
fn a_part_that_ran_on_most_upstreams_that_crashed_is_not_quarantined_before_one_that_ran_on_all() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    let (poison, unlucky) = (part(2), part(3));
    for upstream in 1..=5_u32 {
        let both = [(poison, CRASH_DELAY_MS), (unlucky, CRASH_DELAY_MS)];
        leader.crash(upstream, if upstream == 1 { &both[..1] } else { &both });
    }
    leader.advance(SECOND);
    assert!(leader.is_quarantined(poison) && !leader.is_quarantined(unlucky));
    assert_eq!(leader.clearing_cause(unlucky), Some(Cause::Explained));
}

#[test]
fn an_answer_speaks_for_a_part_in_the_crashes_right_after_it() {
    // Guards against the quarantine of a part that all share when all upstreams crash within a moment.
    let mut leader = Leader::new(QuarantinePolicy::default());
    leader.crash(1, &[(part(1), CRASH_DELAY_MS)]);
    leader.advance(SECOND / 10);
    leader.answer(part(1));
    for upstream in 2..=20 {
        leader.advance(SECOND / 20);
        leader.crash(upstream, &[(part(1), CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND * 30);
    assert!(!leader.is_quarantined(part(1)), "{:?}", leader.findings);
}

#[test]
fn a_repeated_request_is_quarantined_and_its_parts_are_not() {
    // The same request comes again and again; nobody else has asked for its part yet.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let poison = fingerprint("bad");
    for upstream in 1..=8 {
        leader.advance(SECOND / 2);
        // Requests that were on their way when it was quarantined.
        leader.crash(upstream, &[(poison, CRASH_DELAY_MS), (part(1), CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND);
    assert!(leader.is_quarantined(poison) && !leader.is_quarantined(part(1)));
}

#[test]
fn a_part_is_found_though_each_request_with_it_is_tried_at_several_upstreams() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    for upstream in 1..=9 {
        leader.advance(SECOND / 5);
        let content = fingerprint(&format!("request {}", (upstream - 1) / 3));
        leader.crash(upstream, &[(content, CRASH_DELAY_MS), (part(1), CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND);
    assert!(leader.is_quarantined(part(1)));
    let contents = leader.quarantine.blocklist().quarantined.keys().filter(|it| !it.is_part());
    assert_eq!(contents.count(), 0, "the part explains their crashes");
}

#[test]
fn trials_of_a_part_follow_its_own_hold() {
    let mut leader = Leader::new(QuarantinePolicy::default());
    for upstream in 1..=4 {
        leader.crash(upstream, &[(part(1), CRASH_DELAY_MS)]);
    }
    leader.advance(SECOND);
    let block = |leader: &Leader| leader.quarantine.blocklist().quarantined.get(&part(1)).cloned();
    assert_eq!(block(&leader).and_then(|it| it.trial_entry), None);
    leader.advance(SECOND * 60);
    assert!(block(&leader).is_some_and(|it| it.trial_entry.is_some()));
    leader.crash(9, &[(part(1), CRASH_DELAY_MS)]);
    leader.advance(SECOND * 300);
    let held = block(&leader).expect("held back for six minutes");
    assert_eq!((held.failed_trials, held.trial_entry), (1, None));
    leader.advance(SECOND * 61);
    leader.answer(part(1));
    assert!(!leader.is_quarantined(part(1)));
}

#[test]
fn a_forbidden_request_stays_forbidden_while_upstreams_crash() {
    // Guards against a request that was watched when an operator forbade it, and is then held back for a time only.
    let mut leader = Leader::new(QuarantinePolicy::default());
    let poison = fingerprint("bad");
    for upstream in 1..=2 {
        leader.advance(SECOND / 10);
        leader.crash(upstream, &[(poison, CRASH_DELAY_MS)]);
    }
    let forbidden = BTreeSet::from([poison]);
    leader.quarantine.set_policy(QuarantinePolicy { forbidden, ..QuarantinePolicy::default() });
    leader.advance(SECOND / 10);
    leader.crash(3, &[(poison, CRASH_DELAY_MS)]);
    leader.advance(SECOND);
    assert_eq!(leader.quarantine.blocklist().quarantined[&poison].until, u64::MAX);
}
