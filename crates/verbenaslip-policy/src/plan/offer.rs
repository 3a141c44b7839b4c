//! What the cloud offers, and which of it was refused a short while ago.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::AvailabilityZone;

/// How long an offer is left alone after its first refusal.
const FIRST_COOLDOWN: Duration = Duration::from_secs(20);
/// How long it is left alone at most.
const MAX_COOLDOWN: Duration = Duration::from_secs(600);
/// What the losses of reclaimable machines add to their price.
const RECLAIM_COST_FACTOR: f64 = 1.1;

/// Offers a machine class in a zone and market at a price.
#[data]
pub struct Offer {
    /// The zone.
    pub zone: AvailabilityZone,
    /// The machine class.
    pub class: Arc<str>,
    /// How it is paid for.
    pub market: Market,
    /// Price in millionths of the currency unit for an hour.
    pub price: u64,
}

impl Offer {
    /// Returns what a slot costs, with what is lost through reclaims.
    pub(crate) fn price_per_slot(&self, slots: u32) -> f64 {
        let factor = if self.market == Market::Reclaimable { RECLAIM_COST_FACTOR } else { 1.0 };
        self.price as f64 * factor / f64::from(slots.max(1))
    }

    fn key(&self) -> OfferKey {
        (self.zone.clone(), self.class.clone(), self.market)
    }
}

/// Identifies an offer whatever its price.
type OfferKey = (AvailabilityZone, Arc<str>, Market);

/// Remembers refusals, so that the next best offer is tried instead of the same one again.
#[derive(Debug, Default)]
pub struct OfferBackoff {
    refused: BTreeMap<OfferKey, (u32, Duration)>,
}

impl OfferBackoff {
    /// Notes that a start was refused.
    pub fn record_refusal(&mut self, now: Duration, offer: &Offer, rng: &mut impl Rng) {
        let entry = self.refused.entry(offer.key()).or_default();
        entry.0 = entry.0.saturating_add(1);
        let cooldown = FIRST_COOLDOWN.saturating_mul(1 << (entry.0 - 1).min(8)).min(MAX_COOLDOWN);
        entry.1 = now.saturating_add(cooldown.mul_f64(rng.random_range(0.75..=1.25)));
    }

    /// Notes that a start succeeded.
    pub fn record_grant(&mut self, offer: &Offer) {
        self.refused.remove(&offer.key());
    }

    /// Returns whether an offer may be tried.
    pub fn is_available(&self, now: Duration, offer: &Offer) -> bool {
        self.refused.get(&offer.key()).is_none_or(|(_, until)| now >= *until)
    }
}
