//! Assembly of one complete answer from the deliveries of runs and copies.

use std::sync::Arc;

use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;

/// Part of a request's answer that has arrived so far.
///
/// Only the next position of the live attempt is accepted. Tokens of an earlier run and duplicates
/// are therefore never mixed in, and a truncated answer never counts as complete: only an end mark
/// ends an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Epoch of the owner.
    epoch: u16,
    /// Number of the live attempt.
    number: u32,
    /// Token batches in order of position.
    batches: Vec<TokenBatch>,
    /// Response of a plain service.
    response: Option<ServiceResponse>,
    /// End mark.
    end: Option<End>,
    /// Last position held.
    position: u32,
    /// Bytes held.
    bytes: usize,
    /// Maximum number of bytes.
    limit: usize,
    /// What the second holder has, if the answer is mirrored.
    mirror: Option<MirrorState>,
}

/// What the second holder has of an answer.
#[derive(Clone, Copy, Debug, Default)]
struct MirrorState {
    position: u32,
    ended: bool,
}

/// Tokens that arrived in one event.
#[data]
pub struct TokenBatch {
    /// Position of the last token, counted from 1.
    pub position: u32,
    /// Number of tokens.
    pub count: u32,
    /// Text of the tokens.
    pub text: Arc<str>,
}

/// Complete response of a plain service.
#[data]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content: Arc<str>,
    /// Response body.
    pub bytes: Arc<[u8]>,
}

/// End mark of a complete answer.
#[data]
pub struct End {
    /// Number of tokens in the answer.
    pub position: u32,
    /// Reason for stopping, as reported by the engine.
    pub reason: Arc<str>,
}

/// Result of adding a delivery to an answer.
#[data(copy)]
pub enum AppendResult {
    /// The delivery was the next one and was added.
    Appended,
    /// The delivery belongs to a superseded attempt or epoch, or came after the end.
    Late,
    /// The answer already has the delivery.
    Duplicate,
    /// An earlier position is missing; nothing was added.
    Gap {
        /// Position that was expected next.
        expected: u32,
    },
    /// The answer would exceed its limit; nothing was added.
    Full,
}

impl Answer {
    /// Creates an empty answer that holds at most `limit` bytes.
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

    /// Makes an attempt the live one; earlier attempts are late from now on.
    pub fn begin_attempt(&mut self, attempt: Attempt) {
        self.number = self.number.max(attempt.number);
    }

    /// Makes this instance the owner in an epoch; copies from earlier epochs are late from now on.
    pub fn take_ownership(&mut self, epoch: u16) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Adds `count` tokens from a run, the last of them at `position`.
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

    /// Adds tokens that the owner of an epoch has mirrored to this instance.
    ///
    /// A new owner's answer may differ after the position at which it took over, so a later epoch
    /// starts from an empty answer. Otherwise a caller could see a sentence that changes halfway.
    pub fn copy(&mut self, epoch: u16, position: u32, count: u32, text: &str) -> AppendResult {
        match self.enter_epoch(epoch) {
            true => self.push_batch(position, count, text),
            false => AppendResult::Late,
        }
    }

    /// Adds the end mark of a run.
    pub fn end(&mut self, attempt: Attempt, position: u32, reason: &str) -> AppendResult {
        if attempt.number != self.number {
            return AppendResult::Late;
        }
        self.set_end(position, reason)
    }

    /// Adds the end mark that the owner of an epoch has mirrored to this instance.
    pub fn copy_end(&mut self, epoch: u16, position: u32, reason: &str) -> AppendResult {
        match self.enter_epoch(epoch) {
            true => self.set_end(position, reason),
            false => AppendResult::Late,
        }
    }

    /// Adds the complete response of a plain service from a run.
    pub fn set_response(&mut self, attempt: Attempt, response: ServiceResponse) -> AppendResult {
        if attempt.number != self.number {
            return AppendResult::Late;
        }
        self.store_response(response)
    }

    /// Adds the complete response of a plain service that the owner of an epoch has mirrored here.
    pub fn copy_response(&mut self, epoch: u16, response: ServiceResponse) -> AppendResult {
        match self.enter_epoch(epoch) {
            true => self.store_response(response),
            false => AppendResult::Late,
        }
    }

    /// Sets whether the answer is mirrored, so that callers must wait for the second holder.
    ///
    /// The second holder may continue an answer differently when it takes over. If a caller had tokens
    /// that the second holder lacks, it would get halves of two answers.
    pub fn set_mirroring(&mut self, on: bool) {
        self.mirror = on.then(MirrorState::default);
    }

    /// Records how far the second holder has got, and whether it has the end as well.
    pub fn record_mirrored(&mut self, position: u32, ended: bool) {
        if let Some(mirrored) = &mut self.mirror {
            mirrored.position = position.max(mirrored.position);
            mirrored.ended |= ended;
        }
    }

    /// Returns whether there is a second holder that lacks part of the answer.
    pub fn is_mirror_behind(&self) -> bool {
        let complete = self.end.is_some() || self.response.is_some();
        self.mirror.is_some_and(|mirrored| {
            mirrored.position < self.position || (complete && !mirrored.ended)
        })
    }

    /// Returns the token batches after a position that callers may have, oldest first.
    pub fn released_batches(&self, after: u32) -> impl Iterator<Item = &TokenBatch> {
        let start = self.batches.partition_point(|batch| batch.position <= after);
        let until = self.released_position();
        self.batches[start..].iter().take_while(move |batch| batch.position <= until)
    }

    /// Returns all token batches after a position, including those not yet released to callers.
    pub fn batches(&self, after: u32) -> &[TokenBatch] {
        let start = self.batches.partition_point(|batch| batch.position <= after);
        &self.batches[start..]
    }

    /// Returns the end mark, once every token before it may be released to callers.
    pub fn released_end(&self) -> Option<&End> {
        self.end.as_ref().filter(|end| end.position <= self.released_position())
    }

    /// Returns the end mark, even if it is not yet released to callers.
    pub fn end_mark(&self) -> Option<&End> {
        self.end.as_ref()
    }

    /// Returns the response of a plain service.
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

    /// Returns the epoch of the owner of the answer.
    pub fn epoch(&self) -> u16 {
        self.epoch
    }

    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the text so far, from which an engine can continue.
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
