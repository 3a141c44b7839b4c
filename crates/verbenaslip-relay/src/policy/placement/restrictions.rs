//! Applies the restrictions that upstreams ask for to the placement of requests.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::limit::Observation;
use verbenaslip_fleet::registry::Run;

use crate::dialect::ResponseInfo;
use crate::policy::placement::{Busy, Cause, Choice, Placement, Query};
use crate::policy::restriction::{Change, Moment, Restriction};
use crate::policy::speed::Speed;

/// Shortest retry time for callers that are refused because upstreams are restricted.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest retry time if upstreams are rate-limited: another entry may have a free slot before.
const MAX_RETRY_AFTER_LIMITED: Duration = Duration::from_secs(2);

impl Placement {
    /// Updates the rate limits from a newer view; returns those that are new here.
    pub fn update_limits(&mut self, now: Duration, view: &View) -> Vec<Observation> {
        let at = self.moment(now);
        if std::mem::take(&mut self.records_changed) {
            let is_present =
                |run: &Run| self.states.get(&run.upstream).is_some_and(|it| it.run() == run);
            self.restrictions.prune(at, is_present);
        }
        if Arc::ptr_eq(&self.limits, &view.limits) && self.time_slot == view.time_slot {
            return Vec::new();
        }
        (self.limits, self.time_slot) = (view.limits.clone(), view.time_slot);
        self.restrictions.update_from_view(at, view)
    }

    /// Handles what an upstream asks for in the head of an answer to a request sent at `sent_at`;
    /// returns what has changed.
    pub fn handle_response_info(
        &mut self,
        now: Duration,
        choice: &Choice,
        sent_at: Duration,
        info: &ResponseInfo,
    ) -> Vec<Change> {
        let at = self.moment(now);
        self.restrictions.handle_response_info(at, &choice.run, sent_at, info)
    }

    /// Returns whether the measurements of all entries are used for a service.
    pub(crate) fn shares_service(&self, service: &str) -> bool {
        let names = self.by_service.get(service).into_iter().flatten();
        let mut states = names.filter_map(|name| self.states.get(name));
        // Most deployments share nothing, and need not look at each upstream.
        self.sharing_possible()
            && states.any(|it| self.shares_measurements(it.record.announcement.slots))
    }

    pub(super) fn moment(&self, now: Duration) -> Moment {
        Moment::at(now, self.time_offset_ms)
    }

    /// Returns a refusal with a retry time, if upstreams take no request only because of their
    /// restrictions.
    pub(super) fn refuse_restricted(&self, now: Duration, query: &Query<'_>) -> Option<Busy> {
        let at = self.moment(now);
        let names = self.by_service.get(query.service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let states = states.filter(|state| {
            state.accepts_requests(now, false, true) && !self.restrictions.is_leaving(state.run())
        });
        let restricted = states.filter_map(|state| {
            let restriction = self.restrictions.restriction(state.run())?;
            let wait =
                self.restrictions.time_until_allowed(at, state.run(), query.has_spare_attempt);
            let wait = match restriction {
                Restriction::RateLimited => {
                    wait.unwrap_or(MAX_RETRY_AFTER_LIMITED).min(MAX_RETRY_AFTER_LIMITED)
                }
                Restriction::CoolingDown => wait.unwrap_or(MAX_RETRY_AFTER_LIMITED),
            };
            Some((wait, restriction))
        });
        let (retry_after, restriction) = restricted.min_by_key(|(wait, _)| *wait)?;
        let prefill_ms = if query.parts.is_empty() {
            0.0
        } else {
            Speed::default().prefill_ms(query.prompt_tokens)
        };
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        Some(Busy { retry_after, cause: Cause::Restricted(restriction), prefill_ms })
    }
}
