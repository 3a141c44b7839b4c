//! What upstreams ask for in their answers, as far as it decides where requests go.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::limit::Observation;
use verbenaslip_fleet::registry::Run;

use crate::dialect::ResponseInfo;
use crate::policy::placement::{Busy, Cause, Choice, Placement, Query};
use crate::policy::restriction::{Change, Moment, Restriction};
use crate::policy::speed::Pace;

/// The earliest time at which a caller may come back that was refused because upstreams are limited or rest.
const BACK_RESTRICTED: Duration = Duration::from_millis(300);

/// The latest time where upstreams are limited: it may be another entry's turn before.
const BACK_LIMITED: Duration = Duration::from_secs(2);

impl Placement {
    /// Takes the limits of a newer view; returns those that are new here.
    pub fn update_limits(&mut self, now: Duration, view: &View) -> Vec<Observation> {
        let at = self.moment(now);
        if std::mem::take(&mut self.changed) {
            let there = |run: &Run| self.sites.get(&run.upstream).is_some_and(|it| it.run() == run);
            self.notices.prune(at, there);
        }
        if Arc::ptr_eq(&self.limits, &view.limits) && self.place == view.time_slot {
            return Vec::new();
        }
        (self.limits, self.place) = (view.limits.clone(), view.time_slot);
        self.notices.follow(at, view)
    }

    /// Takes what an upstream asks for in the head of an answer to a request that was sent at a time; returns what has
    /// changed by it.
    pub fn answered(
        &mut self,
        now: Duration,
        choice: &Choice,
        sent: Duration,
        reply: &ResponseInfo,
    ) -> Vec<Change> {
        let at = self.moment(now);
        self.notices.answered(at, &choice.run, sent, reply)
    }

    pub(super) fn moment(&self, now: Duration) -> Moment {
        Moment::at(now, self.time)
    }

    /// Says when to come back, if upstreams take no request only because of what they have asked for.
    pub(super) fn restricted(&self, now: Duration, query: &Query<'_>) -> Option<Busy> {
        let at = self.moment(now);
        let names = self.by_service.get(query.service).into_iter().flatten();
        let sites = names.filter_map(|name| self.sites.get(name));
        let sites = sites
            .filter(|site| site.takes(now, false, true) && !self.notices.is_leaving(site.run()));
        let restricted = sites.filter_map(|site| {
            let restriction = self.notices.restriction(site.run())?;
            let wait = self.notices.wait(at, site.run(), query.spare);
            let wait = match restriction {
                Restriction::Limited => wait.unwrap_or(BACK_LIMITED).min(BACK_LIMITED),
                Restriction::Resting => wait.unwrap_or(BACK_LIMITED),
            };
            Some((wait, restriction))
        });
        let (back, restriction) = restricted.min_by_key(|(wait, _)| *wait)?;
        let work = if query.parts.is_empty() { 0.0 } else { Pace::default().reading(query.prompt) };
        let back = back.max(BACK_RESTRICTED);
        Some(Busy { back, cause: Cause::Restricted(restriction), work })
    }
}
