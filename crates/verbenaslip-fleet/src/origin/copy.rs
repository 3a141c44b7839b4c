//! Copies of the tables of origins, which a core that starts takes from the other cores.
//!
//! Each origin was told to two cores. What a core was told before it restarted is therefore in the
//! table of at least one of the others, and the copy is complete once all of them have been read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

use crate::origin::{Build, MAX_LIFETIME, Origins, Stream};

/// Limit on the origins in a page; they take up to 40 kB.
pub const MAX_PAGE_ORIGINS: usize = 2_000;

/// Limit on the cores that a page names.
const MAX_LISTED_CORES: usize = 64;

/// Time after which a core that has not answered is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a copy ends without the cores that have not answered.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time between a copy and its repetition: longer than entries take to notice that their
/// connections to a core are dead, on which an origin may have been lost that another core was told
/// after the first copy.
const REPETITION_DELAY: Duration = Duration::from_secs(2);

/// Time for which a core that has sent a page waits for the question for the next one before it
/// stops.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(300);

/// Time between two look-ups of the known cores, unless a copy is under way.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies the last origin of a page in the table from which it was read.
#[data(copy, ord)]
pub struct Cursor {
    /// Number of the step in which the origin expires.
    pub step: u64,
    /// The stream.
    pub stream: Stream,
}

/// Asks for a page of a core's table.
#[data(copy)]
pub struct PageRequest {
    /// Number of the copy.
    pub number: u64,
    /// End of the previous page; `None` asks for the first one.
    pub after: Option<Cursor>,
}

/// Contains a part of a core's table.
#[data]
pub struct Page {
    /// The question that is answered.
    pub request: PageRequest,
    /// Incarnation of the core, whose cursors do not outlive it.
    pub incarnation: u64,
    /// The origins.
    pub origins: Vec<CopiedOrigin>,
    /// End of this page; `None` if it is the last one.
    pub next: Option<Cursor>,
    /// Time for which the core has remembered all that it was told, in milliseconds.
    pub complete_ms: u32,
    /// Cores that were known within the lifetime of an origin.
    pub cores: Vec<SocketAddr>,
}

/// Contains an origin as another core knows it.
#[data(copy)]
pub struct CopiedOrigin {
    /// The stream.
    pub stream: Stream,
    /// The version.
    pub build: Build,
    /// Time since a core was told of it, in milliseconds.
    pub age_ms: u32,
    /// Time for which the origin must still be remembered, in milliseconds.
    pub lifetime_ms: u32,
}

/// Describes how a copy has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyOutcome {
    /// Number of cores whose whole table was read.
    pub cores: usize,
    /// Cores whose table was not read to its end.
    pub missing: Vec<SocketAddr>,
    /// Number of origins in the table after that.
    pub origins: usize,
    /// Time for which the table is complete.
    pub complete: Duration,
    /// Time that the copy has taken.
    pub elapsed: Duration,
}

/// Reads the tables of the other cores after a start.
#[derive(Debug)]
pub(crate) struct Copier {
    /// Number of the current copy.
    number: u64,
    phase: Phase,
    sources: BTreeMap<SocketAddr, Source>,
    /// Cores, and when they were last known.
    known_cores: BTreeMap<SocketAddr, Duration>,
    is_repetition: bool,
    /// When the known cores are looked up again.
    next_check: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Copying { since: Duration },
    Waiting { until: Duration },
    Ended,
}

/// Describes how far a core's table has been read.
#[derive(Debug)]
struct Source {
    request: PageRequest,
    /// When the question was sent first, and last.
    first_asked_at: Duration,
    asked_at: Duration,
    incarnation: Option<u64>,
    /// Latest time since when the table was complete, as its pages state.
    complete_since: Duration,
    is_read: bool,
}

impl Source {
    /// Returns the question for the page after a position.
    fn ask(&mut self, now: Duration, after: Option<Cursor>) -> PageRequest {
        (self.first_asked_at, self.asked_at) = (now, now);
        self.request.after = after;
        self.request
    }
}

/// Holds a question for a page and its receiver.
pub(crate) type Question = (SocketAddr, PageRequest);

impl Copier {
    /// Begins a copy whose number is the one after `number_base`.
    pub(crate) fn new(now: Duration, number_base: u64) -> Self {
        Self {
            number: number_base.wrapping_add(1),
            phase: Phase::Copying { since: now },
            sources: BTreeMap::new(),
            known_cores: BTreeMap::new(),
            is_repetition: false,
            next_check: now,
        }
    }

