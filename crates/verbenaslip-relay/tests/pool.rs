//! How many idle connections entries keep.

use verbenaslip_relay::forward::pool::share;

#[test]
fn all_entries_together_leave_half_of_an_upstreams_connections_to_requests() {
    // Symptom: requests are reset under way at upstreams that are well. Sequence: many entries each
    // keep some idle connections to an upstream; their sum reaches what it accepts; the next
    // connection with a request on it is reset. Cause: a bound at each entry alone.
    for (connections, entries) in [(630, 9), (510, 63), (610, 80), (96, 6)] {
        let all = share(connections, entries) * entries as usize;
        assert!(all <= connections as usize / 2, "{entries} entries keep {all} of {connections}");
    }
    assert_eq!(share(10, 100), 1, "one is always of use");
    assert_eq!(share(u32::MAX, 1), 16);
}
