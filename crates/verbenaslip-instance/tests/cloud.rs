//! Tests of orders to a cloud that does not answer, is busy or resets connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::LocalSet;
use verbenaslip_base::name::Instance;
use verbenaslip_fleet::order::{Order, Outcome, Task};
use verbenaslip_fleet::replicated_state::Window;
use verbenaslip_instance::cloud::{Cloud, Codec, Post};
use verbenaslip_lab::port;
use verbenaslip_relay::monotonic;

/// Maximum time until the result of an unanswered order is known.
const RESULT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Behavior of the cloud on a call.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Silent,
    Busy,
    Reset,
    /// Sends so many bytes of [`ANSWER`].
    Cut(usize),
    /// Sends interim answers, so many of them, and [`ANSWER`].
    Interim(usize),
}

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

struct TestCodec;

impl Codec for TestCodec {
    fn encode_order(&self, _: &Instance, _: &Order) -> Post {
        Post { path: "/order".into(), fields: vec![], body: b"{}".to_vec() }
    }

    fn outcome(&self, status: u16) -> Outcome {
        if status == 200 { Outcome::Done } else { Outcome::Refused }
    }
}

fn answer(mut stream: TcpStream, behavior: Behavior) {
    let mut bytes = [0; 1_024];
    // The client may have closed the connection.
    let _ = stream.read(&mut bytes);
    match behavior {
        Behavior::Silent => std::thread::sleep(RESULT_TIMEOUT * 2),
        Behavior::Busy => {
            let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
        Behavior::Reset => drop(stream),
        Behavior::Cut(length) => {
            let _ = stream.write_all(&ANSWER.as_bytes()[..length]);
        }
        Behavior::Interim(count) => {
            let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(count);
            let _ = stream.write_all((interim + ANSWER).as_bytes());
        }
    }
}

fn serve(address: SocketAddr, behavior: Behavior) {
    let listener = TcpListener::bind(address).expect("the address can be bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer(stream, behavior));
        }
    });
}

fn order(id: u64) -> Order {
    let window = Window { number: id, counts: Default::default() };
    Order {
        id,
        fence: 1,
        valid_until: monotonic::now() + RESULT_TIMEOUT * 2,
        task: Task::Usage(window),
    }
}

#[test]
fn an_unanswered_order_does_not_block_and_times_out() {
    // Guards against a control thread that waits for the cloud: a leader whose order is accepted and never answered,
    // refused or reset would then stop answering callers while the cloud is unreachable.
    for behavior in [Behavior::Silent, Behavior::Busy, Behavior::Reset] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let local = LocalSet::new();
        local.block_on(&runtime, async {
            let address = port::free().expect("a free port");
            serve(address, behavior);
            let (results, mut received) = mpsc::unbounded_channel();
            let holder = Instance::new("core-1");
            let cloud = Rc::new(Cloud { address, holder, codec: Arc::new(TestCodec), results });
            let started_at = Instant::now();
            (1..=8).for_each(|id| cloud.send_order(order(id)));
            assert!(
                started_at.elapsed() < RESULT_TIMEOUT / 10,
                "{behavior:?}: sending an order blocks until its answer"
            );
            for _ in 1..=8 {
                let result = tokio::time::timeout(RESULT_TIMEOUT, received.recv()).await;
                let result = result.ok().flatten().expect("an outcome in time");
                let expected = if matches!(behavior, Behavior::Busy) {
                    Outcome::Refused
                } else {
                    Outcome::Unknown
                };
                assert_eq!(result.outcome, expected, "{behavior:?}");
            }
        });
    }
}

// Guards against an order that counts as done although the head of its answer broke off.
#[test]
fn an_answer_whose_head_breaks_off_leaves_the_outcome_unknown() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for length in 0..=ANSWER.len() {
            let address = port::free().expect("a free port");
            serve(address, Behavior::Cut(length));
            let (results, mut received) = mpsc::unbounded_channel();
            let holder = Instance::new("core-1");
            let cloud = Rc::new(Cloud { address, holder, codec: Arc::new(TestCodec), results });
            cloud.send_order(order(1));
            let result = tokio::time::timeout(RESULT_TIMEOUT, received.recv()).await;
            let outcome = result.ok().flatten().expect("an outcome in time").outcome;
            let has_head = ANSWER[..length].contains("\r\n\r\n");
            let expected = if has_head { Outcome::Done } else { Outcome::Unknown };
            assert_eq!(outcome, expected, "after {length} bytes");
        }
    });
}

// Guards against an interim answer that is taken for the cloud's decision.
#[test]
fn an_interim_answer_decides_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for (count, expected) in
            [(1, Outcome::Done), (10, Outcome::Done), (100_000, Outcome::Unknown)]
        {
            let address = port::free().expect("a free port");
            serve(address, Behavior::Interim(count));
            let (results, mut received) = mpsc::unbounded_channel();
            let holder = Instance::new("core-1");
            let cloud = Rc::new(Cloud { address, holder, codec: Arc::new(TestCodec), results });
            cloud.send_order(order(1));
            let result = tokio::time::timeout(RESULT_TIMEOUT, received.recv()).await;
            let outcome = result.ok().flatten().expect("an outcome in time").outcome;
            assert_eq!(outcome, expected, "{count} interim answers");
        }
    });
}
