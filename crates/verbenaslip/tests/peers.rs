//! Messages between instances over real sockets, and what goes wrong on the way.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use verbenaslip::peers::wire::{DATAGRAM_MAX, Datagram, FRAME_MAX, Frame, Purpose, Stamp};
use verbenaslip::peers::{Adopt, Identity, Peers, Report, Setup, Via};
use verbenaslip_base::name::Instance;

/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);

struct Adopted(Sender<TcpStream>);

impl Adopt for Adopted {
    fn adopt(&self, stream: TcpStream) {
        let _ = self.0.send(stream);
    }
}

struct Node {
    peers: Peers,
    reports: Receiver<Report>,
    adopted: Receiver<TcpStream>,
}

fn identity(name: &str, cluster: &str, secret: Option<&str>) -> Identity {
    let name = Instance::from(name);
    Identity { cluster: cluster.into(), secret: secret.map(Arc::from), name, incarnation: 3 }
}

fn node_of(identity: Identity, address: SocketAddr) -> Node {
    let (sender, reports) = unbounded();
    let (adopt, adopted) = unbounded();
    let setup = Setup { address, identity, answers: Arc::new(Adopted(adopt)) };
    let peers = Peers::bind(setup, sender).expect("a free port can be bound");
    Node { peers, reports, adopted }
}

fn node(name: &str) -> Node {
    node_of(identity(name, "test", None), any())
}

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Node {
    fn next(&self) -> Report {
        self.reports.recv_timeout(PATIENCE).expect("the message comes")
    }
}

/// Waits until a condition holds.
fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what} did not happen");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Messages arrive with their sender's name and start, over either way, in order over a stream.
#[test]
fn messages_arrive_with_their_sender() {
    let (one, two) = (node("one"), node("two"));
    let to = two.peers.address();
    one.peers.send(to, Via::Datagram, vec![1]);
    let report = two.next();
    assert_eq!((report.from.as_str(), report.incarnation, report.bytes), ("one", 3, vec![1]));
    for number in 0..100 {
        one.peers.send(to, Via::Stream, vec![number; 1000]);
    }
    for number in 0..100 {
        assert_eq!(two.next().bytes, vec![number; 1000]);
    }
    assert_eq!(one.peers.stats().opened, 1);
    assert_eq!((one.peers.stats().dropped, two.peers.stats().refused), (0, 0));
}

/// Symptom: two deployments mix, and one's table or claims reach the other.
/// Sequence: an instance of another cluster, and one with another secret, send both ways.
/// Cause: an address in the settings that belongs to another deployment.
#[test]
fn another_deployment_is_refused() {
    let two = node_of(identity("two", "test", Some("word")), any());
    let others = [identity("one", "other", Some("word")), identity("one", "test", None)];
    for (count, other) in others.into_iter().enumerate() {
        let one = node_of(other, any());
        one.peers.send(two.peers.address(), Via::Datagram, vec![1]);
        one.peers.send(two.peers.address(), Via::Stream, vec![1]);
        let wanted = 2 * (count as u64 + 1);
        until("both refusals", || two.peers.stats().refused >= wanted);
    }
    assert!(two.reports.is_empty(), "a message of another deployment was passed on");
}

/// Passes bytes between callers and a peer, until told that all present connections go silent.
struct Proxy {
    address: SocketAddr,
    /// How many connections there have been.
    taken: Arc<AtomicUsize>,
    /// Connections before this one are silent: neither closed nor passing anything, for good.
    silent: Arc<AtomicUsize>,
}

