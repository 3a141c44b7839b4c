//! The planned stop of instances.

mod world;

use verbenaslip_node::Input;

use crate::world::{MS, World};

#[test]
fn a_stop_without_work_waits_for_no_missing_successor() {
    // Failure: a restart takes seconds although no request is in progress. Each instance of
    // deployments of several sizes is told to stop, including the leader and a single voter. The
    // leader waits for a successor although there is no other voter.
    for (instances, voters) in [(1, 1), (2, 1), (3, 3), (6, 3)] {
        for number in 0..instances {
            let mut world = World::open(instances, voters, 5);
            world.wait_until_ready();
            let (leads, begun) = (world.leader() == Some(number), world.now);
            world.step(number, Input::Stop { remaining: MS(10_000) });
            world.run_until(MS(10_000), "drained", |world| world.stopped.contains(&number));
            let took = world.now - begun;
            let case = format!("{number} of {instances}, {voters} vote, leads {leads}: {took:?}");
            assert!(took <= MS(200), "{case}");
        }
    }
}

#[test]
fn the_last_instance_of_a_deployment_stops_within_its_timeout() {
    // Failure: the last process of a deployment that is shut down is killed by the platform. All
    // instances are told to stop, each after the one before has ended. The last one waits for a
    // quorum that will not return.
    let mut world = World::open(3, 3, 6);
    world.wait_until_ready();
    for number in 0..3 {
        let begun = world.now;
        world.step(number, Input::Stop { remaining: MS(10_000) });
        world.run_until(MS(10_000), "drained", |world| world.stopped.contains(&number));
        assert!(world.now - begun <= MS(3_200), "{number}: {:?}", world.now - begun);
        world.run(MS(100));
        world.kill(number);
    }
}
