//! The bytes of one answer on their way to the caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

use crate::traffic::ticket::Waiter;

/// The frames of a stream that wait for the caller; few, as the shelf holds the rest anyway.
const FRAMES: usize = 1;

/// Holds the bytes that a caller gets.
pub(crate) enum Payload {
    /// Known whole, with the caller that they are for.
    Whole(Option<Bytes>, Option<Waiter>),
    /// Coming bit by bit; the other end is told when the last has been taken.
    Flow(mpsc::Receiver<Bytes>, Option<oneshot::Sender<()>>),
}

/// Feeds a body bit by bit.
pub(crate) struct Feed {
    sender: mpsc::Sender<Bytes>,
    taken: oneshot::Receiver<()>,
}

impl Payload {
    /// Makes a body that is known whole.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()), None)
    }

    /// Makes a body that is fed bit by bit.
    pub(crate) fn flow() -> (Feed, Self) {
        let (sender, frames) = mpsc::channel(FRAMES);
        let (done, taken) = oneshot::channel();
        (Feed { sender, taken }, Self::Flow(frames, Some(done)))
    }

    /// Binds a body that is known whole to its caller, who counts as served once it is taken.
    pub(crate) fn to(self, mut caller: Waiter) -> Self {
        match self {
            Self::Whole(None, _) => {
                caller.served();
                Self::Whole(None, Some(caller))
            }
            Self::Whole(bytes, _) => Self::Whole(bytes, Some(caller)),
            flow => flow,
        }
    }
}

impl Feed {
    /// Hands on the next bytes; false when the caller has gone.
    pub(crate) async fn send(&self, bytes: impl Into<Bytes>) -> bool {
        self.sender.send(bytes.into()).await.is_ok()
    }

    /// Waits until the caller has gone.
    pub(crate) async fn gone(&self) {
        self.sender.closed().await;
    }

    /// Ends the body; true once the connection has taken all of it.
    pub(crate) async fn end(self) -> bool {
        drop(self.sender);
        self.taken.await.is_ok()
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            Self::Whole(bytes, caller) => {
                if let Some(caller) = caller {
                    caller.served();
                }
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Flow(frames, done) => frames.poll_recv(context).map(|bytes| {
                if bytes.is_none()
                    && let Some(done) = done.take()
                {
                    let _ = done.send(());
                }
                bytes.map(|bytes| Ok(Frame::data(bytes)))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None, _))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Flow(..) => SizeHint::default(),
        }
    }
}
