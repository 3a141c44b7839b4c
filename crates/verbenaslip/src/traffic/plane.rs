//! Answers to and from other instances over their peer addresses.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;
use verbenaslip_base::attempt::{Attempt, Request};

use crate::peers::wire::{Frame, Purpose};
use crate::traffic::answer::{End, Outcome, Piece, Plain};
use crate::traffic::shared::Shared;
use crate::traffic::shelf::{Rest, Shelf};

/// How often something goes over a connection that has nothing to say.
pub(crate) const BEAT: Duration = Duration::from_millis(500);

/// The silence after which a connection is given up.
pub(crate) const SILENT: Duration = Duration::from_millis(1800);

/// Takes over a connection from another instance.
pub(crate) fn adopt(shared: &Arc<Shared>, stream: std::net::TcpStream) {
    let shared = shared.clone();
    let handle = shared.handle().clone();
    handle.spawn(async move {
        if let Err(error) = serve(&shared, stream).await {
            log::debug!("a connection for answers ended: {error}");
        }
    });
}

/// Opens a connection to another instance's peer address.
pub(crate) async fn open(shared: &Shared, to: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = timeout(shared.limits.connect_time, TcpStream::connect(to)).await??;
    stream.set_nodelay(true)?;
    let stamp = shared.identity.stamp();
    Frame::Hello { stamp, purpose: Purpose::Answers }.write(&mut stream).await?;
    Ok(stream)
}

/// Reads a frame, and fails when none comes in time.
pub(crate) async fn receive(stream: &mut TcpStream) -> io::Result<Frame> {
    timeout(SILENT, Frame::read(stream)).await?
}

/// Writes a frame, and fails when it is not taken in time.
pub(crate) async fn send(stream: &mut TcpStream, frame: &Frame) -> io::Result<()> {
    timeout(SILENT, frame.write(stream)).await?.map(|_| ())
}

/// Sends what a shelf holds; true when that was its end.
pub(crate) async fn send_rest(stream: &mut TcpStream, rest: Rest) -> io::Result<bool> {
    let Some(attempt) = rest.source else {
        return Ok(false);
    };
    for piece in rest.pieces {
        let Piece { position, tokens, text } = piece;
        send(stream, &Frame::Piece { attempt, position, tokens, text }).await?;
    }
    let Some(end) = rest.end else {
        return Ok(false);
    };
    let frame = match end {
        End::Finish(reason) => Frame::Finish { attempt, reason },
        End::Whole(Plain { status, content, bytes }) => {
            Frame::Whole { attempt, status, content, bytes: bytes.to_vec() }
        }
    };
    send(stream, &frame).await.map(|()| true)
}

/// Puts a received frame on a shelf; an error when the shelf does not take it.
pub(crate) fn take(shelf: &Shelf, frame: Frame) -> io::Result<()> {
    match frame {
        Frame::Piece { attempt, position, tokens, text } => {
            match shelf.copy(attempt, Piece { position, tokens, text }) {
                Outcome::Added => Ok(()),
                Outcome::Dropped if position <= shelf.position() => Ok(()),
                _ => Err(declined()),
            }
        }
        Frame::Finish { attempt, reason } => finish(shelf, attempt, End::Finish(reason)),
        Frame::Whole { attempt, status, content, bytes } => {
            let plain = Plain { status, content, bytes: bytes.into() };
            finish(shelf, attempt, End::Whole(plain))
        }
        Frame::Heartbeat => Ok(()),
        _ => Err(declined()),
    }
}

fn finish(shelf: &Shelf, attempt: Attempt, end: End) -> io::Result<()> {
    if shelf.finish_copy(attempt, end) || shelf.whole() { Ok(()) } else { Err(declined()) }
}

/// Returns the error for a piece that does not fit.
pub(crate) fn declined() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the answer there does not fit the one here")
}

async fn serve(shared: &Arc<Shared>, stream: std::net::TcpStream) -> io::Result<()> {
    let mut stream = TcpStream::from_std(stream)?;
    match receive(&mut stream).await? {
        Frame::Fetch { request, after } => give(shared, &mut stream, request, after).await,
        Frame::Copy { request } => keep(shared, &mut stream, request).await,
        _ => Err(declined()),
    }
}

/// Gives another instance an answer from after a position, until its end.
async fn give(
    shared: &Shared,
    stream: &mut TcpStream,
    request: Request,
    mut after: u32,
) -> io::Result<()> {
    let Some(shelf) = shared.shelves.find(request) else {
        return send(stream, &Frame::Declined).await;
    };
    let mut changed = shelf.watch();
    loop {
        let Some(rest) = shelf.after(after) else {
            return send(stream, &Frame::Declined).await;
        };
        after = rest.pieces.last().map_or(after, |piece| piece.position);
        if send_rest(stream, rest).await? {
            return Ok(());
        }
        if timeout(BEAT, changed.changed()).await.is_err() {
            send(stream, &Frame::Heartbeat).await?;
        }
    }
}

/// Keeps a copy of another instance's answer, and says how far it is.
async fn keep(shared: &Shared, stream: &mut TcpStream, request: Request) -> io::Result<()> {
    let shelf = shared.shelves.open(request, shared.limits.answer);
    loop {
        let (position, whole) = (shelf.position(), shelf.whole());
        send(stream, &Frame::Held { position, whole }).await?;
        if whole {
            return Ok(());
        }
        while !shelf.whole() {
            let frame = receive(stream).await?;
            let asked = frame == Frame::Heartbeat;
            if take(&shelf, frame).is_err() {
                return send(stream, &Frame::Declined).await;
            }
            if asked {
                break;
            }
        }
    }
}
