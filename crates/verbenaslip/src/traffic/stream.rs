//! What a caller reads: error, whole object, plain answer or event stream.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{SystemTime, UNIX_EPOCH};

use hyper::Response;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE};
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::refusal::Unknown;
use verbenaslip_request::caller::Verdict;

use crate::traffic::answer::{End, Piece, Plain};
use crate::traffic::error::Problem;
use crate::traffic::parse::{Asked, Form};
use crate::traffic::relay;
use crate::traffic::shared::Shared;
use crate::traffic::shelf::Shelf;
use crate::traffic::ticket::Waiter;

/// The frames of a stream that wait for the caller; small, as the shelf holds the rest anyway.
const FRAMES: usize = 1;

/// Holds the bytes that a caller gets.
pub(crate) enum Payload {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Coming bit by bit.
    Flow(mpsc::Receiver<Bytes>),
}

impl Payload {
    /// Makes a body that is known whole.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Flow(frames) => {
                frames.poll_recv(context).map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Flow(_) => SizeHint::default(),
        }
    }
}

/// Tells the control thread of a request and answers as it says.
pub(crate) async fn answer(shared: &Arc<Shared>, asked: Asked) -> Response<Payload> {
    let Asked { mut arrival, due, form } = asked;
    let waiter = Waiter::new(shared);
    arrival.ticket = waiter.ticket;
    let now = shared.now();
    arrival.head.deadline = due.map_or(std::time::Duration::MAX, |due| now.saturating_add(due));
    let reader = Reader {
        shared: shared.clone(),
        waiter,
        source: None,
        at: arrival.after.unwrap_or(0),
        style: Style::new(&arrival.head),
    };
    shared.tell(crate::traffic::Report::Arrived { arrival, due });
    match form {
        Form::Events => reader.events().await,
        Form::Object | Form::Plain => reader.whole().await,
    }
}

/// Follows the verdicts on one caller and reads the answer that they name.
pub(crate) struct Reader {
    shared: Arc<Shared>,
    waiter: Waiter,
    source: Option<Source>,
    at: u32,
    style: Style,
}

/// Holds where a caller's answer comes from.
struct Source {
    shelf: Arc<Shelf>,
    changed: watch::Receiver<()>,
    _relay: Option<Stopper>,
}

/// Ends a task when dropped.
pub(crate) struct Stopper(pub AbortHandle);

impl Drop for Stopper {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Holds the next of an answer.
struct Next {
    pieces: Vec<Piece>,
    end: Option<End>,
}

impl Reader {
    /// Answers with an event stream; the head waits for the first token, so that a refusal before
    /// it still has its own status.
    async fn events(mut self) -> Response<Payload> {
        let first = match self.next().await {
            Ok(first) => first,
            Err(problem) => return self.refuse(&problem),
        };
        if let Some(End::Whole(plain)) = first.end {
            return self.pass(&plain);
        }
        let (sender, frames) = mpsc::channel(FRAMES);
        tokio::spawn(self.pump(first, sender));
        Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .header(CACHE_CONTROL, "no-store")
            .body(Payload::Flow(frames))
            .unwrap_or_else(|_| Response::new(Payload::whole("")))
    }

    /// Answers with everything at once.
    async fn whole(mut self) -> Response<Payload> {
        let mut text = String::new();
        loop {
            let next = match self.next().await {
                Ok(next) => next,
                Err(problem) => return self.refuse(&problem),
            };
            next.pieces.iter().for_each(|piece| text.push_str(&piece.text));
            match next.end {
                Some(End::Whole(plain)) => return self.pass(&plain),
                Some(End::Finish(reason)) => {
                    self.waiter.served();
                    let json = self.style.object(&text, self.at, &reason);
                    let response = Response::builder().header(CONTENT_TYPE, "application/json");
                    return response
                        .body(Payload::whole(json))
                        .unwrap_or_else(|_| Response::new(Payload::whole("")));
                }
                None => {}
            }
        }
    }

    /// Sends an answer bit by bit until its end, or until the caller has gone.
    async fn pump(mut self, first: Next, sender: mpsc::Sender<Bytes>) {
        let mut next = Ok(first);
        loop {
            let (bytes, ended) = match &next {
                Ok(next) => (self.style.events(next), next.end.is_some()),
                Err(problem) => (error_event(problem), true),
            };
            if sender.send(bytes.into()).await.is_err() {
                return;
            }
            if ended {
                self.waiter.served();
                return;
            }
            next = tokio::select! {
                next = self.next() => next,
                () = sender.closed() => return,
            };
        }
    }

    /// Waits for the next of the answer.
    async fn next(&mut self) -> Result<Next, Problem> {
        loop {
            if let Some(next) = self.held()? {
                return Ok(next);
            }
            let verdict = tokio::select! {
                verdict = self.waiter.verdict() => Some(verdict),
                () = changed(&mut self.source) => None,
            };
            if let Some(verdict) = verdict {
                self.follow(verdict)?;
            }
        }
    }

