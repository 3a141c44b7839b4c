//! Answers to and from other instances over their peer addresses.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::timeout;
use verbenaslip_base::attempt::Request;
use verbenaslip_request::answer::AppendResult;

use crate::peers::wire::{self, Error, Frame, Purpose};
use crate::traffic::Report;
use crate::traffic::pace::Pace;
use crate::traffic::reader::{Reader, Stop};
use crate::traffic::shared::Shared;
use crate::traffic::shelf::{Rest, Shelf};
use crate::traffic::ticket::Waiter;

/// A connection between instances; reads are buffered, as a frame takes two.
pub(crate) type Wire = BufReader<TcpStream>;

/// How often something goes over a connection that has nothing to say.
pub(crate) const BEAT: Duration = Duration::from_millis(500);

/// The silence after which a connection is given up.
pub(crate) const SILENT: Duration = Duration::from_millis(1800);

/// Takes over a connection from another instance.
pub(crate) fn adopt(shared: &Arc<Shared>, stream: std::net::TcpStream) {
    let guard = Adopted::new(shared);
    if shared.adopted.load(Ordering::Relaxed) > shared.limits.connections as u64 {
        return log::warn!("refused a connection for answers: too many are open");
    }
    let shared = shared.clone();
    let handle = shared.handle().clone();
    handle.spawn(async move {
        let _guard = guard;
        if let Err(error) = serve(&shared, stream).await {
            log::debug!("a connection for answers ended: {error}");
        }
    });
}

/// Counts a connection of another instance for as long as it is open.
struct Adopted(Arc<Shared>);

