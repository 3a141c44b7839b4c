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

// Symptom: after the very first start no leader ever comes. Sequence: the founder writes term and
// group, then the first entry; the power fails between the two. Cause: the group is there without
// its voters, so nobody campaigns, and the founder is no longer new, so nobody is asked again.
#[test]
fn founding_survives_a_power_loss_between_its_writes() {
    for kept in 0..=2 {
        let mut world = World::new(3, 2);
        let begun = world.until(ms(5_000), |world| world.nodes[0].pending.len() >= 2);
        assert!(begun, "the founder writes term and first entry");
        world.crash_keeping(0, kept);
        world.run(ms(500));
        world.restart(0);
        world.commit_one();
    }
}
