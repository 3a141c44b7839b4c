//! Number of upstreams to plan a service with, derived from its load.

use std::collections::VecDeque;
use std::time::Duration;

use crate::plan::{Demand, scale};

/// Factor by which the plan exceeds what suffices for the load. Within the time that an ordered
/// upstream takes to start, requests may become three times as frequent.
const LOAD_FACTOR: f64 = 3.0;

/// Number of upstreams planned beyond that: the load of a few upstreams is uneven, and they cost
/// little.
const SPARE_UPSTREAMS: u32 = 12;

/// Number of boot times for which a load is remembered: upstreams that are given up during a
/// shorter dip are missing when callers come back.
const MEMORY_BOOTS: u32 = 2;

/// Divisor of the planned number that gives by how much a larger number must exceed it to be
/// followed.
const RISE_DIVISOR: u32 = 8;

/// Divisor of the planned number that gives by how much a smaller number must fall below it to be
/// followed.
const FALL_DIVISOR: u32 = 4;

/// Shortest time between two remembered samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the load: up at once, and down after it has been lower for a while.
#[derive(Debug, Default)]
pub(crate) struct Size {
    /// The recently wanted numbers; each is the highest within one sample interval.
    samples: VecDeque<(Duration, u32)>,
    /// The last planned number, which is at first the previous leader's; none if the load was never
    /// known.
    planned: Option<u32>,
    /// Since when all upstreams have been known without any request.
    idle_since: Option<Duration>,
}

impl Size {
    /// Starts with the number that the previous leader planned, if that is known.
    pub(crate) fn new(before: Option<u32>) -> Self {
        Self { planned: before, ..Self::default() }
    }

    /// Returns the number that was last planned by the load.
    pub(crate) fn planned(&self) -> Option<u32> {
        self.planned
    }

    /// Returns the number of upstreams to plan with; none if the load was never known.
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

    /// Returns the number of upstreams to plan with for a fleet that has received no request yet.
    ///
    /// The fleet may have been started for callers who are about to come, or for none. It is halved
    /// each time that no callers have come for as long as a dip is remembered.
    pub(crate) fn idle_count(&mut self, now: Duration, boot: Duration, base: u32) -> u32 {
        let since = *self.idle_since.get_or_insert(now);
        let memory = (boot * MEMORY_BOOTS).max(SAMPLE_INTERVAL).as_millis();
        let halvings = now.saturating_sub(since).as_millis() / memory;
        let left = base.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX)).unwrap_or(0);
        left.max(SPARE_UPSTREAMS.min(base))
    }

    /// Returns the wanted number if it differs enough from the planned one: each change starts or
    /// stops upstreams, which costs.
    fn with_hysteresis(&self, most: u32) -> u32 {
        let Some(planned) = self.planned else { return most };
        let rises = most > planned + planned / RISE_DIVISOR;
        let falls = most < planned - planned / FALL_DIVISOR;
        if rises || falls { most } else { planned }
    }
}
