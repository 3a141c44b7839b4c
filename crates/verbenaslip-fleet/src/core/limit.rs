//! Handling of upstreams' rate limits at the leader.

use std::sync::Arc;

use crate::core::{Core, Event};
use crate::limit::{self, Limit, Observation};
use crate::upstream::{Record, Run, Status};

impl Core {
    /// Restores the limits that this core knew as a follower.
    pub(crate) fn restore_limits(&mut self) {
        self.limits = self.link.view().limits.clone();
        self.limits_change = self.registry.last_change();
    }

    /// Handles the rate limits that an entry has observed, and publishes those that changed.
    pub(crate) fn handle_observed_limits(&mut self, observations: &[Observation]) {
        let mut changed = false;
        for observation in observations {
            let Observation { run, limit } = observation;
            let is_current = self.registry.current_run(&run.upstream) == Some(run);
            if is_current && limit.supersedes(self.limits.get(run)) {
                Arc::make_mut(&mut self.limits).insert(run.clone(), *limit);
                changed = true;
                self.emit(Event::LimitChanged(observation.clone()));
            }
        }
        if changed {
            self.publish_limits();
        }
    }

    /// Returns the number of ready upstreams of a service that have been limited for a while.
    pub(crate) fn limited_upstreams(&self, service: &str) -> u32 {
        let unix_ms = self.agreed_unix_ms();
        let settled = self.limits.iter().filter(|(_, limit)| limit::is_settled(limit, unix_ms));
        let records = settled.filter_map(|(run, _)| self.registry.record(&run.upstream));
        let is_ready = |record: &Record| {
            *record.announcement.service == *service && record.status == Status::Ready
        };
        u32::try_from(records.filter(|record| is_ready(record)).count()).unwrap_or(u32::MAX)
    }

    /// Removes limits that are no longer needed.
    pub(crate) fn remove_expired_limits(&mut self) {
        let (unix_ms, registry) = (self.agreed_unix_ms(), &self.registry);
        let is_needed = |run: &Run, limit: &Limit| {
            registry.current_run(&run.upstream) == Some(run) && limit::is_retained(limit, unix_ms)
        };
        if self.limits.iter().all(|(run, limit)| is_needed(run, limit)) {
            return;
        }
        Arc::make_mut(&mut self.limits).retain(|run, limit| is_needed(run, limit));
        self.publish_limits();
    }

    fn publish_limits(&mut self) {
        self.limits_change = self.registry.record_external_change();
        self.schedule_push();
    }
}
