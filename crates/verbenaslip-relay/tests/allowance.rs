//! What an entry admits of a team whose limit is used up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::sheet::{Quota, TeamRow};
use verbenaslip_fleet::view::{Lent, View};
use verbenaslip_relay::policy::allowance::{Allowance, Verdict};

const ENTRIES: u32 = 9;

fn team() -> TeamRow {
    let quota = Quota { rate: 90_000.0, burst: 90_000.0, unsized_tokens: Some(200.0) };
    TeamRow { name: "red".into(), keys: Vec::new(), priority: None, quota: Some(quota) }
}

/// A view in which the leader was heard just now and lends nothing more.
fn used_up(now: Duration) -> View {
    let lent: BTreeMap<_, _> = [("red".into(), Lent { units: 0.0, from: 0.0 })].into();
    View { loans: Arc::new(lent), entries: ENTRIES, heard: Some(now), ..View::default() }
}

#[test]
fn small_requests_pass_a_limit_that_large_ones_have_used_up() {
    // Symptom: acknowledgements of alarms are refused for seconds. Sequence: a team asks for more reports
    // than its limit allows; each acknowledgement takes a hundredth of a report. Cause: a used-up limit
    // that refuses whatever comes, however little it asks for.
    let now = Duration::from_secs(5);
    let (team, view) = (team(), used_up(now));
    let mut allowance = Allowance::default();
    assert!(matches!(allowance.take(now, &team, 12_000.0, &view), Verdict::Beyond(_)));
    assert_eq!(allowance.take(now, &team, 200.0, &view), Verdict::Within);
    assert!(matches!(allowance.take(now, &team, 12_000.0, &view), Verdict::Beyond(_)));
}

#[test]
fn small_requests_overdraw_a_limit_by_a_quarter_of_a_second_over_all_entries() {
    let now = Duration::from_secs(5);
    let (team, view) = (team(), used_up(now));
    let mut allowance = Allowance::default();
    let passed = (0..1_000).filter(|_| allowance.take(now, &team, 200.0, &view) == Verdict::Within);
    let over_all = passed.count() * 200 * usize::try_from(ENTRIES).expect("few");
    assert!((22_500..25_000).contains(&over_all), "{over_all} units of a rate of 90,000");
    assert_eq!(allowance.total(&team.name) * 9.0, over_all as f64);
}