    /// Returns whether the known cores must be updated, and questions may be due.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        let is_copying = matches!(self.phase, Phase::Copying { .. });
        is_copying || now >= self.next_check.min(self.next_wakeup())
    }

    /// Records that other cores exist.
    pub(crate) fn learn_cores(
        &mut self,
        now: Duration,
        own: SocketAddr,
        cores: impl IntoIterator<Item = SocketAddr>,
    ) {
        self.known_cores.extend(cores.into_iter().filter(|it| *it != own).map(|it| (it, now)));
        self.next_check = now + CHECK_INTERVAL;
        self.known_cores.retain(|_, known_at| now.saturating_sub(*known_at) <= MAX_LIFETIME);
    }

    /// Returns some of the cores that were known within the lifetime of an origin.
    pub(crate) fn known_cores(&self) -> Vec<SocketAddr> {
        self.known_cores.keys().copied().take(MAX_LISTED_CORES).collect()
    }

    /// Returns when [`questions`](Self::questions) must be called next.
    pub(crate) fn next_wakeup(&self) -> Duration {
        let unread = self.sources.values().filter(|it| !it.is_read);
        match self.phase {
            Phase::Copying { since } => {
                let next = unread.map(|it| it.asked_at + RETRY_INTERVAL).min();
                next.unwrap_or(since + TIMEOUT)
            }
            Phase::Waiting { until } => until,
            Phase::Ended => Duration::MAX,
        }
    }

    /// Returns the questions that are due.
    pub(crate) fn questions(&mut self, now: Duration) -> Vec<Question> {
        if let Phase::Waiting { until } = self.phase
            && now >= until
        {
            self.number = self.number.wrapping_add(1);
            self.sources.clear();
            self.phase = Phase::Copying { since: now };
            self.is_repetition = true;
        }
        if !matches!(self.phase, Phase::Copying { .. }) {
            return Vec::new();
        }
        let mut questions = Vec::new();
        for core in self.known_cores.keys() {
            let is_new = !self.sources.contains_key(core);
            let request = PageRequest { number: self.number, after: None };
            let source = self.sources.entry(*core).or_insert(Source {
                request,
                first_asked_at: now,
                asked_at: now,
                incarnation: None,
                complete_since: Duration::ZERO,
                is_read: false,
            });
            if is_new || !source.is_read && now >= source.asked_at + RETRY_INTERVAL {
                source.asked_at = now;
                questions.push((*core, source.request));
            }
        }
        questions
    }

    /// Adds a page to the table, and returns the question for the next one.
    pub(crate) fn handle_page(
        &mut self,
        now: Duration,
        from: SocketAddr,
        page: &Page,
        origins: &mut Origins,
    ) -> Option<Question> {
        let source = self.sources.get_mut(&from)?;
        if source.is_read || source.request != page.request {
            return None;
        }
        let is_same_run = source.incarnation.is_none_or(|it| it == page.incarnation);
        source.incarnation = Some(page.incarnation);
        if !is_same_run {
            source.complete_since = Duration::ZERO;
            return Some((from, source.ask(now, None)));
        }
        page.origins.iter().for_each(|it| origins.merge(now, source.first_asked_at, it));
        let complete_since = origins.time_before(now, page.complete_ms);
        source.complete_since = source.complete_since.max(complete_since);
        source.is_read = page.next.is_none();
        page.next.map(|next| (from, source.ask(now, Some(next))))
    }

    /// Ends the copy if all tables have been read, or it has taken too long, and returns the
    /// outcome unless it is that of a repetition.
    pub(crate) fn finish(&mut self, now: Duration, origins: &mut Origins) -> Option<CopyOutcome> {
        let Phase::Copying { since } = self.phase else { return None };
        let is_over = now >= since + TIMEOUT;
        let known: BTreeSet<SocketAddr> = self.known_cores.keys().copied().collect();
        let is_missing = |core: &SocketAddr| !self.sources.get(core).is_some_and(|it| it.is_read);
        let missing: Vec<SocketAddr> = known.into_iter().filter(is_missing).collect();
        let read: Vec<&Source> = self.sources.values().filter(|it| it.is_read).collect();
        let is_complete = missing.is_empty() && !read.is_empty();
        if !is_complete && !is_over {
            return None;
        }
        if is_complete && let Some(complete_since) = read.iter().map(|it| it.complete_since).max() {
            origins.complete_from(complete_since);
        }
        let (complete, elapsed) = (origins.complete(now), now.saturating_sub(since));
        let outcome =
            CopyOutcome { cores: read.len(), missing, origins: origins.len(), complete, elapsed };
        let has_cores = outcome.cores + outcome.missing.len() > 0;
        let is_reported = has_cores && !self.is_repetition;
        self.phase = if is_complete && !self.is_repetition {
            Phase::Waiting { until: now + REPETITION_DELAY }
        } else {
            Phase::Ended
        };
        is_reported.then_some(outcome)
    }
}
