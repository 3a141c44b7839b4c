//! Figures of upstreams in the view.

use std::sync::Arc;
use std::time::Duration;

use crate::link::{Link, MAX_PROMPT_ANSWER_AGE};
use crate::measurement::{Figure, FigureReport, MAX_FIGURE_AGE, RunKey};

impl Link {
    /// Applies the figures in the answer to heartbeat number `sequence`.
    ///
    /// Figures of an answer that was overtaken by a later one are ignored. If the answer was held
    /// up, such as in a paused process, its figures count as old as the heartbeat.
    pub(super) fn apply_figures(&mut self, now: Duration, sequence: u64, reports: &[FigureReport]) {
        let Some(asked_at) = self.report_sent_at(sequence) else { return };
        if reports.is_empty() || sequence < self.figures_sequence {
            return;
        }
        self.figures_sequence = sequence;
        let is_prompt = now.saturating_sub(asked_at) <= MAX_PROMPT_ANSWER_AGE;
        let sent_at = if is_prompt { now } else { asked_at };
        self.update_known_runs();
        let known = reports.iter().filter(|report| self.known_runs.1.contains(&report.key));
        let figures = Arc::make_mut(&mut self.view.figures);
        figures.extend(known.map(|report| (report.key, report.figure(sent_at))));
    }

    /// Drops the figures that are too old, and those of runs that are gone from the view.
    pub(super) fn expire_figures(&mut self, now: Duration) {
        if self.view.figures.is_empty() {
            self.known_runs = Default::default();
            return;
        }
        self.update_known_runs();
        let is_valid = |(key, figure): (&RunKey, &Figure)| {
            let age = now.saturating_sub(figure.measured_at);
            age < MAX_FIGURE_AGE && self.known_runs.1.contains(key)
        };
        if !self.view.figures.iter().all(is_valid) {
            Arc::make_mut(&mut self.view.figures).retain(|key, figure| is_valid((key, figure)));
        }
    }

    /// Updates the keys of the runs in the view, if it has changed.
    fn update_known_runs(&mut self) {
        if self.known_runs.0 != self.view.version {
            let records = self.view.upstreams.values();
            let keys = records.map(|it| RunKey::of(&it.announcement.run)).collect();
            self.known_runs = (self.view.version, keys);
        }
    }
}
