//! Tracks the cloud's offers and their recent refusals.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::AvailabilityZone;

/// The cooldown of an offer after its first refusal.
const FIRST_COOLDOWN: Duration = Duration::from_secs(20);
/// The longest cooldown of an offer, before jitter.
const MAX_COOLDOWN: Duration = Duration::from_secs(600);
/// The factor by which reclaims increase the effective price of reclaimable machines.
const RECLAIM_COST_FACTOR: f64 = 1.1;

/// Describes a machine class that the cloud offers in a zone and market at a price.
#[data]
pub struct Offer {
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// The cloud's name of the machine class.
    pub class: Arc<str>,
    /// The market: reclaimable or on-demand.
    pub market: Market,
    /// The price per hour, in millionths of the currency unit.
    pub price: u64,
}

impl Offer {
    /// Returns the price per slot and hour, including the expected cost of reclaims.
    pub(crate) fn price_per_slot(&self, slots: u32) -> f64 {
        let factor = if self.market == Market::Reclaimable { RECLAIM_COST_FACTOR } else { 1.0 };
        self.price as f64 * factor / f64::from(slots.max(1))
    }

    fn key(&self) -> OfferKey {
        (self.zone.clone(), self.class.clone(), self.market)
    }
}

/// Identifies an offer regardless of its price.
type OfferKey = (AvailabilityZone, Arc<str>, Market);

/// Tracks refused offers, so that the next best offer is tried instead of the same one.
#[derive(Debug, Default)]
pub struct OfferBackoff {
    refused: BTreeMap<OfferKey, (u32, Duration)>,
}

impl OfferBackoff {
    /// Records that a start was refused.
    pub fn record_refusal(&mut self, now: Duration, offer: &Offer, rng: &mut impl Rng) {
        let entry = self.refused.entry(offer.key()).or_default();
        entry.0 = entry.0.saturating_add(1);
        let cooldown = FIRST_COOLDOWN.saturating_mul(1 << (entry.0 - 1).min(8)).min(MAX_COOLDOWN);
        entry.1 = now.saturating_add(cooldown.mul_f64(rng.random_range(0.75..=1.25)));
    }

    /// Records that a start was granted.
    pub fn record_grant(&mut self, offer: &Offer) {
        self.refused.remove(&offer.key());
    }

    /// Returns whether an offer may be tried.
    pub fn is_available(&self, now: Duration, offer: &Offer) -> bool {
        self.refused.get(&offer.key()).is_none_or(|(_, until)| now >= *until)
    }
}
