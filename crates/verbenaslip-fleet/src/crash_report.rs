//! What an entry tells the leader of requests under which upstreams ended, and of answers to suspected ones.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

use crate::fingerprint::Fingerprint;
use crate::quarantine::{Answer, Crash};
use crate::registry::Run;

/// How long what happens together is gathered. An upstream that ends breaks off many requests at once.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// After how long what the leader has not confirmed is told again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How long it is remembered, to tell a later leader: as long as it takes to elect one, many times over, and to
/// see a request come again that does so every few seconds.
const RETENTION: Duration = Duration::from_secs(60);

/// The most that is remembered of each kind; an entry has some 50 requests at the upstreams that a lost
/// availability zone takes.
const MAX_KEPT: usize = 256;

/// The most that one account tells of each kind: under 2 kB.
const MAX_PER_REPORT: usize = 32;

/// Tells the leader what requests met.
#[data]
pub struct CrashReport {
    /// The entry.
    pub from: SocketAddr,
    /// Counts the accounts of this life of the entry.
    pub number: u64,
    /// Upstreams that ended.
    pub crashes: Vec<Crash>,
    /// Answers to requests that are suspected or held back.
    pub answers: Vec<Answer>,
}

/// Notes that an upstream ended while it ran a request.
#[derive(Clone, Debug)]
pub struct ObservedCrash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The run of the upstream.
    pub run: Run,
    /// When the request was sent there.
    pub sent: Duration,
    /// When it broke off.
    pub ended: Duration,
}

/// Notes that a request was answered which is suspected or held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedAnswer {
    /// The request.
    pub fingerprint: Fingerprint,
    /// When the answer was whole.
    pub at: Duration,
}

/// Remembers what is to be told, until the leader has it and beyond.
///
/// What a leader was told is lost with it. A request that ends upstreams would go on doing so under the next
/// one, from the beginning; so that one is told again of the last minute.
#[derive(Debug, Default)]
pub struct CrashReporter {
    term: u64,
    number: u64,
    due: Option<Duration>,
    crashes: VecDeque<Kept<ObservedCrash>>,
    answers: VecDeque<Kept<ObservedAnswer>>,
}

#[derive(Debug)]
struct Kept<T> {
    observation: T,
    recorded_at: Duration,
    /// The account that told it last; zero before the first.
    last_report: u64,
    /// Whether the leader of this term has confirmed it.
    confirmed: bool,
}

impl CrashReporter {
    /// Takes what requests met.
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

    /// Begins anew with a leader of a later term.
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

    /// Takes the leader's word that it has an account.
    pub fn confirm(&mut self, term: u64, number: u64) {
        if term != self.term {
            return;
        }
        confirm(&mut self.crashes, number);
        confirm(&mut self.answers, number);
    }

    /// Returns when an account is due; none while there is nothing to tell.
    pub fn next_due(&self) -> Option<Duration> {
        self.due
    }

    /// Makes the account that is due.
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
        // Response again unless it is confirmed, and the rest with it.
        self.due = Some(now + RETRY_INTERVAL);
        Some(CrashReport { from, number: self.number, crashes, answers })
    }

    /// Puts off what is due, since no leader is known.
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

/// Goes through what an account tells, the oldest first.
fn mark_reported<T>(items: &mut VecDeque<Kept<T>>, number: u64) -> impl Iterator<Item = &T> {
    items.iter_mut().filter(|it| !it.confirmed).take(MAX_PER_REPORT).map(move |it| {
        it.last_report = number;
        &it.observation
    })
}