    /// Returns what the source holds after the caller's position.
    fn held(&mut self) -> Result<Option<Next>, Problem> {
        let Some(source) = &self.source else {
            return Ok(None);
        };
        let Some(rest) = source.shelf.after(self.at) else {
            return Err(Problem::misaligned(self.at));
        };
        if rest.pieces.is_empty() && rest.end.is_none() {
            return Ok(None);
        }
        self.at = rest.pieces.last().map_or(self.at, |piece| piece.position);
        Ok(Some(Next { pieces: rest.pieces, end: rest.end }))
    }

    /// Turns to what a verdict names.
    fn follow(&mut self, verdict: Verdict) -> Result<(), Problem> {
        match verdict {
            Verdict::Serve { request, after } => {
                self.at = self.at.max(after);
                let shelf = self.shared.shelves.open(request, self.shared.limits.answer);
                self.read(shelf, None);
                Ok(())
            }
            Verdict::Relay { request, after, owner } => {
                self.at = self.at.max(after);
                let shelf = Arc::new(Shelf::after_base(self.at, self.shared.limits.answer));
                let ticket = self.waiter.ticket;
                let fetch = relay::Fetch { ticket, request, owner, after: self.at };
                let relay = relay::start(&self.shared, fetch, shelf.clone());
                self.read(shelf, Some(relay));
                Ok(())
            }
            Verdict::Refused(refusal) => Err(Problem::refused(&refusal)),
            Verdict::Unknown(unknown) => Err(Problem::unknown(unknown)),
            Verdict::Conflict => Err(Problem::conflict()),
        }
    }

    fn read(&mut self, shelf: Arc<Shelf>, relay: Option<Stopper>) {
        let changed = shelf.watch();
        self.source = Some(Source { shelf, changed, _relay: relay });
    }

    fn refuse(mut self, problem: &Problem) -> Response<Payload> {
        self.waiter.served();
        problem.response()
    }

    /// Passes on a plain service's answer.
    fn pass(mut self, plain: &Plain) -> Response<Payload> {
        self.waiter.served();
        Response::builder()
            .status(plain.status)
            .header(CONTENT_TYPE, &*plain.content)
            .body(Payload::whole(Bytes::from_owner(plain.bytes.clone())))
            .unwrap_or_else(|_| Problem::unknown(Unknown::UpstreamLost).response())
    }
}

/// Waits until the source has more; forever when there is none.
async fn changed(source: &mut Option<Source>) {
    if let Some(source) = source
        && source.changed.changed().await.is_ok()
    {
        return;
    }
    std::future::pending::<()>().await;
}

/// Holds what every chunk of one answer repeats.
struct Style {
    id: String,
    model: String,
    created: u64,
    prompt: u32,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl Style {
    fn new(head: &Head) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        let Request(number) = head.request;
        Self {
            id: format!("chatcmpl-{number:032x}"),
            model: head.model.as_str().to_owned(),
            created,
            prompt: head.prompt,
        }
    }

    /// Returns the events of a part of an answer.
    fn events(&self, next: &Next) -> String {
        let mut text = String::new();
        for piece in &next.pieces {
            let role = (piece.position == piece.tokens).then_some("assistant");
            let delta = Delta { role, content: Some(&piece.text) };
            let choice =
                Choice { index: 0, delta: Some(delta), message: None, finish_reason: None };
            let data = self.chunk("chat.completion.chunk", choice, None);
            text.push_str(&format!("id: {}\ndata: {data}\n\n", piece.position));
        }
        if let Some(End::Finish(reason)) = &next.end {
            let delta = Delta { role: None, content: None };
            let finish_reason = Some(&**reason);
            let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason };
            let data = self.chunk("chat.completion.chunk", choice, None);
            text.push_str(&format!("data: {data}\n\ndata: [DONE]\n\n"));
        }
        text
    }

    /// Returns the whole answer as one object.
    fn object(&self, content: &str, tokens: u32, reason: &str) -> String {
        let message = Delta { role: Some("assistant"), content: Some(content) };
        let finish_reason = Some(reason);
        let choice = Choice { index: 0, delta: None, message: Some(message), finish_reason };
        let usage = Usage {
            prompt_tokens: self.prompt,
            completion_tokens: tokens,
            total_tokens: self.prompt.saturating_add(tokens),
        };
        self.chunk("chat.completion", choice, Some(usage))
    }

    fn chunk(&self, object: &'static str, choice: Choice<'_>, usage: Option<Usage>) -> String {
        let (id, model) = (&*self.id, &*self.model);
        let chunk = Chunk { id, object, created: self.created, model, choices: [choice], usage };
        serde_json::to_string(&chunk).unwrap_or_default()
    }
}

/// Returns the event that ends a stream whose answer can't be finished.
fn error_event(problem: &Problem) -> String {
    format!("event: error\ndata: {}\n\n", problem.json())
}
