//! Which origins of streams cores have confirmed.
//!
//! An entry that is cut off notices it only after a while. Until then it would begin streams of which
//! no core is told, and others would take them for streams of the version that served before.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_fleet::origin::{KEEPER_COUNT, Origin, Stream};

/// Time for which origins that were sent are remembered.
const RETENTION: Duration = Duration::from_secs(2);

/// Time after which origins are sent to all cores: a round trip to a core, if the connection had to
/// be opened first.
const REPETITION_DELAY: Duration = Duration::from_millis(60);

/// Time within which cores confirm origins: several round trips.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(150);

/// Limit on the frames that are remembered.
const MAX_BATCHES: usize = 256;

/// Tracks the origins that were sent to cores.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    batches: VecDeque<Batch>,
}

/// Contains origins that were sent in one frame.
#[derive(Debug)]
struct Batch {
    last_number: u64,
    sent_at: Duration,
    origins: Vec<Origin>,
    confirmed_by: Vec<SocketAddr>,
    is_repeated: bool,
}

impl Batch {
    /// Returns the stream that stands for all, as cores handle a frame as a whole.
    fn last_stream(&self) -> Option<Stream> {
        self.origins.last().map(|it| it.stream)
    }

    fn is_confirmed(&self, core_count: usize) -> bool {
        self.confirmed_by.len() >= KEEPER_COUNT.min(core_count)
    }
}

/// Contains the origins that too few cores have confirmed.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    /// The origins.
    pub origins: Vec<Origin>,
    /// The streams that cores are asked for, so that they confirm all.
    pub last_streams: Vec<Stream>,
}

impl Tracker {
    /// Adds origins up to the one with `last_number`, which are sent now.
    pub(crate) fn add(&mut self, now: Duration, last_number: u64, origins: &[Origin]) {
        let is_old = |it: &Batch| now.saturating_sub(it.sent_at) > RETENTION;
        while self.batches.front().is_some_and(is_old) || self.batches.len() >= MAX_BATCHES {
            self.batches.pop_front();
        }
        if !origins.is_empty() {
            let (origins, confirmed_by) = (origins.to_vec(), Vec::new());
            let sent_at = now;
            let batch = Batch { last_number, sent_at, origins, confirmed_by, is_repeated: false };
            self.batches.push_back(batch);
        }
    }

    /// Records that a core knows a stream; returns whether that confirms a frame.
    pub(crate) fn confirm(&mut self, core: SocketAddr, stream: Stream) -> bool {
        let is_meant = |it: &&mut Batch| it.last_stream() == Some(stream);
        let mut batches = self.batches.iter_mut().rev();
        let Some(batch) = batches.find(is_meant).filter(|it| !it.confirmed_by.contains(&core))
        else {
            return false;
        };
        batch.confirmed_by.push(core);
        true
    }

    /// Returns whether enough cores have confirmed the origin with this number.
    pub(crate) fn is_confirmed(&self, number: u64, core_count: usize) -> bool {
        let batch = self.batches.iter().find(|it| it.last_number >= number);
        batch.is_some_and(|it| it.is_confirmed(core_count))
    }

    /// Returns whether the last origins of which that is known were not confirmed in time.
    pub(crate) fn is_overdue(&self, now: Duration, core_count: usize) -> bool {
        let age = |it: &Batch| now.saturating_sub(it.sent_at);
        let recent = self.batches.iter().rev().filter(|it| age(it) <= RETENTION);
        let mut decided = recent.filter(|it| it.is_confirmed(core_count) || age(it) >= TIMEOUT);
        decided.next().is_some_and(|it| !it.is_confirmed(core_count))
    }

    /// Returns when origins are next due for all cores.
    pub(crate) fn next_repetition(&self, core_count: usize) -> Option<Duration> {
        let mut due = self.batches.iter().filter(|it| !it.is_repeated);
        due.find(|it| !it.is_confirmed(core_count)).map(|it| it.sent_at + REPETITION_DELAY)
    }

    /// Takes the origins that are due for all cores.
    pub(crate) fn take_unconfirmed(&mut self, now: Duration, core_count: usize) -> Unconfirmed {
        let mut unconfirmed = Unconfirmed::default();
        let is_due = |it: &&mut Batch| {
            !it.is_repeated
                && !it.is_confirmed(core_count)
                && now.saturating_sub(it.sent_at) >= REPETITION_DELAY
        };
        for batch in self.batches.iter_mut().filter(is_due) {
            batch.is_repeated = true;
            unconfirmed.origins.extend(&batch.origins);
            unconfirmed.last_streams.extend(batch.last_stream());
        }
        unconfirmed
    }
}
