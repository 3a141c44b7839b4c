//! Runs at upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use hyper::http::request::Builder;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::event_stream::{self, BYTE_ORDER_MARK, Block, Fault, Position};
use verbenaslip_request::answer::{AppendResult, ServiceResponse, TokenBatch};
use verbenaslip_request::message::ActiveRun;
use verbenaslip_request::run::{Cause, Event, Failure, Run, Start, Step};

use crate::traffic::Report;
use crate::traffic::dial;
use crate::traffic::engine::{Engine, Http};
use crate::traffic::error::{NOT_RUN, OUTCOME};
use crate::traffic::pace::Pace;
use crate::traffic::shared::Shared;
use crate::traffic::shelf::Shelf;
use crate::traffic::sse;
use crate::traffic::token::Chunk;

/// How long one try to cancel may take, and how often it is tried.
const CANCEL: Duration = Duration::from_secs(2);
const CANCELS: u32 = 3;

/// How often it is looked whether an earlier run's connection has ended.
const DRAIN: Duration = Duration::from_millis(20);

/// Starts a run.
pub(crate) fn start(shared: &Arc<Shared>, run: Run) {
    let owner = shared.clone();
    let attempt = run.attempt;
    shared.runs.start(shared.handle(), attempt, |number| {
        Box::pin(async move {
            let mut driver = Driver::new(owner, run, number);
            let event = driver.finish().await;
            // A run that was cancelled, or begun again, has nothing more to say.
            if driver.shared.runs.done(&attempt, number) {
                driver.shared.tell(Report::Run { attempt, event });
            }
        })
    });
}

/// Ends a run and tells its upstream.
pub(crate) fn cancel(shared: &Arc<Shared>, live: &ActiveRun) {
    let ActiveRun { attempt, address, kind, .. } = *live;
    shared.runs.stop(&attempt);
    if kind == Kind::Service {
        // A plain service has no call for it, and any path may mean something there.
        return;
    }
    shared.handle().spawn(async move {
        let engine = Http::new(address, CANCEL);
        for _ in 0..CANCELS {
            // Cancelling is idempotent, so that a lost answer is asked for again.
            if !matches!(engine.cancel(attempt).await, Err(Cause::Closed | Cause::Silent)) {
                return;
            }
            tokio::time::sleep(CANCEL / 10).await;
        }
    });
}

/// Drives one run to its end.
struct Driver {
    shared: Arc<Shared>,
    run: Run,
    number: u64,
    shelf: Arc<Shelf>,
    step: Step,
    pace: Pace,
}

/// Says why a run failed; the driver knows the step.
struct Halt {
    cause: Cause,
    not_run: bool,
}

impl From<Cause> for Halt {
    fn from(cause: Cause) -> Self {
        Self { cause, not_run: false }
    }
}

impl Driver {
    fn new(shared: Arc<Shared>, run: Run, number: u64) -> Self {
        let shelf = shared.shelves.of_run(run.attempt);
        Self { shared, run, number, shelf, step: Step::Connect, pace: Pace::default() }
    }

    /// Drives the run and returns its last event.
    async fn finish(&mut self) -> Event {
        let left = self.run.deadline.saturating_sub(self.shared.now());
        let driven = tokio::time::timeout(left, self.drive()).await;
        let halt = match driven {
            Ok(Ok(position)) => return Event::Ended { position },
            Ok(Err(halt)) => halt,
            Err(_) => Halt::from(Cause::Deadline),
        };
        // The control thread plans the next run from the position, so that the last one must not
        // be held back by the pace.
        let position = self.shelf.position();
        if self.pace.behind(position) {
            self.tell(Event::Tokens { position });
        }
        let not_run = halt.not_run || self.unsent();
        Event::Failed(Failure { step: self.step, cause: halt.cause, not_run })
    }

    /// Says that nothing was sent yet that could make the upstream run it.
    fn unsent(&self) -> bool {
        matches!(self.step, Step::Connect | Step::Export | Step::Import)
            && !matches!(self.run.start, Start::Rejoin)
    }

    async fn drive(&mut self) -> Result<u32, Halt> {
        let handle = match self.run.start.clone() {
            Start::Import { from, source } => Some(self.import(from, source).await?),
            _ => None,
        };
        self.step = Step::Connect;
        let mut link = dial::open(self.run.address, self.shared.limits.connect_time).await?;
        // An earlier run's tokens count until this one can go on after them.
        self.shelf.begin(self.run.attempt);
        let (builder, body) = self.request(handle);
        let request = link.request(builder, &self.run.body.content, body)?;
        self.step = Step::Head;
        // From here on bytes may reach the upstream; whether they did can't be known.
        self.tell(Event::Sent);
        let response = patient(self.run.stall, link.send(request)).await??;
        match self.run.kind {
            Kind::Engine => self.engine(response).await,
            Kind::Service => self.service(response).await,
        }
    }

