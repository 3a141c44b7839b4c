//! Copying an answer to the second holder as it grows.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;

use crate::peers::wire::Frame;
use crate::traffic::Report;
use crate::traffic::pace::Pace;
use crate::traffic::plane::{self, BEAT, SILENT, Wire};
use crate::traffic::shared::Shared;
use crate::traffic::shelf::Shelf;

/// The bytes that the slowest path is taken to carry in a second.
const SLOWEST: usize = 64 << 10;

/// The shortest and the longest wait before the next try.
const WAIT_MIN: Duration = Duration::from_millis(50);
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Starts to copy an answer to a second holder in place of an earlier one; none ends it.
pub(crate) fn set(shared: &Arc<Shared>, request: Request, epoch: u16, to: Option<Instance>) {
    let shelf = shared.shelves.of(request, epoch);
    shelf.mirror(to.is_some());
    let Some(to) = to else {
        return shared.mirrors.stop(&request);
    };
    let owner = shared.clone();
    shared.mirrors.start(shared.handle(), request, |number| {
        Box::pin(async move {
            let mirror = Mirror { shared: owner, shelf, request, epoch, to };
            mirror.run().await;
            mirror.shared.mirrors.done(&request, number);
        })
    });
}

/// Copies one answer to one instance.
struct Mirror {
    shared: Arc<Shared>,
    shelf: Arc<Shelf>,
    request: Request,
    epoch: u16,
    to: Instance,
}

/// Says how far the copy is.
#[derive(Clone, Copy)]
struct Held {
    position: u32,
    whole: bool,
}

impl Mirror {
    /// Copies until the end, over a new connection whenever one is lost.
    async fn run(&self) {
        let mut wait = WAIT_MIN;
        loop {
            let Err(error) = self.copy().await else { return };
            let Self { request, to, .. } = self;
            log::debug!("copying {request} to {to} ended: {error}");
            self.shared.tell(Report::MirrorLost { request: *request, to: to.clone() });
            sleep(wait).await;
            wait = (wait * 2).min(WAIT_MAX);
        }
    }

    /// Copies over one connection.
    async fn copy(&self) -> io::Result<()> {
        let mut changed = self.shelf.watch();
        let mut stream = plane::open(&self.shared, self.shared.address(&self.to)?).await?;
        let Self { request, epoch, .. } = *self;
        plane::send(&mut stream, &Frame::Copy { request, epoch }).await?;
        let mut held = acknowledged(&mut stream, 0).await?;
        let mut pace = Pace::default();
        loop {
            let Held { position, whole } = held;
            self.shelf.mirrored(position, whole);
            if pace.due(position, whole) {
                let to = self.to.clone();
                self.shared.tell(Report::Mirrored { request, to, position, whole });
            }
            if whole {
                return Ok(());
            }
            held = self.advance(&mut stream, &mut changed, position).await?;
        }
    }

    /// Sends what there is after a position, once there is something, and waits until it is held.
    async fn advance(
        &self,
        stream: &mut Wire,
        changed: &mut watch::Receiver<()>,
        position: u32,
    ) -> io::Result<Held> {
        loop {
            let rest = self.shelf.missing(position);
            if !rest.is_empty() {
                // The end is acknowledged by itself; pieces are when the heartbeat after them came.
                let sent = plane::send_rest(stream, rest, true).await?;
                return acknowledged(stream, sent.bytes).await;
            }
            if timeout(BEAT, changed.changed()).await.is_err() {
                plane::send(stream, &Frame::Heartbeat).await?;
                acknowledged(stream, 0).await?;
            }
        }
    }
}

/// Waits for the acknowledgement of so many bytes.
async fn acknowledged(stream: &mut Wire, bytes: usize) -> io::Result<Held> {
    // The system's buffers take the bytes at once; over a slow path they are read long after that.
    let travel = Duration::from_secs((bytes / SLOWEST) as u64);
    match Frame::read(stream, SILENT + travel).await? {
        Frame::Held { position, whole } => Ok(Held { position, whole }),
        _ => Err(plane::declined()),
    }
}
