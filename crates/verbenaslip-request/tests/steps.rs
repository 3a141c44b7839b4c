//! A fault at every step between the arrival of a request and its answer.

mod world;

use verbenaslip_request::caller::Verdict;
use world::{ANONYMOUS, CHAT, Call, Event, Fault, LOOKUP, ONCE, ORDER, World, ms};

/// Fault scenario and its allowed effects on a single caller with a key.
struct Case {
    name: &'static str,
    call: Call,
    faults: FaultPlan,
    /// Whether the answer must be complete at whichever step the fault occurs.
    whole: bool,
    /// Maximum number of runs.
    runs: u32,
    /// Maximum number of recomputed tokens.
    max_recomputed: u64,
}

/// Milliseconds after the step, and the fault that occurs then.
type TimedFault = (u64, Fault);

/// Chooses faults according to the current state of the world.
type FaultPlan = fn(&World) -> Vec<TimedFault>;

const NO_TOKENS: u64 = 0;
const PROMPT_TOKENS: u64 = world::PROMPT_TOKENS as u64;
const ALL_TOKENS: u64 = PROMPT_TOKENS + 20;

fn owner(world: &World) -> usize {
    world.owner(world.callers[0].request).unwrap_or(world.callers[0].at)
}

fn holder(world: &World) -> usize {
    let owner = owner(world);
    (0..world.nodes.len())
        .find(|at| *at != owner && world.nodes[*at].requests.counts().copies > 0)
        .unwrap_or((owner + 1) % world.nodes.len())
}

fn upstream(world: &World) -> usize {
    world.upstreams.iter().position(|fake| fake.runs.values().any(|run| !run.stopped)).unwrap_or(0)
}

