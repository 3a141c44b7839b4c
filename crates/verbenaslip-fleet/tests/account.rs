//! Reports of an entry to the leader, until the leader has confirmed them.

use std::time::Duration;

use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::crash_report::{CrashReport, CrashReporter, ObservedCrash};
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::registry::Run;

const SECOND: Duration = Duration::from_secs(1);
const ENTRY_ADDRESS: ([u8; 4], u16) = ([10, 2, 0, 1], 7_000);

fn observed_crash(number: usize) -> ObservedCrash {
    let fingerprint = Fingerprint::of(7, "red", "h", "/x", &number.to_le_bytes());
    let run = Run { upstream: Upstream::new(format!("i-{number}")), incarnation: 0 };
    ObservedCrash { fingerprint, run, sent: SECOND, ended: SECOND * 2 }
}

fn next_report(reporter: &mut CrashReporter, now: Duration) -> Option<CrashReport> {
    reporter.next_report(now, ENTRY_ADDRESS.into())
}

#[test]
fn observations_beyond_one_report_follow_in_the_next() {
    let mut reporter = CrashReporter::default();
    reporter.set_term(SECOND, 3);
    reporter.record(SECOND * 2, (0..72).map(observed_crash).collect(), vec![]);
    let first = next_report(&mut reporter, SECOND * 3).expect("a report is due");
    assert_eq!(first.crashes.len(), 64);
    assert_eq!(
        (first.crashes[0].sent_ms_ago, first.crashes[0].ended_ms_ago),
        (2_000, 1_000),
        "milliseconds before now"
    );
    reporter.confirm(3, first.number);
    let second = next_report(&mut reporter, SECOND * 4).expect("a report of the rest is due");
    assert_eq!(second.crashes.len(), 8);
    reporter.confirm(3, second.number);
    assert_eq!(next_report(&mut reporter, SECOND * 5), None);
    assert_eq!(reporter.next_due(), None, "nothing is left to report");
}

#[test]
fn unconfirmed_observations_are_repeated_and_a_later_leader_receives_all() {
    let mut reporter = CrashReporter::default();
    reporter.set_term(SECOND, 3);
    reporter.record(SECOND * 2, vec![observed_crash(1)], vec![]);
    let lost = next_report(&mut reporter, SECOND * 3).expect("a report is due");
    let again = next_report(&mut reporter, SECOND * 4).expect("the report is due again");
    assert_eq!(again.crashes[0].run, lost.crashes[0].run);
    reporter.confirm(2, again.number);
    assert!(
        next_report(&mut reporter, SECOND * 5).is_some(),
        "an earlier leader's confirmation does not count"
    );
    reporter.confirm(3, again.number + 1);
    assert_eq!(next_report(&mut reporter, SECOND * 6), None);
    reporter.set_term(SECOND * 7, 4);
    assert_eq!(next_report(&mut reporter, SECOND * 7).map(|it| it.crashes.len()), Some(1));
    reporter.set_term(SECOND * 70, 5);
    assert_eq!(next_report(&mut reporter, SECOND * 70), None, "the observation has expired");
}
