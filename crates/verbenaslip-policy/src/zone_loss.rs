//! Distinguishes the loss of an availability zone from losses of single upstreams.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};

/// The maximum time between losses that count as one zone loss.
const LOSS_WINDOW: Duration = Duration::from_secs(10);
/// How long a zone loss stays active after its last lost upstream.
const ACTIVE_AFTER_LOSS: Duration = Duration::from_secs(10);
/// The minimum number of lost upstreams that make a zone loss.
const MIN_LOSSES: usize = 2;
/// The maximum number of losses remembered per zone; bounds memory.
const MAX_LOSSES_PER_ZONE: usize = 4096;

/// Tracks the recent losses of upstreams in each availability zone.
#[derive(Debug, Default)]
pub struct ZoneLosses {
    losses: BTreeMap<AvailabilityZone, VecDeque<Loss>>,
    active_until: BTreeMap<AvailabilityZone, Duration>,
}

impl ZoneLosses {
    /// Records that an upstream was lost or told to leave. `zone_size` is the number of upstreams
    /// known in its zone.
    ///
    /// A zone loss becomes active when at least half of the zone's upstreams were lost within the
    /// window.
    pub fn record_loss(
        &mut self,
        now: Duration,
        zone: &AvailabilityZone,
        upstream: &Upstream,
        zone_size: usize,
    ) {
        let losses = self.losses.entry(zone.clone()).or_default();
        losses.retain(|loss| now.saturating_sub(loss.at) <= LOSS_WINDOW);
        // One loss is reported several times: by the reclaim notice, the announcement and the
        // connections.
        if losses.iter().all(|loss| loss.upstream != *upstream)
            && losses.len() < MAX_LOSSES_PER_ZONE
        {
            losses.push_back(Loss { at: now, upstream: upstream.clone() });
        }
        if losses.len() >= MIN_LOSSES && losses.len() * 2 >= zone_size {
            self.active_until.insert(zone.clone(), now.saturating_add(ACTIVE_AFTER_LOSS));
        }
    }

    /// Returns whether a zone loss is active in `zone`.
    pub fn is_active(&self, now: Duration, zone: &AvailabilityZone) -> bool {
        self.active_until.get(zone).is_some_and(|until| now < *until)
    }

    /// Returns whether a zone loss is active in any zone.
    pub fn any_active(&self, now: Duration) -> bool {
        self.active_until.values().any(|until| now < *until)
    }
}

/// Holds the loss of one upstream.
#[derive(Debug)]
struct Loss {
    at: Duration,
    upstream: Upstream,
}
