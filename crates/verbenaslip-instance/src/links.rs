//! Connections between the instances of a fleet.
//!
//! A connection carries frames in both directions, no matter which side dialed it. Frames for an instance without
//! a connection are queued while a connection is dialed. Frames may be lost when a connection ends; the state
//! machines repeat what they contained.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver, Sender, UnboundedSender};
use verbenaslip_fleet::frame::Frame;
use verbenaslip_relay::{monotonic, socket};

/// First bytes of every connection: the name and version of the protocol.
const MAGIC: &[u8; 4] = b"VSF1";

/// Maximum number of frames that wait for a connection; a peer with more is not reading.
const QUEUE_CAPACITY: usize = 256;

/// Maximum size of a frame: twice that of a route table with its document.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// Time limit for dialing a connection; the peer's handshake may take four times as long.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an instance that does not answer counts as unresponsive and its connection is replaced.
/// Instances answer within 250 ms, so several answers are missing by then.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Time within which two connections count as dialed simultaneously by both sides.
const SIMULTANEOUS_DIAL_TIME: Duration = Duration::from_secs(2);

/// Time without received frames after which a connection that is no longer used for sending is closed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends frames to other instances and receives theirs.
pub struct Links {
    shared: Rc<Shared>,
}

struct Shared {
    local_address: SocketAddr,
    links: RefCell<HashMap<SocketAddr, Link>>,
    inbox: UnboundedSender<Frame>,
    last_id: Cell<u64>,
    dial_count: Cell<u64>,
}

struct Link {
    id: u64,
    /// Whether this instance has dialed the connection.
    dialed: bool,
    sender: Sender<Bytes>,
    opened_at: Duration,
    last_received_at: Rc<Cell<Duration>>,
    /// Time of the first frame sent after the last received one.
    unanswered_since: Cell<Duration>,
}

impl Link {
    /// Records that a frame is sent.
    fn record_sent(&self, now: Duration) {
        if self.unanswered_since.get() <= self.last_received_at.get() {
            self.unanswered_since.set(now);
        }
    }

    /// Returns whether nothing has been received for too long after a frame was sent.
    ///
    /// A connection without sent frames may stay silent for any time: a core that sends updates to its entries only
    /// now and then would otherwise redial all of them each time.
    fn is_unresponsive(&self, now: Duration) -> bool {
        let unanswered_since = self.unanswered_since.get();
        unanswered_since > self.last_received_at.get()
            && now.saturating_sub(unanswered_since) > RESPONSE_TIMEOUT
    }
}

impl Links {
    /// Listens for other instances, and passes received frames to `inbox`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind(local_address: SocketAddr, inbox: UnboundedSender<Frame>) -> io::Result<Self> {
        let listener = socket::listen(local_address)?;
        let links = RefCell::new(HashMap::new());
        let shared = Rc::new(Shared {
            local_address,
            links,
            inbox,
            last_id: Cell::new(0),
            dial_count: Cell::new(0),
        });
        tokio::task::spawn_local(accept(listener, shared.clone()));
        Ok(Self { shared })
    }

    /// Returns the number of connections that this instance has dialed.
    pub fn dial_count(&self) -> u64 {
        self.shared.dial_count.get()
    }

    /// Sends a frame, dialing a connection if there is none, and returns its size in bytes.
    pub fn send(&self, to: SocketAddr, frame: &Frame) -> usize {
        self.multicast([to], frame)
    }

    /// Sends a frame, which is encoded once, to several instances, and returns its size in bytes.
    pub fn multicast(&self, to: impl IntoIterator<Item = SocketAddr>, frame: &Frame) -> usize {
        // Encoding a frame to memory does not fail.
        let Ok(body) = postcard::to_stdvec(frame) else { return 0 };
        let Ok(length) = u32::try_from(body.len()) else { return 0 };
        let mut bytes = BytesMut::with_capacity(body.len() + 4);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&body);
        let bytes = bytes.freeze();
        for to in to {
            self.write(to, bytes.clone());
        }
        bytes.len()
    }

    fn write(&self, to: SocketAddr, bytes: Bytes) {
        self.shared.drop_unresponsive(to);
        let mut links = self.shared.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| self.shared.dial(to));
        link.record_sent(monotonic::now());
        if link.sender.try_send(bytes).is_err() {
            // The queue is full or the connection has ended; the next frame dials a new connection.
            links.remove(&to);
        }
    }
}

impl Shared {
    /// Drops the connection to a peer that does not answer.
    ///
    /// A connection can stay silent forever while new connections work; the leader would then consider a healthy
    /// instance lost.
    fn drop_unresponsive(&self, to: SocketAddr) {
        let now = monotonic::now();
        let mut links = self.links.borrow_mut();
        if links.get(&to).is_some_and(|link| link.is_unresponsive(now)) {
            links.remove(&to);
        }
    }

    fn open(&self, dialed: bool) -> (Link, Receiver<Bytes>) {
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        self.last_id.set(self.last_id.get() + 1);
        let now = monotonic::now();
        let last_received_at = Rc::new(Cell::new(now));
        let unanswered_since = Cell::new(now);
        (
            Link {
                id: self.last_id.get(),
                dialed,
                sender,
                opened_at: now,
                last_received_at,
                unanswered_since,
            },
            queue,
        )
    }