impl Adopted {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.adopted.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for Adopted {
    fn drop(&mut self) {
        self.0.adopted.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Opens a connection to another instance's peer address.
pub(crate) async fn open(shared: &Shared, to: SocketAddr) -> io::Result<Wire> {
    let mut stream = timeout(shared.limits.connect_time, TcpStream::connect(to)).await??;
    stream.set_nodelay(true)?;
    let stamp = shared.identity.stamp();
    Frame::Hello { stamp, purpose: Purpose::Answers }.write(&mut stream, SILENT).await?;
    Ok(BufReader::new(stream))
}

/// Reads a frame, and fails when none comes in time.
pub(crate) async fn receive(stream: &mut Wire) -> io::Result<Frame> {
    Frame::read(stream, SILENT).await
}

/// Writes a frame, and fails when it is not taken in time.
pub(crate) async fn send(stream: &mut Wire, frame: &Frame) -> io::Result<()> {
    frame.write(stream, SILENT).await
}

/// Says what was sent.
pub(crate) struct Sent {
    /// Whether it was the end.
    pub ended: bool,
    /// How many bytes it took.
    pub bytes: usize,
}

/// Sends what a shelf holds in one write, so that a batch of tokens does not cost a packet each.
///
/// Before the end, a heartbeat follows when an acknowledgement is wanted.
pub(crate) async fn send_rest(
    stream: &mut Wire,
    rest: Rest,
    acknowledge: bool,
) -> io::Result<Sent> {
    let ended = rest.ended();
    let mut frames: Vec<_> = rest.pieces.into_iter().map(Frame::Piece).collect();
    frames.extend(rest.end.map(Frame::End).or(rest.whole.map(Frame::Whole)));
    if acknowledge && !ended {
        frames.push(Frame::Heartbeat);
    }
    let mut bytes = Vec::new();
    for frame in &frames {
        bytes.extend(frame.encode().ok_or(Error::Large)?);
    }
    wire::write(stream, &bytes, SILENT).await?;
    Ok(Sent { ended, bytes: bytes.len() })
}

/// Returns the error for a frame that does not fit.
pub(crate) fn declined() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the answer there does not fit the one here")
}

/// Passes what was taken, and an error for what was not.
pub(crate) fn taken(added: AppendResult) -> io::Result<()> {
    match added {
        AppendResult::Appended | AppendResult::Duplicate => Ok(()),
        AppendResult::Late | AppendResult::Gap { .. } | AppendResult::Full => Err(declined()),
    }
}

async fn serve(shared: &Arc<Shared>, stream: std::net::TcpStream) -> io::Result<()> {
    let mut stream = BufReader::new(TcpStream::from_std(stream)?);
    match receive(&mut stream).await? {
        Frame::Fetch { request, after } => give(shared, &mut stream, request, after).await,
        Frame::Copy { request, epoch } => keep(shared, &mut stream, request, epoch).await,
        _ => Err(declined()),
    }
}

/// Gives another instance an answer from after a position, as the control thread says.
async fn give(
    shared: &Arc<Shared>,
    stream: &mut Wire,
    request: Request,
    after: u32,
) -> io::Result<()> {
    let waiter = Waiter::new(shared);
    let ticket = waiter.ticket;
    let mut reader = Reader::new(shared, waiter, after);
    shared.tell(Report::Subscribed { ticket, request, after });
    loop {
        // The other end counts silence as loss, so that waiting must show itself.
        let Ok(next) = timeout(BEAT, reader.next()).await else {
            send(stream, &Frame::Heartbeat).await?;
            continue;
        };
        let ended = match next {
            Ok(rest) => send_rest(stream, rest, false).await?.ended,
            Err(Stop::Final(verdict)) => {
                send(stream, &Frame::Verdict(verdict)).await?;
                true
            }
            Err(Stop::Misaligned(_) | Stop::Absent) => {
                send(stream, &Frame::Declined).await?;
                true
            }
        };
        if ended {
            reader.release().served();
            return Ok(());
        }
    }
}

/// Keeps a copy of another instance's answer, and says how far it is.
async fn keep(shared: &Shared, stream: &mut Wire, request: Request, epoch: u16) -> io::Result<()> {
    let shelf = shared.shelves.renew(request, epoch);
    let mut copy = Copy { shared, shelf, request, epoch, pace: Pace::default() };
    if copy.shelf.epoch() > epoch || copy.shelf.owned() {
        return send(stream, &Frame::Declined).await;
    }
    loop {
        let (position, whole) = copy.held();
        send(stream, &Frame::Held { position, whole }).await?;
        copy.tell(position, whole);
        if whole {
            return Ok(());
        }
        if !copy.fill(stream).await? {
            return send(stream, &Frame::Declined).await;
        }
    }
}

/// Takes one copy.
struct Copy<'a> {
    shared: &'a Shared,
    shelf: Arc<Shelf>,
    request: Request,
    epoch: u16,
    pace: Pace,
}

impl Copy<'_> {
    /// Returns how far the copy is; an earlier epoch's does not count.
    fn held(&self) -> (u32, bool) {
        if self.shelf.epoch() < self.epoch {
            return (0, false);
        }
        (self.shelf.position(), self.shelf.ended())
    }

    /// Reads until the other end wants to know, or the end; false when a frame was not taken.
    async fn fill(&self, stream: &mut Wire) -> io::Result<bool> {
        loop {
            let added = match receive(stream).await? {
                Frame::Heartbeat => return Ok(true),
                Frame::Piece(piece) => self.shelf.copy(self.epoch, &piece),
                Frame::End(end) => self.shelf.copy_end(self.epoch, &end),
                Frame::Whole(whole) => self.shelf.copy_whole(self.epoch, whole),
                _ => return Ok(false),
            };
            if taken(added).is_err() {
                return Ok(false);
            }
            if self.shelf.ended() {
                return Ok(true);
            }
        }
    }

    /// Reports how far the copy is, at its pace.
    fn tell(&mut self, position: u32, whole: bool) {
        if self.pace.due(position, whole) {
            let Self { request, epoch, .. } = *self;
            self.shared.tell(Report::Copied { request, epoch, position, whole });
        }
    }
}
