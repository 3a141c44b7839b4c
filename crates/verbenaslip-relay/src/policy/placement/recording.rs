//! Records what became of requests, and what this entry has measured at their upstreams.

use std::collections::BTreeSet;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::measurement::Totals;

use crate::policy::pace::Pace;
use crate::policy::placement::{Choice, FULL_QUEUE_LATENCY, Placement, Query};
use crate::policy::upstream_state::Ending;

impl Placement {
    /// Records the first event of an answer; `latency` is the time since the request was sent.
    pub fn record_first_event(&mut self, now: Duration, choice: &Choice, latency: Duration) {
        if self.counts_for_service(choice) {
            self.record_service_latency(now, choice, latency);
        }
        self.measure_first_event(choice, latency);
        let Some(state) = self.state_mut(choice) else { return };
        state.pending_prefill = state.pending_prefill.saturating_sub(choice.uncached_tokens);
        if choice.idle {
            state.speed.record_first_event(choice.uncached_tokens, latency);
        }
    }

    /// Records the end of a request at an upstream; `duration` is its length if its first event
    /// had arrived.
    pub fn record_end(
        &mut self,
        now: Duration,
        choice: &Choice,
        ending: Ending,
        duration: Option<Duration>,
    ) {
        // An upstream that refuses everything says nothing about the others.
        let refuses_all = self.state_mut(choice).is_some_and(|state| state.is_refusing());
        let tells_load = ending == Ending::Full && choice.plain_objective.is_some();
        if tells_load && !refuses_all && self.counts_for_service(choice) {
            self.admitted_share(now, &choice.service_rank.0)
                .record_latency(now, FULL_QUEUE_LATENCY);
        }
        if ending == Ending::Full {
            self.brittleness.record_refusal(now, &choice.service_rank.0, &choice.run);
        }
        let Some(state) = self.state_mut(choice) else { return };
        if duration.is_none() {
            state.pending_prefill = state.pending_prefill.saturating_sub(choice.uncached_tokens);
        }
        state.record_end(now, ending, duration);
        if choice.plain_objective.is_none() {
            state.measured.record_end(ending);
        }
    }

    /// Records a request that is sent.
    pub(super) fn record_sent(&mut self, now: Duration, choice: &Choice, query: &Query<'_>) {
        let at = self.moment(now);
        self.restrictions.record_sent(at, &choice.run);
        let Some(state) = self.state_mut(choice) else { return };
        state.active_requests += 1;
        state.pending_prefill += choice.uncached_tokens;
        state.cache.record_sent(now, query.parts);
    }

    /// Returns this entry's totals at the run that a request was sent to; `None` unless the fleet
    /// shares its measurements.
    pub fn measurement(&self, choice: &Choice) -> Option<Totals> {
        let state = self.states.get(&choice.run.upstream)?;
        let shared = choice.plain_objective.is_none()
            && *state.run() == choice.run
            && self.shares_measurements(state.record.announcement.slots);
        shared
            .then(|| state.measured.totals(state.key, state.pending_prefill, state.active_requests))
    }

    /// Records the pace of a stream that an upstream has answered.
    pub fn record_pace(&mut self, choice: &Choice, pace: Pace) {
        if let Some(state) = self.state_mut(choice) {
            state.measured.record_pace(pace);
        }
    }

    /// Forgets the failures of a service's upstreams in an availability zone, and that its answers
    /// were late.
    pub fn forgive_failures(&mut self, service: &str, zone: &AvailabilityZone) {
        self.admitted_shares.remove(service);
        for state in self.states.values_mut() {
            let announcement = &state.record.announcement;
            if *announcement.service == *service && announcement.zone == *zone {
                state.forgive_failures();
            }
        }
    }

    /// Adds a first event to what is measured of its service as a whole.
    fn record_service_latency(&mut self, now: Duration, choice: &Choice, latency: Duration) {
        if let Some(objective) = choice.plain_objective {
            let part = latency.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
            self.admitted_share(now, &choice.service_rank.0).record_latency(now, part);
        } else {
            let lag = self.lags.entry(choice.service_rank.clone()).or_default();
            lag.record_sample(now, latency.as_secs_f64() * 1_000.0 - choice.expected_ms);
        }
    }

    /// Counts the run of a request among those of which its service is measured; returns whether it
    /// is still one that takes requests.
    fn counts_for_service(&mut self, choice: &Choice) -> bool {
        let Some(state) = self.state_mut(choice).filter(|it| it.may_take_work()) else {
            return false;
        };
        state.counts_for_service = true;
        true
    }

    /// Forgets what was measured of services of which no measured upstream is left.
    pub(super) fn forget_replaced_services(&mut self) {
        let states = self.states.values();
        let counted = states.filter(|it| it.counts_for_service && it.may_take_work());
        let services: BTreeSet<&str> = counted.map(|it| &*it.record.announcement.service).collect();
        self.lags.retain(|(service, _), _| services.contains(&**service));
        self.admitted_shares.retain(|service, _| services.contains(&**service));
    }

    /// Adds a first event to what is measured for the fleet.
    fn measure_first_event(&mut self, choice: &Choice, latency: Duration) {
        let Some(state) = self.state_mut(choice) else { return };
        if choice.plain_objective.is_none() {
            let wait_ms = latency.as_secs_f64() * 1_000.0 - choice.prefill_ms;
            state.measured.record_first_event(wait_ms);
        }
    }
}
