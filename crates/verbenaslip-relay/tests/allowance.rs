//! What an entry admits of a team whose limit is used up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::sheet::{Quota, TeamRow};
use verbenaslip_fleet::view::{Lent, View};
use verbenaslip_relay::policy::allowance::{Allowance, Verdict};

const ENTRIES: u32 = 9;

fn team(rate: f64) -> TeamRow {
    let quota = Quota { rate, burst: rate, unsized_tokens: Some(200.0) };
    TeamRow { name: "red".into(), keys: Vec::new(), priority: None, quota: Some(quota) }
}

/// A view in which the leader was heard just now and lends nothing more.
fn used_up(now: Duration) -> View {
    let lent: BTreeMap<_, _> = [("red".into(), Lent { units: 0.0, from: 0.0 })].into();
    View { loans: Arc::new(lent), entries: ENTRIES, heard: Some(now), ..View::default() }
}

/// Lets a team ask for reports and acknowledgements for 8 s while its limit is used up; the leader lends
/// nothing anew four times a second. Returns the units of both kinds that passed.
fn ask(team: &TeamRow, report: f64, small: f64) -> (f64, f64) {
    let mut allowance = Allowance::default();
    let (mut reports, mut smalls) = (0.0, 0.0);
    let mut from = 0.0;
    for tick in 0..800 {
        let now = Duration::from_secs(5) + Duration::from_millis(10 * tick);
        if tick % 25 == 0 {
            from = allowance.total(&team.name);
        }
        let lent: BTreeMap<_, _> = [("red".into(), Lent { units: 0.0, from })].into();
        let view = View { loans: Arc::new(lent), ..used_up(now) };
        for (units, passed) in [(report, &mut reports), (small, &mut smalls)] {
            if allowance.take(now, team, units, &view) == Verdict::Within {
                *passed += units;
            }
        }
    }
    (reports, smalls)
}

#[test]
fn small_requests_pass_a_limit_that_large_ones_have_used_up() {
    // Symptom: acknowledgements of alarms are refused for seconds. Sequence: a team asks for more reports
    // than its limit allows; each acknowledgement takes a hundredth of a report. Cause: a used-up limit
    // that refuses whatever comes, however little it asks for.
    let (reports, smalls) = ask(&team(90_000.0), 12_000.0, 20.0);
    assert!(reports < f64::EPSILON, "{reports}");
    assert!(smalls > 1_000.0, "{smalls}");
}

#[test]
fn what_passes_beyond_a_limit_stays_a_small_part_of_it_however_often_loans_come() {
    // Symptom: a team gets a seventh more than its limit and the tolerance above it. Sequence: its limit is
    // so high that a hundredth of a second of it is a whole report; loans come four times a second, and
    // with each the overdraft begins anew. Cause: "small" taken as a part of the limit, and a bound for
    // each loan.
    for rate in [30_000.0, 90_000.0, 1_500_000.0] {
        for report in [2_000.0, 14_000.0] {
            let (reports, smalls) = ask(&team(rate), report, 100.0);
            let over_all = (reports + smalls) * f64::from(ENTRIES);
            assert!(reports < f64::EPSILON, "{reports} of {rate}");
            assert!(over_all <= rate * 0.21, "{over_all} of {rate}");
        }
    }
}
