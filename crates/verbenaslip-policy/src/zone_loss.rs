//! Tells a wave of losses in one availability zone from single ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};

/// How far apart losses may be to count as one wave.
const LOSS_WINDOW: Duration = Duration::from_secs(10);
/// How long after its last loss a wave is still on.
const ACTIVE_AFTER_LOSS: Duration = Duration::from_secs(10);
/// The fewest losses that make a wave.
const MIN_LOSSES: usize = 2;
/// The most losses remembered per zone.
const MAX_LOSSES_PER_ZONE: usize = 4096;

/// Remembers the recent losses of each availability zone.
#[derive(Debug, Default)]
pub struct ZoneLosses {
    losses: BTreeMap<AvailabilityZone, VecDeque<Loss>>,
    active_until: BTreeMap<AvailabilityZone, Duration>,
}

impl ZoneLosses {
    /// Notes that an upstream was lost or told to leave, out of so many in its zone.
    pub fn record_loss(
        &mut self,
        now: Duration,
        zone: &AvailabilityZone,
        upstream: &Upstream,
        zone_size: usize,
    ) {
        let losses = self.losses.entry(zone.clone()).or_default();
        losses.retain(|loss| now.saturating_sub(loss.at) <= LOSS_WINDOW);
        // The same upstream is reported by its notice, its announcement and its connections.
        if losses.iter().all(|loss| loss.upstream != *upstream)
            && losses.len() < MAX_LOSSES_PER_ZONE
        {
            losses.push_back(Loss { at: now, upstream: upstream.clone() });
        }
        if losses.len() >= MIN_LOSSES && losses.len() * 2 >= zone_size {
            self.active_until.insert(zone.clone(), now.saturating_add(ACTIVE_AFTER_LOSS));
        }
    }

    /// Returns whether a wave is taking a zone's upstreams.
    pub fn is_active(&self, now: Duration, zone: &AvailabilityZone) -> bool {
        self.active_until.get(zone).is_some_and(|until| now < *until)
    }

    /// Returns whether any zone has a wave.
    pub fn any_active(&self, now: Duration) -> bool {
        self.active_until.values().any(|until| now < *until)
    }
}

/// Remembers one loss.
#[derive(Debug)]
struct Loss {
    at: Duration,
    upstream: Upstream,
}
