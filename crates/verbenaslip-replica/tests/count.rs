//! Bounds on the traffic of the log: messages and bytes when idle and per proposal.

mod simulation;

use verbenaslip_replica::setup::Limits;

use simulation::{Simulation, Traffic, ms};

/// The bounds for a number of voters.
struct Case {
    voters: usize,
    /// Messages and bytes of all voters in an idle second.
    idle: Traffic,
    /// Messages and bytes of all voters for a single proposal of 100 bytes.
    single: Traffic,
    /// Messages and bytes of all voters for a burst of 1000 proposals of 100 bytes each.
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
        let mut simulation = Simulation::with_limits(case.voters, 1, Limits::default());
        simulation.wait_for_leader();
        simulation.run(ms(10_000));
        let idle = average_traffic(&mut simulation, 60, Traffic::default(), |simulation| {
            simulation.run(ms(1_000))
        });
        // Each proposal or burst runs for one second, whose heartbeats are subtracted.
        let single = average_traffic(&mut simulation, 60, idle, |simulation| {
            let leader = simulation.wait_for_leader();
            simulation.propose_sized(leader, 100);
            simulation.run(ms(1_000));
        });
        let burst = average_traffic(&mut simulation, 10, idle, |simulation| {
            let leader = simulation.wait_for_leader();
            for _ in 0..1_000 {
                simulation.propose_sized(leader, 100);
            }
            simulation.run(ms(1_000));
        });
        println!("{} voters: idle {idle:?}, single {single:?}, burst {burst:?}", case.voters);
        for (name, measured, bound) in [
            ("idle", idle, case.idle),
            ("single", single, case.single),
            ("burst", burst, case.burst),
        ] {
            assert!(measured.messages <= bound.messages, "{name}: {measured:?}, bound {bound:?}");
            assert!(measured.bytes <= bound.bytes, "{name}: {measured:?}, bound {bound:?}");
        }
    }
}

// Guards against messages that exceed the largest frame: the test sends commands of the maximum
// size and a snapshot that needs several chunks.
#[test]
fn messages_are_bounded() {
    let limits = Limits {
        max_command_bytes: 10_000,
        max_message_bytes: 4_000,
        snapshot_after_entries: 20,
        retained_entries: 5,
        ..Limits::default()
    };
    let mut simulation = Simulation::with_limits(3, 1, limits);
    let leader = simulation.wait_for_leader();
    let follower = simulation.others(leader)[0];
    simulation.crash(follower);
    for _ in 0..30 {
        simulation.propose_sized(leader, 10_000);
        simulation.propose_sized(leader, 900);
        simulation.run(ms(5));
    }
    simulation.restart(follower);
    simulation.run(ms(5_000));
    assert!(
        simulation.largest_message <= 10_000 + 500,
        "a message of {} bytes",
        simulation.largest_message
    );
    let token = simulation.propose_sized(leader, 10_001);
    assert!(format!("{:?}", simulation.answers[&token]).contains("TooLarge"));
}

/// Returns the average traffic of a run minus the baseline, rounded up.
fn average_traffic(
    simulation: &mut Simulation,
    runs: u64,
    baseline: Traffic,
    run: impl Fn(&mut Simulation),
) -> Traffic {
    let before = simulation.traffic;
    for _ in 0..runs {
        run(simulation);
    }
    Traffic {
        messages: (simulation.traffic.messages - before.messages).div_ceil(runs)
            - baseline.messages,
        bytes: (simulation.traffic.bytes - before.bytes).div_ceil(runs) - baseline.bytes,
    }
}
