//! Assembles one answer, whole and once, from whatever runs and copies deliver.

use std::sync::Arc;

use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;

/// Holds one request's answer as far as it has come.
///
/// Only the next position of the live attempt is taken, so tokens of an earlier run, duplicates and
/// an answer cut off can neither be mixed in nor pass for whole. It ends only by an end mark.
#[derive(Clone, Debug)]
pub struct Answer {
    epoch: u16,
    number: u32,
    batches: Vec<TokenBatch>,
    response: Option<ServiceResponse>,
    end: Option<End>,
    position: u32,
    bytes: usize,
    limit: usize,
    mirror: Option<MirrorState>,
}

/// Says what the second holder has.
#[derive(Clone, Copy, Debug, Default)]
struct MirrorState {
    position: u32,
    ended: bool,
}

/// Holds the tokens of one event.
#[data]
pub struct TokenBatch {
    /// The position of its last token, from 1.
    pub position: u32,
    /// How many tokens it holds.
    pub count: u32,
    /// Their text.
    pub text: Arc<str>,
}

/// Holds the answer of a plain service.
#[data]
pub struct ServiceResponse {
    /// The status.
    pub status: u16,
    /// The content type.
    pub content: Arc<str>,
    /// The bytes.
    pub bytes: Arc<[u8]>,
}

/// Marks the end of a whole answer.
#[data]
pub struct End {
    /// Tokens in the answer.
    pub position: u32,
    /// Why the engine stopped, as it said.
    pub reason: Arc<str>,
}

/// Says what became of something delivered.
#[data(copy)]
pub enum AppendResult {
    /// It was the next and is taken.
    Appended,
    /// It is of an attempt or epoch that no longer counts, or came after the end.
    Late,
    /// It is there already.
    Duplicate,
    /// Something before it is missing; nothing was taken.
    Gap {
        /// The position that was expected next.
        expected: u32,
    },
    /// The answer is larger than its limit; nothing was taken.
    Full,
}

impl Answer {
    /// Opens an empty answer that takes at most `limit` bytes.
    pub fn open(limit: usize) -> Self {
        Self {
            epoch: 0,
            number: 0,
            batches: Vec::new(),
            response: None,
            end: None,
            position: 0,
            bytes: 0,
            limit,
            mirror: None,
        }
    }

    /// Makes an attempt the live one; those before it are late from now on.
    pub fn begin_attempt(&mut self, attempt: Attempt) {
        self.number = self.number.max(attempt.number);
    }

    /// Makes this instance the owner in an epoch; copies of earlier epochs are late from now on.
    pub fn take_ownership(&mut self, epoch: u16) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Takes tokens from a run: `count` of them, the last one at `position`.
    pub fn append(
        &mut self,
        attempt: Attempt,
        position: u32,
        count: u32,
        text: &str,
    ) -> AppendResult {
        if attempt.number != self.number {
            return AppendResult::Late;
        }
        self.push_batch(position, count, text)
    }

    /// Takes tokens that the owner of an epoch has mirrored here.
    ///
    /// An answer of a later epoch may differ after the position at which the new owner took over.
    /// One would notice a sentence that changes halfway; so a later epoch starts from nothing.
    pub fn copy(&mut self, epoch: u16, position: u32, count: u32, text: &str) -> AppendResult {
        match self.enter_epoch(epoch) {
            true => self.push_batch(position, count, text),
            false => AppendResult::Late,
        }
    }

    /// Takes the end mark of a run.
    pub fn end(&mut self, attempt: Attempt, position: u32, reason: &str) -> AppendResult {
        if attempt.number != self.number {
            return AppendResult::Late;
        }
        self.set_end(position, reason)
    }

    /// Takes the end mark that the owner of an epoch has mirrored here.
    pub fn copy_end(&mut self, epoch: u16, position: u32, reason: &str) -> AppendResult {
        match self.enter_epoch(epoch) {
            true => self.set_end(position, reason),
            false => AppendResult::Late,
        }
    }

    /// Takes the whole answer of a plain service from a run.
    pub fn set_response(&mut self, attempt: Attempt, response: ServiceResponse) -> AppendResult {
        if attempt.number != self.number {
            return AppendResult::Late;
        }
        self.store_response(response)
    }

    /// Takes the whole answer of a plain service that the owner of an epoch has mirrored here.
    pub fn copy_response(&mut self, epoch: u16, response: ServiceResponse) -> AppendResult {
        match self.enter_epoch(epoch) {
            true => self.store_response(response),
            false => AppendResult::Late,
        }
    }

