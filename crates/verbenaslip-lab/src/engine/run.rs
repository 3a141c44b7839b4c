//! One run of one request in an engine.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::fault::Flaw;
use super::truth::{self, End};
use crate::text;

/// Identifies a run: the request and the attempt.
pub(crate) type Key = (u128, u32);

/// Holds one run from its acceptance until it is forgotten.
pub(crate) struct Run {
    /// The run as the truth tells it.
    pub(crate) truth: truth::Run,
    /// What the answer's text is made from.
    pub(crate) seed: u64,
    /// The prompt's text, and the answer's that was handed in.
    pub(crate) text: Arc<str>,
    /// Bytes of `text` that are the prompt's.
    pub(crate) prompt_bytes: usize,
    /// The position after which its first stream begins.
    pub(crate) cursor: u32,
    /// The position at which the answer ends.
    pub(crate) limit: u32,
    /// Answer positions whose KV cache was imported.
    pub(crate) imported: Option<u32>,
    /// The priority; higher goes first.
    pub(crate) priority: i32,
    /// Counts acceptances.
    pub(crate) rank: u64,
    /// The model named.
    pub(crate) model: String,
    /// Where it stands.
    pub(crate) phase: Phase,
    /// What is wrong with its first stream.
    pub(crate) flaw: Option<Flaw>,
    /// Whether it does not obey a cancel.
    pub(crate) deaf: bool,
    /// Open connections that read it.
    pub(crate) readers: u32,
    /// When the last reader left.
    pub(crate) left: Duration,
    /// Tells readers how far it is.
    pub(crate) progress: watch::Sender<Progress>,
}

/// Says where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a slot.
    Waiting,
    /// Computes the prompt until a time.
    Prefill(Duration),
    /// Generates.
    Decode,
}

/// Says how far a run is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The last position generated.
    pub(crate) position: u32,
    /// How it ended.
    pub(crate) end: Option<End>,
}

impl Run {
    /// Says whether it holds a slot.
    pub(crate) fn running(&self) -> bool {
        matches!(self.phase, Phase::Prefill(_) | Phase::Decode)
    }

    /// Generates one token; says whether the answer is whole.
    pub(crate) fn generate(&mut self) -> bool {
        self.truth.position += 1;
        let position = self.truth.position;
        self.progress.send_modify(|progress| progress.position = position);
        position >= self.limit
    }

    /// Ends it.
    pub(crate) fn end(&mut self, unix: u64, end: End) {
        self.truth.end = Some(end);
        self.truth.ended_ms = Some(unix);
        self.progress.send_modify(|progress| progress.end = Some(end));
    }

    /// Takes account of what the prefix cache lacks; returns the tokens to compute.
    pub(crate) fn begin(&mut self, unix: u64, cached_bytes: usize) -> u32 {
        self.truth.began_ms = Some(unix);
        if let Some(imported) = self.imported {
            self.truth.replayed = self.truth.from.saturating_sub(imported);
            return self.truth.replayed;
        }
        let answer_bytes = self.text.len() - self.prompt_bytes;
        let cold_prompt = self.prompt_bytes.saturating_sub(cached_bytes);
        let cold_answer = self.text.len().saturating_sub(cached_bytes).min(answer_bytes);
        self.truth.computed = text::tokens(cold_prompt);
        self.truth.replayed = share(self.truth.from, cold_answer, answer_bytes);
        self.truth.computed + self.truth.replayed
    }
}

/// Returns the part of `count` that `part` is of `whole`, rounded up.
fn share(count: u32, part: usize, whole: usize) -> u32 {
    if whole == 0 {
        return 0;
    }
    let part = (u64::from(count) * part as u64).div_ceil(whole as u64);
    u32::try_from(part).unwrap_or(count)
}
