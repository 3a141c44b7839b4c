//! One answer held here, with those who wait for more of it.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_request::answer::{Answer, AppendResult, End, ServiceResponse, TokenBatch};

use crate::traffic::shared::lock;

/// The epoch of an answer that is only passed on; it has no owner here.
const PASSED: u16 = 0;

/// The bytes of text that a reader takes in one step, but for the last piece.
const STEP: usize = 32 << 10;

/// Holds one answer and wakes its readers when it grows.
pub(crate) struct Shelf {
    answer: Mutex<Answer>,
    owned: AtomicBool,
    changed: watch::Sender<()>,
}

/// Holds what a reader finds after its position.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rest {
    /// The pieces after the position.
    pub pieces: Vec<TokenBatch>,
    /// How a model's answer ended; none while it goes on.
    pub end: Option<End>,
    /// A plain service's answer.
    pub whole: Option<ServiceResponse>,
}

impl Rest {
    /// Takes pieces up to a size, and the end only after the last piece.
    ///
    /// A reader that is far behind would otherwise get all of a long answer in one step: it would
    /// be held a second time, outside the answer's bound, for as long as the reader takes it.
    fn new<'a>(
        answer: &Answer,
        pieces: impl Iterator<Item = &'a TokenBatch>,
        end: Option<&End>,
    ) -> Self {
        let (mut taken, mut size) = (Vec::new(), 0);
        for piece in pieces {
            if size > STEP {
                return Self { pieces: taken, end: None, whole: None };
            }
            size += piece.text.len();
            taken.push(piece.clone());
        }
        Self { pieces: taken, end: end.cloned(), whole: answer.response().cloned() }
    }

    /// Says whether the answer has its end.
    pub(crate) fn ended(&self) -> bool {
        self.end.is_some() || self.whole.is_some()
    }

    /// Says whether there is nothing yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.pieces.is_empty() && !self.ended()
    }
}

impl Shelf {
    /// Makes an empty shelf for an answer of so many bytes at most.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            answer: Mutex::new(Answer::open(limit)),
            owned: AtomicBool::new(false),
            changed: watch::Sender::new(()),
        }
    }

    /// Makes a shelf for the rest of an answer after a position.
    pub(crate) fn passing(after: u32, limit: usize) -> Self {
        let shelf = Self::new(limit);
        // Stands for the tokens that the caller has, so that the next one is no gap.
        shelf.change(|answer| answer.copy(PASSED, after, after, ""));
        shelf
    }

    /// Adds the next piece of an answer that is passed on.
    pub(crate) fn pass(&self, piece: &TokenBatch) -> AppendResult {
        self.copy(PASSED, piece)
    }

    /// Ends an answer that is passed on.
    pub(crate) fn pass_end(&self, end: &End) -> AppendResult {
        self.copy_end(PASSED, end)
    }

    /// Takes a plain service's answer that is passed on.
    pub(crate) fn pass_whole(&self, whole: ServiceResponse) -> AppendResult {
        self.copy_whole(PASSED, whole)
    }

    /// Makes a run the live one.
    pub(crate) fn begin(&self, attempt: Attempt) {
        lock(&self.answer).begin_attempt(attempt);
    }

    /// Makes this instance the owner in an epoch.
    pub(crate) fn own(&self, epoch: u16) {
        self.owned.store(true, Ordering::Release);
        lock(&self.answer).take_ownership(epoch);
    }

    /// Says whether this instance owns the answer.
    pub(crate) fn owned(&self) -> bool {
        self.owned.load(Ordering::Acquire)
    }

    /// Adds the live run's next piece.
    pub(crate) fn add(&self, attempt: Attempt, piece: &TokenBatch) -> AppendResult {
        let TokenBatch { position, count, text } = piece;
        self.change(|answer| answer.append(attempt, *position, *count, text))
    }

    /// Ends the live run's answer.
    pub(crate) fn end(&self, attempt: Attempt, reason: &str) -> AppendResult {
        self.change(|answer| answer.end(attempt, answer.position(), reason))
    }

    /// Takes a plain service's answer.
    pub(crate) fn fill(&self, attempt: Attempt, whole: ServiceResponse) -> AppendResult {
        self.change(|answer| answer.set_response(attempt, whole))
    }

    /// Adds the next piece of a copy.
    pub(crate) fn copy(&self, epoch: u16, piece: &TokenBatch) -> AppendResult {
        let TokenBatch { position, count, text } = piece;
        self.change(|answer| answer.copy(epoch, *position, *count, text))
    }

    /// Ends a copy.
    pub(crate) fn copy_end(&self, epoch: u16, end: &End) -> AppendResult {
        self.change(|answer| answer.copy_end(epoch, end.position, &end.reason))
    }

    /// Takes a copy of a plain service's answer.
    pub(crate) fn copy_whole(&self, epoch: u16, whole: ServiceResponse) -> AppendResult {
        self.change(|answer| answer.copy_response(epoch, whole))
    }

    /// Says whether callers wait for the second holder.
    pub(crate) fn mirror(&self, on: bool) {
        self.change(|answer| answer.set_mirroring(on));
    }

    /// Notes how far the second holder has got, and whether it has the end.
    pub(crate) fn mirrored(&self, position: u32, ended: bool) {
        self.change(|answer| answer.record_mirrored(position, ended));
    }

    /// Returns the last position held.
    pub(crate) fn position(&self) -> u32 {
        lock(&self.answer).position()
    }

    /// Returns the epoch of the answer's owner.
    pub(crate) fn epoch(&self) -> u16 {
        lock(&self.answer).epoch()
    }

    /// Returns the bytes held.
    pub(crate) fn bytes(&self) -> usize {
        lock(&self.answer).bytes()
    }

    /// Says whether the answer has its end.
    pub(crate) fn ended(&self) -> bool {
        let answer = lock(&self.answer);
        answer.released_end().is_some() || answer.response().is_some()
    }

    /// Says whether there is something of the answer.
    pub(crate) fn begun(&self) -> bool {
        self.position() > 0 || self.ended()
    }

    /// Returns all text held, with its position.
    pub(crate) fn text(&self) -> (String, u32) {
        let answer = lock(&self.answer);
        (answer.text(), answer.position())
    }

    /// Returns what callers may have after a position; none when the position is within a piece.
    pub(crate) fn after(&self, position: u32) -> Option<Rest> {
        let answer = lock(&self.answer);
        let rest = Rest::new(&answer, answer.released_batches(position), answer.released_end());
        let first = rest.pieces.first();
        let first = first.map_or(position, |piece| piece.position.saturating_sub(piece.count));
        (first >= position).then_some(rest)
    }

    /// Returns what the second holder lacks after a position.
    pub(crate) fn missing(&self, position: u32) -> Rest {
        let answer = lock(&self.answer);
        Rest::new(&answer, answer.batches(position).iter(), answer.end_mark())
    }

    /// Returns a receiver that is told of each change from now on.
    pub(crate) fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    fn change<T>(&self, change: impl FnOnce(&mut Answer) -> T) -> T {
        let changed = change(&mut lock(&self.answer));
        self.changed.send_replace(());
        changed
    }
}