    /// Says whether callers must wait for the second holder: from `Mirror` to an instance on.
    ///
    /// A token that the caller has and the second holder lacks could come out otherwise when that
    /// one takes over, and the caller would have halves of two answers.
    pub fn set_mirroring(&mut self, on: bool) {
        self.mirror = on.then(MirrorState::default);
    }

    /// Notes how far the second holder has got, and whether it has the end as well.
    pub fn record_mirrored(&mut self, position: u32, ended: bool) {
        if let Some(mirrored) = &mut self.mirror {
            mirrored.position = position.max(mirrored.position);
            mirrored.ended |= ended;
        }
    }

    /// Returns whether there is a second holder that lacks something.
    pub fn is_mirror_behind(&self) -> bool {
        let complete = self.end.is_some() || self.response.is_some();
        self.mirror.is_some_and(|mirrored| {
            mirrored.position < self.position || (complete && !mirrored.ended)
        })
    }

    /// Returns the events after a position that a caller may have, oldest first.
    pub fn released_batches(&self, after: u32) -> impl Iterator<Item = &TokenBatch> {
        let start = self.batches.partition_point(|batch| batch.position <= after);
        let until = self.released_position();
        self.batches[start..].iter().take_while(move |batch| batch.position <= until)
    }

    /// Returns the pieces after a position, also those that callers may not have yet.
    pub fn batches(&self, after: u32) -> &[TokenBatch] {
        let start = self.batches.partition_point(|batch| batch.position <= after);
        &self.batches[start..]
    }

    /// Returns the end mark, once every token before it may be given to callers.
    pub fn released_end(&self) -> Option<&End> {
        self.end.as_ref().filter(|end| end.position <= self.released_position())
    }

    /// Returns the end mark, also when callers may not have it yet.
    pub fn end_mark(&self) -> Option<&End> {
        self.end.as_ref()
    }

    /// Returns a plain service's answer.
    pub fn response(&self) -> Option<&ServiceResponse> {
        self.response.as_ref()
    }

    /// Returns the last position held.
    pub fn position(&self) -> u32 {
        self.position
    }

    /// Returns the last position that callers may have.
    pub fn released_position(&self) -> u32 {
        self.mirror.map_or(self.position, |mirrored| mirrored.position.min(self.position))
    }

    /// Returns the epoch of the owner whose answer it is.
    pub fn epoch(&self) -> u16 {
        self.epoch
    }

    /// Returns the bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the text so far, from which an engine can go on.
    pub fn text(&self) -> String {
        self.batches.iter().map(|batch| batch.text.as_ref()).collect()
    }

    fn enter_epoch(&mut self, epoch: u16) -> bool {
        if epoch > self.epoch {
            let limit = self.limit;
            *self = Self { epoch, ..Self::open(limit) };
        }
        epoch == self.epoch
    }

    fn push_batch(&mut self, position: u32, count: u32, text: &str) -> AppendResult {
        if self.end.is_some() || self.response.is_some() {
            return AppendResult::Late;
        }
        if position <= self.position {
            return AppendResult::Duplicate;
        }
        let first = position.checked_sub(count);
        if count == 0 || first != Some(self.position) {
            return AppendResult::Gap { expected: self.position.saturating_add(1) };
        }
        let Some(bytes) = self.bytes_after(text.len()) else {
            return AppendResult::Full;
        };
        self.bytes = bytes;
        self.position = position;
        self.batches.push(TokenBatch { position, count, text: text.into() });
        AppendResult::Appended
    }

    fn set_end(&mut self, position: u32, reason: &str) -> AppendResult {
        if self.response.is_some() {
            return AppendResult::Late;
        }
        if self.end.is_some() {
            return AppendResult::Duplicate;
        }
        if position != self.position {
            return AppendResult::Gap { expected: self.position.saturating_add(1) };
        }
        self.end = Some(End { position, reason: reason.into() });
        AppendResult::Appended
    }

    fn store_response(&mut self, response: ServiceResponse) -> AppendResult {
        if self.response.is_some() {
            return AppendResult::Duplicate;
        }
        if self.position > 0 || self.end.is_some() {
            return AppendResult::Late;
        }
        let Some(bytes) = self.bytes_after(response.bytes.len()) else {
            return AppendResult::Full;
        };
        self.bytes = bytes;
        self.response = Some(response);
        AppendResult::Appended
    }

    fn bytes_after(&self, bytes: usize) -> Option<usize> {
        self.bytes.checked_add(bytes).filter(|sum| *sum <= self.limit)
    }
}
