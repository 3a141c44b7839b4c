//! What a caller reads: error, whole object, plain answer or event stream.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::body::Bytes;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE};
use verbenaslip_base::refusal::Unknown;
use verbenaslip_request::answer::ServiceResponse;

use crate::traffic::Report;
use crate::traffic::body::Form;
use crate::traffic::chunk::Style;
use crate::traffic::error::Problem;
use crate::traffic::parse::Asked;
use crate::traffic::payload::{Feed, Payload};
use crate::traffic::reader::{Reader, Stop};
use crate::traffic::shared::Shared;
use crate::traffic::shelf::Rest;
use crate::traffic::ticket::Waiter;

/// A comment, which readers of events skip.
const BEAT_TEXT: &str = ": waiting\n\n";

/// Tells the control thread of a request and answers as it says.
pub(crate) async fn answer(shared: &Arc<Shared>, asked: Asked) -> Response<Payload> {
    let Asked { mut arrival, due, form } = asked;
    let waiter = Waiter::new(shared);
    arrival.ticket = waiter.ticket;
    arrival.head.deadline = due.map_or(Duration::MAX, |due| shared.now().saturating_add(due));
    let reader = Reader::new(shared, waiter, arrival.after.unwrap_or(0));
    let (style, beat) = (Style::new(&arrival.head, form), shared.limits.beat_time);
    let caller = Caller { reader, style, beat };
    shared.tell(Report::Arrived { arrival, due });
    match form {
        Form::Events { .. } => caller.events().await,
        Form::Object | Form::Plain => caller.whole().await,
    }
}

/// Answers one caller.
struct Caller {
    reader: Reader,
    style: Style,
    beat: Duration,
}

impl Caller {
    /// Answers with an event stream; the head waits for the first token, so that a refusal before
    /// it still has its own status.
    async fn events(mut self) -> Response<Payload> {
        let first = match self.reader.next().await {
            Ok(first) => first,
            Err(stop) => return self.refuse(&stop),
        };
        if let Some(whole) = &first.whole {
            return self.pass(whole);
        }
        let (feed, payload) = Payload::flow();
        tokio::spawn(self.pump(first, feed));
        Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .header(CACHE_CONTROL, "no-store")
            .body(payload)
            .unwrap_or_else(|_| Response::new(Payload::whole("")))
    }

    /// Answers with everything at once.
    async fn whole(mut self) -> Response<Payload> {
        let mut text = String::new();
        loop {
            let rest = match self.reader.next().await {
                Ok(rest) => rest,
                Err(stop) => return self.refuse(&stop),
            };
            if let Some(whole) = &rest.whole {
                return self.pass(whole);
            }
            rest.pieces.iter().for_each(|piece| text.push_str(&piece.text));
            let Some(end) = rest.end else { continue };
            let json = self.style.object(&text, end.position, &end.reason);
            let response = Response::builder().header(CONTENT_TYPE, "application/json");
            return response
                .body(Payload::whole(json).to(self.reader.release()))
                .unwrap_or_else(|_| Response::new(Payload::whole("")));
        }
    }

    /// Sends an answer bit by bit until its end, or until the caller has gone.
    async fn pump(mut self, first: Rest, feed: Feed) {
        let mut next: Result<Rest, Stop> = Ok(first);
        loop {
            let (bytes, ended) = match &next {
                Ok(rest) => (self.style.events(rest), rest.ended()),
                Err(stop) => (error_event(&stop.problem()), true),
            };
            if !feed.send(bytes).await {
                return;
            }
            if ended {
                break;
            }
            next = tokio::select! {
                next = self.next(&feed) => next,
                () = feed.gone() => return,
            };
        }
        if feed.end().await {
            self.reader.release().served();
        }
    }

    /// Waits for the next of the answer, and shows meanwhile that the stream is alive.
    ///
    /// While a run is moved no token comes for a while. A proxy in between may take the silence for
    /// a dead connection and cut it; and a caller that has gone silently is noticed by writing only.
    async fn next(&mut self, feed: &Feed) -> Result<Rest, Stop> {
        loop {
            match tokio::time::timeout(self.beat, self.reader.next()).await {
                Ok(next) => return next,
                Err(_) => feed.send(BEAT_TEXT).await,
            };
        }
    }

    fn refuse(self, stop: &Stop) -> Response<Payload> {
        stop.problem().response().map(|payload| payload.to(self.reader.release()))
    }

    /// Passes on a plain service's answer.
    fn pass(self, whole: &ServiceResponse) -> Response<Payload> {
        let bytes = Bytes::from_owner(whole.bytes.clone());
        Response::builder()
            .status(whole.status)
            .header(CONTENT_TYPE, &*whole.content)
            .body(Payload::whole(bytes).to(self.reader.release()))
            .unwrap_or_else(|_| Problem::unknown(Unknown::UpstreamLost).response())
    }
}

/// Returns the event that ends a stream whose answer can't be finished.
fn error_event(problem: &Problem) -> String {
    format!("event: error\ndata: {}\n\n", problem.json())
}
