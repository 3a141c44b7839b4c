//! What the load tool notices, with entry instances that fail by a script.

mod common;

use std::time::Duration;

use common::entry::{self, Step, header};
use verbenaslip_lab::engine::truth::{Run, Truth};
use verbenaslip_lab::load::outcome::{End, Outcome};
use verbenaslip_lab::load::plan::{Plan, Work};
use verbenaslip_lab::load::report::{Percentiles, Report};
use verbenaslip_lab::load::verdict::Verdict;
use verbenaslip_lab::load::{self, plot};

/// Plans so that about one request arrives.
fn plan(entry: std::net::SocketAddr, work: Work) -> Plan {
    Plan {
        rate: 50.0,
        time: Duration::from_millis(20),
        hour: Duration::from_millis(20),
        burst: 1.0,
        seed: 3,
        tries: 4,
        patience: Duration::from_secs(2),
        ..Plan::new(vec![entry], vec![work])
    }
}

fn one(steps: &'static [Step], work: Work) -> (Outcome, Vec<String>) {
    let (address, heads) = entry::spawn(steps);
    let report = load::run(plan(address, work)).expect("the load tool runs");
    let outcome = report.outcomes.first().expect("the seed gives a request").clone();
    assert_eq!(report.outcomes.len(), 1, "the seed gives one request");
    let heads = heads.lock().expect("no holder panics").clone();
    (outcome, heads)
}

fn work() -> Work {
    Work { output: 6, ..Work::new("small", "key", "assistant") }
}

