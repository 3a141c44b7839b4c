//! Selection of the figures that the answer to a heartbeat contains.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_base::hash;

use crate::measurement::{Figure, FigureReport, Figures, RunKey};

/// Maximum number of figures in one answer.
const MAX_FIGURES: usize = 128;

/// Age of the receiver's copy from which a figure is sent again even if it has not changed. With
/// two hops and four answers a second each, copies at entries are at most two seconds old.
const REFRESH_AGE: Duration = Duration::from_millis(750);

/// Minimum time between two reports of one figure to a receiver. With four answers a second, each
/// figure is contained in every other one, which halves the traffic while all of them change.
const MIN_INTERVAL: Duration = Duration::from_millis(450);

/// Number of figures up to which unchanged ones are refreshed as often as changed ones are sent.
const MAX_REFRESHED: usize = 1_000;

/// Minimum time between two updates of the board; shorter than the interval between two answers to
/// one receiver.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Holds the figures that are sent to receivers.
///
/// Each run has a slot, so that finding what a receiver lacks takes one pass over an array.
#[derive(Debug, Default)]
pub struct Board {
    slots: HashMap<RunKey, usize>,
    figures: Vec<Option<PostedFigure>>,
    free: Vec<usize>,
    updated: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct PostedFigure {
    key: RunKey,
    figure: Figure,
    /// Hash of the key and all values but the time of measurement.
    digest: u32,
}

/// Records which figures one receiver has been sent, by slot.
#[derive(Debug, Default)]
pub struct SentFigures(Vec<Option<SentFigure>>);

#[derive(Clone, Copy, Debug)]
struct SentFigure {
    digest: u32,
    sent_at: Duration,
    measured_at: Duration,
}

impl Board {
    /// Returns whether [`update`](Self::update) is due.
    pub fn needs_update(&self, now: Duration) -> bool {
        self.updated.is_none_or(|updated| now.saturating_sub(updated) >= MIN_UPDATE_INTERVAL)
    }

    /// Returns the number of figures.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the age of the oldest figure, or `None` without figures.
    pub fn oldest_age(&self, now: Duration) -> Option<Duration> {
        let posted = self.figures.iter().flatten();
        posted.map(|it| now.saturating_sub(it.figure.measured_at)).max()
    }

    /// Returns whether there are no figures.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Replaces the figures.
    pub fn update(&mut self, now: Duration, figures: &Figures) {
        self.updated = Some(now);
        let (slots, posted, free) = (&mut self.slots, &mut self.figures, &mut self.free);
        slots.retain(|key, slot| {
            let is_kept = figures.contains_key(key);
            if !is_kept {
                posted[*slot] = None;
                free.push(*slot);
            }
            is_kept
        });
        for (key, figure) in figures {
            let slot = *slots.entry(*key).or_insert_with(|| {
                free.pop().unwrap_or_else(|| {
                    posted.push(None);
                    posted.len() - 1
                })
            });
            let digest = digest(&FigureReport::new(*key, figure, figure.measured_at));
            posted[slot] = Some(PostedFigure { key: *key, figure: *figure, digest });
        }
    }

    /// Returns the figures that a receiver lacks or should have again, and records them as sent.
    pub fn select(&self, now: Duration, sent: &mut SentFigures) -> Vec<FigureReport> {
        let refreshes_last = self.len() > MAX_REFRESHED;
        let mut due: Vec<(bool, Duration, usize)> = Vec::new();
        sent.0.resize(self.figures.len(), None);
        let slots = self.figures.iter().zip(&sent.0).enumerate();
        for (slot, (posted, last)) in slots {
            let Some(posted) = posted else { continue };
            let Some(last) = last else {
                due.push((false, Duration::ZERO, slot));
                continue;
            };
            let is_changed = last.digest != posted.digest;
            let is_stale = posted.figure.measured_at > last.measured_at
                && now.saturating_sub(last.measured_at) >= REFRESH_AGE;
            if (is_changed || is_stale) && now.saturating_sub(last.sent_at) >= MIN_INTERVAL {
                due.push((refreshes_last && !is_changed, last.sent_at, slot));
            }
        }
        due.sort_unstable();
        due.truncate(MAX_FIGURES);
        let send = |(_, _, slot): (bool, Duration, usize)| {
            let PostedFigure { key, figure, digest } = self.figures[slot]?;
            let measured_at = figure.measured_at;
            sent.0[slot] = Some(SentFigure { digest, sent_at: now, measured_at });
            Some(FigureReport::new(key, &figure, now))
        };
        due.into_iter().filter_map(send).collect()
    }
}

/// Returns a hash of a report; two different reports have the same one with a probability of 1 in
/// 4 billion, and the figure is then sent when its copy is to be refreshed.
fn digest(report: &FigureReport) -> u32 {
    let pair = |high: u32, low: u32| u64::from(high) << 32 | u64::from(low);
    let parts = [
        report.key.0,
        pair(report.speed, report.wait_ms),
        pair(report.pending_tokens, report.active),
        pair(report.events, report.failures),
    ];
    parts.iter().fold(0, |digest, part| hash::mix(digest ^ part)) as u32
}
