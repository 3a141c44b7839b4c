//! Requests without faults, and simple cases of arrival.

mod world;

use verbenaslip_base::refusal::Unknown;
use verbenaslip_request::caller::Verdict;
use world::{ANONYMOUS, CHAT, Call, LOOKUP, ONCE, ORDER, Quorum, World, ms};

#[test]
fn each_kind_of_request_is_answered_completely_by_one_run() {
    for (name, call) in kinds() {
        let mut world = World::open(3, 1);
        let caller = world.call(ms(10), 1, 0, call);
        world.finish();
        let request = world.callers[caller].request;
        assert!(world.callers[caller].whole, "{name}");
        assert_eq!(world.runs[&request], 1, "{name}");
        assert_eq!(world.recomputed(), 0, "{name}");
    }
}

fn kinds() -> [(&'static str, Call); 5] {
    [
        ("chat", CHAT),
        ("chat once", ONCE),
        ("order", ORDER),
        ("lookup", LOOKUP),
        ("anonymous", ANONYMOUS),
    ]
}

#[test]
fn a_resend_joins_the_request_that_runs() {
    // A caller repeats its key while the first call is in transit or running. If each instance knew
    // only its own requests, both would run.
    for (name, call) in [("chat", CHAT), ("once", ONCE), ("order", ORDER)] {
        for gap in [0, 1, 2, 3, 5, 8, 40, 100, 200, 400] {
            for to in 0..3 {
                let mut world = World::open(3, 1);
                let first = world.call(ms(10), 1, 0, call);
                let second = world.call(ms(10 + gap), 1, to, call);
                world.finish();
                let request = world.callers[first].request;
                let case = format!("{name} {gap} ms later at {to}");
                assert!(world.callers[first].whole, "{case}");
                assert!(world.callers[second].whole, "{case}");
                assert_eq!(world.runs[&request], 1, "{case}");
                assert_eq!(world.callers[first].texts, world.callers[second].texts, "{case}");
            }
        }
    }
}

#[test]
fn without_a_quorum_nothing_non_idempotent_is_sent() {
    let cases = [(Quorum::Down, false), (Quorum::Unsure, true)];
    for (quorum, may_run) in cases {
        for seed in 0..20 {
            let mut world = World::open(3, seed);
            world.quorum = quorum;
            let caller = world.call(ms(10), 1, 0, ORDER);
            world.finish();
            let caller = &world.callers[caller];
            let refused = matches!(caller.verdict, Some(Verdict::Refused(_)));
            let unknown = caller.verdict == Some(Verdict::Unknown(Unknown::Unreachable));
            assert!(refused || (may_run && (caller.whole || unknown)), "{quorum:?}");
        }
    }
}