#[test]
fn ends_are_told_apart() {
    // Each row: what the entry instance does, the end, and how often the request was sent, refused,
    // broken, cut and got an event again.
    type Row = (&'static [Step], End, [u32; 5]);
    let rows: [Row; 10] = [
        (&[Step::Whole], End::Whole, [1, 0, 0, 0, 0]),
        (&[Step::Cut(2), Step::Whole], End::Whole, [2, 0, 1, 1, 0]),
        (&[Step::Close, Step::Cut(3), Step::Whole], End::Whole, [3, 0, 2, 1, 0]),
        (&[Step::Refuse, Step::Refuse, Step::Whole], End::Whole, [3, 2, 0, 0, 0]),
        (&[Step::RefuseForGood], End::Refused, [1, 1, 0, 0, 0]),
        (&[Step::Unknown], End::Unknown, [1, 0, 0, 0, 0]),
        (&[Step::UnknownAfter(2)], End::Unknown, [1, 0, 0, 0, 0]),
        (&[Step::Error], End::Error, [1, 0, 0, 0, 0]),
        (&[Step::Cut(2)], End::Cut, [4, 0, 4, 4, 0]),
        (&[Step::Close], End::Lost, [4, 0, 4, 0, 0]),
    ];
    for (steps, end, counts) in rows {
        let (seen, _) = one(steps, work());
        let found = [seen.sent, seen.refused, seen.broken, seen.cut, seen.doubled];
        assert_eq!((seen.end, found, seen.mixed), (end, counts, false), "{steps:?}");
    }
}

#[test]
fn doubled_and_mixed_answers_are_noticed() {
    // Symptom: a charterer reads a sentence twice, or another's letter. Sequence: an old attempt
    // sends on after the move, or two streams are swapped. Cause: positions were not checked.
    let (doubled, _) = one(&[Step::Double(3)], work());
    assert_eq!((doubled.end, doubled.doubled, doubled.mixed), (End::Whole, 1, false));
    let (mixed, _) = one(&[Step::Mixed], work());
    assert!(mixed.mixed);
    let (mixed, _) = one(&[Step::Cut(2), Step::Mixed], work());
    assert!(mixed.mixed);
}

#[test]
fn caller_comes_back_with_the_same_key_and_its_last_event() {
    let (_, heads) = one(&[Step::Cut(2), Step::Cut(4), Step::Whole], work());
    let keys: Vec<_> = heads.iter().map(|head| header(head, "idempotency-key")).collect();
    assert!(keys[0].is_some());
    assert!(keys.iter().all(|key| *key == keys[0]), "{keys:?}");
    let issued: Vec<_> = heads.iter().map(|head| header(head, "idempotency-key-issued")).collect();
    assert!(issued.iter().all(|one| *one == issued[0]), "{issued:?}");
    let last: Vec<_> = heads.iter().map(|head| header(head, "last-event-id")).collect();
    assert_eq!(last, [None, Some("2".to_owned()), Some("4".to_owned())]);
}

#[test]
fn caller_without_a_key_does_not_come_back_after_a_break() {
    // Symptom: a request runs twice. Sequence: its connection breaks, and it is sent again without a
    // key. Cause: without a key a resend is another request.
    let (outcome, heads) = one(&[Step::Cut(2)], Work { keyed: false, ..work() });
    assert_eq!((outcome.end, heads.len()), (End::Cut, 1));
    assert_eq!(header(&heads[0], "idempotency-key"), None);
}

#[test]
fn caller_that_leaves_counts_apart() {
    // Symptom: an engine works for nobody. Sequence: a caller goes away in the middle of its answer.
    // Cause: nobody tells the engine.
    let (outcome, _) = one(&[Step::Whole], Work { leave: Some(2), ..work() });
    assert_eq!((outcome.end, outcome.tokens), (End::Left, 2));
    let run = Run { position: 6, ..ran(outcome.seed) };
    let truth = Truth { runs: vec![run], ..Truth::default() };
    let verdict = Verdict::new(&Report::new(vec![outcome]), &[truth]);
    assert_eq!((verdict.left, verdict.wasted, verdict.holds_announced()), (1, 4, true));
}

#[test]
fn caller_that_rests_gets_all() {
    let (outcome, _) = one(&[Step::Whole], Work { rest: Duration::from_millis(5), ..work() });
    assert_eq!((outcome.end, outcome.mixed, outcome.gaps_us.len()), (End::Whole, false, 0));
}

#[test]
fn refused_connection_picks_another_entry() {
    let (address, _) = entry::spawn(&[Step::Whole]);
    let mut plan = plan(address, work());
    plan.entries.insert(0, "127.0.0.1:9".parse().expect("an address"));
    let report = load::run(plan).expect("the load tool runs");
    assert_eq!((report.requests, report.whole), (1, 1));
}

#[test]
fn arrivals_follow_the_seed_and_the_hour() {
    let (address, _) = entry::spawn(&[Step::RefuseForGood]);
    let plan = Plan {
        rate: 400.0,
        time: Duration::from_millis(500),
        hour: Duration::from_millis(500),
        burst: 4.0,
        ..plan(address, work())
    };
    let first = load::run(plan.clone()).expect("the load tool runs");
    let again = load::run(plan).expect("the load tool runs");
    let times = |report: &Report| -> Vec<(u64, u64)> {
        report.outcomes.iter().map(|outcome| (outcome.at_us, outcome.seed)).collect()
    };
    assert_eq!(times(&first), times(&again));
    let early = first.outcomes.iter().filter(|outcome| outcome.at_us < 50_000).count();
    let late = first.outcomes.iter().filter(|outcome| outcome.at_us > 450_000).count();
    assert!(early > 2 * late, "{early} in the first tenth, {late} in the last");
    assert_eq!(first.refused, first.requests);
}

#[test]
fn report_is_drawn_and_read_again() {
    let (address, _) = entry::spawn(&[Step::Whole]);
    let report = load::run(plan(address, work())).expect("the load tool runs");
    let text = serde_json::to_string(&report).expect("a report is JSON");
    let again: Report = serde_json::from_str(&text).expect("a report can be read");
    assert_eq!(again, report);
    let svg = plot::svg(&report);
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
    assert_eq!(svg.matches("<polyline").count(), 7);
    assert!(!svg.contains("NaN") && !svg.contains("inf"));
}

#[test]
fn verdict_compares_with_the_truth() {
    // Each row: the end for the caller, whether its connection had broken, whether it may run twice,
    // the runs that the back ends counted, and what must show: doubled, not run but ran, the same
    // after a break, unknown though idempotent, whole without a run; and whether all holds, in
    // any run and in one whose losses were all announced.
    type Row = (End, bool, bool, usize, [u64; 5], [bool; 2]);
    let rows: [Row; 10] = [
        (End::Whole, false, true, 1, [0, 0, 0, 0, 0], [true, true]),
        (End::Whole, false, true, 2, [0, 0, 0, 0, 0], [true, true]),
        (End::Whole, false, false, 1, [0, 0, 0, 0, 0], [true, true]),
        (End::Whole, false, false, 2, [1, 0, 0, 0, 0], [false, false]),
        (End::Whole, false, true, 0, [0, 0, 0, 0, 1], [true, false]),
        (End::Refused, false, true, 0, [0, 0, 0, 0, 0], [true, true]),
        (End::Refused, false, true, 1, [0, 1, 0, 0, 0], [false, false]),
        (End::Refused, true, true, 1, [0, 0, 1, 0, 0], [true, false]),
        (End::Unknown, false, true, 1, [0, 0, 0, 1, 0], [true, false]),
        (End::Unknown, false, false, 1, [0, 0, 0, 0, 0], [true, false]),
    ];
    let (template, _) = one(&[Step::Whole], work());
    for (end, broken, idempotent, runs, counts, holds) in rows {
        let broken = u32::from(broken);
        let outcome = Outcome { end, broken, idempotent, ..template.clone() };
        let truth = Truth { runs: vec![ran(template.seed); runs], ..Truth::default() };
        let verdict = Verdict::new(&Report::new(vec![outcome.clone()]), &[truth]);
        let found = [
            verdict.doubled,
            verdict.not_run_but_ran,
            verdict.not_run_after_break,
            verdict.unknown_idempotent,
            verdict.whole_without_run,
        ];
        let held = [verdict.holds(), verdict.holds_announced()];
        assert_eq!((found, held), (counts, holds), "{end:?} {broken} {runs}");
    }
}

#[test]
fn unanswered_requests_count_by_what_their_callers_could_do() {
    // Each row: the end, whether the caller has a key, and whether all holds in any run and in one
    // whose losses were all announced.
    let rows = [
        (End::Cut, true, [false, false]),
        (End::Lost, true, [false, false]),
        (End::Cut, false, [true, false]),
        (End::Lost, false, [true, false]),
    ];
    let (template, _) = one(&[Step::Whole], work());
    for (end, keyed, holds) in rows {
        let outcome = Outcome { end, keyed, ..template.clone() };
        let verdict = Verdict::new(&Report::new(vec![outcome]), &[]);
        assert_eq!([verdict.holds(), verdict.holds_announced()], holds, "{end:?} {keyed}");
    }
}

#[test]
fn late_work_to_a_leaving_back_end_shows() {
    let report = Report::new(Vec::new());
    let truth = |accepted_ms| Truth {
        leaving_ms: Some(1_000),
        runs: vec![Run { accepted_ms, ..ran(1) }],
        ..Truth::default()
    };
    assert_eq!(Verdict::new(&report, &[truth(2_000)]).late_to_leaving, 0);
    assert_eq!(Verdict::new(&report, &[truth(9_000)]).late_to_leaving, 1);
}

fn ran(seed: u64) -> Run {
    Run { began_ms: Some(0), prompt: 1, computed: 1, position: 1, ..Run::new("", 1, seed, 0) }
}

#[test]
fn percentiles_are_those_of_the_values() {
    // Symptom: every time in the report is 0. Sequence: any run. Cause: a histogram that grows by
    // itself does not grow when it records saturating, so that all values fell into its first size.
    let times = Percentiles::new((1..=1_000).map(|value| value * 1_000));
    let near = |found: u64, due: u64| found.abs_diff(due) <= due / 500;
    assert_eq!(times.count, 1_000);
    assert!(near(times.p50, 500_000) && near(times.p95, 950_000), "{times:?}");
    assert!(near(times.p99, 990_000) && near(times.max, 1_000_000), "{times:?}");
}
