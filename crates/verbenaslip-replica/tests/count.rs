//! What the log costs: messages and bytes, idle and for each proposal.

mod simulation;

use verbenaslip_replica::setup::Limits;

use simulation::{Traffic, World, ms};

/// Holds what is measured for a number of voters, and the bounds.
struct Case {
    voters: usize,
    /// Messages and bytes of all voters together in an idle second.
    idle: Traffic,
    /// Messages and bytes of all voters together for one proposal of 100 bytes on its own.
    single: Traffic,
    /// Messages and bytes of all voters together for 1000 proposals of 100 bytes in a burst.
    burst: Traffic,
}

const CASES: [Case; 2] = [
    Case {
        voters: 3,
        idle: Traffic { messages: 16, bytes: 1_200 },
        single: Traffic { messages: 4, bytes: 600 },
        burst: Traffic { messages: 28, bytes: 220_000 },
    },
    Case {
        voters: 5,
        idle: Traffic { messages: 32, bytes: 2_400 },
        single: Traffic { messages: 8, bytes: 1_200 },
        burst: Traffic { messages: 56, bytes: 440_000 },
    },
];

#[test]
fn traffic_stays_within_its_bounds() {
    for case in CASES {
        let mut world = World::with(case.voters, 1, Limits::default());
        world.settle();
        world.run(ms(10_000));
        let idle = cost(&mut world, 60, Traffic::default(), |world| world.run(ms(1_000)));
        // The heartbeats of the second that each proposal or burst is given are not its own.
        let single = cost(&mut world, 60, idle, |world| {
            let leader = world.settle();
            world.propose_sized(leader, 100);
            world.run(ms(1_000));
        });
        let burst = cost(&mut world, 10, idle, |world| {
            let leader = world.settle();
            for _ in 0..1_000 {
                world.propose_sized(leader, 100);
            }
            world.run(ms(1_000));
        });
        println!("{} voters: idle {idle:?}, single {single:?}, burst {burst:?}", case.voters);
        for (name, found, bound) in [
            ("idle", idle, case.idle),
            ("single", single, case.single),
            ("burst", burst, case.burst),
        ] {
            assert!(found.messages <= bound.messages, "{name}: {found:?}, bound {bound:?}");
            assert!(found.bytes <= bound.bytes, "{name}: {found:?}, bound {bound:?}");
        }
    }
}

// Symptom: a message that no frame can carry. Sequence: the largest commands and a large snapshot.
// Cause: messages without a bound.
#[test]
fn messages_are_bounded() {
    let size = Limits {
        max_command_bytes: 10_000,
        message: 4_000,
        entries: 20,
        tail: 5,
        ..Limits::default()
    };
    let mut world = World::with(3, 1, size);
    let leader = world.settle();
    let follower = world.others(leader)[0];
    world.crash(follower);
    for _ in 0..30 {
        world.propose_sized(leader, 10_000);
        world.propose_sized(leader, 900);
        world.run(ms(5));
    }
    world.restart(follower);
    world.run(ms(5_000));
    assert!(world.largest <= 10_000 + 500, "a message of {} bytes", world.largest);
    let token = world.propose_sized(leader, 10_001);
    assert!(format!("{:?}", world.answers[&token]).contains("TooLarge"));
}

/// Returns what one run costs beside what it costs anyway, averaged over several and rounded up.
fn cost(world: &mut World, runs: u64, anyway: Traffic, run: impl Fn(&mut World)) -> Traffic {
    let before = world.traffic;
    for _ in 0..runs {
        run(world);
    }
    Traffic {
        messages: (world.traffic.messages - before.messages).div_ceil(runs) - anyway.messages,
        bytes: (world.traffic.bytes - before.bytes).div_ceil(runs) - anyway.bytes,
    }
}
