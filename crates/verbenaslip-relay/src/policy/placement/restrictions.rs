//! Applies the restrictions that upstreams ask for to the placement of requests.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::limit::Observation;
use verbenaslip_fleet::registry::Run;

use crate::dialect::ResponseInfo;
use crate::policy::brittleness::Capacity;
use crate::policy::placement::{Busy, Cause, Choice, Placement, Query};
use crate::policy::restriction::{Change, Moment, Restriction};
use crate::policy::speed::Speed;
use crate::policy::upstream_state::UpstreamState;

/// Shortest retry time for callers that are refused because upstreams are restricted.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest retry time if upstreams are rate-limited: another entry may have a free slot before.
const MAX_RETRY_AFTER_LIMITED: Duration = Duration::from_secs(2);

impl Placement {
    /// Updates the rate limits and the places at brittle upstreams from a newer view; returns the
    /// limits that are new here.
    pub fn update_limits(&mut self, now: Duration, view: &View) -> Vec<Observation> {
        let at = self.moment(now);
        let records_changed = std::mem::take(&mut self.records_changed);
        let position_changed = self.time_slot != view.time_slot;
        if records_changed {
            let is_present =
                |run: &Run| self.states.get(&run.upstream).is_some_and(|it| it.run() == run);
            self.restrictions.prune(at, is_present);
        }
        let limits_changed = !Arc::ptr_eq(&self.limits, &view.limits);
        (self.limits, self.time_slot) = (view.limits.clone(), view.time_slot);
        if records_changed || position_changed {
            let services: Vec<Arc<str>> = self.brittleness.services().cloned().collect();
            services.iter().for_each(|it| self.divide_places(now, it));
        }
        if !limits_changed && !position_changed {
            return Vec::new();
        }
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
        let mut changes = self.restrictions.handle_response_info(at, &choice.run, sent_at, info);
        let service = &choice.service_rank.0;
        let answer = (&choice.run, sent_at);
        if self.brittleness.record_answer(now, service, answer, info.brittle.is_some()) {
            changes.push(Change::Brittle(info.brittle));
        }
        self.renew_division(now, service);
        changes
    }

    /// Divides the places of a service again if it is brittle and the last division is old.
    pub(super) fn renew_division(&mut self, now: Duration, service: &str) {
        if self.brittleness.is_division_due(now, service) {
            self.divide_places(now, service);
        }
    }

    /// Divides the places of a brittle service among the entries.
    fn divide_places(&mut self, now: Duration, service: &str) {
        let names = self.by_service.get(service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let states = states.filter(|state| state.accepts_requests(now, false, true));
        let capacities: Vec<Capacity> = states
            .map(|state| Capacity {
                run: state.run().clone(),
                slots: state.record.announcement.slots,
                answer_time: state.speed.answer_ms().map(|it| it / 1_000.0),
            })
            .collect();
        self.brittleness.divide(now, service, &capacities, self.time_slot);
    }

    /// Returns whether an upstream has room for a request of this entry, if its service is brittle.
    pub(super) fn has_place(&self, now: Duration, state: &UpstreamState) -> bool {
        let service = &state.record.announcement.service;
        if !self.brittleness.is_brittle(service) {
            return true;
        }
        let wall_clock = self.moment(now).wall_clock;
        !self.brittleness.is_paused(now, service, state.run())
            && self.brittleness.admits(service, state.run(), state.active_requests, wall_clock)
    }

    /// Returns the time until this entry's next turn at an upstream of a brittle service; `None` if
    /// the service's places are not used in turns.
    pub(crate) fn time_until_turn(&self, now: Duration, service: &str) -> Option<Duration> {
        let wall_clock = self.moment(now).wall_clock;
        let names = self.by_service.get(service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let states = states.filter(|it| it.accepts_requests(now, false, true));
        let turns =
            states.filter_map(|it| self.brittleness.time_until_turn(service, it.run(), wall_clock));
        turns.min()
    }

    /// Returns a refusal with a retry time, if no upstream of a brittle service has room.
    pub(super) fn refuse_brittle(&self, now: Duration, query: &Query<'_>) -> Option<Busy> {
        let names = self.by_service.get(query.service).into_iter().flatten();
        let mut states = names.filter_map(|name| self.states.get(name));
        let is_full = self.brittleness.is_brittle(query.service)
            && states.any(|it| {
                it.accepts_requests(now, false, true)
                    && query.admits_version(&it.record.announcement.version)
            });
        let (retry_after, cause) = (MIN_RETRY_AFTER, Cause::Brittle);
        is_full.then(|| Busy { retry_after, cause, prefill_ms: prefill_ms(query) })
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
            state.accepts_requests(now, false, true)
                && query.admits_version(&state.record.announcement.version)
                && !self.restrictions.is_leaving(state.run())
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
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let cause = Cause::Restricted(restriction);
        Some(Busy { retry_after, cause, prefill_ms: prefill_ms(query) })
    }
}

/// Returns the milliseconds of prefill that a refused request would have taken; zero without a
/// prompt.
fn prefill_ms(query: &Query<'_>) -> f64 {
    if query.parts.is_empty() { 0.0 } else { Speed::default().prefill_ms(query.prompt_tokens) }
}
