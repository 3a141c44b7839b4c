//! Tokens computed again, against the least that is possible.

mod world;

use world::{CHAT, Event, Fault, ONCE, PROMPT, World, ms};

/// One case: its name, the prompt, the tokens received, what happens then, and whether the run is
/// lost by it.
type Case<'a> = (&'static str, u32, u32, &'a [(u64, Fault)], u64);

/// Runs a request until its owner has `received` tokens.
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

fn strike(world: &mut World, faults: &[(u64, Fault)]) {
    for (after, fault) in faults {
        let at = world.now + ms(*after);
        world.at(at, Event::Fault(*fault));
    }
    world.finish();
}

#[test]
fn only_what_is_lost_is_computed_again() {
    // A run is lost, or its upstream leaves, after so many tokens. The least that can be computed
    // again is the prompt and the tokens received, and nothing where the run or its KV cache is
    // still there. More would mean that received tokens were thrown away, or a run that goes on.
    const LONG: u32 = 20_000;
    let cases: [Case<'_>; 9] = [
        ("engine killed early", PROMPT, 1, &[(0, Fault::KillUpstream(0))], 1),
        ("engine killed late", PROMPT, 150, &[(0, Fault::KillUpstream(0))], 1),
        ("notice of 0 s", PROMPT, 150, &[(0, Fault::Notice(0, ms(0)))], 1),
        ("notice of 1 s, long prompt", LONG, 50, &[(0, Fault::Notice(0, ms(1000)))], 0),
        ("notice of 30 s", PROMPT, 50, &[(0, Fault::Notice(0, ms(30_000)))], 0),
        ("owner killed", PROMPT, 50, &[(0, Fault::Kill(0))], 0),
        ("owner frozen", PROMPT, 50, &[(0, Fault::Freeze(0)), (3000, Fault::Thaw(0))], 0),
        ("owner stops", PROMPT, 50, &[(0, Fault::Stop(0, ms(1000))), (1000, Fault::Kill(0))], 0),
        ("connection silent", PROMPT, 50, &[(0, Fault::Mute(0))], 0),
    ];
    for (name, prompt, received, faults, lost) in cases {
        let mut world = world(received, prompt, CHAT);
        strike(&mut world, faults);
        let least = lost * u64::from(prompt + received);
        let again = world.recomputed();
        // A token or two can be on their way when the fault strikes.
        assert!((least..=least + 2 * lost).contains(&again), "{name}: {again} not {least}");
        assert!(world.callers[0].whole, "{name}");
    }
}

#[test]
fn a_second_loss_right_after_the_move_costs_one_move_more() {
    // The upstream to which a stream was just moved dies before it has given a token.
    let mut world = world(50, PROMPT, CHAT);
    strike(&mut world, &[(0, Fault::KillUpstream(0)), (20, Fault::KillUpstream(1))]);
    let least = 2 * u64::from(PROMPT + 50);
    assert!((least..=least + 4).contains(&world.recomputed()), "{}", world.recomputed());
    assert!(world.callers[0].whole);
}

#[test]
fn a_non_idempotent_stream_moves_with_its_cache_or_stays() {
    // It must not run twice; moved with its KV cache it goes on as the same run.
    let cases = [("time enough", 2000, true), ("no time", 0, false)];
    for (name, notice, whole) in cases {
        let mut world = world(50, PROMPT, ONCE);
        strike(&mut world, &[(0, Fault::Notice(0, ms(notice)))]);
        assert_eq!(world.callers[0].whole, whole, "{name}");
        assert_eq!(world.runs[&world.callers[0].request], 1, "{name}");
        assert_eq!(world.recomputed(), 0, "{name}");
    }
}

#[test]
fn a_second_loss_right_after_the_repair_loses_nothing() {
    // The second holder is lost and replaced, or the owner is lost and the second holder takes
    // over; then the one that is left is lost as well. Whoever has become second holder since joins
    // the run: had nobody, the caller's tokens would be gone with both.
    for first in ["owner", "holder"] {
        let mut world = world(20, PROMPT, CHAT);
        let holder = (1..3).find(|at| world.nodes[*at].requests.counts().copies > 0);
        let lost = if first == "owner" { 0 } else { holder.expect("it is held") };
        let now = world.now;
        world.at(now, Event::Fault(Fault::Kill(lost)));
        let request = world.callers[0].request;
        while world.now < now + ms(900) && world.step() {}
        let owner = world.owner(request).expect("somebody owns it");
        let now = world.now;
        world.at(now, Event::Fault(Fault::Kill(owner)));
        world.finish();
        assert!(world.callers[0].whole, "{first}: {:?}", world.callers[0].verdict);
        assert_eq!(world.recomputed(), 0, "{first}");
    }
}

#[test]
fn a_stopping_owner_hands_over_before_its_end() {
    // The instance is reclaimed itself. Left to be noticed as a loss, the stream would stand still
    // for suspicion and grace; handed over, another goes on with it before the end.
    let mut world = world(50, PROMPT, CHAT);
    let now = world.now;
    world.at(now, Event::Fault(Fault::Stop(0, ms(1000))));
    let request = world.callers[0].request;
    while world.now < now + ms(900) && world.step() {}
    assert!(world.owner(request).is_some_and(|owner| owner != 0));
    world.finish();
    assert!(world.callers[0].whole && world.callers[0].calls == 1 && world.nodes[0].drained);
    assert_eq!(world.recomputed(), 0);
}