const CASES: &[Case] = &[
    // The instance that runs the request dies; its home instance rejoins the run at the engine.
    Case {
        name: "owner killed",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "owner killed, non-idempotent",
        call: ONCE,
        faults: |w| vec![(0, Fault::Kill(owner(w)))],
        whole: false,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "owner killed, order at a service",
        call: ORDER,
        faults: |w| vec![(0, Fault::Kill(owner(w)))],
        whole: false,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "owner restarted",
        call: CHAT,
        faults: |w| vec![(0, Fault::Restart(owner(w)))],
        whole: true,
        runs: 2,
        max_recomputed: PROMPT_TOKENS,
    },
    Case {
        name: "owner restarted, order at a service",
        call: ORDER,
        faults: |w| vec![(0, Fault::Restart(owner(w)))],
        whole: false,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "home killed",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(holder(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "home killed, order",
        call: ORDER,
        faults: |w| vec![(0, Fault::Kill(holder(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    // The second holder is lost right after it took the request over.
    Case {
        name: "owner killed, then its successor",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(owner(w))), (1100, Fault::Kill(holder(w)))],
        whole: true,
        runs: 2,
        max_recomputed: PROMPT_TOKENS,
    },
    Case {
        name: "home killed, then owner",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(holder(w))), (330, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "owner paused for 3 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Pause(owner(w))), (3000, Fault::Resume(owner(w)))],
        whole: true,
        runs: 2,
        max_recomputed: PROMPT_TOKENS,
    },
    Case {
        name: "owner paused for 3 s, order",
        call: ORDER,
        faults: |w| vec![(0, Fault::Pause(owner(w))), (3000, Fault::Resume(owner(w)))],
        whole: false,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "home paused for 3 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Pause(holder(w))), (3000, Fault::Resume(holder(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    // Other instances consider the owner dead while it continues to work.
    Case {
        name: "owner and home partitioned for 3 s",
        call: CHAT,
        faults: |w| {
            let (one, other) = (owner(w), holder(w));
            vec![(0, Fault::Partition(one, other)), (3000, Fault::Heal(one, other))]
        },
        whole: true,
        runs: 2,
        max_recomputed: PROMPT_TOKENS,
    },
    Case {
        name: "owner and home partitioned for 3 s, once",
        call: ONCE,
        faults: |w| {
            let (one, other) = (owner(w), holder(w));
            vec![(0, Fault::Partition(one, other)), (3000, Fault::Heal(one, other))]
        },
        whole: false,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "engine killed",
        call: CHAT,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w)))],
        whole: true,
        runs: 2,
        max_recomputed: ALL_TOKENS - 1,
    },
    Case {
        name: "engine killed, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w)))],
        whole: false,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "engine vanished",
        call: CHAT,
        faults: |w| vec![(0, Fault::VanishUpstream(upstream(w)))],
        whole: true,
        runs: 2,
        max_recomputed: ALL_TOKENS - 1,
    },
    Case {
        name: "two engines killed",
        call: CHAT,
        faults: |_| vec![(0, Fault::KillUpstream(0)), (40, Fault::KillUpstream(1))],
        whole: true,
        runs: 3,
        max_recomputed: 2 * (ALL_TOKENS - 1),
    },
    // A device between both ends loses track of the connection while the run continues.
    Case {
        name: "connection unresponsive",
        call: CHAT,
        faults: |w| vec![(0, Fault::SilenceConnections(upstream(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "connection unresponsive, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::SilenceConnections(upstream(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "no end mark",
        call: CHAT,
        faults: |w| vec![(0, Fault::TruncateStreams(upstream(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "no end mark, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::TruncateStreams(upstream(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "notice of 0 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(0)))],
        whole: true,
        runs: 2,
        max_recomputed: ALL_TOKENS - 1,
    },
    Case {
        name: "notice of 0.6 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(600)))],
        whole: true,
        runs: 2,
        max_recomputed: ALL_TOKENS - 10,
    },
    Case {
        name: "notice of 2 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(2000)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "notice of 30 s, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(30_000)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    // The instance and the upstream of one availability zone fail at once.
    Case {
        name: "zone loss",
        call: CHAT,
        faults: |w| {
            vec![(0, Fault::Notice(0, ms(0))), (0, Fault::Notice(1, ms(0))), {
                (2, Fault::Kill(owner(w)))
            }]
        },
        whole: true,
        runs: 3,
        max_recomputed: ALL_TOKENS - 1,
    },
    Case {
        name: "caller comes back elsewhere",
        call: CHAT,
        faults: |_| vec![(0, Fault::Disconnect(0))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "caller comes back elsewhere, once",
        call: ORDER,
        faults: |_| vec![(0, Fault::Disconnect(0))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "service killed, lookup",
        call: LOOKUP,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w).max(3)))],
        whole: true,
        runs: 2,
        max_recomputed: PROMPT_TOKENS,
    },
    Case {
        name: "service killed, order",
        call: ORDER,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w).max(3)))],
        whole: false,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    // The instance itself is reclaimed: its streams are handed over and continue.
    Case {
        name: "owner stops in 2 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(2000))), (2000, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "owner stops in 0.1 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(100))), (100, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "owner stops in 0.1 s, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(100))), (100, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "owner stops gracefully, without a key",
        call: ANONYMOUS,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(20_000)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
    Case {
        name: "home stops",
        call: CHAT,
        faults: |w| vec![(0, Fault::Stop(holder(w), ms(50))), (50, Fault::Kill(holder(w)))],
        whole: true,
        runs: 1,
        max_recomputed: NO_TOKENS,
    },
];

#[test]
fn invariants_hold_with_a_fault_at_any_step() {
    let mut problems = Vec::new();
    for case in CASES {
        for instances in [3, 4] {
            problems.extend(run_with_fault_at_each_step(case, instances));
        }
    }
    assert!(problems.is_empty(), "{} problems:\n{}", problems.len(), problems.join("\n"));
}

/// Injects the faults at each step in turn and returns the violations.
fn run_with_fault_at_each_step(case: &Case, instances: usize) -> Vec<String> {
    let steps = {
        let mut world = World::open(instances, 1);
        world.call(ms(10), 1, 0, case.call);
        world.run(u64::MAX);
        world.events
    };
    let (mut problems, mut whole, mut refusals, mut most) = (Vec::new(), 0, 0, 0);
    let first = u64::try_from(instances * (instances - 1)).expect("few instances") + 1;
    for step in first..steps.min(400) {
        let mut world = World::open(instances, 1);
        world.call(ms(10), 1, 0, case.call);
        world.run(step);
        let now = world.now;
        for (after, fault) in (case.faults)(&world) {
            world.schedule(now + ms(after), Event::Fault(fault));
        }
        world.run(2_000_000);
        let caller = &world.callers[0];
        let runs = world.runs.get(&caller.request).copied().unwrap_or(0);
        let refused = matches!(caller.verdict, Some(Verdict::Refused(_)));
        let incomplete = (case.whole && !refused && !caller.whole).then_some("answer not complete");
        let too_many_runs = (runs > case.runs).then_some("too many runs");
        let too_much_recomputed =
            (world.recomputed() > case.max_recomputed).then_some("too many tokens recomputed");
        refusals += u32::from(refused);
        whole += u32::from(caller.whole);
        most = most.max(world.recomputed());
        for problem in [incomplete, too_many_runs, too_much_recomputed]
            .into_iter()
            .flatten()
            .map(str::to_owned)
            .chain(world.problem())
        {
            problems.push(format!(
                "{} of {instances} at step {step}: {problem}: runs {runs}, recomputed {}, {:?}, {} tokens",
                case.name,
                world.recomputed(),
                caller.verdict,
                caller.texts.len(),
            ));
        }
    }
    println!(
        "{} of {instances}: {whole} complete and {refusals} refused of {}, at most {most} recomputed",
        case.name,
        steps.min(400) - first
    );
    problems.truncate(4);
    problems
}
