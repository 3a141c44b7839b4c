//! Answers that go from one instance to another.

use std::collections::BTreeMap;
use std::sync::Arc;

use crossbeam::channel::{Receiver, unbounded};
use verbenaslip::peers::{self, Peers};
use verbenaslip::traffic::{Limits, Report};
use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::Unknown;
use verbenaslip_request::caller::{Arrival, Ticket, Verdict};
use verbenaslip_request::run::{Event, Start};

use crate::bench::{Bench, STREAMED, identity, named, read_all, read_until, run};
use crate::script::{Act, Script, words};

/// Holds one instance with its peer address.
struct Node {
    bench: Bench,
    peers: Peers,
    _messages: Receiver<peers::Report>,
}

fn node(name: &str) -> Node {
    let bench = named(name, Limits::default());
    let (sender, messages) = unbounded();
    let setup = peers::Setup {
        address: "127.0.0.1:0".parse().expect("the address is well-formed"),
        identity: identity(name),
        answers: bench.traffic.clone(),
    };
    let peers = Peers::bind(setup, sender).expect("a free port can be bound");
    Node { bench, peers, _messages: messages }
}

/// Starts two instances that know each other.
fn pair() -> (Node, Node) {
    let (one, two) = (node("one"), node("two"));
    let addresses: BTreeMap<_, _> = [
        (Instance::from("one"), one.peers.address()),
        (Instance::from("two"), two.peers.address()),
    ]
    .into();
    one.bench.traffic.peers(addresses.clone());
    two.bench.traffic.peers(addresses);
    (one, two)
}

fn subscribed(bench: &Bench) -> (Ticket, Request, u32) {
    bench.wait(|report| match report {
        Report::Subscribed { ticket, request, after } => Some((ticket, request, after)),
        _ => None,
    })
}

fn relay(node: &Node, arrival: &Arrival) {
    let after = arrival.after.unwrap_or(0);
    let request = arrival.head.request;
    let owner = Instance::from("one");
    node.bench.traffic.verdict(arrival.ticket, Verdict::Relay { request, after, owner });
}

fn ids(answer: &str) -> Vec<&str> {
    answer.lines().filter_map(|line| line.strip_prefix("id: ")).collect()
}

/// Symptom: a caller that comes back through another instance gets nothing, or gets tokens twice.
/// Sequence: the answer grows at one; the caller reads it through two, from after token 2.
/// Cause: the answer is where the caller is not.
#[test]
fn an_answer_is_read_through_another_instance() {
    let (one, two) = pair();
    let key = "idempotency-key: k\r\nconnection: close\r\n";
    let _first = one.bench.post(key, STREAMED);
    let owned = one.bench.arrival();
    one.bench.traffic.own(owned.head.request, 1);
    let attempt = Attempt { request: owned.head.request, number: 1 };
    let upstream = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(attempt, 1, 4),
        Act::Pause,
        Act::Tokens(attempt, 5, 6),
        Act::Finish(attempt),
        Act::Done,
    ]]);
    one.bench.run(&owned, 1, upstream.address, Start::Fresh);
    let mut caller = two.bench.post(&format!("{key}last-event-id: 2\r\n"), STREAMED);
    relay(&two, &two.bench.arrival());
    let (ticket, request, after) = subscribed(&one.bench);
    assert_eq!((request, after), (owned.head.request, 2));
    one.bench.traffic.verdict(ticket, Verdict::Serve { request, after });
    let mut answer = read_until(&mut caller, "id: 4");
    upstream.go.send(()).expect("the upstream goes on");
    answer.push_str(&read_all(&mut caller));
    assert_eq!(ids(&answer), ["3", "4", "5", "6"], "{answer}");
    assert!(answer.contains("data: [DONE]\n\n"), "{answer}");
    let served = one.bench.wait(|report| match report {
        Report::Served { ticket } => Some(ticket),
        _ => None,
    });
    assert_eq!(served, ticket);
}

