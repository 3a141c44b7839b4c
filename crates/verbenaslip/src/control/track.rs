//! Requests that run from here, followed from their first upstream to their end, for metrics and
//! events of runs and moves.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Upstream;
use verbenaslip_request::run::{Cause, Event as Ran, Failure, Run, Start};

use crate::control::Running;
use crate::event::{Event, kebab};

/// The most requests that are followed; beyond it some run without metrics.
const TRACKS: usize = 65_536;

/// Holds the requests that are followed.
#[derive(Default)]
pub(super) struct Tracks {
    open: BTreeMap<Request, Track>,
}

/// Follows one request.
struct Track {
    head: Box<Head>,
    arrived: Duration,
    /// The newest run.
    attempt: Option<Attempt>,
    /// Where it runs.
    upstream: Option<Upstream>,
    sent: Duration,
    /// When the last tokens came; none before the first.
    last: Option<Duration>,
    /// Whether the newest run has brought tokens.
    begun: bool,
    position: u32,
}

impl Running {
    /// Follows a request that goes to its first upstream.
    pub(super) fn began(&mut self, head: Box<Head>, waited: Duration) {
        let metric = &self.control.metric;
        metric.wait(&head.team, &head.class, waited);
        let now = self.now();
        if self.tracks.open.len() >= TRACKS {
            return;
        }
        let track = Track {
            arrived: now.saturating_sub(waited),
            attempt: None,
            upstream: None,
            sent: now,
            last: None,
            begun: false,
            position: 0,
            head,
        };
        self.tracks.open.insert(track.head.request, track);
    }

    /// Takes it that a run begins.
    pub(super) fn runs(&mut self, run: &Run) {
        let (now, metric) = (self.now(), &self.control.metric);
        metric.runs(&run.upstream, 1);
        let request = run.attempt.request;
        let Some(track) = self.tracks.open.get_mut(&request) else { return };
        track.attempt = Some(run.attempt);
        track.sent = now;
        track.begun = false;
        let Some(from) = track.upstream.replace(run.upstream.clone()) else { return };
        let (way, again) = way(&run.start, track);
        if again > 0 {
            metric.tokens_again(&track.head.team, &track.head.class, way, again);
        }
        let to = run.upstream.clone();
        if from != to {
            metric.moves(way, 1);
            Event::Moved { request, from, to, way: way.into(), again }.log();
        } else if matches!(run.start, Start::Rejoin) {
            let position = u64::from(track.position);
            Event::Rejoined { request, upstream: to, position }.log();
        }
    }

    /// Takes what became of a run.
    pub(super) fn ran(&mut self, attempt: Attempt, event: &Ran) {
        let (now, metric) = (self.now(), &self.control.metric);
        let Some(track) = self.tracks.open.get_mut(&attempt.request) else { return };
        // What a run that was given up still says would count against the one that goes on.
        let Some(upstream) = track.upstream.clone().filter(|_| track.attempt == Some(attempt))
        else {
            return;
        };
        match event {
            Ran::Sent | Ran::Ended { .. } => {}
            Ran::Tokens { position } => {
                let (team, class) = (&track.head.team, &track.head.class);
                let count = position.saturating_sub(track.position) as usize;
                match track.last {
                    None => metric.first_token(team, class, now.saturating_sub(track.arrived)),
                    Some(last) if count > 0 => {
                        let each = now.saturating_sub(last) / count as u32;
                        metric.inter_tokens(team, class, each, count);
                    }
                    Some(_) => {}
                }
                if !std::mem::replace(&mut track.begun, true) {
                    metric.upstream_first_token(&upstream, now.saturating_sub(track.sent));
                }
                track.last = Some(now);
                track.position = track.position.max(*position);
            }
            Ran::Failed(failure) => {
                metric.run_failures(&upstream, failure.step, 1);
                if failure.cause == Cause::Silent {
                    metric.stalls(&upstream, 1);
                }
                failed(track, upstream, now, failure).log();
            }
        }
    }

    /// Takes it that a request has ended here, and returns when it arrived if it ever ran.
    pub(super) fn ends(&mut self, request: Request) -> Option<Duration> {
        self.tracks.open.remove(&request).map(|track| track.arrived)
    }
}

fn failed(track: &Track, upstream: Upstream, now: Duration, failure: &Failure) -> Event {
    let request = track.head.request;
    if failure.cause == Cause::Silent && track.begun {
        let silence = now.saturating_sub(track.last.unwrap_or(track.sent));
        let position = u64::from(track.position);
        return Event::Stalled { request, upstream, position, silence };
    }
    let (step, cause) = (kebab(&failure.step).into(), kebab(&failure.cause).into());
    Event::RunFailed { request, upstream, step, cause }
}

/// Says how a run goes on from the one before, and how many tokens that computes again at most: a
/// prefix cache may save a part of them.
fn way(start: &Start, track: &Track) -> (&'static str, u64) {
    let prompt = u64::from(track.head.prompt);
    match start {
        Start::Fresh => ("fresh", prompt),
        Start::Resume => ("resume", prompt + u64::from(track.position)),
        Start::Import { .. } => ("import", 0),
        Start::Rejoin => ("rejoin", 0),
    }
}
