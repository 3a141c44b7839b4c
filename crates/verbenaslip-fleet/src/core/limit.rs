//! What a core does about the limits that upstreams name, while it leads.

use std::sync::Arc;

use crate::core::{Core, Event};
use crate::limit::{self, Limit, Observation};
use crate::upstream::{Record, Run, Status};

impl Core {
    /// Begins with the limits that this core knew as a follower.
    pub(crate) fn open_limits(&mut self) {
        self.limits = self.link.view().limits.clone();
        self.limits_change = self.registry.last_change();
    }

    /// Takes the limits that an entry's answers have named, and has all others told.
    pub(crate) fn take_limits(&mut self, sightings: &[Observation]) {
        let mut changed = false;
        for sighting in sightings {
            let Observation { run, limit } = sighting;
            let there = self.registry.current_run(&run.upstream) == Some(run);
            if there && limit.supersedes(self.limits.get(run)) {
                Arc::make_mut(&mut self.limits).insert(run.clone(), *limit);
                changed = true;
                self.note(Event::LimitChanged(sighting.clone()));
            }
        }
        if changed {
            self.publish_limits();
        }
    }

    /// Counts the upstreams of a service that have been limited for a while.
    pub(crate) fn limited(&self, service: &str) -> u32 {
        let unix = self.agreed();
        let settled = self.limits.iter().filter(|(_, limit)| limit::is_settled(limit, unix));
        let records = settled.filter_map(|(run, _)| self.registry.record(&run.upstream));
        let ready =
            |it: &Record| *it.announcement.service == *service && it.status == Status::Ready;
        u32::try_from(records.filter(|it| ready(it)).count()).unwrap_or(u32::MAX)
    }

    /// Forgets limits that have no meaning any more.
    pub(crate) fn tend_limits(&mut self) {
        let (unix, registry) = (self.agreed(), &self.registry);
        let stays = |run: &Run, limit: &Limit| {
            registry.current_run(&run.upstream) == Some(run) && limit::lasts(limit, unix)
        };
        if self.limits.iter().all(|(run, limit)| stays(run, limit)) {
            return;
        }
        Arc::make_mut(&mut self.limits).retain(|run, limit| stays(run, limit));
        self.publish_limits();
    }

    fn publish_limits(&mut self) {
        self.limits_change = self.registry.record_external_change();
        self.push_soon();
    }
}