/// Symptom: the owner says that the outcome is unknown, and the caller elsewhere hangs.
/// Sequence: relayed, two tokens, then the owner's verdict.
/// Cause: only the owner knows.
#[test]
fn a_final_verdict_reaches_the_caller_elsewhere() {
    let (one, two) = pair();
    let mut caller = two.bench.post("connection: close\r\n", STREAMED);
    relay(&two, &two.bench.arrival());
    let (ticket, ..) = subscribed(&one.bench);
    one.bench.traffic.verdict(ticket, Verdict::Unknown(Unknown::UpstreamLost));
    assert!(read_all(&mut caller).starts_with("HTTP/1.1 504 "));
}

/// Symptom: a caller hangs, or is told that the outcome is unknown, because the instance that its
/// answer came from has gone.
/// Sequence: relayed and read up to token 2; the owner ends; the caller gets a new verdict here.
/// Cause: the loss must be told with the position, and the caller must be kept.
#[test]
fn a_lost_owner_is_told_and_the_caller_goes_on() {
    let (one, two) = pair();
    let key = "idempotency-key: k\r\nconnection: close\r\n";
    let _first = one.bench.post(key, STREAMED);
    let owned = one.bench.arrival();
    let attempt = Attempt { request: owned.head.request, number: 1 };
    let script = vec![Act::Head, Act::Tokens(attempt, 1, 2), Act::Silence];
    let upstream = Script::spawn(vec![script]);
    one.bench.run(&owned, 1, upstream.address, Start::Fresh);
    let mut caller = two.bench.post(key, STREAMED);
    let arrival = two.bench.arrival();
    relay(&two, &arrival);
    let (ticket, request, after) = subscribed(&one.bench);
    one.bench.traffic.verdict(ticket, Verdict::Serve { request, after });
    read_until(&mut caller, "id: 2");
    drop(one);
    let lost = two.bench.wait(|report| match report {
        Report::RelayLost { ticket, after, .. } => Some((ticket, after)),
        _ => None,
    });
    assert_eq!(lost, (arrival.ticket, 2));

    // This instance takes over with what it has been given: here the test gives it all.
    let next = Attempt { request, number: (1 << 16) + 1 };
    let script = vec![Act::Head, Act::Tokens(next, 1, 3), Act::Finish(next), Act::Done];
    let upstream = Script::spawn(vec![script]);
    two.bench.traffic.own(request, 2);
    two.bench.run(&arrival, next.number, upstream.address, Start::Fresh);
    two.bench.traffic.verdict(arrival.ticket, Verdict::Serve { request, after: 2 });
    let rest = read_all(&mut caller);
    assert_eq!(ids(&rest), ["3"], "{rest}");
}

/// An instance that does not own the answer says so, and the caller's instance is told.
#[test]
fn an_answer_that_is_not_there_is_told() {
    let (one, two) = pair();
    let _caller = two.bench.post("", STREAMED);
    let arrival = two.bench.arrival();
    relay(&two, &arrival);
    let (ticket, ..) = subscribed(&one.bench);
    one.bench.traffic.absent(ticket);
    let lost = two.bench.wait(|report| match report {
        Report::RelayLost { ticket, .. } => Some(ticket),
        _ => None,
    });
    assert_eq!(lost, arrival.ticket);
}

fn copied(bench: &Bench, wanted: u32) {
    bench.wait(|report| match report {
        Report::Copied { position, .. } => (position == wanted).then_some(()),
        _ => None,
    });
}

