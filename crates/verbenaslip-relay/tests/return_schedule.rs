//! When refused callers are told to retry.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_relay::policy::return_schedule::{MAX_RETRY_AFTER, RefusedCaller, ReturnSchedule};

const ENTRIES: usize = 57;

/// Capacity of 30 engines in tokens per millisecond.
const CAPACITY: f64 = 1_800.0;

const SEED: u64 = 41;

/// When a caller was refused, the tokens of its prompt, and the retry time that it was told.
type Refused = (Duration, u64, Duration);

/// Refuses `count` callers within one second at random entries.
fn refuse(count: usize, excess: impl Fn(usize) -> Duration) -> Vec<Refused> {
    let mut random = Pcg64::seed_from_u64(SEED);
    let mut schedules: Vec<ReturnSchedule> = (0..ENTRIES).map(|_| Default::default()).collect();
    let refusals = (0..count).map(|number| {
        let now = Duration::from_millis(10_000 + 1_000 * number as u64 / count as u64);
        let tokens = [9_190, 2_368, 715][random.random_range(0..3)];
        let caller = RefusedCaller { rank: 1, prompt_tokens: tokens, excess: excess(number) };
        let schedule = &mut schedules[random.random_range(0..ENTRIES)];
        (now, tokens, schedule.retry_after(now, caller, CAPACITY / ENTRIES as f64))
    });
    refusals.collect()
}

/// Returns the largest share of the capacity since the first refusal that has been promised by any
/// moment, and the tokens promised before the longest retry time.
fn promised(refusals: &[Refused]) -> (f64, u64) {
    let promised = refusals.iter().filter(|(_, _, retry_after)| *retry_after < MAX_RETRY_AFTER);
    let mut returns: Vec<(Duration, u64)> =
        promised.map(|(now, tokens, retry_after)| (*now + *retry_after, *tokens)).collect();
    returns.sort_unstable();
    let (mut sum, mut share) = (0, 0.0_f64);
    for (at, tokens) in returns {
        sum += tokens;
        let elapsed_ms = (at - Duration::from_secs(10)).as_secs_f64() * 1_000.0;
        share = share.max(sum as f64 / (CAPACITY * elapsed_ms));
    }
    (share, sum)
}

/// Guards against refused callers that return together and are refused again. Load: 400 callers
/// refused in one second at 57 entries, with an excess of 0.1 to 0.5 s.
#[test]
fn hundreds_of_callers_are_not_told_to_return_for_more_than_the_capacity() {
    let excess = |number| Duration::from_millis(100 + 100 * (number as u64 % 5));
    let refusals = refuse(400, excess);
    let (share, _) = promised(&refusals);
    assert!(share <= 1.0, "{share:.3} of the capacity");
    for (number, (_, _, retry_after)) in refusals.iter().enumerate() {
        assert!(*retry_after >= excess(number), "{retry_after:?} is sooner than the excess");
        assert!(*retry_after < MAX_RETRY_AFTER, "the capacity suffices within 3 s");
    }
}

/// Guards against promises beyond the capacity once they reach the longest retry time, and against
/// capacity that is promised to nobody. Load: 4,000 callers refused in one second, six times the
/// work that 3 s suffice for.
#[test]
fn thousands_of_callers_share_the_capacity_and_none_waits_longer_than_three_seconds() {
    let refusals = refuse(4_000, |_| Duration::ZERO);
    let (share, sum) = promised(&refusals);
    assert!(share <= 1.0, "{share:.3} of the capacity");
    assert!(sum as f64 >= 0.8 * CAPACITY * 3_000.0, "only {sum} tokens were promised");
    assert!(refusals.iter().all(|(_, _, retry_after)| *retry_after <= MAX_RETRY_AFTER));
    let long = RefusedCaller { rank: 0, prompt_tokens: 715, excess: Duration::from_secs(9) };
    let retry_after = ReturnSchedule::default().retry_after(Duration::ZERO, long, CAPACITY);
    assert_eq!(retry_after, MAX_RETRY_AFTER);
}

/// Guards against capacity that is promised to returning callers although new ones use it. Load:
/// new callers of rank 1 that take half or all of this entry's share.
#[test]
fn callers_return_only_for_what_new_callers_leave() {
    let retry_after = |new_tokens, rank| {
        let mut schedule = ReturnSchedule::default();
        for tick in 0..500 {
            schedule.record_sent(Duration::from_millis(tick * 10), 1, new_tokens, new_tokens);
        }
        let caller = RefusedCaller { rank, prompt_tokens: 6_000, excess: Duration::ZERO };
        schedule.retry_after(Duration::from_secs(5), caller, 30.0)
    };
    let expect = |actual: Duration, millis: u64| {
        let error = actual.abs_diff(Duration::from_millis(millis));
        assert!(error < Duration::from_millis(50), "{actual:?} instead of {millis} ms");
    };
    expect(retry_after(0, 1), 200);
    expect(retry_after(150, 1), 400);
    expect(retry_after(150, 0), 200);
    assert_eq!(retry_after(300, 2), MAX_RETRY_AFTER);
}
