//! What the fleet's figures say about a service.

use std::time::Duration;

use verbenaslip_fleet::registry::Status;

use crate::policy::placement::choice::FigureUse;
use crate::policy::placement::{Choice, Placement, Query};
use crate::policy::speed::DEFAULT_FIRST_EVENT_MS;
use crate::policy::upstream_state::{UpstreamState, figure_age};

/// Longest time until an upstream accepts a request that [`Placement::next_acceptance`] returns.
const MAX_ACCEPTANCE_WAIT: Duration = Duration::from_secs(1);

/// Shortest time after which an upstream whose slots are full is expected to have a free one;
/// figures arrive a few times a second, so asking more often tells nothing new.
const MIN_SLOT_WAIT: Duration = Duration::from_millis(20);

/// Assumed duration of an answer, in milliseconds, until this entry has seen one.
const DEFAULT_ANSWER_MS: f64 = 1_000.0;

/// Summarizes the figures of a service's upstreams.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceFigures {
    /// Median of the rates of a stream, in events per second.
    pub(super) median_rate: f64,
    /// Time to a first event beyond prefill and queue, in milliseconds.
    base_ms: f64,
    /// Median of the mean waits of first events beyond their prefill, in milliseconds.
    median_wait_ms: f64,
}

impl ServiceFigures {
    /// Describes how the figures were used for an upstream.
    pub(super) fn used(&self, now: Duration, state: &UpstreamState, is_home: bool) -> FigureUse {
        let figure = state.fresh_figure(now);
        FigureUse {
            figure_age: figure.map(|it| figure_age(now, it)),
            wait_ms: figure.map_or(self.median_wait_ms, |it| it.wait_ms),
            relative_speed: self.relative_speed(now, state),
            is_home,
        }
    }
}

impl Placement {
    /// Returns the prefill speed of all upstreams of a service that accept requests and have a fresh
    /// figure, in tokens per millisecond; `None` if the figures are not used.
    ///
    /// Each entry measures few prefills at each upstream, so the mean of its speeds is shared out by
    /// the relative speeds in the figures.
    pub fn service_capacity(&self, now: Duration, service: &str) -> Option<f64> {
        let figures = self.service_figures(now, service)?;
        let (mut count, mut own_speeds, mut relative_speeds) = (0.0, 0.0, 0.0);
        for state in self.accepting(now, service).filter(|it| self.has_figure(now, it)) {
            count += 1.0;
            own_speeds += state.speed.tokens_per_ms();
            relative_speeds += figures.relative_speed(now, state);
        }
        Some(own_speeds / count * relative_speeds)
    }

    /// Returns the median of the mean waits for a first event at the upstreams of a service, in
    /// milliseconds beyond prefill and the time that an idle upstream takes; `None` if the figures
    /// are not used.
    pub fn median_wait_ms(&self, now: Duration, service: &str) -> Option<f64> {
        let figures = self.service_figures(now, service)?;
        Some((figures.median_wait_ms - figures.base_ms).max(0.0))
    }

    /// Returns the expected time to the first event at the best candidate by the figures, in
    /// milliseconds; `None` without figures or candidates.
    pub fn best_expected_ms(&self, now: Duration, query: &Query<'_>) -> Option<f64> {
        if query.parts.is_empty() {
            return None;
        }
        let figures = self.service_figures(now, query.service)?;
        let mut tracks = std::iter::once(query.tracks.preferred).chain(query.tracks.fallback);
        let best =
            tracks.find_map(|track| self.best_upstream(now, query, Some(&figures), true, track))?;
        let wait_ms = best.figures.as_ref().map_or(0.0, |it| it.wait_ms - figures.base_ms);
        Some(best.expected_ms + wait_ms.max(0.0))
    }

    /// Counts an upstream as slow at this entry for a time.
    pub fn penalize(&mut self, now: Duration, choice: &Choice, duration: Duration) {
        if let Some(state) = self.state_mut(choice) {
            state.penalize(now, duration);
        }
    }

