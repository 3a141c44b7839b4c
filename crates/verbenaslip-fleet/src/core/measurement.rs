//! Measurements of upstreams at a core: sums as a parent core, figures as the leader.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::{Core, Event};
use crate::frame::Heartbeat;
use crate::measurement::summary::summarize;
use crate::measurement::{self, FigureReport, Figures, RunKey};
use crate::upstream::{Record, Status};

/// Interval between two checks for runs that no longer exist.
const RUN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two summaries for the event log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Holds when the regular work on measurements is due.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    next_run_check: Duration,
    next_summary: Duration,
}

impl Core {
    /// Records the measurements in a heartbeat.
    pub(crate) fn record_measurements(&mut self, heartbeat: &Heartbeat) {
        // A leader has only figures of the previous leader's term in its own view.
        if self.is_leading() {
            self.hub.record_measurements(self.now, heartbeat, &Figures::default());
        } else {
            self.hub.record_measurements(self.now, heartbeat, &self.link.view().figures);
        }
    }

    /// Returns the figures for the answer to a heartbeat.
    pub(crate) fn answer_figures(&mut self, to: SocketAddr) -> Vec<FigureReport> {
        if self.is_leading() {
            self.hub.publish_measured_figures(self.now);
        } else {
            self.hub.publish_received_figures(self.now, &self.link.view().figures);
        }
        self.hub.answer_figures(self.now, to)
    }

    /// Drops the measurements of runs that no longer exist, and emits the leader's summary.
    pub(crate) fn maintain_measurements(&mut self) {
        if self.hub.has_no_measurements() {
            return;
        }
        if self.now >= self.measurement_schedule.next_run_check {
            self.measurement_schedule.next_run_check = self.now + RUN_CHECK_INTERVAL;
            let runs: HashSet<RunKey> = if self.is_leading() {
                self.present_records().map(|it| RunKey::of(&it.announcement.run)).collect()
            } else {
                let records = self.link.view().upstreams.values();
                records.map(|it| RunKey::of(&it.announcement.run)).collect()
            };
            self.hub.retain_measurements(|key| runs.contains(key));
        }
        if self.is_leading() && self.now >= self.measurement_schedule.next_summary {
            self.measurement_schedule.next_summary = self.now + SUMMARY_INTERVAL;
            let figures = self.hub.measured_figures(self.now);
            let summaries = summarize(self.now, &figures, self.present_records());
            summaries.into_iter().for_each(|it| self.emit(Event::UpstreamFigures(Box::new(it))));
        }
    }

    /// Iterates over the registered upstreams that are neither gone nor lost.
    ///
    /// The registry keeps the others for up to two minutes, but no instance sends requests to them.
    fn present_records(&self) -> impl Iterator<Item = &Record> {
        let is_present = |it: &&Record| !matches!(it.status, Status::Gone | Status::Lost);
        self.registry.records().filter(is_present)
    }

    /// Returns the number of figures that this core holds and the age of the oldest.
    pub fn held_figures(&self, now: Duration) -> (usize, Option<Duration>) {
        if self.is_leading() {
            return self.hub.published_figures(now);
        }
        let figures = &self.link.view().figures;
        (figures.len(), measurement::oldest_age(figures, now))
    }
}
