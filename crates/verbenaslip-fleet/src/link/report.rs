//! Content and receivers of heartbeats.

use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::frame::{Heartbeat, HeartbeatExtension, LaterHeartbeatExtension, Trailing};
use crate::link::{
    HEARTBEAT_INTERVAL, LOST_PARENT_AVOIDANCE, Link, MAX_SEARCH_INTERVAL, MAX_TRACKED_REPORTS,
    MIN_SEARCH_INTERVAL, Report, STOPPING_INTERVAL, SentReport, Targets,
};
use crate::usage::Count;

impl Link {
    /// Returns the sequence number of the heartbeat up to which the receiver has all counts; zero
    /// if it has answered none.
    pub(crate) fn acknowledged_sequence(&mut self, now: Duration) -> u64 {
        let targets = self.report_targets(now);
        let answer = self.last_answer.filter(|(receiver, ..)| targets == [*receiver]);
        answer.map_or(0, |(.., sequence)| sequence)
    }

    /// Builds the heartbeat if it is due, with its receivers: the leader, or all cores while none
    /// answers.
    ///
    /// Asking the cores one after another would find a new leader only after a timeout for each
    /// other core. Meanwhile the leader would acknowledge departures while this instance continues
    /// to send requests to those upstreams.
    pub fn next_heartbeat(
        &mut self,
        now: Duration,
        unix_ms: u64,
        report: Report,
    ) -> Option<(Targets, Heartbeat)> {
        if self.target_is_parent && self.is_silent(now) {
            self.abandon_parent(now);
        }
        if now < self.next_report {
            return None;
        }
        self.clock.follow_local(now, unix_ms);
        let acknowledged = self.acknowledged_sequence(now);
        let mut targets = self.report_targets(now);
        let interval = self.report_interval(targets.len());
        self.next_report = now + if report.is_stopping { STOPPING_INTERVAL } else { interval };
        let parent = self.target.filter(|_| self.target_is_parent);
        targets.extend(self.previous_parent.take());
        let Report { counts, refunds, engine_work, marks, rollouts, limits, departing, .. } =
            report;
        let Report { aggregate, counted_until, measurements, slots, is_stopping, .. } = report;
        self.last_sequence += 1;
        let counts = self.changed_counts(acknowledged, counts);
        let measurements = self.measurements.select(self.last_sequence, acknowledged, measurements);
        self.expire_figures(now);
        self.sent_reports.push_back(SentReport {
            sequence: self.last_sequence,
            sent_at: now,
            is_complete: acknowledged == 0,
        });
        if self.sent_reports.len() > MAX_TRACKED_REPORTS {
            self.sent_reports.pop_front();
        }
        let later = LaterHeartbeatExtension {
            extra_slots: slots.saturating_sub(1),
            is_stopping: Trailing(is_stopping),
        };
        let extension = HeartbeatExtension { measurements, later: Trailing(later) };
        let heartbeat = Heartbeat {
            peer: self.local_peer.clone(),
            parent,
            lost_parent: self.lost_parent.map(|(core, _)| core),
            version: self.view.version,
            revision: self.view.revision(),
            unix_ms,
            counted_until: counted_until.unwrap_or_else(|| self.clock.unix_ms(now)),
            counts,
            sequence: self.last_sequence,
            refunds,
            engine_work,
            marks,
            rollouts,
            limits,
            departing,
            aggregate,
            extension: Trailing(extension),
        };
        (!targets.is_empty()).then_some((targets, heartbeat))
    }

    /// Returns the counts that changed after the acknowledged heartbeat.
    fn changed_counts(&mut self, acknowledged: u64, counts: Vec<Count>) -> Vec<Count> {
        let oldest = counts.iter().map(|count| count.window).min();
        self.counts.retain(|(window, _)| oldest.is_some_and(|oldest| *window >= oldest));
        for Count { window, team, requests } in counts {
            self.counts.insert(self.last_sequence, (window, team), requests);
        }
        let count = |((window, team), requests): (&(u64, Team), &u64)| Count {
            window: *window,
            team: team.clone(),
            requests: *requests,
        };
        self.counts.changed_since(acknowledged).map(count).collect()
    }

    /// Returns the time until the next heartbeat, given the number of receivers of this one.
    fn report_interval(&mut self, receivers: usize) -> Duration {
        if receivers <= 1 {
            self.search_interval = MIN_SEARCH_INTERVAL;
            return HEARTBEAT_INTERVAL;
        }
        let next = (self.search_interval * 2).min(MAX_SEARCH_INTERVAL);
        std::mem::replace(&mut self.search_interval, next)
    }

    /// Returns the receivers of the next heartbeat.
    pub(super) fn report_targets(&mut self, now: Duration) -> Targets {
        if self
            .lost_parent
            .is_some_and(|(_, lost_at)| now.saturating_sub(lost_at) > LOST_PARENT_AVOIDANCE)
        {
            self.lost_parent = None;
        }
        if let Some(target) = self.target.filter(|_| !self.is_silent(now)) {
            return vec![target];
        }
        let own_address = self.local_peer.address;
        let mut targets: Targets = self.cores();
        targets.extend(&self.seeds);
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|address| *address != own_address);
        targets
    }
}
