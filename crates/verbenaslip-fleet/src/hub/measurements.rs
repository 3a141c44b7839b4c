//! Measurements that subscribers report, and the figures that they receive.

use std::net::SocketAddr;
use std::time::Duration;

use crate::frame::Heartbeat;
use crate::hub::Hub;
use crate::measurement::average::quantised;
use crate::measurement::{FigureReport, Figures, RunKey, Totals};
use crate::usage::EntryRun;

impl Hub {
    /// Records the measurements in a heartbeat; `known` contains the figures of the fleet, as far
    /// as this instance knows them.
    pub fn record_measurements(&mut self, now: Duration, heartbeat: &Heartbeat, known: &Figures) {
        let (address, incarnation) = (heartbeat.peer.address, heartbeat.peer.incarnation);
        let (origin, reports) =
            (EntryRun { address, incarnation }, &heartbeat.extension.0.measurements);
        self.measurements.record(now, origin, heartbeat.sequence, reports, known);
    }

    /// Returns whether there are no measurements.
    pub fn has_no_measurements(&self) -> bool {
        self.measurements.is_empty()
    }

    /// Returns the sums of what the subscribers have measured at each run.
    pub fn measured_totals(&mut self, now: Duration) -> Vec<Totals> {
        self.measurements.expire(now);
        self.measurements.totals()
    }

    /// Returns the averages of what the subscribers have measured.
    pub fn measured_figures(&mut self, now: Duration) -> Figures {
        self.measurements.expire(now);
        self.measurements.figures(now)
    }

    /// Drops the measurements of runs that no longer exist.
    pub fn retain_measurements(&mut self, exists: impl Fn(&RunKey) -> bool) {
        self.measurements.retain(exists);
    }

    /// Returns the number of figures that are sent to subscribers and the age of the oldest.
    pub fn published_figures(&self, now: Duration) -> (usize, Option<Duration>) {
        (self.publisher.len(), self.publisher.oldest_age(now))
    }

    /// Replaces the figures that are sent to subscribers by the averages of their measurements.
    pub fn publish_measured_figures(&mut self, now: Duration) {
        let is_unused = self.measurements.is_empty() && self.publisher.is_empty();
        if !is_unused && self.publisher.needs_update(now) {
            let mut figures = self.measured_figures(now);
            figures.iter_mut().for_each(|(key, figure)| *figure = quantised(*key, figure));
            self.publisher.update(now, &figures);
        }
    }

    /// Replaces the figures that are sent to subscribers by those of the leader.
    pub fn publish_received_figures(&mut self, now: Duration, figures: &Figures) {
        let is_unused = figures.is_empty() && self.publisher.is_empty();
        if !is_unused && self.publisher.needs_update(now) {
            self.publisher.update(now, figures);
        }
    }

    /// Returns the figures for the answer to a subscriber's heartbeat, and records them as sent.
    pub fn answer_figures(&mut self, now: Duration, to: SocketAddr) -> Vec<FigureReport> {
        match self.subscribers.get_mut(&to) {
            Some(subscriber) if !self.publisher.is_empty() => {
                self.publisher.select(now, &mut subscriber.sent_figures)
            }
            _ => Vec::new(),
        }
    }
}
