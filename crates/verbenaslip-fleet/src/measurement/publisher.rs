//! Selection of the figures that the answer to a heartbeat contains.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_base::hash;

use crate::measurement::{Figure, FigureReport, Figures, RunKey};

/// Maximum number of figures in one answer.
const MAX_FIGURES: usize = 128;

/// Age of the receiver's copy, in milliseconds, from which a figure is sent again even if it has
/// not changed. With two hops and four answers a second each, copies at entries are at most two
/// seconds old.
const REFRESH_AGE_MS: u64 = 750;

/// Minimum time between two reports of one figure to a receiver, in milliseconds. With four answers
/// a second, each figure is contained in every other one, which halves the traffic while all of
/// them change.
const MIN_INTERVAL_MS: u64 = 450;

/// Number of figures up to which all of them fit into the answers of two seconds; with more, changed
/// ones are sent before unchanged ones are refreshed.
const MAX_REFRESHED: usize = 1_000;

/// Minimum time between two updates of the published figures; shorter than the interval between two answers to
/// one receiver.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Additional time between two updates per figure, so that updates with many figures take less than
/// a hundredth of a processor core.
const UPDATE_INTERVAL_PER_FIGURE: Duration = Duration::from_micros(50);

/// Number of bits of a slot in an [`Urgency`].
const SLOT_BITS: u32 = 20;

/// Orders the slots that a receiver is to be sent: from the highest bit, whether it is a refresh
/// that comes after all changes, the time in milliseconds when it was last sent, and the slot.
type Urgency = u64;

/// Holds the figures that are sent to receivers.
///
/// Each run has a slot, so that finding what a receiver lacks takes one pass over two small arrays.
#[derive(Debug, Default)]
pub struct Publisher {
    slots: HashMap<RunKey, usize>,
    /// The figure in each slot.
    figures: Vec<(RunKey, Figure)>,
    /// What decides whether a figure is sent; none if the slot is free.
    marks: Vec<Option<Mark>>,
    free: Vec<usize>,
    updated: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Hash of the key and all values but the time of measurement.
    digest: u32,
    /// When the figure was measured, in milliseconds.
    measured_ms: u64,
}

/// Records which figures one receiver has been sent, by slot.
#[derive(Debug, Default)]
pub struct SentFigures(Vec<Option<SentFigure>>);

#[derive(Clone, Copy, Debug)]
struct SentFigure {
    mark: Mark,
    /// When the figure was sent, in milliseconds.
    sent_ms: u64,
}

impl Publisher {
    /// Returns whether [`update`](Self::update) is due.
    pub fn needs_update(&self, now: Duration) -> bool {
        let figures = u32::try_from(self.len()).unwrap_or(u32::MAX);
        let interval = MIN_UPDATE_INTERVAL + UPDATE_INTERVAL_PER_FIGURE * figures;
        self.updated.is_none_or(|updated| now.saturating_sub(updated) >= interval)
    }

    /// Returns the number of figures.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the age of the oldest figure, or `None` without figures.
    pub fn oldest_age(&self, now: Duration) -> Option<Duration> {
        let held = self.slots.values().map(|slot| &self.figures[*slot].1);
        held.map(|figure| now.saturating_sub(figure.measured_at)).max()
    }

    /// Returns whether there are no figures.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Replaces the figures.
    pub fn update(&mut self, now: Duration, figures: &Figures) {
        self.updated = Some(now);
        let (marks, free) = (&mut self.marks, &mut self.free);
        self.slots.retain(|key, slot| {
            let is_kept = figures.contains_key(key);
            if !is_kept {
                marks[*slot] = None;
                free.push(*slot);
            }
            is_kept
        });
        // In a fixed order, so that equal inputs give equal answers.
        free.sort_unstable();
        let mut sorted: Vec<(&RunKey, &Figure)> = figures.iter().collect();
        sorted.sort_unstable_by_key(|(key, _)| **key);
        for (key, figure) in sorted {
            let slot = *self.slots.entry(*key).or_insert_with(|| {
                free.pop().unwrap_or_else(|| {
                    marks.push(None);
                    self.figures.push((*key, *figure));
                    marks.len() - 1
                })
            });
            let digest = digest(&FigureReport::new(*key, figure, figure.measured_at));
            self.figures[slot] = (*key, *figure);
            marks[slot] = Some(Mark { digest, measured_ms: millis(figure.measured_at) });
        }
    }

    /// Returns the figures that a receiver lacks or should have again, and records them as sent.
    pub fn select(&self, now: Duration, sent: &mut SentFigures) -> Vec<FigureReport> {
        let now_ms = millis(now);
        sent.0.resize(self.marks.len(), None);
        let slots = self.marks.iter().zip(&sent.0).enumerate();
        let due = slots.filter_map(|(slot, (mark, last))| self.urgency(now_ms, slot, *mark, *last));
        let mut due: Vec<Urgency> = due.collect();
        if due.len() > MAX_FIGURES {
            due.select_nth_unstable(MAX_FIGURES);
            due.truncate(MAX_FIGURES);
        }
        due.sort_unstable();
        let send = |urgency: Urgency| {
            let slot = (urgency & ((1 << SLOT_BITS) - 1)) as usize;
            sent.0[slot] = self.marks[slot].map(|mark| SentFigure { mark, sent_ms: now_ms });
            let (key, figure) = self.figures[slot];
            FigureReport::new(key, &figure, now)
        };
        due.into_iter().map(send).collect()
    }

    /// Returns how urgent it is to send the figure in a slot, or `None` if it is not due.
    fn urgency(
        &self,
        now_ms: u64,
        slot: usize,
        mark: Option<Mark>,
        last: Option<SentFigure>,
    ) -> Option<Urgency> {
        let mark = mark?;
        let Some(SentFigure { mark: last, sent_ms }) = last else { return Some(slot as u64) };
        let is_changed = last.digest != mark.digest;
        let is_stale = mark.measured_ms > last.measured_ms
            && now_ms.saturating_sub(last.measured_ms) >= REFRESH_AGE_MS;
        let is_due = (is_changed || is_stale) && now_ms.saturating_sub(sent_ms) >= MIN_INTERVAL_MS;
        let is_last = u64::from(!is_changed && self.len() > MAX_REFRESHED);
        is_due.then_some(is_last << (u64::BITS - 1) | sent_ms << SLOT_BITS | slot as u64)
    }
}

/// Returns a time in milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a hash of a report; two different reports have the same one with a probability of 1 in
/// 4 billion, and the figure is then sent when its copy is to be refreshed.
fn digest(report: &FigureReport) -> u32 {
    let pair = |high: u32, low: u32| u64::from(high) << 32 | u64::from(low);
    let parts = [
        report.key.0,
        pair(report.rate, report.wait_ms),
        pair(report.pending_tokens, report.active),
        pair(report.events, report.failures),
    ];
    parts.iter().fold(0, |digest, part| hash::mix(digest ^ part)) as u32
}
