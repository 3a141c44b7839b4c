//! Number of recomputed tokens, compared with the minimum that is possible.

mod world;

use world::{CHAT, Event, Fault, ONCE, PROMPT_TOKENS, World, ms};

/// Test case: name, prompt tokens, tokens received before the faults, faults with their delays in
/// milliseconds, and number of runs lost.
type Case<'a> = (&'static str, u32, u32, &'a [(u64, Fault)], u64);

/// Runs a request until its owner has received the given number of tokens.
fn world(received: u32, prompt: u32, call: world::Call) -> World {
    let mut world = World::open(3, 1);
    (world.tokens, world.prompt) = (200, prompt);
    world.call(ms(10), 1, 0, call);
    let request = world.callers[0].request;
    while world.nodes[0].answers.get(&request).map_or(0, |answer| answer.position()) < received {
        assert!(world.step(), "the request is served");
    }
    world
}

fn inject_faults(world: &mut World, faults: &[(u64, Fault)]) {
    for (after, fault) in faults {
        let at = world.now + ms(*after);
        world.schedule(at, Event::Fault(*fault));
    }
    world.finish();
}

#[test]
fn only_lost_work_is_recomputed() {
    // A run is lost, or its upstream leaves, after a number of tokens. At least the prompt and the
    // received tokens must be computed again, or nothing if the run or its KV cache still exists.
    // More would mean that received tokens or a live run were thrown away.
    const LONG: u32 = 20_000;
    let cases: [Case<'_>; 9] = [
        ("engine killed early", PROMPT_TOKENS, 1, &[(0, Fault::KillUpstream(0))], 1),
        ("engine killed late", PROMPT_TOKENS, 150, &[(0, Fault::KillUpstream(0))], 1),
        ("notice of 0 s", PROMPT_TOKENS, 150, &[(0, Fault::Notice(0, ms(0)))], 1),
        ("notice of 1 s, long prompt", LONG, 50, &[(0, Fault::Notice(0, ms(1000)))], 0),
        ("notice of 30 s", PROMPT_TOKENS, 50, &[(0, Fault::Notice(0, ms(30_000)))], 0),
        ("owner killed", PROMPT_TOKENS, 50, &[(0, Fault::Kill(0))], 0),
        ("owner paused", PROMPT_TOKENS, 50, &[(0, Fault::Pause(0)), (3000, Fault::Resume(0))], 0),
        (
            "owner stops",
            PROMPT_TOKENS,
            50,
            &[(0, Fault::Stop(0, ms(1000))), (1000, Fault::Kill(0))],
            0,
        ),
        ("connection unresponsive", PROMPT_TOKENS, 50, &[(0, Fault::SilenceConnections(0))], 0),
    ];
    for (name, prompt, received, faults, lost) in cases {
        let mut world = world(received, prompt, CHAT);
        inject_faults(&mut world, faults);
        let least = lost * u64::from(prompt + received);
        let recomputed = world.recomputed();
        // One or two tokens can be in flight when the fault occurs.
        assert!(
            (least..=least + 2 * lost).contains(&recomputed),
            "{name}: {recomputed} recomputed, at least {least} expected"
        );
        assert!(world.callers[0].whole, "{name}");
    }
}

#[test]
fn a_second_loss_right_after_a_move_costs_one_more_move() {
    // The upstream to which a stream was just moved crashes before it has sent a token.
    let mut world = world(50, PROMPT_TOKENS, CHAT);
    inject_faults(&mut world, &[(0, Fault::KillUpstream(0)), (20, Fault::KillUpstream(1))]);
    let least = 2 * u64::from(PROMPT_TOKENS + 50);
    assert!((least..=least + 4).contains(&world.recomputed()), "{}", world.recomputed());
    assert!(world.callers[0].whole);
}

#[test]
fn a_non_idempotent_stream_moves_with_its_cache_or_stays() {
    // A non-idempotent stream must not run twice; moved with its KV cache, it continues the same run.
    let cases = [("enough time", 2000, true), ("no time", 0, false)];
    for (name, notice, whole) in cases {
        let mut world = world(50, PROMPT_TOKENS, ONCE);
        inject_faults(&mut world, &[(0, Fault::Notice(0, ms(notice)))]);
        assert_eq!(world.callers[0].whole, whole, "{name}");
        assert_eq!(world.runs[&world.callers[0].request], 1, "{name}");
        assert_eq!(world.recomputed(), 0, "{name}");
    }
}

#[test]
fn a_second_loss_right_after_the_repair_loses_nothing() {
    // The second holder is lost and replaced, or the owner is lost and the second holder takes
    // over. Then the remaining instance is lost as well. The new second holder must rejoin the run;
    // without one, the caller's tokens would be lost with both instances.
    for first in ["owner", "holder"] {
        let mut world = world(20, PROMPT_TOKENS, CHAT);
        let holder = (1..3).find(|at| world.nodes[*at].requests.counts().copies > 0);
        let lost =
            if first == "owner" { 0 } else { holder.expect("a second holder has the request") };
        let now = world.now;
        world.schedule(now, Event::Fault(Fault::Kill(lost)));
        let request = world.callers[0].request;
        while world.now < now + ms(900) && world.step() {}
        let owner = world.owner(request).expect("an instance owns the request");
        let now = world.now;
        world.schedule(now, Event::Fault(Fault::Kill(owner)));
        world.finish();
        assert!(world.callers[0].whole, "{first}: {:?}", world.callers[0].verdict);
        assert_eq!(world.recomputed(), 0, "{first}");
    }
}

#[test]
fn a_stopping_owner_hands_over_before_its_end() {
    // The instance itself is reclaimed. If the others only detected a loss, the stream would stand
    // still for the detection and grace times; after a handover, another instance continues it first.
    let mut world = world(50, PROMPT_TOKENS, CHAT);
    let now = world.now;
    world.schedule(now, Event::Fault(Fault::Stop(0, ms(1000))));
    let request = world.callers[0].request;
    while world.now < now + ms(900) && world.step() {}
    assert!(world.owner(request).is_some_and(|owner| owner != 0));
    world.finish();
    assert!(world.callers[0].whole && world.callers[0].calls == 1 && world.nodes[0].drained);
    assert_eq!(world.recomputed(), 0);
}
