//! Copying an answer to another instance as it grows.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use verbenaslip_base::attempt::Request;

use crate::peers::wire::Frame;
use crate::traffic::Report;
use crate::traffic::plane::{self, BEAT};
use crate::traffic::shared::Shared;
use crate::traffic::shelf::Shelf;

/// The least time between two batches, so that single tokens do not each cost a packet.
const BATCH: Duration = Duration::from_millis(20);

/// Starts to copy an answer.
pub(crate) fn start(shared: &Arc<Shared>, request: Request, to: SocketAddr) {
    let owner = shared.clone();
    let key = (request, to);
    shared.mirrors.start(shared.handle(), key, |number| {
        Box::pin(async move {
            let copied = run(&owner, request, to).await;
            if owner.mirrors.done(&key, number) && copied.is_err() {
                owner.tell(Report::MirrorLost { request, to });
            }
        })
    });
}

async fn run(shared: &Shared, request: Request, to: SocketAddr) -> io::Result<()> {
    let shelf = shared.shelves.open(request, shared.limits.answer);
    let mut changed = shelf.watch();
    let mut stream = plane::open(shared, to).await?;
    plane::send(&mut stream, &Frame::Copy { request }).await?;
    let mut held = acknowledged(&mut stream).await?;
    loop {
        let Held { position, whole } = held;
        shared.tell(Report::Mirrored { request, to, position, whole });
        if whole {
            return Ok(());
        }
        held = advance(&mut stream, &shelf, &mut changed, position).await?;
        sleep(BATCH).await;
    }
}

/// Says how far the copy is.
#[derive(Clone, Copy)]
struct Held {
    position: u32,
    whole: bool,
}

/// Sends what there is after a position, once there is something, and waits for it to be held.
async fn advance(
    stream: &mut TcpStream,
    shelf: &Shelf,
    changed: &mut watch::Receiver<()>,
    position: u32,
) -> io::Result<Held> {
    loop {
        let rest = shelf.after(position).ok_or_else(plane::declined)?;
        if !rest.pieces.is_empty() || rest.end.is_some() {
            let ended = plane::send_rest(stream, rest).await?;
            // The end is acknowledged by itself; pieces are when the heartbeat after them came.
            if !ended {
                plane::send(stream, &Frame::Heartbeat).await?;
            }
            return acknowledged(stream).await;
        }
        if timeout(BEAT, changed.changed()).await.is_err() {
            plane::send(stream, &Frame::Heartbeat).await?;
            acknowledged(stream).await?;
        }
    }
}

async fn acknowledged(stream: &mut TcpStream) -> io::Result<Held> {
    match plane::receive(stream).await? {
        Frame::Held { position, whole } => Ok(Held { position, whole }),
        _ => Err(plane::declined()),
    }
}
