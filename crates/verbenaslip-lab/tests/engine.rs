//! What the engine stand-in does and how it fails.

mod common;

use std::time::Duration;

use common::{Stream, body, eventually, get, post, rejoin, run, run_with};
use serde_json::json;
use verbenaslip_lab::engine::Engine;
use verbenaslip_lab::engine::fault::{Fault, Flaw};
use verbenaslip_lab::engine::setup::{Cache, Pace, Setup};
use verbenaslip_lab::engine::truth::{End, Run, Start, Truth};
use verbenaslip_lab::text;

const LONG: u32 = 1_000;

fn engine(change: impl FnOnce(&mut Setup)) -> Engine {
    let mut setup = Setup::new("engine-1", "north");
    setup.pace = Pace { token: Duration::from_millis(2), ..Pace::default() };
    change(&mut setup);
    Engine::spawn(setup).expect("the engine starts")
}

fn prompt(content: &str) -> String {
    format!("user\n{content}\n")
}

#[test]
fn resumed_run_goes_on_with_the_same_text() {
    // Symptom: an answer that changes its words where it moved. Sequence: an engine dies after some
    // tokens, another gets prompt and tokens so far. Cause: the text would depend on the engine.
    let content = "a long thread ".repeat(20);
    let (first, second) = (engine(|_| ()), engine(|_| ()));
    let mut stream = run(first.address(), 1, 1, &body(&content, LONG));
    let so_far = stream.until(5);
    first.kill();
    assert!(first.wait(common::PATIENCE));
    assert!(!stream.rest().done);

    let mut resume = body(&content, 9);
    resume["resume"] = json!({"text": so_far.text, "tokens": 5});
    let rest = run(second.address(), 1, 2, &resume).rest();
    assert_eq!(rest.ids, [6, 7, 8, 9]);
    assert!(rest.done);
    assert_eq!(so_far.text + &rest.text, text::expect(&prompt(&content), 9));

    let truths = [first.truth(), second.truth()];
    let one = &truths[1].runs[0];
    assert_eq!((one.start, one.replayed, one.from, one.position), (Start::Resume, 5, 5, 9));
    assert!(one.matches);
    // The whole prompt and the five tokens were computed a second time.
    assert!(Truth::tokens(&truths).again >= u64::from(one.prompt) + 5);
}

#[test]
fn wrong_text_so_far_shows() {
    // Symptom: an answer assembled from two requests. Sequence: a resume with another request's
    // tokens. Cause: mixed up streams at the entry instance.
    let engine = engine(|_| ());
    let mut resume = body("mine", 6);
    resume["resume"] = json!({"text": text::expect(&prompt("yours"), 3), "tokens": 3});
    let rest = run(engine.address(), 1, 1, &resume).rest();
    let whole = text::expect(&prompt("mine"), 6);
    assert!(!whole.ends_with(&rest.text));
    assert!(!engine.truth().runs[0].matches);
}

#[test]
fn prefix_cache_saves_prompt_tokens() {
    let engine = engine(|_| ());
    let shared = "s".repeat(640);
    let ask = |request, own: &str| {
        let body = json!({
            "model": "assistant", "max_tokens": 1, "stream": true,
            "messages": [
                {"role": "system", "content": shared},
                {"role": "user", "content": own},
            ],
        });
        assert!(run(engine.address(), request, 1, &body).rest().done);
    };
    ask(1, "one");
    ask(2, "two");
    engine.fault(Fault::Forget);
    ask(3, "one");
    let computed: Vec<u32> = engine.truth().runs.iter().map(|run| run.computed).collect();
    // 657 bytes are 165 tokens, of which ten blocks of sixteen are shared and whole.
    assert_eq!(computed, [165, 5, 165]);
}

