//! Reports of entries to the leader: crashes of upstreams during requests, and answers to suspected
//! requests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

use crate::fingerprint::Fingerprint;
use crate::quarantine::{Answer, Crash};
use crate::registry::Run;

/// Time for which observations are collected into one report; an upstream that crashes breaks off
/// many requests at once.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Time after which unconfirmed observations are reported again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How long an observation is kept, so that a later leader can be told: many times as long as an
/// election takes, and long enough to see a request again that is repeated every few seconds.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of kept observations of each kind. An entry has some 50 requests at the upstreams
/// of an availability zone that is lost, with up to 16 prompt parts each.
const MAX_KEPT: usize = 1_024;

/// Maximum number of observations of each kind in one report, which keeps it under 4 kB.
const MAX_PER_REPORT: usize = 64;

/// Tells the leader what an entry observed about its requests.
#[data]
pub struct CrashReport {
    /// The address of the entry.
    pub from: SocketAddr,
    /// The number of the report within this run of the entry.
    pub number: u64,
    /// The crashes of upstreams.
    pub crashes: Vec<Crash>,
    /// The answers to requests that are suspected or quarantined.
    pub answers: Vec<Answer>,
}

/// Records that an upstream crashed while it ran a request, or one with a prompt part.
#[derive(Clone, Debug)]
pub struct ObservedCrash {
    /// The fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// The run of the upstream.
    pub run: Run,
    /// When the last such request was sent to the upstream.
    pub sent: Duration,
    /// When the request broke off.
    pub ended: Duration,
}

/// Records that a suspected or quarantined request, or one with such a part, was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedAnswer {
    /// The fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// When the answer was complete.
    pub at: Duration,
}

/// Keeps observations until the leader has confirmed them, and for a while after that.
///
/// What a leader was told is lost with the leader. The next leader would have to find a poison
/// request from the start, while upstreams continue to crash, so it is told the observations of the
/// last minute again.
#[derive(Debug, Default)]
pub struct CrashReporter {
    term: u64,
    number: u64,
    due: Option<Duration>,
    crashes: VecDeque<Kept<ObservedCrash>>,
    answers: VecDeque<Kept<ObservedAnswer>>,
}

/// Holds one observation, and whether the leader has confirmed it.
#[derive(Debug)]
struct Kept<T> {
    observation: T,
    recorded_at: Duration,
    /// The number of the last report that contained the observation; zero before the first one.
    last_report: u64,
    /// Whether the leader of this term has confirmed the observation.
    confirmed: bool,
}

impl CrashReporter {
    /// Creates a reporter whose first report has the number after `number`.
    pub fn starting_after(number: u64) -> Self {
        Self { number, ..Self::default() }
    }

    /// Records what was observed about requests.
    pub fn record(
        &mut self,
        now: Duration,
        crashes: Vec<ObservedCrash>,
        answers: Vec<ObservedAnswer>,
    ) {
        if crashes.is_empty() && answers.is_empty() {
            return;
        }
        append(&mut self.crashes, now, crashes);
        append(&mut self.answers, now, answers);
        self.schedule(now + BATCH_DELAY);
    }

    /// Starts to report all observations again if the leader has a later term.
    pub fn set_term(&mut self, now: Duration, term: u64) {
        if term <= self.term {
            return;
        }
        self.term = term;
        let crashes = self.crashes.iter_mut().map(|it| &mut it.confirmed);
        let answers = self.answers.iter_mut().map(|it| &mut it.confirmed);
        crashes.chain(answers).for_each(|confirmed| *confirmed = false);
        if !self.crashes.is_empty() || !self.answers.is_empty() {
            self.schedule(now);
        }
    }

    /// Handles the confirmation of a report by the leader.
    pub fn confirm(&mut self, term: u64, number: u64) {
        if term != self.term {
            return;
        }
        confirm(&mut self.crashes, number);
        confirm(&mut self.answers, number);
    }

    /// Returns when a report is due; none while there is nothing to report.
    pub fn next_due(&self) -> Option<Duration> {
        self.due
    }

    /// Returns the report if one is due.
    pub fn next_report(&mut self, now: Duration, from: SocketAddr) -> Option<CrashReport> {
        self.due.filter(|due| now >= *due)?;
        self.due = None;
        remove_expired(&mut self.crashes, now);
        remove_expired(&mut self.answers, now);
        self.number += 1;
        let millis = |at: Duration| u64::try_from(now.saturating_sub(at).as_millis());
        let ago = |at: Duration| millis(at).unwrap_or(u64::MAX);
        let crash = |observed: &ObservedCrash| Crash {
            fingerprint: observed.fingerprint,
            run: observed.run.clone(),
            sent_ms_ago: ago(observed.sent),
            ended_ms_ago: ago(observed.ended),
        };
        let answer =
            |it: &ObservedAnswer| Answer { fingerprint: it.fingerprint, ms_ago: ago(it.at) };
        let crashes: Vec<Crash> =
            mark_reported(&mut self.crashes, self.number).map(crash).collect();
        let answers: Vec<Answer> =
            mark_reported(&mut self.answers, self.number).map(answer).collect();
        if crashes.is_empty() && answers.is_empty() {
            return None;
        }
        // The report is repeated unless it is confirmed, together with what did not fit into it.
        self.due = Some(now + RETRY_INTERVAL);
        Some(CrashReport { from, number: self.number, crashes, answers })
    }

    /// Postpones the next report because no leader is known.
    pub fn postpone(&mut self, now: Duration) {
        self.due = Some(now + BATCH_DELAY);
    }

    fn schedule(&mut self, at: Duration) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

fn append<T>(items: &mut VecDeque<Kept<T>>, recorded_at: Duration, new: Vec<T>) {
    let new = new.into_iter().map(|observation| Kept {
        observation,
        recorded_at,
        last_report: 0,
        confirmed: false,
    });
    items.extend(new);
    while items.len() > MAX_KEPT {
        items.pop_front();
    }
}

fn confirm<T>(items: &mut VecDeque<Kept<T>>, number: u64) {
    for item in items.iter_mut().filter(|item| item.last_report == number) {
        item.confirmed = true;
    }
}

fn remove_expired<T>(items: &mut VecDeque<Kept<T>>, now: Duration) {
    while items.front().is_some_and(|it| now.saturating_sub(it.recorded_at) > RETENTION) {
        items.pop_front();
    }
}

/// Returns the observations of a report, the oldest first.
fn mark_reported<T>(items: &mut VecDeque<Kept<T>>, number: u64) -> impl Iterator<Item = &T> {
    items.iter_mut().filter(|it| !it.confirmed).take(MAX_PER_REPORT).map(move |it| {
        it.last_report = number;
        &it.observation
    })
}
