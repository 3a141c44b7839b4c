//! Replicas stepped through faults by hand.

mod world;

use world::{World, ms};

#[test]
fn founders_form_a_group_and_commit() {
    for founders in [1, 3, 5] {
        let mut world = World::formed(founders, 1);
        let index = world.commit_many(100);
        assert!(world.until(ms(1_000), |world| {
            (0..founders).all(|node| world.replica(node).applied() >= index)
        }));
    }
}
