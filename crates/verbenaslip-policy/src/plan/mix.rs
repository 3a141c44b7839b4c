//! Which machines to add so that any one availability zone may be lost.

use std::collections::BTreeMap;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::AvailabilityZone;

use crate::plan::offer::Offer;

/// Sums up the slots that are there or on their way.
#[data(default)]
pub struct Capacity {
    /// Slots in each zone.
    pub zones: BTreeMap<AvailabilityZone, u32>,
    /// Slots on on-demand machines, of all.
    pub on_demand: u32,
}

impl Capacity {
    /// Adds slots.
    pub fn add(&mut self, zone: &AvailabilityZone, market: Market, slots: u32) {
        *self.zones.entry(zone.clone()).or_default() += slots;
        if market == Market::OnDemand {
            self.on_demand += slots;
        }
    }

    /// Takes slots away.
    pub fn take(&mut self, zone: &AvailabilityZone, market: Market, slots: u32) {
        if let Some(held) = self.zones.get_mut(zone) {
            *held = held.saturating_sub(slots);
        }
        if market == Market::OnDemand {
            self.on_demand = self.on_demand.saturating_sub(slots);
        }
    }

    /// Returns all slots.
    pub fn total(&self) -> u32 {
        self.zones.values().sum()
    }

    /// Returns the slots that are left when the largest zone is lost.
    pub fn surviving(&self) -> u32 {
        let zones = self.zones.values().filter(|slots| **slots > 0).count();
        let largest = self.zones.values().max().copied().unwrap_or(0);
        // With one zone there is nothing that could survive, and adding to it would never end.
        if zones <= 1 { 0 } else { self.total() - largest }
    }
}

/// Wants capacity that meets a need whichever zone is lost.
#[derive(Debug)]
pub struct Mix<'a> {
    /// The slots needed after the loss of a zone.
    pub need: u32,
    /// The part of the slots wanted on on-demand machines, up to 1.
    pub reserve: f64,
    /// The offers that may be tried, each with its slots.
    pub offers: Vec<(&'a Offer, u32)>,
}

impl Mix<'_> {
    /// Returns the next machine to add, or none when the need is met or nothing helps.
    pub fn next(&self, have: &Capacity) -> Option<(&Offer, u32)> {
        if have.surviving() >= self.need {
            return None;
        }
        let zones = self.zones();
        // A lone zone can't survive its own loss; it at least meets the need while it stands.
        if zones.len() < 2 && have.total() >= self.need.max(1) && have.surviving() == 0 {
            return None;
        }
        let held = |zone: &AvailabilityZone| have.zones.get(zone).copied().unwrap_or(0);
        let largest = have.zones.values().max().copied().unwrap_or(0);
        let zone = zones.iter().min_by_key(|zone| held(zone))?;
        // Where only the largest zone has offers left, more machines there would not help.
        if zones.len() < 2 && held(zone) >= largest && have.surviving() > 0 {
            return None;
        }
        let short = f64::from(have.on_demand) < self.reserve * f64::from(have.total() + 1);
        let wanted = short.then(|| self.cheapest(zone, Some(Market::OnDemand))).flatten();
        wanted.or_else(|| self.cheapest(zone, None))
    }

    /// Returns the zones among which capacity is spread at the lowest cost.
    ///
    /// Spread over `k` zones each needs `need / (k - 1)`, so the cost is the sum of the zones' unit
    /// prices over `k - 1`; a dear zone is left out when its price outweighs the better spread.
    fn zones(&self) -> Vec<&AvailabilityZone> {
        let mut prices: Vec<(f64, &AvailabilityZone)> = Vec::new();
        for (offer, slots) in &self.offers {
            let unit = offer.unit(*slots);
            match prices.iter_mut().find(|(_, zone)| *zone == &offer.zone) {
                Some(entry) => entry.0 = entry.0.min(unit),
                None => prices.push((unit, &offer.zone)),
            }
        }
        prices.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let cost = |k: usize| prices[..k].iter().map(|(p, _)| p).sum::<f64>() / (k as f64 - 1.0);
        let best = (2..=prices.len()).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        let count = best.unwrap_or(prices.len());
        prices.into_iter().take(count).map(|(_, zone)| zone).collect()
    }

    fn cheapest(&self, zone: &AvailabilityZone, market: Option<Market>) -> Option<(&Offer, u32)> {
        let fits = |offer: &Offer| offer.zone == *zone && market.is_none_or(|m| offer.market == m);
        let fitting = self.offers.iter().filter(|(offer, slots)| *slots > 0 && fits(offer));
        let best = fitting.min_by(|a, b| a.0.unit(a.1).total_cmp(&b.0.unit(b.1)))?;
        Some((best.0, best.1))
    }
}