impl Proxy {
    fn silence(&self) {
        self.silent.store(self.taken.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn proxy(to: SocketAddr) -> Proxy {
    proxy_with(to, Duration::ZERO)
}

/// Passes 4 KiB at a time, each after a delay.
fn proxy_with(to: SocketAddr, delay: Duration) -> Proxy {
    let listener = TcpListener::bind(any()).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (taken, silent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let proxy = Proxy { address, taken: taken.clone(), silent: silent.clone() };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let number = taken.fetch_add(1, Ordering::SeqCst);
            let Ok(target) = TcpStream::connect(to) else { continue };
            let back = (target.try_clone(), stream.try_clone());
            let (Ok(back_from), Ok(back_onto)) = back else { continue };
            for (from, onto) in [(stream, target), (back_from, back_onto)] {
                let silent = silent.clone();
                thread::spawn(move || {
                    pass(from, onto, delay, || number < silent.load(Ordering::SeqCst))
                });
            }
        }
    });
    proxy
}

fn pass(mut from: TcpStream, mut onto: TcpStream, delay: Duration, silent: impl Fn() -> bool) {
    let mut buffer = [0; 4096];
    while let Ok(read) = from.read(&mut buffer) {
        thread::sleep(if silent() { PATIENCE } else { delay });
        if read == 0 || onto.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = onto.shutdown(Shutdown::Both);
}

/// Symptom: two instances do not hear each other any more, though new connections would work.
/// Sequence: a connection carries messages; something between loses track of it: neither end is
/// told, no byte passes; messages go on being sent.
/// Cause: an open connection that is silent fails no write and no read.
#[test]
fn a_silent_connection_is_replaced_by_a_new_one() {
    let (one, two) = (node("one"), node("two"));
    let between = proxy(two.peers.address());
    one.peers.send(between.address, Via::Stream, vec![1]);
    assert_eq!(two.next().bytes, vec![1]);
    between.silence();
    until("giving the connection up", || one.peers.stats().silent > 0);
    one.peers.send(between.address, Via::Stream, vec![2]);
    assert_eq!(two.next().bytes, vec![2]);
    assert!(one.peers.stats().opened >= 2);
}

/// Symptom: a snapshot never arrives over a slow path, though every byte of it does in time.
/// Sequence: 3 MiB through a path that takes 1 MiB in a second, then a short message.
/// Cause: the limit on silence is counted over the whole frame, or the answer to a heartbeat waits
/// behind it.
#[test]
fn a_large_message_over_a_slow_path_arrives() {
    let (one, two) = (node("one"), node("two"));
    let between = proxy_with(two.peers.address(), Duration::from_millis(4));
    one.peers.send(between.address, Via::Stream, vec![7; 3 << 20]);
    one.peers.send(between.address, Via::Stream, vec![8]);
    assert_eq!(two.next().bytes.len(), 3 << 20);
    assert_eq!(two.next().bytes, vec![8]);
    assert_eq!((one.peers.stats().opened, one.peers.stats().silent), (1, 0));
}

/// Symptom: an instance that restarts hears nothing until the others restart as well.
/// Sequence: two ends and starts again on the same port; one goes on sending.
/// Cause: the old connection is kept, or the address is given up.
#[test]
fn a_restarted_peer_is_reached_again() {
    let (one, two) = (node("one"), node("two"));
    let to = two.peers.address();
    one.peers.send(to, Via::Stream, vec![0]);
    two.next();
    drop(two);
    let again = node_of(identity("two", "test", None), to);
    until("a message to the restarted peer", || {
        one.peers.send(to, Via::Stream, vec![1]);
        !again.reports.is_empty()
    });
}

/// Symptom: memory grows while a peer is down, or what it gets at last is long out of date.
/// Sequence: far more messages than may wait, to an address that nobody takes connections at.
/// Cause: a queue without a bound, or one that keeps the oldest.
#[test]
fn what_waits_for_a_peer_is_bounded_and_the_newest_is_kept() {
    let one = node("one");
    let held = TcpListener::bind(any()).expect("a port is free");
    let to = held.local_addr().expect("the listener has an address");
    drop(held);
    for number in 0u32..10_000 {
        one.peers.send(to, Via::Stream, number.to_le_bytes().to_vec());
    }
    let dropped = one.peers.stats().dropped;
    assert_eq!(dropped, 10_000 - 4096);
    let two = node_of(identity("two", "test", None), to);
    let first = two.next().bytes;
    assert_eq!(first, u32::try_from(dropped).expect("it fits").to_le_bytes());
}

fn hello(node: &Node, purpose: Purpose) -> TcpStream {
    let mut stream = TcpStream::connect(node.peers.address()).expect("it takes connections");
    let stamp = stamp(node);
    let frame = Frame::Hello { stamp, purpose }.encode().expect("it fits");
    stream.write_all(&frame).expect("the greeting is written");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit can be set");
    stream
}

/// Returns a stamp that the node accepts: one that another node of its deployment sends.
fn stamp(node: &Node) -> Stamp {
    let listener = TcpListener::bind(any()).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    node.peers.send(address, Via::Stream, vec![]);
    let (mut stream, _) = listener.accept().expect("the node connects");
    let mut bytes = Vec::new();
    let mut buffer = [0; 256];
    loop {
        let read = stream.read(&mut buffer).expect("the greeting comes");
        bytes.extend_from_slice(&buffer[..read]);
        if let Some((Frame::Hello { stamp, .. }, _)) = Frame::decode(&bytes).expect("it is whole") {
            return stamp;
        }
    }
}

/// Symptom: one broken or hostile peer ends an instance, fills its memory or stops others' messages.
/// Sequence: each kind of bytes that are no frames, on a connection of its own; then a good message.
/// Cause: bytes are trusted before they are checked.
#[test]
fn garbage_ends_only_its_own_connection() {
    let node = node("two");
    let message = Frame::Message(vec![7; 10]).encode().expect("it fits");
    let mut damaged = message.clone();
    *damaged.last_mut().expect("it has bytes") ^= 1;
    let mut huge = message.clone();
    huge[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut unread = vec![200; 20];
    unread[..4].copy_from_slice(&12u32.to_le_bytes());
    let sum = crc32(&unread[8..]);
    unread[4..8].copy_from_slice(&sum.to_le_bytes());
    let fetch = Frame::Hello { stamp: stamp(&node), purpose: Purpose::Answers };
    let cases = [
        ("no greeting", false, message.clone()),
        ("HTTP", false, b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("damaged", true, damaged),
        ("claims 4 GiB", true, huge),
        ("unknown kind", true, unread),
        ("a second greeting", true, fetch.encode().expect("it fits")),
        ("zeros", true, vec![0; 64]),
    ];
    for (count, (name, greet, bytes)) in cases.into_iter().enumerate() {
        let mut stream = if greet {
            hello(&node, Purpose::Messages)
        } else {
            TcpStream::connect(node.peers.address()).expect("it takes connections")
        };
        stream.write_all(&bytes).expect("the bytes are written");
        until(name, || node.peers.stats().refused > count as u64);
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    let socket = UdpSocket::bind(any()).expect("a port is free");
    for bytes in [&b""[..], b"abc", &[0; 100], &[255; 1000]] {
        socket.send_to(bytes, node.peers.address()).expect("it is sent");
    }
    until("refusing the datagrams", || node.peers.stats().refused >= 11);
    assert!(node.reports.is_empty(), "garbage was passed on");
    let mut good = hello(&node, Purpose::Messages);
    good.write_all(&message).expect("the message is written");
    assert_eq!(node.next().bytes, vec![7; 10]);
}

fn crc32(bytes: &[u8]) -> u32 {
    // The bitwise form, so that the adapter's library is checked against something else.
    !bytes.iter().fold(u32::MAX, |sum, byte| {
        (0..8).fold(sum ^ u32::from(*byte), |sum, _| {
            if sum & 1 == 1 { (sum >> 1) ^ 0xedb8_8320 } else { sum >> 1 }
        })
    })
}

/// A connection for answers is handed over right after its greeting, with every byte that follows.
#[test]
fn a_connection_for_answers_is_handed_over_whole() {
    let node = node("two");
    let mut stream = hello(&node, Purpose::Answers);
    stream.write_all(b"rest").expect("it is written");
    let mut adopted = node.adopted.recv_timeout(PATIENCE).expect("it is handed over");
    adopted.set_nonblocking(false).expect("the mode can be set");
    let mut rest = [0; 4];
    adopted.read_exact(&mut rest).expect("the rest is there");
    assert_eq!(&rest, b"rest");
}

/// What is too large is dropped and counted, and nothing else is.
#[test]
fn what_is_too_large_is_dropped() {
    let (one, two) = (node("one"), node("two"));
    let to = two.peers.address();
    one.peers.send(to, Via::Datagram, vec![0; DATAGRAM_MAX]);
    one.peers.send(to, Via::Stream, vec![0; FRAME_MAX]);
    one.peers.send(to, Via::Datagram, vec![1]);
    one.peers.send(to, Via::Stream, vec![2]);
    let got: BTreeSet<_> = [two.next().bytes, two.next().bytes].into();
    assert_eq!(got, [vec![1], vec![2]].into());
    assert_eq!(one.peers.stats().dropped, 2);
}

/// No bytes make the decoder panic or read past their end, and what it reads is written alike.
#[test]
fn any_bytes_can_be_decoded() {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let bytes = proptest::collection::vec(proptest::num::u8::ANY, 0..200);
    let checked = runner.run(&bytes, |mut bytes| {
        let _ = Datagram::decode(&bytes);
        let _ = Frame::decode(&bytes);
        // The same with length and checksum made right, so that the content is read.
        let sum = crc32(&bytes);
        let mut datagram = sum.to_le_bytes().to_vec();
        datagram.extend_from_slice(&bytes);
        let _ = Datagram::decode(&datagram);
        let mut frame = u32::try_from(bytes.len()).expect("it is short").to_le_bytes().to_vec();
        frame.extend_from_slice(&sum.to_le_bytes());
        frame.append(&mut bytes);
        if let Ok(Some((read, taken))) = Frame::decode(&frame) {
            assert_eq!(taken, frame.len());
            let written = read.encode().expect("it fits");
            assert_eq!(Frame::decode(&written), Ok(Some((read, written.len()))));
        }
        for cut in 0..frame.len() {
            assert_eq!(Frame::decode(&frame[..cut]), Ok(None));
        }
        Ok(())
    });
    checked.expect("every case passes");
}
