//! Messages between instances: datagrams, and frames over connections that are kept open.
//!
//! What the messages say is not known here: they are bytes of the decisions. [`wire`] holds the
//! frames, [`link`] the connections to others, [`inbound`] those from others.

mod inbound;
mod link;
mod queue;
pub mod wire;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

use crossbeam::channel::Sender;
use tokio::runtime::{Builder, Handle};
use tokio::sync::watch;
use verbenaslip_base::data;
use verbenaslip_base::hash;
use verbenaslip_base::name::Instance;

use crate::peers::queue::Queue;
use crate::peers::wire::Stamp;

/// How often a port is looked for that is free for both protocols.
const PORT_TRIES: u32 = 16;

/// The most reports that may wait for the control thread before messages are dropped.
const REPORTS_MAX: usize = 65_536;

/// The most peers with a connection at once.
const LINKS_MAX: usize = 1024;

/// Says who an instance is towards others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The deployment's name; instances of another deployment are refused.
    pub cluster: Arc<str>,
    /// A word that all instances of the deployment share; it guards against mistakes, not attacks.
    pub secret: Option<Arc<str>>,
    /// The instance's name.
    pub name: Instance,
    /// Rises at each start of the instance.
    pub incarnation: u64,
}

impl Identity {
    /// Returns the mark that every datagram and connection carries.
    pub(crate) fn stamp(&self) -> Stamp {
        let secret = self.secret.as_deref().unwrap_or_default();
        Stamp {
            deployment: hash::narrow(&[self.cluster.as_bytes(), secret.as_bytes()]),
            from: self.name.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Takes over connections that ask for answers or bring them.
pub trait Adopt: Send + Sync {
    /// Takes over a connection whose greeting has been read.
    fn adopt(&self, stream: TcpStream);
}

impl Adopt for crate::traffic::Traffic {
    fn adopt(&self, stream: TcpStream) {
        crate::traffic::Traffic::adopt(self, stream);
    }
}

/// Sets up the messages between instances.
pub struct Setup {
    /// The address of both datagrams and connections; port 0 takes a free one.
    pub address: SocketAddr,
    /// Who this instance is.
    pub identity: Identity,
    /// Takes over connections for answers.
    pub answers: Arc<dyn Adopt>,
}

/// Names how a message goes.
#[data(copy, ord)]
pub enum Via {
    /// In one datagram, which may be lost, doubled or overtaken.
    Datagram,
    /// Over the connection to that peer, in order as long as the connection lasts.
    Stream,
}

/// Tells the control thread of a message.
#[data]
pub struct Report {
    /// The instance that sent it.
    pub from: Instance,
    /// The sender's start.
    pub incarnation: u64,
    /// The address it came from; for a connection that is not where the sender listens.
    pub source: SocketAddr,
    /// How it came.
    pub via: Via,
    /// The message.
    pub bytes: Vec<u8>,
}

/// Counts what went between instances.
#[data(copy, default)]
pub struct Stats {
    /// Messages sent, bytes with their frames.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Messages dropped: too large, queue full, or control thread too slow.
    pub dropped: u64,
    /// Frames and datagrams that were damaged, too large or of another deployment.
    pub refused: u64,
    /// Connections to others that were opened.
    pub opened: u64,
    /// Connections to others that were given up as silent.
    pub silent: u64,
}

/// Holds the queue of each peer that a connection is kept to.
type Links = BTreeMap<SocketAddr, Arc<Queue>>;

/// Holds what all tasks share.
pub(crate) struct Shared {
    pub stamp: Stamp,
    pub events: Sender<Report>,
    pub answers: Arc<dyn Adopt>,
    pub links: Mutex<Links>,
    pub counts: Counts,
}

/// Holds the counters behind the statistics.
#[derive(Default)]
pub(crate) struct Counts {
    pub sent: AtomicU64,
    pub sent_bytes: AtomicU64,
    pub received: AtomicU64,
    pub dropped: AtomicU64,
    pub refused: AtomicU64,
    pub opened: AtomicU64,
    pub silent: AtomicU64,
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Locks, also after another thread has panicked with the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Passes a message on to the control thread.
    pub(crate) fn tell(&self, report: Report) {
        // A peer that sends faster than the control thread reads must not fill the memory; the
        // messages' protocols live with loss.
        if self.events.len() >= REPORTS_MAX {
            return count(&self.counts.dropped);
        }
        count(&self.counts.received);
        let _ = self.events.send(report);
    }
}

/// Sends messages to other instances and receives theirs; dropping it ends all connections.
pub struct Peers {
    shared: Arc<Shared>,
    socket: UdpSocket,
    address: SocketAddr,
    handle: Handle,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Peers {
    /// Binds one address for datagrams and connections and starts the thread that serves them.
    pub fn bind(setup: Setup, events: Sender<Report>) -> io::Result<Self> {
        let (listener, socket) = sockets(setup.address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            stamp: setup.identity.stamp(),
            events,
            answers: setup.answers,
            links: Mutex::default(),
            counts: Counts::default(),
        });
        let (stop, mut stopped) = watch::channel(false);
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (listener, receiver) = {
            let _entered = handle.enter();
            let receiver = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
            (tokio::net::TcpListener::from_std(listener)?, receiver)
        };
        runtime.spawn(inbound::datagrams(shared.clone(), receiver));
        runtime.spawn(inbound::accept(shared.clone(), listener));
        let thread = thread::Builder::new().name("peers".into()).spawn(move || {
            runtime.block_on(async move {
                let _ = stopped.wait_for(|stopped| *stopped).await;
            });
        })?;
        Ok(Self { shared, socket, address, handle, stop, thread: Some(thread) })
    }

    /// Returns the address that others send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message, without ever waiting.
    ///
    /// It may be lost: a datagram anywhere, a stream's message when the connection breaks or when
    /// the peer's queue is full, where the oldest is dropped.
    pub fn send(&self, to: SocketAddr, via: Via, bytes: Vec<u8>) {
        match via {
            Via::Datagram => self.datagram(to, bytes),
            Via::Stream => self.stream(to, bytes),
        }
    }

    /// Counts what went between instances.
    pub fn stats(&self) -> Stats {
        let counts = &self.shared.counts;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Stats {
            sent: read(&counts.sent),
            sent_bytes: read(&counts.sent_bytes),
            received: read(&counts.received),
            dropped: read(&counts.dropped),
            refused: read(&counts.refused),
            opened: read(&counts.opened),
            silent: read(&counts.silent),
        }
    }

    fn datagram(&self, to: SocketAddr, bytes: Vec<u8>) {
        let counts = &self.shared.counts;
        let datagram = wire::Datagram { stamp: self.shared.stamp.clone(), bytes };
        let sent = datagram.encode().map(|bytes| self.socket.send_to(&bytes, to));
        let Some(Ok(length)) = sent else {
            return count(&counts.dropped);
        };
        count(&counts.sent);
        counts.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
    }

    fn stream(&self, to: SocketAddr, bytes: Vec<u8>) {
        let mut links = lock(&self.shared.links);
        if !links.contains_key(&to) && links.len() >= LINKS_MAX {
            return count(&self.shared.counts.dropped);
        }
        let queue = links.entry(to).or_insert_with(|| {
            let queue = Arc::new(Queue::default());
            self.handle.spawn(link::run(self.shared.clone(), to, queue.clone()));
            queue
        });
        let dropped = queue.push(bytes);
        self.shared.counts.dropped.fetch_add(dropped, Ordering::Relaxed);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds both protocols to the same port.
fn sockets(address: SocketAddr) -> io::Result<(std::net::TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let listener = std::net::TcpListener::bind(address)?;
        let socket = UdpSocket::bind(listener.local_addr()?);
        tries += 1;
        // A port that is free for one protocol may be taken for the other.
        if socket.is_err() && address.port() == 0 && tries < PORT_TRIES {
            continue;
        }
        let socket = socket?;
        listener.set_nonblocking(true)?;
        socket.set_nonblocking(true)?;
        return Ok((listener, socket));
    }
}
