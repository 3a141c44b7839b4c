//! What an instance reports, and to whom.

use std::time::Duration;

use verbenaslip_base::name::Team;

use crate::frame::Heartbeat;
use crate::link::{
    AVOIDED, HEARTBEAT_INTERVAL, Link, REPORTS, Report, Reported, SEARCH, SEARCH_MOST, Targets,
};
use crate::usage::Count;

impl Link {
    /// Returns up to which report whoever is reported to knows all; zero where that has answered none.
    pub(crate) fn told(&mut self, now: Duration) -> u64 {
        let targets = self.targets(now);
        let known = self.answered.filter(|(by, ..)| targets == [*by]);
        known.map_or(0, |(.., number)| number)
    }

    /// Makes the report that is due, with whom to tell: the leader, or every core while none
    /// answers.
    ///
    /// Asked one after the other, the new leader would be found only after a timeout for each core
    /// that is not it. Meanwhile it would acknowledge that upstreams leave, and this instance would
    /// go on sending requests there.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        unix: u64,
        report: Report,
    ) -> Option<(Targets, Heartbeat)> {
        if self.is_parent && self.quiet(now) {
            self.lose_parent(now);
        }
        if now < self.due {
            return None;
        }
        self.clock.follow_local(now, unix);
        let told = self.told(now);
        let mut targets = self.targets(now);
        self.due = now + self.pause(targets.len());
        let parent = self.target.filter(|_| self.is_parent);
        targets.extend(self.farewell.take());
        let Report {
            counts,
            refunds,
            engine_work: work,
            marks,
            rollouts,
            limits,
            departing: leaving,
            ..
        } = report;
        let Report { aggregate: below, counted_until: counted, .. } = report;
        self.number += 1;
        let counts = self.changed(told, counts);
        self.reported.push_back(Reported { number: self.number, at: now, whole: told == 0 });
        if self.reported.len() > REPORTS {
            self.reported.pop_front();
        }
        let heartbeat = Heartbeat {
            peer: self.local_peer.clone(),
            parent,
            lost_parent: self.lost.map(|(core, _)| core),
            version: self.view.version,
            revision: self.view.revision(),
            unix_ms: unix,
            counted_until: counted.unwrap_or_else(|| self.clock.unix_ms(now)),
            counts,
            sequence: self.number,
            refunds,
            engine_work: work,
            marks,
            rollouts,
            limits,
            departing: leaving,
            aggregate: below,
        };
        (!targets.is_empty()).then_some((targets, heartbeat))
    }

    /// Returns the counts that were told first after a report.
    fn changed(&mut self, told: u64, counts: Vec<Count>) -> Vec<Count> {
        let oldest = counts.iter().map(|count| count.window).min();
        self.counts.retain(|(window, _)| oldest.is_some_and(|oldest| *window >= oldest));
        for Count { window, team, requests } in counts {
            self.counts.insert(self.number, (window, team), requests);
        }
        let count = |((window, team), requests): (&(u64, Team), &u64)| Count {
            window: *window,
            team: team.clone(),
            requests: *requests,
        };
        self.counts.changed_since(told).map(count).collect()
    }

    /// Returns the time until the next report, after one to so many cores.
    fn pause(&mut self, targets: usize) -> Duration {
        if targets <= 1 {
            self.search = SEARCH;
            return HEARTBEAT_INTERVAL;
        }
        let next = (self.search * 2).min(SEARCH_MOST);
        std::mem::replace(&mut self.search, next)
    }

    /// Returns whom to report to.
    pub(super) fn targets(&mut self, now: Duration) -> Targets {
        if self.lost.is_some_and(|(_, at)| now.saturating_sub(at) > AVOIDED) {
            self.lost = None;
        }
        if let Some(target) = self.target.filter(|_| !self.quiet(now)) {
            return vec![target];
        }
        let own = self.local_peer.address;
        let mut known: Targets = self.cores();
        known.extend(&self.seeds);
        known.sort_unstable();
        known.dedup();
        known.retain(|address| *address != own);
        known
    }
}