    fn dial(self: &Rc<Self>, to: SocketAddr) -> Link {
        let (link, queue) = self.open(true);
        let (id, last_received_at) = (link.id, link.last_received_at.clone());
        self.dial_count.set(self.dial_count.get() + 1);
        metrics::counter!("verbenaslip_instance_connections_total").increment(1);
        let shared = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(stream) = dial(to, shared.local_address).await {
                shared.run(stream, queue, &last_received_at).await;
            }
            shared.remove_link(to, id);
        });
        link
    }

    /// Returns whether frames are still sent over the connection that this instance has dialed, after the peer has
    /// dialed one too.
    ///
    /// Usually the newer connection wins, since the peer sends on it, in particular after the peer has restarted. But
    /// if both sides dial simultaneously, as after a power loss of all instances, each side would drop its own
    /// connection in favor of the other's, and none would remain. In that case, both sides keep the connection that
    /// the lower address has dialed.
    fn keeps_dialed_link(&self, peer: SocketAddr) -> bool {
        let links = self.links.borrow();
        links.get(&peer).is_some_and(|link| {
            let recent = monotonic::now().saturating_sub(link.opened_at) < SIMULTANEOUS_DIAL_TIME;
            link.dialed && recent && self.local_address < peer
        })
    }

    /// Sends and receives frames until the connection ends.
    ///
    /// A connection that is no longer used for sending is read until the peer sends nothing more, since the peer may
    /// have sent frames on it before it switched to another connection.
    async fn run(
        &self,
        stream: TcpStream,
        queue: Receiver<Bytes>,
        last_received_at: &Cell<Duration>,
    ) {
        let (reader, writer) = stream.into_split();
        tokio::select! {
            () = read(reader, &self.inbox, last_received_at) => {}
            () = write(writer, queue, last_received_at) => {}
        }
    }

    fn remove_link(&self, to: SocketAddr, id: u64) {
        let mut links = self.links.borrow_mut();
        if links.get(&to).is_some_and(|link| link.id == id) {
            links.remove(&to);
        }
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let stream = socket::accept(&listener).await;
        tokio::task::spawn_local(handle_connection(stream, shared.clone()));
    }
}

async fn handle_connection(mut stream: TcpStream, shared: Rc<Shared>) {
    if socket::set_options(&stream).is_err() {
        return;
    }
    let handshake = tokio::time::timeout(DIAL_TIMEOUT * 4, read_handshake(&mut stream)).await;
    let Ok(Ok(peer)) = handshake else { return };
    let (link, queue) = shared.open(false);
    let (id, last_received_at) = (link.id, link.last_received_at.clone());
    if !shared.keeps_dialed_link(peer) {
        shared.links.borrow_mut().insert(peer, link);
    }
    shared.run(stream, queue, &last_received_at).await;
    shared.remove_link(peer, id);
}

/// Connects to a peer and sends the handshake.
async fn dial(to: SocketAddr, local_address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = socket::connect(to, DIAL_TIMEOUT).await?;
    send_handshake(&mut stream, local_address).await?;
    Ok(stream)
}

/// Sends the handshake, which contains the address of this instance.
async fn send_handshake(stream: &mut TcpStream, local_address: SocketAddr) -> io::Result<()> {
    let text = local_address.to_string();
    let mut bytes = MAGIC.to_vec();
    bytes.push(u8::try_from(text.len()).unwrap_or(u8::MAX));
    bytes.extend_from_slice(text.as_bytes());
    stream.write_all(&bytes).await
}

/// Reads the handshake and returns the address of the peer.
async fn read_handshake(stream: &mut TcpStream) -> io::Result<SocketAddr> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).await?;
    if head[..4] != MAGIC[..] {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut text = vec![0; usize::from(head[4])];
    stream.read_exact(&mut text).await?;
    let text = std::str::from_utf8(&text).ok();
    text.and_then(|it| it.parse().ok()).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

async fn read(
    mut reader: OwnedReadHalf,
    inbox: &UnboundedSender<Frame>,
    last_received_at: &Cell<Duration>,
) {
    let mut bytes = bytes::BytesMut::new();
    loop {
        while let Some(length) = frame_length(&bytes) {
            let frame = bytes.split_to(length);
            let Ok(frame) = postcard::from_bytes(&frame[4..]) else { return };
            last_received_at.set(monotonic::now());
            if inbox.send(frame).is_err() {
                return;
            }
        }
        let length =
            bytes.get(..4).map(|head| u32::from_le_bytes([head[0], head[1], head[2], head[3]]));
        if length.is_some_and(|length| length as usize > MAX_FRAME_BYTES) {
            return;
        }
        match reader.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            Ok(_) | Err(_) => return,
        }
    }
}

/// Returns the length of the first frame, including its length field, if the frame is complete.
fn frame_length(bytes: &[u8]) -> Option<usize> {
    let (head, _) = bytes.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*head) as usize + 4;
    (bytes.len() >= length).then_some(length)
}

async fn write(
    mut writer: OwnedWriteHalf,
    mut queue: Receiver<Bytes>,
    last_received_at: &Cell<Duration>,
) {
    while let Some(first) = queue.recv().await {
        let written = match queue.try_recv() {
            Err(_) => writer.write_all(&first).await,
            Ok(second) => {
                let mut bytes = BytesMut::from(first);
                bytes.extend_from_slice(&second);
                while let Ok(more) = queue.try_recv() {
                    bytes.extend_from_slice(&more);
                }
                writer.write_all(&bytes).await
            }
        };
        if written.is_err() {
            return;
        }
    }
    while monotonic::now().saturating_sub(last_received_at.get()) < UNUSED_TIMEOUT {
        tokio::time::sleep(UNUSED_TIMEOUT).await;
    }
}