    /// Moves the KV cache of an earlier run to this run's upstream.
    async fn import(&mut self, from: Attempt, source: SocketAddr) -> Result<String, Halt> {
        self.step = Step::Export;
        let limit = self.run.stall;
        let export = Http::new(source, limit).export(from).await?;
        self.drained(from, export.tokens).await;
        self.step = Step::Import;
        Http::new(self.run.address, limit).import(export.handle.clone(), source).await?;
        Ok(export.handle)
    }

    /// Waits until the earlier run's last tokens are here, or its connection has ended.
    async fn drained(&self, from: Attempt, tokens: u32) {
        let mut changed = self.shelf.watch();
        let wait = async {
            while self.shelf.position() < tokens && self.shared.runs.contains(&from) {
                let _ = tokio::time::timeout(DRAIN, changed.changed()).await;
            }
        };
        let _ = tokio::time::timeout(self.run.stall, wait).await;
    }

    /// Makes the request as its start says.
    fn request(&self, handle: Option<String>) -> (Builder, Vec<u8>) {
        let Attempt { request, number } = self.run.attempt;
        if let Start::Rejoin = self.run.start {
            let path = format!("/v1/streams/{request}/{number}?from={}", self.shelf.position());
            return (dial::get(path), Vec::new());
        }
        let builder = dial::post(&*self.run.body.path)
            .header("verbenaslip-request", request.to_string())
            .header("verbenaslip-attempt", number)
            .header("verbenaslip-priority", self.run.priority);
        let body = match self.run.kind {
            Kind::Engine => self.engine_body(handle),
            Kind::Service => self.run.body.bytes.clone(),
        };
        (builder, body)
    }

    /// Adds to the caller's body what the engine needs to go on.
    fn engine_body(&self, handle: Option<String>) -> Vec<u8> {
        let bytes = &self.run.body.bytes;
        let Ok(Value::Object(mut fields)) = serde_json::from_slice(bytes) else {
            return bytes.clone();
        };
        fields.insert("stream".into(), Value::Bool(true));
        // Callers may have read the tokens held here, so that no run begins again without them.
        let (text, tokens) = self.shelf.text();
        fields.remove("resume");
        fields.remove("kv");
        if tokens > 0 {
            fields.insert("resume".into(), json!({ "text": text, "tokens": tokens }));
        }
        if let Some(handle) = handle {
            fields.insert("kv".into(), json!({ "handle": handle }));
        }
        Value::Object(fields).to_string().into_bytes()
    }