#[test]
fn bounded_cache_lets_go_of_the_oldest() {
    let engine = engine(|setup| setup.cache = Cache { blocks: 4, ..Cache::default() });
    for (request, letter) in [(1, "a"), (2, "b"), (3, "a")] {
        assert!(run(engine.address(), request, 1, &body(&letter.repeat(256), 1)).rest().done);
    }
    let runs = engine.truth().runs;
    assert!(runs.iter().all(|run| run.computed == run.prompt), "{runs:?}");
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    // Symptom: the router believes in blocks that are gone. Sequence: events are lost between two
    // questions. Cause: the engine's log of events is bounded and loses some.
    let quick = Duration::ZERO;
    let gappy = engine(|setup| setup.cache = Cache { delay: quick, gap: 3, ..Cache::default() });
    let late = engine(|setup| setup.cache = Cache { delay: common::PATIENCE, ..Cache::default() });
    for engine in [&gappy, &late] {
        assert!(run(engine.address(), 1, 1, &body(&"x".repeat(400), 1)).rest().done);
    }
    let page = get(gappy.address(), "/v1/cache/events?since=0");
    assert_eq!(page["gap"], true);
    let sequences: Vec<u64> = page["events"]
        .as_array()
        .expect("events are a list")
        .iter()
        .filter_map(|event| event["sequence"].as_u64())
        .collect();
    assert_eq!(sequences, [1, 2, 4, 5]);
    let next = page["next"].as_u64().expect("next is a number");
    let page = get(gappy.address(), &format!("/v1/cache/events?since={next}"));
    assert_eq!(page["events"], json!([]));
    let page = get(late.address(), "/v1/cache/events?since=0");
    assert_eq!(page, json!({"next": 1, "gap": false, "events": []}));
}

#[test]
fn exported_cache_saves_all_computing() {
    let (first, second) = (engine(|_| ()), engine(|_| ()));
    let mut stream = run(first.address(), 1, 1, &body("move me", LONG));
    let so_far = stream.until(3);
    let export = json!({"request": format!("{:032x}", 1), "attempt": 1});
    let exported = post(first.address(), "/v1/kv/export", &export);
    let tail = stream.rest();
    assert!(!tail.done, "an exported stream has no end mark");
    let position = u32::try_from(exported["tokens"].as_u64().expect("tokens")).expect("few");
    assert_eq!(so_far.ids.len() + tail.ids.len(), position as usize);

    let import = json!({"handle": exported["handle"], "source": first.address().to_string()});
    assert_eq!(post(second.address(), "/v1/kv/import", &import)["tokens"], position);
    let mut go_on = body("move me", position + 3);
    go_on["kv"] = json!({"handle": exported["handle"]});
    let rest = run(second.address(), 1, 2, &go_on).rest();
    assert!(rest.done);
    let text = so_far.text + &tail.text + &rest.text;
    assert_eq!(text, text::expect(&prompt("move me"), position + 3));

    let truths = [first.truth(), second.truth()];
    assert_eq!(truths[0].runs[0].end, Some(End::Exported));
    assert_eq!(Truth::tokens(&truths).again, 0);
}

#[test]
fn imported_cache_sends_again_what_was_still_under_way() {
    // Symptom: tokens counted as computed again after a move by cache. Sequence: the cache is
    // exported before the last tokens of the stream have arrived. Cause: the cache covers more than
    // the text handed in, and an engine need not compute that part again.
    let (first, second) = (engine(|_| ()), engine(|_| ()));
    let mut stream = run(first.address(), 1, 1, &body("move me", LONG));
    let so_far = stream.until(3);
    eventually("the run is further", || first.truth().runs[0].position > 5);
    let export = json!({"request": format!("{:032x}", 1), "attempt": 1});
    let exported = post(first.address(), "/v1/kv/export", &export);
    let position = u32::try_from(exported["tokens"].as_u64().expect("tokens")).expect("few");

    let import = json!({"handle": exported["handle"], "source": first.address().to_string()});
    post(second.address(), "/v1/kv/import", &import);
    let mut go_on = body("move me", position + 2);
    go_on["kv"] = json!({"handle": exported["handle"]});
    go_on["resume"] = json!({"text": so_far.text, "tokens": 3});
    let rest = run(second.address(), 1, 2, &go_on).rest();
    assert_eq!(rest.ids, (4..=position + 2).collect::<Vec<u32>>());
    assert_eq!(so_far.text + &rest.text, text::expect(&prompt("move me"), position + 2));
    assert_eq!(Truth::tokens(&[first.truth(), second.truth()]).again, 0);
}

#[test]
fn cancel_stops_a_run_unless_it_is_deaf() {
    // Symptom: tokens of an old attempt arrive after the move. Sequence: the old attempt is cancelled
    // and sends on. Cause: the cancel is answered before the batch has obeyed, or never obeyed.
    for deaf in [false, true] {
        let engine = engine(|_| ());
        if deaf {
            engine.fault(Fault::Flaw { count: 1, flaw: Flaw::Deaf });
        }
        let mut stream = run(engine.address(), 1, 1, &body("stop", 40));
        stream.until(2);
        let path = format!("/v1/streams/{:032x}/1/cancel", 1);
        assert_eq!(post(engine.address(), &path, &json!({})), json!({"cancelled": true}));
        let rest = stream.rest();
        assert_eq!(rest.done, deaf);
        assert_eq!(post(engine.address(), &path, &json!({})), json!({"cancelled": false}));
    }
}

