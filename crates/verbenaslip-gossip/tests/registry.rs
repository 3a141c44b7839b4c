//! The registry of upstreams through faults.

mod support;

use support::{Net, s};

#[test]
fn upstreams_appear_everywhere_and_stay() {
    for (count, upstreams) in [(1, 5), (2, 5), (3, 15), (9, 40), (40, 100)] {
        let mut net = Net::region(2, count, 3);
        net.run(s(5));
        net.upstreams(upstreams, 3, "r0");
        net.run(s(4));
        for _ in 0..20 {
            net.run(s(1));
            for at in 0..count {
                assert_eq!(net.usable_count(at), upstreams, "{count} at {at}, {:?}", net.now);
            }
        }
    }
}
