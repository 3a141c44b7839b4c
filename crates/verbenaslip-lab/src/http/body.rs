//! The bytes of an answer, known at once or as they come.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Bytes, Frame};
use tokio::sync::mpsc;

/// Carries the bytes of an answer.
pub(crate) enum Body {
    /// All bytes at once.
    Whole(Option<Bytes>),
    /// Bytes as they are made; an error resets the connection.
    Flow(mpsc::Receiver<io::Result<Bytes>>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Flow(flow) => {
                flow.poll_recv(context).map(|next| next.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }
}
