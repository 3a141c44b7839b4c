//! What a team may still use at an entry, depending on the leader's grants and on when the leader
//! was heard.

use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::quota::LoanGrant;
use verbenaslip_fleet::route_table::{Quota, TeamConfig};
use verbenaslip_relay::policy::allowance::{Allowances, Verdict};

const SECOND: Duration = Duration::from_secs(1);

fn team() -> TeamConfig {
    TeamConfig {
        name: "red".into(),
        keys: Vec::new(),
        quota: Some(Quota { rate: 100.0, burst: 100.0, default_tokens: None }),
        priority: None,
    }
}

fn heard(at: Duration) -> View {
    View { entry_count: 4, leader_heard_at: Some(at), ..View::default() }
}

fn borrows(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Borrow { .. })
}

#[test]
fn an_entry_that_hears_no_leader_goes_on_by_an_equal_part() {
    // Guards against a cut-off entry that spends units which the leader meanwhile grants to
    // others.
    let mut allowance = Allowances::default();
    assert!(borrows(allowance.charge(SECOND, &team(), 1.0, &heard(SECOND))));
    let late = SECOND * 5;
    let mut admitted = 0;
    while allowance.charge(late, &team(), 1.0, &heard(SECOND)) == Verdict::Admitted {
        admitted += 1;
    }
    assert_eq!(admitted, 25, "a quarter of a bucket, as one of four entries");
    assert!(matches!(allowance.charge(late, &team(), 1.0, &heard(SECOND)), Verdict::Exceeded(_)));
}

#[test]
fn an_entry_that_is_cut_off_admits_a_team_that_it_has_not_seen_before() {
    // Guards against entries without a leader that refuse the first request of each team.
    let mut allowance = Allowances::new(SECOND);
    let now = SECOND * 9;
    assert_eq!(allowance.charge(now, &team(), 20.0, &heard(SECOND)), Verdict::Admitted);
    let mut restarted = Allowances::new(now);
    assert!(matches!(restarted.charge(now, &team(), 20.0, &heard(SECOND)), Verdict::Exceeded(_)));
}

#[test]
fn what_was_admitted_without_a_loan_is_not_given_back_to_the_leader() {
    // Guards against a bucket that is filled by requests that an entry admitted while it was cut
    // off.
    let mut allowance = Allowances::new(SECOND);
    assert_eq!(allowance.charge(SECOND * 9, &team(), 20.0, &heard(SECOND)), Verdict::Admitted);
    assert_eq!(allowance.refund(&team().name, 20.0), None);
}

#[test]
fn a_loan_that_is_not_answered_in_time_is_taken_out_of_the_equal_part() {
    // Guards against refusing all requests while a leader is being elected.
    let mut allowance = Allowances::default();
    assert!(borrows(allowance.charge(SECOND, &team(), 1.0, &heard(SECOND))));
    let now = SECOND * 2;
    assert!(borrows(allowance.charge(now, &team(), 1.0, &heard(now))));
    let admitted =
        (0..100).filter(|_| allowance.handle_grant(now, &team(), 1.0, None).is_ok()).count();
    assert_eq!(admitted, 25);
}

#[test]
fn what_is_lent_ahead_admits_the_next_requests() {
    // Guards against one message to the leader per request of a busy team.
    let (mut allowance, now) = (Allowances::default(), SECOND);
    let mut asked = 0;
    for step in 0..1_000_u32 {
        let now = now + Duration::from_millis(10) * step;
        if let Verdict::Borrow { required, prefetch } =
            allowance.charge(now, &team(), 1.0, &heard(now))
        {
            asked += 1;
            let lent = LoanGrant { id: 1, units: required + prefetch, empty_for: Duration::ZERO };
            assert_eq!(allowance.handle_grant(now, &team(), 1.0, Some(&lent)), Ok(()));
        }
    }
    assert!(asked <= 30, "asked {asked} times for 1,000 requests in 10 s");
}

#[test]
fn while_the_bucket_is_empty_callers_are_refused_without_asking_again() {
    // Guards against one message to the leader per refusal for a team far beyond its limit.
    let (mut allowance, now) = (Allowances::default(), SECOND);
    assert!(borrows(allowance.charge(now, &team(), 1.0, &heard(now))));
    let lent = LoanGrant { id: 1, units: 0.0, empty_for: Duration::from_millis(200) };
    assert!(allowance.handle_grant(now, &team(), 1.0, Some(&lent)).is_err());
    let soon = now + Duration::from_millis(199);
    assert!(matches!(allowance.charge(soon, &team(), 1.0, &heard(soon)), Verdict::Exceeded(_)));
    let later = now + Duration::from_millis(200);
    assert!(borrows(allowance.charge(later, &team(), 1.0, &heard(later))));
}
