//! Membership through faults.

mod support;

use support::{Net, s};
use verbenaslip_gossip::State;

#[test]
fn instances_join_through_seeds() {
    for (count, zones) in [(1, 1), (2, 1), (3, 3), (9, 3), (40, 3)] {
        let mut net = Net::region(1, count, zones);
        net.run(s(8));
        for at in 0..count {
            for of in (0..count).filter(|of| *of != at) {
                assert_eq!(net.state(at, of), Some(State::Alive), "{count}: {of} at {at}");
            }
        }
    }
}
