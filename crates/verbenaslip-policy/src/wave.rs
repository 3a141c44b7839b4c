//! Tells a wave of losses in one availability zone from single ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};

/// How far apart losses may be to count as one wave.
const WINDOW: Duration = Duration::from_secs(10);
/// How long after its last loss a wave is still on.
const AFTER: Duration = Duration::from_secs(10);
/// The fewest losses that make a wave.
const FEWEST: usize = 2;
/// The most losses remembered per zone.
const MOST: usize = 4096;

/// Remembers the recent losses of each availability zone.
#[derive(Debug, Default)]
pub struct Wave {
    losses: BTreeMap<AvailabilityZone, VecDeque<Lost>>,
    until: BTreeMap<AvailabilityZone, Duration>,
}

impl Wave {
    /// Notes that an upstream was lost or told to leave, out of so many in its zone.
    pub fn lost(&mut self, now: Duration, zone: &AvailabilityZone, upstream: &Upstream, of: usize) {
        let losses = self.losses.entry(zone.clone()).or_default();
        losses.retain(|lost| now.saturating_sub(lost.at) <= WINDOW);
        // The same upstream is reported by its notice, its announcement and its connections.
        if losses.iter().all(|lost| lost.upstream != *upstream) && losses.len() < MOST {
            losses.push_back(Lost { at: now, upstream: upstream.clone() });
        }
        if losses.len() >= FEWEST && losses.len() * 2 >= of {
            self.until.insert(zone.clone(), now.saturating_add(AFTER));
        }
    }

    /// Returns whether a wave is taking a zone's upstreams.
    pub fn on(&self, now: Duration, zone: &AvailabilityZone) -> bool {
        self.until.get(zone).is_some_and(|until| now < *until)
    }

    /// Returns whether any zone has a wave.
    pub fn any(&self, now: Duration) -> bool {
        self.until.values().any(|until| now < *until)
    }
}

/// Remembers one loss.
#[derive(Debug)]
struct Lost {
    at: Duration,
    upstream: Upstream,
}