    /// Reads an engine's answer to its end mark.
    async fn engine(&mut self, response: Response<Incoming>) -> Result<u32, Halt> {
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND if matches!(self.run.start, Start::Rejoin) => {
                return Err(Cause::Forgotten.into());
            }
            status => return Err(refusal(status, response.headers())),
        }
        self.step = Step::Read;
        let mut body = response.into_body();
        let mut parser = sse::Parser::default();
        let mut reason = None;
        loop {
            let Some(frame) = patient(self.run.stall, body.frame()).await? else {
                return Err(Cause::Cut.into());
            };
            let Ok(bytes) = frame.map_err(|_| Halt::from(Cause::Cut))?.into_data() else {
                continue;
            };
            let events = parser.push(&bytes).map_err(|_| Halt::from(Cause::Error))?;
            for event in events {
                if self.event(&event, &mut reason)? {
                    return self.end(reason);
                }
            }
        }
    }

    /// Takes one event; true at the end mark.
    fn event(&mut self, event: &sse::Event, reason: &mut Option<String>) -> Result<bool, Halt> {
        if event.name == "error" {
            return Err(Cause::Error.into());
        }
        if event.data == "[DONE]" {
            return Ok(true);
        }
        let chunk: Chunk = serde_json::from_str(&event.data).map_err(|_| Cause::Error)?;
        if !chunk.belongs(self.run.attempt) {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(false);
        }
        let (text, finish) = chunk.content();
        match chunk.piece(text) {
            // An answer has no tokens behind its reason.
            Some(piece) if reason.is_some() && piece.position > self.shelf.position() => {
                return Err(Cause::Error.into());
            }
            Some(piece) => self.piece(&piece)?,
            // Text without a place would be missing in an answer that looks whole.
            None if !text.is_empty() => return Err(Cause::Error.into()),
            None => {}
        }
        if let Some(finish) = finish {
            if chunk.position.is_some_and(|position| position != self.shelf.position()) {
                return Err(Cause::Gap.into());
            }
            if reason.replace(finish.clone()).is_some_and(|earlier| earlier != finish) {
                return Err(Cause::Error.into());
            }
        }
        Ok(false)
    }

    fn piece(&mut self, piece: &TokenBatch) -> Result<(), Halt> {
        match self.shelf.add(self.run.attempt, piece) {
            AppendResult::Appended => {
                self.tell_position();
                Ok(())
            }
            AppendResult::Late | AppendResult::Duplicate => {
                self.shared.dropped.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            AppendResult::Gap { .. } => Err(Cause::Gap.into()),
            AppendResult::Full => Err(Cause::Error.into()),
        }
    }

    /// Ends the answer; an end mark without a reason before it does not count.
    fn end(&mut self, reason: Option<String>) -> Result<u32, Halt> {
        let reason = reason.ok_or(Cause::Cut)?;
        match self.shelf.end(self.run.attempt, &reason) {
            AppendResult::Appended | AppendResult::Duplicate => Ok(self.shelf.position()),
            _ => Err(Cause::Forgotten.into()),
        }
    }

    /// Reads a plain service's answer whole.
    async fn service(&mut self, response: Response<Incoming>) -> Result<u32, Halt> {
        let status = response.status();
        if not_run(status, response.headers()) {
            return Err(Halt { cause: Cause::Refused, not_run: true });
        }
        self.step = Step::Read;
        let content = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let content: Arc<str> = content.unwrap_or("application/octet-stream").into();
        let ends_with_connection = !response.headers().contains_key(CONTENT_LENGTH)
            && !response.headers().contains_key(TRANSFER_ENCODING);
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        while let Some(frame) = patient(self.run.stall, body.frame()).await? {
            let frame = frame.map_err(|_| Halt::from(Cause::Cut))?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > self.shared.limits.answer {
                return Err(Cause::Error.into());
            }
            bytes.extend_from_slice(&data);
        }
        if event_stream::is_content_type(content.as_bytes()) {
            check_events(&bytes, ends_with_connection)?;
        }
        let whole = ServiceResponse { status: status.as_u16(), content, bytes: bytes.into() };
        match self.shelf.fill(self.run.attempt, whole) {
            AppendResult::Appended | AppendResult::Duplicate => Ok(0),
            AppendResult::Full => Err(Cause::Error.into()),
            AppendResult::Late | AppendResult::Gap { .. } => Err(Cause::Forgotten.into()),
        }
    }

    /// Reports the position at the first token, and then not more often than the pace.
    fn tell_position(&mut self) {
        let position = self.shelf.position();
        if self.pace.due(position, false) {
            self.tell(Event::Tokens { position });
        }
    }

    fn tell(&self, event: Event) {
        let attempt = self.run.attempt;
        if self.shared.runs.holds(&attempt, self.number) {
            self.shared.tell(Report::Run { attempt, event });
        }
    }
}

/// Waits for a step, and gives up when it is silent for the limit.
///
/// A connection whose path has lost track of it stays open and silent for ever: no read fails. The
/// limit turns the silence into a failure.
async fn patient<T>(limit: Duration, step: impl Future<Output = T>) -> Result<T, Halt> {
    tokio::time::timeout(limit, step).await.map_err(|_| Halt::from(Cause::Silent))
}

/// Fails if a service's stream of events ends within one, or holds a line that is no field of one.
fn check_events(bytes: &[u8], ends_with_connection: bool) -> Result<(), Cause> {
    let mut position = Position::default();
    position.advance(bytes);
    if !position.is_whole(ends_with_connection) {
        return Err(Cause::Cut);
    }
    let events = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    // A service may name its events as it likes, or not at all.
    let is_foreign =
        |line| matches!(Block::default().add_line(line), Err(Fault::Field | Fault::Encoding));
    let mut lines = events.split(|byte| event_stream::is_line_end(*byte));
    if lines.any(is_foreign) { Err(Cause::Error) } else { Ok(()) }
}

fn not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME).is_some_and(|value| value == NOT_RUN);
    status == StatusCode::SERVICE_UNAVAILABLE && outcome
}

fn refusal(status: StatusCode, headers: &HeaderMap) -> Halt {
    if not_run(status, headers) {
        return Halt { cause: Cause::Refused, not_run: true };
    }
    Halt::from(Cause::Error)
}
