//! A fault at every single step between receipt and answer.

mod world;

use verbenaslip_request::caller::Verdict;
use world::{ANONYMOUS, CHAT, Call, Event, Fault, LOOKUP, ONCE, ORDER, World, ms};

/// One fault and what it may do to a single caller with a key.
struct Case {
    name: &'static str,
    call: Call,
    faults: Plan,
    /// Whether the answer must be whole whatever the step.
    whole: bool,
    /// Runs at most.
    runs: u32,
    /// Tokens computed again at most.
    again: u64,
}

/// Milliseconds after the step, and what goes wrong then.
type After = (u64, Fault);

/// Chooses what goes wrong from how far the world has got.
type Plan = fn(&World) -> Vec<After>;

const NONE: u64 = 0;
const PROMPT: u64 = world::PROMPT as u64;
const ALL: u64 = PROMPT + 20;

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
    world.backs.iter().position(|back| back.runs.values().any(|run| !run.stopped)).unwrap_or(0)
}

const CASES: &[Case] = &[
    // The instance that runs the request dies; its home joins the same run at the engine.
    Case {
        name: "owner killed",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "owner killed, non-idempotent",
        call: ONCE,
        faults: |w| vec![(0, Fault::Kill(owner(w)))],
        whole: false,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "owner killed, order at a service",
        call: ORDER,
        faults: |w| vec![(0, Fault::Kill(owner(w)))],
        whole: false,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "owner restarted",
        call: CHAT,
        faults: |w| vec![(0, Fault::Restart(owner(w)))],
        whole: true,
        runs: 2,
        again: PROMPT,
    },
    Case {
        name: "owner restarted, order at a service",
        call: ORDER,
        faults: |w| vec![(0, Fault::Restart(owner(w)))],
        whole: false,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "home killed",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(holder(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "home killed, order",
        call: ORDER,
        faults: |w| vec![(0, Fault::Kill(holder(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    // The second holder is lost right after it took the request over.
    Case {
        name: "owner killed, then its successor",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(owner(w))), (1100, Fault::Kill(holder(w)))],
        whole: true,
        runs: 2,
        again: PROMPT,
    },
    Case {
        name: "home killed, then owner",
        call: CHAT,
        faults: |w| vec![(0, Fault::Kill(holder(w))), (330, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "owner frozen for 3 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Freeze(owner(w))), (3000, Fault::Thaw(owner(w)))],
        whole: true,
        runs: 2,
        again: PROMPT,
    },
    Case {
        name: "owner frozen for 3 s, order",
        call: ORDER,
        faults: |w| vec![(0, Fault::Freeze(owner(w))), (3000, Fault::Thaw(owner(w)))],
        whole: false,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "home frozen for 3 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Freeze(holder(w))), (3000, Fault::Thaw(holder(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    // Others believe the owner dead, and it goes on all the while.
    Case {
        name: "owner and home cut for 3 s",
        call: CHAT,
        faults: |w| {
            let (one, other) = (owner(w), holder(w));
            vec![(0, Fault::Cut(one, other)), (3000, Fault::Heal(one, other))]
        },
        whole: true,
        runs: 2,
        again: PROMPT,
    },
    Case {
        name: "owner and home cut for 3 s, once",
        call: ONCE,
        faults: |w| {
            let (one, other) = (owner(w), holder(w));
            vec![(0, Fault::Cut(one, other)), (3000, Fault::Heal(one, other))]
        },
        whole: false,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "engine killed",
        call: CHAT,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w)))],
        whole: true,
        runs: 2,
        again: ALL - 1,
    },
    Case {
        name: "engine killed, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w)))],
        whole: false,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "engine vanished",
        call: CHAT,
        faults: |w| vec![(0, Fault::VanishUpstream(upstream(w)))],
        whole: true,
        runs: 2,
        again: ALL - 1,
    },
    Case {
        name: "two engines killed",
        call: CHAT,
        faults: |_| vec![(0, Fault::KillUpstream(0)), (40, Fault::KillUpstream(1))],
        whole: true,
        runs: 3,
        again: 2 * (ALL - 1),
    },
    // Something between the two ends has lost track of the connection; the run goes on.
    Case {
        name: "connection silent",
        call: CHAT,
        faults: |w| vec![(0, Fault::Mute(upstream(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "connection silent, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::Mute(upstream(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "no end mark",
        call: CHAT,
        faults: |w| vec![(0, Fault::CutOff(upstream(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "no end mark, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::CutOff(upstream(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "notice of 0 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(0)))],
        whole: true,
        runs: 2,
        again: ALL - 1,
    },
    Case {
        name: "notice of 0.6 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(600)))],
        whole: true,
        runs: 2,
        again: ALL - 10,
    },
    Case {
        name: "notice of 2 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(2000)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "notice of 30 s, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::Notice(upstream(w), ms(30_000)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    // An availability zone's instance and upstream go at once.
    Case {
        name: "zone wave",
        call: CHAT,
        faults: |w| {
            vec![(0, Fault::Notice(0, ms(0))), (0, Fault::Notice(1, ms(0))), {
                (2, Fault::Kill(owner(w)))
            }]
        },
        whole: true,
        runs: 3,
        again: ALL - 1,
    },
    Case {
        name: "caller comes back elsewhere",
        call: CHAT,
        faults: |_| vec![(0, Fault::Disconnect(0))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "caller comes back elsewhere, once",
        call: ORDER,
        faults: |_| vec![(0, Fault::Disconnect(0))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "service killed, lookup",
        call: LOOKUP,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w).max(3)))],
        whole: true,
        runs: 2,
        again: PROMPT,
    },
    Case {
        name: "service killed, order",
        call: ORDER,
        faults: |w| vec![(0, Fault::KillUpstream(upstream(w).max(3)))],
        whole: false,
        runs: 1,
        again: NONE,
    },
    // This instance is reclaimed itself: streams go over to their homes, and run on.
    Case {
        name: "owner stops in 2 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(2000))), (2000, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "owner stops in 0.1 s",
        call: CHAT,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(100))), (100, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "owner stops in 0.1 s, once",
        call: ONCE,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(100))), (100, Fault::Kill(owner(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "owner stops gracefully, nobody has a key",
        call: ANONYMOUS,
        faults: |w| vec![(0, Fault::Stop(owner(w), ms(20_000)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
    Case {
        name: "home stops",
        call: CHAT,
        faults: |w| vec![(0, Fault::Stop(holder(w), ms(50))), (50, Fault::Kill(holder(w)))],
        whole: true,
        runs: 1,
        again: NONE,
    },
];

#[test]
fn a_fault_at_any_step_keeps_what_must_hold() {
    let mut problems = Vec::new();
    for case in CASES {
        for instances in [3, 4] {
            problems.extend(sweep(case, instances));
        }
    }
    assert!(problems.is_empty(), "{} problems:\n{}", problems.len(), problems.join("\n"));
}

/// Brings the fault about at each step in turn, and returns what did not hold.
fn sweep(case: &Case, instances: usize) -> Vec<String> {
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
            world.at(now + ms(after), Event::Fault(fault));
        }
        world.run(2_000_000);
        let caller = &world.callers[0];
        let runs = world.runs.get(&caller.request).copied().unwrap_or(0);
        let refused = matches!(caller.verdict, Some(Verdict::Refused(_)));
        let told = (case.whole && !refused && !caller.whole).then_some("not whole");
        let often = (runs > case.runs).then_some("runs too often");
        let again = (world.recomputed() > case.again).then_some("computes too much again");
        refusals += u32::from(refused);
        whole += u32::from(caller.whole);
        most = most.max(world.recomputed());
        for problem in
            [told, often, again].into_iter().flatten().map(str::to_owned).chain(world.problem())
        {
            problems.push(format!(
                "{} of {instances} at step {step}: {problem}: runs {runs}, again {}, {:?}, {} tokens",
                case.name,
                world.recomputed(),
                caller.verdict,
                caller.texts.len(),
            ));
        }
    }
    println!(
        "{} of {instances}: {whole} whole and {refusals} refused of {}, again at most {most}",
        case.name,
        steps.min(400) - first
    );
    problems.truncate(4);
    problems
}
