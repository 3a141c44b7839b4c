//! The answers held here, each with those who wait for more of it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::watch;
use verbenaslip_base::attempt::{Attempt, Request};

use crate::traffic::answer::{Answer, End, Outcome, Piece};
use crate::traffic::shared::lock;

/// Holds one answer and wakes its readers when it grows.
pub(crate) struct Shelf {
    answer: Mutex<Answer>,
    changed: watch::Sender<()>,
    limit: usize,
}

/// Holds what a reader finds after its position.
pub(crate) struct Rest {
    /// The pieces after the position.
    pub pieces: Vec<Piece>,
    /// How the answer ended; none while more is to come.
    pub end: Option<End>,
    /// The run that the last piece came from.
    pub source: Option<Attempt>,
}

impl Shelf {
    /// Makes an empty shelf for an answer of so many bytes at most.
    pub(crate) fn new(limit: usize) -> Self {
        Self { answer: Mutex::default(), changed: watch::Sender::new(()), limit }
    }

    /// Makes an empty shelf for the rest of an answer after a position.
    pub(crate) fn after_base(base: u32, limit: usize) -> Self {
        let answer = Mutex::new(Answer::after_base(base));
        Self { answer, changed: watch::Sender::new(()), limit }
    }

    /// Makes a run the live one.
    pub(crate) fn begin(&self, attempt: Attempt) -> bool {
        lock(&self.answer).begin(attempt)
    }

    /// Adds the live run's next piece.
    pub(crate) fn add(&self, attempt: Attempt, piece: Piece) -> Outcome {
        let outcome = lock(&self.answer).add(attempt, piece, self.limit);
        self.wake();
        outcome
    }

    /// Adds the next piece of a copy.
    pub(crate) fn copy(&self, attempt: Attempt, piece: Piece) -> Outcome {
        let outcome = lock(&self.answer).copy(attempt, piece, self.limit);
        self.wake();
        outcome
    }

    /// Ends the live run's answer.
    pub(crate) fn finish(&self, attempt: Attempt, end: End) -> bool {
        let finished = lock(&self.answer).finish(attempt, end);
        self.wake();
        finished
    }

    /// Ends a copy.
    pub(crate) fn finish_copy(&self, attempt: Attempt, end: End) -> bool {
        let finished = lock(&self.answer).finish_copy(attempt, end);
        self.wake();
        finished
    }

    /// Returns the last position held.
    pub(crate) fn position(&self) -> u32 {
        lock(&self.answer).position()
    }

    /// Says whether the answer has its end.
    pub(crate) fn whole(&self) -> bool {
        lock(&self.answer).end().is_some()
    }

    /// Returns the bytes of text held.
    pub(crate) fn bytes(&self) -> usize {
        lock(&self.answer).bytes()
    }

    /// Returns all text held, with its position.
    pub(crate) fn text(&self) -> (String, u32) {
        let answer = lock(&self.answer);
        (answer.text(), answer.position())
    }

    /// Returns what is held after a position; none when the position is within a piece.
    pub(crate) fn after(&self, position: u32) -> Option<Rest> {
        let answer = lock(&self.answer);
        let pieces = answer.after(position)?.to_vec();
        Some(Rest { pieces, end: answer.end().cloned(), source: answer.source() })
    }

    /// Returns a receiver that is told of each change from now on.
    pub(crate) fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    fn wake(&self) {
        self.changed.send_replace(());
    }
}

type Map = BTreeMap<Request, Arc<Shelf>>;

/// Holds the shelves by request.
#[derive(Default)]
pub(crate) struct Shelves {
    shelves: Mutex<Map>,
}

impl Shelves {
    /// Returns a request's shelf, made when there is none.
    pub(crate) fn open(&self, request: Request, limit: usize) -> Arc<Shelf> {
        let mut shelves = lock(&self.shelves);
        shelves.entry(request).or_insert_with(|| Arc::new(Shelf::new(limit))).clone()
    }

    /// Returns a request's shelf.
    pub(crate) fn find(&self, request: Request) -> Option<Arc<Shelf>> {
        lock(&self.shelves).get(&request).cloned()
    }

    /// Drops a request's shelf; those who still read it keep it.
    pub(crate) fn remove(&self, request: Request) {
        lock(&self.shelves).remove(&request);
    }

    /// Counts the shelves and the bytes of text in them.
    pub(crate) fn size(&self) -> (u64, u64) {
        let shelves = lock(&self.shelves);
        let bytes = shelves.values().map(|shelf| shelf.bytes() as u64).sum();
        (shelves.len() as u64, bytes)
    }
}
