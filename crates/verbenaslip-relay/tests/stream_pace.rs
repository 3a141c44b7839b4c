//! The pace of streams, by which the speeds of upstreams are compared.

use std::time::Duration;

use verbenaslip_relay::policy::pace::{Gaps, Pace};

fn pace(gaps_ms: impl IntoIterator<Item = u64>) -> Option<Pace> {
    let mut gaps = Gaps::default();
    gaps_ms.into_iter().for_each(|gap| gaps.record(Duration::from_millis(gap)));
    gaps.take_pace()
}

#[test]
fn a_busy_upstream_does_not_look_slower_than_it_is() {
    // Guards against a pace that follows the load. Prefills lengthen up to three quarters of gaps.
    for (count, events) in [(8, 8), (9, 9), (20, 20), (64, 64)] {
        let delayed = count - count / 4 - 1;
        let gaps = (0..count).map(|gap| if gap < delayed { 150 + gap } else { 20 });
        let duration = Duration::from_millis(20 * count);
        assert_eq!(pace(gaps), Some(Pace { events, duration }), "{count} gaps");
    }
}

#[test]
fn a_short_answer_shows_no_pace() {
    // Guards against a speed that is taken from a handful of gaps, which are short by chance.
    assert!(pace([20; 7]).is_none() && pace([20; 8]).is_some());
}

#[test]
fn events_that_arrive_together_show_no_pace() {
    // Guards against an infinite rate, and against one zero gap that discards a whole stream.
    assert_eq!(pace([0; 20]), None);
    assert_eq!(pace([0, 0, 0, 20, 20, 20, 20, 20]), None);
    assert!(pace([0, 20, 20, 20, 20, 20, 20, 20]).is_some());
}