    /// Returns when the first upstream will accept a request that none accepts now: after a pause,
    /// a cooldown, until a time slot under a rate limit, or until a slot is free by the figures.
    ///
    /// `None` if one accepts it now, if none will within a second, or if the figures are not used.
    pub fn next_acceptance(&self, now: Duration, query: &Query<'_>) -> Option<Duration> {
        if query.parts.is_empty() {
            return None;
        }
        self.service_figures(now, query.service)?;
        let tracks = || std::iter::once(query.tracks.preferred).chain(query.tracks.fallback);
        let at = self.moment(now);
        let mut earliest: Option<Duration> = None;
        for state in self.accepting(now, query.service) {
            if state.record.status != Status::Ready
                || !tracks().any(|track| track.includes(state.cohort))
                || !query.admits_version(&state.record.announcement.version)
                || query.tried_runs.contains(state.run())
                || self.restrictions.is_leaving(state.run())
            {
                continue;
            }
            let spare = query.has_spare_attempt;
            let Some(allowed) = self.restrictions.time_until_allowed(at, state.run(), spare) else {
                continue;
            };
            let unpaused = state.time_until_unpaused(now, spare);
            let wait = allowed.max(unpaused).max(time_until_slot(now, state));
            let admitted = || {
                self.restrictions
                    .admits(at, state.run(), spare, || self.random_fraction(state, true))
            };
            match wait {
                Duration::ZERO if admitted() => return None,
                // Its probe is pending or its traffic returns gradually; when it will accept this
                // request is not known.
                Duration::ZERO => {}
                wait => earliest = Some(earliest.map_or(wait, |it| it.min(wait))),
            }
        }
        earliest.filter(|wait| *wait <= MAX_ACCEPTANCE_WAIT)
    }

    /// Returns the summary of a service's figures, or `None` if they are not used: sharing is not
    /// in force, or less than half of the upstreams have a fresh figure.
    pub(super) fn service_figures(&self, now: Duration, service: &str) -> Option<ServiceFigures> {
        if !self.sharing_possible() {
            return None;
        }
        let (mut total, mut waits, mut rates) = (0, Vec::new(), Vec::new());
        for state in self.accepting(now, service) {
            total += 1;
            if self.has_figure(now, state) {
                waits.extend(state.fresh_figure(now).map(|it| it.wait_ms));
                rates.extend(state.fresh_figure(now).and_then(|it| it.stream_rate));
            }
        }
        if waits.is_empty() || waits.len() * 2 < total {
            return None;
        }
        let shortest_wait = waits.iter().copied().fold(f64::MAX, f64::min);
        Some(ServiceFigures {
            median_rate: median(&mut rates).unwrap_or(1.0),
            base_ms: shortest_wait.min(DEFAULT_FIRST_EVENT_MS),
            median_wait_ms: median(&mut waits)?,
        })
    }

    /// Returns whether the fleet's figure of an upstream is used.
    fn has_figure(&self, now: Duration, state: &UpstreamState) -> bool {
        self.shares_measurements(state.record.announcement.slots)
            && state.fresh_figure(now).is_some()
    }

    /// Returns the upstreams of a service that may take work at all.
    fn accepting(&self, now: Duration, service: &str) -> impl Iterator<Item = &UpstreamState> {
        let names = self.by_service.get(service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        states.filter(move |state| state.accepts_requests(now, false, true))
    }
}

/// Returns the time until an upstream whose slots are full has a free one.
fn time_until_slot(now: Duration, state: &UpstreamState) -> Duration {
    if !state.is_full(now) {
        return Duration::ZERO;
    }
    let slots = state.record.announcement.slots.max(1);
    let excess = f64::from(state.fleet_active(now) - slots + 1);
    let answer_ms = state.speed.answer_ms().unwrap_or(DEFAULT_ANSWER_MS);
    Duration::from_secs_f64(answer_ms * excess / f64::from(slots) / 1_000.0).max(MIN_SLOT_WAIT)
}

fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