#[test]
fn run_goes_on_without_its_connection_for_a_grace() {
    let engine = engine(|setup| {
        setup.grace = Duration::from_millis(200);
        setup.pace.token = Duration::from_millis(5);
    });
    let mut stream = run(engine.address(), 1, 1, &body("hold", LONG));
    stream.until(2);
    drop(stream);
    let more = rejoin(engine.address(), 1, 1, 2).until(5);
    assert_eq!(more.ids, [3, 4, 5]);
    eventually("the run is given up", || engine.truth().runs[0].end == Some(End::Abandoned));
}

#[test]
fn silent_connection_is_joined_again_on_a_new_one() {
    // Symptom: a stream stops and its connection stays open. Sequence: something between the ends
    // forgets the connection. Cause: no end of the connection ever arrives.
    let engine = engine(|_| ());
    let mut stream = run(engine.address(), 1, 1, &body("quiet", 60));
    stream.until(2);
    engine.fault(Fault::Silence);
    stream.within(Duration::from_millis(300));
    let before = stream.rest();
    assert!(!before.done);
    let last = before.ids.last().copied().unwrap_or(2);
    let rest = rejoin(engine.address(), 1, 1, last).rest();
    assert_eq!(rest.ids.first(), Some(&(last + 1)));
    assert!(rest.done);
    assert_eq!(engine.truth().runs.len(), 1);
}

#[test]
fn silence_can_be_asked_for_over_http() {
    // Symptom: the script that sets the fault hangs. Sequence: all connections go silent, also the
    // one on which that was asked for. Cause: the fault took hold before its own answer.
    let engine = engine(|_| ());
    let mut stream = run(engine.address(), 1, 1, &body("quiet", LONG));
    stream.until(2);
    let fault = json!({"fault": "silence"}).to_string();
    let answer = Stream::open(engine.address(), "POST", "/lab/fault", "", &fault);
    assert_eq!(answer.status, 204);
    stream.within(Duration::from_millis(300));
    assert!(!stream.rest().done);
}

