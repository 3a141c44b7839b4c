//! Test upstreams, which record every run and emit one token per 10 ms.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::name::Upstream;
use verbenaslip_request::run::{Cause, Event, Failure, Run, Start, Step};

/// Number of tokens of every answer.
pub const ANSWER_TOKENS: u32 = 20;

const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a plain service takes to answer.
const SERVICE_TIME: Duration = Duration::from_millis(150);
const CONNECT_TIME: Duration = Duration::from_millis(5);

/// Holds a run in progress.
struct Stream {
    instance: usize,
    upstream: Upstream,
    kind: Kind,
    position: u32,
    due: Duration,
    sent: bool,
    /// Whether the upstream was alive when the run was sent to it.
    reached: bool,
    /// Whether the upstream knows the run that it should continue.
    known: bool,
}

/// Records one run on an upstream.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    pub request: Request,
    pub upstream: Upstream,
    pub instance: usize,
    pub at: Duration,
    pub kind: Kind,
}

/// Executes the runs that instances send.
#[derive(Default)]
pub struct Upstreams {
    pub recorded_runs: Vec<RecordedRun>,
    pub dead: BTreeSet<Upstream>,
    streams: BTreeMap<Attempt, Stream>,
    positions: BTreeMap<Request, u32>,
    known: BTreeMap<Attempt, Upstream>,
}

impl Upstreams {
    /// Starts or continues a run.
    pub fn run(&mut self, now: Duration, instance: usize, run: &Run) {
        let position = match run.start {
            Start::Fresh => 0,
            Start::Resume | Start::Import { .. } | Start::Rejoin => {
                self.positions.get(&run.attempt.request).copied().unwrap_or(0)
            }
        };
        let reached = !self.dead.contains(&run.upstream);
        let rejoins = matches!(run.start, Start::Rejoin);
        if !rejoins && reached {
            self.known.insert(run.attempt, run.upstream.clone());
            self.recorded_runs.push(RecordedRun {
                request: run.attempt.request,
                upstream: run.upstream.clone(),
                instance,
                at: now,
                kind: run.kind,
            });
        }
        let stream = Stream {
            instance,
            upstream: run.upstream.clone(),
            kind: run.kind,
            position,
            due: now + CONNECT_TIME,
            sent: false,
            reached,
            known: !rejoins || self.known.get(&run.attempt) == Some(&run.upstream),
        };
        self.streams.insert(run.attempt, stream);
    }

    /// Ends a run.
    pub fn cancel(&mut self, attempt: Attempt) {
        self.streams.remove(&attempt);
    }

    /// Ends an upstream, which loses its state.
    pub fn crash(&mut self, upstream: &Upstream) {
        self.dead.insert(upstream.clone());
        self.known.retain(|_, at| at != upstream);
    }

    /// Closes the connections of an instance that has stopped.
    pub fn forget(&mut self, instance: usize) {
        self.streams.retain(|_, stream| stream.instance != instance);
    }

    /// Returns the number of runs of a request.
    pub fn runs(&self, request: Request) -> usize {
        self.recorded_runs.iter().filter(|recorded| recorded.request == request).count()
    }

    /// Returns the last token position that was emitted for a request.
    pub fn position(&self, request: Request) -> Option<u32> {
        self.positions.get(&request).copied()
    }

    /// Returns the time of the next event.
    pub fn next_event(&self) -> Option<Duration> {
        self.streams.values().map(|stream| stream.due).min()
    }

    /// Advances the time and returns the events with the instances that receive them.
    pub fn step(&mut self, now: Duration) -> Vec<(usize, Attempt, Event)> {
        let mut events = Vec::new();
        let due = self.streams.iter().filter(|(_, stream)| stream.due <= now);
        let due: Vec<Attempt> = due.map(|(attempt, _)| *attempt).collect();
        for attempt in due {
            let Some(stream) = self.streams.get_mut(&attempt) else { continue };
            let event = advance(stream, now, self.dead.contains(&stream.upstream));
            if let Event::Tokens { position } = event {
                self.positions.insert(attempt.request, position);
            }
            events.push((stream.instance, attempt, event.clone()));
            if matches!(event, Event::Ended { .. } | Event::Failed(_)) {
                self.streams.remove(&attempt);
            }
        }
        events
    }

    /// Returns a request to a plain service that ran more than once, if any, and its number of
    /// runs.
    pub fn repeated_service_run(&self) -> Option<(Request, usize)> {
        let mut runs: BTreeMap<Request, usize> = BTreeMap::new();
        for recorded in self.recorded_runs.iter().filter(|recorded| recorded.kind == Kind::Service)
        {
            *runs.entry(recorded.request).or_default() += 1;
        }
        runs.into_iter().find(|(_, runs)| *runs > 1)
    }
}

fn advance(stream: &mut Stream, now: Duration, dead: bool) -> Event {
    stream.due = now + TOKEN_INTERVAL;
    if dead && stream.reached && !stream.sent {
        // The request was written before the crash, so it may have run.
        stream.sent = true;
        return Event::Sent;
    }
    if !stream.known && !dead {
        let (step, cause) = (Step::Head, Cause::Forgotten);
        return Event::Failed(Failure { step, cause, not_run: false });
    }
    if dead {
        let step = if stream.sent { Step::Read } else { Step::Connect };
        return Event::Failed(Failure { step, cause: Cause::Closed, not_run: !stream.sent });
    }
    if !stream.sent {
        stream.sent = true;
        if stream.kind == Kind::Service {
            stream.due = now + SERVICE_TIME;
        }
        return Event::Sent;
    }
    if stream.kind == Kind::Service {
        return Event::Ended { position: 0 };
    }
    if stream.position >= ANSWER_TOKENS {
        return Event::Ended { position: stream.position };
    }
    stream.position += 1;
    Event::Tokens { position: stream.position }
}