/// Symptom: a second holder takes over and the caller reads halves of two answers.
/// Sequence: one runs the request and copies it to two; the caller at one may read only what two
/// has; one is lost; two resumes from the copy, under a later epoch.
/// Cause: tokens that the caller has and the second holder lacks may come out otherwise.
#[test]
fn callers_get_only_what_the_second_holder_has_and_it_can_go_on() {
    let (one, two) = pair();
    let mut caller = one.bench.post("connection: close\r\n", STREAMED);
    let arrival = one.bench.arrival();
    let request = arrival.head.request;
    one.bench.traffic.own(request, 1);
    one.bench.traffic.mirror(request, 1, Some(Instance::from("nowhere")));
    one.bench.serve(&arrival);
    let attempt = Attempt { request, number: (1 << 16) + 1 };
    let script = vec![Act::Head, Act::Tokens(attempt, 1, 3), Act::Silence];
    let upstream = Script::spawn(vec![script]);
    one.bench.run(&arrival, attempt.number, upstream.address, Start::Fresh);
    while one.bench.traffic.position(request) != Some(3) {
        std::thread::yield_now();
    }
    // The second holder can't be reached, so nothing may be on its way to the caller.
    one.bench.wait(|report| matches!(report, Report::MirrorLost { .. }).then_some(()));
    caller.set_nonblocking(true).expect("the mode can be set");
    assert!(std::io::Read::read(&mut caller, &mut [0]).is_err(), "a token went out too early");
    caller.set_nonblocking(false).expect("the mode can be set");

    one.bench.traffic.mirror(request, 1, Some(Instance::from("two")));
    copied(&two.bench, 3);
    let answer = read_until(&mut caller, "id: 3\ndata: ");
    assert_eq!(ids(&answer), ["1", "2", "3"], "{answer}");
    assert_eq!(two.bench.traffic.position(request), Some(3));

    let next = Attempt { request, number: (2 << 16) + 1 };
    let script = vec![Act::Head, Act::Tokens(next, 4, 5), Act::Finish(next), Act::Done];
    let upstream = Script::spawn(vec![script]);
    two.bench.traffic.own(request, 2);
    two.bench.run(&arrival, next.number, upstream.address, Start::Resume);
    assert_eq!(two.bench.ended(), Event::Ended { position: 5 });
    let asked = upstream.requests.recv().expect("the upstream was asked");
    let resume = format!(r#""resume":{{"text":"{}","tokens":3}}"#, words(3));
    assert!(asked.contains(&resume), "{asked}");
}

/// Symptom: an owner that was cut off comes back and its copy damages the new owner's answer.
/// Sequence: two owns the request in epoch 2; one still copies in epoch 1, or in 2 as well.
/// Cause: copies are taken whatever their epoch, or into an answer that is put together here.
#[test]
fn another_owners_copy_is_not_taken() {
    for epoch in [1, 2] {
        let (one, two) = pair();
        let _caller = one.bench.post("", STREAMED);
        let arrival = one.bench.arrival();
        let request = arrival.head.request;
        two.bench.traffic.own(request, 2);
        let attempt = Attempt { request, number: (u32::from(epoch) << 16) + 1 };
        let script = vec![Act::Head, Act::Tokens(attempt, 1, 3), Act::Silence];
        let upstream = Script::spawn(vec![script]);
        one.bench.traffic.own(request, epoch);
        one.bench.run(&arrival, attempt.number, upstream.address, Start::Fresh);
        one.bench.traffic.mirror(request, epoch, Some(Instance::from("two")));
        for _ in 0..2 {
            one.bench.wait(|report| matches!(report, Report::MirrorLost { .. }).then_some(()));
        }
        assert_eq!(two.bench.traffic.position(request), Some(0), "epoch {epoch}");
    }
}

/// Symptom: the copy of the new owner's answer holds tokens of the owner that it replaced.
/// Sequence: two's copy in epoch 2 is at one; one, which owned epoch 1, begins another run.
/// Cause: a run adds to the newest answer whatever its owner.
#[test]
fn a_former_owners_run_does_not_reach_the_later_copy() {
    let (one, two) = pair();
    let _caller = one.bench.post("", STREAMED);
    let arrival = one.bench.arrival();
    let request = arrival.head.request;
    one.bench.traffic.own(request, 1);
    let next = Attempt { request, number: (2 << 16) + 1 };
    let script = vec![Act::Head, Act::Tokens(next, 1, 2), Act::Silence];
    let other = Script::spawn(vec![script]);
    two.bench.traffic.own(request, 2);
    two.bench.traffic.mirror(request, 2, Some(Instance::from("one")));
    two.bench.run(&arrival, next.number, other.address, Start::Fresh);
    copied(&one.bench, 2);
    let first = Attempt { request, number: (1 << 16) + 1 };
    let acts = vec![Act::Head, Act::Tokens(first, 1, 5), Act::Finish(first), Act::Done];
    let upstream = Script::spawn(vec![acts]);
    one.bench.run(&arrival, first.number, upstream.address, Start::Fresh);
    assert_eq!(one.bench.ended(), Event::Ended { position: 5 });
    assert_eq!(one.bench.traffic.position(request), Some(2));
    let asked = upstream.requests.recv().expect("the upstream was asked");
    assert!(!asked.contains("resume"), "{asked}");
    one.bench.traffic.forget(request, 1);
    assert_eq!(one.bench.traffic.position(request), Some(2), "the copy went as well");
    one.bench.traffic.forget(request, 2);
    assert_eq!(one.bench.traffic.stats().answers, 0);
}

/// Symptom: a caller reads the beginning of one answer and the end of another.
/// Sequence: one has given its caller three tokens and is thought lost; two begins anew in a later
/// epoch and copies its shorter answer to one; one's own run goes on.
/// Cause: the copy takes the place of the answer under the eyes of those who read it.
#[test]
fn a_later_owners_copy_does_not_reach_those_who_read_the_earlier_answer() {
    let (one, two) = pair();
    let mut caller = one.bench.post("connection: close\r\n", STREAMED);
    let arrival = one.bench.arrival();
    let request = arrival.head.request;
    one.bench.traffic.own(request, 1);
    one.bench.serve(&arrival);
    let first = Attempt { request, number: (1 << 16) + 1 };
    let upstream = Script::spawn(vec![vec![
        Act::Head,
        Act::Tokens(first, 1, 3),
        Act::Pause,
        Act::Tokens(first, 4, 6),
        Act::Finish(first),
        Act::Done,
    ]]);
    one.bench.run(&arrival, first.number, upstream.address, Start::Fresh);
    read_until(&mut caller, "id: 3\n");

    two.bench.traffic.own(request, 2);
    two.bench.traffic.mirror(request, 2, Some(Instance::from("one")));
    let next = Attempt { request, number: (2 << 16) + 1 };
    let acts = vec![Act::Head, Act::Tokens(next, 1, 4), Act::Finish(next), Act::Done];
    let other = Script::spawn(vec![acts]);
    two.bench.run(&arrival, next.number, other.address, Start::Fresh);
    one.bench.wait(|report| match report {
        Report::Copied { whole, .. } => whole.then_some(()),
        _ => None,
    });
    upstream.go.send(()).expect("the first upstream goes on");
    let rest = read_all(&mut caller);
    assert_eq!(ids(&rest), ["4", "5", "6"], "{rest}");
    assert!(rest.contains("[DONE]"), "{rest}");

    // Whoever comes later reads the later owner's answer.
    let mut late = one.bench.post("connection: close\r\n", STREAMED);
    let arrival = one.bench.arrival();
    one.bench.traffic.verdict(arrival.ticket, Verdict::Serve { request, after: 0 });
    assert_eq!(ids(&read_all(&mut late)).len(), 4);
}

/// A whole answer's copy has its end as well, for a model and for a plain service.
#[test]
fn a_whole_answer_is_copied_with_its_end() {
    let (one, two) = pair();
    let _caller = one.bench.post("", STREAMED);
    let arrival = one.bench.arrival();
    let request = arrival.head.request;
    one.bench.traffic.own(request, 1);
    one.bench.traffic.mirror(request, 1, Some(Instance::from("two")));
    let attempt = Attempt { request, number: 1 };
    let acts = vec![Act::Head, Act::Tokens(attempt, 1, 2), Act::Finish(attempt), Act::Done];
    let upstream = Script::spawn(vec![acts]);
    one.bench.run(&arrival, 1, upstream.address, Start::Fresh);
    let end = |report| match report {
        Report::Mirrored { whole, position, .. } | Report::Copied { whole, position, .. } => {
            whole.then_some(position)
        }
        _ => None,
    };
    assert_eq!(one.bench.wait(end), 2);
    assert_eq!(two.bench.wait(end), 2);
    drop(one);
    // The second holder serves the rest to a caller that comes back.
    let mut back = two.bench.post("connection: close\r\nlast-event-id: 1\r\n", STREAMED);
    let arrival = two.bench.arrival();
    two.bench.traffic.verdict(arrival.ticket, Verdict::Serve { request, after: 1 });
    let answer = read_all(&mut back);
    assert_eq!(ids(&answer), ["2"], "{answer}");
    assert!(answer.contains("[DONE]"), "{answer}");
}

/// A plain service's answer is copied, and read through another instance, as it came.
#[test]
fn a_plain_services_answer_goes_to_other_instances_whole() {
    let (one, two) = pair();
    let ask = "POST /v1/services/stock/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
               authorization: Bearer secret\r\nidempotency-key: k\r\ncontent-length: 0\r\n\r\n";
    let _first = one.bench.send(ask);
    let owned = one.bench.arrival();
    let request = owned.head.request;
    one.bench.traffic.own(request, 1);
    one.bench.traffic.mirror(request, 1, Some(Instance::from("two")));
    let said = "HTTP/1.1 201 Created\r\ncontent-type: text/y\r\ncontent-length: 3\r\n\r\nabc";
    let upstream = Script::spawn(vec![vec![Act::Say(said.into())]]);
    let mut run = run(&owned, 1, upstream.address, Start::Fresh);
    run.kind = Kind::Service;
    one.bench.traffic.run(run);
    for bench in [&one.bench, &two.bench] {
        bench.wait(|report| match report {
            Report::Mirrored { whole, .. } | Report::Copied { whole, .. } => whole.then_some(()),
            _ => None,
        });
    }
    let mut relayed = two.bench.send(ask);
    relay(&two, &two.bench.arrival());
    let (ticket, request, after) = subscribed(&one.bench);
    one.bench.traffic.verdict(ticket, Verdict::Serve { request, after });
    let mut copied = two.bench.send(ask);
    let arrival = two.bench.arrival();
    two.bench.traffic.verdict(arrival.ticket, Verdict::Serve { request, after: 0 });
    for caller in [&mut relayed, &mut copied] {
        let answer = read_all(caller);
        assert!(answer.starts_with("HTTP/1.1 201 "), "{answer}");
        assert!(answer.contains("content-type: text/y\r\n"), "{answer}");
        assert!(answer.ends_with("\r\n\r\nabc"), "{answer}");
    }
}

/// Symptom: the control thread is busy with counting tokens.
/// Sequence: an answer of 2,000 tokens, copied as it grows.
/// Cause: a report for each token or each acknowledged piece.
#[test]
fn reports_do_not_grow_with_tokens() {
    let (one, two) = pair();
    let mut caller = one.bench.post("connection: close\r\n", STREAMED);
    let arrival = one.bench.arrival();
    let request = arrival.head.request;
    one.bench.traffic.own(request, 1);
    one.bench.traffic.mirror(request, 1, Some(Instance::from("two")));
    one.bench.serve(&arrival);
    let attempt = Attempt { request, number: 1 };
    let acts = vec![Act::Head, Act::Tokens(attempt, 1, 2000), Act::Finish(attempt), Act::Done];
    let upstream = Script::spawn(vec![acts]);
    let begun = std::time::Instant::now();
    one.bench.run(&arrival, 1, upstream.address, Start::Fresh);
    let answer = read_all(&mut caller);
    assert_eq!(ids(&answer).len(), 2000);
    let paced = usize::try_from(begun.elapsed().as_millis() / 50).expect("it is short");
    // Arrived, Sent, Ended and Served; tokens and copies each paced, with a first and a last one.
    let most = 4 + 2 * (paced + 2);
    assert!(one.bench.reports.len() <= most, "{} of {most}", one.bench.reports.len());
    assert!(two.bench.reports.len() <= paced + 2, "{}", two.bench.reports.len());
}

/// The handles are shared between threads.
#[test]
fn handles_can_be_shared() {
    fn shared<T: Send + Sync>(_: &T) {}
    let node = node("one");
    shared(&node.peers);
    shared(&Arc::clone(&node.bench.traffic));
}
