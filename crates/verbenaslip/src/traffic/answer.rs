//! One answer, put together from the live run's pieces only.

use std::sync::Arc;

use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;

/// Holds some tokens of an answer that came in one event.
#[data]
pub(crate) struct Piece {
    /// The position of the last token, from 1.
    pub position: u32,
    /// How many tokens it holds.
    pub tokens: u32,
    /// Their text.
    pub text: Arc<str>,
}

/// Says how an answer ended.
#[data]
pub(crate) enum End {
    /// A model's answer ended for this reason.
    Finish(Arc<str>),
    /// A plain service's answer, which is whole in itself.
    Whole(Plain),
}

/// Holds a plain service's answer.
#[data]
pub(crate) struct Plain {
    /// The status.
    pub status: u16,
    /// The content type.
    pub content: Arc<str>,
    /// The body.
    pub bytes: Arc<[u8]>,
}

/// Says what became of a piece.
#[data(copy)]
pub(crate) enum Outcome {
    /// It was the next one.
    Added,
    /// It was late, repeated or of another run, and was dropped.
    Dropped,
    /// Something is missing before it.
    Gap,
    /// The answer has become too large.
    Full,
}

/// Puts an answer together.
#[data(default)]
pub(crate) struct Answer {
    base: u32,
    live: Option<Attempt>,
    copied: Option<Attempt>,
    pieces: Vec<Piece>,
    bytes: usize,
    end: Option<End>,
}

impl Answer {
    /// Makes an answer that holds nothing up to a position that others hold.
    pub(crate) fn after_base(base: u32) -> Self {
        Self { base, ..Self::default() }
    }

    /// Makes a run the live one; an older run than the live one is turned away.
    pub(crate) fn begin(&mut self, attempt: Attempt) -> bool {
        if self.live.is_some_and(|live| live > attempt) || self.end.is_some() {
            return false;
        }
        self.live = Some(attempt);
        true
    }

    /// Returns the last position held.
    pub(crate) fn position(&self) -> u32 {
        self.pieces.last().map_or(self.base, |piece| piece.position)
    }

    /// Returns the bytes of text held.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the run whose pieces are held last.
    pub(crate) fn source(&self) -> Option<Attempt> {
        self.live.or(self.copied)
    }

    /// Returns how the answer ended; none while it goes on.
    pub(crate) fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }

    /// Returns all text held.
    pub(crate) fn text(&self) -> String {
        self.pieces.iter().map(|piece| &*piece.text).collect()
    }

    /// Returns the pieces after a position; none when the position is within a piece.
    pub(crate) fn after(&self, position: u32) -> Option<&[Piece]> {
        if position < self.base {
            return None;
        }
        let first = self.pieces.partition_point(|piece| piece.position <= position);
        let rest = &self.pieces[first..];
        let whole = rest.first().is_none_or(|piece| piece.position - piece.tokens >= position);
        whole.then_some(rest)
    }

    /// Adds the live run's next piece.
    pub(crate) fn add(&mut self, attempt: Attempt, piece: Piece, limit: usize) -> Outcome {
        if self.live != Some(attempt) || self.end.is_some() {
            return Outcome::Dropped;
        }
        self.append(piece, limit)
    }

    /// Adds the next piece of a copy; refused once this instance runs the request itself.
    pub(crate) fn copy(&mut self, attempt: Attempt, piece: Piece, limit: usize) -> Outcome {
        if !self.copies(attempt) {
            return Outcome::Dropped;
        }
        self.append(piece, limit)
    }

    /// Ends the live run's answer.
    pub(crate) fn finish(&mut self, attempt: Attempt, end: End) -> bool {
        if self.live != Some(attempt) || self.end.is_some() {
            return false;
        }
        self.end = Some(end);
        true
    }

    /// Ends a copy.
    pub(crate) fn finish_copy(&mut self, attempt: Attempt, end: End) -> bool {
        if !self.copies(attempt) {
            return false;
        }
        self.end = Some(end);
        true
    }

    /// Says whether pieces of a copy of that run are taken, and drops those of older ones from here.
    fn copies(&mut self, attempt: Attempt) -> bool {
        // An instance that lost the request without knowing may still copy its answer here. Its
        // pieces would come between those of the run that replaced it and the caller would read a
        // mixed text. A run here, or a copy of a later run, ends the taking of older ones.
        if self.live.is_some() || self.end.is_some() || self.copied.is_some_and(|c| c > attempt) {
            return false;
        }
        self.copied = Some(attempt);
        true
    }

    fn append(&mut self, piece: Piece, limit: usize) -> Outcome {
        let held = self.position();
        if piece.position <= held || piece.tokens == 0 {
            return Outcome::Dropped;
        }
        if piece.position.checked_sub(piece.tokens) != Some(held) {
            return Outcome::Gap;
        }
        if self.bytes + piece.text.len() > limit {
            return Outcome::Full;
        }
        self.bytes += piece.text.len();
        self.pieces.push(piece);
        Outcome::Added
    }
}
