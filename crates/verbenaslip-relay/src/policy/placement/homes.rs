//! Homes of prompt prefixes, weighted by the speed of their upstreams.

use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::registry::Status;

use crate::policy::placement::capacity::ServiceFigures;
use crate::policy::placement::{Placement, Query, shared_parts};
use crate::policy::upstream_state::UpstreamState;
use crate::policy::versions::Track;

/// Classes of relative speed below and above the usual one, each with the relative rate from which
/// an upstream belongs to it.
///
/// Coarse classes keep the order of homes stable. If it followed each change of a measured rate,
/// prefixes would move between upstreams and be read again; that costs more than differences of a
/// quarter are worth. The lowest class bounds what a busy upstream loses: its streams are slow
/// although it is not.
const SLOW_CLASS: (f64, f64) = (0.75, 0.625);
const FAST_CLASS: (f64, f64) = (1.3, 1.6);

/// Factor on the weight of an upstream that is warming up.
const WARMUP_WEIGHT: f64 = 0.25;

/// Share of the difference in prefill time between upstreams that counts in the cost.
///
/// All entries see the same speeds, so with the whole difference they would all send their long
/// prompts to the fastest upstreams.
const SPEED_COST_SHARE: f64 = 0.5;

impl Placement {
    /// Returns the upstream to which the shared prefix of a prompt belongs.
    ///
    /// All entries choose the same one without communication, by weighted rendezvous hashing: each
    /// upstream gets a part of the prefixes in proportion to its speed. Without figures, all
    /// upstreams weigh the same.
    pub(super) fn home_upstream(
        &self,
        now: Duration,
        query: &Query<'_>,
        figures: Option<&ServiceFigures>,
        track: Track,
    ) -> Option<Upstream> {
        let part = shared_parts(query.parts).last()?.id;
        let names = self.by_service.get(query.service)?;
        let states = names.iter().filter_map(|name| Some((name, self.states.get(name)?)));
        let ready = states.filter(|(_, state)| {
            state.record.status == Status::Ready
                && track.includes(state.cohort)
                && self.restrictions.restriction(state.run()).is_none()
                && !self.restrictions.is_leaving(state.run())
        });
        let Some(figures) = figures else {
            return ready
                .max_by_key(|(_, state)| hash::mix(state.upstream_hash ^ part))
                .map(|(name, _)| name.clone());
        };
        let scored = ready.map(|(name, state)| {
            let is_warm = state.record.announcement.warmup_left.is_zero();
            let weight = figures.relative_speed(now, state);
            let weight = if is_warm { weight } else { weight * WARMUP_WEIGHT };
            (score(state.upstream_hash ^ part, weight), name)
        });
        scored.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, name)| name.clone())
    }
}

impl ServiceFigures {
    /// Returns the speed class of an upstream relative to the median of its service; one if it has
    /// not been measured.
    pub(super) fn relative_speed(&self, now: Duration, state: &UpstreamState) -> f64 {
        let rate = state.fresh_figure(now).and_then(|figure| figure.stream_rate);
        rate.map_or(1.0, |rate| speed_class(rate / self.median_rate))
    }

    /// Returns the milliseconds that a prefill costs more at an upstream than at one of median
    /// speed, where it takes `prefill_ms`.
    pub(super) fn speed_cost_ms(
        &self,
        now: Duration,
        state: &UpstreamState,
        prefill_ms: f64,
    ) -> f64 {
        prefill_ms * (1.0 / self.relative_speed(now, state) - 1.0) * SPEED_COST_SHARE
    }
}

/// Returns the speed by which the class of a relative rate counts.
fn speed_class(relative: f64) -> f64 {
    if relative < SLOW_CLASS.0 {
        SLOW_CLASS.1
    } else if relative > FAST_CLASS.0 {
        FAST_CLASS.1
    } else {
        1.0
    }
}

/// Returns the score of weighted rendezvous hashing, `-ln(u) / weight`, for a number whose mixed
/// bits give `u` in (0, 1].
#[allow(clippy::cast_precision_loss)] // 53 bits fit.
fn score(number: u64, weight: f64) -> f64 {
    let u = ((hash::mix(number) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -u.ln() / weight
}
