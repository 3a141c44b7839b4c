//! What an entry tells the leader, until the leader has it.

use std::time::Duration;

use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::crash_report::{CrashReport, CrashReporter, ObservedCrash};
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::registry::Run;

const SECOND: Duration = Duration::from_secs(1);
const OWN: ([u8; 4], u16) = ([10, 2, 0, 1], 7_000);

fn met(number: usize) -> ObservedCrash {
    let fingerprint = Fingerprint::of(7, "red", "h", "/x", &number.to_le_bytes());
    let run = Run { upstream: Upstream::new(format!("i-{number}")), incarnation: 0 };
    ObservedCrash { fingerprint, run, sent: SECOND, ended: SECOND * 2 }
}

fn told(accounts: &mut CrashReporter, now: Duration) -> Option<CrashReport> {
    accounts.next_report(now, OWN.into())
}

#[test]
fn more_than_one_account_holds_is_told_one_after_the_other() {
    let mut accounts = CrashReporter::default();
    accounts.set_term(SECOND, 3);
    accounts.record(SECOND * 2, (0..40).map(met).collect(), vec![]);
    let first = told(&mut accounts, SECOND * 3).expect("it is due");
    assert_eq!(first.crashes.len(), 32);
    assert_eq!(
        (first.crashes[0].sent_ms_ago, first.crashes[0].ended_ms_ago),
        (2_000, 1_000),
        "before now"
    );
    accounts.confirm(3, first.number);
    let second = told(&mut accounts, SECOND * 4).expect("the rest is due");
    assert_eq!(second.crashes.len(), 8);
    accounts.confirm(3, second.number);
    assert_eq!(told(&mut accounts, SECOND * 5), None);
    assert_eq!(accounts.next_due(), None, "nothing more to tell");
}

#[test]
fn what_is_not_confirmed_is_told_again_and_all_of_it_to_a_later_leader() {
    let mut accounts = CrashReporter::default();
    accounts.set_term(SECOND, 3);
    accounts.record(SECOND * 2, vec![met(1)], vec![]);
    let lost = told(&mut accounts, SECOND * 3).expect("it is due");
    let again = told(&mut accounts, SECOND * 4).expect("it is due again");
    assert_eq!(again.crashes[0].run, lost.crashes[0].run);
    accounts.confirm(2, again.number);
    assert!(told(&mut accounts, SECOND * 5).is_some(), "an earlier leader's word is none");
    accounts.confirm(3, again.number + 1);
    assert_eq!(told(&mut accounts, SECOND * 6), None);
    accounts.set_term(SECOND * 7, 4);
    assert_eq!(told(&mut accounts, SECOND * 7).map(|it| it.crashes.len()), Some(1));
    accounts.set_term(SECOND * 70, 5);
    assert_eq!(told(&mut accounts, SECOND * 70), None, "forgotten by then");
}
