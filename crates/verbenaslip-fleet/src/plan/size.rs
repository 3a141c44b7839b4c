//! With how many upstreams a service is planned, by what callers ask for.

use std::collections::VecDeque;
use std::time::Duration;

use crate::plan::{Demand, scale};

/// How many times the upstreams that are enough for the load are planned with. Within the time that an ordered one takes
/// to start, callers may come three times as often.
const LOAD_FACTOR: f64 = 3.0;

/// Upstreams beyond that: the load of a few is uneven, and they cost little.
const SPARE_UPSTREAMS: u32 = 12;

/// Boots for which a load is remembered: what was given up for a shorter dip is missing when callers come back.
const MEMORY_BOOTS: u32 = 2;

/// The part by which a size must be more than before to be followed: one in so many.
const RISE_DIVISOR: u32 = 8;

/// The part by which it must be less.
const FALL_DIVISOR: u32 = 4;

/// The shortest time between two sizes that are remembered.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the load in both directions: up at once, down once it has been lower for long.
#[derive(Debug, Default)]
pub(crate) struct Size {
    /// What was wanted of late, each time the most within a step.
    samples: VecDeque<(Duration, u32)>,
    /// The size under the leader before; none where that did not know the load.
    planned: Option<u32>,
    /// Since when all upstreams have been known and nobody has asked for anything.
    idle_since: Option<Duration>,
}

impl Size {
    /// Starts with the size under the leader before, if that is known.
    pub(crate) fn new(before: Option<u32>) -> Self {
        Self { planned: before, ..Self::default() }
    }

    /// Returns with how many upstreams it was planned last by the load.
    pub(crate) fn planned(&self) -> Option<u32> {
        self.planned
    }

    /// Returns with how many upstreams to plan; none where the load was never known.
    pub(crate) fn update(&mut self, now: Duration, boot: Duration, demand: Demand) -> Option<u32> {
        let Some(busy) = demand.busy_upstreams else {
            return self.planned.map(|before| before.min(demand.base));
        };
        let wanted =
            scale(demand.base, (demand.share_for(busy) * LOAD_FACTOR).min(1.0)) + SPARE_UPSTREAMS;
        let wanted = wanted.min(demand.base);
        match self.samples.back_mut() {
            Some((at, most)) if now.saturating_sub(*at) < SAMPLE_INTERVAL => {
                *most = wanted.max(*most)
            }
            _ => self.samples.push_back((now, wanted)),
        }
        let memory = boot * MEMORY_BOOTS;
        while self.samples.front().is_some_and(|(at, _)| now.saturating_sub(*at) > memory) {
            self.samples.pop_front();
        }
        let most = self.samples.iter().map(|(_, wanted)| *wanted).max();
        self.planned = most.map(|most| self.with_hysteresis(most));
        self.planned
    }

    /// Returns with how many upstreams to plan a fleet that nobody has asked for anything yet.
    ///
    /// It may have been started for callers that are about to come, or for none: half of it is given up each time
    /// that they have not come for as long as a dip lasts.
    pub(crate) fn idle_count(&mut self, now: Duration, boot: Duration, base: u32) -> u32 {
        let since = *self.idle_since.get_or_insert(now);
        let memory = (boot * MEMORY_BOOTS).max(SAMPLE_INTERVAL).as_millis();
        let halvings = now.saturating_sub(since).as_millis() / memory;
        let left = base.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX)).unwrap_or(0);
        left.max(SPARE_UPSTREAMS.min(base))
    }

    /// Goes to another size if that differs by much: each step costs upstreams that start or are given up.
    fn with_hysteresis(&self, most: u32) -> u32 {
        let Some(planned) = self.planned else { return most };
        let rises = most > planned + planned / RISE_DIVISOR;
        let falls = most < planned - planned / FALL_DIVISOR;
        if rises || falls { most } else { planned }
    }
}