#[test]
fn flaws_show_on_the_stream() {
    // Each row: what is wrong, the positions that come, and whether the end mark does.
    type Row = (Flaw, &'static [u32], bool);
    let rows: [Row; 5] = [
        (Flaw::Cut { after: 2 }, &[1, 2], false),
        (Flaw::Reset { after: 3 }, &[1, 2, 3], false),
        (Flaw::Skip { at: 2 }, &[1, 3, 4], true),
        (Flaw::Repeat { at: 3, count: 2 }, &[1, 2, 3, 2, 3, 4], true),
        (Flaw::Stall { after: 1 }, &[1], false),
    ];
    for (flaw, ids, done) in rows {
        let engine = engine(|_| ());
        engine.fault(Fault::Flaw { count: 1, flaw });
        let mut stream = run(engine.address(), 1, 1, &body("flawed", 4));
        stream.within(Duration::from_millis(300));
        let carried = stream.rest();
        assert_eq!((carried.ids.as_slice(), carried.done), (ids, done), "{flaw:?}");
        let whole = rejoin(engine.address(), 1, 1, 0).rest();
        assert!(whole.done, "a rejoin has no flaw: {flaw:?}");
        assert_eq!(whole.text, text::expect(&prompt("flawed"), 4));
    }
}

#[test]
fn refusals_and_errors_are_told_apart() {
    // Each row: the fault, the status, and whether the engine counts a run.
    let rows = [
        (Fault::Refuse { count: 1 }, 503, 0),
        (Fault::Error { count: 1, run: false }, 500, 0),
        (Fault::Error { count: 1, run: true }, 500, 1),
    ];
    for (fault, status, runs) in rows {
        let engine = engine(|_| ());
        engine.fault(fault);
        assert_eq!(run(engine.address(), 1, 1, &body("no", 2)).status, status, "{fault:?}");
        assert_eq!(run(engine.address(), 2, 1, &body("yes", 2)).status, 200, "{fault:?}");
        assert_eq!(engine.truth().runs.len(), runs + 1, "{fault:?}");
    }
}

#[test]
fn muted_connection_is_accepted_and_then_nothing() {
    let engine = engine(|_| ());
    engine.fault(Fault::Mute { count: 1 });
    let silent = std::net::TcpStream::connect(engine.address()).expect("it accepts");
    silent.set_read_timeout(Some(Duration::from_millis(100))).expect("a timeout can be set");
    let read = std::io::Read::read(&mut &silent, &mut [0; 1]);
    assert!(read.is_err(), "the connection stays open and silent");
    assert!(run(engine.address(), 1, 1, &body("next", 2)).rest().done);
}

#[test]
fn frozen_engine_goes_on_where_it_was() {
    let engine = engine(|_| ());
    let mut stream = run(engine.address(), 1, 1, &body("freeze", 60));
    let before = stream.until(2);
    engine.fault(Fault::Freeze { ms: 300 });
    let rest = stream.rest();
    assert!(rest.done);
    assert_eq!(before.text + &rest.text, text::expect(&prompt("freeze"), 60));
}

#[test]
fn order_that_waited_in_a_frozen_engine_has_expired() {
    // Symptom: an engine carries out what an old leader ordered. Sequence: the order arrives, the
    // engine freezes past the expiry and goes on. Cause: the order was checked before it was late.
    let engine = engine(|_| ());
    engine.fault(Fault::Freeze { ms: 200 });
    let order = json!({"term": 1, "index": 1, "expires_ms": 50, "order": {"load": "late"}});
    let answer = Stream::open(engine.address(), "POST", "/v1/orders", "", &order.to_string());
    assert_eq!(answer.status, 410);
    assert_eq!(get(engine.address(), "/v1/orders")["held"], json!({"term": 0, "index": 0}));
}

#[test]
fn higher_priority_runs_first() {
    let engine = engine(|setup| setup.slots = 1);
    let mut streams: Vec<Stream> = vec![run(engine.address(), 1, 1, &body("now", 30))];
    for (request, priority) in [(2, 1), (3, 9), (4, 5), (5, 9)] {
        let body = body(&format!("r{request}"), 3);
        streams.push(run_with(engine.address(), request, 1, priority, &body));
    }
    streams.iter_mut().for_each(|stream| assert!(stream.rest().done));
    let mut runs = engine.truth().runs;
    runs.sort_by_key(|run| run.began_ms);
    let order: Vec<&str> = runs.iter().map(|run| &run.request[31..]).collect();
    assert_eq!(order, ["1", "3", "5", "4", "2"]);
}

#[test]
fn batch_never_exceeds_its_slots() {
    let engine = engine(|setup| {
        setup.slots = 3;
        setup.pace.lag = Duration::from_millis(20);
    });
    let mut streams: Vec<Stream> =
        (1..=8).map(|request| run(engine.address(), request, 1, &body("b", 60))).collect();
    eventually("the load report shows the full batch", || {
        let load = get(engine.address(), "/v1/load");
        assert!(load["running"].as_u64() <= Some(3));
        load["running"] == 3
    });
    streams.iter_mut().for_each(|stream| assert!(stream.rest().done));
}

#[test]
fn reclaimed_engine_dies_at_the_end_of_its_notice() {
    let engine = engine(|_| ());
    let mut stream = run(engine.address(), 1, 1, &body("short", LONG * 10));
    engine.reclaim(Duration::from_millis(100));
    assert!(!stream.rest().done);
    assert!(engine.wait(common::PATIENCE));
    assert!(std::net::TcpStream::connect(engine.address()).is_err());
    assert!(engine.truth().leaving_ms.is_some());
}

#[test]
fn leaving_engine_ends_after_its_last_run() {
    let engine = engine(|_| ());
    let mut stream = run(engine.address(), 1, 1, &body("last", 40));
    stream.until(1);
    engine.leave();
    let late = run(engine.address(), 2, 1, &body("late", 2));
    assert_eq!(late.status, 503);
    assert!(stream.rest().done);
    assert!(engine.wait(common::PATIENCE));
}

#[test]
fn computed_again_counts_only_what_overlaps() {
    // Each row: runs as (prompt tokens computed, replayed, from, position) and the tokens computed
    // again.
    type Row = (&'static [(u32, u32, u32, u32)], u64);
    let rows: [Row; 5] = [
        (&[(10, 0, 0, 8)], 0),
        (&[(10, 0, 0, 4), (0, 0, 4, 8)], 0),
        (&[(10, 0, 0, 4), (10, 4, 4, 8)], 14),
        (&[(10, 0, 0, 4), (3, 0, 2, 8)], 5),
        (&[(10, 0, 0, 8), (10, 0, 0, 8)], 18),
    ];
    for (spans, again) in rows {
        let runs = spans.iter().map(|(computed, replayed, from, position)| Run {
            prompt: 10,
            computed: *computed,
            replayed: *replayed,
            from: *from,
            position: *position,
            ..Run::new("", 1, 1, 0)
        });
        let truth = Truth { runs: runs.collect(), ..Truth::default() };
        assert_eq!(Truth::tokens([&truth]).again, again, "{spans:?}");
    }
}
